//! Tests of the configuration service, the host list and the weight store.

mod support;

use std::{net::SocketAddr, time::Instant};

use actix_http::Method;
use awc::http::StatusCode;
use serde_json::{json, Value};
use support::{get, pause, post, read, run, send, until};
use tsw_fake::platform::{self, hosts, values};

async fn start() -> platform::Platform {
    let options = platform::Options {
        host_lag_ms: 200,
        ..platform::Options::default()
    };
    let platform = platform::Platform::bind(options).await;
    platform.expect("a free port")
}

async fn control(platform: &platform::Platform, path: &str, body: &Value) {
    let (status, text) = post(platform.control(), path, &body.to_string()).await;
    assert_eq!(status, StatusCode::OK, "{text}");
}

async fn put(control: SocketAddr, revision: u64) {
    let path = "/control/config/put?key=a/b";
    let body = json!({"revision": revision}).to_string();
    assert_eq!(post(control, path, &body).await.0, StatusCode::OK);
}

const VALUE: &str = "/v1/values/a/b";

/// Guards against a watch that misses a change or ends early without one.
#[test]
fn a_watch_waits_for_a_higher_revision() {
    run(async {
        let platform = start().await;
        let (address, port) = (platform.address(), platform.control());
        assert_eq!(get(address, VALUE).await.0, StatusCode::NOT_FOUND);
        put(port, 7).await;
        assert_eq!(get(address, VALUE).await.1, r#"{"revision":7}"#);
        let path = format!("{VALUE}?after=7&wait_ms=100");
        assert_eq!(get(address, &path).await.0, StatusCode::NOT_MODIFIED);
        let path = format!("{VALUE}?after=7&wait_ms=5000");
        let watch = actix_rt::spawn(async move { get(address, &path).await });
        pause(50).await;
        let start = Instant::now();
        put(port, 8).await;
        let found = watch.await.expect("ended");
        assert_eq!(found, (StatusCode::OK, r#"{"revision":8}"#.to_owned()));
        assert!(start.elapsed().as_millis() < 1_000);
    });
}

/// Guards against a rate limit that does not count every call and every pending watch.
#[test]
fn reads_and_pending_watches_count_against_the_limit() {
    run(async {
        let platform = start().await;
        let address = platform.address();
        put(platform.control(), 1).await;
        control(&platform, "/control/config/rate", &json!({"per_second": 5})).await;
        let watches: Vec<_> = (0..3)
            .map(|_| {
                let path = format!("{VALUE}?after=1&wait_ms=1500");
                actix_rt::spawn(async move { get(address, &path).await.0 })
            })
            .collect();
        pause(1_100).await;
        let mut statuses = Vec::new();
        for _ in 0..4 {
            statuses.push(get(address, VALUE).await.0);
        }
        let (ok, many) = (StatusCode::OK, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(statuses, [ok, ok, many, many]);
        for watch in watches {
            assert_eq!(watch.await.expect("ended"), StatusCode::NOT_MODIFIED);
        }
        let stats: values::Stats = read(platform.control(), "/control/config/stats").await;
        assert_eq!((stats.calls, stats.watches), (7, 3));
        assert_eq!(
            (stats.limited, stats.pending, stats.pending_peak),
            (2, 0, 3)
        );
    });
}

/// Guards against a service that cannot serve old revisions of a value.
#[test]
fn old_values_can_be_served_again() {
    run(async {
        let platform = start().await;
        let (address, port) = (platform.address(), platform.control());
        put(port, 1).await;
        put(port, 2).await;
        let stale = json!({"key": "a/b", "revision": 1});
        control(&platform, "/control/config/stale", &stale).await;
        assert_eq!(get(address, VALUE).await.1, r#"{"revision":1}"#);
        control(&platform, "/control/config/stale", &json!({"key": "a/b"})).await;
        assert_eq!(get(address, VALUE).await.1, r#"{"revision":2}"#);
        let path = format!("{VALUE}?after=2&wait_ms=5000");
        let watch = actix_rt::spawn(async move { get(address, &path).await });
        pause(50).await;
        control(&platform, "/control/config/back", &stale).await;
        assert_eq!(watch.await.expect("ended").1, r#"{"revision":1}"#);
    });
}

/// Guards against accepting a value that the real service would refuse.
#[test]
fn a_value_has_at_most_one_megabyte() {
    run(async {
        let platform = start().await;
        for (bytes, expected) in [
            (values::MAX_VALUE_BYTES, StatusCode::OK),
            (values::MAX_VALUE_BYTES + 1, StatusCode::PAYLOAD_TOO_LARGE),
        ] {
            let path = "/control/config/put?key=big";
            let found = post(platform.control(), path, &"x".repeat(bytes)).await;
            assert_eq!(found.0, expected);
        }
        assert_eq!(
            get(platform.address(), "/v1/values/big").await.1.len(),
            1_000_000
        );
    });
}

/// Guards against a service that ignores a mode or does not recover from it.
#[test]
fn services_can_stop_answering() {
    run(async {
        let platform = start().await;
        let address = platform.address();
        put(platform.control(), 1).await;
        let error = json!({"mode": "error"});
        control(&platform, "/control/config/mode", &error).await;
        let found = get(address, VALUE).await;
        assert_eq!(found.0, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(get(address, "/v1/hosts").await.0, StatusCode::OK);
        let hang = json!({"mode": "hang", "for_ms": 300});
        control(&platform, "/control/config/mode", &hang).await;
        let call = get(address, VALUE);
        let outcome = actix_rt::time::timeout(std::time::Duration::from_millis(100), call).await;
        assert!(outcome.is_err());
        pause(300).await;
        assert_eq!(get(address, VALUE).await.0, StatusCode::OK);
        let close = json!({"mode": "close", "for_ms": 300});
        control(&platform, "/control/config/mode", &close).await;
        pause(50).await;
        assert!(send(Method::GET, address, VALUE, &[], "").await.is_err());
        until(|| async { send(Method::GET, address, VALUE, &[], "").await.is_ok() }).await;
    });
}

/// Guards against a pending watch that gets a response although the service does not respond.
#[test]
fn a_pending_watch_stops_with_the_service() {
    run(async {
        let platform = start().await;
        let address = platform.address();
        put(platform.control(), 1).await;
        let path = format!("{VALUE}?after=1&wait_ms=5000");
        let watch = actix_rt::spawn(async move { get(address, &path).await });
        pause(50).await;
        control(&platform, "/control/config/mode", &json!({"mode": "hang"})).await;
        put(platform.control(), 2).await;
        let outcome = actix_rt::time::timeout(std::time::Duration::from_millis(200), watch).await;
        assert!(outcome.is_err());
        control(
            &platform,
            "/control/config/mode",
            &json!({"mode": "answer"}),
        )
        .await;
        assert_eq!(get(address, VALUE).await.1, r#"{"revision":2}"#);
    });
}

/// Guards against a listener that is not opened again after an outage.
#[test]
fn closed_listeners_open_again() {
    run(async {
        let platform = start().await;
        let address = platform.address();
        put(platform.control(), 1).await;
        control(&platform, "/control/config/mode", &json!({"mode": "close"})).await;
        until(|| async { send(Method::GET, address, VALUE, &[], "").await.is_err() }).await;
        control(
            &platform,
            "/control/config/mode",
            &json!({"mode": "answer"}),
        )
        .await;
        until(|| async { send(Method::GET, address, VALUE, &[], "").await.is_ok() }).await;
    });
}

fn entry(host: &str, domain: &str) -> Value {
    json!({"host": host, "domain": domain, "role": "router", "state": "live",
        "address": "127.0.0.1:7000", "peer_address": "127.0.0.1:7001"})
}

/// Guards against a change of the host list that is visible immediately.
#[test]
fn host_changes_lag() {
    run(async {
        let platform = start().await;
        let hosts = json!({"hosts": [entry("r1", "a"), entry("r2", "b")]});
        control(&platform, "/control/hosts/put", &hosts).await;
        let leaving = json!({"host": "r2", "state": "leaving"});
        control(&platform, "/control/hosts/state", &leaving).await;
        let list: hosts::List = read(platform.address(), "/v1/hosts?from=r1").await;
        assert_eq!(
            (list.revision, list.hosts[1].state),
            (1, hosts::State::Live)
        );
        pause(250).await;
        let list: hosts::List = read(platform.address(), "/v1/hosts?from=r1").await;
        assert_eq!(
            (list.revision, list.hosts[1].state),
            (2, hosts::State::Leaving)
        );
    });
}

/// Guards against connections that bypass a relay between failure domains, or that use it within
/// one.
#[test]
fn addresses_depend_on_the_host_that_reads_the_list() {
    run(async {
        let platform = start().await;
        let hosts = json!({"hosts": [entry("r1", "a"), entry("r2", "b"), entry("r3", "b")]});
        control(&platform, "/control/hosts/put", &hosts).await;
        let routes = json!({"routes": [
            {"from": "a", "to": "b", "address": "127.0.9.9"},
            {"from": "a", "to": "b", "host": "r3", "peer_address": "127.0.9.9:55"},
        ]});
        control(&platform, "/control/hosts/routes", &routes).await;
        let address = platform.address();
        let list: hosts::List = read(address, "/v1/hosts?from=r1").await;
        let seen = |index: usize| {
            let entry: &hosts::Entry = &list.hosts[index];
            (entry.address.as_str(), entry.peer_address.as_str())
        };
        assert_eq!(seen(0), ("127.0.0.1:7000", "127.0.0.1:7001"));
        assert_eq!(seen(1), ("127.0.9.9:7000", "127.0.0.1:7001"));
        assert_eq!(seen(2), ("127.0.9.9:7000", "127.0.9.9:55"));
        let near: hosts::List = read(address, "/v1/hosts?from=r2").await;
        assert_eq!(near.hosts[2].address, "127.0.0.1:7000");
    });
}

/// Guards against a weight store that ignores its rate limit.
#[test]
fn the_weight_store_limits_reads() {
    run(async {
        let platform = start().await;
        control(
            &platform,
            "/control/weights/rate",
            &json!({"per_second": 2}),
        )
        .await;
        pause(1_050).await;
        let mut statuses = Vec::new();
        for _ in 0..3 {
            statuses.push(get(platform.address(), "/v1/weights/m").await.0);
        }
        let (ok, many) = (StatusCode::OK, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(statuses, [ok, ok, many]);
    });
}
