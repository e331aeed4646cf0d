//! The owner's table of keys.
//!
//! A key is dispatched at most once, and only after all witnesses of its permit accepted the
//! intent. Every "not run" that this table returns is final: either the key is recorded as not run,
//! or the rule that refuses it keeps refusing it (the permit expired, the permit numbers of the
//! team are closed up to a number, or the process is leaving).

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};

use crate::{
    entry::{AcceptResult, AnyEntry, Done, Entry, IntentSent, Run},
    message::{Digest, Intent, Outcome, Reply, Response, Verdict, WitnessReply},
    permit,
    quota::{Limits, Quota},
};

/// Timeouts and intervals of an owner's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time in which all witnesses must accept an intent.
    pub intent_timeout: Span,
    /// Interval at which an unanswered message is sent again.
    pub resend_interval: Span,
    /// Time for which a key and its response stay in the table, counted from the later of two
    /// moments: the key finished, or its permit expired.
    pub retain: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            intent_timeout: Span::from_millis(1_000),
            resend_interval: Span::from_millis(200),
            retain: Span::from_secs(3_600),
        }
    }
}

/// Maximum number of calls that wait for the response of one key.
pub const MAX_WAITERS: usize = 8;

/// Maximum number of times that an outcome is sent to a witness that does not acknowledge it.
pub const MAX_OUTCOME_SENDS: u32 = 10;

/// Input of the table.
#[derive(Debug, Eq, PartialEq)]
pub enum Event {
    /// A call under a permit that passed [`permit::Signer::verify`].
    Call {
        /// Number of the call, chosen by the daemon; copied into [`Command::Reply`].
        ticket: u64,
        /// The key.
        key: permit::Key,
        /// Digest of the request.
        digest: Digest,
    },
    /// A witness answered an intent or an outcome.
    WitnessReply {
        /// Identity of the peer in its session.
        from: host::Id,
        /// The answer.
        reply: WitnessReply,
    },
    /// An incarnation of a peer's process ended.
    ProcessEnded {
        /// The peer and its incarnation.
        id: host::Id,
    },
    /// The run of a key ended.
    Finished {
        /// The value from [`Command::Dispatch`].
        run: Run,
        /// The final response: [`Response::not_run`] only if no byte can have reached an upstream.
        response: Response,
    },
    /// This router is leaving and accepts no new keys from now on.
    Leave,
    /// Time passed. Must be sent about every 50 ms.
    Tick,
}

