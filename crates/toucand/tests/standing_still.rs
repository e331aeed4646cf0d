//! Guards against routers that go on by what they knew before they stood still, or before they were cut off from their
//! peers and the host list, while engines of another version join.

#[path = "support/apart.rs"]
mod apart;
mod support;

use std::time::{Duration, Instant};

use actix_rt::time;
use apart::{begin, responses, send, Fleet, Response, STREAMS};
use rustix::process::Signal;
use support::Router;

/// Time for which a router stands still before anything else happens: the other one finds it dead after 1.2 s.
const PAUSES: [Duration; 2] = [Duration::from_millis(1_200), Duration::from_millis(3_000)];
/// Delay of each direction between a router and a host list that is far away.
const LIST_DELAY: Duration = Duration::from_millis(50);
/// Time after a crash in which the router finds it, and tells its peers.
const FIND_TIME: Duration = Duration::from_millis(150);
/// Time in which a router finds a crash by requests, also if another router that gives it slots stands still.
const SEE_TIME: Duration = Duration::from_secs(3);
/// Time in which a router reads a host list that was published.
const READ_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a report of a peer is older than what a service that went back takes to show that.
const REPORT_TIME: Duration = Duration::from_secs(7);

fn whole(version: &str) -> Response {
    ("complete".to_owned(), vec![version.to_owned()])
}

/// Sends requests to a router until it has found that an engine has crashed.
async fn see_crash(router: &Router) {
    drop(send(router));
    let until = Instant::now() + SEE_TIME;
    while router.logged("upstream-run-ended").is_empty() {
        assert!(Instant::now() < until, "the crash was not seen");
        time::sleep(FIND_TIME).await;
    }
}

/// Streams begin at the first router, which stands still while the first engine crashes and returns with another
/// version. The other router sees the crash if it sends requests meanwhile, and reads the new entry if there is one.
/// Returns the responses of the first router, after the connections of all engines have broken.
async fn engine_returns_in_a_pause(
    fleet: &Fleet,
    pause: Duration,
    is_seen: bool,
    is_listed: bool,
) -> Vec<Response> {
    let sent = begin(&fleet.routers[0]).await;
    fleet.signal(0, Signal::STOP);
    time::sleep(pause).await;
    fleet.engines[0].crash().await;
    if is_seen {
        see_crash(&fleet.routers[1]).await;
    }
    fleet.engines[0].start_again("v2").await;
    if is_listed {
        fleet.list().publish("engine-1", "v2", 2);
        time::sleep(READ_TIME).await;
    }
    fleet.engines[1].break_connections();
    fleet.signal(0, Signal::CONT);
    responses(sent).await
}

/// Guards against the version from before a pause of an engine whose crash another router has seen meanwhile: its
/// message about that waits, or was never sent.
#[actix_rt::test]
async fn no_stream_goes_on_at_an_engine_that_others_saw_crash_in_a_pause() {
    for pause in PAUSES {
        let fleet = Fleet::start(&["v1", "v1"]).await;
        engine_returns_in_a_pause(&fleet, pause, true, false).await;
    }
}

/// Guards against the same at a router that gets its slots from the one that saw the crash.
#[actix_rt::test]
async fn router_with_another_home_hears_of_a_crash_in_a_pause_before_streams_go_on() {
    for pause in PAUSES {
        let fleet = Fleet::start_listed(&["v1", "v1"], &["engine-1", "engine-2"], false).await;
        engine_returns_in_a_pause(&fleet, pause, true, false).await;
    }
}

/// Guards against the host list from before a pause, which states another version of an engine than the present one.
#[actix_rt::test]
async fn no_stream_goes_on_by_the_host_list_from_before_a_pause() {
    for pause in PAUSES {
        let fleet = Fleet::start(&["v1", "v1"]).await;
        engine_returns_in_a_pause(&fleet, pause, false, true).await;
    }
}

/// Guards against the same if the host list takes 100 ms to arrive, so that streams go on before it does.
#[actix_rt::test]
async fn no_stream_goes_on_before_the_host_list_is_read_after_a_pause() {
    for pause in PAUSES {
        let fleet = Fleet::start(&["v1", "v1"]).await;
        fleet.delay_list(LIST_DELAY);
        engine_returns_in_a_pause(&fleet, pause, false, true).await;
    }
}

