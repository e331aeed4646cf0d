//! Streams of services whose upstreams run several software versions, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{entry, wait_until, Call, Response, Router};
use futures_util::future;
use serde_json::Value;
use tsw_fake::{
    store::{Mode, Store},
    worker::{Behaviour, Report, Worker},
};
use tsw_http::{connection::Connection, exchange::Exchange};

/// Longer than any stall timeout of the routes in use.
const PAUSE: Duration = Duration::from_millis(2_500);

/// A router with engines that each state a version, or none.
struct Versions {
    store: Store,
    engines: Vec<Worker>,
    router: Router,
}

impl Versions {
    async fn start(engines: &[(Option<&str>, Behaviour)]) -> Self {
        let store = Store::bind().await.expect("a store");
        let mut workers = Vec::new();
        for (_, behaviour) in engines {
            workers.push(Worker::bind(*behaviour).await.expect("an upstream"));
        }
        fleet::publish(&store, &[]);
        let router = Router::start("r1", store.address(), &[]);
        let versions = Self {
            store,
            engines: workers,
            router,
        };
        for (number, (version, _)) in engines.iter().enumerate() {
            versions.list(number, "ready", 1, *version);
        }
        versions.router.wait_ready().await;
        versions.wait_accepting(engines.len()).await;
        versions
    }

    /// Lists an engine. A higher `run` is a later start of it.
    fn list(&self, number: usize, state: &str, run: u64, version: Option<&str>) {
        let text = entry("model", &self.engines[number], state, 10 * run);
        let mut text: Value = serde_json::from_slice(&text).expect("JSON");
        text["version"] = version.into();
        text["born"] = run.into();
        let key = format!("servers/m{number}");
        self.store.set(&key, Some(text.to_string().as_bytes()));
    }

