//! How a router process on the users' platform follows the entries of the store and of its peers.
//! The store and the upstreams are fakes.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{configuration, entry, Call, Router, Site, TIMEOUT};
use tsw_fake::{
    store::{Mode, Store},
    worker::{Behaviour, Worker},
};

#[actix_rt::test]
async fn leaving_upstream_gets_no_further_request() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    site.store.set(
        "servers/d1",
        Some(&entry("desk", &site.desk, "draining", 2)),
    );
    // A delayed heartbeat with an older sequence number must not undo the change.
    site.store
        .set("servers/d1", Some(&entry("desk", &site.desk, "ready", 1)));
    let mut number = 0;
    while other.arrivals().is_empty() {
        number += 1;
        assert!(number < 500, "the change was not applied");
        let id = format!("a{number}");
        Call::valid("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let before = site.desk.arrivals().len();
    for number in 0..20 {
        let id = format!("b{number}");
        let response = Call::valid("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(site.desk.arrivals().len(), before);
}

#[actix_rt::test]
async fn malformed_entries_and_configurations_change_nothing() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    site.store.set("servers/x1", Some(b"\xff\xfe not JSON"));
    site.store
        .set("servers/x2", Some(br#"{"service":"desk","state":"ready"}"#));
    site.store.set(
        "servers/x3",
        Some(br#"{"service":"desk","address":7,"zone":"n","slots":"6","state":"odd"}"#),
    );
    site.store
        .set("op/config", Some(br#"{"version":5,"routes":"none"}"#));
    site.store.set("op/other", Some(b"anything"));
    let mut valid = configuration(6);
    valid["routes"][0]["pathPrefix"] = "/found/".into();
    site.store
        .set("op/config", Some(valid.to_string().as_bytes()));
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let response = Call::valid("GET", "/found/1", "a1")
            .send(&site.router)
            .await;
        if response.status == 200 {
            break;
        }
        assert_eq!(response.status, 404);
        assert!(
            std::time::Instant::now() < deadline,
            "the valid configuration was not applied"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    // An older version must not replace the current one.
    site.store
        .set("op/config", Some(configuration(4).to_string().as_bytes()));
    for _ in 0..30 {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(
            Call::valid("GET", "/found/1", "a2")
                .send(&site.router)
                .await
                .status,
            200
        );
    }
}

#[actix_rt::test]
async fn router_takes_changes_after_the_store_has_lost_its_history() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    site.store.set_mode(Mode::Busy);
    site.store.set("servers/d1", None);
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    site.store.compact();
    site.store.set_mode(Mode::Up);
    let mut number = 0;
    while other.arrivals().is_empty() {
        number += 1;
        assert!(number < 1_000, "the new upstream was not used");
        let id = format!("a{number}");
        Call::valid("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn router_that_the_store_does_not_answer_learns_from_a_peer() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let silent = Store::bind().await.expect("a store");
    silent.set_mode(Mode::Silent);
    let seeds = [site.router.control];
    let second = Router::start("r2", silent.address(), &seeds);
    second.wait_ready().await;
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("a{number}");
        let response = Call::valid("GET", "/lookup/1", &id).send(&second).await;
        if response.status == 200 {
            break;
        }
        assert!(number < 500, "the upstreams were not learned from the peer");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    // Address resolution returns both routers.
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let target = "/api/resolution?name=desk.example&region=r&zone=north";
        let response = second.get(second.locate, target).await.expect("a response");
        let body: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
        if body["addresses"].as_array().map(Vec::len) == Some(2) {
            break;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "the routers did not discover each other: {body}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
