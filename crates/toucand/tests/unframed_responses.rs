//! Responses without a length or chunks, which end when their upstream closes the connection, with a router
//! process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::{Call, Site};
use tsw_fake::worker::{Behaviour, Report, Worker};

/// Longer than the part of a plain response that is held back until it is complete.
const LONG_BYTES: usize = 2 << 20;

/// Returns the engine that gets the first attempt of a prompt, and the one that gets the next.
async fn in_order(site: &Site) -> (&Worker, &Worker) {
    // An engine that has the prompt is chosen again.
    Call::prompt("/draft/1", "a0").send(&site.router).await;
    let [one, two] = &site.models;
    if one.arrivals().is_empty() {
        (two, one)
    } else {
        (one, two)
    }
}

/// Adds a second upstream of plain requests.
async fn add_desk(site: &Site, behaviour: Behaviour) -> Worker {
    let desk = Worker::bind(behaviour).await.expect("an upstream");
    let entry = fleet::entry("desk", &desk, "ready", 1);
    site.store.set("servers/d2", Some(&entry));
    site.wait_metric("relay_upstreams 4").await;
    desk
}

/// Guards against a stream that looks complete between two events, since an upstream that is killed closes its
/// connections like one that has sent all.
#[actix_rt::test]
async fn stream_whose_upstream_crashes_between_events_does_not_look_complete() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
    let (model, _) = in_order(&site).await;
    model.set_default(Behaviour::UnframedCrashStream(2));
    let response = Call::prompt("/note/1", "a1").send(&site.router).await;
    assert_eq!((response.status, response.events()), (200, vec![0, 1]));
    assert!(!response.whole, "a cut stream looks complete");
}

/// Guards against the same where the rest of the stream could have come from another upstream.
#[actix_rt::test]
async fn stream_whose_upstream_crashes_between_events_goes_on_elsewhere() {
    for (crash_after, next) in [
        (2, Behaviour::Stream(4)),
        (2, Behaviour::UnframedStream(4)),
        // Its upstream ends after the last event, as a planned end may.
        (4, Behaviour::Stream(4)),
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
        let (first_model, next_model) = in_order(&site).await;
        first_model.set_default(Behaviour::UnframedCrashStream(crash_after));
        next_model.set_default(next);
        let response = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert_eq!(response.events(), [0, 1, 2, 3], "{crash_after} {next:?}");
        assert!(response.whole, "{crash_after} {next:?}: cut");
        assert_eq!(next_model.arrivals().len(), 1, "{crash_after} {next:?}");
    }
}

/// Guards against the same at the upstream that continues a stream, whichever way the first one frames it.
#[actix_rt::test]
async fn stream_whose_next_upstream_crashes_between_events_does_not_look_complete() {
    for first in [
        Behaviour::ResetStream(2),
        Behaviour::UnframedCutStream(2),
        Behaviour::UnframedCrashStream(2),
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
        let (first_model, next_model) = in_order(&site).await;
        first_model.set_default(first);
        next_model.set_default(Behaviour::UnframedCrashStream(3));
        let response = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert_eq!(response.events(), [0, 1, 2], "{first:?}");
        assert!(!response.whole, "{first:?}: a cut stream looks complete");
    }
}

/// Guards against a plain response whose upstream crashes in the middle of it and that looks complete, and
/// against running a request twice because of it that may run once.
#[actix_rt::test]
async fn plain_response_whose_upstream_crashes_in_its_middle_is_no_success() {
    let site = Site::start(Behaviour::UnframedCrash(9), Behaviour::Plain).await;
    let call = Call::valid("POST", "/book/1", "a1").body("truck");
    let response = call.send(&site.router).await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(site.desk.arrivals().len(), 1);
}

