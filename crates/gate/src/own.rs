//! Calls to the router itself.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{net::TcpStream, time};
use tsw_http::{connection::Connection, field::Fields, head};
use tsw_platform::call::{self, Call};
use tsw_relay::responder::Responder;

use crate::{gate::Gate, peer, stored::Known};

/// Time after which an idle connection is closed. Callers come once a second or connect anew.
const IDLE: Duration = Duration::from_secs(20);
/// Most bytes of a head.
const MAX_HEAD: usize = 8_192;
/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Target of the metrics.
const METRICS: &str = "/metrics";

/// Answers the calls on a connection until it ends.
///
/// # Errors
///
/// Returns an error if the connection broke.
pub async fn serve(gate: Rc<Gate>, stream: TcpStream) -> io::Result<()> {
    let mut connection = Connection::accepted(stream);
    loop {
        let request = loop {
            match head::Request::take(&mut connection.buffer, MAX_HEAD) {
                Ok(Some(request)) => break request,
                Ok(None) => {}
                Err(error) => return Err(io::Error::other(error)),
            }
            let read = time::timeout(IDLE, connection.fill()).await;
            if read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? == 0 {
                return Ok(());
            }
        };
        let (status, kind, body) = answer(&gate, &String::from_utf8_lossy(&request.target));
        let mut fields = Fields::default();
        fields.push("Content-Type", kind);
        let (_, writer) = connection.stream.split();
        let mut responder = Responder::new(writer, &request, false);
        responder.respond(status, fields, &body).await?;
        if !responder.is_reusable() {
            return Ok(());
        }
    }
}

fn answer(gate: &Gate, target: &str) -> (u16, &'static str, Vec<u8>) {
    const JSON: &str = "application/json";
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match Call::read(target) {
        Some(Call::Ready) => {
            let status = if gate.is_ready() { 200 } else { 503 };
            (status, JSON, b"{}".to_vec())
        }
        Some(Call::Locate { .. }) => {
            let addresses = addresses(gate);
            let status = if addresses.is_empty() { 503 } else { 200 };
            let keep_s = gate.settings.borrow().bounds.keep_s;
            (status, JSON, call::located(&addresses, keep_s))
        }
        None if path == peer::PATH => {
            let knowledge = peer::knowledge(gate, &Known::from_query(query));
            match postcard::to_allocvec(&knowledge) {
                Ok(body) => (200, "application/octet-stream", body),
                Err(error) => (500, JSON, error.to_string().into_bytes()),
            }
        }
        None if target == METRICS => match metrics(gate) {
            Ok(body) => (200, "text/plain; version=0.0.4", body),
            Err(error) => (500, "text/plain", error.to_string().into_bytes()),
        },
        None => (404, JSON, b"{}".to_vec()),
    }
}

fn metrics(gate: &Gate) -> prometheus::Result<Vec<u8>> {
    let metrics = &gate.router.metrics;
    metrics
        .clients
        .set(i64::try_from(gate.clients.get()).unwrap_or(i64::MAX));
    metrics.text()
}

/// Returns the addresses that clients may use.
fn addresses(gate: &Gate) -> Vec<SocketAddr> {
    let mut roster = gate.roster.borrow_mut();
    roster.me.ready = gate.is_ready();
    let listed = roster.client_routers(gate.router.now());
    let addresses = listed.into_iter().map(|member| member.client);
    addresses.take(MAX_ADDRESSES).collect()
}
