//! Upstreams that state in their responses the request rate that they take, with router processes.

#[path = "support/fleet.rs"]
mod fleet;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use fleet::{Call, Response, Router, Site};
use futures_util::future;
use tsw_fake::{
    store::Store,
    worker::{Behaviour, Worker},
};

/// Window in which an upstream counts the requests that it gets.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the largest number of requests that an upstream got in a window that began at `since` or later.
fn most_in_window(upstream: &Worker, since: Instant) -> usize {
    let mut times: Vec<Instant> = upstream
        .arrivals()
        .iter()
        .map(|arrival| arrival.time)
        .collect();
    times.retain(|time| *time >= since);
    let in_window = |from: &Instant| {
        let of_window = times
            .iter()
            .filter(|time| (*from..*from + WINDOW).contains(time));
        of_window.count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Sends a lookup to a router each `interval` until `end`, and returns the responses.
async fn send_lookups(
    router: &Router,
    name: &str,
    interval: Duration,
    end: Instant,
) -> Vec<Response> {
    let mut calls = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("{name}-{number}");
        calls.push(async move { Call::valid("GET", "/lookup/1", &id).send(router).await });
        number += 1;
        if calls.len() == 4 {
            future::join_all(std::mem::take(&mut calls)).await;
            actix_rt::time::sleep(interval * 4).await;
        }
    }
    future::join_all(calls).await
}

/// Guards against routers that each send what an upstream takes from all of them together, or that do
/// not read the rate at all.
#[actix_rt::test]
async fn routers_together_keep_to_the_rate_that_an_upstream_states() {
    const RATE: usize = 3;
    let store = Store::bind().await.expect("a store");
    let desk = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    desk.set_fields(&format!("Server-Limit: {RATE}\r\n"));
    fleet::publish(&store, &[("d1", "desk", &desk)]);
    let mut seeds: Vec<SocketAddr> = Vec::new();
    let mut routers = Vec::new();
    for name in ["r1", "r2", "r3"] {
        let router = Router::start(name, store.address(), &seeds);
        seeds.push(router.gossip);
        routers.push(router);
    }
    for router in &routers {
        router.wait_ready().await;
    }
    // Each router knows the others and the upstream before the first request.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let (start, length) = (Instant::now(), Duration::from_secs(8));
    let names = ["a", "b", "c"];
    let interval = Duration::from_millis(50);
    let sent = routers
        .iter()
        .zip(names)
        .map(|(router, name)| send_lookups(router, name, interval, start + length));
    future::join_all(sent).await;
    let since = start + Duration::from_secs(1);
    let most = most_in_window(&desk, since);
    let allowed = RATE * 4 * 3 / 2 + 5;
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
    assert!(most >= RATE * 4 / 2, "{most} requests in 4 s: starved");
}

/// Guards against requests that wait for their deadline at an upstream that takes fewer, and against a
/// refusal that does not say when to return.
#[actix_rt::test]
async fn requests_above_the_rate_of_all_upstreams_are_refused_at_once() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    site.desk.set_fields("Server-Limit: 0.5\r\n");
    Call::valid("GET", "/lookup/1", "a0")
        .send(&site.router)
        .await;
    let mut refused = 0;
    for number in 1..=12 {
        let began = Instant::now();
        let id = format!("a{number}");
        let response = Call::valid("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        if response.status == 503 {
            refused += 1;
            let after = response.fields.text("Retry-After").expect("a time");
            let after: f64 = after.parse().expect("a number");
            assert!(after > 0.0, "{after}");
        }
        assert!(began.elapsed() < Duration::from_secs(1), "held too long");
    }
    assert!(refused >= 10, "{refused} of 12 were refused");
}

/// Guards against an upstream that stays limited after it no longer states a rate.
#[actix_rt::test]
async fn limit_ends_with_the_responses_that_state_it() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    site.desk.set_fields("Server-Limit: 2\r\n");
    let end = Instant::now() + Duration::from_secs(3);
    send_lookups(&site.router, "a", Duration::from_millis(50), end).await;
    let limited = site.desk.arrivals().len();
    assert!(limited <= 2 * 3 + 5, "{limited} requests in 3 s");
    site.desk.set_fields("");
    let end = Instant::now() + Duration::from_secs(3);
    send_lookups(&site.router, "b", Duration::from_millis(50), end).await;
    let after = site.desk.arrivals().len() - limited;
    assert!(after >= 20, "{after} requests after the end of the limit");
}

/// Guards against values that shut an upstream out or end the process.
#[actix_rt::test]
async fn unusable_rates_limit_nothing() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    for unusable in ["-1", "NaN", "inf", "soon", "", "1e400"] {
        site.desk
            .set_fields(&format!("Server-Limit: {unusable}\r\n"));
        for number in 0..10 {
            let id = format!("a{number}");
            let response = Call::valid("GET", "/lookup/1", &id)
                .send(&site.router)
                .await;
            assert_eq!(response.status, 200, "{unusable:?}");
        }
    }
}
