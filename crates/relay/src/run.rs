//! Runs one request from its admission to its final response.

use std::{cell::Cell, io, rc::Rc, time::Instant};

use bytes::Bytes;
use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    origin::{Origin, Software},
    retry::{Attempts, FailureKind, FinalResponse, NextStep},
    service::Service,
};
use tsw_http::head;
use tsw_route::{table::Kind, Name};

use crate::{
    attempt::AttemptError,
    crash_detector::BrokenConnection,
    local_response::{LocalResponse, Refusal},
    origins::RunningStream,
    request::Request,
    reservation::{Needs, Refused, Reservation},
    responder::{Progress, Responder},
    router::Router,
    timing::EventTiming,
    upstream_run::Confirmation,
};

mod finish;
mod forward;
mod stall;

pub use finish::send_local_response;

/// Maximum number of times that an upstream is asked for its run again, since the connection on which it has stated that is closed.
const MAX_QUESTIONS: u32 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response was written in full.
    Complete,
    /// The response is incomplete; the connection must be closed so that it does not look complete.
    Truncated,
}

/// State of a request during its attempts.
struct RequestRun<'a, 'b> {
    router: &'a Rc<Router>,
    request: &'a Rc<Request>,
    responder: &'a mut Responder<'b>,
    attempts: Attempts,
    avoid: Vec<Name>,
    /// Upstreams that the request left because they were silent, since its last progress.
    left_silent: Vec<Name>,
    last_event_id: Option<Bytes>,
    /// Where the stream began, once the response has started or if the client resumes it.
    origin: Option<Origin>,
    running_stream: Option<RunningStream>,
    timing: EventTiming,
    /// How often the upstream of an attempt had to be asked for its run again.
    questions: u32,
    /// The last progress before the most recent stall, so that each stall is recorded once.
    stalled_since: Cell<Option<Timestamp>>,
    /// When the latest attempt began.
    attempted_at: Timestamp,
    /// Whether the upstream of the latest attempt had not stated its run when the attempt began.
    is_unconfirmed: bool,
    /// Whether the next attempt is a trial of a request that is refused otherwise.
    on_trial: bool,
    /// The error response of an upstream, sent to the client if no attempt succeeds.
    failure: Option<(head::Response, Bytes)>,
}

/// Why an attempt ended without a complete response.
enum AttemptFailure {
    Upstream(AttemptError),
    /// The upstream is silent, and the request moves to the upstream of the reservation.
    Stalled(Reservation),
    Client(io::Error),
}

impl From<AttemptError> for AttemptFailure {
    fn from(error: AttemptError) -> Self {
        Self::Upstream(error)
    }
}

impl From<io::Error> for AttemptFailure {
    fn from(error: io::Error) -> Self {
        Self::Client(error)
    }
}

/// Runs a request until its final response is written.
///
/// Dropping the future cancels the request: it is removed from the queue, or its upstream connection
/// is closed.
///
/// # Errors
///
/// Returns an error if the connection to the client broke.
pub async fn run(
    router: &Rc<Router>,
    request: &Rc<Request>,
    responder: &mut Responder<'_>,
) -> io::Result<Outcome> {
    router.with_service(&request.service, |service| {
        service.retries.record_request(router.now());
    });
    let mut request_run = RequestRun {
        router,
        request,
        responder,
        attempts: Attempts::default(),
        avoid: Vec::new(),
        left_silent: Vec::new(),
        last_event_id: None,
        origin: request.origin.clone(),
        running_stream: None,
        timing: EventTiming::default(),
        stalled_since: Cell::default(),
        questions: 0,
        attempted_at: router.now(),
        is_unconfirmed: false,
        on_trial: false,
        failure: None,
    };
    let left = request.due().since(router.now()).as_duration();
    let mut stopping = router.stopping.subscribe();
    let end = if *stopping.borrow_and_update() {
        Err(Refusal::Stopping)
    } else {
        tokio::select! {
            biased;
            // First, since an upstream that always has data uses up what the task may do at once.
            () = time::sleep(left) => Err(Refusal::Late),
            _ = stopping.changed() => Err(Refusal::Stopping),
            outcome = request_run.run_attempts() => Ok(outcome?),
        }
    };
    let outcome = match end {
        Ok(outcome) => outcome,
        Err(refusal) => match request_run.attempts.final_response() {
            FinalResponse::NotRun => {
                let refused = Refused::new(refusal, Span::ZERO);
                request_run.refuse(refused).await?
            }
            _ => request_run.respond_locally(LocalResponse::TimedOut).await?,
        },
    };
    let total = router.now().since(request.arrived).as_secs_f64();
    router.metrics.total.observe(total);
    Ok(outcome)
}

