//! Bytes that a router buffers for all of its requests together.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use actix_rt::time;
use fleet::{configuration, Call, Site};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tsw_fake::worker::{Behaviour, Endless};
use tsw_http::{
    connection::Connection,
    exchange::{self, Exchange},
    head,
};

/// Memory of the smallest hosts that operators state.
const HOST_KB: u64 = 110_000;
/// Largest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;

async fn site(behaviour: Behaviour) -> Site {
    let site = Site::start(behaviour, behaviour).await;
    site.router.set_descriptors(4_000).await;
    let mut changed = configuration(2);
    changed["limits"]["maxBodyBytes"] = Value::from(BODY_BYTES);
    site.reconfigure(changed).await;
    site
}

/// Opens connections that each send all but the last byte of the largest body.
async fn send_bodies(site: &Site, call: &Call) -> Vec<Connection> {
    let mut open = Vec::new();
    let body = vec![b'x'; BODY_BYTES - 1];
    for _ in 0..60 {
        let mut connection = Connection::open(site.router.client, fleet::TIMEOUT)
            .await
            .expect("open");
        let mut head = call.head.clone();
        head.fields.push("Content-Length", BODY_BYTES.to_string());
        let mut text = bytes::BytesMut::new();
        head.write(&mut text);
        connection.stream.write_all(&text).await.expect("a head");
        // The router may close the connection, or read no further.
        let sent = connection.stream.write_all(&body);
        let _ = time::timeout(Duration::from_millis(300), sent).await;
        open.push(connection);
    }
    open
}

/// Returns the status of the response that has arrived on a connection, if one has.
async fn arrived_status(connection: &mut Connection) -> Option<u16> {
    let _ = time::timeout(Duration::from_millis(50), connection.fill()).await;
    let head = head::Response::take(&mut connection.buffer, 16_384).ok()?;
    head.map(|head| head.status)
}

/// Guards against a router that exceeds the memory of its host because many clients send long bodies slowly,
/// and against one team that so keeps others from being served.
#[actix_rt::test]
async fn long_bodies_of_many_clients_keep_to_the_memory() {
    let site = site(Behaviour::Plain).await;
    let mut open = send_bodies(&site, &Call::valid("POST", "/book/1", "a1")).await;
    assert!(
        site.router.peak_kb() < HOST_KB,
        "{} kB",
        site.router.peak_kb()
    );
    let mut refused = 0;
    for connection in &mut open {
        refused += usize::from(arrived_status(connection).await == Some(503));
    }
    assert!(refused > 0, "no request is refused");
    let other = Call::valid("GET", "/open/1", "a2").send(&site.router).await;
    assert_eq!(other.status, 200);
    drop(open);
    time::sleep(Duration::from_millis(200)).await;
    let after = Call::valid("POST", "/book/1", "a3")
        .body("truck")
        .send(&site.router)
        .await;
    assert_eq!(after.status, 200);
}

/// Guards against the same by clients without a valid key, whose requests are denied.
#[actix_rt::test]
async fn bodies_of_denied_requests_are_not_buffered() {
    let site = site(Behaviour::Plain).await;
    let before = site.router.peak_kb();
    let mut call = Call::valid("POST", "/book/1", "a1");
    call.head.fields.remove("Authorization");
    let mut open = send_bodies(&site, &call).await;
    let grown = site.router.peak_kb() - before;
    assert!(grown < 20_000, "{grown} kB");
    for connection in open.iter_mut().take(5) {
        assert_eq!(arrived_status(connection).await, Some(401));
    }
}

/// Guards against a failure without end that fills the memory, or reaches a client in part.
#[actix_rt::test]
async fn failures_without_end_are_given_up() {
    let site = site(Behaviour::Endless(Endless::Failure)).await;
    let before = site.router.peak_kb();
    let calls = (0..100).map(|number| {
        let call = match number % 2 {
            0 => Call::prompt("/note/1", &format!("a{number}")),
            _ => Call::valid("GET", "/lookup/1", &format!("a{number}")),
        };
        let router = &site.router;
        async move { call.send(router).await.status }
    });
    for status in futures_util::future::join_all(calls).await {
        assert!([429, 502, 503].contains(&status), "{status}");
    }
    let grown = site.router.peak_kb() - before;
    assert!(grown < 40_000, "{grown} kB");
}

/// Guards against the same by whole responses of a plain service: what cannot be held back is passed on, until
/// the time limit.
#[actix_rt::test]
async fn responses_without_end_of_many_requests_are_bounded_in_memory_and_time() {
    let site = site(Behaviour::Endless(Endless::Body)).await;
    let before = site.router.peak_kb();
    let calls = (0..100).map(|number| {
        let mut call = Call::valid("GET", "/open/1", &format!("a{number}"));
        call.head.fields.remove("Deadline-Ms");
        call.head.fields.push("Deadline-Ms", "2000");
        let router = site.router.client;
        actix_rt::spawn(async move {
            let started = Instant::now();
            let connection = Connection::open(router, fleet::TIMEOUT).await?;
            let mut exchange = Exchange::open(connection, &call.head, call.body).await?;
            let status = exchange.head().status;
            while let Ok(Some(_)) = exchange.data().await {}
            Ok::<_, exchange::Error>((status, started.elapsed()))
        })
    });
    for call in calls.collect::<Vec<_>>() {
        let (status, took) = call.await.expect("no panic").expect("a response");
        assert!([200, 429, 502, 503, 504].contains(&status), "{status}");
        assert!(took < Duration::from_secs(6), "{took:?}");
    }
    let grown = site.router.peak_kb() - before;
    assert!(grown < 70_000, "{grown} kB");
}
