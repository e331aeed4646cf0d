//! Load reports of engines.
//!
//! They are read only after a router has died: the slots that it used are free as soon as the
//! engines no longer run its requests. At other times the home counts its own grants.

use std::{rc::Rc, time::Duration};

use actix_rt::time;
use serde::Deserialize;
use tsw_base::{name, time::Span};

use crate::router::Router;

/// Reads after the death of a router. After the last one the home frees the slots in any case.
const READS: u32 = 8;
const PERIOD: Duration = Duration::from_millis(250);
const READ_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    age_ms: u64,
}

/// Reads the load of the engines that this router schedules, several times.
pub async fn read(router: Rc<Router>) {
    for _ in 0..READS {
        time::sleep(PERIOD).await;
        let engines = router.look(crate::state::State::own_engines);
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
    // An engine that does not report keeps its slots until the home frees them.
    let report = time::timeout(READ_TIMEOUT, reading).await.ok().flatten();
    if let Some(report) = report {
        let running = report.running.saturating_add(report.waiting);
        let age = Span::from_millis(report.age_ms);
        router.act(|state, now| state.load(now, &upstream, running, age));
    }
}
