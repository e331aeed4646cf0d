//! Controller of the permit tables, which prevent non-idempotent calls from running twice.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use bytes::Bytes;
use indexmap::IndexMap;
use sha2::{Digest as _, Sha256};
use tokio::sync::oneshot;
use tsw_base::{host, name, time::Timestamp};
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_member::State;
use tsw_once::{
    owner, permit, survivor, witness, Answer, Digest, Forward, Key, Permit, Reply, Run,
};
use tsw_wire::message::Message;

use crate::{call::Call, clock, forward, outbox::Outbox, task, turn::Turn};

/// Number of witnesses of a permit.
const WITNESS_COUNT: usize = permit::MAX_WITNESSES;
/// Number of witness pairs that the permits of a router are distributed over. More pairs would need
/// sessions with more peers.
const WITNESS_PAIRS: u64 = 4;

/// A call whose permit this router owns, with the data needed to run it.
#[derive(Clone, Debug)]
pub struct OwnedCall {
    /// The service.
    pub service: name::Service,
    /// The request.
    pub request: forward::Request,
    /// Cost hint.
    pub cost_hint: u32,
    /// Deadline after which the call is abandoned.
    pub deadline: Timestamp,
}

enum Waiter {
    Local(oneshot::Sender<Reply>),
    Peer { to: host::Id, ticket: u64 },
}

/// Writes the owner, witness and survivor sections of the blackboard.
pub struct Controller {
    owner: WriteToken<owner::Table>,
    witness: WriteToken<witness::Table>,
    survivor: WriteToken<survivor::Table>,
    signer: permit::Signer,
    issuer: permit::Issuer,
    waiters: HashMap<u64, Waiter>,
    forwards: HashMap<u64, Forward>,
    owned_calls: IndexMap<permit::Id, Rc<OwnedCall>>,
    last_ticket: u64,
}

/// Returns a digest that distinguishes different requests with the same key.
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

/// The write tokens of a [`Controller`].
pub struct WriteTokens {
    /// Token of the owner table.
    pub owner: WriteToken<owner::Table>,
    /// Token of the witness table.
    pub witness: WriteToken<witness::Table>,
    /// Token of the survivor table.
    pub survivor: WriteToken<survivor::Table>,
}

impl Controller {
    /// Creates the controller with the write tokens of its sections.
    #[must_use]
    pub fn new(tokens: WriteTokens, signer: permit::Signer, issuer: permit::Issuer) -> Self {
        Self {
            owner: tokens.owner,
            witness: tokens.witness,
            survivor: tokens.survivor,
            signer,
            issuer,
            waiters: HashMap::new(),
            forwards: HashMap::new(),
            owned_calls: IndexMap::new(),
            last_ticket: 0,
        }
    }

