//! The queues of this router: queued requests, their grants and admission control.

use tokio::sync::oneshot;
use tsw_admit::admission::{AdmissionControl, Refusal as Shed};
use tsw_base::{host, name, time::Timestamp};
use tsw_board::Board;
use tsw_grant::{
    entry,
    message::{Grant, Id, Request, State},
};
use tsw_wire::message::Message;

use super::{Controller, Granted, SlotRequest, SlotResult, Waiter};
use crate::{refusal::Refusal, turn::Turn};

impl Controller {
    /// Passes an event to the queue of a service and executes the resulting commands.
    pub(super) fn handle_queue_event(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        event: entry::Event,
    ) {
        let seed = turn.out.me().incarnation.get();
        let options = self.queue_options;
        let queues = turn.board.queues.write(&self.queues);
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| entry::Queue::new(service.clone(), seed, options));
        let commands = queue.handle(turn.now, event);
        for command in commands {
            self.execute(turn, service, command);
        }
    }

    fn execute(&mut self, turn: &mut Turn<'_>, service: &name::Service, command: entry::Command) {
        match command {
            entry::Command::Run {
                request,
                grant,
                upstream,
            } => self.deliver_grant(turn, service, (request, grant, upstream)),
            entry::Command::Expire { request } => {
                if let Some(waiter) = self.waiters.remove(&request) {
                    self.record_departure(turn.board, &waiter);
                    // Fails if the caller has disconnected.
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

    fn deliver_grant(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        (request, id, upstream): (Request, Id, name::Upstream),
    ) {
        let address = turn.board.hosts.upstreams.get(&upstream).map(|u| u.address);
        let waiter = self.waiters.remove(&request);
        let (Some(waiter), Some(address)) = (waiter, address) else {
            return self.end_grant(turn, service, id, State::Unused);
        };
        if let Some(bytes) = waiter.admitted {
            self.admission_control(turn.board, service)
                .record_grant(turn.now, &waiter.team, bytes);
        }
        let granted = Granted {
            service: service.clone(),
            id,
            upstream,
            address,
        };
        if waiter.answer.send(Ok(granted)).is_err() {
            self.end_grant(turn, service, id, State::Unused);
        }
    }

    /// Adds a request to the queue of its service.
    pub fn enqueue(
        &mut self,
        turn: &mut Turn<'_>,
        slot_request: SlotRequest,
    ) -> (Request, oneshot::Receiver<SlotResult>) {
        self.last_request += 1;
        let request = Request(self.last_request);
        let (answer, receiver) = oneshot::channel();
        let waiter = Waiter {
            service: slot_request.service.clone(),
            team: slot_request.team.clone(),
            admitted: slot_request.admitted,
            answer,
        };
        self.waiters.insert(request, waiter);
        let event = entry::Event::Push {
            request,
            team: slot_request.team,
            class: slot_request.class,
            deadline: slot_request.deadline,
            avoid: slot_request.avoid,
            cost: slot_request.cost_hint,
        };
        self.handle_queue_event(turn, &slot_request.service, event);
        (request, receiver)
    }

    /// Removes a waiting request from its queue.
    pub fn cancel(&mut self, turn: &mut Turn<'_>, request: Request) {
        if let Some(waiter) = self.waiters.remove(&request) {
            self.record_departure(turn.board, &waiter);
            let event = entry::Event::Cancel { request };
            self.handle_queue_event(turn, &waiter.service, event);
        }
    }

    fn admission_control<'a>(
        &self,
        board: &'a mut Board,
        service: &name::Service,
    ) -> &'a mut AdmissionControl {
        let services = board.admission.write(&self.admission);
        let limit = tsw_config::team::DEFAULT_QUEUE_LIMIT;
        let entry = services.entry(service.clone());
        entry.or_insert_with(|| AdmissionControl::new(limit, self.queue_bytes))
    }

    fn record_departure(&self, board: &mut Board, waiter: &Waiter) {
        if let Some(bytes) = waiter.admitted {
            self.admission_control(board, &waiter.service)
                .record_departure(&waiter.team, bytes);
        }
    }

    /// Admits a request of `bytes` bytes into the queue of its team, which holds up to `limit`
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted.
    pub fn admit(
        &self,
        board: &mut Board,
        now: Timestamp,
        service: &name::Service,
        team: &name::Team,
        (limit, bytes): (u32, u64),
        deadline: Timestamp,
    ) -> Result<(), Shed> {
        let admission = self.admission_control(board, service);
        admission.set_queue_limit(team, limit);
        admission.admit(now, team, bytes, deadline)
    }

    /// Reports the token latency of a running stream to its home.
    pub fn report_token_latency(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        grant: Id,
        token_latency: tsw_base::time::Span,
    ) {
        let event = entry::Event::Progress {
            grant,
            token_latency,
        };
        self.handle_queue_event(turn, service, event);
    }

    /// Reports the final state of a grant to its home.
    pub fn end_grant(
        &mut self,
        turn: &mut Turn<'_>,
        service: &name::Service,
        grant: Id,
        state: State,
    ) {
        let event = entry::Event::End { grant, state };
        self.handle_queue_event(turn, service, event);
    }

    /// Handles a grant from a home.
    pub fn receive_grant(&mut self, turn: &mut Turn<'_>, from: &host::Id, grant: Grant) {
        let service = grant.service.clone();
        let event = entry::Event::Grant {
            from: from.clone(),
            grant,
        };
        self.handle_queue_event(turn, &service, event);
    }

    /// Returns the first messages of a session with a peer: the current demand, releases and
    /// holdings of the queues for which it is a home.
    pub fn session_messages(&mut self, turn: &mut Turn<'_>, peer: &name::Host) -> Vec<Message> {
        let Some(home) = turn.board.fleet.id(peer).cloned() else {
            return Vec::new();
        };
        self.synced_targets.retain(|(_, host)| host != peer);
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
                    other => self.execute(turn, &service, other),
                }
            }
        }
        messages
    }
}
