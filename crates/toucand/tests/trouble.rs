//! Upstreams in trouble and a planned stop under load, with a router as a process. Each test names
//! the failure that it guards against.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{configuration, entry, read, until, Call, Router, Site, PATIENCE};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rustix::process::Signal;
use tsw_fake::{
    store::{Mode, Store},
    worker::{Behaviour, Endless, Worker},
};
use tsw_http::{connection::Connection, exchange::Exchange};

/// Memory that a router may use more while upstreams send bytes without end: buffers of some
/// connections, at most 1 MB each.
const MAX_GROWTH_KB: u64 = 16 * 1_024;
/// Deadline of a request to an upstream that sends bytes without end.
const DEADLINE_MS: &str = "2000";

fn hurried(mut call: Call) -> Call {
    call.head.fields.remove("Deadline-Ms");
    call.head.fields.push("Deadline-Ms", DEADLINE_MS);
    call
}

/// Guards against a router that reads without bounds, waits for ever, or passes bytes that are no
/// answer on as a complete success.
#[actix_rt::test]
async fn bytes_without_end_from_an_upstream_are_no_answer_and_take_no_memory() {
    for endless in Endless::ALL {
        let usual = Behaviour::Endless(endless);
        let site = Site::start(usual, usual).await;
        let before = site.router.peak_kb();
        let calls = [
            hurried(Call::proper("GET", "/lookup/1", "a1")),
            hurried(Call::proper("POST", "/book/1", "a2").body("truck")),
            hurried(Call::prompt("/note/1", "a3")),
            hurried(Call::prompt("/draft/1", "a4")),
        ];
        for call in calls {
            let target = String::from_utf8_lossy(&call.head.target).into_owned();
            let what = format!("{endless:?} at {target}");
            let sent = actix_rt::time::timeout(PATIENCE, call.send_to(site.router.client)).await;
            match sent.unwrap_or_else(|_| panic!("{what}: no end")) {
                // What follows a complete answer does not belong to it.
                Ok(answer) if endless == Endless::TrailingData => {
                    assert_eq!((answer.status, answer.whole), (200, true), "{what}");
                }
                Ok(answer) if answer.status == 200 => {
                    assert!(!answer.whole, "{what}: a complete success");
                }
                Ok(answer) => assert!([502, 504].contains(&answer.status), "{what}: {answer:?}"),
                Err(error) => panic!("{what}: {error}"),
            }
        }
        let grown = site.router.peak_kb().saturating_sub(before);
        assert!(grown < MAX_GROWTH_KB, "{endless:?}: {grown} kB more");
    }
}

/// Guards against a stalled stream that never ends because its upstream sends a byte now and then.
#[actix_rt::test]
async fn stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere() {
    for stalled in [Behaviour::Trickle(2), Behaviour::TrickleComments(2)] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(5)).await;
        for model in &site.models {
            model.script(&[stalled]);
        }
        // The second engine gets the request only after its first one was given up.
        let address = site.router.client;
        let reading =
            actix_rt::spawn(async move { Call::prompt("/draft/1", "a1").send_to(address).await });
        until("the first arrival", || site.model_arrivals() == 1).await;
        for model in &site.models {
            if model.arrivals().is_empty() {
                model.clear_script();
            }
        }
        let answer = actix_rt::time::timeout(PATIENCE, reading).await;
        let answer = answer.expect("in time").expect("no panic");
        let answer = answer.expect("an answer");
        assert!(answer.whole, "{stalled:?}");
        assert_eq!(answer.events(), [0, 1, 2, 3, 4], "{stalled:?}");
        let left = || {
            site.models
                .iter()
                .any(|model| !model.abandoned().is_empty())
        };
        until("the engine that stalls is freed", left).await;
    }
}

/// Guards against a slow but sound stream that is cut.
#[actix_rt::test]
async fn slow_stream_is_passed_on_whole() {
    let pause = Duration::from_millis(1_400);
    let site = Site::start(Behaviour::Plain, Behaviour::SlowStream(3, pause)).await;
    for target in ["/note/1", "/draft/1"] {
        let answer = Call::prompt(target, "a1").send(&site.router).await;
        assert!(answer.whole, "{target}");
        assert_eq!(answer.events(), [0, 1, 2], "{target}");
    }
}

/// Guards against a closed connection instead of an answer where a stream broke before its first
/// event, and against a stream that is run again although it must not be.
#[actix_rt::test]
async fn stream_that_breaks_before_its_first_event_gets_a_true_answer() {
    let site = Site::start(Behaviour::Plain, Behaviour::ResetStream(0)).await;
    let answer = Call::prompt("/note/1", "a1").send(&site.router).await;
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(site.model_arrivals(), 1);
}

/// Guards against work that ran and is run again, or is said not to have run, after its answer was
/// lost.
#[actix_rt::test]
async fn lost_answers_are_neither_run_again_nor_denied() {
    let site = Site::start(Behaviour::Reset, Behaviour::Reset).await;
    let calls = [
        (
            Call::proper("POST", "/book/1", "a1").body("truck"),
            "/book/1",
            1,
        ),
        (Call::prompt("/note/1", "a2"), "/note/1", 1),
        (Call::proper("GET", "/lookup/1", "a3"), "/lookup/1", 2),
        (Call::prompt("/draft/1", "a4"), "/draft/1", 2),
    ];
    for (call, target, most) in calls {
        let answer = call.send(&site.router).await;
        assert_eq!(answer.status, 502, "{target} may have run");
        let workers = site.models.iter().chain([&site.desk]);
        let arrivals = workers.flat_map(Worker::arrivals);
        let runs = arrivals.filter(|arrival| arrival.head.target == target.as_bytes());
        let runs = runs.count();
        assert!((1..=most).contains(&runs), "{target} ran {runs} times");
    }
}

