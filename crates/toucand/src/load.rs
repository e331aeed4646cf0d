//! Load reports of engines.
//!
//! They are read only after another router has died, to find out when the engines have ended its
//! requests and their slots are free again. Otherwise the home counts its own grants.

use std::{rc::Rc, time::Duration};

use actix_rt::time;
use serde::Deserialize;
use tsw_base::{name, time::Span};

use crate::router::Router;

/// Number of reads after a router's process ended. After the last read the home frees the slots in any
/// case.
const READ_COUNT: u32 = 8;
const PERIOD: Duration = Duration::from_millis(250);
const READ_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    age_ms: u64,
}

/// Reads the load of the engines that this router schedules, `READ_COUNT` times.
pub async fn read(router: Rc<Router>) {
    for _ in 0..READ_COUNT {
        time::sleep(PERIOD).await;
        let engines = router.read_state(crate::state::State::own_engines);
        let reads = engines.into_iter().map(|(name, address)| {
            let request = router.client.get(format!("http://{address}/v1/load"));
            read_one(&router, name, request)
        });
        futures_util::future::join_all(reads).await;
    }
}

async fn read_one(router: &Router, upstream: name::Upstream, request: awc::ClientRequest) {
    let reading = async {
        let mut response = request.send().await.ok()?;
        response.json::<Report>().await.ok()
    };
    // The slots of an engine that does not respond stay in use until the home frees them.
    let report = time::timeout(READ_TIMEOUT, reading).await.ok().flatten();
    if let Some(report) = report {
        let running = report.running.saturating_add(report.waiting);
        let age = Span::from_millis(report.age_ms);
        router.update_state(|state, now| state.record_load(now, &upstream, running, age));
    }
}
