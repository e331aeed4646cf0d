//! One request from its admission to its final answer.

use std::{io, rc::Rc};

use bytes::Bytes;
use tokio::time;
use tsw_base::time::{Span, Tick};
use tsw_event::{emit, Event};
use tsw_flow::retry::{self, Attempts, Fault, NextStep};
use tsw_http::head;
use tsw_route::{table::Kind, Name};

use crate::{
    answer::{Own, Refusal},
    attempt::Failed,
    pace::Pace,
    request::Request,
    responder::Responder,
    router::Router,
    wait::{Place, Refused},
};

mod end;
mod pass;

pub use end::give;

/// Objectives after which a plain upstream that said nothing is given up, if the request may be
/// repeated.
const SILENT_OBJECTIVES: u64 = 4;
/// Longest pauses between events after which a stream is continued elsewhere, if that is allowed.
/// A client leaves after eight.
const SILENT_GAPS: u64 = 3;
/// Shortest silence before the first event after which a stream is started elsewhere. An engine
/// that has many prompts to read is not to be given more of them; a client waits for three
/// seconds or longer.
const SILENT_FIRST: Span = Span::from_millis(2_000);
/// Shortest silence after which an upstream is given up. Engines pause for this long while they
/// read the prompts of others.
const SILENT_LEAST: Span = Span::from_millis(1_000);

/// How the life of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The answer was written in full.
    Answered,
    /// The answer broke off; the connection must be closed so that it does not look complete.
    Cut,
}

/// What is known of the answer while a request is tried.
struct Life<'a, 'b> {
    router: &'a Rc<Router>,
    request: &'a Rc<Request>,
    responder: &'a mut Responder<'b>,
    tried: Attempts,
    avoid: Vec<Name>,
    last: Option<Bytes>,
    pace: Pace,
    /// The response of an upstream that stated its failure.
    failure: Option<(head::Response, Bytes)>,
}

/// Why an attempt is over without an answer.
enum Stop {
    Failed(Failed),
    Client(io::Error),
}

impl From<Failed> for Stop {
    fn from(failed: Failed) -> Self {
        Self::Failed(failed)
    }
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Self {
        Self::Client(error)
    }
}

/// Runs a request until its final answer is written.
///
/// Dropping the future withdraws the request: it leaves the queue, or its upstream connection is
/// closed.
///
/// # Errors
///
/// Returns an error if the connection to the client broke.
pub async fn run(
    router: &Rc<Router>,
    request: &Rc<Request>,
    responder: &mut Responder<'_>,
) -> io::Result<End> {
    router.with_service(&request.service, |service| {
        service.retries.record_request(router.now());
    });
    let mut life = Life {
        router,
        request,
        responder,
        tried: Attempts::default(),
        avoid: Vec::new(),
        last: None,
        pace: Pace::default(),
        failure: None,
    };
    let left = request.due().since(router.now()).as_duration();
    let end = match time::timeout(left, life.go()).await {
        Ok(end) => end?,
        Err(_) => {
            let refused = Refused::new(Refusal::Late, Span::ZERO);
            match life.tried.answer() {
                retry::Answer::NotRun => life.refuse(refused).await?,
                _ => life.give(Own::Overdue).await?,
            }
        }
    };
    let whole = router.now().since(request.arrived).as_secs_f64();
    router.metrics.whole.observe(whole);
    Ok(end)
}

impl Life<'_, '_> {
    async fn go(&mut self) -> io::Result<End> {
        loop {
            if let Some(after) = self.router.poison(self.request) {
                let refusal = Refusal::Poison;
                return self.without_place(Refused::new(refusal, after)).await;
            }
            let place = match self.router.place(self.request, &self.avoid).await {
                Ok(place) => place,
                Err(refused) => return self.without_place(refused).await,
            };
            let now = self.router.now();
            let waited = now.since(self.request.arrived).as_secs_f64();
            self.router.metrics.wait.observe(waited);
            let upstream = place.choice().id.clone();
            let failed = match self.attempt(place).await {
                Ok(end) => return Ok(end),
                Err(Stop::Client(error)) => return Err(error),
                Err(Stop::Failed(failed)) => failed,
            };
            self.note(&upstream, &failed);
            let attempts = self.request.route.max_attempts;
            let next = self
                .tried
                .next_step(self.request.route.kind, attempts, failed.fault);
            let answer = match next {
                NextStep::Reconnect => None,
                NextStep::Retry if self.allow_retry() => None,
                NextStep::Retry => Some(self.tried.answer()),
                NextStep::Answer(answer) => Some(answer),
            };
            if let Some(answer) = answer {
                return self.finish(answer).await;
            }
            self.avoid.push(upstream);
        }
    }

    fn note(&mut self, upstream: &Name, failed: &Failed) {
        let (router, now) = (self.router, self.router.now());
        let fault = failed.fault;
        // A request was sent unless the attempt failed before; `attempt` counted it.
        if matches!(fault, Fault::Unreachable | Fault::NotRun) {
            self.tried.record(fault);
        }
        router.with_service(&self.request.service, |service| match fault {
            Fault::Unreachable => service.pool.record_unreachable(now, upstream),
            Fault::Broken | Fault::Failed => service.pool.record_failure(now, upstream),
            Fault::NotRun => {}
        });
        if fault == Fault::Broken && !failed.silent && self.pace.first.is_none() {
            router.broke(self.request, upstream);
        }
        emit(
            Event::UpstreamFailed,
            &[
                ("request", &self.request.id),
                ("upstream", upstream),
                ("cause", &failed.cause),
                ("runs", &self.tried.runs),
            ],
        );
    }

    fn allow_retry(&self) -> bool {
        let (router, now) = (self.router, self.router.now());
        let allowed = router.with_service(&self.request.service, |service| {
            service.retries.try_acquire(now, router.routers())
        });
        if allowed == Some(true) {
            emit(
                Event::Retried,
                &[("request", &self.request.id), ("runs", &self.tried.runs)],
            );
        }
        allowed == Some(true)
    }

    /// Returns when an upstream that says nothing is given up.
    fn silence_ends(&self, since: Tick) -> Tick {
        let (route, due) = (&self.request.route, self.request.due());
        let more = self.tried.runs < route.max_attempts;
        let micros =
            |time: std::time::Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let limit = match route.kind {
            Kind::Idempotent => micros(route.objective) * SILENT_OBJECTIVES,
            Kind::Stream { resumable: true } if self.last.is_some() => {
                micros(route.gap_objective.unwrap_or(route.objective)) * SILENT_GAPS
            }
            Kind::Stream { resumable: true } => {
                (micros(route.objective) * 2).max(SILENT_FIRST.as_micros())
            }
            _ => return due,
        };
        if more {
            due.min(since + Span::from_micros(limit).max(SILENT_LEAST))
        } else {
            due
        }
    }

    async fn attempt(&mut self, place: Place) -> Result<End, Stop> {
        let until = self.silence_ends(self.router.now());
        // From here on the request may run. The count is taken back if it certainly did not.
        self.tried.runs += 1;
        let sent = self
            .router
            .send(self.request, place, self.last.as_ref(), until)
            .await;
        if let Err(Failed {
            fault: Fault::Unreachable | Fault::NotRun,
            ..
        }) = &sent
        {
            self.tried.runs -= 1;
        }
        let attempt = sent?;
        let status = attempt.exchange.head().status;
        if self.request.route.kind.is_stream() && status == 200 {
            self.stream(attempt).await
        } else {
            self.plain(attempt).await
        }
    }
}
