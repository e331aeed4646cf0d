//! Streams that are resumed at other routers while the store answers none of them.

#[path = "support/versions.rs"]
mod versions;

use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use futures_util::future;
use tsw_fake::{store::Mode, worker::Behaviour};
use versions::{
    fleet::{Call, Router},
    resume_named, wait_history, wait_listed, Fleet,
};

const ROUTERS: usize = 8;
const STREAMS: usize = 60;
/// Time after which all routers know that the store does not answer.
const WITHOUT_STORE: Duration = Duration::from_secs(4);
/// Time between two resumed streams.
const PAUSE: Duration = Duration::from_millis(50);

/// Returns how many streams go on at other routers than the one that began them, which all are in touch with each other, and the longest
/// time until a response.
async fn went_on(mode: Mode) -> (usize, Duration) {
    let mut fleet = Fleet::start(&[], 0).await;
    for number in 0..4 {
        fleet.add_engine("v1").await;
        fleet.list_run("model", number, versions::now_ms() - 30_000, 1);
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
        wait_history(router).await;
    }
    fleet.wait_accepting(4).await;
    fleet.store.set_mode(mode);
    actix_rt::time::sleep(WITHOUT_STORE).await;
    let clients = (0..STREAMS).map(|number| {
        let (address, call) = (
            fleet.routers[0].client,
            Call::prompt("/draft/1", &format!("a{number}")),
        );
        actix_rt::spawn(async move { drop(call.send_to(address).await) })
    });
    let clients: Vec<JoinHandle<()>> = clients.collect();
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    clients.iter().for_each(JoinHandle::abort);
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    let fleet = &fleet;
    let resumes = (0..STREAMS).map(|number| async move {
        actix_rt::time::sleep(PAUSE * number as u32).await;
        let since = Instant::now();
        let router = &fleet.routers[1 + number % (ROUTERS - 1)];
        let response = resume_named(router, &format!("r{number}"), &format!("a{number}")).await;
        (response.status, since.elapsed())
    });
    let resumed = future::join_all(resumes).await;
    let longest = resumed.iter().map(|(_, took)| *took).max();
    let whole = resumed.iter().filter(|(status, _)| *status == 200);
    (whole.count(), longest.unwrap_or_default())
}

/// Guards against refused streams while the store turns all routers away, which are in touch and know one version only.
#[actix_rt::test]
async fn streams_go_on_while_the_store_turns_all_routers_away() {
    let (went_on, longest) = went_on(Mode::Busy).await;
    println!("{went_on} of {STREAMS}, {longest:?}");
    assert_eq!(went_on, STREAMS);
}

/// Guards against refused streams while the store does not answer: routers that ask each other to read it at the same time wait for
/// one another for longer than they wait for an answer.
#[actix_rt::test]
async fn streams_go_on_while_the_store_answers_no_router() {
    let (went_on, longest) = went_on(Mode::Silent).await;
    println!("{went_on} of {STREAMS}, {longest:?}");
    assert_eq!(went_on, STREAMS);
}
