//! Changes of the configuration while requests run, are queued and arrive, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use bytes::BytesMut;
use fleet::{configuration, entry, read, Call, Response, Site, TIMEOUT};
use rustix::process::Signal;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tsw_fake::worker::{Behaviour, Worker};
use tsw_http::{connection::Connection, exchange::Exchange};

/// A change of a configuration.
type Change = fn(&mut Value);

/// One change of each kind that operators make.
const CHANGES: [(&str, Change); 12] = [
    ("route moves", |config| {
        for at in 0..2 {
            config["routes"][at]["service"] = json!("other");
        }
    }),
    ("routes vanish", |config| {
        config["routes"] = json!([config["routes"][2].clone()]);
    }),
    ("services vanish", |config| {
        config["routes"] = json!([config["routes"][2].clone()]);
        config["routes"][0]["service"] = json!("other");
        config["services"] = json!([config["services"][2].clone()]);
    }),
    ("weights", |config| {
        let split = json!([{"service": "desk", "weight": 1}, {"service": "other", "weight": 9}]);
        for at in 0..2 {
            config["routes"][at]["trafficSplit"] = split.clone();
        }
    }),
    ("timeouts shrink", |config| set_timeouts(config, 100)),
    ("timeouts grow", |config| set_timeouts(config, 60_000)),
    ("key is revoked", |config| {
        config["tenants"] = json!([{"name": "late", "apiKeys": ["late-key"], "priority": 0}]);
    }),
    ("teams vanish", |config| {
        config.as_object_mut().expect("fields").remove("tenants");
    }),
    ("capacity shrinks", |config| {
        config["limits"]["tokensPerS"] = json!(1)
    }),
    ("limits shrink", |config| {
        config["limits"]["idleTimeoutMs"] = json!(300);
        config["limits"]["maxBodyBytes"] = json!(1);
        for service in config["services"].as_array_mut().expect("services") {
            service["maxConnections"] = json!(1);
        }
    }),
    ("idle timeout grows", |config| {
        config["limits"]["idleTimeoutMs"] = json!(60_000)
    }),
    ("many routes", |config| {
        let routes = config["routes"].as_array_mut().expect("routes");
        for number in 0..3_000 {
            let mut route = routes[0].clone();
            route["pathPrefix"] = json!(format!("/many-{number}/"));
            routes.push(route);
        }
    }),
];

fn set_timeouts(config: &mut Value, millis: u64) {
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(millis);
    }
}

/// Returns a configuration with a second plain service. Plain requests may be queued for half of
/// their objective.
fn with_other_service(version: u64) -> Value {
    let mut config = configuration(version);
    for at in 0..2 {
        config["routes"][at]["targetLatencyMs"] = json!(20_000);
    }
    let other = json!({"name": "other", "healthPath": "/health", "maxConnections": 100});
    config["services"]
        .as_array_mut()
        .expect("services")
        .push(other);
    config
}

