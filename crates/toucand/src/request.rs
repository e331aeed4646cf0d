//! Router operations used while a request is processed: admission, queueing, reporting and audit.

use std::rc::Rc;

use actix_rt::time;
use tsw_admit::admission;
use tsw_audit::Line;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_board::{health::ServiceHealth, runs::Software};
use tsw_event::Event;
use tsw_grant::message::{Class, Request, State};
use tsw_health::latency::Stream;
use tsw_poison::Treatment;

use crate::{
    call::Call,
    crash_detector,
    engine::{Attempt, AttemptError},
    health, plain,
    refusal::Refusal,
    reply::{self, Outcome, Reply},
    router::Router,
    scheduling::{Granted, SlotRequest},
    slot::{Slot, Wait},
};

impl Router {
    /// Applies admission control to a call and adds it to the queue of its service.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused. The refusal of an idempotent call is counted.
    pub fn admit(self: &Rc<Self>, call: &Rc<Call>) -> Result<Wait, Refusal> {
        let checked = self.check(call);
        if let Err(refusal) = &checked {
            if call.repeatable {
                self.record_outcome(call, Outcome::NotRun);
            }
            return Err(refusal.clone());
        }
        self.update_health(&call.service, ServiceHealth::record_request);
        let bytes = call.body.len() as u64;
        let wait = self.push_request(call, self.class(call), None, Some(bytes));
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
        if self.is_poison(call) && !self.start_poison_trial(call) {
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
                admission::Refusal::DeadlineTooSoon { .. } => Refusal::WaitTooLong { after },
                _ => Refusal::QueueFull { after },
            }
        })
    }

    /// Returns the scheduling class of a call.
    #[must_use]
    pub fn class(&self, call: &Call) -> Class {
        let now = self.now();
        let treatment =
            self.read_state(|state| crash_detector::Controller::treatment(&state.board, now, call));
        match treatment {
            Treatment::Solo => Class::Solo,
            _ if call.short => Class::Short,
            _ => Class::Long,
        }
    }

    /// Adds an admitted call to the queue of its service, to run on an upstream other than `avoid`.
    #[must_use]
    pub fn enqueue(
        self: &Rc<Self>,
        call: &Call,
        class: Class,
        avoid: Option<name::Upstream>,
    ) -> Wait {
        self.push_request(call, class, avoid, None)
    }

    fn push_request(
        self: &Rc<Self>,
        call: &Call,
        class: Class,
        avoid: Option<name::Upstream>,
        admitted_bytes: Option<u64>,
    ) -> Wait {
        let ask = SlotRequest {
            service: call.service.clone(),
            team: call.team.clone(),
            class,
            deadline: call.deadline,
            avoid,
            cost_hint: call.cost_hint,
            admitted: admitted_bytes,
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
    /// Returns why no slot was granted.
    pub async fn wait_for_slot(&self, wait: &mut Wait, call: &Call) -> Result<Slot, Refusal> {
        let time_left = call.deadline.since(self.now()).as_duration();
        let slot = time::timeout(time_left, wait.slot())
            .await
            .unwrap_or(Err(Refusal::Deadline))?;
        self.record_grant(call, &slot);
        Ok(slot)
    }

    /// Logs that a call was granted a slot.
    pub fn record_grant(&self, call: &Call, slot: &Slot) {
        self.record_event(
            Event::Granted,
            &call.request_id,
            &[
                ("upstream", slot.upstream()),
                ("grant", &slot.granted().id.number),
            ],
        );
    }

    /// Removes a waiting request from its queue.
    pub fn withdraw(&self, request: Request) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.scheduling.cancel(&mut turn, request);
        });
    }

    /// Reports the state of a grant to the scheduling controller; only final states are passed on.
    pub fn report(&self, granted: &Granted, state: State) {
        if matches!(state, State::Started | State::Running { .. }) {
            return;
        }
        if state == State::Unused {
            tsw_event::emit(
                Event::GrantUnused,
                &[
                    ("upstream", &granted.upstream),
                    ("grant", &granted.id.number),
                ],
            );
        }
        self.update_state(|router_state, now| {
            let (mut turn, control) = router_state.split(now);
            control
                .scheduling
                .end_grant(&mut turn, &granted.service, granted.id, state);
        });
    }

    /// Logs a failed attempt on an engine and reports a possible crash.
    pub fn record_engine_failure(
        self: &Rc<Self>,
        call: &Call,
        attempt: Option<&Attempt>,
        broken: &AttemptError,
    ) {
        let slot = attempt.and_then(Attempt::slot);
        let upstream = slot.map_or_else(|| "-".to_owned(), |slot| slot.upstream().to_string());
        self.record_event(
            Event::UpstreamFailed,
            &call.request_id,
            &[("upstream", &upstream), ("cause", broken)],
        );
        if let (Some(slot), true) = (slot, broken.is_crash()) {
            self.record_crash(slot.upstream());
            let sent = attempt.and_then(Attempt::sent);
            self.check_crash(call, slot, sent.unwrap_or(call.arrived));
        }
    }

    /// Logs a failed attempt on a worker of a plain service and reports a possible crash.
    pub fn record_plain_failure(
        &self,
        call: &Call,
        upstream: &name::Upstream,
        error: &plain::AttemptError,
    ) {
        self.record_event(
            Event::UpstreamFailed,
            &call.request_id,
            &[("upstream", upstream), ("cause", error)],
        );
        if matches!(error, plain::AttemptError::Broken(_)) {
            self.record_crash(upstream);
        }
    }

    /// Counts and logs that a stream resumes on another engine.
    pub fn record_resume(&self, call: &Call, upstream: Option<&name::Upstream>, next: u64) {
        self.metrics.resumes.inc();
        let upstream = upstream.map(ToString::to_string);
        self.record_event(
            Event::Resumed,
            &call.request_id,
            &[("upstream", &upstream.unwrap_or_default()), ("next", &next)],
        );
    }

    /// Returns what is known of the software of an upstream.
    #[must_use]
    pub fn software(&self, upstream: &name::Upstream) -> Software {
        self.read_state(|state| state.software(upstream))
    }

    /// Returns whether an upstream of a service that takes new requests is known to run a software.
    #[must_use]
    pub fn is_served(&self, service: &name::Service, software: &Software) -> bool {
        self.read_state(|state| state.is_served(service, software))
    }

    /// Counts and logs a retry of a call on another upstream.
    pub fn record_retry(&self, call: &Call, next: u64) {
        self.metrics.retries.inc();
        self.record_event(Event::Retried, &call.request_id, &[("next", &next)]);
    }

    /// Counts and logs a hedge: a stalled stream requests a second engine.
    pub fn record_hedge(&self, call: &Call, next: u64) {
        self.metrics.hedges.inc();
        self.record_event(Event::Hedged, &call.request_id, &[("next", &next)]);
    }

    /// Logs and audits that the caller closed its connection.
    pub fn record_disconnect(&self, call: &Call, next: u64) {
        self.record_event(Event::Disconnected, &call.request_id, &[("next", &next)]);
        let fields = [("request", &*call.request_id)];
        self.audit("disconnected", &call.request_id, &fields);
    }

    fn update_health<R>(
        &self,
        service: &name::Service,
        change: impl FnOnce(&mut ServiceHealth) -> R,
    ) -> R {
        self.update_state(|state, _| {
            state
                .control
                .health
                .with_service_health(&mut state.board, service, change)
        })
    }

    /// Withdraws a retry from the budget. Returns whether the budget allows it.
    pub fn allow_retry(&self, call: &Call) -> bool {
        self.update_health(&call.service, |health| health.retries.try_acquire())
    }

    /// Withdraws a hedge from the budget. Returns whether the budget allows it.
    pub fn allow_hedge(&self, call: &Call) -> bool {
        self.update_health(&call.service, |health| health.hedges.try_acquire())
    }

    /// Returns when a stream counts as stalled unless it makes progress before.
    #[must_use]
    pub fn stall_deadline(&self, call: &Call, started: Timestamp, stream: &Stream) -> Timestamp {
        self.read_state(|state| {
            health::Controller::stall_deadline(&state.board, &call.service, started, stream)
        })
    }

    /// Records tokens of a stream. `first` tells whether they are its first.
    pub fn record_tokens(&self, call: &Call, stream: &mut Stream, first: bool, tokens: u64) {
        let now = self.now();
        self.update_health(&call.service, |health| {
            stream.record_token(now, &mut health.latency);
            health.first_token_seen = true;
        });
        if first {
            let since_arrival = self.age(call).as_secs_f64();
            self.metrics.first_token.observe(since_arrival);
        }
        self.metrics.tokens.inc_by(tokens);
    }

    /// Reports the token latency of a running stream to the home of its upstream.
    pub fn report_latency(&self, slot: &Slot, latency: Span) {
        let granted = slot.granted();
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.scheduling.report_token_latency(
                &mut turn,
                &granted.service,
                granted.id,
                latency,
            );
        });
    }

    /// Adds a line to the audit log and keeps it for the receipt of the request.
    pub fn audit(&self, event: &str, request_id: &str, fields: &[(&str, &str)]) {
        /// Maximum number of lines kept for receipts of pending responses.
        const MAX_LINES: usize = 4_096;
        let line = self
            .update_state(|state, _| state.control.audit.record(&mut state.board, event, fields));
        let mut lines = self.audit_lines.borrow_mut();
        if lines.len() >= MAX_LINES {
            lines.clear();
        }
        if let Some(line) = line {
            lines.insert(request_id.into(), line);
        }
    }

    /// Adds a signed receipt to a response.
    pub fn sign(&self, response: &mut Reply, request_id: &str) {
        if let Some(receipt) = self.receipt(request_id) {
            reply::set(response, "toucan-receipt", &receipt);
        }
    }

    /// Returns a signed receipt for the last audit line about a request.
    #[must_use]
    pub fn receipt(&self, request_id: &str) -> Option<String> {
        let line: Line = self.audit_lines.borrow_mut().remove(request_id)?;
        Some(self.read_state(|state| state.board.audit.receipt(&line).to_string()))
    }
}
