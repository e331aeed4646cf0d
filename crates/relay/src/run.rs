//! One request from its admission to its final answer.

use std::{io, rc::Rc};

use bytes::{Bytes, BytesMut};
use tokio::time;
use tsw_base::time::{Span, Tick};
use tsw_event::{emit, Event};
use tsw_flow::verdict::{self, Fault, Next, Tried};
use tsw_http::{
    exchange::{Error, Exchange},
    head,
};
use tsw_route::{table::Kind, Name};

use crate::{
    answer::{Own, Refusal},
    attempt::{Attempt, Failed},
    event::Splitter,
    pace::Pace,
    request::Request,
    responder::{Progress, Responder},
    router::Router,
    wait::{Place, Refused},
};

/// Most bytes of a plain response that are held back until it is complete, so that a response
/// that breaks off can be replaced.
const MAX_HELD: usize = 1 << 20;
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

/// Time after which a client may come back whose request no upstream accepted. An upstream that
/// refuses is avoided for about as long.
const AGAIN: Span = Span::from_millis(200);

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
    tried: Tried,
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
        service.retries.earn(router.now());
    });
    let mut life = Life {
        router,
        request,
        responder,
        tried: Tried::default(),
        avoid: Vec::new(),
        last: None,
        pace: Pace::default(),
        failure: None,
    };
    let left = request.due().since(router.now()).as_duration();
    let end = match time::timeout(left, life.go()).await {
        Ok(end) => end?,
        Err(_) => {
            let refused = Refused {
                refusal: Refusal::Late,
                after: Span::ZERO,
            };
            match life.tried.answer() {
                verdict::Answer::NotRun => life.refuse(refused).await?,
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
                return self.without_place(Refused { refusal, after }).await;
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
            let attempts = self.request.route.attempts;
            let next = self
                .tried
                .next(self.request.route.kind, attempts, failed.fault);
            let answer = match next {
                Next::Reconnect => None,
                Next::Retry if self.allow_retry() => None,
                Next::Retry => Some(self.tried.answer()),
                Next::Answer(answer) => Some(answer),
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
            self.tried.note(fault);
        }
        router.with_service(&self.request.service, |service| match fault {
            Fault::Unreachable => service.pool.unreachable(now, upstream),
            Fault::Broken | Fault::Failed => service.pool.failed(now, upstream),
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
            service.retries.spend(now, router.routers())
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
        let more = self.tried.runs < route.attempts;
        let micros =
            |time: std::time::Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let limit = match route.kind {
            Kind::Idempotent => micros(route.objective) * SILENT_OBJECTIVES,
            Kind::Stream { resumable: true } if self.last.is_some() => {
                micros(route.gap.unwrap_or(route.objective)) * SILENT_GAPS
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

    fn answered(&self, upstream: &Name) {
        let (router, now) = (self.router, self.router.now());
        router.with_service(&self.request.service, |service| {
            service.pool.answered(now, upstream);
        });
    }

    /// Notes that events, or the whole of a plain answer, are passed on.
    fn passed_on(&mut self, upstream: &Name, events: u64) {
        let now = self.router.now();
        if self.pace.first.is_none() {
            self.router.began(self.request, upstream);
            let since = now.since(self.request.arrived);
            self.router.metrics.first.observe(since.as_secs_f64());
        }
        self.pace.note(self.request.arrived, now, events);
    }

    async fn plain(&mut self, attempt: Attempt) -> Result<End, Stop> {
        let Attempt {
            mut exchange,
            place,
        } = attempt;
        let mut body = BytesMut::new();
        loop {
            match self.data(&mut exchange).await? {
                None => break,
                Some(data) if body.len() + data.len() > MAX_HELD => {
                    body.extend_from_slice(&data);
                    return self.pass_on(exchange, body.freeze()).await;
                }
                Some(data) => body.extend_from_slice(&data),
            }
        }
        let upstream = place.choice().id.clone();
        let head = exchange.head().clone();
        self.router.reuse(&place, exchange);
        drop(place);
        let body = body.freeze();
        if head.status >= 500 {
            let cause = format!("status {}", head.status);
            self.failure = Some((head, body));
            return Err(Failed::new(Fault::Failed, cause).into());
        }
        self.answered(&upstream);
        if self.responder.progress() != Progress::Unsent {
            // A stream cannot go on with a response that is not a stream.
            let cause = format!("status {} instead of the rest of a stream", head.status);
            return Err(Failed::new(Fault::Broken, cause).into());
        }
        self.passed_on(&upstream, 1);
        self.whole(head, &body).await?;
        self.completed("answered");
        Ok(End::Answered)
    }

    /// Passes on a plain response that is too long to be held back.
    async fn pass_on(&mut self, mut exchange: Exchange, held: Bytes) -> Result<End, Stop> {
        let head = exchange.head().clone();
        let mut fields = head.fields;
        fields.strip_hop_by_hop();
        self.responder.begin(head.status, fields);
        self.responder.data(&[held]).await?;
        loop {
            match self.data(&mut exchange).await {
                Ok(Some(data)) => self.responder.data(&[data]).await?,
                Ok(None) => break,
                Err(_) => return Ok(self.cut()),
            }
        }
        self.responder.end().await?;
        self.completed("answered");
        Ok(End::Answered)
    }

    async fn stream(&mut self, attempt: Attempt) -> Result<End, Stop> {
        let Attempt {
            mut exchange,
            mut place,
        } = attempt;
        let upstream = place.choice().id.clone();
        if self.responder.progress() == Progress::Unsent {
            let mut fields = exchange.head().fields.clone();
            fields.strip_hop_by_hop();
            self.responder.begin(exchange.head().status, fields);
        } else {
            emit(
                Event::Resumed,
                &[("request", &self.request.id), ("upstream", &upstream)],
            );
        }
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        while let Some(data) = self.data(&mut exchange).await? {
            splitter
                .add(&data)
                .map_err(|long| Failed::new(Fault::Broken, long))?;
            while let Some(event) = splitter.take() {
                if is_after(event.id.as_ref(), self.last.as_ref()) {
                    self.last = event.id.or(self.last.take());
                    events.push(event.bytes);
                }
            }
            if !events.is_empty() {
                place.read();
                self.passed_on(&upstream, events.len() as u64);
                self.responder.data(&events).await?;
                events.clear();
            }
        }
        if !splitter.is_empty() {
            // The upstream stopped in the middle of an event, though it closed in order.
            return Err(Failed::new(Fault::Broken, "the stream ends within an event").into());
        }
        self.answered(&upstream);
        self.router.reuse(&place, exchange);
        drop(place);
        self.responder.end().await?;
        self.completed("streamed");
        Ok(End::Answered)
    }

    /// Waits for data of a response, for as long as its upstream may be silent.
    async fn data(&mut self, exchange: &mut Exchange) -> Result<Option<Bytes>, Failed> {
        let now = self.router.now();
        let limit = self.silence_ends(now).since(now).as_duration();
        match time::timeout(limit, exchange.data()).await {
            Ok(Ok(data)) => Ok(data),
            Ok(Err(error @ (Error::Io(_) | Error::Closed | Error::Head(_) | Error::Body(_)))) => {
                Err(Failed::new(Fault::Broken, error))
            }
            Err(_) => Err(Failed::silent()),
        }
    }

    async fn without_place(&mut self, refused: Refused) -> io::Result<End> {
        match self.tried.answer() {
            verdict::Answer::NotRun => self.refuse(refused).await,
            answer => self.finish(answer).await,
        }
    }

    async fn finish(&mut self, answer: verdict::Answer) -> io::Result<End> {
        if self.responder.progress() != Progress::Unsent {
            return Ok(self.cut());
        }
        if let Some((head, body)) = self.failure.take() {
            self.whole(head, &body).await?;
            self.completed("upstream-failed");
            return Ok(End::Answered);
        }
        match answer {
            verdict::Answer::NotRun => {
                let refused = Refused {
                    refusal: Refusal::NoUpstream,
                    after: AGAIN,
                };
                self.refuse(refused).await
            }
            _ => self.give(Own::Unknown).await,
        }
    }

    async fn refuse(&mut self, refused: Refused) -> io::Result<End> {
        let (router, team, now) = (self.router, self.request.team(), self.router.now());
        let (received, level, waiting) = router
            .with_service(&self.request.service, |service| {
                let received = service.accounts.team(now, team).received;
                (received, service.level(now), service.queue.len())
            })
            .unwrap_or_default();
        emit(
            Event::Refused,
            &[
                ("request", &self.request.id),
                ("team", &team),
                ("service", &self.request.service),
                ("cause", &refused.refusal.name()),
                ("received", &received.round()),
                ("level", &level.round()),
                ("waiting", &waiting),
                ("retry_after_us", &refused.after.as_micros()),
            ],
        );
        self.give(Own::NotRun(refused.refusal, refused.after)).await
    }

    async fn give(&mut self, own: Own) -> io::Result<End> {
        if self.responder.progress() != Progress::Unsent {
            return Ok(self.cut());
        }
        if !matches!(own, Own::NotRun(..)) {
            emit(
                Event::Unknown,
                &[("request", &self.request.id), ("cause", &own)],
            );
        }
        give(self.router, self.responder, Some(&self.request.id), own).await?;
        self.count(match own {
            Own::NotRun(refusal, _) => refusal.name(),
            Own::Overdue => "overdue",
            _ => "unknown",
        });
        Ok(End::Answered)
    }

    async fn whole(&mut self, head: head::Response, body: &[u8]) -> io::Result<()> {
        let mut fields = head.fields;
        fields.strip_hop_by_hop();
        self.responder.whole(head.status, fields, body).await
    }

    fn cut(&self) -> End {
        emit(
            Event::Cut,
            &[
                ("request", &self.request.id),
                ("runs", &self.tried.runs),
                ("resumable", &self.request.route.kind.may_repeat()),
            ],
        );
        self.count("cut");
        End::Cut
    }

    fn completed(&self, outcome: &str) {
        let since = self.router.now().since(self.request.arrived);
        emit(
            Event::Completed,
            &[
                ("request", &self.request.id),
                ("outcome", &outcome),
                ("took_us", &since.as_micros()),
                (
                    "first_us",
                    &self.pace.first.unwrap_or(Span::ZERO).as_micros(),
                ),
                ("gap_us", &self.pace.gap.as_micros()),
                ("events", &self.pace.events),
            ],
        );
        self.count(outcome);
    }

    fn count(&self, outcome: &str) {
        let labels = [&*self.request.service, outcome];
        self.router.metrics.ended.with_label_values(&labels).inc();
    }
}

/// Writes an answer of the router itself.
///
/// # Errors
///
/// Returns an error if the connection to the client broke.
pub async fn give(
    router: &Router,
    responder: &mut Responder<'_>,
    id: Option<&str>,
    own: Own,
) -> io::Result<()> {
    if own.closes() {
        responder.close();
    }
    let fields = router.dialect.answer(id, own.retry_after_s());
    let body = format!("{{\"error\":\"{own}\"}}\n");
    responder.whole(own.status(), fields, body.as_bytes()).await
}

/// Returns whether an event comes after the last one that was passed on. A stream that continues
/// elsewhere may repeat events.
fn is_after(id: Option<&Bytes>, last: Option<&Bytes>) -> bool {
    let number =
        |id: Option<&Bytes>| -> Option<u64> { std::str::from_utf8(id?).ok()?.trim().parse().ok() };
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id > last,
        _ => true,
    }
}
