//! Calls under a permit of another router.
//!
//! They are forwarded to the owner of the permit. When the owner has failed or does not answer,
//! this router acts as a survivor: it asks the witnesses of the permit to seal the key.
//!
//! A router that is not the owner must never answer "not run" to a call with a valid key by itself,
//! not even when it is overloaded: another copy of the call may reach the owner. Only the owner or
//! the seal of a witness can rule that out.

use indexmap::IndexMap;
use tsw_base::{
    host,
    time::{Span, Timestamp},
};

use crate::{
    message::{Digest, Finding, Reply, Response, Seal, Sealed},
    permit,
};

/// Timeouts and intervals of forwarded calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time in which the owner must answer a forwarded call before the witnesses are asked.
    pub owner_timeout: Span,
    /// Time in which the witnesses must answer a request for a seal.
    pub seal_timeout: Span,
    /// Interval at which an unanswered request for a seal is sent again.
    pub resend_interval: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            owner_timeout: Span::from_millis(1_000),
            seal_timeout: Span::from_millis(500),
            resend_interval: Span::from_millis(200),
        }
    }
}

/// Input of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A call under a permit of another router that passed [`permit::Signer::verify`].
    Call {
        /// Number of the call, chosen by the daemon; unique in this process.
        ticket: u64,
        /// The key.
        key: permit::Key,
        /// Digest of the request.
        digest: Digest,
        /// When the caller needs a response.
        deadline: Timestamp,
    },
    /// The owner answered a forwarded call.
    Answer {
        /// Identity of the peer in its session.
        from: host::Id,
        /// The number of the call.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// A witness answered a request for a seal.
    Sealed {
        /// Identity of the peer in its session.
        from: host::Id,
        /// The answer.
        sealed: Sealed,
    },
    /// An incarnation of a peer's process ended.
    ProcessEnded {
        /// The peer and its incarnation.
        id: host::Id,
    },
    /// Time passed. Must be sent about every 50 ms.
    Tick,
}

/// Output of the table, to be carried out by the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Forward the call to the owner of its permit.
    Forward {
        /// The owner.
        to: host::Id,
        /// The number of the call.
        ticket: u64,
    },
    /// Ask a witness to seal a key. The witness may be this router itself.
    Seal {
        /// The witness.
        to: host::Id,
        /// The request.
        seal: Seal,
    },
    /// Answer the caller. The call is finished and removed from the table.
    Reply {
        /// The number of the call.
        ticket: u64,
        /// [`Reply::Final`] or [`Reply::Conflict`].
        reply: Reply,
    },
}

#[derive(Clone, Debug)]
enum State {
    /// The call was forwarded, and the owner has not given the final response.
    Forwarded { timeout_at: Timestamp },
    /// The witnesses were asked for a seal.
    Sealing {
        awaiting: Vec<host::Id>,
        timeout_at: Timestamp,
        resend_at: Timestamp,
    },
    /// The owner accepted the call, and the witnesses could not decide it. Only the owner can
    /// answer.
    AwaitingOwner,
}

#[derive(Clone, Debug)]
struct Call {
    key: permit::Key,
    digest: Digest,
    deadline: Timestamp,
    /// The owner answered [`Reply::Pending`], and its process has not ended since.
    accepted: bool,
    state: State,
}