impl RequestRun<'_, '_> {
    async fn run_attempts(&mut self) -> io::Result<Outcome> {
        if let Some(refused) = self.router.resume_refusal(self.request) {
            return self.refuse(refused).await;
        }
        let mut reserved = None;
        loop {
            if let Some(outcome) = self.refuse_poison().await? {
                return Ok(outcome);
            }
            let reservation = match reserved.take() {
                Some(reservation) => reservation,
                None => {
                    if self.is_assigned() {
                        self.router.wait_list_read().await;
                        // The list may expire while the request waits: changes since it arrived are taken into account when a version is
                        // derived.
                        if self.router.is_list_expired(self.request.arrived) {
                            let refused = self.router.refuse_by_expired_list(self.request);
                            return self.finish_without_slot(refused).await;
                        }
                    }
                    let software = self.software();
                    let needs = Needs {
                        avoid: &self.avoid,
                        software: software.as_ref(),
                        last_event_at: self.last_event_at(),
                    };
                    match self.router.reserve(self.request, needs).await {
                        Ok(reservation) => reservation,
                        Err(refused) => return self.finish_without_slot(refused).await,
                    }
                }
            };
            // It may have been confirmed that the request crashes upstreams while it was queued.
            if let Some(outcome) = self.refuse_poison().await? {
                return Ok(outcome);
            }
            let confirmation = self.confirm_run(&reservation).await;
            if confirmation == Confirmation::Changed {
                // Another upstream is chosen, or the same one if any software will do.
                continue;
            }
            if self.is_assigned() && self.router.is_list_outdated() {
                // The process was paused since the upstream was chosen.
                continue;
            }
            if confirmation == Confirmation::Given && self.must_ask_again(&reservation) {
                continue;
            }
            let now = self.router.now();
            let waited = now.since(self.request.arrived).as_secs_f64();
            self.router.metrics.wait.observe(waited);
            let choice = reservation.choice();
            let (upstream, address) = (choice.id.clone(), choice.address);
            let started_at = choice.started_at;
            let is_unknown = match confirmation {
                Confirmation::Silent => true,
                // A stream that has begun goes on only where its software is proven.
                Confirmation::Missing => self.origin.is_some(),
                Confirmation::Given | Confirmation::Changed => false,
            };
            self.is_unconfirmed = confirmation == Confirmation::Missing;
            if self.is_unconfirmed && !is_unknown {
                self.router.ask_on(reservation.service(), choice);
            }
            let attempt = if is_unknown {
                Err(AttemptError::new(FailureKind::Unreachable, "no report").into())
            } else {
                self.attempt(reservation).await
            };
            let error = match attempt {
                Ok(outcome) => return Ok(outcome),
                Err(AttemptFailure::Client(error)) => return Err(error),
                Err(AttemptFailure::Upstream(error)) => error,
                Err(AttemptFailure::Stalled(reservation)) => {
                    reserved = Some(reservation);
                    self.log_failure(&upstream, &AttemptError::timeout());
                    self.stalled_since.set(None);
                    self.left_silent.push(upstream.clone());
                    self.avoid.push(upstream);
                    continue;
                }
            };
            self.record_failure(&upstream, &error);
            self.on_trial = false;
            if error.kind == FailureKind::Broken && !error.timed_out {
                // Reported before the retry, which may crash another upstream.
                let broken = BrokenConnection {
                    upstream: upstream.clone(),
                    address,
                    started_at,
                    sent: self.attempted_at,
                    has_begun: self.timing.first_event.is_some(),
                };
                self.router.check_crash(self.request, broken).await;
            }
            let max_attempts = self.request.route.max_attempts;
            if error.timed_out {
                // The request is due, so that a retry could not be answered in time.
                return match self.failure {
                    Some(_) => self.finish(FinalResponse::Failure, &error.cause).await,
                    None => self.respond_locally(LocalResponse::TimedOut).await,
                };
            }
            let next = self
                .attempts
                .next_step(self.request.route.kind, max_attempts, error.kind);
            let did_not_run = matches!(error.kind, FailureKind::Unreachable | FailureKind::NotRun);
            let response = match next {
                NextStep::Reconnect | NextStep::Retry
                    if did_not_run && !self.left_silent.is_empty() =>
                {
                    // The silent upstreams may be sound, so that they may be used again.
                    let left = &self.left_silent;
                    self.avoid.retain(|name| !left.contains(name));
                    let is_retry = next == NextStep::Retry;
                    if self.has_other_upstream(&upstream) {
                        reserved = Some(self.reserve_elsewhere(&upstream, is_retry).await);
                    }
                    None
                }
                NextStep::Reconnect => None,
                NextStep::Retry if self.acquire_retry() => None,
                NextStep::Retry => Some((self.attempts.final_response(), "no retry left")),
                NextStep::Respond(response) => Some((response, "no attempt left")),
            };
            if let Some((response, cause)) = response {
                return self.finish(response, cause).await;
            }
            self.avoid.push(upstream);
        }
    }

    /// Finds out whether the upstream of a reservation runs the software that is recorded for the stream. Streams that
    /// never go on elsewhere leave their connections to others.
    async fn confirm_run(&self, reservation: &Reservation) -> Confirmation {
        let (service, choice) = (reservation.service(), reservation.choice());
        if self.request.route.kind.is_stream() {
            self.router.confirm_run(service, choice).await
        } else {
            Confirmation::Given
        }
    }