/// Waits until the router has read a number of plain requests, which then run or are queued.
async fn wait_plain_read(site: &Site, requests: usize) {
    let end = std::time::Instant::now() + TIMEOUT;
    loop {
        let metrics = site.router.get(site.router.metrics, "/metrics").await;
        let metrics = metrics.expect("metrics");
        let mut lines = metrics.text().lines();
        let waiting = lines.find_map(|line| line.strip_prefix("relay_waiting "));
        let waiting: usize = waiting.expect("a gauge").parse().expect("a number");
        if waiting + site.desk.arrivals().len() >= requests {
            return;
        }
        assert!(
            std::time::Instant::now() < end,
            "the requests were not read"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

type Sent = actix_rt::task::JoinHandle<Result<Response, tsw_http::exchange::Error>>;

fn send(connection: Connection, call: Call) -> Sent {
    actix_rt::spawn(async move {
        read(Exchange::open(connection, &call.head, call.body.clone()).await?).await
    })
}

async fn connect(site: &Site) -> Connection {
    let opened = Connection::open(site.router.client, TIMEOUT).await;
    opened.expect("a connection")
}

async fn response(what: &str, sent: Sent) -> Response {
    let sent = actix_rt::time::timeout(TIMEOUT, sent).await;
    let response = sent.unwrap_or_else(|_| panic!("{what}: no response in time"));
    let response = response.expect("no panic");
    let response = response.unwrap_or_else(|error| panic!("{what}: {error}"));
    assert!(response.whole, "{what}: the response was cut");
    response
}

/// Changes the configuration and sends `signals` while requests run, wait and arrive, and checks
/// that all are answered.
async fn check_change(name: &str, change: Change, signals: &[Signal]) {
    let pause = Duration::from_millis(250);
    let late = Behaviour::LatePlain(pause);
    let site = Site::start(late, Behaviour::SlowStream(5, pause)).await;
    let other = Worker::bind(late).await.expect("an upstream");
    site.store
        .set("servers/o1", Some(&entry("other", &other, "ready", 1)));
    site.router.set_descriptors(4_000).await;
    site.reconfigure(with_other_service(2)).await;
    let mut idle = Vec::new();
    for _ in 0..4 {
        idle.push(connect(&site).await);
    }
    let mut arriving = connect(&site).await;
    let mut bytes = BytesMut::new();
    let body = Call::valid("POST", "/book/1", "p1").body("two trucks");
    body.head.write(&mut bytes);
    let half = bytes.len() / 2;
    let written = arriving.stream.write_all(&bytes[..half]).await;
    written.expect("sent");
    let mut running = Vec::new();
    for target in ["/note/1", "/draft/1"] {
        let call = Call::prompt(target, &format!("s{}", running.len()));
        running.push((target, send(connect(&site).await, call)));
    }
    // More than the upstream has slots, so that some wait at the router.
    for number in 0..16 {
        let call = if number % 2 == 0 {
            Call::valid("POST", "/book/1", &format!("b{number}")).body("truck")
        } else {
            Call::valid("GET", "/lookup/1", &format!("b{number}"))
        };
        running.push(("plain", send(connect(&site).await, call)));
    }
    fleet::wait_until("streams to run", || site.model_arrivals() == 2).await;
    // A plain request that is read only after the change may be refused.
    wait_plain_read(&site, running.len() - 2).await;
    let mut config = with_other_service(3);
    change(&mut config);
    let text = config.to_string();
    site.store.set("op/config", Some(text.as_bytes()));
    for signal in signals {
        site.router.signal(*signal);
    }
    let mut arrived = Vec::new();
    for (number, connection) in idle.into_iter().enumerate() {
        let call = Call::valid("GET", "/lookup/1", &format!("k{number}"));
        arrived.push(send(connection, call));
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    bytes.extend_from_slice(&body.body);
    let written = arriving.stream.write_all(&bytes[half..]).await;
    written.unwrap_or_else(|error| panic!("{name}: {error}"));
    for (target, sent) in running {
        let what = format!("{name}, {signals:?}: running {target}");
        let response = response(&what, sent).await;
        let is_stream = target != "plain";
        assert!(
            response.status == 200 || (!is_stream && response.status == 503),
            "{what}: {}",
            response.status
        );
        if is_stream {
            assert_eq!(response.events(), [0, 1, 2, 3, 4], "{what}");
        }
    }
    for (number, sent) in arrived.into_iter().enumerate() {
        response(&format!("{name}, {signals:?}: kept {number}"), sent).await;
    }
    while !arriving.buffer.starts_with(b"HTTP/1.1 ") {
        let read = actix_rt::time::timeout(TIMEOUT, arriving.fill()).await;
        let read = read.expect("in time").expect("a response");
        assert!(
            read > 0,
            "{name}, {signals:?}: no response to the request that arrived"
        );
    }
}

/// Guards against requests that a new configuration leaves without a response, whether they run,
/// are queued, arrive or come on connections that are open.
#[actix_rt::test]
async fn no_change_of_the_configuration_loses_a_request() {
    for (name, change) in CHANGES {
        check_change(name, change, &[]).await;
    }
}

/// Guards against requests without a response if the settings are reloaded at the same time.
#[actix_rt::test]
async fn no_change_beside_a_reload_loses_a_request() {
    for (name, change) in CHANGES {
        check_change(name, change, &[Signal::HUP]).await;
    }
}

/// Guards against requests without a response if the router is told to stop at the same time.
#[actix_rt::test]
async fn no_change_beside_a_planned_stop_loses_a_request() {
    for (name, change) in CHANGES {
        check_change(name, change, &[Signal::TERM, Signal::HUP]).await;
    }
}
