//! Guards against a host list that is ignored without a trace.

mod support;

use std::time::Duration;

use actix_rt::time;
use support::{process::Process, Router, Upstream};

/// Time in which a router reads the host list at least twice.
const READ_TIME: Duration = Duration::from_millis(3_000);

async fn revision_in_use(router: &Router) -> String {
    let url = format!("http://{}/metrics", router.ports.operator);
    let mut response = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("a response");
    let body = response.body().await.expect("a whole body");
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text
        .lines()
        .find(|line| line.starts_with("toucan_hosts_revision "));
    line.expect("the revision").to_owned()
}

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

/// Guards against a metric that states the revision of a list which is not in use.
#[actix_rt::test]
async fn metric_states_the_revision_in_use() {
    let engine = Process::start("v1").await;
    let router = Router::start(&[Upstream::engine(engine.address)]).await;
    for (published, expected) in [(5, 5), (3, 5), (6, 6)] {
        router.host_list.publish("engine-1", "v1", published);
        time::sleep(READ_TIME).await;
        let expected = format!("toucan_hosts_revision {expected}");
        assert_eq!(revision_in_use(&router).await, expected);
    }
}