/// The forwarded calls of one router.
#[derive(Clone, Debug)]
pub struct Table {
    timing: Timing,
    calls: IndexMap<u64, Call>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            calls: IndexMap::new(),
        }
    }

    /// Returns the number of forwarded calls that wait for an answer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits for an answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Handles an event and returns the resulting commands.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Call {
                ticket,
                key,
                digest,
                deadline,
            } => {
                let to = key.permit.owner.clone();
                let timeout_at = (now + self.timing.owner_timeout).min(deadline);
                let call = Call {
                    key,
                    digest,
                    deadline,
                    accepted: false,
                    state: State::Forwarded { timeout_at },
                };
                self.calls.insert(ticket, call);
                commands.push(Command::Forward { to, ticket });
            }
            Event::Answer {
                from,
                ticket,
                reply,
            } => self.answer(now, &from, ticket, reply, &mut commands),
            Event::Sealed { from, sealed } => self.sealed(&from, sealed, &mut commands),
            Event::ProcessEnded { id } => self.handle_process_end(now, &id, &mut commands),
            Event::Tick => self.tick(now, &mut commands),
        }
        commands
    }

    /// Handles the owner's reply to a forwarded call.
    fn answer(
        &mut self,
        now: Timestamp,
        from: &host::Id,
        ticket: u64,
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        match reply {
            Reply::NotOwner if from.host == call.key.permit.owner.host => {
                self.seal(now, ticket, commands);
            }
            Reply::NotOwner => {}
            _ if *from != call.key.permit.owner => {}
            Reply::Pending => {
                call.accepted = true;
                if let State::Forwarded { timeout_at } = &mut call.state {
                    // Leave enough time to ask the witnesses before the caller's deadline.
                    let remaining = call.deadline.since(Timestamp::ZERO);
                    *timeout_at =
                        Timestamp::ZERO + remaining.saturating_sub(self.timing.seal_timeout);
                }
            }
            Reply::Final(_) | Reply::Conflict => self.reply(ticket, reply, commands),
        }
    }

    /// Removes a call and answers its caller.
    fn reply(&mut self, ticket: u64, reply: Reply, commands: &mut Vec<Command>) {
        if self.calls.swap_remove(&ticket).is_some() {
            commands.push(Command::Reply { ticket, reply });
        }
    }

    /// Asks all witnesses of a call for a seal, unless they were asked already.
    fn seal(&mut self, now: Timestamp, ticket: u64, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        if matches!(call.state, State::Sealing { .. }) {
            return;
        }
        let awaiting = call.key.permit.witnesses.clone();
        for witness in &awaiting {
            commands.push(seal_to(witness, ticket, call));
        }
        let no_witnesses = awaiting.is_empty();
        call.state = State::Sealing {
            awaiting,
            timeout_at: now + self.timing.seal_timeout,
            resend_at: now + self.timing.resend_interval,
        };
        if no_witnesses {
            let reply = Reply::Final(Response::unknown("no-witness"));
            self.reply(ticket, reply, commands);
        }
    }

    /// Handles a witness's reply to a request for a seal.
    fn sealed(&mut self, from: &host::Id, sealed: Sealed, commands: &mut Vec<Command>) {
        let ticket = sealed.ticket;
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        let State::Sealing { awaiting, .. } = &mut call.state else {
            return;
        };
        let is_witness = call.key.permit.witnesses.contains(from);
        let reply = match sealed.finding {
            Finding::Sealed if is_witness => Reply::Final(Response::not_run("sealed")),
            Finding::Done(response) if is_witness => Reply::Final(response),
            Finding::Conflict if is_witness => Reply::Conflict,
            _ => {
                // A restarted witness answers with another incarnation, so compare only the host.
                awaiting.retain(|witness| witness.host != from.host);
                if !awaiting.is_empty() {
                    return;
                }
                return self.resolve_undecided(ticket, commands);
            }
        };
        self.reply(ticket, reply, commands);
    }

    /// Handles a call that no witness could decide: waits for the owner if it accepted the call, or
    /// answers "unknown".
    fn resolve_undecided(&mut self, ticket: u64, commands: &mut Vec<Command>) {
        match self.calls.get_mut(&ticket) {
            Some(call) if call.accepted => call.state = State::AwaitingOwner,
            _ => {
                let reply = Reply::Final(Response::unknown("witnesses-undecided"));
                self.reply(ticket, reply, commands);
            }
        }
    }

    /// Asks the witnesses about the calls whose owner's process ended.
    fn handle_process_end(&mut self, now: Timestamp, id: &host::Id, commands: &mut Vec<Command>) {
        let of_owner = self
            .calls
            .iter()
            .filter(|(_, call)| call.key.permit.owner == *id);
        let tickets: Vec<u64> = of_owner.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some(call) = self.calls.get_mut(&ticket) {
                call.accepted = false;
            }
            self.seal(now, ticket, commands);
        }
    }

    fn tick(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let tickets: Vec<u64> = self.calls.keys().copied().collect();
        for ticket in tickets {
            self.check_timeouts(now, ticket, commands);
        }
    }

    /// Handles the timeouts of a call and sends unanswered requests for a seal again.
    fn check_timeouts(&mut self, now: Timestamp, ticket: u64, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        match &mut call.state {
            State::Forwarded { timeout_at } => {
                if now >= *timeout_at {
                    self.seal(now, ticket, commands);
                }
            }
            State::Sealing { timeout_at, .. } if now >= *timeout_at => {
                self.resolve_undecided(ticket, commands);
            }
            State::AwaitingOwner if now >= call.deadline => {
                let reply = Reply::Final(Response::unknown("owner-silent"));
                self.reply(ticket, reply, commands);
            }
            State::Sealing {
                awaiting,
                resend_at,
                ..
            } if now >= *resend_at => {
                *resend_at = now + self.timing.resend_interval;
                for witness in awaiting.clone() {
                    commands.push(seal_to(&witness, ticket, call));
                }
            }
            State::Sealing { .. } | State::AwaitingOwner => {}
        }
    }
}

fn seal_to(witness: &host::Id, ticket: u64, call: &Call) -> Command {
    Command::Seal {
        to: witness.clone(),
        seal: Seal {
            ticket,
            key: call.key.clone(),
            digest: call.digest,
        },
    }
}