/// Guards against the same where the request may be run again.
#[actix_rt::test]
async fn request_whose_upstream_crashes_in_the_middle_of_its_response_is_run_elsewhere() {
    let site = Site::start(Behaviour::UnframedCrash(9), Behaviour::Plain).await;
    let _other = add_desk(&site, Behaviour::Unframed).await;
    for number in 0.. {
        let id = format!("a{number}");
        let call = Call::valid("GET", "/lookup/1", &id);
        let response = call.send(&site.router).await;
        assert_eq!(response.text(), format!("answer to {id}"), "{response:?}");
        assert_eq!(response.status, 200);
        if site.desk.crashes() > 0 {
            break;
        }
    }
}

/// Guards against a response that is too long to be held back, is passed on while it arrives, and looks
/// complete although its upstream crashed in the middle of it.
#[actix_rt::test]
async fn long_response_whose_upstream_crashes_in_its_middle_does_not_look_complete() {
    for (method, target) in [("GET", "/lookup/1"), ("POST", "/book/1")] {
        let cut = Behaviour::UnframedCrash(LONG_BYTES);
        let site = Site::start(cut, Behaviour::Plain).await;
        let call = Call::valid(method, target, "a1").body("truck");
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 200, "{target}");
        assert!(!response.whole, "{target}: a cut response looks complete");
        assert_eq!(site.desk.arrivals().len(), 1, "{target}");
    }
}

/// Guards against cutting the whole response of a sound upstream because it says nothing of its run, or says it
/// late.
#[actix_rt::test]
async fn whole_response_of_a_sound_upstream_is_passed_on_whatever_it_says_of_its_run() {
    let late = Report::Late(Duration::from_millis(1_200));
    let cases = [
        (None, Report::NotFound),
        (None, Report::Silent),
        (None, Report::Reset),
        (None, Report::Given),
        (Some(1_000), Report::Given),
        (Some(1_000), late),
    ];
    for (born, report) in cases {
        // Upstreams that the router does not know yet.
        let site = Site::start(Behaviour::Unframed, Behaviour::UnframedStream(4)).await;
        for upstream in site.models.iter().chain([&site.desk]) {
            upstream.set_born(born);
            upstream.set_report(report);
        }
        let booked = Call::valid("POST", "/book/1", "a1").body("truck");
        let response = booked.send(&site.router).await;
        assert_eq!((response.status, response.text()), (200, "answer to a1"));
        for target in ["/draft/1", "/note/1"] {
            let response = Call::prompt(target, "a1").send(&site.router).await;
            assert_eq!(response.events(), [0, 1, 2, 3], "{report:?} {target}");
            assert!(response.whole, "{report:?} {target}: cut");
        }
        assert_eq!(site.desk.arrivals().len(), 1, "{report:?}: run again");
        assert_eq!(site.model_arrivals(), 2, "{report:?}: run again");
    }
}

/// Guards against holding back the events of a stream until it is known whether its upstream still runs.
#[actix_rt::test]
async fn only_the_end_of_a_response_waits_for_the_upstream() {
    let site = Site::start(Behaviour::Plain, Behaviour::UnframedStream(4)).await;
    site.models
        .iter()
        .for_each(|model| model.set_born(Some(1_000)));
    let (model, _) = in_order(&site).await;
    assert!(model.questions() > 0);
    for model in &site.models {
        model.set_report(Report::Late(Duration::from_millis(1_000)));
    }
    let connection = tsw_http::connection::Connection::open(site.router.client, fleet::TIMEOUT);
    let connection = connection.await.expect("connected");
    let call = Call::prompt("/note/1", "a1");
    let started = Instant::now();
    let mut exchange = tsw_http::exchange::Exchange::open(connection, &call.head, call.body)
        .await
        .expect("a response");
    let mut read = Vec::new();
    while !String::from_utf8_lossy(&read).contains("piece 3") {
        read.extend(exchange.data().await.expect("data").expect("more"));
    }
    assert!(started.elapsed() < Duration::from_millis(900), "held back");
    let rest = fleet::read(exchange).await.expect("the end");
    assert!(rest.whole && rest.body.is_empty(), "{rest:?}");
    assert!(started.elapsed() > Duration::from_millis(900), "not asked");
}

