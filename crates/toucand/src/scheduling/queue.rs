//! The queues of this router: waiting requests, their grants, and admission.

use tokio::sync::oneshot;
use tsw_admit::admission::{AdmissionControl, Refusal as Shed};
use tsw_base::{host, name, time::Tick};
use tsw_board::Board;
use tsw_grant::{
    entry,
    message::{Grant, Id, Request, State},
};
use tsw_wire::message::Message;

use super::{Answer, Ask, Controller, Granted, Waiter};
use crate::{refusal::Refusal, turn::Turn};

impl Controller {
    /// Gives an event to the queue of a service and carries out what follows.
    pub(super) fn queue_event(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        event: entry::Event,
    ) {
        let spread = turn.out.me().incarnation.get();
        let tuning = self.queue_tuning;
        let queues = turn.board.queues.write(&self.queues);
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| entry::Queue::new(service.clone(), spread, tuning));
        let commands = queue.handle(turn.now, event);
        for command in commands {
            self.carry_out(turn, service, command);
        }
    }

    fn carry_out(&mut self, turn: &mut Turn<'_>, service: &name::Service, command: entry::Command) {
        match command {
            entry::Command::Run {
                request,
                grant,
                upstream,
            } => self.run(turn, service, (request, grant, upstream)),
            entry::Command::Expire { request } => {
                if let Some(waiter) = self.waiters.remove(&request) {
                    self.leave(turn.board, &waiter);
                    // The caller may be gone.
                    let _ = waiter.answer.send(Err(Refusal::Deadline));
                }
            }
            entry::Command::Demand { to, demand } => {
                turn.out.send(&to.host, Message::Demand(demand))
            }
            entry::Command::Release { to, release } => {
                turn.out.send(&to.host, Message::Release(release));
            }
            entry::Command::Holdings { to, holdings } => {
                turn.out.send(&to.host, Message::Holdings(holdings));
            }
        }
    }

    fn run(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        (request, id, upstream): (Request, Id, name::Upstream),
    ) {
        let address = turn.board.hosts.upstreams.get(&upstream).map(|u| u.address);
        let waiter = self.waiters.remove(&request);
        let (Some(waiter), Some(address)) = (waiter, address) else {
            return self.end(turn, service, id, State::Unused);
        };
        if let Some(bytes) = waiter.admitted {
            self.gate(turn.board, service)
                .record_grant(turn.now, &waiter.team, bytes);
        }
        let granted = Granted {
            service: service.clone(),
            id,
            upstream,
            address,
        };
        if waiter.answer.send(Ok(granted)).is_err() {
            self.end(turn, service, id, State::Unused);
        }
    }

    /// Puts a request into the queue of its service.
    pub fn push(&mut self, turn: &mut Turn<'_>, ask: Ask) -> (Request, oneshot::Receiver<Answer>) {
        self.last_request += 1;
        let request = Request(self.last_request);
        let (answer, receiver) = oneshot::channel();
        let waiter = Waiter {
            service: ask.service.clone(),
            team: ask.team.clone(),
            admitted: ask.admitted,
            answer,
        };
        self.waiters.insert(request, waiter);
        let event = entry::Event::Push {
            request,
            team: ask.team,
            class: ask.class,
            deadline: ask.deadline,
            avoid: ask.avoid,
            cost: ask.cost_hint,
        };
        self.queue_event(turn, &ask.service, event);
        (request, receiver)
    }

    /// Takes a waiting request out of its queue.
    pub fn withdraw(&mut self, turn: &mut Turn<'_>, request: Request) {
        if let Some(waiter) = self.waiters.remove(&request) {
            self.leave(turn.board, &waiter);
            let event = entry::Event::Cancel { request };
            self.queue_event(turn, &waiter.service, event);
        }
    }

    fn gate<'a>(&self, board: &'a mut Board, service: &name::Service) -> &'a mut AdmissionControl {
        let gates = board.admission.write(&self.gates);
        let limit = tsw_config::team::DEFAULT_QUEUE_LIMIT;
        let gate = gates.entry(service.clone());
        gate.or_insert_with(|| AdmissionControl::new(limit, self.queue_bytes))
    }

    fn leave(&self, board: &mut Board, waiter: &Waiter) {
        if let Some(bytes) = waiter.admitted {
            self.gate(board, &waiter.service)
                .record_departure(&waiter.team, bytes);
        }
    }

    /// Admits a request of `bytes` bytes into the queue of its team, which may hold `limit`.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted.
    pub fn admit(
        &self,
        board: &mut Board,
        now: Tick,
        service: &name::Service,
        team: &name::Team,
        (limit, bytes): (u32, u64),
        deadline: Tick,
    ) -> Result<(), Shed> {
        let gate = self.gate(board, service);
        gate.set_queue_limit(team, limit);
        gate.admit(now, team, bytes, deadline)
    }

    /// Reports the pace of a running stream.
    pub fn progress(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        grant: Id,
        pace: tsw_base::time::Span,
    ) {
        let event = entry::Event::Progress { grant, pace };
        self.queue_event(turn, service, event);
    }

    /// Reports how the use of a grant ended.
    pub fn end(&mut self, turn: &mut Turn<'_>, service: &name::Service, grant: Id, state: State) {
        let event = entry::Event::End { grant, state };
        self.queue_event(turn, service, event);
    }

    /// Takes a grant of a home.
    pub fn grant(&mut self, turn: &mut Turn<'_>, from: &host::Id, grant: Grant) {
        let service = grant.service.clone();
        let event = entry::Event::Grant {
            from: from.clone(),
            grant,
        };
        self.queue_event(turn, &service, event);
    }

    /// Returns the messages that start a session with a home.
    pub fn greeting(&mut self, turn: &mut Turn<'_>, peer: &name::Host) -> Vec<Message> {
        let Some(home) = turn.board.fleet.id(peer).cloned() else {
            return Vec::new();
        };
        self.greeted.retain(|(_, host)| host != peer);
        let mut messages = Vec::new();
        let services: Vec<name::Service> = turn.board.queues.keys().cloned().collect();
        for service in services {
            let queues = turn.board.queues.write(&self.queues);
            let Some(queue) = queues.get_mut(&service) else {
                continue;
            };
            let event = entry::Event::Session { home: home.clone() };
            for command in queue.handle(turn.now, event) {
                match command {
                    entry::Command::Demand { to, demand } if to == home => {
                        messages.push(Message::Demand(demand));
                    }
                    entry::Command::Release { to, release } if to == home => {
                        messages.push(Message::Release(release));
                    }
                    entry::Command::Holdings { to, holdings } if to == home => {
                        messages.push(Message::Holdings(holdings));
                    }
                    other => self.carry_out(turn, &service, other),
                }
            }
        }
        messages
    }
}
