//! Upstreams that are silent for a while and then go on, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{configuration, entry, wait_until, Call, Site, TIMEOUT};
use serde_json::Value;
use tsw_fake::worker::{Behaviour, Worker};

/// Pause of a sound upstream: longer than any stall timeout of the routes in use.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Number of streams that pause together: more than the retry budget lets move elsewhere.
const STREAMS: usize = 80;
/// Retries that the settings allow in a window with these streams: a fifth of them, and 50.
const RETRY_BUDGET: usize = STREAMS / 5 + 50;

/// Starts a site whose `lookup` route has a short objective and this many attempts.
async fn site(desk: Behaviour, model: Behaviour, attempts: u32) -> Site {
    let site = Site::start(desk, model).await;
    site.router.set_descriptors(4_000).await;
    let mut changed = configuration(2);
    changed["limits"]["tokensPerS"] = Value::from(3_000_000);
    let route = &mut changed["routes"][0];
    route["targetLatencyMs"] = Value::from(100);
    route["maxAttempts"] = Value::from(attempts);
    site.reconfigure(changed).await;
    site
}

/// Makes the second engine one that takes no further requests.
async fn let_second_engine_leave(site: &Site) {
    let leaving = entry("model", &site.models[1], "draining", 2);
    site.store.set("servers/m2", Some(&leaving));
    site.wait_metric("relay_upstreams 2").await;
}

/// Guards against cutting a stream whose engine is silent for a while although no other engine may
/// take over.
#[actix_rt::test]
async fn paused_stream_that_no_other_engine_can_resume_is_passed_on_whole() {
    let site = site(Behaviour::Plain, Behaviour::PausedStream(4, 2, PAUSE), 2).await;
    let_second_engine_leave(&site).await;
    let response = Call::prompt("/draft/1", "a1").send(&site.router).await;
    assert_eq!(response.events(), [0, 1, 2, 3]);
    assert!(response.whole, "the stream was cut");
    assert_eq!(site.model_arrivals(), 1);
}

/// Guards against cutting streams that pause together, as at an engine that stands still for a
/// moment, because the retry budget does not let all of them move.
#[actix_rt::test]
async fn streams_that_pause_together_are_passed_on_whole() {
    let site = site(Behaviour::Plain, Behaviour::PausedStream(4, 2, PAUSE), 2).await;
    for (worker, key) in site.models.iter().zip(["servers/m1", "servers/m2"]) {
        let text = entry("model", worker, "ready", 2);
        let mut large: Value = serde_json::from_slice(&text).expect("JSON");
        large["slots"] = Value::from(STREAMS);
        site.store.set(key, Some(large.to_string().as_bytes()));
    }
    // Requests that are sent before the router has read the entries are refused, not cut.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let address = site.router.client;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let call = Call::prompt("/draft/1", &format!("a{number}"));
            actix_rt::spawn(async move { call.send_to(address).await })
        })
        .collect();
    let (mut served, mut cut) = (0, 0);
    for stream in streams {
        let response = actix_rt::time::timeout(TIMEOUT, stream).await;
        let response = response.expect("in time").expect("no panic");
        let response = response.expect("a response");
        if response.status == 200 {
            served += 1;
            cut += usize::from(!response.whole || response.events() != [0, 1, 2, 3]);
        } else {
            // Refused without being run.
            assert!([429, 503].contains(&response.status), "{response:?}");
        }
    }
    assert!(served > STREAMS / 2, "most streams were refused: {served}");
    assert_eq!(cut, 0, "streams were cut");
    let retries = site.model_arrivals() - served;
    assert!(retries <= RETRY_BUDGET, "{retries} retries");
}