/// Guards against a response that looks complete although an upstream that states its runs no longer does, and
/// against waiting for that until the request is due.
#[actix_rt::test]
async fn response_whose_upstream_is_silent_after_it_is_no_success() {
    let site = Site::start(Behaviour::Unframed, Behaviour::UnframedStream(4)).await;
    let upstreams = || site.models.iter().chain([&site.desk]);
    let book = Call::valid("POST", "/book/1", "a1").body("truck");
    let note = Call::prompt("/note/1", "a2");
    upstreams().for_each(|upstream| upstream.set_born(Some(1_000)));
    for call in [&book, &note] {
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    // Each model states its start before it falls silent.
    for number in 0..40 {
        if site.models.iter().all(|model| model.questions() > 0) {
            break;
        }
        let mut other = Call::prompt("/note/1", &format!("b{number}"));
        other.head.fields.remove("Prompt-Prefix");
        let parts = format!("{number}a:400,{number}b:600");
        other.head.fields.push("Prompt-Prefix", parts);
        other.send(&site.router).await;
    }
    let is_asked = |model: &Worker| model.questions() > 0;
    assert!(site.models.iter().all(is_asked), "a model was not asked");
    let before = site.desk.questions();
    for report in [Report::Silent, Report::Reset] {
        upstreams().for_each(|upstream| upstream.set_report(report));
        let started = Instant::now();
        let response = book.send(&site.router).await;
        assert_eq!(response.status, 502, "{report:?}: {response:?}");
        let response = note.send(&site.router).await;
        assert_eq!(response.events(), [0, 1, 2, 3], "{report:?}");
        assert!(!response.whole, "{report:?}: looks complete");
        let took = started.elapsed();
        assert!(took < Duration::from_secs(10), "{report:?}: {took:?}");
    }
    let questions = site.desk.questions() - before;
    assert!(questions < 16, "asked {questions} times");
}

/// Guards against asking an upstream that states no start again and again.
#[actix_rt::test]
async fn upstream_that_states_no_start_is_asked_once() {
    let site = Site::start(Behaviour::Unframed, Behaviour::Plain).await;
    site.desk.set_report(Report::Silent);
    for number in 0..5 {
        let call = Call::valid("GET", "/lookup/1", &format!("a{number}"));
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(site.desk.questions(), 1);
}

/// Guards against asking upstreams about responses whose end is marked, which would cost each request a question.
#[actix_rt::test]
async fn upstreams_are_not_asked_about_responses_with_a_marked_end() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
    let asked = || site.desk.questions() + site.models.iter().map(Worker::questions).sum::<u64>();
    // A stream asks on the connection that it opens.
    for model in ["b1", "b2", "b3"] {
        Call::prompt("/note/1", model).send(&site.router).await;
    }
    let before = asked();
    for (number, call) in [
        Call::valid("GET", "/lookup/1", "a1"),
        Call::valid("POST", "/book/1", "a2").body("truck"),
        Call::prompt("/note/1", "a3"),
    ]
    .iter()
    .enumerate()
    {
        let response = call.send(&site.router).await;
        assert!(response.whole, "{number}: {response:?}");
    }
    assert_eq!(asked(), before);
}

/// Guards against a cut response that looks complete because its upstream is back before it is asked, and against
/// cutting all responses of an upstream that has returned for as long as its entry is that of the run before.
#[actix_rt::test]
async fn response_from_before_a_later_run_is_cut_and_those_of_that_run_are_not() {
    let site = Site::start(Behaviour::Unframed, Behaviour::Plain).await;
    site.desk.set_born(Some(1_000));
    for (id, born, status) in [
        ("a1", 1_000, 200),
        ("a2", 2_000, 502),
        ("a3", 2_000, 200),
        ("a4", 3_000, 502),
        ("a5", 3_000, 200),
    ] {
        site.desk.set_born(Some(born));
        let call = Call::valid("POST", "/book/1", id).body("truck");
        let response = call.send(&site.router).await;
        assert_eq!(response.status, status, "{id}: {response:?}");
    }
}