    async fn wait_accepting(&self, count: usize) {
        let line = format!("relay_upstreams {count}");
        let end = std::time::Instant::now() + fleet::TIMEOUT;
        while !self.metrics().await.lines().any(|found| found == line) {
            assert!(std::time::Instant::now() < end, "timed out: {line}");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn metrics(&self) -> String {
        let metrics = self.router.get(self.router.metrics, "/metrics").await;
        metrics.expect("metrics").text().to_owned()
    }

    /// Returns the requests that an engine received, with the event after which each resumes.
    fn arrivals(&self, number: usize) -> Vec<(String, Option<String>)> {
        let arrivals = self.engines[number].arrivals().into_iter();
        let arrivals = arrivals.map(|arrival| {
            let text = |name| arrival.head.fields.text(name).map(str::to_owned);
            (text("Attempt-Id").expect("an id"), text("Last-Event-Id"))
        });
        arrivals.collect()
    }

    /// Begins a stream at the first engine, the only one of its version, that breaks off after event 1.
    async fn begin_and_break(&self, id: &str) {
        self.engines[0].script(&[Behaviour::ResetStream(2)]);
        let others = 1..self.engines.len();
        others
            .clone()
            .for_each(|number| self.list(number, "draining", 1, Some("v2")));
        self.wait_accepting(1).await;
        let response = Call::prompt("/draft/1", id).send(&self.router).await;
        assert_eq!((response.events(), response.whole), (vec![0, 1], false));
        others.for_each(|number| self.list(number, "ready", 2, Some("v2")));
        self.wait_accepting(self.engines.len()).await;
    }

    /// Checks, with engines that break off some streams, that no stream holds events of two versions, and that
    /// the engine of the second version is used.
    async fn check_not_joined(&self) {
        for round in 2..8 {
            for engine in &self.engines {
                engine.set_default(Behaviour::Stream(6));
                engine.clear_script();
                engine.script(&[Behaviour::ResetStream(2); 2]);
            }
            let calls = (10 * round..10 * round + 9).map(separate_prompt);
            let sent = calls.map(|call| async move { call.send(&self.router).await });
            for response in future::join_all(sent).await {
                let text = response.text();
                let found = ["v1 piece", "v2 piece"].map(|version| text.contains(version));
                assert_ne!(found, [true; 2], "{text}");
            }
        }
        self.engines.iter().for_each(Worker::clear_script);
        // These cannot go on elsewhere in any case.
        let calls = (110..119).map(|number| separate_prompt_to("/note/1", number));
        let sent = calls.map(|call| async move { call.send(&self.router).await });
        let responses = future::join_all(sent).await;
        let mut texts = responses.iter().map(Response::text);
        assert!(texts.any(|text| text.contains("v2 piece")), "never used");
    }

    async fn resume(&self, id: &str, resumes: Option<&str>) -> Response {
        let mut call = Call::prompt("/draft/1", id);
        // The cached parts of the prompt do not decide where it goes.
        call.head.fields.remove("Prompt-Prefix");
        call.head.fields.push("Last-Event-Id", "1");
        if let Some(resumes) = resumes {
            call.head.fields.push("Resumes", resumes.to_owned());
        }
        call.send(&self.router).await
    }
}

/// Returns a prompt that shares no part with others, so that streams begin at different engines.
fn separate_prompt(number: usize) -> Call {
    separate_prompt_to("/draft/1", number)
}

fn separate_prompt_to(target: &str, number: usize) -> Call {
    let mut call = Call::prompt(target, &format!("a{number}"));
    call.head.fields.remove("Prompt-Prefix");
    let parts = format!("{number}a:400,{number}b:500,{number}c:100");
    call.head.fields.push("Prompt-Prefix", parts);
    call
}

/// Guards against responses whose first events are of one software version and the rest of another.
#[actix_rt::test]
async fn broken_streams_are_resumed_only_at_the_version_that_began_them() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::ResetStream(2)),
        (Some("v1"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
    ])
    .await;
    let calls: Vec<Call> = (0..24).map(separate_prompt).collect();
    let responses = future::join_all(calls.iter().map(|call| call.send(&versions.router))).await;
    let broken = versions.arrivals(0);
    assert!(broken.len() > 2, "too few streams broke: {broken:?}");
    for number in [2, 3] {
        let resumed = versions.arrivals(number).into_iter();
        let resumed: Vec<_> = resumed.filter(|(_, after)| after.is_some()).collect();
        assert_eq!(resumed, [], "went on at another version");
    }
    for response in responses {
        assert_eq!(
            (response.events(), response.whole),
            (vec![0, 1, 2, 3], true)
        );
    }
}

/// Guards against a response that goes on at another version when no upstream of its own is left.
#[actix_rt::test]
async fn broken_stream_is_cut_if_no_upstream_of_its_version_is_left() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::ResetStream(2)),
        (Some("v2"), Behaviour::Stream(4)),
    ])
    .await;
    for number in 0..16 {
        let response = separate_prompt(number).send(&versions.router).await;
        let began_at_v1 = versions
            .arrivals(0)
            .iter()
            .any(|(id, _)| *id == format!("a{number}"));
        let expected = if began_at_v1 {
            vec![0, 1]
        } else {
            vec![0, 1, 2, 3]
        };
        assert_eq!(response.events(), expected);
    }
    assert!(!versions.arrivals(0).is_empty(), "no stream broke");
}

/// Guards against moving a silent stream to an upstream of another version, which has room.
#[actix_rt::test]
async fn silent_stream_is_read_on_if_only_other_versions_have_room() {
    let paused = Behaviour::PausedStream(4, 2, PAUSE);
    let versions = Versions::start(&[(Some("v1"), paused), (Some("v2"), paused)]).await;
    let response = Call::prompt("/draft/1", "a1").send(&versions.router).await;
    assert_eq!(
        (response.events(), response.whole),
        (vec![0, 1, 2, 3], true)
    );
    let arrivals = versions.arrivals(0).len() + versions.arrivals(1).len();
    assert_eq!(arrivals, 1);
}

