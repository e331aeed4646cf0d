//! What a request asks of the router on its way.

use std::rc::Rc;

use actix_rt::time;
use tsw_admit::admission;
use tsw_audit::Line;
use tsw_base::{
    name,
    time::{Span, Tick},
};
use tsw_board::health::ServiceHealth;
use tsw_event::Event;
use tsw_grant::message::{Class, Request, State};
use tsw_health::latency::Stream;
use tsw_poison::Treatment;

use crate::{
    call::Call,
    engine::AttemptError,
    health, plain, poison,
    refusal::Refusal,
    reply::{self, Outcome, Reply},
    router::Router,
    scheduling::{Granted, SlotRequest},
    slot::{Slot, Wait},
};

impl Router {
    /// Admits a call and puts it into the queue of its service.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused. The refusal is noted.
    pub fn admit(self: &Rc<Self>, call: &Rc<Call>) -> Result<Wait, Refusal> {
        let checked = self.check(call);
        if let Err(refusal) = &checked {
            if call.repeatable {
                self.record_outcome(call, Outcome::NotRun);
            }
            return Err(refusal.clone());
        }
        self.pulse(&call.service, ServiceHealth::record_request);
        let bytes = call.body.len() as u64;
        let wait = self.ask(call, self.class(call), None, Some(bytes));
        self.record_event(
            Event::Queued,
            &call.request_id,
            &[("team", &call.team), ("service", &call.service)],
        );
        Ok(wait)
    }

    fn check(&self, call: &Call) -> Result<(), Refusal> {
        if call.deadline <= self.now() {
            return Err(Refusal::Deadline);
        }
        let treatment =
            self.read_state(|state| poison::Controller::treatment(&state.board, self.now(), call));
        if matches!(treatment, Treatment::Refused { .. }) {
            return Err(Refusal::Poison);
        }
        let rules = self.rules().ok_or(Refusal::Starting)?;
        let team = rules.bundle.teams.get(&call.team);
        let limit = team.ok_or(Refusal::Credential)?.queue_limit;
        let bytes = call.body.len() as u64;
        let admitted = self.update_state(|state, now| {
            let board = &mut state.board;
            state.control.scheduling.admit(
                board,
                now,
                &call.service,
                &call.team,
                (limit, bytes),
                call.deadline,
            )
        });
        admitted.map_err(|refusal| {
            let after = refusal.retry_after();
            match refusal {
                admission::Refusal::DeadlineTooSoon { .. } => Refusal::Late { after },
                _ => Refusal::Full { after },
            }
        })
    }

    /// Returns the class in which a call waits.
    #[must_use]
    pub fn class(&self, call: &Call) -> Class {
        let now = self.now();
        let treatment =
            self.read_state(|state| poison::Controller::treatment(&state.board, now, call));
        match treatment {
            Treatment::Solo => Class::Solo,
            _ if call.short => Class::Short,
            _ => Class::Long,
        }
    }

    /// Puts a call into the queue of its service, to run on another upstream than `avoid`.
    #[must_use]
    pub fn enqueue(
        self: &Rc<Self>,
        call: &Call,
        class: Class,
        avoid: Option<name::Upstream>,
    ) -> Wait {
        self.ask(call, class, avoid, None)
    }