/// Guards against streams that go on at an engine of another version which joined in a pause, or that are cut beside it.
#[actix_rt::test]
async fn streams_go_on_beside_an_engine_of_another_version_that_joins_in_a_pause() {
    for (pause, is_home) in PAUSES.into_iter().zip([true, false]) {
        let listed = ["engine-1", "engine-2"];
        let fleet = Fleet::start_listed(&["v1", "v1", "v2"], &listed, is_home).await;
        let sent = begin(&fleet.routers[0]).await;
        fleet.signal(0, Signal::STOP);
        fleet.publish_all(2);
        time::sleep(pause).await;
        let others = begin(&fleet.routers[1]).await;
        fleet.engines[1].crash().await;
        fleet.signal(0, Signal::CONT);
        assert_eq!(responses(sent).await, vec![whole("v1"); STREAMS]);
        responses(others).await;
    }
}

/// Guards against the same at engines that state their versions, and against streams that are cut although an engine of
/// their version serves.
#[actix_rt::test]
async fn streams_go_on_at_the_stated_version_after_a_pause() {
    for pause in PAUSES {
        let fleet = Fleet::start(&["v1", "v1", "v1"]).await;
        fleet.state_versions();
        let responses = engine_returns_in_a_pause(&fleet, pause, true, true).await;
        assert_eq!(responses, vec![whole("v1"); STREAMS]);
    }
}

/// Guards against streams that are cut after a pause although nothing has changed meanwhile.
#[actix_rt::test]
async fn streams_go_on_after_a_pause_in_which_no_version_changed() {
    for pause in PAUSES {
        let fleet = Fleet::start(&["v1", "v1", "v1"]).await;
        let sent = begin(&fleet.routers[0]).await;
        fleet.signal(0, Signal::STOP);
        time::sleep(pause).await;
        fleet.engines[0].break_connections();
        fleet.signal(0, Signal::CONT);
        assert_eq!(responses(sent).await, vec![whole("v1"); STREAMS]);
    }
}

/// Lets the first engine return with another version while the first router reads no host list and hears of no peer, and
/// breaks the connections of the second one. Returns the responses of the first router.
async fn engine_returns_in_a_cut(fleet: &Fleet, cut: Duration) -> Vec<Response> {
    fleet.cut_list(true);
    fleet.cut_peers(true);
    fleet.engines[0].crash().await;
    fleet.engines[0].start_again("v2").await;
    fleet.list().publish("engine-1", "v2", 2);
    time::sleep(cut).await;
    let sent = begin(&fleet.routers[0]).await;
    for engine in &fleet.engines[1..] {
        engine.break_connections();
    }
    let responses = responses(sent).await;
    fleet.cut_list(false);
    fleet.cut_peers(false);
    responses
}

/// Guards against the silence of the host list's service and of the peers, which is taken for an unchanged list.
#[actix_rt::test]
async fn no_stream_goes_on_by_a_host_list_that_could_not_be_read_since() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    engine_returns_in_a_cut(&fleet, Duration::from_secs(4)).await;
}

/// Guards against the same at engines that state their versions.
#[actix_rt::test]
async fn no_stream_is_joined_from_stated_versions_in_a_cut() {
    let fleet = Fleet::start(&["v1", "v1", "v1"]).await;
    fleet.state_versions();
    engine_returns_in_a_cut(&fleet, Duration::from_secs(4)).await;
}

/// Guards against the record of an ended run that is dropped because the entry which names the run has not been read
/// yet: streams go on there once it has.
#[actix_rt::test]
async fn ended_run_of_an_engine_that_is_not_listed_yet_is_kept() {
    let fleet = Fleet::start_listed(&["v1", "v1"], &["engine-2"], false).await;
    fleet.cut_list(true);
    fleet.publish_all(2);
    time::sleep(READ_TIME).await;
    fleet.engines[0].crash().await;
    see_crash(&fleet.routers[1]).await;
    fleet.engines[0].start_again("v2").await;
    fleet.cut_list(false);
    time::sleep(2 * READ_TIME).await;
    let sent = begin(&fleet.routers[0]).await;
    fleet.engines[1].break_connections();
    responses(sent).await;
}

/// Guards against a router that starts and takes the silence of its peers, which stand still, for no ended run.
#[actix_rt::test]
async fn router_that_starts_does_not_take_silence_for_no_ended_run() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.engines[0].crash().await;
    see_crash(&fleet.routers[1]).await;
    fleet.engines[0].start_again("v2").await;
    fleet.signal(1, Signal::STOP);
    fleet.routers[0].restart().await;
    let sent = begin(&fleet.routers[0]).await;
    fleet.engines[1].break_connections();
    responses(sent).await;
}