/// Guards against taking the version of an upstream that sent no event for that of the stream.
#[actix_rt::test]
async fn version_of_the_first_event_counts_if_an_earlier_attempt_failed() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::Reset),
        (Some("v2"), Behaviour::ResetStream(2)),
    ])
    .await;
    let mut began = None;
    for number in 0..16 {
        let response = separate_prompt(number).send(&versions.router).await;
        let id = format!("a{number}");
        if versions.arrivals(0).iter().any(|(at, _)| *at == id) && response.events() == [0, 1] {
            began = Some(id);
            break;
        }
    }
    let began = began.expect("a stream whose second attempt sent its first event");
    for engine in &versions.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    let response = versions.resume("b1", Some(&began)).await;
    assert_eq!((response.status, response.events()), (200, vec![2, 3]));
    let arrivals = versions.arrivals(0);
    assert!(arrivals.iter().all(|(id, _)| id != "b1"), "{arrivals:?}");
}

/// Guards against streams that a client resumes at another version than the one that began them, also
/// if it resumes a stream for the second time.
#[actix_rt::test]
async fn stream_that_a_client_resumes_goes_on_at_the_version_that_began_it() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
    ])
    .await;
    versions.begin_and_break("a1").await;
    for id in ["b1", "b2", "b3", "b4"] {
        let response = versions.resume(id, Some("a1")).await;
        assert_eq!((response.status, response.events()), (200, vec![2, 3]));
    }
    assert_eq!(versions.arrivals(0).len(), 5);
    let line = "relay_resumes_total{origin=\"record\",service=\"model\"} 4";
    assert!(versions.metrics().await.contains(line));
}

/// Guards against a stream that goes on at an upstream that started again under its name with another
/// version, or that goes on at all once no upstream of its version accepts requests.
#[actix_rt::test]
async fn stream_whose_version_is_gone_is_refused_at_once() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
    ])
    .await;
    versions.begin_and_break("a1").await;
    versions.list(0, "draining", 1, Some("v1"));
    versions.wait_accepting(1).await;
    versions.list(0, "ready", 2, Some("v2"));
    versions.wait_accepting(2).await;
    let since = std::time::Instant::now();
    let response = versions.resume("b1", Some("a1")).await;
    assert_eq!(response.status, 503);
    assert!(response.fields.text("Retry-After").is_some());
    assert!(since.elapsed() < Duration::from_millis(500), "not at once");
    // The version comes back.
    versions.list(1, "ready", 3, Some("v1"));
    wait_until("the version is back", || versions.arrivals(1).is_empty()).await;
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let response = versions.resume("b2", Some("a1")).await;
    assert_eq!((response.status, response.events()), (200, vec![2, 3]));
    assert_eq!(versions.arrivals(1).len(), 1);
}

/// Guards against streams that are resumed although nobody knows which version began them.
#[actix_rt::test]
async fn stream_of_unknown_origin_is_refused_as_not_run() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
    ])
    .await;
    for (id, resumes) in [("b1", Some("unknown")), ("b2", None)] {
        let response = versions.resume(id, resumes).await;
        assert_eq!(response.status, 503, "{}", response.text());
        assert!(response.text().contains("not run"), "{}", response.text());
        assert!(response.fields.text("Retry-After").is_some());
    }
    assert_eq!(versions.arrivals(0).len() + versions.arrivals(1).len(), 0);
    let metrics = versions.metrics().await;
    for line in [
        "relay_requests_total{outcome=\"unknown-origin\",service=\"model\"} 2",
        "relay_resumes_total{origin=\"unknown\",service=\"model\"} 2",
    ] {
        assert!(metrics.contains(line), "{metrics}");
    }
}

/// Guards against taking all upstreams that state no version for one version.
#[actix_rt::test]
async fn stream_of_an_upstream_without_version_goes_on_only_at_the_same_run() {
    let versions = Versions::start(&[
        (None, Behaviour::ResetStream(2)),
        (None, Behaviour::ResetStream(2)),
    ])
    .await;
    let response = Call::prompt("/draft/1", "a1").send(&versions.router).await;
    assert_eq!((response.events(), response.whole), (vec![0, 1], false));
    let began_at = usize::from(versions.arrivals(0).is_empty());
    versions
        .engines
        .iter()
        .for_each(|engine| engine.set_default(Behaviour::Stream(4)));
    let response = versions.resume("b1", Some("a1")).await;
    assert_eq!((response.status, response.events()), (200, vec![2, 3]));
    assert_eq!(versions.arrivals(began_at).len(), 2);
    versions.list(began_at, "ready", 2, None);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(versions.resume("b2", Some("a1")).await.status, 503);
}

