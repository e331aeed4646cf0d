//! Requests on kept client connections, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::{io, time::Duration};

use fleet::{configuration, Call, Site, TIMEOUT};
use rustix::process::Signal;
use serde_json::Value;
use tsw_fake::worker::Behaviour;
use tsw_http::{connection::Connection, exchange::Exchange};

/// Number of kept connections.
const CONNECTIONS: usize = 20;
/// Idle timeout of the configuration that is in force when the connections become idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts a site with an idle timeout of [`IDLE_TIMEOUT`].
async fn site() -> Site {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    site.router.set_descriptors(4_000).await;
    let mut changed = configuration(2);
    changed["limits"]["idleTimeoutMs"] = Value::from(IDLE_TIMEOUT.as_millis() as u64);
    site.reconfigure(changed).await;
    site
}

/// Sends a request on a connection and returns the connection, which the router has kept.
async fn call_on(connection: Connection, id: String) -> io::Result<Connection> {
    let call = Call::valid("GET", "/lookup/1", &id);
    let exchange = Exchange::open(connection, &call.head, call.body.clone());
    let mut exchange = exchange.await.map_err(io::Error::other)?;
    assert_eq!(exchange.head().status, 200, "{id}");
    while exchange.data().await.map_err(io::Error::other)?.is_some() {}
    let reusable = exchange.finish();
    Ok(reusable.expect("a kept connection").connection)
}

async fn kept_connections(site: &Site) -> Vec<Connection> {
    let mut kept = Vec::new();
    for number in 0..CONNECTIONS {
        let opened = Connection::open(site.router.client, TIMEOUT).await;
        let used = call_on(opened.expect("a connection"), format!("a{number}")).await;
        kept.push(used.expect("a response"));
    }
    kept
}

/// Checks that a further request on each connection is answered.
async fn check_answered(requests: Vec<actix_rt::task::JoinHandle<io::Result<Connection>>>) {
    for (number, request) in requests.into_iter().enumerate() {
        let answered = actix_rt::time::timeout(TIMEOUT, request).await;
        let answered = answered.expect("in time").expect("no panic");
        answered.unwrap_or_else(|error| panic!("request {number} got no response: {error}"));
    }
}

fn call_on_each(kept: Vec<Connection>) -> Vec<actix_rt::task::JoinHandle<io::Result<Connection>>> {
    let requests = kept
        .into_iter()
        .enumerate()
        .map(|(number, connection)| actix_rt::spawn(call_on(connection, format!("b{number}"))));
    requests.collect()
}

/// Guards against closing a kept connection by the idle timeout of an older configuration although
/// the one in force lets clients reuse the connection for longer.
#[actix_rt::test]
async fn raised_idle_timeout_applies_to_connections_that_are_idle() {
    let site = site().await;
    let kept = kept_connections(&site).await;
    site.reconfigure(configuration(3)).await;
    actix_rt::time::sleep(IDLE_TIMEOUT + Duration::from_millis(500)).await;
    check_answered(call_on_each(kept)).await;
}

/// Guards against closing a kept connection as idle although a request has arrived on it, which
/// the router has not read yet because it was slow.
#[actix_rt::test]
async fn request_that_arrived_before_the_idle_deadline_is_answered() {
    let site = site().await;
    let kept = kept_connections(&site).await;
    // SIGSTOP suspends the process while the requests arrive, until after the deadline.
    site.router.signal(Signal::STOP);
    let requests = call_on_each(kept);
    actix_rt::time::sleep(IDLE_TIMEOUT + Duration::from_millis(500)).await;
    site.router.signal(Signal::CONT);
    check_answered(requests).await;
}
