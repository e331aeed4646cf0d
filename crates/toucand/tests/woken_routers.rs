//! Streams that are resumed at a router which then stands still for a moment.

#[path = "support/versions.rs"]
mod versions;

use std::time::{Duration, Instant};

use rustix::process::Signal;
use tsw_fake::worker::{Arrival, Behaviour, Report};
use versions::{
    fleet::{self, Call},
    now_ms, Fleet,
};

/// Number of streams.
const STREAMS: usize = 16;
/// Time after which upstreams state their runs.
const REPORT_TIME: Duration = Duration::from_millis(100);
/// Time for which an upstream that crashes is down. With the report, it is shorter than a router waits for an answer.
const DOWNTIME: Duration = Duration::from_millis(30);
/// Time for which a confirmed run needs no further question, and a little longer.
const CONFIRMED_TIME: Duration = Duration::from_millis(2_300);

/// Plays resumed streams whose router asks the upstreams for their runs. It may stand still before it reads the answers, while
/// the upstreams crash and return with another version. Returns how many streams are sent to the runs that began them, and
/// to those that returned, of how many.
async fn play(stands_still: bool) -> (usize, usize, usize) {
    let mut fleet = Fleet::start(&[], 0).await;
    let born = now_ms() - 30_000;
    for number in 0..4 {
        fleet.add_engine("v1").await;
        fleet.list_run("model", number, born, 1);
        fleet.engines[number].1.set_default(Behaviour::Stall(3));
    }
    fleet.start_routers(1).await;
    let address = fleet.routers[0].client;
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("a{number}")).collect();
    let begin = |id: &String| {
        let call = Call::prompt("/draft/1", id);
        actix_rt::spawn(async move { drop(call.send_to(address).await) })
    };
    let begun: Vec<_> = ids.iter().map(begin).collect();
    // In the first seconds of the router, entries may be older than the processes.
    actix_rt::time::sleep(CONFIRMED_TIME).await;
    begun.iter().for_each(|stream| stream.abort());
    let began = |id: &&String| fleet.version_of(id).is_some();
    let began: Vec<String> = ids.iter().filter(began).cloned().collect();
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
        engine.set_report(Report::Late(REPORT_TIME));
    }
    let questions = |fleet: &Fleet| -> u64 {
        let engines = fleet.engines.iter();
        engines.map(|(_, engine)| engine.questions()).sum()
    };
    let before = questions(&fleet);
    for id in &began {
        let mut call = Call::prompt("/draft/1", &format!("r{id}"));
        call.head.fields.push("Last-Event-Id", "1");
        call.head.fields.push("Resumes", id.clone());
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    }
    fleet::wait_until("a question", || questions(&fleet) > before).await;
    actix_rt::time::sleep(REPORT_TIME / 3).await;
    let mut returned = None;
    if stands_still {
        fleet.routers[0].signal(Signal::STOP);
        actix_rt::time::sleep(REPORT_TIME).await;
        returned = Some(Instant::now());
        for (_, engine) in &fleet.engines {
            engine.crash_for(DOWNTIME);
            engine.set_born(Some(now_ms()));
            engine.set_report(Report::Given);
        }
        actix_rt::time::sleep(4 * DOWNTIME).await;
        fleet.routers[0].signal(Signal::CONT);
    }
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let arrivals = fleet.engines.iter();
    let arrivals = arrivals.flat_map(|(_, engine)| engine.arrivals());
    let is_resumed = |arrival: &Arrival| arrival.head.fields.text("Resumes").is_some();
    let (joined, went_on): (Vec<Arrival>, Vec<Arrival>) = arrivals
        .filter(is_resumed)
        .partition(|arrival| returned.is_some_and(|returned| arrival.time > returned));
    (went_on.len(), joined.len(), began.len())
}

/// Guards against streams that go on at another version, since their router stood still between the answer of an upstream that
/// stated its run, and the request that it then sent to the process that had taken its place.
#[actix_rt::test]
async fn no_stream_is_sent_to_another_run_than_the_one_that_answered_before_a_pause() {
    let (_, joined, of) = play(true).await;
    assert!(of >= STREAMS / 2, "only {of} streams began");
    assert_eq!(joined, 0, "of {of}");
}

/// Guards against refusing streams whose upstreams state their runs late, without a pause.
#[actix_rt::test]
async fn streams_go_on_where_upstreams_state_their_runs_late() {
    let (went_on, _, of) = play(false).await;
    assert!(of >= STREAMS / 2, "only {of} streams began");
    assert_eq!(went_on, of);
}
