//! Failure domains that the operators evacuate, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Call, Router, Site};
use tsw_fake::worker::Behaviour;

const KEY: &str = "op/evacuate/north";

/// Guards against requests to upstreams of an evacuated failure domain, at a router that reads the store and at one that
/// learns of it from a peer, and against a domain that stays evacuated when the operators take it back.
#[actix_rt::test]
async fn upstreams_of_an_evacuated_domain_get_no_request() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    site.store.set(KEY, Some(b"{}"));
    site.wait_metric("relay_upstreams 0").await;
    let refused = Call::valid("POST", "/book/1", "a1").body("truck");
    assert_eq!(refused.send(&site.router).await.status, 503);
    assert!(site.desk.arrivals().is_empty());

    let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let second = Router::start("r2", unused, &[site.router.control]);
    second.wait_ready().await;
    let call = Call::valid("GET", "/lookup/1", "a2");
    assert_eq!(call.send(&second).await.status, 503);

    site.store.set(KEY, None);
    site.wait_upstreams().await;
    let served = Call::valid("POST", "/book/1", "a3").body("truck");
    assert_eq!(served.send(&site.router).await.status, 200);
}
