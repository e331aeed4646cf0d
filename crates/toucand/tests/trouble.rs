//! Failing upstreams, planned stops under load and restarts, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{configuration, entry, read, wait_until, Call, Router, Site, TIMEOUT};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rustix::process::Signal;
use tsw_fake::{
    store::{Mode, Store},
    worker::{Behaviour, Endless, Worker},
};
use tsw_http::{connection::Connection, exchange::Exchange};

/// Maximum growth of the router's memory while upstreams send endless responses: the buffers of a
/// few connections, at most 1 MB each.
const MAX_GROWTH_KB: u64 = 16 * 1_024;
/// Deadline of a request to an upstream that sends an endless response.
const DEADLINE_MS: &str = "2000";

fn with_short_deadline(mut call: Call) -> Call {
    call.head.fields.remove("Deadline-Ms");
    call.head.fields.push("Deadline-Ms", DEADLINE_MS);
    call
}

/// Guards against a router that reads without bounds, waits forever, or relays an endless response
/// as a complete success.
#[actix_rt::test]
async fn bytes_without_end_from_an_upstream_are_no_answer_and_take_no_memory() {
    for endless in Endless::ALL {
        let behaviour = Behaviour::Endless(endless);
        let site = Site::start(behaviour, behaviour).await;
        let before = site.router.peak_kb();
        let calls = [
            with_short_deadline(Call::valid("GET", "/lookup/1", "a1")),
            with_short_deadline(Call::valid("POST", "/book/1", "a2").body("truck")),
            with_short_deadline(Call::prompt("/note/1", "a3")),
            with_short_deadline(Call::prompt("/draft/1", "a4")),
        ];
        for call in calls {
            let target = String::from_utf8_lossy(&call.head.target).into_owned();
            let what = format!("{endless:?} at {target}");
            let sent = actix_rt::time::timeout(TIMEOUT, call.send_to(site.router.client)).await;
            match sent.unwrap_or_else(|_| panic!("{what}: no response in time")) {
                // Bytes after a complete response are not part of it.
                Ok(response) if endless == Endless::TrailingData => {
                    assert_eq!((response.status, response.whole), (200, true), "{what}");
                }
                Ok(response) if response.status == 200 => {
                    assert!(!response.whole, "{what}: relayed as a complete success");
                }
                Ok(response) => assert!(
                    [502, 504].contains(&response.status),
                    "{what}: {response:?}"
                ),
                Err(error) => panic!("{what}: {error}"),
            }
        }
        let grown = site.router.peak_kb().saturating_sub(before);
        assert!(
            grown < MAX_GROWTH_KB,
            "{endless:?}: memory grew by {grown} kB"
        );
    }
}

/// Guards against a stalled stream that is not detected because its upstream still sends single
/// bytes or comments.
#[actix_rt::test]
async fn stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere() {
    for stalled in [Behaviour::Trickle(2), Behaviour::TrickleComments(2)] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(5)).await;
        for model in &site.models {
            model.script(&[stalled]);
        }
        // The second engine gets the request only after the first attempt was abandoned.
        let address = site.router.client;
        let reading =
            actix_rt::spawn(async move { Call::prompt("/draft/1", "a1").send_to(address).await });
        wait_until("the first arrival", || site.model_arrivals() == 1).await;
        for model in &site.models {
            if model.arrivals().is_empty() {
                model.clear_script();
            }
        }
        let response = actix_rt::time::timeout(TIMEOUT, reading).await;
        let response = response.expect("in time").expect("no panic");
        let response = response.expect("a response");
        assert!(response.whole, "{stalled:?}");
        assert_eq!(response.events(), [0, 1, 2, 3, 4], "{stalled:?}");
        let cancelled = || {
            site.models
                .iter()
                .any(|model| !model.abandoned().is_empty())
        };
        wait_until("the stalled upstream request to be cancelled", cancelled).await;
    }
}

/// Guards against cutting off a slow but healthy stream.
#[actix_rt::test]
async fn slow_stream_is_passed_on_whole() {
    let pause = Duration::from_millis(1_400);
    let site = Site::start(Behaviour::Plain, Behaviour::SlowStream(3, pause)).await;
    for target in ["/note/1", "/draft/1"] {
        let response = Call::prompt(target, "a1").send(&site.router).await;
        assert!(response.whole, "{target}");
        assert_eq!(response.events(), [0, 1, 2], "{target}");
    }
}

