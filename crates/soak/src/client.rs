//! Clients that keep using open connections.

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

use crate::ledger::{End, Kind, Ledger, Request, KEY};

/// Host that the routes belong to.
pub const HOST: &str = "soak.example";
/// Time that a client gives a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after the deadline at which a request without an end counts as hung. A machine under load
/// may need seconds.
const HUNG: Duration = Duration::from_secs(10);
/// Longest time for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Pauses between the requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// What all clients share.
pub struct Shared {
    /// Addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// What they see.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Whether they go on.
    pub run: Cell<bool>,
}

/// Sends requests one after the other until told to end.
pub async fn run(shared: Rc<Shared>, number: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 32);
    let mut open: Option<(usize, Connection)> = None;
    for count in 0.. {
        if !shared.run.get() {
            return;
        }
        let id = format!("c{number}-{count}");
        let kinds = [Kind::Lookup, Kind::Book, Kind::Draft, Kind::Note];
        let kind = *kinds.choose(&mut rng).expect("not empty");
        let sent = Instant::now();
        let connected = match open.take() {
            Some(connected) => Ok(connected),
            None => connect(&shared, &mut rng).await,
        };
        let mut request = Request {
            kind,
            target: format!("/{}/{id}", kind.name()),
            body: match kind {
                Kind::Lookup => Bytes::new(),
                _ => Bytes::from(format!("{{\"n\":\"{id}\"}}")),
            },
            router: connected
                .as_ref()
                .map_or_else(|router| *router, |found| found.0),
            sent,
            ended: sent,
            end: NO_CONNECTION,
        };
        if let Ok((router, connection)) = connected {
            let exchange = exchange(connection, &request, &id);
            let (end, connection) = time::timeout(DEADLINE + HUNG, exchange)
                .await
                .unwrap_or((End::Hung, None));
            request.end = end;
            open = connection.map(|connection| (router, connection));
        }
        request.ended = Instant::now();
        shared.ledger.borrow_mut().requests.insert(id, request);
        time::sleep(Duration::from_millis(rng.gen_range(PAUSE_MS))).await;
    }
}

const NO_CONNECTION: End = End::NoConnection;

async fn connect(shared: &Shared, rng: &mut Pcg64Mcg) -> Result<(usize, Connection), usize> {
    let router = rng.gen_range(0..shared.routers.len());
    let connection = Connection::open(shared.routers[router], CONNECT).await;
    connection.map(|open| (router, open)).map_err(|_| router)
}

fn head(request: &Request, id: &str) -> head::Request {
    let mut fields = Fields::default();
    fields.push("Host", HOST);
    fields.push("Attempt-Id", id.to_owned());
    fields.push("Deadline-Ms", DEADLINE.as_millis().to_string());
    fields.push("Authorization", format!("Token {KEY}"));
    if request.kind.is_stream() {
        fields.push("Model-Name", "m");
        fields.push("Token-Count", "1000,50");
        fields.push("Prompt-Prefix", "aa:400,bb:600");
    }
    let method: &[u8] = match request.kind {
        Kind::Lookup => b"GET",
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
    let head = head(request, id);
    let Ok(mut exchange) = Exchange::open(connection, &head, request.body.clone()).await else {
        return (End::Closed, None);
    };
    let mut text = BytesMut::new();
    let complete = loop {
        match exchange.data().await {
            Ok(Some(data)) => text.extend_from_slice(&data),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let answer = exchange.head();
    let framed = answer.length(&head.method) != Ok(body::Length::UntilClose);
    let end = End::Answer {
        status: answer.status,
        whole: complete && framed,
        id: answer.fields.text("Attempt-Id").map(str::to_owned),
        body: text.freeze(),
    };
    let reusable = if complete { exchange.finish() } else { None };
    (end, reusable.map(|reusable| reusable.connection))
}
