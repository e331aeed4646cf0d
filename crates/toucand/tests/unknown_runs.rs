//! Streams that begin at an upstream whose listed run has ended, so that its software is unknown.

#[path = "support/versions.rs"]
mod versions;

use std::time::{Duration, Instant};

use tsw_fake::{
    store::Mode,
    worker::{Behaviour, Report, Worker, CRASH_DOWNTIME},
};
use versions::{fleet::Call, now_ms, wait_metric, Fleet};

/// Time within which a stream of a sound upstream begins.
const START_TIME: Duration = Duration::from_millis(300);
/// Number of upstreams that return.
const RETURNED: usize = 3;
/// Number of streams of which half must begin in time.
const STREAMS: usize = 5;

/// Guards against streams that wait for the report of an upstream although no answer would change where they go.
#[actix_rt::test]
async fn stream_begins_at_once_where_the_listed_run_has_ended() {
    let fleet = Fleet::start(&["v1"], 1).await;
    let (router, engine) = (&fleet.routers[0], &fleet.engines[0].1);
    let slow = Behaviour::SlowStream(40, Duration::from_millis(50));
    engine.set_default(slow);
    let (address, call) = (router.client, Call::prompt("/draft/1", "c1"));
    actix_rt::spawn(async move { drop(call.send_to(address).await) });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    engine.crash();
    let crashes = "relay_breaks_total{outcome=\"crash\"}";
    wait_metric(router, crashes, |count| count >= 1.0).await;
    actix_rt::time::sleep(CRASH_DOWNTIME).await;
    engine.set_default(Behaviour::Stream(2));
    engine.set_report(Report::Late(Duration::from_millis(700)));
    let mut times = Vec::new();
    for number in 0..STREAMS {
        let begun = Instant::now();
        let call = Call::prompt("/draft/1", &format!("a{number}"));
        let response = call.send(router).await;
        assert_eq!(response.status, 200, "{}", response.text());
        times.push(begun.elapsed());
    }
    times.sort_unstable();
    assert!(times[STREAMS / 2] < START_TIME, "{times:?}");
}

/// Returns how many streams go on elsewhere, and how many begin, at upstreams that no router has used. They give their reports
/// in this way, and crash in the middle of the streams. If they return before, with another version while the store is away,
/// their entries do not say so.
async fn gone_on_elsewhere(report: Report, returns: bool) -> (usize, usize) {
    let mut fleet = Fleet::start(&["v1"; 6], 1).await;
    fleet.store.set_mode(Mode::Busy);
    let born = now_ms();
    for number in 0..RETURNED {
        let (version, engine) = &mut fleet.engines[number];
        if returns {
            *version = "v2";
            engine.set_born(Some(born));
        }
        engine.set_report(report);
        engine.set_default(Behaviour::SlowStream(40, Duration::from_millis(50)));
    }
    let ids: Vec<String> = (0..40).map(|number| format!("a{number}")).collect();
    for id in &ids {
        let (address, call) = (fleet.routers[0].client, Call::prompt("/draft/1", id));
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    }
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    for (_, engine) in &fleet.engines[..RETURNED] {
        engine.crash_for(Duration::from_secs(60));
    }
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    let ran = |engine: &Worker, id: &str| {
        let mut arrivals = engine.arrivals().into_iter();
        arrivals.any(|arrival| arrival.head.fields.text("Attempt-Id") == Some(id))
    };
    let (returned, sound) = fleet.engines.split_at(RETURNED);
    let began = |id: &&String| returned.iter().any(|(_, engine)| ran(engine, id));
    let goes_on = |id: &&String| sound.iter().any(|(_, engine)| ran(engine, id));
    let began: Vec<&String> = ids.iter().filter(began).collect();
    let went_on = began.iter().copied().filter(goes_on).count();
    (went_on, began.len())
}

/// Guards against streams that go on at another version: an upstream that did not state its run in time was taken to run what
/// its entry said, and the stream that began there went on at others that did.
#[actix_rt::test]
async fn streams_that_begin_at_an_upstream_without_a_report_go_on_nowhere_else() {
    let late = Report::Late(Duration::from_millis(700));
    for report in [Report::Silent, late, Report::Busy] {
        let (joined, began) = gone_on_elsewhere(report, true).await;
        println!("{report:?}: {joined} joined of {began}");
        assert_eq!(joined, 0, "{report:?}: of {began}");
    }
}

/// Guards against cutting the streams of an upstream that states its run after their first events.
#[actix_rt::test]
async fn streams_whose_upstream_states_its_run_late_go_on_elsewhere() {
    let late = Report::Late(Duration::from_millis(700));
    let (went_on, began) = gone_on_elsewhere(late, false).await;
    assert!(began >= 10, "{began} began");
    assert_eq!(went_on, began);
}