/// Guards against closing the connection without a response when a stream breaks before its first
/// event, and against rerunning a request that must run at most once.
#[actix_rt::test]
async fn stream_that_breaks_before_its_first_event_gets_a_true_answer() {
    let site = Site::start(Behaviour::Plain, Behaviour::ResetStream(0)).await;
    let response = Call::prompt("/note/1", "a1").send(&site.router).await;
    assert_eq!(response.status, 502, "the request may have run");
    assert_eq!(site.model_arrivals(), 1);
}

/// Guards against rerunning a request, or reporting it as not run, after it ran and its response
/// was lost.
#[actix_rt::test]
async fn lost_answers_are_neither_run_again_nor_denied() {
    let site = Site::start(Behaviour::Reset, Behaviour::Reset).await;
    let calls = [
        (
            Call::valid("POST", "/book/1", "a1").body("truck"),
            "/book/1",
            1,
        ),
        (Call::prompt("/note/1", "a2"), "/note/1", 1),
        (Call::valid("GET", "/lookup/1", "a3"), "/lookup/1", 2),
        (Call::prompt("/draft/1", "a4"), "/draft/1", 2),
    ];
    for (call, target, most) in calls {
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 502, "{target} may have run");
        let workers = site.models.iter().chain([&site.desk]);
        let arrivals = workers.flat_map(Worker::arrivals);
        let runs = arrivals.filter(|arrival| arrival.head.target == target.as_bytes());
        let runs = runs.count();
        assert!((1..=most).contains(&runs), "{target} ran {runs} times");
    }
}

/// Guards against a planned stop that drops requests on connections that are not accepted yet, or
/// requests that are not read yet.
#[actix_rt::test]
async fn planned_stop_answers_requests_in_the_queues_of_the_operating_system() {
    let mut site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut open = Vec::new();
    for _ in 0..10 {
        let connection = Connection::open(site.router.client, TIMEOUT).await;
        open.push(connection.expect("a connection"));
    }
    site.wait_metric("relay_clients 10").await;
    site.router.signal(Signal::TERM);
    let deadline = std::time::Instant::now() + TIMEOUT;
    while site
        .router
        .get(site.router.ready, "/api/ready")
        .await
        .is_none_or(|response| response.status != 503)
    {
        assert!(
            std::time::Instant::now() < deadline,
            "the router did not start to drain"
        );
    }
    // SIGSTOP suspends the process while the requests arrive, until it is due to close its
    // listener.
    site.router.signal(Signal::STOP);
    for _ in 0..10 {
        let connection = Connection::open(site.router.client, TIMEOUT).await;
        open.push(connection.expect("a connection"));
    }
    let responses: Vec<_> = open
        .into_iter()
        .enumerate()
        .map(|(number, connection)| {
            let call = Call::valid("GET", "/lookup/1", &format!("a{number}"));
            actix_rt::spawn(async move {
                read(Exchange::open(connection, &call.head, call.body.clone()).await?).await
            })
        })
        .collect();
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    site.router.signal(Signal::CONT);
    for (number, response) in responses.into_iter().enumerate() {
        let response = actix_rt::time::timeout(TIMEOUT, response).await;
        let response = response.expect("in time").expect("no panic");
        let response =
            response.unwrap_or_else(|error| panic!("request {number} was cut off: {error}"));
        assert_eq!((response.status, response.whole), (200, true), "{number}");
    }
    let status = site.router.process.wait().expect("an end");
    assert!(status.success());
}

/// Guards against a token count beyond the capacity of any engine that blocks an engine for all
/// other requests, or overflows an addition.
#[actix_rt::test]
async fn request_that_no_engine_can_hold_is_refused_at_once_and_costs_nobody_anything() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    for tokens in ["100001,50", "18446744073709551615,18446744073709551615"] {
        let mut call = Call::prompt("/note/1", "a1");
        call.head.fields.remove("Token-Count");
        call.head.fields.push("Token-Count", tokens);
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 503, "{tokens}");
    }
    assert_eq!(site.model_arrivals(), 0);
    for number in 0..10 {
        let response = Call::prompt("/note/1", &format!("b{number}"))
            .send(&site.router)
            .await;
        assert_eq!((response.status, response.whole), (200, true));
    }
}

