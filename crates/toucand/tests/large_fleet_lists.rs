//! Lists that routers of a large fleet read from each other while one of them is restarted.

#[path = "support/versions.rs"]
mod versions;

use std::time::Duration;

use versions::{fleet::Router, metric, now_ms, wait_listed, Fleet};

/// Number of routers, of which only some read the store.
const ROUTERS: usize = 12;
/// Number of upstreams.
const UPSTREAMS: usize = 4;
/// Number of changes of the store, which are heartbeats.
const HEARTBEATS: usize = 100;
const PAUSE: Duration = Duration::from_millis(50);

/// Guards against refused streams for 20 s in a large fleet whenever a router is restarted: those that read from it get a whole list, which
/// hides nothing, since no upstream came or went.
#[actix_rt::test]
async fn restart_of_a_router_hides_no_changes_from_the_others() {
    let mut fleet = Fleet::start(&[], 0).await;
    let born = now_ms() - 30_000;
    for number in 0..UPSTREAMS {
        fleet.add_engine("v1").await;
        fleet.list_run("model", number, born, 1);
    }
    let mut seeds = Vec::new();
    for number in 1..=ROUTERS {
        let router = Router::start(&format!("r{number}"), fleet.store.address(), &seeds);
        seeds.push(router.gossip);
        seeds.truncate(3);
        fleet.routers.push(router);
    }
    for router in &fleet.routers {
        router.wait_ready().await;
        wait_listed(router, ROUTERS).await;
    }
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let before = hidden(&fleet).await;
    for number in 0..HEARTBEATS {
        fleet.list_run("model", number % UPSTREAMS, born, 2 + number as u64);
        if number % 20 == 10 {
            drop(fleet.routers.remove(ROUTERS - 1));
            let host = format!("s{number}");
            let router = Router::start(&host, fleet.store.address(), &seeds);
            fleet.routers.push(router);
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let after = hidden(&fleet).await;
    println!("before {before:?}, after {after:?}");
    assert_eq!(before.iter().chain(&after).sum::<f64>(), 0.0);
}

async fn hidden(fleet: &Fleet) -> Vec<f64> {
    let mut counts = Vec::new();
    for router in &fleet.routers {
        let found = metric(router, "relay_hidden_changes_total").await;
        counts.push(found.unwrap_or_default());
    }
    counts
}
