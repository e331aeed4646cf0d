//! Tests of the booking service.

mod support;

use std::{net::SocketAddr, time::Duration};

use actix_http::Method;
use indexmap::IndexMap;
use serde_json::{json, Value};
use support::{any, pause, post, read, run, send, until};
use tsw_fake::{booking, history, names};

async fn start(service_ms: u64, history: history::Writer) -> booking::Fleet {
    let options = booking::Options {
        service_time: Duration::from_millis(service_ms),
        crash: tsw_fake::engine::Crash {
            exit: false,
            down_ms: 200,
        },
        ..booking::Options::default()
    };
    let names = names::expand("b", &[any()], 1, names::Step::Port).expect("an address");
    let fleet = booking::Fleet::bind(&names, any(), options, history).await;
    fleet.expect("a free port")
}

async fn book(address: SocketAddr, key: &str, body: &str) -> Result<Value, String> {
    let headers = [("toucan-key", key), ("toucan-team", "counter")];
    let sent = send(Method::POST, address, "/v1/pickups", &headers, body).await?;
    serde_json::from_str(&sent.1).map_err(|error| error.to_string())
}

async fn stats(fleet: &booking::Fleet) -> booking::Stats {
    let all: IndexMap<String, booking::Stats> = read(fleet.control(), "/control/stats").await;
    all["b"].clone()
}

/// Guards against a worker that hides a repeated execution.
#[test]
fn a_repeated_key_is_executed_and_counted() {
    run(async {
        let fleet = start(5, history::Writer::default()).await;
        let address = fleet.addresses()[0].1;
        for key in ["k1", "k1", "k1", "k2"] {
            book(address, key, "body").await.expect("booked");
        }
        let stats = stats(&fleet).await;
        assert_eq!((stats.started, stats.ended, stats.repeated), (4, 4, 1));
        let past: Value = read(address, "/past?key=k1").await;
        let bookings = past["bookings"].as_array().expect("bookings");
        assert_eq!(bookings.len(), 3);
        assert_eq!(bookings[0]["team"], "counter");
    });
}

/// Guards against an execution that stops because its caller has disconnected.
#[test]
fn a_disconnect_does_not_stop_an_execution() {
    run(async {
        let fleet = start(200, history::Writer::default()).await;
        let address = fleet.addresses()[0].1;
        let call = book(address, "k", "body");
        let outcome = actix_rt::time::timeout(Duration::from_millis(50), call).await;
        assert!(outcome.is_err());
        until(|| async { stats(&fleet).await.ended == 1 }).await;
    });
}

/// Guards against an execution that completes although a crash has interrupted it.
#[test]
fn interrupted_executions_do_not_complete_after_a_crash() {
    run(async {
        let file = tempfile::NamedTempFile::new().expect("a file");
        let writer = history::Writer::open(Some(file.path())).expect("writable");
        let fleet = start(100, writer).await;
        let address = fleet.addresses()[0].1;
        let victim = actix_rt::spawn(async move { book(address, "victim", "body").await });
        until(|| async { stats(&fleet).await.running == 1 }).await;
        assert!(book(address, "killer", "x #crash").await.is_err());
        assert!(victim.await.expect("ended").is_err());
        until(|| async { book(address, "after", "body").await.is_ok() }).await;
        pause(150).await;
        let stats = stats(&fleet).await;
        assert_eq!((stats.started, stats.ended, stats.crashes), (3, 1, 1));
        assert_eq!(stats.running, 0);
        let text = std::fs::read_to_string(file.path()).expect("readable");
        let lines = text.lines();
        let lines = lines.map(|line| serde_json::from_str::<history::Line>(line).expect("a line"));
        let crashed = lines.filter(|line| line.event == history::Event::Crash);
        let mut keys: Vec<_> = crashed.map(|line| line.request.key).collect();
        keys.sort();
        assert_eq!(keys, ["", "killer", "victim"]);
    });
}

/// Guards against more concurrent executions than the worker has slots.
#[test]
fn executions_beyond_the_slots_wait() {
    run(async {
        let fleet = start(30, history::Writer::default()).await;
        let address = fleet.addresses()[0].1;
        let slow = json!({"factor": 2.0});
        post(fleet.control(), "/control/slow", &slow.to_string()).await;
        let start = std::time::Instant::now();
        let calls = (0..16).map(|index| async move {
            let key = format!("k{index}");
            book(address, &key, "body").await.expect("booked");
        });
        futures_util::future::join_all(calls).await;
        assert!(start.elapsed() >= Duration::from_millis(120));
        assert_eq!(stats(&fleet).await.ended, 16);
    });
}