/// Guards against requests that a planned stop cuts off: those on connections that no one has
/// accepted yet, and those whose bytes no one has read yet.
#[actix_rt::test]
async fn planned_stop_answers_requests_in_the_queues_of_the_operating_system() {
    let mut site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut open = Vec::new();
    for _ in 0..10 {
        let connection = Connection::open(site.router.client, PATIENCE).await;
        open.push(connection.expect("a connection"));
    }
    site.wait_metric("relay_clients 10").await;
    site.router.signal(Signal::TERM);
    let end = std::time::Instant::now() + PATIENCE;
    while site
        .router
        .get(site.router.ready, "/api/ready")
        .await
        .is_none_or(|answer| answer.status != 503)
    {
        assert!(std::time::Instant::now() < end, "it does not begin to stop");
    }
    // The process stands still while the requests come, until it closes its listener.
    site.router.signal(Signal::STOP);
    for _ in 0..10 {
        let connection = Connection::open(site.router.client, PATIENCE).await;
        open.push(connection.expect("a connection"));
    }
    let answers: Vec<_> = open
        .into_iter()
        .enumerate()
        .map(|(number, connection)| {
            let call = Call::proper("GET", "/lookup/1", &format!("a{number}"));
            actix_rt::spawn(async move {
                read(Exchange::open(connection, &call.head, call.body.clone()).await?).await
            })
        })
        .collect();
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    site.router.signal(Signal::CONT);
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = actix_rt::time::timeout(PATIENCE, answer).await;
        let answer = answer.expect("in time").expect("no panic");
        let answer = answer.unwrap_or_else(|error| panic!("request {number} is cut: {error}"));
        assert_eq!((answer.status, answer.whole), (200, true), "{number}");
    }
    let status = site.router.process.wait().expect("an end");
    assert!(status.success());
}

/// Guards against a request whose stated size takes an engine from all others, or makes sums
/// overflow, although no engine can run it.
#[actix_rt::test]
async fn request_that_no_engine_can_hold_is_refused_at_once_and_costs_nobody_anything() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    for tokens in ["100001,50", "18446744073709551615,18446744073709551615"] {
        let mut call = Call::prompt("/note/1", "a1");
        call.head.fields.remove("Token-Count");
        call.head.fields.push("Token-Count", tokens);
        let answer = call.send(&site.router).await;
        assert_eq!(answer.status, 503, "{tokens}");
    }
    assert_eq!(site.model_arrivals(), 0);
    for number in 0..10 {
        let answer = Call::prompt("/note/1", &format!("b{number}"))
            .send(&site.router)
            .await;
        assert_eq!((answer.status, answer.whole), (200, true));
    }
}

/// Guards against datagrams of strangers that end the process or stop its gossip.
#[actix_rt::test]
async fn datagrams_that_are_no_gossip_change_nothing() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let mut bytes = vec![0; rng.gen_range(0..400)];
        rng.fill(&mut bytes[..]);
        // Small numbers are lengths and variants of messages.
        bytes.iter_mut().for_each(|byte| *byte %= 8);
        socket.send_to(&bytes, site.router.gossip).expect("sent");
    }
    let answer = Call::proper("GET", "/lookup/1", "a1")
        .send(&site.router)
        .await;
    assert_eq!(answer.status, 200);
}

/// Guards against an upstream that left, or a key that was withdrawn, that is in use again after a
/// restart, because the router takes what it finds first while the store is away.
#[actix_rt::test]
async fn router_that_restarts_without_the_store_uses_nothing_that_is_gone() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    let key = "servers/d2";
    site.store
        .set(key, Some(&entry("desk", &other, "ready", 1)));
    site.store.set("servers/d1", None);
    let mut stated = configuration(2);
    stated["tenants"] = serde_json::json!([
        {"name": "counter", "apiKeys": ["new-key"], "priority": 1},
    ]);
    let text = stated.to_string();
    site.store.set("op/config", Some(text.as_bytes()));
    let end = std::time::Instant::now() + PATIENCE;
    while Call::proper("GET", "/lookup/1", "a0")
        .send(&site.router)
        .await
        .status
        != 401
    {
        assert!(std::time::Instant::now() < end, "the key is still in use");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let before = site.desk.arrivals().len();
    let silent = Store::bind().await.expect("a store");
    silent.set_mode(Mode::Silent);
    let restarted = Router::start("r2", silent.address(), &[site.router.control]);
    let (mut served, mut number) = (0, 0);
    while served < 10 {
        assert!(std::time::Instant::now() < end, "nothing is served");
        number += 1;
        let old = Call::proper("GET", "/lookup/1", &format!("o{number}"));
        if let Ok(answer) = old.send_to(restarted.client).await {
            assert!([401, 503].contains(&answer.status), "{}", answer.status);
        }
        let mut new = Call::proper("GET", "/lookup/1", &format!("n{number}"));
        new.head.fields.remove("Authorization");
        new.head.fields.push("Authorization", "Token new-key");
        if let Ok(answer) = new.send_to(restarted.client).await {
            assert!([200, 503].contains(&answer.status), "{}", answer.status);
            served += usize::from(answer.status == 200);
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(
        site.desk.arrivals().len(),
        before,
        "the upstream that left is in use"
    );
    assert_eq!(other.arrivals().len(), served);
}
