//! Controller of the tables that keep non-idempotent calls from running twice.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use bytes::Bytes;
use indexmap::IndexMap;
use sha2::{Digest as _, Sha256};
use tokio::sync::oneshot;
use tsw_base::{host, name, time::Tick};
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_member::State;
use tsw_once::{
    owner, permit, survivor, witness, Answer, Digest, Forward, Key, Permit, Reply, Run,
};
use tsw_wire::message::Message;

use crate::{call::Call, clock, forward, outbox::Outbox, task, turn::Turn};

/// Witnesses of a permit.
const WITNESSES: usize = permit::MAX_WITNESSES;
/// Pairs of witnesses among which the permits of a router are spread. More pairs would need sessions
/// to more peers.
const WITNESS_CHOICES: u64 = 4;

/// A call that this router owns, as its run needs it.
#[derive(Clone, Debug)]
pub struct Owned {
    /// The service.
    pub service: name::Service,
    /// The request.
    pub request: forward::Request,
    /// Cost hint.
    pub cost_hint: u32,
    /// When the call is given up.
    pub deadline: Tick,
}

enum Waiter {
    Local(oneshot::Sender<Reply>),
    Peer { to: host::Id, ticket: u64 },
}

/// Owner of the sections about permits and keys.
pub struct Controller {
    owner: WriteToken<owner::Table>,
    witness: WriteToken<witness::Table>,
    survivor: WriteToken<survivor::Table>,
    signer: permit::Signer,
    issuer: permit::Issuer,
    waiters: HashMap<u64, Waiter>,
    forwards: HashMap<u64, Forward>,
    owned: IndexMap<permit::Id, Rc<Owned>>,
    last_ticket: u64,
}

/// Returns the digest that tells a request from another one under the same key.
#[must_use]
pub fn digest(method: &str, path: &str, content_type: &str, body: &[u8]) -> Digest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), content_type.as_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    Digest(hasher.finalize().into())
}

/// The pens of a [`Controller`].
pub struct Pens {
    /// For the owner's table.
    pub owner: WriteToken<owner::Table>,
    /// For the witness's table.
    pub witness: WriteToken<witness::Table>,
    /// For the table of forwarded calls.
    pub survivor: WriteToken<survivor::Table>,
}

impl Controller {
    /// Takes the pens.
    #[must_use]
    pub fn new(pens: Pens, signer: permit::Signer, issuer: permit::Issuer) -> Self {
        Self {
            owner: pens.owner,
            witness: pens.witness,
            survivor: pens.survivor,
            signer,
            issuer,
            waiters: HashMap::new(),
            forwards: HashMap::new(),
            owned: IndexMap::new(),
            last_ticket: 0,
        }
    }

    /// Issues a permit.
    pub fn issue(
        &mut self,
        board: &Board,
        now: Tick,
        team: &name::Team,
        service: &name::Service,
    ) -> Permit {
        let millis = clock::unix_micros() / 1_000;
        let choice = now.as_micros() % WITNESS_CHOICES;
        let witnesses = board.fleet.witnesses(WITNESSES, choice);
        self.issuer.issue(now, millis, team, service, witnesses)
    }

    /// Checks that a key is valid for a team and a service.
    ///
    /// # Errors
    ///
    /// Returns why it is not.
    pub fn verify(
        &self,
        key: &Key,
        team: &name::Team,
        service: &name::Service,
    ) -> Result<(), permit::Error> {
        self.signer.verify(key, team, service)
    }

    fn ticket(&mut self, waiter: Waiter) -> u64 {
        self.last_ticket += 1;
        self.waiters.insert(self.last_ticket, waiter);
        self.last_ticket
    }