/// Guards against sending a stream that a client resumes to the other service of a split route.
#[actix_rt::test]
async fn resumed_stream_of_a_split_route_goes_on_at_the_service_that_began_it() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::ResetStream(2)),
        (Some("v1"), Behaviour::ResetStream(2)),
    ])
    .await;
    let mut split = fleet::configuration(2);
    let mut service = split["services"][1].clone();
    service["name"] = "other".into();
    split["services"]
        .as_array_mut()
        .expect("services")
        .push(service);
    split["routes"][3]["trafficSplit"] = serde_json::json!([
        {"service": "model", "weight": 1}, {"service": "other", "weight": 1},
    ]);
    let text = entry("other", &versions.engines[1], "ready", 20);
    versions.store.set("servers/m1", Some(&text));
    versions
        .store
        .set("op/config", Some(split.to_string().as_bytes()));
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..12 {
        let id = format!("a{number}");
        let broken = Call::prompt("/draft/1", &id).send(&versions.router).await;
        assert_eq!((broken.events(), broken.whole), (vec![0, 1], false));
        let began_at = usize::from(versions.arrivals(0).iter().all(|(at, _)| *at != id));
        versions.engines[began_at].script(&[Behaviour::Stream(4)]);
        let resumed = versions.resume(&format!("b{number}"), Some(&id)).await;
        assert_eq!((resumed.status, resumed.events()), (200, vec![2, 3]));
    }
    let served = [0, 1].map(|number| versions.arrivals(number).len());
    assert!(
        served[0] > 0 && served[1] > 0,
        "one service served all: {served:?}"
    );
}

/// Guards against treating other requests as resumed streams because of their fields.
#[actix_rt::test]
async fn fields_of_resumed_streams_bind_only_streams() {
    let versions = Versions::start(&[
        (Some("v1"), Behaviour::Stream(4)),
        (Some("v2"), Behaviour::Stream(4)),
    ])
    .await;
    let desk = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    versions
        .store
        .set("servers/d1", Some(&entry("desk", &desk, "ready", 1)));
    versions.wait_accepting(3).await;
    let mut plain = Call::valid("GET", "/lookup/1", "p1");
    plain.head.fields.push("Last-Event-Id", "1");
    plain.head.fields.push("Resumes", "unknown");
    assert_eq!(plain.send(&versions.router).await.status, 200);
    let mut new = Call::prompt("/draft/1", "n1");
    new.head.fields.push("Last-Event-Id", "");
    assert_eq!(new.send(&versions.router).await.events(), [0, 1, 2, 3]);
    let began_at = usize::from(versions.arrivals(0).is_empty());
    // The client has received events without identifiers.
    let mut resumed = separate_prompt(1);
    resumed.head.fields.push("Resumes", "n1");
    assert_eq!(resumed.send(&versions.router).await.events(), [0, 1, 2, 3]);
    assert_eq!(versions.arrivals(began_at).len(), 2);
    let mut unknown = Call::prompt("/note/1", "n2");
    unknown.head.fields.push("Last-Event-Id", "1");
    assert_eq!(unknown.send(&versions.router).await.status, 503);
}

