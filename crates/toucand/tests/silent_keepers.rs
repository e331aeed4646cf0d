//! Streams that are resumed while the routers that keep their records stand still.

#[path = "support/versions.rs"]
mod versions;

use std::time::Duration;

use futures_util::future;
use rustix::process::Signal;
use tsw_fake::worker::{Behaviour, Report};
use versions::{
    fleet::{Call, Router},
    now_ms, resume_named, wait_history, Fleet,
};

/// Time for which peers count as live after their last message, and a little longer.
const LIVENESS_TIME: Duration = Duration::from_millis(2_100);
/// Number of streams that begin at a router.
const STREAMS: usize = 40;

/// Starts routers and upstreams of one version whose reports state the runs that are listed.
async fn start(upstreams: usize, routers: usize) -> Fleet {
    let mut fleet = Fleet::start(&[], 0).await;
    let born = now_ms() - 30_000;
    for number in 0..upstreams {
        fleet.add_engine("v1").await;
        fleet.list_run("model", number, born, 1);
    }
    fleet.start_routers(routers).await;
    for router in &fleet.routers {
        wait_history(router).await;
    }
    fleet
}

/// Begins streams at the first router and returns those that have begun, once their records were sent.
async fn begin(fleet: &Fleet) -> Vec<String> {
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("a{number}")).collect();
    for id in &ids {
        let (address, call) = (fleet.routers[0].client, Call::prompt("/draft/1", id));
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    }
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    let began = |id: &String| fleet.version_of(id).is_some();
    ids.into_iter().filter(began).collect()
}

/// Resumes streams at a router all at once, and returns the version at which each began and the one at which it goes on.
async fn resume_all(
    fleet: &Fleet,
    router: &Router,
    ids: &[String],
) -> Vec<(&'static str, Option<&'static str>)> {
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    let resumes = ids.iter().map(|id| async move {
        let resumed = format!("r{id}");
        resume_named(router, &resumed, id).await;
        let began = fleet.version_of(id).expect("it began");
        (began, fleet.version_of(&resumed))
    });
    future::join_all(resumes).await
}

/// Returns how many streams are joined, of how many that began at upstreams that had returned with another version before
/// their entries said so, and did not state their runs in time. All routers stand still but the last one, where they are resumed after a time.
async fn joined_beside_silent_keepers(after: Duration) -> (usize, usize) {
    let mut fleet = start(12, 5).await;
    for (version, engine) in &mut fleet.engines[..6] {
        *version = "v2";
        engine.set_born(Some(now_ms()));
        engine.set_report(Report::Silent);
    }
    let began = begin(&fleet).await;
    let (last, others) = fleet.routers.split_last().expect("routers");
    for router in others {
        router.signal(Signal::STOP);
    }
    actix_rt::time::sleep(after).await;
    let resumed = resume_all(&fleet, last, &began).await;
    let of_returned = resumed.into_iter().filter(|(began, _)| *began == "v2");
    let of_returned: Vec<_> = of_returned.collect();
    let joined = of_returned
        .iter()
        .filter(|(_, went_on)| *went_on == Some("v1"));
    (joined.count(), of_returned.len())
}

/// Guards against streams that go on at the listed version since the routers that know better do not answer: their
/// upstreams had returned with another version.
#[actix_rt::test]
async fn nothing_is_derived_for_streams_whose_keepers_do_not_answer() {
    let (joined, of) = joined_beside_silent_keepers(Duration::from_millis(100)).await;
    assert!(of >= 8, "only {of} streams began at the other version");
    assert_eq!(joined, 0, "of {of}");
}

/// Guards against the same where the routers that know better do not count as live any more.
#[actix_rt::test]
async fn nothing_is_derived_for_streams_whose_keepers_are_lost() {
    let (joined, of) = joined_beside_silent_keepers(LIVENESS_TIME).await;
    assert!(of >= 8, "only {of} streams began at the other version");
    assert_eq!(joined, 0, "of {of}");
}

/// Returns how many streams of one router go on elsewhere while routers stand still, of how many.
async fn going_on(routers: usize, silent: usize, after: Duration) -> (usize, usize) {
    let fleet = start(12, routers).await;
    let began = begin(&fleet).await;
    for router in &fleet.routers[..silent] {
        router.signal(Signal::STOP);
    }
    actix_rt::time::sleep(after).await;
    let last = fleet.routers.last().expect("routers");
    let resumed = resume_all(&fleet, last, &began).await;
    let went_on = resumed.iter().filter(|(_, went_on)| went_on.is_some());
    (went_on.count(), resumed.len())
}

/// Guards against refusing the streams of a router that stands still while all upstreams run one version: no record of
/// them is kept, so that most must go on by what follows from the list, also if one router does not answer.
#[actix_rt::test]
async fn streams_of_a_silent_router_go_on_while_all_upstreams_run_one_version() {
    for (routers, after) in [
        (2, Duration::from_millis(100)),
        (3, Duration::from_millis(100)),
        (5, Duration::from_millis(100)),
        (2, LIVENESS_TIME),
        (3, LIVENESS_TIME),
    ] {
        let (went_on, of) = going_on(routers, 1, after).await;
        assert!(of >= STREAMS / 2, "only {of} streams began");
        assert_eq!(went_on, of, "of {routers} routers, after {after:?}");
    }
}
