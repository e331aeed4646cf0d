//! Router processes with the platform interface whose engines crash on a prompt part.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use actix_rt::time;
use fleet::{publish, Call, Response, Router, TIMEOUT};
use tsw_fake::{
    store::Store,
    worker::{Behaviour, Worker, CRASH_DOWNTIME},
};

/// Identifier of the prompt part that crashes engines.
const CRASHING: &str = "dead";
/// Crash after which operators count the requests that reach engines.
const COUNTED_FROM_CRASH: u64 = 5;
/// Time after that crash from which the requests count.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of requests with the part that may reach engines after that time.
const MAX_LATE_REQUESTS: usize = 3;

/// Two routers and engines that crash on [`CRASHING`].
struct Site {
    store: Store,
    engines: Vec<Worker>,
    routers: Vec<Router>,
    sent: u32,
}

impl Site {
    async fn start() -> Self {
        Self::with_engines(6, Behaviour::CrashOnPart(CRASHING, 3)).await
    }

    async fn with_engines(count: usize, behaviour: Behaviour) -> Self {
        let store = Store::bind().await.expect("a store");
        let mut engines = Vec::new();
        for _ in 0..count {
            let engine = Worker::bind(behaviour).await;
            engines.push(engine.expect("an engine"));
        }
        let names: Vec<String> = (1..=count).map(|number| format!("m{number}")).collect();
        let upstreams: Vec<(&str, &str, &Worker)> = names
            .iter()
            .zip(&engines)
            .map(|(name, engine)| (name.as_str(), "model", engine))
            .collect();
        publish(&store, &upstreams);
        let first = Router::start("r1", store.address(), &[]);
        let second = Router::start("r2", store.address(), &[first.control]);
        let mut site = Self {
            store,
            engines,
            routers: vec![first, second],
            sent: 0,
        };
        for router in 0..2 {
            site.wait_serving(router).await;
        }
        site
    }

