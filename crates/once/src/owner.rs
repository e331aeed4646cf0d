//! The owner's table of keys.
//!
//! A key is dispatched only after all witnesses of its permit accepted the intent, and at most
//! once. Every "not run" that this table gives is final: the key is either recorded as not run, or
//! refused by a rule that refuses it for ever (permit expired, team closed up to a number, process
//! leaving).

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};
use tsw_base::{
    host, name,
    time::{Span, Tick},
};

use crate::{
    life::{Done, Life, Noting, Run, Stage, Step},
    message::{Digest, Note, Noted, Outcome, Reply, Response, Verdict},
    permit,
    quota::{Limits, Quota},
};

/// Times of an owner's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time that witnesses have to accept an intent.
    pub note: Span,
    /// Time between two sendings of an unanswered message.
    pub resend: Span,
    /// Time that a key and its response are kept after both the end of its permit and its own.
    pub retain: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            note: Span::from_millis(1_000),
            resend: Span::from_millis(200),
            retain: Span::from_secs(3_600),
        }
    }
}

/// Calls that may wait for the response of one key.
pub const MAX_WAITERS: usize = 8;

/// Times that an outcome is sent to a witness that does not acknowledge it.
pub const OUTCOME_SENDS: u32 = 10;

/// What the table reacts to.
#[derive(Debug, Eq, PartialEq)]
pub enum Event {
    /// A call under a permit that passed [`permit::Signer::verify`].
    Call {
        /// Chosen by the daemon; returned by [`Command::Reply`].
        ticket: u64,
        /// The key.
        key: permit::Key,
        /// Digest of the request.
        digest: Digest,
    },
    /// A witness answered.
    Noted {
        /// The peer, as its session names it.
        from: host::Id,
        /// The answer.
        noted: Noted,
    },
    /// A run of a peer's process ended.
    Gone {
        /// The run.
        id: host::Id,
    },
    /// The run of a key ended.
    Finished {
        /// The authority that [`Command::Dispatch`] gave.
        run: Run,
        /// The final response: [`Response::not_run`] only if no byte can have reached an upstream.
        response: Response,
    },
    /// This router takes no new keys from now on.
    Leave,
    /// Time passed. Needed about every 50 ms.
    Tick,
}

/// What the table asks for.
#[derive(Debug, Eq, PartialEq)]
pub enum Command {
    /// Send an intent to a witness.
    Note {
        /// The witness.
        to: host::Id,
        /// The intent.
        note: Note,
    },
    /// Send a final response to a witness.
    Outcome {
        /// The witness.
        to: host::Id,
        /// The response.
        outcome: Outcome,
    },
    /// Run the key now. Given at most once for a key.
    Dispatch {
        /// The authority to run it.
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
    me: host::Id,
    timing: Timing,
    quota: Quota,
    stages: IndexMap<permit::Id, Stage>,
    active: IndexSet<permit::Id>,
    keep: BTreeSet<(Tick, permit::Id)>,
    closed: IndexMap<name::Team, u64>,
    leaving: bool,
}

impl Table {
    /// Makes the empty table of a router process.
    #[must_use]
    pub fn new(me: host::Id, timing: Timing, limits: Limits) -> Self {
        Self {
            me,
            timing,
            quota: Quota::new(limits),
            stages: IndexMap::new(),
            active: IndexSet::new(),
            keep: BTreeSet::new(),
            closed: IndexMap::new(),
            leaving: false,
        }
    }

    /// Returns the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.stages.len()
    }

