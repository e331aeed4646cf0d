//! Relays the stream of a model engine to a caller.
//!
//! Each token is sent exactly once. When the active attempt fails or stalls, a candidate attempt on
//! another engine resumes the stream from the next token. After a stall both run until one of
//! them makes progress: the candidate becomes active with its first token, or is dropped if the
//! active attempt recovers.

use std::{rc::Rc, time::Duration};

use actix_rt::time;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::future::{pending, LocalBoxFuture};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_board::runs::Software;
use tsw_grant::message::Class;
use tsw_health::latency::Stream;

use crate::{
    call::Call,
    engine::{self, Attempt, AttemptError, Line},
    refusal::Refusal,
    router::{InFlightGuard, Router},
    slot::{Slot, Wait},
};

mod end;
mod version;

/// Maximum number of attempts per request, so that a request that no engine can complete ends.
const MAX_ATTEMPTS: u32 = 5;
/// Maximum number of attempts per request that fail without a connection to the engine.
const MAX_UNREACHABLE: u32 = 20;
/// Minimum interval between two reports of the token latency of a stream.
const REPORT_PERIOD: Span = Span::from_millis(250);

/// Why a request ended without a complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It was not run.
    Refused(Refusal),
    /// The response is incomplete.
    Cut {
        /// Machine-readable reason.
        code: &'static str,
        /// Human-readable reason.
        message: String,
    },
}