    fn ask(
        self: &Rc<Self>,
        call: &Call,
        class: Class,
        avoid: Option<name::Upstream>,
        admitted: Option<u64>,
    ) -> Wait {
        let ask = SlotRequest {
            service: call.service.clone(),
            team: call.team.clone(),
            class,
            deadline: call.deadline,
            avoid,
            cost_hint: call.cost_hint,
            admitted,
        };
        let (request, answer) = self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.scheduling.enqueue(&mut turn, ask)
        });
        self.wake_scheduling.notify_one();
        Wait::new(self.clone(), request, answer)
    }

    /// Waits for a slot until the deadline.
    ///
    /// # Errors
    ///
    /// Returns why there is no slot.
    pub async fn slot_before(&self, wait: &mut Wait, call: &Call) -> Result<Slot, Refusal> {
        let left = call.deadline.since(self.now()).as_duration();
        let slot = time::timeout(left, wait.slot())
            .await
            .unwrap_or(Err(Refusal::Deadline))?;
        self.granted(call, &slot);
        Ok(slot)
    }

    /// Notes that a call got a slot.
    pub fn granted(&self, call: &Call, slot: &Slot) {
        self.record_event(
            Event::Granted,
            &call.request_id,
            &[
                ("upstream", slot.upstream()),
                ("number", &slot.granted().id.number),
            ],
        );
    }

    /// Takes a waiting request out of its queue.
    pub fn withdraw(&self, request: Request) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.scheduling.cancel(&mut turn, request);
        });
    }

    /// Reports how the use of a grant goes on.
    pub fn report(&self, granted: &Granted, progress: State) {
        if matches!(progress, State::Started | State::Running { .. }) {
            return;
        }
        if progress == State::Unused {
            tsw_event::emit(
                Event::Unused,
                &[
                    ("upstream", &granted.upstream),
                    ("number", &granted.id.number),
                ],
            );
        }
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control
                .scheduling
                .end_grant(&mut turn, &granted.service, granted.id, progress);
        });
    }

    /// Notes that an attempt at an engine failed.
    pub fn attempt_failed(&self, call: &Call, slot: Option<&Slot>, broken: &AttemptError) {
        let upstream = slot.map_or_else(|| "-".to_owned(), |slot| slot.upstream().to_string());
        self.record_event(
            Event::UpstreamFailed,
            &call.request_id,
            &[("upstream", &upstream), ("cause", broken)],
        );
        if let (Some(slot), true) = (slot, broken.is_crash()) {
            self.crashed(slot.upstream());
        }
    }

    /// Notes that an attempt at a worker of a plain service failed.
    pub fn plain_failed(&self, call: &Call, upstream: &name::Upstream, fault: &plain::Fault) {
        self.record_event(
            Event::UpstreamFailed,
            &call.request_id,
            &[("upstream", upstream), ("cause", fault)],
        );
        if matches!(fault, plain::Fault::Broken(_)) {
            self.crashed(upstream);
        }
    }

    /// Notes that a stream continues on another engine.
    pub fn resumed(&self, call: &Call, upstream: Option<&name::Upstream>, next: u64) {
        self.metrics.resumes.inc();
        let upstream = upstream.map(ToString::to_string);
        self.record_event(
            Event::Resumed,
            &call.request_id,
            &[("upstream", &upstream.unwrap_or_default()), ("next", &next)],
        );
    }

    /// Notes that a call asks for another upstream after a failure.
    pub fn retried(&self, call: &Call, next: u64) {
        self.metrics.retries.inc();
        self.record_event(Event::Retried, &call.request_id, &[("next", &next)]);
    }

    /// Notes that a stalled stream asks for a second engine.
    pub fn hedged(&self, call: &Call, next: u64) {
        self.metrics.hedges.inc();
        self.record_event(Event::Hedged, &call.request_id, &[("next", &next)]);
    }

    /// Notes that the caller closed its connection.
    pub fn disconnected(&self, call: &Call, next: u64) {
        self.record_event(Event::Disconnected, &call.request_id, &[("next", &next)]);
        let fields = [("request", &*call.request_id)];
        self.audit("disconnected", &call.request_id, &fields);
    }

    fn pulse<R>(&self, service: &name::Service, change: impl FnOnce(&mut ServiceHealth) -> R) -> R {
        self.update_state(|state, _| {
            state
                .control
                .health
                .with_service_health(&mut state.board, service, change)
        })
    }

    /// Returns whether the budget allows a retry, and takes it out of the budget.
    pub fn allow_retry(&self, call: &Call) -> bool {
        self.pulse(&call.service, |pulse| pulse.retries.try_acquire())
    }

    /// Returns whether the budget allows a hedge, and takes it out of the budget.
    pub fn allow_hedge(&self, call: &Call) -> bool {
        self.pulse(&call.service, |pulse| pulse.hedges.try_acquire())
    }

    /// Returns when a stream is stalled unless it makes progress.
    #[must_use]
    pub fn stall(&self, call: &Call, sent: Tick, stream: &Stream) -> Tick {
        self.read_state(|state| {
            health::Controller::stall_deadline(&state.board, &call.service, sent, stream)
        })
    }

    /// Notes tokens of a stream. `first` says whether they are its first.
    pub fn progress(&self, call: &Call, stream: &mut Stream, first: bool, tokens: u64) {
        let now = self.now();
        self.pulse(&call.service, |pulse| {
            stream.record_token(now, &mut pulse.latency);
            pulse.first_token_seen = true;
        });
        if first {
            let since_arrival = self.age(call).as_secs_f64();
            self.metrics.first_token.observe(since_arrival);
        }
        self.metrics.tokens.inc_by(tokens);
    }

    /// Tells the home of an upstream the token latency of a running stream.
    pub fn report_token_latency(&self, slot: &Slot, token_latency: Span) {
        let granted = slot.granted();
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.scheduling.report_token_latency(
                &mut turn,
                &granted.service,
                granted.id,
                token_latency,
            );
        });
    }

    /// Adds a line to the audit log. The line is kept for the receipt of the request.
    pub fn audit(&self, event: &str, request_id: &str, fields: &[(&str, &str)]) {
        /// Lines that are kept for receipts of answers that are being made.
        const KEPT: usize = 4_096;
        let line = self
            .update_state(|state, _| state.control.audit.record(&mut state.board, event, fields));
        let mut lines = self.audit_lines.borrow_mut();
        if lines.len() >= KEPT {
            lines.clear();
        }
        if let Some(line) = line {
            lines.insert(request_id.into(), line);
        }
    }

    /// Adds a signed receipt to an answer.
    pub fn sign(&self, answer: &mut Reply, request_id: &str) {
        if let Some(receipt) = self.receipt(request_id) {
            reply::set(answer, "toucan-receipt", &receipt);
        }
    }

    /// Returns a signed receipt for the last audit line about a request.
    #[must_use]
    pub fn receipt(&self, request_id: &str) -> Option<String> {
        let line: Line = self.audit_lines.borrow_mut().remove(request_id)?;
        Some(self.read_state(|state| state.board.audit.receipt(&line).to_string()))
    }
}