/// Guards against abandoning a stalled stream for good: it moves once another engine takes requests.
#[actix_rt::test]
async fn stalled_stream_goes_on_when_another_engine_becomes_available() {
    let site = site(Behaviour::Plain, Behaviour::Stream(5), 2).await;
    let_second_engine_leave(&site).await;
    site.models[0].script(&[Behaviour::Stall(2)]);
    let address = site.router.client;
    let reading =
        actix_rt::spawn(async move { Call::prompt("/draft/1", "a1").send_to(address).await });
    wait_until("the first arrival", || site.model_arrivals() == 1).await;
    actix_rt::time::sleep(PAUSE).await;
    let other = Worker::bind(Behaviour::Stream(5)).await.expect("an engine");
    site.store
        .set("servers/m3", Some(&entry("model", &other, "ready", 1)));
    let response = actix_rt::time::timeout(TIMEOUT, reading).await;
    let response = response.expect("in time").expect("no panic");
    let response = response.expect("a response");
    assert_eq!(response.events(), [0, 1, 2, 3, 4]);
    assert!(response.whole, "the stream was cut");
    assert_eq!(
        site.models[0].abandoned(),
        ["a1"],
        "the stalled run goes on"
    );
}

/// Guards against answering 502 for a request whose upstream is silent for a while although no other
/// upstream can run it.
#[actix_rt::test]
async fn late_response_is_awaited_if_no_other_upstream_can_run_the_request() {
    let site = site(Behaviour::LatePlain(PAUSE), Behaviour::Stream(3), 2).await;
    let response = Call::valid("GET", "/lookup/1", "a1")
        .send(&site.router)
        .await;
    assert_eq!(response.status, 200);
    assert_eq!(site.desk.arrivals().len(), 1);
}

/// Guards against abandoning the last attempt that the configuration allows.
#[actix_rt::test]
async fn late_response_to_the_last_attempt_is_awaited() {
    for attempts in [1, 2] {
        let late = Behaviour::LatePlain(PAUSE);
        let site = site(late, Behaviour::Stream(3), attempts).await;
        let other = Worker::bind(late).await.expect("an upstream");
        site.store
            .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
        site.wait_metric("relay_upstreams 4").await;
        let response = Call::valid("GET", "/lookup/1", "a1")
            .send(&site.router)
            .await;
        assert_eq!(response.status, 200, "{attempts} attempts");
        let arrivals = site.desk.arrivals().len() + other.arrivals().len();
        assert_eq!(arrivals, attempts as usize);
    }
}

/// Guards against cutting a response that is too long to be buffered, and thus to be replaced by a
/// retry, when its upstream pauses.
#[actix_rt::test]
async fn paused_response_that_is_too_long_to_be_retried_is_passed_on_whole() {
    const LENGTH: usize = 4 << 20;
    let site = site(
        Behaviour::PausedPlain(LENGTH, PAUSE),
        Behaviour::Stream(3),
        2,
    )
    .await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    site.wait_metric("relay_upstreams 4").await;
    let mut served = 0;
    while served == 0 {
        let response = Call::valid("GET", "/lookup/1", "a1")
            .send(&site.router)
            .await;
        assert_eq!((response.status, response.whole), (200, true));
        served = site.desk.arrivals().len();
        assert!(served == 0 || response.body.len() == LENGTH);
    }
}

/// Guards against cutting a stream that was moved away from a silent engine because the other engine
/// refuses it: the silent one may be sound.
#[actix_rt::test]
async fn stream_that_is_refused_elsewhere_returns_to_its_engine() {
    let site = site(Behaviour::Plain, Behaviour::NotRun, 2).await;
    let_second_engine_leave(&site).await;
    let paused = Behaviour::PausedStream(4, 2, PAUSE);
    site.models[0].script(&[paused, paused]);
    let address = site.router.client;
    let reading =
        actix_rt::spawn(async move { Call::prompt("/draft/1", "a1").send_to(address).await });
    wait_until("the first arrival", || site.model_arrivals() == 1).await;
    let ready = entry("model", &site.models[1], "ready", 3);
    site.store.set("servers/m2", Some(&ready));
    let response = actix_rt::time::timeout(TIMEOUT, reading).await;
    let response = response.expect("in time").expect("no panic");
    let response = response.expect("a response");
    assert_eq!(response.events(), [0, 1, 2, 3]);
    assert!(response.whole, "the stream was cut");
    assert_eq!(
        site.models[1].arrivals().len(),
        1,
        "the stream did not move"
    );
}