    /// Waits until a router serves requests.
    async fn wait_serving(&mut self, router: usize) {
        self.routers[router].wait_ready().await;
        let deadline = Instant::now() + TIMEOUT;
        while self.send(router, "sound").await.status != 200 {
            assert!(Instant::now() < deadline, "no request is served");
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request that no other equals. Its prompt has the part `middle` between the others.
    async fn send(&mut self, router: usize, middle: &str) -> Response {
        let own = self.sent + 1;
        let body = format!("{{\"prompt\":\"request {own}\"}}");
        let parts = format!("aa:300,{middle}:300,bb:300,f{own:x}:100");
        let call = self.prompt("/draft/1", &parts, body);
        call.send(&self.routers[router]).await
    }

    /// Returns a request with a new identifier.
    fn prompt(&mut self, target: &str, parts: &str, body: String) -> Call {
        self.sent += 1;
        let mut call = Call::valid("POST", target, &format!("a{}", self.sent));
        let fields = &mut call.head.fields;
        fields.push("Model-Name", "m");
        fields.push("Token-Count", "1000,50");
        fields.push("Prompt-Prefix", parts.to_owned());
        fields.push("Content-Length", body.len().to_string());
        call.body = body.into();
        call
    }

    /// Returns the times at which requests with a body reached engines.
    fn arrival_times(&self, body: &str) -> Vec<Instant> {
        let arrivals = self.engines.iter().flat_map(Worker::arrivals);
        let arrivals = arrivals.filter(|found| found.body == body);
        let mut times: Vec<Instant> = arrivals.map(|found| found.time).collect();
        times.sort_unstable();
        times
    }

    /// Sends requests that crash engines again and again, at some routers in turn, and sound ones. Checks
    /// that few reach engines late, and that sound requests of the same team are served.
    async fn check_deadly(&mut self, routers: usize, target: &str, deadly: &[&str]) {
        let mut served = 0;
        for turn in 0..24 {
            for body in deadly {
                let call = self.prompt(target, "aa:300,bb:300,dd:100", (*body).to_owned());
                call.send(&self.routers[turn % routers]).await;
            }
            let sound = self.send(turn % routers, "sound").await;
            served += usize::from(sound.status == 200 && sound.whole);
            time::sleep(Duration::from_millis(400)).await;
        }
        for body in deadly {
            let times = self.arrival_times(body);
            assert!(times.len() >= 3, "{body}: {} arrivals", times.len());
            // The crash follows the arrival of the request within moments.
            let late = times.iter().filter(|at| **at > times[2] + CONTACT_TIME);
            let late = late.count();
            assert!(
                late <= MAX_LATE_REQUESTS,
                "{body}: {late} late, {}",
                times.len()
            );
        }
        assert!(served >= 16, "{served} of 24 sound requests were served");
    }

    fn crashes(&self) -> u64 {
        self.engines.iter().map(Worker::crashes).sum()
    }

    /// Returns the number of requests with the crashing part that reached engines.
    fn arrivals(&self) -> usize {
        let arrivals = self.engines.iter().flat_map(Worker::arrivals);
        let parts = arrivals.filter_map(|found| {
            let parts = found.head.fields.text("Prompt-Prefix")?;
            Some(parts.contains(CRASHING))
        });
        parts.filter(|crashing| *crashing).count()
    }

    /// Sends requests with the part until the operators count them, or both routers refuse them.
    async fn crash_engines(&mut self) {
        let deadline = Instant::now() + TIMEOUT;
        let mut refused = 0;
        while self.crashes() < COUNTED_FROM_CRASH && refused < 4 {
            assert!(Instant::now() < deadline, "too few engines crashed");
            let router = self.sent as usize % 2;
            let response = self.send(router, CRASHING).await;
            let is_refused = response.status == 503 && response.text().contains("crashed");
            refused = if is_refused { refused + 1 } else { 0 };
            // Lets the engines that crashed return, so that requests reach one.
            time::sleep(Duration::from_millis(200)).await;
        }
        time::sleep(CONTACT_TIME).await;
    }
}

/// Guards against requests that crash one engine after the other because of a prompt part that they
/// share, although no two of them are equal, and against refusing sound requests with their other
/// parts.
#[actix_rt::test]
async fn requests_with_a_prompt_part_that_crashes_engines_are_refused_by_all_routers() {
    let mut site = Site::start().await;
    site.crash_engines().await;
    let before = site.arrivals();
    let mut unserved = Vec::new();
    for number in 0..24 {
        let router = number % 2;
        let status = site.send(router, CRASHING).await.status;
        assert!(status >= 500, "an answer with status {status}");
        let sound = site.send(router, "sound").await;
        if sound.status != 200 {
            unserved.push(sound.text().to_owned());
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    let late = site.arrivals() - before;
    assert!(late <= MAX_LATE_REQUESTS, "{late} requests reached engines");
    assert!(unserved.is_empty(), "sound requests: {unserved:?}");
}

/// Guards against a router that forgets at its restart which prompt part crashes engines.
#[actix_rt::test]
async fn restarted_router_refuses_what_its_peers_refuse() {
    let mut site = Site::start().await;
    site.crash_engines().await;
    let seed = site.routers[0].control;
    drop(site.routers.remove(1));
    let restarted = Router::start("r2", site.store.address(), &[seed]);
    site.routers.push(restarted);
    site.wait_serving(1).await;
    time::sleep(CONTACT_TIME).await;
    let before = site.arrivals();
    for _ in 0..12 {
        let status = site.send(1, CRASHING).await.status;
        assert!(status >= 500, "an answer with status {status}");
        time::sleep(Duration::from_millis(50)).await;
    }
    let late = site.arrivals() - before;
    assert!(late <= MAX_LATE_REQUESTS, "{late} requests reached engines");
    assert_eq!(site.send(1, "sound").await.status, 200);
}

/// Events before the crash of an engine, and events of a sound stream.
const EVENTS: u64 = 5;

/// Guards against a request that is never refused although it crashes one engine after the other, because
/// each sends an event before it crashes.
#[actix_rt::test]
async fn request_that_crashes_engines_after_its_first_event_is_refused() {
    let mut site = Site::with_engines(6, Behaviour::CrashOnBody("deadly", 1, EVENTS)).await;
    site.check_deadly(2, "/note/1", &["deadly"]).await;
}

/// Guards against the same at the last event of a stream that may be resumed.
#[actix_rt::test]
async fn resumable_request_that_crashes_engines_at_its_last_event_is_refused() {
    let mut site = Site::with_engines(6, Behaviour::CrashOnBody("deadly", EVENTS, EVENTS)).await;
    site.check_deadly(2, "/draft/1", &["deadly"]).await;
}

/// Guards against two requests that crash engines and excuse each other, before an event.
#[actix_rt::test]
async fn two_requests_that_crash_engines_are_refused() {
    let mut site = Site::with_engines(12, Behaviour::CrashOnBody("deadly", 0, EVENTS)).await;
    site.check_deadly(2, "/note/1", &["deadly one", "deadly two"])
        .await;
}

/// Guards against the same after the first event.
#[actix_rt::test]
async fn two_requests_that_crash_engines_after_their_first_events_are_refused() {
    let mut site = Site::with_engines(12, Behaviour::CrashOnBody("deadly", 1, EVENTS)).await;
    site.check_deadly(2, "/note/1", &["deadly one", "deadly two"])
        .await;
}

/// Pause between the events of streams that run when their engines crash.
const SLOW: Duration = Duration::from_millis(100);

impl Site {
    /// Crashes all engines at once while they run prompts with common parts, before or after the first
    /// events.
    async fn crash_all(&mut self, has_events: bool) {
        let mut running = Vec::new();
        for number in 0..6 {
            let own = self.sent + 1;
            let parts = format!("aa:300,bb:300,f{own:x}:100");
            let call = self.prompt("/note/1", &parts, format!("request {own}"));
            let client = self.routers[number % 2].client;
            running.push(actix_rt::spawn(async move { call.send_to(client).await }));
        }
        let run_for = if has_events { 4 * SLOW } else { SLOW / 2 };
        time::sleep(run_for).await;
        self.engines.iter().for_each(Worker::crash);
        for request in running {
            let response = request.await.expect("no panic").expect("a response");
            assert!(!response.whole || response.status != 200, "it ended before");
        }
        time::sleep(2 * CRASH_DOWNTIME).await;
    }

    /// Waits until both routers serve prompts with the common parts.
    async fn wait_served(&mut self) {
        let deadline = Instant::now() + CONTACT_TIME;
        let mut served = 0;
        while served < 4 {
            assert!(Instant::now() < deadline, "prompts are refused");
            let response = self.send(self.sent as usize % 2, "cc").await;
            served = if response.status == 200 {
                served + 1
            } else {
                0
            };
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against refusing all prompts of a team because of a common crash of the engines that run some of
/// them.
#[actix_rt::test]
async fn common_crash_of_engines_leads_to_no_refusal() {
    for has_events in [false, true] {
        let mut site = Site::with_engines(6, Behaviour::SlowStream(10, SLOW)).await;
        site.crash_all(has_events).await;
        for router in [0, 1, 0, 1] {
            let response = site.send(router, "cc").await;
            assert_eq!(response.status, 200, "{}", response.text());
        }
    }
}

/// Guards against a refusal that does not end although it is wrong, after three such crashes in a row.
#[actix_rt::test]
async fn refusal_after_common_crashes_in_a_row_ends_soon() {
    for has_events in [false, true] {
        let mut site = Site::with_engines(6, Behaviour::SlowStream(10, SLOW)).await;
        for _ in 0..3 {
            site.crash_all(has_events).await;
        }
        let quick = Behaviour::Stream(3);
        site.engines
            .iter()
            .for_each(|engine| engine.set_default(quick));
        site.wait_served().await;
    }
}

/// Guards against two requests of a plain service that crash upstreams and excuse each other.
#[actix_rt::test]
async fn two_bookings_that_crash_upstreams_are_refused() {
    let mut site = Site::with_engines(1, Behaviour::Stream(3)).await;
    for number in 0..12 {
        let behaviour = Behaviour::CrashOnBody("deadly", 0, EVENTS);
        let desk = Worker::bind(behaviour).await.expect("an upstream");
        let entry = fleet::entry("desk", &desk, "ready", 1);
        site.store.set(&format!("servers/d{number}"), Some(&entry));
        site.engines.push(desk);
    }
    time::sleep(Duration::from_millis(500)).await;
    site.check_deadly(1, "/book/1", &["deadly one", "deadly two"])
        .await;
}
