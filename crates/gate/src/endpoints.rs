//! The router's own HTTP endpoints: readiness, client addresses, metrics and reads by peers.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{net::TcpStream, time};
use tsw_http::{connection::Connection, field::Fields, head};
use tsw_platform::endpoint::{self, Endpoint};
use tsw_relay::responder::Responder;

use crate::{explain, origin_sync, peer_sync, state::State, store_copy::KnownRevisions};

/// Idle timeout of a connection. Callers send a request every second or open a new connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a request head in bytes.
const MAX_HEAD: usize = 8_192;
/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// Content type of most responses.
const JSON: &str = "application/json";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers the requests on a connection until it is closed.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn serve(state: Rc<State>, stream: TcpStream) -> io::Result<()> {
    let connections = &state.endpoint_clients;
    let Some(_open) = connections.open(state.max_endpoint_clients()) else {
        return Ok(());
    };
    let mut connection = Connection::accepted(stream);
    loop {
        // The wait includes that for a client that does not read.
        let wait = connections.wait();
        let served = tokio::select! {
            served = serve_next(&state, &mut connection) => served?,
            _ = state.evicted(&wait) => false,
        };
        if !served {
            return Ok(());
        }
    }
}

/// Answers the next request on a connection, and returns whether another one may follow.
async fn serve_next(state: &Rc<State>, connection: &mut Connection) -> io::Result<bool> {
    let request = loop {
        match head::Request::take(&mut connection.buffer, MAX_HEAD) {
            Ok(Some(request)) => break request,
            Ok(None) => {}
            Err(error) => return Err(io::Error::other(error)),
        }
        let read = time::timeout(IDLE_TIMEOUT, connection.fill()).await;
        if read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? == 0 {
            return Ok(false);
        }
    };
    let target = String::from_utf8_lossy(&request.target);
    let mut fields = Fields::default();
    let (status, content_type, body) = if target == explain::PATH {
        let (status, body) = explain::respond(state, &request.fields);
        (status, JSON, body)
    } else if let Some(query) = peer_sync::query(&target) {
        // While the store does not answer this router, the others need not wait for it.
        let reads_store = state.roster.borrow().me.reads_store;
        let reads_first = peer_sync::reads_first(query) && reads_store;
        if reads_first && state.store_check.run(state).await {
            fields.push(peer_sync::READ, "1");
        }
        let delta = peer_sync::delta(state, &KnownRevisions::from_query(query));
        fields.push(peer_sync::CHANGES, "1");
        if let Some(digest) = delta.digest {
            fields.push(peer_sync::DIGEST, digest.to_field());
        }
        match delta.encode() {
            Ok(body) => (200, "application/octet-stream", body),
            Err(error) => (500, JSON, error.to_string().into_bytes()),
        }
    } else {
        respond(state, &target)
    };
    fields.push("Content-Type", content_type);
    let (_, writer) = connection.stream.split();
    let mut responder = Responder::new(writer, &request, false);
    responder.respond(status, fields, &body).await?;
    Ok(responder.is_reusable())
}

fn respond(state: &State, target: &str) -> (u16, &'static str, Vec<u8>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match Endpoint::parse(target) {
        Some(Endpoint::Ready) => {
            let status = if state.is_ready() { 200 } else { 503 };
            (status, JSON, b"{}".to_vec())
        }
        Some(Endpoint::Locate { .. }) => {
            let addresses = client_addresses(state);
            let status = if addresses.is_empty() { 503 } else { 200 };
            let keep_s = state.settings.borrow().bounds.keep_s;
            (status, JSON, endpoint::locate_response(&addresses, keep_s))
        }
        None if path == origin_sync::PATH => match origin_sync::answer(state, query) {
            Some(body) => (200, "application/octet-stream", body),
            None => (404, JSON, b"{}".to_vec()),
        },
        None if target == METRICS_PATH => match metrics(state) {
            Ok(body) => (200, "text/plain; version=0.0.4", body),
            Err(error) => (500, "text/plain", error.to_string().into_bytes()),
        },
        None => (404, JSON, b"{}".to_vec()),
    }
}

fn metrics(state: &State) -> prometheus::Result<Vec<u8>> {
    let metrics = &state.router.metrics;
    metrics
        .clients
        .set(i64::try_from(state.clients.count()).unwrap_or(i64::MAX));
    metrics.text()
}

/// Returns the addresses of the routers listed for clients.
fn client_addresses(state: &State) -> Vec<SocketAddr> {
    let mut roster = state.roster.borrow_mut();
    roster.me.ready = state.is_ready();
    let listed = roster.client_routers(state.router.now());
    let addresses = listed.into_iter().map(|member| member.client);
    addresses.take(MAX_ADDRESSES).collect()
}
