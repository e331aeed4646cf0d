//! Clients that resume their streams at any router after a break.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time;
use tsw_http::{connection::Connection, exchange::Exchange};

use super::{
    connect, connect_to, request_head, response, Shared, HUNG_AFTER, SHORT_ROUTE, SHORT_TIMEOUT_MS,
};
use crate::history::{End, Kind, Request, Stream};

/// Gap after which a client gives up a try, before its first event and between two events.
const MAX_GAP: Duration = Duration::from_millis(3_200);
/// Pause before a further try, in milliseconds, unless the router states one.
const PAUSE_MS: std::ops::Range<u64> = 10..150;
/// Maximum number of tries of a stream for which a connection was opened.
const MAX_TRIES: usize = 8;
/// Probability that a client names the attempt that brought its first event.
const NAMED_PROBABILITY: f64 = 0.8;
/// Probability that a client resumes at a preferred router, if there is one.
const PREFERRED_PROBABILITY: f64 = 0.85;

/// Time limits that clients state for each try, instead of the time that is left. They take turns with
/// clients that state the latter.
const TRY_LIMITS: [Option<Duration>; 3] = [
    None,
    Some(Duration::from_secs(9)),
    Some(Duration::from_secs(12)),
];
/// One in this many clients uses the route with the shorter timeout.
const SHORT_ROUTE_CLIENTS: usize = 4;

/// How a client requests its streams.
struct Manner {
    route: &'static str,
    timeout: Duration,
    /// Time limit of each try, or none if it is the time that is left.
    try_limit: Option<Duration>,
}

impl Manner {
    fn new(shared: &Shared, number: usize) -> Self {
        let settings = &shared.settings;
        let is_short = settings.has_short_route && number.is_multiple_of(SHORT_ROUTE_CLIENTS);
        let (route, timeout_ms) = if is_short {
            (SHORT_ROUTE, SHORT_TIMEOUT_MS)
        } else {
            (Kind::ResumableStream.name(), settings.plan.timeout_ms())
        };
        Self {
            route,
            timeout: Duration::from_millis(timeout_ms),
            try_limit: TRY_LIMITS[number % TRY_LIMITS.len()].filter(|_| settings.has_try_limits),
        }
    }
}

/// Requests streams one after the other, and resumes those that break, until [`Shared::running`] is
/// false.
pub async fn run(shared: Rc<Shared>, number: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 40);
    let manner = Manner::new(&shared, number);
    for count in 0.. {
        if !shared.running.get() {
            return;
        }
        read_stream(&shared, &mut rng, &manner, &format!("s{number}-{count}")).await;
        time::sleep(Duration::from_millis(rng.gen_range(PAUSE_MS))).await;
    }
}

/// Requests a stream until it is complete or its time is over.
async fn read_stream(shared: &Shared, rng: &mut Pcg64Mcg, manner: &Manner, stream: &str) {
    let deadline = Instant::now() + manner.timeout;
    let is_named = rng.gen_bool(NAMED_PROBABILITY);
    let (mut last, mut first_attempt) = (None, None);
    let mut tries = 0;
    while tries < MAX_TRIES {
        let sent = Instant::now();
        let time_left = deadline.saturating_duration_since(sent);
        if time_left <= shared.settings.plan.min_time_left() {
            return;
        }
        let time_limit = manner.try_limit.unwrap_or(time_left);
        let preferred = last.and_then(|_| preferred_router(shared, rng));
        let connected = match preferred {
            Some(router) => connect_to(shared, router).await,
            None => connect(shared, rng).await,
        };
        let Ok((router, connection)) = connected else {
            time::sleep(Duration::from_millis(rng.gen_range(PAUSE_MS))).await;
            continue;
        };
        let id = format!("{stream}-{tries}");
        tries += 1;
        let mut request = Request {
            kind: Kind::ResumableStream,
            target: format!("/{}/{stream}", manner.route),
            body: Bytes::from(format!("{{\"n\":\"{stream}\"}}")),
            router,
            configuration: None,
            stream: Some(Stream {
                id: stream.to_owned(),
                last,
                resumes: first_attempt.clone().filter(|_| is_named),
                time_limit,
            }),
            sent,
            ended: sent,
            end: End::Hung,
        };
        let exchange = exchange(connection, &request, &id);
        let (end, retry_after) = time::timeout(time_limit + HUNG_AFTER, exchange)
            .await
            .unwrap_or((End::Hung, None));
        request.end = end;
        request.ended = Instant::now();
        if let Some(event) = request.events().last() {
            last = Some(event.id);
            first_attempt.get_or_insert_with(|| id.clone());
        }
        let is_complete = request.is_complete();
        shared.history.borrow_mut().requests.insert(id, request);
        if is_complete {
            return;
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        let pause = Duration::from_millis(rng.gen_range(PAUSE_MS));
        time::sleep(retry_after.unwrap_or(pause).min(time_left / 3)).await;
    }
}

/// Returns the router at which a client resumes, if it does not choose any.
fn preferred_router(shared: &Shared, rng: &mut Pcg64Mcg) -> Option<usize> {
    let preferred = shared.preferred_routers.borrow();
    let router = *preferred.choose(rng)?;
    rng.gen_bool(PREFERRED_PROBABILITY).then_some(router)
}

/// Returns how a try ended, and the pause that the router states before the next one.
async fn exchange(connection: Connection, request: &Request, id: &str) -> (End, Option<Duration>) {
    let head = request_head(request, id);
    let opening = Exchange::open(connection, &head, request.body.clone());
    let mut exchange = match time::timeout(MAX_GAP, opening).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(_)) => return (End::ConnectionClosed, None),
        Err(_) => return (End::Abandoned(Bytes::new()), None),
    };
    let mut body = BytesMut::new();
    let complete = loop {
        match time::timeout(MAX_GAP, exchange.data()).await {
            Ok(Ok(Some(data))) => body.extend_from_slice(&data),
            Ok(Ok(None)) => break true,
            Ok(Err(_)) => break false,
            Err(_) => return (End::Abandoned(body.freeze()), None),
        }
    };
    let stated = exchange.head().fields.text("Retry-After");
    let seconds = stated.and_then(|seconds| seconds.parse().ok());
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    (
        response(exchange.head(), &head, complete, body.freeze()),
        pause,
    )
}
