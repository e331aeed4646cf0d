//! Relays the stream of a model engine to a caller.
//!
//! Each token index is sent exactly once. A stream that breaks or stalls is resumed at the next
//! token on another engine, which takes over when it is the first to deliver a token.

use std::{rc::Rc, time::Duration};

use actix_rt::time;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::future::{pending, LocalBoxFuture};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use tsw_base::{
    name,
    time::{Span, Tick},
};
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

/// Attempts of one request, so that a request that no engine completes ends.
const MAX_ATTEMPTS: u32 = 5;
/// Attempts of one request that end without a connection to the engine.
const MAX_UNSENT: u32 = 20;
/// Shortest time between two reports of the token latency of a stream.
const REPORT_PERIOD: Span = Span::from_millis(250);

/// How a request ends without a complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It was not run.
    Refused(Refusal),
    /// The response broke off.
    Cut {
        /// Reason for programs.
        code: &'static str,
        /// Reason for people.
        message: String,
    },
}

enum Spare {
    Waiting(Wait),
    Opening(LocalBoxFuture<'static, Result<Attempt, AttemptError>>),
    Open(Attempt),
}

enum Step {
    Active(Result<Vec<Line>, AttemptError>),
    Slot(Result<Slot, Refusal>),
    Opened(Result<Attempt, AttemptError>),
    Spare(Result<Vec<Line>, AttemptError>),
    Stall,
    Deadline,
}

/// A request on its way from an engine to a caller.
pub struct Relay {
    router: Rc<Router>,
    call: Rc<Call>,
    body: Map<String, Value>,
    active: Option<Attempt>,
    spare: Option<Spare>,
    hedging: bool,
    spare_stall: Tick,
    attempts: u32,
    unsent: u32,
    ran: bool,
    last_error: Option<AttemptError>,
    avoid: Option<name::Upstream>,
    next: u64,
    digest: Sha256,
    sent: Tick,
    token_timing: Stream,
    reported: Option<(Tick, Span)>,
    over: bool,
    flight: InFlightGuard,
}

/// What a relay hands to the caller next.
pub enum Output {
    /// Events; more follow.
    Events(Bytes),
    /// The last events.
    Last(Bytes),
}

impl Relay {
    /// Makes a relay whose first slot is still to be granted.
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
            spare: Some(Spare::Waiting(wait)),
            hedging: false,
            spare_stall: now,
            attempts: 1,
            unsent: 0,
            ran: false,
            last_error: None,
            avoid: None,
            next: 0,
            digest: Sha256::new(),
            sent: now,
            token_timing: Stream::new(now),
            reported: None,
            over: false,
            flight,
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn call(&self) -> &Rc<Call> {
        &self.call
    }