/// Guards against a router with an older list whose findings make an engine unknown to the others, whose list states
/// what the engine states: their streams are cut although their version serves.
#[actix_rt::test]
async fn router_with_an_older_list_takes_no_version_from_the_others() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.state_versions();
    fleet.cut_list(true);
    for (engine, name) in fleet.engines.iter().zip(["engine-1", "engine-2"]) {
        engine.crash().await;
        engine.start_again("v2").await;
        fleet.list().publish(name, "v2", 2);
    }
    time::sleep(READ_TIME).await;
    let sent = begin(&fleet.routers[1]).await;
    let older = send(&fleet.routers[0]);
    time::sleep(FIND_TIME).await;
    fleet.engines[1].break_connections();
    assert_eq!(responses(sent).await, vec![whole("v2"); STREAMS]);
    responses(older).await;
}

/// Guards against a router that passes on, once it is no longer cut off, the end of a run which the lists of the others
/// name no more: streams are cut there although their version is listed and serves.
#[actix_rt::test]
async fn ended_run_that_is_told_again_takes_no_version_that_was_listed_since() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.cut_list(true);
    for engine in &fleet.engines {
        engine.crash().await;
    }
    see_crash(&fleet.routers[0]).await;
    for (engine, name) in fleet.engines.iter().zip(["engine-1", "engine-2"]) {
        engine.start_again("v2").await;
        fleet.list().publish(name, "v2", 2);
    }
    time::sleep(READ_TIME).await;
    fleet.cut_peers(true);
    time::sleep(PAUSES[1]).await;
    fleet.cut_peers(false);
    time::sleep(2 * READ_TIME).await;
    let sent = begin(&fleet.routers[1]).await;
    fleet.engines[1].break_connections();
    assert_eq!(responses(sent).await, vec![whole("v2"); STREAMS]);
}

/// Returns the number of requests that began at the first engine of those that the first router got at a time.
async fn begun_at_first(fleet: &Fleet, router: &Router) -> usize {
    let before = fleet.engines[0].started();
    let sent = begin(router).await;
    let begun = fleet.engines[0].started() - before;
    responses(sent).await;
    begun
}

/// Guards against a departure from before the end of a pause that is not honoured 3 s later.
#[actix_rt::test]
async fn departure_in_a_pause_is_honoured_after_it() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.signal(0, Signal::STOP);
    fleet.publish_leaving("engine-1", 2);
    time::sleep(PAUSES[1]).await;
    fleet.signal(0, Signal::CONT);
    time::sleep(READ_TIME).await;
    assert_eq!(begun_at_first(&fleet, &fleet.routers[0]).await, 0);
}

/// Guards against a departure that a router which reads no host list does not learn from its peer after a pause.
#[actix_rt::test]
async fn departure_in_a_pause_is_learnt_from_peers() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.cut_list(true);
    fleet.signal(0, Signal::STOP);
    fleet.publish_leaving("engine-1", 2);
    time::sleep(PAUSES[1]).await;
    fleet.signal(0, Signal::CONT);
    time::sleep(PAUSES[1]).await;
    assert_eq!(begun_at_first(&fleet, &fleet.routers[0]).await, 0);
}

/// Guards against a departure that is lost to a router which reads no host list, because the entry is gone from the list
/// of its peer when it hears of it again.
#[actix_rt::test]
async fn departure_of_an_engine_whose_entry_is_gone_is_learnt_from_peers() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.cut_list(true);
    fleet.signal(0, Signal::STOP);
    fleet.publish_leaving("engine-1", 2);
    time::sleep(READ_TIME).await;
    fleet.list().publish_without("engine-1", 3);
    time::sleep(READ_TIME).await;
    fleet.signal(0, Signal::CONT);
    time::sleep(PAUSES[1]).await;
    assert_eq!(begun_at_first(&fleet, &fleet.routers[0]).await, 0);
}

/// Guards against a departure that a peer has reported, and that one read of a replica which is behind takes back,
/// because the router could not read the host list for some seconds before.
#[actix_rt::test]
async fn reported_departure_is_not_taken_back_by_one_read_after_an_outage() {
    let fleet = Fleet::start(&["v1", "v1"]).await;
    let behind = fleet.list().copy();
    fleet.cut_list(true);
    fleet.publish_leaving("engine-1", 2);
    time::sleep(REPORT_TIME).await;
    assert_eq!(begun_at_first(&fleet, &fleet.routers[0]).await, 0);
    fleet.list().publish_list(behind);
    fleet.cut_list(false);
    time::sleep(READ_TIME).await;
    assert_eq!(begun_at_first(&fleet, &fleet.routers[0]).await, 0);
}
