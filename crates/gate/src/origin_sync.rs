//! Shares with other routers where streams began, so that each of them can resume a stream after the
//! one that began it has ended.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::future;
use indexmap::{IndexMap, IndexSet};
use tokio::{net::UdpSocket, time};
use tsw_event::{emit, Event};
use tsw_flow::origin::{Key, Origin, Source};
use tsw_http::{
    connection::Connection,
    exchange::{self, Exchange},
    field::Fields,
    head,
};
use tsw_relay::{
    derivation::{Evidence, NotDerived},
    request::Request,
};
use tsw_route::Name;

use crate::{
    gossip,
    origin_batch::{Batch, Outgoing, StatedOrigin},
    state::State,
};

/// Path of the endpoint; its query is `key=` and the key of a stream in hexadecimal.
pub const PATH: &str = "/v1/origin";
/// Interval at which records are sent.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of routers that keep each record.
pub const KEEPERS: usize = 3;
/// Number of routers that are asked. One that keeps records does not count itself, so that its choice
/// may be one place further down.
pub const ASKED: usize = KEEPERS + 1;
/// Time limit of a query to the routers.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of streams for which routers are asked at the same time.
const MAX_QUERIES: usize = 64;
/// Maximum size of a response in bytes.
const MAX_RESPONSE: usize = 1_024;

/// Number of queries in flight.
#[derive(Debug, Default)]
pub struct Queries(Cell<usize>);

struct QueryGuard<'a>(&'a Cell<usize>);

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Queries {
    fn begin(&self) -> Option<QueryGuard<'_>> {
        let count = self.0.get();
        (count < MAX_QUERIES).then(|| {
            self.0.set(count + 1);
            QueryGuard(&self.0)
        })
    }
}

/// An error of a query to a router.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    #[error("malformed answer: {0}")]
    Malformed(#[from] postcard::Error),
    #[error("the answer exceeds {MAX_RESPONSE} bytes")]
    TooLong,
    #[error("the router answered with status {0}")]
    Status(u16),
    #[error("the name of the origin is too long")]
    Name,
}

/// Sends records of streams that clients may resume to the routers that keep them until the process ends.
pub async fn send_records(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut outgoing = Outgoing::default();
    loop {
        time::sleep(INTERVAL).await;
        for (to, records) in next_records(&state, &mut outgoing) {
            let counter = &state.router.metrics.origin_records;
            let counter = counter.with_label_values(&["sent"]);
            counter.inc_by(records.len() as u64);
            for batch in Batch::split(&records) {
                gossip::send_origins(&state, &socket, to, batch).await;
            }
        }
    }
}

/// Returns the records that are to be sent now, by the gossip address of the recipient.
fn next_records(
    state: &State,
    outgoing: &mut Outgoing,
) -> IndexMap<SocketAddr, Vec<(Key, Origin)>> {
    let now = state.router.now();
    let split = split_services(state);
    let roster = state.roster.borrow();
    let live = roster.live(now).map(|peer| peer.incarnation).collect();
    outgoing.take(
        state.router.resumable_origins(),
        live,
        |service| {
            split.contains(service)
                || state.router.is_mixed(service)
                || state.router.has_moved_routes(service)
        },
        |key| roster.keepers(now, key.0, KEEPERS),
    )
}

/// Returns the services of stream routes that have several.
fn split_services(state: &State) -> IndexSet<Name> {
    let table = state.router.table();
    let routes = table.iter().flat_map(|table| table.routes());
    let split = routes.filter(|route| route.kind.is_stream() && route.services.len() > 1);
    let services = split.flat_map(|route| route.services.iter().map(|(name, _)| name.clone()));
    services.collect()
}

/// Applies records of another router.
pub fn receive(state: &State, batch: &Batch) {
    let counter = state
        .router
        .metrics
        .origin_records
        .with_label_values(&["received"]);
    for (key, origin) in batch.records() {
        counter.inc();
        state.router.record_origin(key, origin);
    }
}

/// Returns the response to a query; `None` if the query is malformed or the origin unknown.
#[must_use]
pub fn answer(state: &State, query: &str) -> Option<Vec<u8>> {
    let key = query.strip_prefix("key=")?;
    let key = u64::from_str_radix(key, 16).ok().map(Key)?;
    let stated = StatedOrigin::new(&state.router.origin(key)?)?;
    postcard::to_allocvec(&stated).ok()
}