    /// Waits for the next events. Before the first event, a failure is returned as an error, so
    /// that the caller can get it as a status.
    ///
    /// # Errors
    ///
    /// Returns how the request ended without a response.
    pub async fn next(&mut self) -> Result<Output, Failure> {
        loop {
            let handled = match self.step().await {
                Step::Active(Ok(lines)) => self.accept(lines, false),
                Step::Spare(Ok(lines)) => self.accept(lines, true),
                Step::Active(Err(broken)) => self.broken(&broken),
                Step::Spare(Err(broken)) => self.spare_broken(&broken),
                Step::Opened(Err(broken)) => self.spare_broken(&broken),
                Step::Slot(Ok(slot)) => {
                    self.granted(slot);
                    Ok(None)
                }
                Step::Slot(Err(refusal)) => self.no_slot(refusal),
                Step::Opened(Ok(attempt)) => {
                    self.opened(attempt);
                    Ok(None)
                }
                Step::Stall => {
                    self.hedge();
                    Ok(None)
                }
                Step::Deadline => self.overdue(),
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
        let stall = match &self.spare {
            None if !self.hedging => {
                Some(self.router.stall(&self.call, self.sent, &self.token_timing))
            }
            Some(Spare::Open(_)) => Some(self.spare_stall),
            _ => None,
        };
        let stall = stall.filter(|_| self.active.is_some());
        let hedge_in = stall.map_or(Duration::ZERO, |stall| stall.since(now).as_duration());
        let deadline_in = self.call.deadline.since(now).as_duration();
        let Self { active, spare, .. } = self;
        let active = async {
            match active {
                Some(attempt) => attempt.read().await,
                None => pending().await,
            }
        };
        let spare = async {
            match spare {
                Some(Spare::Waiting(wait)) => Step::Slot(wait.slot().await),
                Some(Spare::Opening(opening)) => Step::Opened(opening.await),
                Some(Spare::Open(attempt)) => Step::Spare(attempt.read().await),
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            read = active => Step::Active(read),
            step = spare => step,
            () = time::sleep(hedge_in.max(Duration::from_millis(1))), if stall.is_some() => Step::Stall,
            () = time::sleep(deadline_in) => Step::Deadline,
        }
    }

    fn granted(&mut self, slot: Slot) {
        self.router.granted(&self.call, &slot);
        // A later attempt avoids this upstream unless this one succeeds.
        self.avoid = Some(slot.upstream().clone());
        let opening = engine::open(
            self.router.clone(),
            slot,
            self.call.clone(),
            self.body.clone(),
            self.next,
        );
        self.spare = Some(Spare::Opening(Box::pin(opening)));
    }

    fn opened(&mut self, attempt: Attempt) {
        self.ran = true;
        if self.active.is_some() {
            self.spare = Some(Spare::Open(attempt));
            self.follow_spare();
            return;
        }
        if self.next > 0 {
            self.router
                .resumed(&self.call, attempt.slot().map(Slot::upstream), self.next);
        }
        self.active = Some(attempt);
        self.spare = None;
        self.restart();
    }

    /// Notes that the spare is alive. It counts as stalled when it stays silent from now on.
    fn follow_spare(&mut self) {
        let now = self.router.now();
        self.spare_stall = self.router.stall(&self.call, now, &Stream::new(now));
    }

    /// Starts to follow the token latency of another attempt.
    fn restart(&mut self) {
        let now = self.router.now();
        self.sent = now;
        self.token_timing = Stream::new(now);
        self.reported = None;
    }

    fn accept(&mut self, lines: Vec<Line>, from_spare: bool) -> Result<Option<Output>, Failure> {
        let mut events = BytesMut::new();
        let before = self.next;
        if from_spare {
            self.follow_spare();
        }
        for line in lines {
            match line {
                Line::Token { index, .. } if index < self.next => {}
                Line::Token { index, text } if index == self.next => self.push(&text, &mut events),
                Line::Token { index, .. } => {
                    let broken = AttemptError::UnexpectedToken {
                        found: index,
                        expected: self.next,
                    };
                    return self.misread(&broken, from_spare, events);
                }
                Line::End { tokens } if tokens == self.next => {
                    self.advance(before, from_spare);
                    return Ok(Some(self.complete(events)));
                }
                Line::End { tokens } => {
                    let text = format!("{tokens} tokens announced, {} arrived", self.next);
                    return self.misread(&AttemptError::Malformed(text), from_spare, events);
                }
            }
        }
        if self.next > before {
            self.advance(before, from_spare);
        }
        Ok((!events.is_empty()).then(|| Output::Events(events.freeze())))
    }

    fn push(&mut self, text: &[u8], events: &mut BytesMut) {
        events.put_slice(b"data: ");
        events.put_slice(text);
        events.put_slice(b"\n\n");
        self.digest.update(text);
        self.digest.update(b"\n");
        self.next += 1;
    }

    /// Notes progress. A spare attempt that made it is the active one from now on. The spare ends
    /// when the active attempt is in time again: one late token of a slow engine, which often comes
    /// while the spare is being opened, does not end it.
    fn advance(&mut self, before: u64, from_spare: bool) {
        let stalled =
            self.router.stall(&self.call, self.sent, &self.token_timing) <= self.router.now();
        if from_spare {
            if let Some(Spare::Open(attempt)) = self.spare.take() {
                self.router
                    .resumed(&self.call, attempt.slot().map(Slot::upstream), before);
                self.active = Some(attempt);
                self.restart();
            }
        } else if !stalled {
            self.spare = None;
        }
        self.hedging = self.spare.is_some();
        let tokens = self.next - before;
        let first = before == 0 && tokens > 0;
        self.router
            .progress(&self.call, &mut self.token_timing, first, tokens);
        self.report_token_latency();
    }

    /// Tells the home the token latency when it has changed notably.
    fn report_token_latency(&mut self) {
        let now = self.router.now();
        let Some(mean) = self.token_timing.mean_gap(now) else {
            return;
        };
        let due = match self.reported {
            None => now.since(self.sent) >= REPORT_PERIOD,
            Some((at, old)) => now.since(at) >= REPORT_PERIOD && (mean > old * 2 || old > mean * 2),
        };
        if let (true, Some(slot)) = (due, self.active.as_ref().and_then(Attempt::slot)) {
            self.router.report_token_latency(slot, mean);
            self.reported = Some((now, mean));
        }
    }

    /// Handles an attempt that sent something wrong; what it sent before that is kept.
    fn misread(
        &mut self,
        broken: &AttemptError,
        from_spare: bool,
        events: BytesMut,
    ) -> Result<Option<Output>, Failure> {
        let handled = if from_spare {
            self.spare_broken(broken)
        } else {
            self.broken(broken)
        };
        if events.is_empty() {
            return handled;
        }
        match handled {
            Ok(_) => Ok(Some(Output::Events(events.freeze()))),
            Err(failure) => {
                let mut events = events;
                self.close(&failure, &mut events);
                Ok(Some(Output::Last(events.freeze())))
            }
        }
    }

    fn broken(&mut self, broken: &AttemptError) -> Result<Option<Output>, Failure> {
        if let Some(attempt) = self.active.take() {
            self.router
                .attempt_failed(&self.call, attempt.slot(), broken);
            attempt.fail();
        }
        self.last_error = Some(broken.clone());
        match self.spare.take() {
            Some(Spare::Open(attempt)) => {
                self.opened(attempt);
                Ok(None)
            }
            Some(spare) => {
                self.spare = Some(spare);
                Ok(None)
            }
            None => self.again(),
        }
    }

    fn spare_broken(&mut self, broken: &AttemptError) -> Result<Option<Output>, Failure> {
        if let Some(Spare::Open(attempt)) = self.spare.take() {
            self.router
                .attempt_failed(&self.call, attempt.slot(), broken);
            attempt.fail();
        } else {
            self.router.attempt_failed(&self.call, None, broken);
        }
        self.ran |= !matches!(broken, AttemptError::Unreachable(_));
        self.last_error = Some(broken.clone());
        if self.active.is_some() {
            self.hedging = false;
            return Ok(None);
        }
        self.again()
    }

    /// Asks for another slot after a failure, if the budget for retries allows it.
    fn again(&mut self) -> Result<Option<Output>, Failure> {
        let unsent = matches!(self.last_error, Some(AttemptError::Unreachable(_)));
        self.unsent += u32::from(unsent);
        // An attempt that was not sent costs the upstreams nothing, so it has a limit of its own.
        let allowed = if unsent {
            self.unsent < MAX_UNSENT
        } else {
            self.attempts < MAX_ATTEMPTS && self.router.allow_retry(&self.call)
        };
        if !allowed {
            return Err(self.failure("upstream"));
        }
        self.attempts += u32::from(!unsent);
        self.router.retried(&self.call, self.next);
        let class = if self.ran {
            Class::Urgent
        } else {
            self.router.class(&self.call)
        };
        self.wait(class)
    }

    fn wait(&mut self, class: Class) -> Result<Option<Output>, Failure> {
        let wait = self.router.enqueue(&self.call, class, self.avoid.clone());
        self.spare = Some(Spare::Waiting(wait));
        Ok(None)
    }

    /// Asks for another engine beside the active one, in place of a spare that is stalled as well.
    fn hedge(&mut self) {
        self.hedging = true;
        let stalled = self.spare.take();
        // The silence counts as a gap, so that the home learns of a slow engine before it ends.
        self.report_token_latency();
        if self.attempts >= MAX_ATTEMPTS || !self.router.allow_hedge(&self.call) {
            // The stalled spare stays, and is not looked at again until it delivers something.
            self.spare = stalled;
            self.spare_stall = Tick::from_micros(u64::MAX);
            return;
        }
        self.attempts += 1;
        self.router.hedged(&self.call, self.next);
        let slow = match &stalled {
            Some(Spare::Open(attempt)) => Some(attempt),
            _ => self.active.as_ref(),
        };
        let slow = slow.and_then(Attempt::slot);
        let slow = slow.map(|slot| slot.upstream().clone());
        let wait = self.router.enqueue(&self.call, Class::Urgent, slow);
        self.spare = Some(Spare::Waiting(wait));
    }

    fn no_slot(&mut self, refusal: Refusal) -> Result<Option<Output>, Failure> {
        self.spare = None;
        if self.active.is_some() {
            return Ok(None);
        }
        if self.ran {
            return Err(self.failure(refusal.code()));
        }
        Err(Failure::Refused(refusal))
    }

    fn overdue(&mut self) -> Result<Option<Output>, Failure> {
        if self.ran {
            return Err(Failure::Cut {
                code: "deadline",
                message: Refusal::Deadline.to_string(),
            });
        }
        Err(Failure::Refused(Refusal::Deadline))
    }

    fn failure(&self, code: &'static str) -> Failure {
        if !self.ran {
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
        if !self.over {
            self.router.disconnected(&self.call, self.next);
        }
        self.flight.end();
    }
}