/// The attempt that is to replace the active one, or to become the first.
enum Candidate {
    /// Queued for a slot.
    Waiting(Wait),
    /// Connecting to the engine.
    Opening(LocalBoxFuture<'static, Result<Attempt, AttemptError>>),
    /// Connected, but without progress yet.
    Open(Box<Attempt>),
}

/// The next event that the relay handles.
enum Step {
    Active(Result<Vec<Line>, AttemptError>),
    Slot(Result<Slot, Refusal>),
    Opened(Result<Attempt, AttemptError>),
    Candidate(Result<Vec<Line>, AttemptError>),
    Stall,
    Deadline,
}

/// Relays the response to one request from the engines to its caller.
pub struct Relay {
    router: Rc<Router>,
    call: Rc<Call>,
    body: Map<String, Value>,
    active: Option<Attempt>,
    candidate: Option<Candidate>,
    /// Whether a stall of the active attempt has been handled, so that it is not handled again until
    /// the stream makes progress or the candidate fails.
    hedging: bool,
    candidate_stall_deadline: Timestamp,
    attempts: u32,
    unreachable_attempts: u32,
    may_have_run: bool,
    last_error: Option<AttemptError>,
    /// The upstream of the last attempt, which the next retry must not use.
    avoid: Option<name::Upstream>,
    /// Index of the next token to send to the caller.
    next_token: u64,
    /// Software of the engine that sent the first token.
    software: Option<Software>,
    /// Slots returned because their engine is not known to run this software.
    mismatched_slots: u32,
    digest: Sha256,
    /// When the active attempt started.
    started: Timestamp,
    latency: Stream,
    /// Time and value of the last latency report to the home.
    last_report: Option<(Timestamp, Span)>,
    finished: bool,
    flight: InFlightGuard,
}

/// The next part of the response to the caller.
pub enum Output {
    /// Events; more follow.
    Events(Bytes),
    /// The last events.
    Last(Bytes),
}

impl Relay {
    /// Creates a relay whose first slot is not granted yet.
    #[must_use]
    pub fn new(
        router: Rc<Router>,
        call: Rc<Call>,
        body: Map<String, Value>,
        wait: Wait,
        flight: InFlightGuard,
    ) -> Self {
        let now = router.now();
        Self {
            router,
            call,
            body,
            active: None,
            candidate: Some(Candidate::Waiting(wait)),
            hedging: false,
            candidate_stall_deadline: now,
            attempts: 1,
            unreachable_attempts: 0,
            may_have_run: false,
            last_error: None,
            avoid: None,
            next_token: 0,
            software: None,
            mismatched_slots: 0,
            digest: Sha256::new(),
            started: now,
            latency: Stream::new(now),
            last_report: None,
            finished: false,
            flight,
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn call(&self) -> &Rc<Call> {
        &self.call
    }

    /// Waits for the next events. A failure before the first token is returned as an error, so that
    /// the HTTP status can report it; a later failure is sent as the last event of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the request ended without a response.
    pub async fn next(&mut self) -> Result<Output, Failure> {
        loop {
            let handled = match self.step().await {
                Step::Active(Ok(lines)) => self.accept_lines(lines, false),
                Step::Candidate(Ok(lines)) => self.accept_lines(lines, true),
                Step::Active(Err(broken)) => self.active_failed(&broken),
                Step::Candidate(Err(broken)) => self.candidate_failed(&broken),
                Step::Opened(Err(broken)) => self.candidate_failed(&broken),
                Step::Slot(Ok(_)) if self.next_token == 0 && self.router.is_poison(&self.call) => {
                    // It was confirmed while the call was queued.
                    self.slot_refused(Refusal::Poison)
                }
                Step::Slot(Ok(slot)) if !self.may_continue_at(slot.upstream()) => {
                    self.return_slot(slot)
                }
                Step::Slot(Ok(slot)) => {
                    self.open_candidate(slot);
                    Ok(None)
                }
                Step::Slot(Err(refusal)) => self.slot_refused(refusal),
                Step::Opened(Ok(attempt)) => self.take_over(attempt),
                Step::Stall => {
                    self.hedge();
                    Ok(None)
                }
                Step::Deadline => self.deadline_passed(),
            };
            match handled {
                Ok(None) => {}
                Ok(Some(output)) => return Ok(output),
                Err(failure) => return self.fail(failure),
            }
        }
    }

    async fn step(&mut self) -> Step {
        let now = self.router.now();
        let stall = match &self.candidate {
            None if !self.hedging => Some(self.router.stall_deadline(
                &self.call,
                self.started,
                &self.latency,
            )),
            Some(Candidate::Open(_)) => Some(self.candidate_stall_deadline),
            _ => None,
        };
        let stall = stall.filter(|_| self.active.is_some());
        let hedge_in = stall.map_or(Duration::ZERO, |stall| stall.since(now).as_duration());
        let deadline_in = self.call.deadline.since(now).as_duration();
        let Self {
            active, candidate, ..
        } = self;
        let active = async {
            match active {
                Some(attempt) => attempt.read().await,
                None => pending().await,
            }
        };
        let candidate = async {
            match candidate {
                Some(Candidate::Waiting(wait)) => Step::Slot(wait.slot().await),
                Some(Candidate::Opening(opening)) => Step::Opened(opening.await),
                Some(Candidate::Open(attempt)) => Step::Candidate(attempt.read().await),
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            read = active => Step::Active(read),
            step = candidate => step,
            () = time::sleep(hedge_in.max(Duration::from_millis(1))), if stall.is_some() => Step::Stall,
            () = time::sleep(deadline_in) => Step::Deadline,
        }
    }

    fn open_candidate(&mut self, slot: Slot) {
        self.router.record_grant(&self.call, &slot);
        // If this attempt fails, the next one uses another upstream.
        self.avoid = Some(slot.upstream().clone());
        let opening = engine::open(
            self.router.clone(),
            slot,
            self.call.clone(),
            self.body.clone(),
            self.next_token,
        );
        self.candidate = Some(Candidate::Opening(Box::pin(opening)));
    }

    fn opened(&mut self, attempt: Attempt) {
        self.may_have_run = true;
        if self.active.is_some() {
            self.candidate = Some(Candidate::Open(Box::new(attempt)));
            self.reset_candidate_stall();
            return;
        }
        if self.next_token > 0 {
            self.router.record_resume(
                &self.call,
                attempt.slot().map(Slot::upstream),
                self.next_token,
            );
        }
        self.active = Some(attempt);
        self.candidate = None;
        self.reset_latency();
    }

    /// Restarts the stall timeout of the candidate, which has just shown activity.
    fn reset_candidate_stall(&mut self) {
        let now = self.router.now();
        self.candidate_stall_deadline =
            self.router
                .stall_deadline(&self.call, now, &Stream::new(now));
    }

    /// Resets the latency measurement for a new active attempt.
    fn reset_latency(&mut self) {
        let now = self.router.now();
        self.started = now;
        self.latency = Stream::new(now);
        self.last_report = None;
    }

    fn accept_lines(
        &mut self,
        lines: Vec<Line>,
        from_candidate: bool,
    ) -> Result<Option<Output>, Failure> {
        let mut events = BytesMut::new();
        let before = self.next_token;
        if from_candidate {
            match self.candidate.take() {
                Some(Candidate::Open(attempt)) if !self.may_take_over(&attempt) => {
                    return self.drop_candidate(*attempt);
                }
                candidate => self.candidate = candidate,
            }
            self.reset_candidate_stall();
        }
        for line in lines {
            match line {
                Line::Token { index, .. } if index < self.next_token => {}
                Line::Token { index, text } if index == self.next_token => {
                    self.push_token(&text, &mut events)
                }
                Line::Token { index, .. } => {
                    let broken = AttemptError::UnexpectedToken {
                        found: index,
                        expected: self.next_token,
                    };
                    return self.handle_protocol_error(&broken, from_candidate, events);
                }
                Line::End { tokens } if tokens == self.next_token => {
                    self.record_progress(before, from_candidate);
                    return Ok(Some(self.complete(events)));
                }
                Line::End { tokens } => {
                    let text = format!("{tokens} tokens announced, {} arrived", self.next_token);
                    return self.handle_protocol_error(
                        &AttemptError::Malformed(text),
                        from_candidate,
                        events,
                    );
                }
            }
        }
        if self.next_token > before {
            self.record_progress(before, from_candidate);
        }
        Ok((!events.is_empty()).then(|| Output::Events(events.freeze())))
    }

    fn push_token(&mut self, text: &[u8], events: &mut BytesMut) {
        events.put_slice(b"data: ");
        events.put_slice(text);
        events.put_slice(b"\n\n");
        self.digest.update(text);
        self.digest.update(b"\n");
        self.next_token += 1;
    }

    /// Records progress. A candidate that made progress becomes the active attempt. If the active
    /// attempt made progress before its stall deadline, the candidate is dropped; a late token,
    /// which a slow engine often sends while the candidate is being opened, does not drop it.
    fn record_progress(&mut self, before: u64, from_candidate: bool) {
        let stalled = self
            .router
            .stall_deadline(&self.call, self.started, &self.latency)
            <= self.router.now();
        if from_candidate {
            if let Some(Candidate::Open(attempt)) = self.candidate.take() {
                self.router
                    .record_resume(&self.call, attempt.slot().map(Slot::upstream), before);
                self.active = Some(*attempt);
                self.reset_latency();
            }
        } else if !stalled {
            self.candidate = None;
        }
        self.record_software();
        self.hedging = self.candidate.is_some();
        let tokens = self.next_token - before;
        let first = before == 0 && tokens > 0;
        self.router
            .record_tokens(&self.call, &mut self.latency, first, tokens);
        self.report_latency();
    }

    /// Reports the token latency to the home: first after `REPORT_PERIOD`, then whenever it has
    /// more than doubled or halved.
    fn report_latency(&mut self) {
        let now = self.router.now();
        let Some(mean) = self.latency.mean_gap(now) else {
            return;
        };
        let due = match self.last_report {
            None => now.since(self.started) >= REPORT_PERIOD,
            Some((at, old)) => now.since(at) >= REPORT_PERIOD && (mean > old * 2 || old > mean * 2),
        };
        if let (true, Some(slot)) = (due, self.active.as_ref().and_then(Attempt::slot)) {
            self.router.report_latency(slot, mean);
            self.last_report = Some((now, mean));
        }
    }

    /// Handles a protocol error of an attempt. Tokens received before the error are kept.
    fn handle_protocol_error(
        &mut self,
        broken: &AttemptError,
        from_candidate: bool,
        events: BytesMut,
    ) -> Result<Option<Output>, Failure> {
        let handled = if from_candidate {
            self.candidate_failed(broken)
        } else {
            self.active_failed(broken)
        };
        if events.is_empty() {
            return handled;
        }
        match handled {
            Ok(_) => Ok(Some(Output::Events(events.freeze()))),
            Err(failure) => {
                let mut events = events;
                self.close_stream(&failure, &mut events);
                Ok(Some(Output::Last(events.freeze())))
            }
        }
    }

    fn active_failed(&mut self, broken: &AttemptError) -> Result<Option<Output>, Failure> {
        self.check_software();
        if let Some(attempt) = self.active.take() {
            self.router
                .record_engine_failure(&self.call, Some(&attempt), broken);
            attempt.fail();
        }
        self.last_error = Some(broken.clone());
        match self.candidate.take() {
            Some(Candidate::Open(attempt)) => self.take_over(*attempt),
            Some(candidate) => {
                self.candidate = Some(candidate);
                Ok(None)
            }
            None => self.retry(),
        }
    }

    fn candidate_failed(&mut self, broken: &AttemptError) -> Result<Option<Output>, Failure> {
        if let Some(Candidate::Open(attempt)) = self.candidate.take() {
            self.router
                .record_engine_failure(&self.call, Some(&attempt), broken);
            attempt.fail();
        } else {
            self.router.record_engine_failure(&self.call, None, broken);
        }
        self.may_have_run |= !matches!(broken, AttemptError::Unreachable(_));
        self.last_error = Some(broken.clone());
        if self.active.is_some() {
            self.hedging = false;
            return Ok(None);
        }
        self.retry()
    }

    /// Requests another slot after a failure, if the retry budget allows it.
    fn retry(&mut self) -> Result<Option<Output>, Failure> {
        self.call.on_trial.set(false);
        let unreachable = matches!(self.last_error, Some(AttemptError::Unreachable(_)));
        self.unreachable_attempts += u32::from(unreachable);
        // An attempt that was not sent does not load the upstreams, so it has a limit of its own.
        let allowed = if unreachable {
            self.unreachable_attempts < MAX_UNREACHABLE
        } else {
            self.attempts < MAX_ATTEMPTS && self.router.allow_retry(&self.call)
        };
        if !allowed {
            return Err(self.failure("upstream"));
        }
        self.attempts += u32::from(!unreachable);
        self.router.record_retry(&self.call, self.next_token);
        let class = if self.may_have_run {
            Class::Urgent
        } else {
            self.router.class(&self.call)
        };
        self.enqueue_candidate(class)
    }

    fn enqueue_candidate(&mut self, class: Class) -> Result<Option<Output>, Failure> {
        let wait = self.router.enqueue(&self.call, class, self.avoid.clone());
        self.candidate = Some(Candidate::Waiting(wait));
        Ok(None)
    }

    /// Requests another engine in addition to the active one, replacing a candidate that has also
    /// stalled.
    fn hedge(&mut self) {
        self.hedging = true;
        let stalled = self.candidate.take();
        // The time since the last token counts as a gap, so that the home learns of a slow engine
        // while the stream is running.
        self.report_latency();
        if self.attempts >= MAX_ATTEMPTS || !self.router.allow_hedge(&self.call) {
            // The stalled candidate is kept, but without a stall timeout until it shows activity.
            self.candidate = stalled;
            self.candidate_stall_deadline = Timestamp::from_micros(u64::MAX);
            return;
        }
        self.attempts += 1;
        self.router.record_hedge(&self.call, self.next_token);
        let slow = match &stalled {
            Some(Candidate::Open(attempt)) => Some(&**attempt),
            _ => self.active.as_ref(),
        };
        let slow = slow.and_then(Attempt::slot);
        let slow = slow.map(|slot| slot.upstream().clone());
        let wait = self.router.enqueue(&self.call, Class::Urgent, slow);
        self.candidate = Some(Candidate::Waiting(wait));
    }

    fn slot_refused(&mut self, refusal: Refusal) -> Result<Option<Output>, Failure> {
        self.candidate = None;
        if self.active.is_some() {
            return Ok(None);
        }
        if self.may_have_run {
            return Err(self.failure(refusal.code()));
        }
        Err(Failure::Refused(refusal))
    }

    fn deadline_passed(&mut self) -> Result<Option<Output>, Failure> {
        if self.may_have_run {
            return Err(Failure::Cut {
                code: "deadline",
                message: Refusal::Deadline.to_string(),
            });
        }
        Err(Failure::Refused(Refusal::Deadline))
    }

    fn failure(&self, code: &'static str) -> Failure {
        if !self.may_have_run {
            return Failure::Refused(Refusal::Unreachable);
        }
        let cause = self.last_error.as_ref().map(ToString::to_string);
        Failure::Cut {
            code,
            message: cause.unwrap_or_else(|| "no upstream completed the response".to_owned()),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            self.router.record_disconnect(&self.call, self.next_token);
        }
        self.flight.end();
    }
}