    /// Returns whether a stream would be sent on a new connection, on which another run may answer than the one that has stated itself, as after
    /// a pause of this process. Upstreams that close each connection are asked a few times.
    fn must_ask_again(&mut self, reservation: &Reservation) -> bool {
        let is_resumable = self.request.route.kind == Kind::Stream { resumable: true };
        let address = reservation.choice().address;
        let connections = self.router.connections.borrow();
        let must_ask = is_resumable && !connections.has_idle(address, Instant::now());
        drop(connections);
        self.questions += u32::from(must_ask);
        must_ask && self.questions <= MAX_QUESTIONS
    }

    /// Returns whether the request begins a stream that other routers assign to software in the same way.
    fn is_assigned(&self) -> bool {
        let is_resumable = self.request.route.kind == Kind::Stream { resumable: true };
        is_resumable && self.origin.is_none()
    }

    /// Returns the software that has to continue the stream, or to begin it now.
    fn software(&self) -> Option<Software> {
        match &self.origin {
            Some(origin) => Some(origin.software.clone()),
            None => self.router.assigned_software(self.request),
        }
    }

    /// Returns whether any upstream that may continue the stream, other than `last` and those that
    /// failed, accepts requests.
    fn has_other_upstream(&self, last: &Name) -> bool {
        let Some(software) = self.software() else {
            return true;
        };
        let avoid: Vec<Name> = self.avoid.iter().chain([last]).cloned().collect();
        let accepts = |service: &mut Service| service.pool.accepts_at(&software, &avoid);
        let service = &self.request.service;
        self.router.with_service(service, accepts) == Some(true)
    }

    /// Returns when the last event was forwarded if the response has begun.
    fn last_event_at(&self) -> Option<Timestamp> {
        let begun = self.responder.progress() != Progress::NotStarted;
        begun.then(|| self.timing.last().unwrap_or(self.request.arrived))
    }

    /// Refuses the request if it crashes upstreams.
    async fn refuse_poison(&mut self) -> io::Result<Option<Outcome>> {
        if self.on_trial {
            return Ok(None);
        }
        let Some(retry_after) = self.router.poison_refusal(self.request) else {
            return Ok(None);
        };
        self.on_trial = self.router.start_poison_trial(self.request);
        if self.on_trial {
            return Ok(None);
        }
        let refused = Refused::new(Refusal::Poison, retry_after);
        self.finish_without_slot(refused).await.map(Some)
    }

    fn record_failure(&mut self, upstream: &Name, error: &AttemptError) {
        let (router, now) = (self.router, self.router.now());
        let kind = error.kind;
        let stalled = self.stalled_since.take().is_some();
        // `attempt` has already counted attempts that may have run.
        if matches!(kind, FailureKind::Unreachable | FailureKind::NotRun) {
            self.attempts.record(kind);
        }
        router.with_service(&self.request.service, |service| match kind {
            FailureKind::Unreachable => service.pool.record_unreachable(now, upstream),
            // A stall of the attempt was recorded when it began.
            FailureKind::Broken | FailureKind::Failed if stalled => {}
            FailureKind::Broken | FailureKind::Failed => service.pool.record_failure(now, upstream),
            FailureKind::NotRun => {}
        });
        self.log_failure(upstream, error);
    }

    fn log_failure(&self, upstream: &Name, error: &AttemptError) {
        let prompt = self.request.prompt.as_ref();
        let parts = prompt.map(|prompt| prompt.display_shared().to_string());
        emit(
            Event::UpstreamFailed,
            &[
                ("request", &self.request.id),
                ("upstream", upstream),
                ("cause", &error.cause),
                ("runs", &self.attempts.runs),
                ("events", &self.timing.events),
                ("parts", &parts.unwrap_or_default()),
            ],
        );
    }

    fn acquire_retry(&self) -> bool {
        let (router, now) = (self.router, self.router.now());
        let allowed = router.with_service(&self.request.service, |service| {
            service.retries.try_acquire(now, router.router_count())
        });
        let allowed = allowed == Some(true);
        let event = if allowed {
            Event::Retried
        } else {
            Event::RetryDenied
        };
        emit(
            event,
            &[("request", &self.request.id), ("runs", &self.attempts.runs)],
        );
        allowed
    }

    async fn attempt(&mut self, reservation: Reservation) -> Result<Outcome, AttemptFailure> {
        // From here on the request may run. The count is decremented if it certainly did not.
        self.attempts.runs += 1;
        self.attempted_at = self.router.now();
        let upstream = reservation.choice().id.clone();
        let (router, request) = (self.router, self.request);
        let sent = self
            .wait_for_progress(
                &upstream,
                router.now(),
                router.send(request, reservation, self.last_event_id.as_ref()),
            )
            .await?;
        if let Err(AttemptError {
            kind: FailureKind::Unreachable | FailureKind::NotRun,
            ..
        }) = &sent
        {
            self.attempts.runs -= 1;
        }
        let attempt = sent?;
        let status = attempt.exchange.head().status;
        if self.request.route.kind.is_stream() && status == 200 {
            self.forward_stream(attempt).await
        } else {
            self.forward_plain(attempt).await
        }
    }
}