/// Guards against one request that empties the retry budget after it left a silent upstream, because
/// all others refuse it.
#[actix_rt::test]
async fn request_that_left_a_silent_upstream_is_refused_by_few_others() {
    /// Attempts that upstreams may refuse: the first and three retries.
    const MAX_REFUSED: usize = 4;
    let site = site(Behaviour::Silent, Behaviour::Stream(3), 2).await;
    let address = site.router.client;
    let mut call = Call::valid("GET", "/lookup/1", "a1");
    call.head.fields.remove("Deadline-Ms");
    call.head.fields.push("Deadline-Ms", "4000");
    let sent = actix_rt::spawn(async move { call.send_to(address).await });
    wait_until("the first arrival", || !site.desk.arrivals().is_empty()).await;
    let mut others = Vec::new();
    for number in 0..3 * MAX_REFUSED {
        let other = Worker::bind(Behaviour::NotRun).await.expect("an upstream");
        let key = format!("servers/n{number}");
        site.store
            .set(&key, Some(&entry("desk", &other, "ready", 1)));
        others.push(other);
    }
    let response = sent.await.expect("no panic").expect("a response");
    assert!([502, 504].contains(&response.status), "{response:?}");
    let refused: usize = others.iter().map(|other| other.arrivals().len()).sum();
    assert!((1..=MAX_REFUSED).contains(&refused), "{refused} refusals");
}

/// Guards against a stalled stream that gets no slot while younger requests are queued.
#[actix_rt::test]
async fn stalled_stream_moves_before_younger_requests_start() {
    let pause = Duration::from_millis(300);
    let site = Site::start(Behaviour::Plain, Behaviour::SlowStream(3, pause)).await;
    site.router.set_descriptors(4_000).await;
    let mut changed = configuration(2);
    changed["limits"]["tokensPerS"] = Value::from(3_000_000);
    for route in changed["routes"].as_array_mut().expect("routes") {
        // Requests may wait at the router for a tenth of it.
        route["targetLatencyMs"] = Value::from(60_000);
    }
    site.reconfigure(changed).await;
    let set_single_slot = |number: usize, state: &str, seq| {
        let text = entry("model", &site.models[number], state, seq);
        let mut single: Value = serde_json::from_slice(&text).expect("JSON");
        single["slots"] = Value::from(1);
        let key = format!("servers/m{}", number + 1);
        site.store.set(&key, Some(single.to_string().as_bytes()));
    };
    set_single_slot(1, "draining", 2);
    site.wait_metric("relay_upstreams 2").await;
    set_single_slot(0, "ready", 2);
    actix_rt::time::sleep(pause).await;
    site.models[0].script(&[Behaviour::Stall(2)]);
    let address = site.router.client;
    let send = |id: &str| {
        let call = Call::prompt("/draft/1", id);
        actix_rt::spawn(async move {
            let response = call.send_to(address).await;
            (response, std::time::Instant::now())
        })
    };
    let first = send("a1");
    wait_until("the first arrival", || site.model_arrivals() == 1).await;
    let younger: Vec<_> = (0..8).map(|number| send(&format!("b{number}"))).collect();
    set_single_slot(1, "ready", 3);
    let (response, end) = first.await.expect("no panic");
    assert!(response.expect("a response").whole, "the stream was cut");
    let mut before = 0;
    for request in younger {
        let (response, ended) = request.await.expect("no panic");
        let served = response.is_ok_and(|response| response.status == 200 && response.whole);
        before += usize::from(served && ended < end);
    }
    // Those that start before the stream counts as stalled: one takes 0.9 s, the stall timeout is 1 s.
    assert!(before <= 3, "{before} younger requests were served first");
}

/// Guards against stating that the upstream broke off when it was silent until the request was due.
#[actix_rt::test]
async fn request_that_is_due_is_answered_as_timed_out() {
    let site = site(Behaviour::Silent, Behaviour::Stream(3), 2).await;
    for call in [
        Call::valid("GET", "/lookup/1", "a1"),
        Call::valid("POST", "/book/1", "a2").body("truck"),
    ] {
        let mut call = call;
        call.head.fields.remove("Deadline-Ms");
        call.head.fields.push("Deadline-Ms", "1500");
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 504);
    }
}
