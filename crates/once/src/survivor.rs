//! Calls under a permit of another router: forwarded to the owner, and decided by its witnesses
//! when the owner is gone.
//!
//! A router that is not the owner must not answer "not run" to a call with a valid key on its own,
//! whatever its load: another copy of the call may reach the owner. Only the owner and a witness's
//! seal can rule that out.

use indexmap::IndexMap;
use tsw_base::{
    host,
    time::{Span, Tick},
};

use crate::{
    message::{Digest, Finding, Reply, Response, Seal, Sealed},
    permit,
};

/// Times of forwarded calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time that the owner has to take a call.
    pub take: Span,
    /// Time that witnesses have to answer.
    pub seal: Span,
    /// Time between two sendings of an unanswered request for a seal.
    pub resend: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            take: Span::from_millis(1_000),
            seal: Span::from_millis(500),
            resend: Span::from_millis(200),
        }
    }
}

/// What the table reacts to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A call under a permit of another router that passed [`permit::Signer::verify`].
    Call {
        /// Chosen by the daemon, unique in this process.
        ticket: u64,
        /// The key.
        key: permit::Key,
        /// Digest of the request.
        digest: Digest,
        /// When the caller needs an answer.
        deadline: Tick,
    },
    /// The owner answered.
    Answer {
        /// The peer, as its session names it.
        from: host::Id,
        /// The number of the call.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// A witness answered.
    Sealed {
        /// The peer, as its session names it.
        from: host::Id,
        /// The answer.
        sealed: Sealed,
    },
    /// A run of a peer's process ended.
    Gone {
        /// The run.
        id: host::Id,
    },
    /// Time passed. Needed about every 50 ms.
    Tick,
}

/// What the table asks for.
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
    /// Answer the caller; the call is over.
    Reply {
        /// The number of the call.
        ticket: u64,
        /// [`Reply::Final`] or [`Reply::Conflict`].
        reply: Reply,
    },
}

#[derive(Clone, Debug)]
enum State {
    Forwarded {
        until: Tick,
    },
    Sealing {
        missing: Vec<host::Id>,
        until: Tick,
        resend: Tick,
    },
    /// The owner took the call, and no witness can decide it: only the owner's answer can.
    Waiting,
}

#[derive(Clone, Debug)]
struct Call {
    key: permit::Key,
    digest: Digest,
    deadline: Tick,
    taken: bool,
    state: State,
}

/// The forwarded calls of one router.
#[derive(Clone, Debug)]
pub struct Table {
    timing: Timing,
    calls: IndexMap<u64, Call>,
}

impl Table {
    /// Makes an empty table.
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

    /// Tells whether no call waits for an answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Call {
                ticket,
                key,
                digest,
                deadline,
            } => {
                let to = key.permit.owner.clone();
                let until = (now + self.timing.take).min(deadline);
                let call = Call {
                    key,
                    digest,
                    deadline,
                    taken: false,
                    state: State::Forwarded { until },
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
            Event::Gone { id } => self.gone(now, &id, &mut commands),
            Event::Tick => self.tick(now, &mut commands),
        }
        commands
    }

    fn answer(
        &mut self,
        now: Tick,
        from: &host::Id,
        ticket: u64,
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        match reply {
            Reply::Stranger if from.host == call.key.permit.owner.host => {
                self.seal(now, ticket, commands);
            }
            Reply::Stranger => {}
            _ if *from != call.key.permit.owner => {}
            Reply::Pending => {
                call.taken = true;
                if let State::Forwarded { until } = &mut call.state {
                    // Leaves time to ask the witnesses before the caller's deadline.
                    let spare = call.deadline.since(Tick::ZERO);
                    *until = Tick::ZERO + spare.saturating_sub(self.timing.seal);
                }
            }
            Reply::Final(_) | Reply::Conflict => self.reply(ticket, reply, commands),
        }
    }

    fn reply(&mut self, ticket: u64, reply: Reply, commands: &mut Vec<Command>) {
        if self.calls.swap_remove(&ticket).is_some() {
            commands.push(Command::Reply { ticket, reply });
        }
    }

    /// Asks all witnesses of a call for a seal.
    fn seal(&mut self, now: Tick, ticket: u64, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        if matches!(call.state, State::Sealing { .. }) {
            return;
        }
        let missing = call.key.permit.witnesses.clone();
        for witness in &missing {
            commands.push(seal_to(witness, ticket, call));
        }
        let none = missing.is_empty();
        call.state = State::Sealing {
            missing,
            until: now + self.timing.seal,
            resend: now + self.timing.resend,
        };
        if none {
            let reply = Reply::Final(Response::unknown("no-witness"));
            self.reply(ticket, reply, commands);
        }
    }

    fn sealed(&mut self, from: &host::Id, sealed: Sealed, commands: &mut Vec<Command>) {
        let ticket = sealed.ticket;
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        let State::Sealing { missing, .. } = &mut call.state else {
            return;
        };
        let known = call.key.permit.witnesses.contains(from);
        let reply = match sealed.finding {
            Finding::Sealed if known => Reply::Final(Response::not_run("sealed")),
            Finding::Done(response) if known => Reply::Final(response),
            Finding::Conflict if known => Reply::Conflict,
            _ => {
                // A restarted witness answers under another incarnation.
                missing.retain(|witness| witness.host != from.host);
                if !missing.is_empty() {
                    return;
                }
                return self.undecided(ticket, commands);
            }
        };
        self.reply(ticket, reply, commands);
    }

    /// Handles a call that its witnesses do not decide.
    fn undecided(&mut self, ticket: u64, commands: &mut Vec<Command>) {
        match self.calls.get_mut(&ticket) {
            Some(call) if call.taken => call.state = State::Waiting,
            _ => {
                let reply = Reply::Final(Response::unknown("witnesses-undecided"));
                self.reply(ticket, reply, commands);
            }
        }
    }

    fn gone(&mut self, now: Tick, id: &host::Id, commands: &mut Vec<Command>) {
        let owned = self
            .calls
            .iter()
            .filter(|(_, call)| call.key.permit.owner == *id);
        let tickets: Vec<u64> = owned.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some(call) = self.calls.get_mut(&ticket) {
                call.taken = false;
            }
            self.seal(now, ticket, commands);
        }
    }

    fn tick(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let tickets: Vec<u64> = self.calls.keys().copied().collect();
        for ticket in tickets {
            self.check(now, ticket, commands);
        }
    }

    fn check(&mut self, now: Tick, ticket: u64, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        match &mut call.state {
            State::Forwarded { until } => {
                if now >= *until {
                    self.seal(now, ticket, commands);
                }
            }
            State::Sealing { until, .. } if now >= *until => {
                self.undecided(ticket, commands);
            }
            State::Waiting if now >= call.deadline => {
                let reply = Reply::Final(Response::unknown("owner-silent"));
                self.reply(ticket, reply, commands);
            }
            State::Sealing {
                missing, resend, ..
            } if now >= *resend => {
                *resend = now + self.timing.resend;
                for witness in missing.clone() {
                    commands.push(seal_to(&witness, ticket, call));
                }
            }
            State::Sealing { .. } | State::Waiting => {}
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
