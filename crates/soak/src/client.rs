//! Clients that reuse connections.

pub mod stream;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time;
use tsw_http::{body, connection::Connection, exchange::Exchange, field::Fields, head};

use crate::{
    history::{self, End, History, Kind, Request, KEY},
    run::Settings,
};

/// Hostname of the routes.
pub const HOST: &str = "soak.example";
/// Name of the second route for resumable streams, and first segment of its paths.
pub(crate) const SHORT_ROUTE: &str = "memo";
/// Timeout of this route in milliseconds.
pub(crate) const SHORT_TIMEOUT_MS: u64 = 12_000;
/// Deadline of a request, sent to the router.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after the deadline at which a request that has not ended counts as hung. A machine under
/// load may need several seconds.
const HUNG_AFTER: Duration = Duration::from_secs(10);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// State that all clients share.
pub struct Shared {
    /// Addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// Records their requests.
    pub history: Rc<RefCell<History>>,
    /// What the run plays.
    pub settings: Settings,
    /// Indices of the routers at which most of them resume streams now.
    pub preferred_routers: Rc<RefCell<Vec<usize>>>,
    /// Whether they continue to send requests.
    pub running: Cell<bool>,
}

/// Sends requests one after the other until [`Shared::running`] is false.
pub async fn run(shared: Rc<Shared>, number: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 32);
    let mut idle: Option<(usize, Connection)> = None;
    for count in 0.. {
        if !shared.running.get() {
            return;
        }
        let id = format!("c{number}-{count}");
        let kind = *shared
            .settings
            .plan
            .kinds()
            .choose(&mut rng)
            .expect("not empty");
        let sent = Instant::now();
        let connected = match idle.take() {
            Some(connected) => Ok(connected),
            None => connect(&shared, &mut rng).await,
        };
        let mut request = Request {
            kind,
            target: format!("/{}/{id}", kind.name()),
            body: match kind {
                Kind::Idempotent => Bytes::new(),
                _ => Bytes::from(format!("{{\"n\":\"{id}\"}}")),
            },
            router: connected
                .as_ref()
                .map_or_else(|router| *router, |opened| opened.0),
            configuration: match kind {
                Kind::Idempotent => Some(shared.history.borrow().configurations.len()),
                _ => None,
            },
            stream: None,
            sent,
            ended: sent,
            end: End::NoConnection,
        };
        if let Ok((router, connection)) = connected {
            let exchange = exchange(connection, &request, &id);
            let (end, connection) = time::timeout(DEADLINE + HUNG_AFTER, exchange)
                .await
                .unwrap_or((End::Hung, None));
            request.end = end;
            idle = connection.map(|connection| (router, connection));
        }
        request.ended = Instant::now();
        shared.history.borrow_mut().requests.insert(id, request);
        time::sleep(Duration::from_millis(rng.gen_range(PAUSE_MS))).await;
    }
}

/// Opens a connection to a random router. The error is the number of the router.
async fn connect(shared: &Shared, rng: &mut Pcg64Mcg) -> Result<(usize, Connection), usize> {
    let router = rng.gen_range(0..shared.routers.len());
    connect_to(shared, router).await
}

/// Opens a connection to a router. The error is its number.
async fn connect_to(shared: &Shared, router: usize) -> Result<(usize, Connection), usize> {
    let connection = Connection::open(shared.routers[router], CONNECT_TIMEOUT).await;
    connection
        .map(|connection| (router, connection))
        .map_err(|_| router)
}

fn request_head(request: &Request, id: &str) -> head::Request {
    let mut fields = Fields::default();
    fields.push("Host", HOST);
    fields.push("Attempt-Id", id.to_owned());
    let deadline = request
        .stream
        .as_ref()
        .map_or(DEADLINE, |stream| stream.time_limit);
    fields.push("Deadline-Ms", deadline.as_millis().to_string());
    let key = request.configuration.map(history::key);
    let key = key.as_deref().unwrap_or(KEY);
    fields.push("Authorization", format!("Token {key}"));
    if request.kind.is_stream() {
        fields.push("Model-Name", "m");
        fields.push("Token-Count", "1000,50");
        fields.push("Prompt-Prefix", "aa:400,bb:600");
    }
    if let Some(stream) = &request.stream {
        if let Some(last) = stream.last {
            fields.push("Last-Event-Id", last.to_string());
        }
        if let Some(resumes) = &stream.resumes {
            fields.push("Resumes", resumes.clone());
        }
    }
    let method: &[u8] = match request.kind {
        Kind::Idempotent => b"GET",
        _ => b"POST",
    };
    if !request.body.is_empty() {
        fields.push("Content-Length", request.body.len().to_string());
    }
    head::Request {
        method: Bytes::from_static(method),
        target: Bytes::from(request.target.clone()),
        http10: false,
        fields,
    }
}

async fn exchange(
    connection: Connection,
    request: &Request,
    id: &str,
) -> (End, Option<Connection>) {
    let head = request_head(request, id);
    let Ok(mut exchange) = Exchange::open(connection, &head, request.body.clone()).await else {
        return (End::ConnectionClosed, None);
    };
    let mut body = BytesMut::new();
    let complete = loop {
        match exchange.data().await {
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let end = response(exchange.head(), &head, complete, body.freeze());
    let reusable = if complete { exchange.finish() } else { None };
    (end, reusable.map(|reusable| reusable.connection))
}

fn response(
    response: &head::Response,
    request: &head::Request,
    complete: bool,
    body: Bytes,
) -> End {
    let framed = response.length(&request.method) != Ok(body::Length::UntilClose);
    End::Response {
        status: response.status,
        complete: complete && framed,
        request_id: response.fields.text("Attempt-Id").map(str::to_owned),
        body,
    }
}