    /// Takes a call of a caller of this router. The final answer arrives on the channel.
    pub fn call(&mut self, turn: &mut Turn<'_>, key: Key, call: &Call) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket(Waiter::Local(sender));
        let digest = digest(
            call.method.as_str(),
            &call.path,
            &call.content_type,
            &call.body,
        );
        if key.permit.owner == *turn.out.me() {
            let request = forward::Request {
                method: call.method.clone(),
                path: call.path.clone(),
                content_type: call.content_type.clone(),
                request_id: call.request_id.clone(),
                key: Some(Arc::from(key.to_string())),
                team: call.team.clone(),
                body: call.body.clone(),
            };
            let owned = Owned {
                service: call.service.clone(),
                request,
                cost_hint: call.cost_hint,
                deadline: call.deadline,
            };
            self.own(turn, ticket, key, digest, owned);
            return receiver;
        }
        let forward = Forward {
            ticket,
            key: key.clone(),
            method: Arc::from(call.method.as_str()),
            path: call.path.clone(),
            content_type: call.content_type.clone(),
            remaining: call.deadline.since(turn.now),
            cost_hint: call.cost_hint,
            request_id: call.request_id.clone(),
            body: Arc::from(&call.body[..]),
        };
        emit(
            Event::Forwarded,
            &[("request", &call.request_id), ("owner", &key.permit.owner)],
        );
        self.forwards.insert(ticket, forward);
        let id = key.permit.owner.clone();
        let event = survivor::Event::Call {
            ticket,
            key,
            digest,
            deadline: call.deadline,
        };
        self.survive(turn, event);
        let gone = turn.board.fleet.id(&id.host) != Some(&id)
            || turn.board.fleet.state(&id.host) == Some(State::Dead);
        if gone {
            self.survive(turn, survivor::Event::Gone { id });
        }
        receiver
    }

    #[allow(clippy::too_many_arguments)]
    fn own(&mut self, turn: &mut Turn<'_>, ticket: u64, key: Key, digest: Digest, owned: Owned) {
        let id = key.id();
        let new = !self.owned.contains_key(&id);
        if new {
            self.owned.insert(id.clone(), Rc::new(owned));
        }
        let event = owner::Event::Call {
            ticket,
            key,
            digest,
        };
        self.handle_owner(turn, event);
        // An immediate answer means that the key was known or refused and will not run.
        if !self.waiters.contains_key(&ticket) {
            emit(Event::Replayed, &[("key", &KeyId(&id))]);
            if new {
                self.owned.swap_remove(&id);
            }
        }
    }

    /// Takes a call that a peer forwarded.
    pub fn forwarded(&mut self, turn: &mut Turn<'_>, from: &host::Id, forward: Forward) {
        let permit = &forward.key.permit;
        let valid = self
            .signer
            .verify(&forward.key, &permit.team, &permit.service)
            .is_ok();
        let method = forward.method.parse();
        let (Ok(method), true, true) = (method, valid, permit.owner == *turn.out.me()) else {
            let answer = Answer {
                ticket: forward.ticket,
                reply: Reply::NotOwner,
            };
            return turn.out.send(&from.host, Message::Answer(answer));
        };
        let digest = digest(
            &forward.method,
            &forward.path,
            &forward.content_type,
            &forward.body,
        );
        let owned = Owned {
            service: permit.service.clone(),
            request: forward::Request {
                method,
                path: forward.path,
                content_type: forward.content_type,
                request_id: forward.request_id,
                key: Some(Arc::from(forward.key.to_string())),
                team: permit.team.clone(),
                body: Bytes::copy_from_slice(&forward.body),
            },
            cost_hint: forward.cost_hint,
            deadline: turn.now + forward.remaining,
        };
        let ticket = self.ticket(Waiter::Peer {
            to: from.clone(),
            ticket: forward.ticket,
        });
        self.own(turn, ticket, forward.key, digest, owned);
    }

    /// Returns the request of a key that is to run.
    #[must_use]
    pub fn owned(&self, run: &Run) -> Option<Rc<Owned>> {
        self.owned.get(&run.key().id()).cloned()
    }

    /// Takes the final response of a run.
    pub fn finished(&mut self, turn: &mut Turn<'_>, run: Run, response: tsw_once::Response) {
        self.owned.swap_remove(&run.key().id());
        let event = owner::Event::Finished { run, response };
        self.handle_owner(turn, event);
    }

    /// Gives an event to the owner's table and carries out what follows.
    pub fn handle_owner(&mut self, turn: &mut Turn<'_>, event: owner::Event) {
        for command in turn.board.owner.write(&self.owner).handle(turn.now, event) {
            match command {
                owner::Command::Note { to, note } => {
                    emit(
                        Event::IntentSent,
                        &[("witness", &to), ("key", &Short(&note.key))],
                    );
                    turn.out.send(&to.host, Message::Note(note));
                }
                owner::Command::Outcome { to, outcome } => {
                    turn.out.send(&to.host, Message::Outcome(outcome));
                }
                owner::Command::Dispatch { run } => turn.out.start(task::Task::Run(run)),
                owner::Command::Reply { ticket, reply } => self.reply(turn.out, ticket, reply),
            }
        }
    }