    /// Issues a permit.
    pub fn issue(
        &mut self,
        board: &Board,
        now: Timestamp,
        team: &name::Team,
        service: &name::Service,
    ) -> Permit {
        let millis = clock::unix_micros() / 1_000;
        let choice = now.as_micros() % WITNESS_PAIRS;
        let witnesses = board.fleet.witnesses(WITNESS_COUNT, choice);
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

    fn register_waiter(&mut self, waiter: Waiter) -> u64 {
        self.last_ticket += 1;
        self.waiters.insert(self.last_ticket, waiter);
        self.last_ticket
    }

    /// Starts a call received by this router: runs it if this router owns the permit, and forwards
    /// it to the owner otherwise. The final reply is sent on the returned channel.
    pub fn call(&mut self, turn: &mut Turn<'_>, key: Key, call: &Call) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.register_waiter(Waiter::Local(sender));
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
            let owned = OwnedCall {
                service: call.service.clone(),
                request,
                cost_hint: call.cost_hint,
                deadline: call.deadline,
            };
            self.handle_owned_call(turn, ticket, key, digest, owned);
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
        self.handle_survivor(turn, event);
        let ended = turn.board.fleet.id(&id.host) != Some(&id)
            || turn.board.fleet.state(&id.host) == Some(State::Dead);
        if ended {
            self.handle_survivor(turn, survivor::Event::ProcessEnded { id });
        }
        receiver
    }

    #[allow(clippy::too_many_arguments)]
    fn handle_owned_call(
        &mut self,
        turn: &mut Turn<'_>,
        ticket: u64,
        key: Key,
        digest: Digest,
        owned: OwnedCall,
    ) {
        let id = key.id();
        let is_new = !self.owned_calls.contains_key(&id);
        if is_new {
            self.owned_calls.insert(id.clone(), Rc::new(owned));
        }
        let event = owner::Event::Call {
            ticket,
            key,
            digest,
        };
        self.handle_owner(turn, event);
        // An immediate reply means that the key is known or refused, so the call does not run.
        if !self.waiters.contains_key(&ticket) {
            emit(Event::Replayed, &[("key", &DisplayKeyId(&id))]);
            if is_new {
                self.owned_calls.swap_remove(&id);
            }
        }
    }

    /// Handles a call forwarded by a peer.
    pub fn handle_forward(&mut self, turn: &mut Turn<'_>, from: &host::Id, forward: Forward) {
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
        let owned = OwnedCall {
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
        let ticket = self.register_waiter(Waiter::Peer {
            to: from.clone(),
            ticket: forward.ticket,
        });
        self.handle_owned_call(turn, ticket, forward.key, digest, owned);
    }

    /// Returns the call of a run.
    #[must_use]
    pub fn owned_call(&self, run: &Run) -> Option<Rc<OwnedCall>> {
        self.owned_calls.get(&run.key().id()).cloned()
    }

    /// Records the final response of a run.
    pub fn record_response(&mut self, turn: &mut Turn<'_>, run: Run, response: tsw_once::Response) {
        self.owned_calls.swap_remove(&run.key().id());
        let event = owner::Event::Finished { run, response };
        self.handle_owner(turn, event);
    }

    /// Passes an event to the owner table and executes the resulting commands.
    pub fn handle_owner(&mut self, turn: &mut Turn<'_>, event: owner::Event) {
        for command in turn.board.owner.write(&self.owner).handle(turn.now, event) {
            match command {
                owner::Command::Intent { to, intent } => {
                    emit(
                        Event::IntentSent,
                        &[("witness", &to), ("key", &DisplayKey(&intent.key))],
                    );
                    turn.out.send(&to.host, Message::Intent(intent));
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
                    // Fails if the caller has disconnected; the response stays in the table.
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

    /// Passes an event to the survivor table and executes the resulting commands.
    pub fn handle_survivor(&mut self, turn: &mut Turn<'_>, event: survivor::Event) {
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
                        &[("witness", &to), ("key", &DisplayKey(&seal.key))],
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

    /// Passes an event to the witness table and executes the resulting commands.
    pub fn handle_witness(&mut self, turn: &mut Turn<'_>, event: witness::Event) {
        for command in turn
            .board
            .witness
            .write(&self.witness)
            .handle(turn.now, event)
        {
            match command {
                witness::Command::WitnessReply { to, reply } => {
                    let verdict = format!("{:?}", reply.verdict).to_lowercase();
                    emit(
                        Event::IntentNoted,
                        &[
                            ("owner", &to),
                            ("key", &DisplayKey(&reply.key)),
                            ("verdict", &verdict),
                        ],
                    );
                    turn.out.send(&to.host, Message::WitnessReply(reply));
                }
                witness::Command::Sealed { to, sealed } => {
                    let is_sealed = sealed.finding == tsw_once::Finding::Sealed;
                    if is_sealed {
                        emit(Event::Sealed, &[("survivor", &to)]);
                    }
                    turn.out.send(&to.host, Message::Sealed(sealed));
                }
            }
        }
    }

    /// Handles the end of an incarnation of a peer's process.
    pub fn handle_process_end(&mut self, turn: &mut Turn<'_>, id: &host::Id) {
        self.handle_owner(turn, owner::Event::ProcessEnded { id: id.clone() });
        self.handle_survivor(turn, survivor::Event::ProcessEnded { id: id.clone() });
        self.waiters
            .retain(|_, waiter| !matches!(waiter, Waiter::Peer { to, .. } if to == id));
    }

    /// Runs the timers of the tables.
    pub fn tick(&mut self, turn: &mut Turn<'_>) {
        if !turn.board.owner.is_empty() {
            self.handle_owner(turn, owner::Event::Tick);
        }
        if !turn.board.survivor.is_empty() {
            self.handle_survivor(turn, survivor::Event::Tick);
        }
        if !turn.board.witness.is_empty() {
            self.handle_witness(turn, witness::Event::Tick);
        }
    }
}

/// Formats the identity of a key for a log line.
struct DisplayKeyId<'a>(&'a permit::Id);

impl std::fmt::Display for DisplayKeyId<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}.{}", self.0.owner, self.0.number, self.0.suffix)
    }
}

/// Formats a key for a log line, without its tag.
struct DisplayKey<'a>(&'a Key);

impl std::fmt::Display for DisplayKey<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let permit = &self.0.permit;
        write!(f, "{}/{}.{}", permit.owner, permit.number, self.0.suffix)
    }
}
