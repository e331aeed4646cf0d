//! Upstreams that are silent for a while and then go on, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{configuration, entry, Call, Site, TIMEOUT};
use serde_json::Value;
use tsw_fake::worker::{Behaviour, Worker};

/// Pause of a sound upstream: longer than any stall timeout of the routes in use.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Starts a site whose `lookup` route has a short objective and this many attempts.
async fn site(desk: Behaviour, model: Behaviour, attempts: u32) -> Site {
    let site = Site::start(desk, model).await;
    site.router.set_descriptors(4_000).await;
    let mut changed = configuration(2);
    let route = &mut changed["routes"][0];
    route["targetLatencyMs"] = Value::from(100);
    route["maxAttempts"] = Value::from(attempts);
    // The router states that it knows this route by refusing a request without a key.
    let mut added = route.clone();
    added["name"] = Value::from("added");
    added["pathPrefix"] = Value::from("/added/");
    changed["routes"]
        .as_array_mut()
        .expect("routes")
        .push(added);
    let text = changed.to_string();
    site.store.set("op/config", Some(text.as_bytes()));
    let end = std::time::Instant::now() + TIMEOUT;
    while Call::new("GET", "/added/1").send(&site.router).await.status == 404 {
        assert!(std::time::Instant::now() < end, "no new configuration");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    site
}

/// Guards against abandoning the last attempt that the configuration allows.
#[actix_rt::test]
async fn late_response_to_the_last_attempt_is_awaited() {
    for attempts in [1, 2] {
        let late = Behaviour::LatePlain(PAUSE);
        let site = site(late, Behaviour::Stream(3), attempts).await;
        let other = Worker::bind(late).await.expect("an upstream");
        site.store
            .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
        site.wait_metric("relay_upstreams 4").await;
        let response = Call::valid("GET", "/lookup/1", "a1")
            .send(&site.router)
            .await;
        assert_eq!(response.status, 200, "{attempts} attempts");
        let arrivals = site.desk.arrivals().len() + other.arrivals().len();
        assert_eq!(arrivals, attempts as usize);
    }
}

/// Guards against cutting a response that is too long to be buffered, and thus to be replaced by a
/// retry, when its upstream pauses.
#[actix_rt::test]
async fn paused_response_that_is_too_long_to_be_retried_is_passed_on_whole() {
    const LENGTH: usize = 4 << 20;
    let site = site(
        Behaviour::PausedPlain(LENGTH, PAUSE),
        Behaviour::Stream(3),
        2,
    )
    .await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    site.wait_metric("relay_upstreams 4").await;
    let mut served = 0;
    while served == 0 {
        let response = Call::valid("GET", "/lookup/1", "a1")
            .send(&site.router)
            .await;
        assert_eq!((response.status, response.whole), (200, true));
        served = site.desk.arrivals().len();
        assert!(served == 0 || response.body.len() == LENGTH);
    }
}