/// Guards against invalid datagrams that crash the process or stop its gossip.
#[actix_rt::test]
async fn datagrams_that_are_no_gossip_change_nothing() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let mut bytes = vec![0; rng.gen_range(0..400)];
        rng.fill(&mut bytes[..]);
        // Small values are likely to be valid lengths and variant numbers of messages.
        bytes.iter_mut().for_each(|byte| *byte %= 8);
        socket.send_to(&bytes, site.router.gossip).expect("sent");
    }
    let response = Call::valid("GET", "/lookup/1", "a1")
        .send(&site.router)
        .await;
    assert_eq!(response.status, 200);
}

/// Guards against using a removed upstream or a revoked API key again after a restart: without the
/// store, the router could adopt outdated knowledge from the first source that responds.
#[actix_rt::test]
async fn router_that_restarts_without_the_store_uses_nothing_that_is_gone() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    let key = "servers/d2";
    site.store
        .set(key, Some(&entry("desk", &other, "ready", 1)));
    site.store.set("servers/d1", None);
    let mut config = configuration(2);
    config["tenants"] = serde_json::json!([
        {"name": "counter", "apiKeys": ["new-key"], "priority": 1},
    ]);
    let text = config.to_string();
    site.store.set("op/config", Some(text.as_bytes()));
    let deadline = std::time::Instant::now() + TIMEOUT;
    while Call::valid("GET", "/lookup/1", "a0")
        .send(&site.router)
        .await
        .status
        != 401
    {
        assert!(
            std::time::Instant::now() < deadline,
            "the revoked key is still accepted"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let before = site.desk.arrivals().len();
    let silent = Store::bind().await.expect("a store");
    silent.set_mode(Mode::Silent);
    let restarted = Router::start("r2", silent.address(), &[site.router.control]);
    let (mut served, mut number) = (0, 0);
    while served < 10 {
        assert!(
            std::time::Instant::now() < deadline,
            "no request was served in time"
        );
        number += 1;
        let old = Call::valid("GET", "/lookup/1", &format!("o{number}"));
        if let Ok(response) = old.send_to(restarted.client).await {
            assert!([401, 503].contains(&response.status), "{}", response.status);
        }
        let mut new = Call::valid("GET", "/lookup/1", &format!("n{number}"));
        new.head.fields.remove("Authorization");
        new.head.fields.push("Authorization", "Token new-key");
        if let Ok(response) = new.send_to(restarted.client).await {
            assert!([200, 503].contains(&response.status), "{}", response.status);
            served += usize::from(response.status == 200);
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(
        site.desk.arrivals().len(),
        before,
        "the removed upstream was used"
    );
    assert_eq!(other.arrivals().len(), served);
}

/// Guards against taking a stream without a length or chunks as broken because it ends with its
/// connection, and as complete although it ends inside an event.
#[actix_rt::test]
async fn stream_that_ends_with_its_connection_is_complete_unless_it_ends_inside_an_event() {
    let site = Site::start(Behaviour::Plain, Behaviour::UnframedStream(4)).await;
    for target in ["/draft/1", "/note/1"] {
        let response = Call::prompt(target, "a1").send(&site.router).await;
        assert_eq!((response.status, response.whole), (200, true), "{target}");
        assert_eq!(response.events(), [0, 1, 2, 3], "{target}");
    }
    assert_eq!(site.model_arrivals(), 2, "a complete stream was run again");
    for model in &site.models {
        model.set_default(Behaviour::UnframedCutStream(2));
    }
    let response = Call::prompt("/note/1", "a2").send(&site.router).await;
    assert!(!response.whole, "a truncated stream looks complete");
    // The other engine is asked for the rest of a stream that may be resumed.
    let first = site.model_arrivals();
    let response = Call::prompt("/draft/1", "a3").send(&site.router).await;
    assert!(!response.whole, "a truncated stream looks complete");
    assert_eq!(response.events(), [0, 1]);
    assert_eq!(site.model_arrivals(), first + 2);
}