    /// Tells whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stages.is_empty()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Call {
                ticket,
                key,
                digest,
            } => self.call(now, ticket, key, digest, &mut commands),
            Event::Noted { from, noted } => self.noted(now, &from, &noted, &mut commands),
            Event::Gone { id } => self.gone(now, &id, &mut commands),
            Event::Finished { run, response } => self.finish(now, run, response, &mut commands),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, &mut commands),
        }
        commands
    }

    fn call(
        &mut self,
        now: Tick,
        ticket: u64,
        key: permit::Key,
        digest: Digest,
        commands: &mut Vec<Command>,
    ) {
        let mut reply = |reply| commands.push(Command::Reply { ticket, reply });
        if key.permit.owner != self.me {
            return reply(Reply::Stranger);
        }
        let id = key.id();
        let waiters = match self.stages.get_mut(&id) {
            None => {
                match self.refusal(now, &key) {
                    Some(response) => reply(Reply::Final(response)),
                    None => {
                        reply(Reply::Pending);
                        self.note(now, id, ticket, key, digest, commands);
                    }
                }
                return;
            }
            Some(Stage::Done(life)) if life.digest == digest => {
                return reply(Reply::Final(life.state.response.clone()));
            }
            Some(Stage::Noting(life)) if life.digest == digest => &mut life.waiters,
            Some(Stage::Running(life)) if life.digest == digest => &mut life.waiters,
            Some(_) => return reply(Reply::Conflict),
        };
        if waiters.len() < MAX_WAITERS {
            waiters.push(ticket);
            reply(Reply::Pending);
        } else {
            reply(Reply::Final(Response::unknown("too-many-waiting")));
        }
    }

    /// Returns the answer to a key that is not held and must not be taken.
    fn refusal(&mut self, now: Tick, key: &permit::Key) -> Option<Response> {
        let permit = &key.permit;
        let expires = Tick::ZERO + permit.expires;
        if now > expires + self.timing.retain {
            // The key may have been held and dropped.
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
            // A key refused for lack of room is not recorded. Closing its permit and all earlier
            // ones keeps a late copy of the call from being run after this "not run".
            self.closed.insert(permit.team.clone(), permit.number);
            return Some(Response::not_run("table-full"));
        }
        None
    }

    fn note(
        &mut self,
        now: Tick,
        id: permit::Id,
        ticket: u64,
        key: permit::Key,
        digest: Digest,
        commands: &mut Vec<Command>,
    ) {
        self.quota.add(&key.permit.team);
        let state = Noting {
            missing: key.permit.witnesses.clone(),
            until: now + self.timing.note,
            resend: now + self.timing.resend,
        };
        for witness in &state.missing {
            commands.push(note_to(witness, &key, digest));
        }
        let life = Life {
            key,
            digest,
            waiters: vec![ticket],
            state,
        };
        self.active.insert(id.clone());
        self.accept(id, life, None, commands);
    }

    fn accept(
        &mut self,
        id: permit::Id,
        life: Life<Noting>,
        witness: Option<&host::Id>,
        commands: &mut Vec<Command>,
    ) {
        let stage = match life.accept(witness) {
            Step::Wait(life) => Stage::Noting(life),
            Step::Ready(life, run) => {
                self.active.swap_remove(&id);
                commands.push(Command::Dispatch { run });
                Stage::Running(life)
            }
        };
        self.stages.insert(id, stage);
    }

    fn noted(&mut self, now: Tick, from: &host::Id, noted: &Noted, commands: &mut Vec<Command>) {
        if noted.witness != *from || !noted.key.permit.witnesses.contains(from) {
            return;
        }
        let id = noted.key.id();
        match self.stages.swap_remove(&id) {
            Some(Stage::Noting(life)) => match refusal_code(noted.verdict) {
                None => self.accept(id, life, Some(from), commands),
                Some(code) => self.refuse(now, id, life, code, commands),
            },
            Some(Stage::Done(mut life)) => {
                // An acceptance answers an earlier note; anything else answers the outcome.
                if noted.verdict != Verdict::Accepted {
                    life.state.unacknowledged.retain(|witness| witness != from);
                }
                if life.state.unacknowledged.is_empty() {
                    self.active.swap_remove(&id);
                }
                self.stages.insert(id, Stage::Done(life));
            }
            Some(stage) => {
                self.stages.insert(id, stage);
            }
            None => {}
        }
    }

    fn refuse(
        &mut self,
        now: Tick,
        id: permit::Id,
        life: Life<Noting>,
        code: &str,
        commands: &mut Vec<Command>,
    ) {
        let keep = self.keep_until(now, &life.key);
        let life = life.refuse(code, keep);
        self.end(now, id, life, commands);
    }

    fn finish(&mut self, now: Tick, run: Run, response: Response, commands: &mut Vec<Command>) {
        let id = run.key().id();
        match self.stages.swap_remove(&id) {
            Some(Stage::Running(life)) => {
                let keep = self.keep_until(now, &life.key);
                let life = life.finish(run, response, keep);
                self.end(now, id, life, commands);
            }
            Some(stage) => {
                self.stages.insert(id, stage);
            }
            None => {}
        }
    }

    fn keep_until(&self, now: Tick, key: &permit::Key) -> Tick {
        now.max(Tick::ZERO + key.permit.expires) + self.timing.retain
    }

    /// Answers all waiting calls, keeps the response and sends it to the witnesses.
    fn end(
        &mut self,
        now: Tick,
        id: permit::Id,
        mut life: Life<Done>,
        commands: &mut Vec<Command>,
    ) {
        for ticket in life.waiters.drain(..) {
            let reply = Reply::Final(life.state.response.clone());
            commands.push(Command::Reply { ticket, reply });
        }
        let bytes = self.quota.limits().response_bytes;
        life.state.response = life.state.response.kept(bytes);
        self.quota.add_bytes(life.state.response.body.len());
        self.keep.insert((life.state.keep, id.clone()));
        self.active.insert(id.clone());
        self.stages.insert(id.clone(), Stage::Done(life));
        self.resend(now, &id, commands);
    }

    fn gone(&mut self, now: Tick, witness: &host::Id, commands: &mut Vec<Command>) {
        let waits = |id: &&permit::Id| match self.stages.get(*id) {
            Some(Stage::Noting(life)) => life.state.missing.contains(witness),
            _ => false,
        };
        let ids: Vec<permit::Id> = self.active.iter().filter(waits).cloned().collect();
        for id in ids {
            if let Some(Stage::Noting(life)) = self.stages.swap_remove(&id) {
                self.refuse(now, id, life, "witness-gone", commands);
            }
        }
    }

    fn tick(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let active: Vec<permit::Id> = self.active.iter().cloned().collect();
        for id in active {
            self.resend(now, &id, commands);
        }
        while let Some((keep, id)) = self.keep.pop_first() {
            if keep >= now {
                self.keep.insert((keep, id));
                break;
            }
            self.active.swap_remove(&id);
            if let Some(Stage::Done(life)) = self.stages.swap_remove(&id) {
                let bytes = life.state.response.body.len();
                self.quota.remove(&life.key.permit.team, bytes);
            }
        }
    }

    /// Repeats unanswered messages of a key; ends the wait for its witnesses when it is over.
    fn resend(&mut self, now: Tick, id: &permit::Id, commands: &mut Vec<Command>) {
        match self.stages.get_mut(id) {
            Some(Stage::Noting(life)) if now >= life.state.until => {
                if let Some(Stage::Noting(life)) = self.stages.swap_remove(id) {
                    self.refuse(now, id.clone(), life, "witness-silent", commands);
                }
            }
            Some(Stage::Noting(life)) if now >= life.state.resend => {
                life.state.resend = now + self.timing.resend;
                for witness in &life.state.missing {
                    commands.push(note_to(witness, &life.key, life.digest));
                }
            }
            Some(Stage::Done(life)) if now >= life.state.resend => {
                life.state.resend = now + self.timing.resend;
                life.state.sends += 1;
                for witness in &life.state.unacknowledged {
                    commands.push(outcome_to(witness, life));
                }
                if life.state.sends >= OUTCOME_SENDS || life.state.unacknowledged.is_empty() {
                    self.active.swap_remove(id);
                }
            }
            _ => {}
        }
    }
}

fn note_to(witness: &host::Id, key: &permit::Key, digest: Digest) -> Command {
    let key = key.clone();
    Command::Note {
        to: witness.clone(),
        note: Note { key, digest },
    }
}

fn outcome_to(witness: &host::Id, life: &Life<Done>) -> Command {
    Command::Outcome {
        to: witness.clone(),
        outcome: Outcome {
            key: life.key.clone(),
            digest: life.digest,
            response: life.state.response.clone(),
        },
    }
}

/// Returns why a verdict keeps the key from being run, or nothing if it does not.
const fn refusal_code(verdict: Verdict) -> Option<&'static str> {
    match verdict {
        Verdict::Accepted => None,
        Verdict::Recorded | Verdict::Sealed => Some("sealed"),
        Verdict::Restarted => Some("witness-restarted"),
        Verdict::Forgotten => Some("witness-forgot"),
        Verdict::Full => Some("witness-full"),
    }
}