/// Binds a request to the place where the stream that it resumes began, as far as other routers know it
/// or it follows from the identifier of the stream. Does nothing if it is bound.
pub async fn bind(state: &State, request: &mut Request) {
    if request.origin.is_some() || !request.is_resume() {
        return;
    }
    let mut evidence = Evidence::Sufficient;
    if let Some(key) = request.resumed_key() {
        let answers = query(state, request, key).await;
        if let Some(origin) = answers.origin {
            return state.router.bind(request, origin, Source::Peer);
        }
        // This router may be cut off from others that have seen upstreams return with other software.
        if answers.answered == 0 && !answers.is_skipped {
            evidence = Evidence::AllRuns;
        }
    }
    // Routers that were told where it began know best: a router of an older build assigns streams in
    // another way.
    if !state.router.may_derive(request) {
        return;
    }
    if state.list_check.run(state).await {
        state.router.bind_derived(request, evidence).await;
    } else {
        let outdated = NotDerived::ListOutdated;
        state.router.reject_derivation(request, outdated);
    }
}

async fn query(state: &State, request: &Request, key: Key) -> Answers {
    let answers = match state.origin_queries.begin() {
        Some(_guard) => ask(state, key).await,
        None => Answers {
            is_skipped: true,
            ..Answers::default()
        },
    };
    let label = if answers.origin.is_some() {
        "known"
    } else {
        "unknown"
    };
    let queries = &state.router.metrics.origin_queries;
    queries.with_label_values(&[label]).inc();
    match &answers.origin {
        Some(origin) => emit(
            Event::OriginKnown,
            &[("request", &request.id), ("software", &origin.software)],
        ),
        None => emit(
            Event::OriginUnknown,
            &[
                ("request", &request.id),
                ("asked", &answers.asked),
                ("answered", &answers.answered),
            ],
        ),
    }
    answers
}

/// What the routers that may keep a record have answered.
#[derive(Default)]
struct Answers {
    /// The first origin that one of them knows.
    origin: Option<Origin>,
    /// Number of routers that were asked.
    asked: usize,
    /// Number of routers that answered in time, until one knew the origin.
    answered: usize,
    /// Whether none was asked, since too many queries are in flight.
    is_skipped: bool,
}

/// Asks the routers that may keep a record of a stream.
async fn ask(state: &State, key: Key) -> Answers {
    let addresses: Vec<SocketAddr> = {
        let roster = state.roster.borrow();
        let keepers = roster.keepers(state.router.now(), key.0, ASKED);
        keepers.into_iter().map(|keeper| keeper.control).collect()
    };
    let asked = addresses.len();
    if asked == 0 {
        return Answers::default();
    }
    let answered = &Cell::new(0);
    let query = |address| async move {
        let origin = fetch(address, key).await;
        // A router that does not know the origin, or not even the path, answers with an error status.
        if matches!(origin, Ok(_) | Err(Error::Status(_))) {
            answered.set(answered.get() + 1);
        }
        origin
    };
    let queries = addresses
        .into_iter()
        .map(|address| Box::pin(query(address)));
    let first = time::timeout(TIMEOUT, future::select_ok(queries)).await;
    let origin = first.ok().and_then(Result::ok).map(|(origin, _)| origin);
    Answers {
        origin,
        asked,
        answered: answered.get(),
        is_skipped: false,
    }
}

async fn fetch(address: SocketAddr, key: Key) -> Result<Origin, Error> {
    let connection = Connection::open(address, TIMEOUT).await?;
    let mut fields = Fields::default();
    fields.push("Host", address.to_string());
    let request = head::Request {
        method: Bytes::from_static(b"GET"),
        target: format!("{PATH}?key={:x}", key.0).into(),
        http10: false,
        fields,
    };
    let mut exchange = Exchange::open(connection, &request, Bytes::new()).await?;
    let mut body = BytesMut::new();
    while let Some(data) = exchange.data().await? {
        body.extend_from_slice(&data);
        if body.len() > MAX_RESPONSE {
            return Err(Error::TooLong);
        }
    }
    match exchange.head().status {
        200 => postcard::from_bytes::<StatedOrigin>(&body)?
            .origin()
            .ok_or(Error::Name),
        status => Err(Error::Status(status)),
    }
}