    fn reply(&mut self, out: &mut Outbox, ticket: u64, reply: Reply) {
        let pending = reply == Reply::Pending;
        match self.waiters.get(&ticket) {
            Some(Waiter::Peer { to, ticket }) => {
                let answer = Answer {
                    ticket: *ticket,
                    reply,
                };
                out.send(&to.host, Message::Answer(answer));
            }
            Some(Waiter::Local(_)) if !pending => {
                if let Some(Waiter::Local(sender)) = self.waiters.remove(&ticket) {
                    // The caller may be gone; the response stays in the table.
                    let _ = sender.send(reply);
                }
                return;
            }
            _ => {}
        }
        if !pending {
            self.waiters.remove(&ticket);
        }
    }

    /// Gives an event to the table of forwarded calls and carries out what follows.
    pub fn survive(&mut self, turn: &mut Turn<'_>, event: survivor::Event) {
        for command in turn
            .board
            .survivor
            .write(&self.survivor)
            .handle(turn.now, event)
        {
            match command {
                survivor::Command::Forward { to, ticket } => {
                    if let Some(forward) = self.forwards.get(&ticket) {
                        turn.out.send(&to.host, Message::Forward(forward.clone()));
                    }
                }
                survivor::Command::Seal { to, seal } => {
                    emit(
                        Event::SealSent,
                        &[("witness", &to), ("key", &Short(&seal.key))],
                    );
                    turn.out.send(&to.host, Message::Seal(seal));
                }
                survivor::Command::Reply { ticket, reply } => {
                    self.forwards.remove(&ticket);
                    self.reply(turn.out, ticket, reply);
                }
            }
        }
    }

    /// Gives an event to the witness's table and carries out what follows.
    pub fn witness(&mut self, turn: &mut Turn<'_>, event: witness::Event) {
        for command in turn
            .board
            .witness
            .write(&self.witness)
            .handle(turn.now, event)
        {
            match command {
                witness::Command::Noted { to, noted } => {
                    let verdict = format!("{:?}", noted.verdict).to_lowercase();
                    emit(
                        Event::IntentNoted,
                        &[
                            ("owner", &to),
                            ("key", &Short(&noted.key)),
                            ("verdict", &verdict),
                        ],
                    );
                    turn.out.send(&to.host, Message::Noted(noted));
                }
                witness::Command::Sealed { to, sealed } => {
                    let sealed_now = sealed.finding == tsw_once::Finding::Sealed;
                    if sealed_now {
                        emit(Event::Sealed, &[("survivor", &to)]);
                    }
                    turn.out.send(&to.host, Message::Sealed(sealed));
                }
            }
        }
    }

    /// Takes the end of a run of a peer's process.
    pub fn gone(&mut self, turn: &mut Turn<'_>, id: &host::Id) {
        self.handle_owner(turn, owner::Event::Gone { id: id.clone() });
        self.survive(turn, survivor::Event::Gone { id: id.clone() });
        self.waiters
            .retain(|_, waiter| !matches!(waiter, Waiter::Peer { to, .. } if to == id));
    }

    /// Lets time pass.
    pub fn tick(&mut self, turn: &mut Turn<'_>) {
        if !turn.board.owner.is_empty() {
            self.handle_owner(turn, owner::Event::Tick);
        }
        if !turn.board.survivor.is_empty() {
            self.survive(turn, survivor::Event::Tick);
        }
        if !turn.board.witness.is_empty() {
            self.witness(turn, witness::Event::Tick);
        }
    }
}

/// The identity of a key in a form that suits a log line.
struct KeyId<'a>(&'a permit::Id);

impl std::fmt::Display for KeyId<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}.{}", self.0.owner, self.0.number, self.0.suffix)
    }
}

/// A key in a form that suits a log line.
struct Short<'a>(&'a Key);

impl std::fmt::Display for Short<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let permit = &self.0.permit;
        write!(f, "{}/{}.{}", permit.owner, permit.number, self.0.suffix)
    }
}
