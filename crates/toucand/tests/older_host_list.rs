//! Guards against a host list that is ignored without a trace.

mod support;

use std::time::Duration;

use actix_rt::time;
use support::{process::Process, Router, Upstream};

/// Time in which a router reads the host list at least twice.
const READ_TIME: Duration = Duration::from_millis(3_000);

/// Guards against a service that returned from an older copy, whose lists are ignored and nobody learns it.
#[actix_rt::test]
async fn older_host_list_is_logged_once_when_it_is_ignored() {
    let engine = Process::start("v1").await;
    let router = Router::start(&[Upstream::engine(engine.address)]).await;
    router.host_list.publish("engine-1", "v1", 5);
    time::sleep(READ_TIME).await;
    assert!(router.logged("hosts-ignored").is_empty());
    router.host_list.publish("engine-1", "v1", 3);
    time::sleep(READ_TIME).await;
    let ignored = router.logged("hosts-ignored");
    assert_eq!(ignored.len(), 1, "{ignored:?}");
    let is_stated = |field| ignored[0].contains(field);
    assert!(
        is_stated("revision=3") && is_stated("known=5"),
        "{ignored:?}"
    );
    // A list that is newer than the ignored one, and older than the known one.
    router.host_list.publish("engine-1", "v1", 4);
    time::sleep(READ_TIME).await;
    assert_eq!(router.logged("hosts-ignored").len(), 2);
}