/// Guards against streams joined from two versions because an upstream crashed and returned under its name
/// with other software, while its entry still states the version that it had.
#[actix_rt::test]
async fn no_stream_goes_on_at_or_from_an_upstream_that_returned_before_its_entry_says_so() {
    let slow = Behaviour::SlowStream(6, Duration::from_millis(100));
    let versions = Versions::start(&[(Some("v1"), slow); 3]).await;
    versions
        .engines
        .iter()
        .for_each(|engine| engine.set_version(Some("v1")));
    let send = |number: usize| {
        let call = separate_prompt(number);
        let router = &versions.router;
        async move { call.send(router).await }
    };
    let crash = async {
        wait_until("a stream runs at the first engine", || {
            !versions.engines[0].arrivals().is_empty()
        })
        .await;
        versions.engines[0].crash();
        versions.engines[0].set_version(Some("v2"));
    };
    future::join(future::join_all((10..19).map(send)), crash).await;
    let seen = "relay_breaks_total{outcome=\"crash\"}";
    assert!(versions.metrics().await.contains(seen), "no crash was seen");
    actix_rt::time::sleep(tsw_fake::worker::CRASH_DOWNTIME).await;
    versions.check_not_joined().await;
    // The entry of the next run ends the uncertainty.
    versions.list(0, "ready", 2, Some("v2"));
    versions.list(1, "draining", 1, Some("v1"));
    versions.list(2, "draining", 1, Some("v1"));
    versions.wait_accepting(1).await;
    versions.engines[0].set_default(Behaviour::Stream(6));
    versions.engines[0].clear_script();
    versions.engines[0].script(&[Behaviour::ResetStream(2)]);
    assert_eq!(send(90).await.events(), [0, 1], "no other engine has it");
    let mut call = Call::prompt("/draft/1", "a91");
    call.head.fields.push("Last-Event-Id", "1");
    call.head.fields.push("Resumes", "a90");
    assert_eq!(call.send(&versions.router).await.events(), [2, 3, 4, 5]);
}

/// Guards against streams joined from two versions because an upstream returned with other software while no
/// router had a request there, and its entry still describes the run before.
#[actix_rt::test]
async fn upstream_that_states_a_later_run_than_its_entry_does_not_continue_streams() {
    let versions = Versions::start(&[(Some("v1"), Behaviour::Stream(6)); 3]).await;
    for engine in &versions.engines {
        engine.set_version(Some("v1"));
        engine.set_born(Some(1));
    }
    versions.store.set_mode(Mode::Busy);
    versions.engines[0].set_version(Some("v2"));
    versions.engines[0].set_born(Some(2));
    versions.check_not_joined().await;
}

/// Guards against streams joined from two versions because an upstream to which the router had no connection crashed
/// and returned with other software, while the store was read and its entry still described the run before.
#[actix_rt::test]
async fn upstream_that_returned_without_a_connection_does_not_continue_streams() {
    let versions = Versions::start(&[(Some("v1"), Behaviour::Stream(6)); 3]).await;
    for engine in &versions.engines {
        engine.set_version(Some("v1"));
        engine.set_born(Some(1));
    }
    // After this time a router relies on the entries that it reads.
    actix_rt::time::sleep(Duration::from_millis(5_500)).await;
    versions.engines[0].set_version(Some("v2"));
    versions.engines[0].set_born(Some(2));
    versions.check_not_joined().await;
}

/// Guards against a stream that a client resumes at an upstream which returned with other software, and does not say
/// in time when its run started.
#[actix_rt::test]
async fn resumed_stream_does_not_go_on_at_an_upstream_that_does_not_state_its_run() {
    let slow = Behaviour::SlowStream(40, Duration::from_millis(50));
    let versions = Versions::start(&[(Some("v1"), slow); 1]).await;
    versions.engines[0].set_born(Some(1));
    let call = separate_prompt(70);
    let connection = Connection::open(versions.router.client, fleet::TIMEOUT).await;
    let connection = connection.expect("open");
    let exchange = Exchange::open(connection, &call.head, call.body.clone()).await;
    let mut exchange = exchange.expect("a response");
    exchange.data().await.expect("an event");
    drop(exchange);
    // The router closes its connection to the engine as well.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    versions.engines[0].set_default(Behaviour::Stream(6));
    versions.engines[0].set_report(Report::Silent);
    let response = versions.resume("a71", Some("a70")).await;
    assert_ne!(response.status, 200, "{}", response.text());
}