/// Output of the table, to be carried out by the daemon.
#[derive(Debug, Eq, PartialEq)]
pub enum Command {
    /// Send an intent to a witness.
    Intent {
        /// The witness.
        to: host::Id,
        /// The intent.
        intent: Intent,
    },
    /// Send a final response to a witness.
    Outcome {
        /// The witness.
        to: host::Id,
        /// The response.
        outcome: Outcome,
    },
    /// Run the key now. Returned at most once for a key.
    Dispatch {
        /// Proof that the key may be run; to be returned in [`Event::Finished`].
        run: Run,
    },
    /// Answer a call.
    Reply {
        /// The number in the [`Event::Call`].
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
}

/// The keys of one owner.
#[derive(Debug)]
pub struct Table {
    local_id: host::Id,
    timing: Timing,
    quota: Quota,
    entries: IndexMap<permit::Id, AnyEntry>,
    /// Keys whose witnesses have not all answered the latest message, which is sent again.
    unacknowledged: IndexSet<permit::Id>,
    /// Finished keys, sorted by the time at which they are dropped.
    by_expiry: BTreeSet<(Timestamp, permit::Id)>,
    /// Highest closed permit number of each team: permits up to it start no new key.
    closed: IndexMap<name::Team, u64>,
    leaving: bool,
}

impl Table {
    /// Creates the empty table of a router process.
    #[must_use]
    pub fn new(local_id: host::Id, timing: Timing, limits: Limits) -> Self {
        Self {
            local_id,
            timing,
            quota: Quota::new(limits),
            entries: IndexMap::new(),
            unacknowledged: IndexSet::new(),
            by_expiry: BTreeSet::new(),
            closed: IndexMap::new(),
            leaving: false,
        }
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Handles an event and returns the resulting commands.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Call {
                ticket,
                key,
                digest,
            } => self.call(now, ticket, key, digest, &mut commands),
            Event::WitnessReply { from, reply } => {
                self.handle_witness_reply(now, &from, &reply, &mut commands)
            }
            Event::ProcessEnded { id } => self.handle_process_end(now, &id, &mut commands),
            Event::Finished { run, response } => self.finish(now, run, response, &mut commands),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, &mut commands),
        }
        commands
    }

    fn call(
        &mut self,
        now: Timestamp,
        ticket: u64,
        key: permit::Key,
        digest: Digest,
        commands: &mut Vec<Command>,
    ) {
        let mut reply = |reply| commands.push(Command::Reply { ticket, reply });
        if key.permit.owner != self.local_id {
            return reply(Reply::NotOwner);
        }
        let id = key.id();
        let waiters = match self.entries.get_mut(&id) {
            None => {
                match self.refusal(now, &key) {
                    Some(response) => reply(Reply::Final(response)),
                    None => {
                        reply(Reply::Pending);
                        self.send_intent(now, id, ticket, key, digest, commands);
                    }
                }
                return;
            }
            Some(AnyEntry::Done(entry)) if entry.digest == digest => {
                return reply(Reply::Final(entry.state.response.clone()));
            }
            Some(AnyEntry::IntentSent(entry)) if entry.digest == digest => &mut entry.waiters,
            Some(AnyEntry::Running(entry)) if entry.digest == digest => &mut entry.waiters,
            Some(_) => return reply(Reply::Conflict),
        };
        if waiters.len() < MAX_WAITERS {
            waiters.push(ticket);
            reply(Reply::Pending);
        } else {
            reply(Reply::Final(Response::unknown("too-many-waiting")));
        }
    }

    /// Returns the response to a key that is not in the table and must not be accepted, or `None`
    /// if it may be.
    fn refusal(&mut self, now: Timestamp, key: &permit::Key) -> Option<Response> {
        let permit = &key.permit;
        let expires = Timestamp::ZERO + permit.expires;
        if now > expires + self.timing.retain {
            // The key may have been in the table and dropped since.
            return Some(Response::unknown("permit-forgotten"));
        }
        if now > expires {
            return Some(Response::not_run("permit-expired"));
        }
        if self.leaving {
            return Some(Response::not_run("leaving"));
        }
        let closed = self.closed.get(&permit.team).copied().unwrap_or(0);
        if permit.number <= closed {
            return Some(Response::not_run("permit-closed"));
        }
        if !self.quota.has_room(&permit.team) {
            // There is no room to record this refusal. Closing this permit number and all lower
            // ones prevents a late copy of the call from being run after this "not run".
            self.closed.insert(permit.team.clone(), permit.number);
            return Some(Response::not_run("table-full"));
        }
        None
    }

    /// Adds a key and sends its intent to the witnesses, or dispatches it if its permit has none.
    fn send_intent(
        &mut self,
        now: Timestamp,
        id: permit::Id,
        ticket: u64,
        key: permit::Key,
        digest: Digest,
        commands: &mut Vec<Command>,
    ) {
        self.quota.add(&key.permit.team);
        let state = IntentSent {
            awaiting: key.permit.witnesses.clone(),
            deadline: now + self.timing.intent_timeout,
            resend_at: now + self.timing.resend_interval,
        };
        for witness in &state.awaiting {
            commands.push(intent_to(witness, &key, digest));
        }
        let entry = Entry {
            key,
            digest,
            waiters: vec![ticket],
            state,
        };
        self.unacknowledged.insert(id.clone());
        self.accept(id, entry, None, commands);
    }

    /// Records the acceptance of a witness and dispatches the key after the last one.
    fn accept(
        &mut self,
        id: permit::Id,
        entry: Entry<IntentSent>,
        witness: Option<&host::Id>,
        commands: &mut Vec<Command>,
    ) {
        let entry = match entry.accept(witness) {
            AcceptResult::Waiting(entry) => AnyEntry::IntentSent(entry),
            AcceptResult::Ready(entry, run) => {
                self.unacknowledged.swap_remove(&id);
                commands.push(Command::Dispatch { run });
                AnyEntry::Running(entry)
            }
        };
        self.entries.insert(id, entry);
    }

    /// Handles a witness's reply to an intent or an outcome.
    fn handle_witness_reply(
        &mut self,
        now: Timestamp,
        from: &host::Id,
        reply: &WitnessReply,
        commands: &mut Vec<Command>,
    ) {
        if reply.witness != *from || !reply.key.permit.witnesses.contains(from) {
            return;
        }
        let id = reply.key.id();
        match self.entries.swap_remove(&id) {
            Some(AnyEntry::IntentSent(entry)) => match refusal_code(reply.verdict) {
                None => self.accept(id, entry, Some(from), commands),
                Some(code) => self.refuse(now, id, entry, code, commands),
            },
            Some(AnyEntry::Done(mut entry)) => {
                // `Accepted` answers an earlier intent; any other verdict acknowledges the outcome.
                if reply.verdict != Verdict::Accepted {
                    entry.state.unacknowledged.retain(|witness| witness != from);
                }
                if entry.state.unacknowledged.is_empty() {
                    self.unacknowledged.swap_remove(&id);
                }
                self.entries.insert(id, AnyEntry::Done(entry));
            }
            Some(entry) => {
                self.entries.insert(id, entry);
            }
            None => {}
        }
    }

    /// Ends a key as not run.
    fn refuse(
        &mut self,
        now: Timestamp,
        id: permit::Id,
        entry: Entry<IntentSent>,
        code: &str,
        commands: &mut Vec<Command>,
    ) {
        let retain_until = self.retain_until(now, &entry.key);
        let entry = entry.refuse(code, retain_until);
        self.store_response(now, id, entry, commands);
    }

    fn finish(
        &mut self,
        now: Timestamp,
        run: Run,
        response: Response,
        commands: &mut Vec<Command>,
    ) {
        let id = run.key().id();
        match self.entries.swap_remove(&id) {
            Some(AnyEntry::Running(entry)) => {
                let retain_until = self.retain_until(now, &entry.key);
                let entry = entry.finish(run, response, retain_until);
                self.store_response(now, id, entry, commands);
            }
            Some(entry) => {
                self.entries.insert(id, entry);
            }
            None => {}
        }
    }

    /// Returns the time until which a key that finishes now stays in the table.
    fn retain_until(&self, now: Timestamp, key: &permit::Key) -> Timestamp {
        now.max(Timestamp::ZERO + key.permit.expires) + self.timing.retain
    }

    /// Answers all waiting calls, stores the response and sends it to the witnesses.
    fn store_response(
        &mut self,
        now: Timestamp,
        id: permit::Id,
        mut entry: Entry<Done>,
        commands: &mut Vec<Command>,
    ) {
        for ticket in entry.waiters.drain(..) {
            let reply = Reply::Final(entry.state.response.clone());
            commands.push(Command::Reply { ticket, reply });
        }
        let max_bytes = self.quota.limits().response_bytes;
        entry.state.response = entry.state.response.replace_if_longer_than(max_bytes);
        self.quota.add_bytes(entry.state.response.body.len());
        self.by_expiry
            .insert((entry.state.retain_until, id.clone()));
        self.unacknowledged.insert(id.clone());
        self.entries.insert(id.clone(), AnyEntry::Done(entry));
        self.resend(now, &id, commands);
    }

    /// Refuses the keys that wait for a witness whose process ended.
    fn handle_process_end(
        &mut self,
        now: Timestamp,
        witness: &host::Id,
        commands: &mut Vec<Command>,
    ) {
        let awaits_witness = |id: &&permit::Id| match self.entries.get(*id) {
            Some(AnyEntry::IntentSent(entry)) => entry.state.awaiting.contains(witness),
            _ => false,
        };
        let ids: Vec<permit::Id> = self
            .unacknowledged
            .iter()
            .filter(awaits_witness)
            .cloned()
            .collect();
        for id in ids {
            if let Some(AnyEntry::IntentSent(entry)) = self.entries.swap_remove(&id) {
                self.refuse(now, id, entry, "witness-gone", commands);
            }
        }
    }

    /// Sends unanswered messages again and drops finished keys whose retention time is over.
    fn tick(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let unacknowledged: Vec<permit::Id> = self.unacknowledged.iter().cloned().collect();
        for id in unacknowledged {
            self.resend(now, &id, commands);
        }
        while let Some((retain_until, id)) = self.by_expiry.pop_first() {
            if retain_until >= now {
                self.by_expiry.insert((retain_until, id));
                break;
            }
            self.unacknowledged.swap_remove(&id);
            if let Some(AnyEntry::Done(entry)) = self.entries.swap_remove(&id) {
                let bytes = entry.state.response.body.len();
                self.quota.remove(&entry.key.permit.team, bytes);
            }
        }
    }

    /// Sends the unanswered messages of a key again. Refuses the key if its witnesses have not all
    /// accepted it within [`Timing::intent_timeout`].
    fn resend(&mut self, now: Timestamp, id: &permit::Id, commands: &mut Vec<Command>) {
        match self.entries.get_mut(id) {
            Some(AnyEntry::IntentSent(entry)) if now >= entry.state.deadline => {
                if let Some(AnyEntry::IntentSent(entry)) = self.entries.swap_remove(id) {
                    self.refuse(now, id.clone(), entry, "witness-silent", commands);
                }
            }
            Some(AnyEntry::IntentSent(entry)) if now >= entry.state.resend_at => {
                entry.state.resend_at = now + self.timing.resend_interval;
                for witness in &entry.state.awaiting {
                    commands.push(intent_to(witness, &entry.key, entry.digest));
                }
            }
            Some(AnyEntry::Done(entry)) if now >= entry.state.resend_at => {
                entry.state.resend_at = now + self.timing.resend_interval;
                entry.state.sends += 1;
                for witness in &entry.state.unacknowledged {
                    commands.push(outcome_to(witness, entry));
                }
                if entry.state.sends >= MAX_OUTCOME_SENDS || entry.state.unacknowledged.is_empty() {
                    self.unacknowledged.swap_remove(id);
                }
            }
            _ => {}
        }
    }
}

fn intent_to(witness: &host::Id, key: &permit::Key, digest: Digest) -> Command {
    let key = key.clone();
    Command::Intent {
        to: witness.clone(),
        intent: Intent { key, digest },
    }
}

fn outcome_to(witness: &host::Id, entry: &Entry<Done>) -> Command {
    Command::Outcome {
        to: witness.clone(),
        outcome: Outcome {
            key: entry.key.clone(),
            digest: entry.digest,
            response: entry.state.response.clone(),
        },
    }
}

/// Returns the refusal code for a verdict that forbids running the key, or `None` for an
/// acceptance.
const fn refusal_code(verdict: Verdict) -> Option<&'static str> {
    match verdict {
        Verdict::Accepted => None,
        Verdict::Recorded | Verdict::Sealed => Some("sealed"),
        Verdict::Restarted => Some("witness-restarted"),
        Verdict::Forgotten => Some("witness-forgot"),
        Verdict::Full => Some("witness-full"),
    }
}
