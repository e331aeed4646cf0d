//! A router on the users' platform, as a process, against stand-ins of the store and of upstreams.
//! Each test names the failure that it guards against.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use bytes::BytesMut;
use fleet::{entry, read, until, Call, Router, Site, HOST, PATIENCE};
use rustix::process::Signal;
use tokio::{io::AsyncWriteExt as _, net::TcpStream};
use tsw_fake::{
    store::{Mode, Store},
    worker::{Behaviour, Worker},
};
use tsw_http::{connection::Connection, exchange::Exchange};

#[actix_rt::test]
async fn request_reaches_its_upstream_unchanged_but_for_what_the_router_sets() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut call = Call::proper("POST", "/book/x%2f..//y?q=1", "a1").body("two trucks");
    for forged in [
        "Tenant-Name",
        "Expect-Instance",
        "Kv-Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
    ] {
        call.head.fields.push(forged, "forged");
    }
    call.head.fields.push("X-Other", "kept");
    let answer = call.send(&site.router).await;
    assert_eq!((answer.status, answer.text()), (200, "answer to a1"));
    assert_eq!(answer.fields.text("Server-Stamp"), Some("of-a1"));
    let arrival = site.desk.arrivals().remove(0);
    assert_eq!(&arrival.head.target[..], b"/book/x%2f..//y?q=1");
    assert_eq!(&arrival.body[..], b"two trucks");
    let fields = &arrival.head.fields;
    let all = |name| fields.get_all(name).map(<[u8]>::to_vec).collect::<Vec<_>>();
    assert_eq!(all("Tenant-Name"), [b"counter".to_vec()]);
    assert_eq!(all("Expect-Instance"), [b"d1".to_vec()]);
    assert_eq!(all("Attempt-Id"), [b"a1".to_vec()]);
    assert_eq!(fields.text("X-Other"), Some("kept"));
    assert_eq!(fields.text("Host"), Some(HOST));
    for hidden in ["Authorization", "Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From"] {
        assert_eq!(fields.get(hidden), None, "{hidden} reached the upstream");
    }
    let left: u64 = fields
        .text("Deadline-Ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!(left <= 15_000, "more time than the client has: {left}");
}

/// Guards against a body that is cut or mixed up where it arrives in pieces, or that takes up a part of
/// the next request.
#[actix_rt::test]
async fn bodies_that_arrive_in_pieces_are_passed_on_whole() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let stream = TcpStream::connect(site.router.client).await;
    let mut stream = stream.expect("a connection");
    let body: Vec<u8> = (0..90_000u32).map(|at| (at % 251) as u8).collect();
    let mut sent = Vec::new();
    for id in ["a1", "a2"] {
        let mut call = Call::proper("POST", "/book/1", id);
        call.head
            .fields
            .push("Content-Length", body.len().to_string());
        let mut head = BytesMut::new();
        call.head.write(&mut head);
        sent.extend_from_slice(&head);
        sent.extend_from_slice(&body);
    }
    for piece in sent.chunks(13_001) {
        stream.write_all(piece).await.expect("sent");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    until("both requests arrive", || site.desk.arrivals().len() == 2).await;
    for arrival in site.desk.arrivals() {
        assert!(arrival.body[..] == body[..], "the body differs");
    }
}

#[actix_rt::test]
async fn requests_that_are_not_allowed_reach_no_upstream() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let status = |call: Call| {
        let router = &site.router;
        async move { call.send(router).await.status }
    };
    assert_eq!(status(Call::proper("GET", "/nowhere/", "a1")).await, 404);
    assert_eq!(status(Call::proper("GET", "/lookup", "a1")).await, 404);
    let mut wrong = Call::proper("GET", "/lookup/1", "a2");
    wrong.head.fields.remove("Authorization");
    assert_eq!(status(wrong.clone()).await, 401);
    wrong.head.fields.push("Authorization", "Token wrong");
    assert_eq!(status(wrong).await, 401);
    let mut both = Call::proper("POST", "/book/1", "a3").body("body");
    both.head.fields.push("Transfer-Encoding", "chunked");
    assert_eq!(
        status(both).await,
        400,
        "a second request could hide in the body"
    );
    assert!(site.desk.arrivals().is_empty());
    let mut public = Call::proper("GET", "/open/1", "a4");
    public.head.fields.remove("Authorization");
    assert_eq!(status(public).await, 200);
}

#[actix_rt::test]
async fn router_without_a_configuration_answers_that_it_did_not_run_the_request() {
    let store = Store::bind().await.expect("a store");
    store.set_mode(Mode::Silent);
    let router = Router::start("r1", store.address(), &[]);
    let call = Call::proper("GET", "/lookup/1", "a1");
    let end = std::time::Instant::now() + PATIENCE;
    let answer = loop {
        match call.send_to(router.client).await {
            Ok(answer) => break answer,
            Err(_) => assert!(
                std::time::Instant::now() < end,
                "the router does not listen"
            ),
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(answer.status, 503);
    assert!(answer.fields.get("Retry-After").is_some());
    let ready = router
        .get(router.ready, "/api/ready")
        .await
        .expect("an answer");
    assert_eq!(ready.status, 503);
}

#[actix_rt::test]
async fn stream_that_breaks_within_an_event_goes_on_at_another_upstream() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(6)).await;
    // Prompts with the same parts go to the same upstream.
    Call::prompt("/draft/1", "a1").send(&site.router).await;
    let first = site
        .models
        .iter()
        .position(|model| !model.arrivals().is_empty());
    let first = &site.models[first.expect("one got the request")];
    first.script(&[Behaviour::ResetStream(2)]);
    let answer = Call::prompt("/draft/1", "a2").send(&site.router).await;
    assert!(answer.whole);
    assert_eq!(answer.events(), [0, 1, 2, 3, 4, 5], "each event once");
    let resumed = site.models.iter().flat_map(Worker::arrivals);
    let resumed = resumed.filter(|arrival| arrival.head.fields.text("Last-Event-Id") == Some("1"));
    assert_eq!(resumed.count(), 1);
}

#[actix_rt::test]
async fn stream_that_may_not_be_resumed_does_not_look_complete_when_it_breaks() {
    let site = Site::start(Behaviour::Plain, Behaviour::ResetStream(2)).await;
    let answer = Call::prompt("/note/1", "a1").send(&site.router).await;
    assert_eq!((answer.status, answer.events()), (200, vec![0, 1]));
    assert!(!answer.whole, "the client takes a part for the whole");
    assert_eq!(site.model_arrivals(), 1);
}

#[actix_rt::test]
async fn booking_whose_answer_is_lost_is_not_run_again() {
    let site = Site::start(Behaviour::Reset, Behaviour::Stream(3)).await;
    let answer = Call::proper("POST", "/book/1", "a1")
        .body("truck")
        .send(&site.router)
        .await;
    assert_eq!(answer.status, 502, "the booking may have run");
    assert_eq!(site.desk.arrivals().len(), 1);
}

#[actix_rt::test]
async fn booking_that_was_not_run_is_tried_elsewhere() {
    let site = Site::start(Behaviour::NotRun, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Plain).await.expect("an upstream");
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    let mut number = 0;
    while other.arrivals().is_empty() {
        number += 1;
        assert!(number < 100, "the second upstream gets nothing");
        let id = format!("a{number}");
        let answer = Call::proper("POST", "/book/1", &id)
            .body("truck")
            .send(&site.router)
            .await;
        // Until the second upstream is known, nothing else can run it.
        let expected = if other.arrivals().is_empty() {
            503
        } else {
            200
        };
        assert_eq!(answer.status, expected);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

#[actix_rt::test]
async fn lookup_that_fails_is_tried_again_and_the_last_failure_is_passed_on() {
    let site = Site::start(Behaviour::Failure, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Failure).await.expect("an upstream");
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    let end = std::time::Instant::now() + PATIENCE;
    let mut number = 0;
    while other.arrivals().is_empty() || site.desk.arrivals().is_empty() {
        assert!(
            std::time::Instant::now() < end,
            "only one upstream is tried"
        );
        number += 1;
        let id = format!("a{number}");
        let answer = Call::proper("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        assert_eq!((answer.status, answer.text()), (500, "fail"));
        assert_eq!(
            answer.fields.text("Server-Stamp"),
            Some(&*format!("of-{id}"))
        );
    }
}

#[actix_rt::test]
async fn answer_without_a_length_is_complete_unless_it_is_reset() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    site.desk.script(&[
        Behaviour::Unframed,
        Behaviour::UnframedReset,
        Behaviour::Truncated,
    ]);
    let answer = Call::proper("POST", "/book/1", "a1")
        .body("x")
        .send(&site.router)
        .await;
    assert_eq!((answer.status, answer.text()), (200, "answer to a1"));
    for id in ["a2", "a3"] {
        let answer = Call::proper("POST", "/book/1", id)
            .body("x")
            .send(&site.router)
            .await;
        assert_eq!(answer.status, 502, "a part was taken for the whole");
    }
}

#[actix_rt::test]
async fn answers_to_other_requests_are_never_passed_on() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    site.desk.script(&[
        Behaviour::ExtraResponse,
        Behaviour::Plain,
        Behaviour::ForeignResponse,
    ]);
    for id in ["a1", "a2", "a3", "a4"] {
        let answer = Call::proper("POST", "/book/1", id)
            .body("x")
            .send(&site.router)
            .await;
        assert_eq!(
            (answer.status, answer.text()),
            (200, &*format!("answer to {id}"))
        );
    }
}

/// Guards against a late copy of an earlier response that is taken for the answer to the next request on
/// its connection, so that a request that ran is said not to have run, or is run again.
#[actix_rt::test]
async fn late_copies_that_name_no_request_are_not_believed() {
    for late in [
        Behaviour::UnidentifiedNotRun,
        Behaviour::UnidentifiedFailure,
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
        site.desk.script(&[Behaviour::Plain, late]);
        let book = |id| Call::proper("POST", "/book/1", id).body("x");
        assert_eq!(book("a1").send(&site.router).await.status, 200);
        let answer = book("a2").send(&site.router).await;
        assert_eq!(answer.status, 502, "{late:?}: {}", answer.text());
        let arrivals = site.desk.arrivals();
        let runs = arrivals
            .iter()
            .filter(|found| found.head.fields.text("Attempt-Id") == Some("a2"));
        assert_eq!(runs.count(), 1, "{late:?}");
    }
}

#[actix_rt::test]
async fn upstream_is_freed_when_its_client_leaves() {
    let site = Site::start(Behaviour::Silent, Behaviour::Stall(1)).await;
    for (target, service) in [("/lookup/1", "desk"), ("/note/1", "model")] {
        let call = Call::prompt(target, service);
        let connection = Connection::open(site.router.client, PATIENCE)
            .await
            .expect("a connection");
        let arrived = || site.desk.arrivals().len() + site.model_arrivals();
        let before = arrived();
        {
            let sent = Exchange::open(connection, &call.head, call.body.clone());
            let mut sent = std::pin::pin!(sent);
            let end = std::time::Instant::now() + PATIENCE;
            while arrived() == before {
                assert!(
                    std::time::Instant::now() < end,
                    "nothing reaches the upstream"
                );
                let _ = actix_rt::time::timeout(Duration::from_millis(20), &mut sent).await;
                if service == "model" && arrived() > before {
                    break;
                }
            }
        }
        let left = || {
            let models = site.models.iter().flat_map(Worker::abandoned);
            models.chain(site.desk.abandoned()).any(|id| id == service)
        };
        until("the end of the request at the upstream", left).await;
    }
}

/// Guards against a request that crashes one upstream after the other as its client sends it again,
/// at any router.
#[actix_rt::test]
async fn request_that_crashed_three_upstreams_is_refused_by_all_routers() {
    const CRASHING: &str = "{\"prompt\":\"crash\"}";
    let site = Site::start(Behaviour::Plain, Behaviour::ResetOnBody(CRASHING, 3)).await;
    let second = Router::start("r2", site.store.address(), &[site.router.control]);
    second.wait_ready().await;
    let call = |id: &str, body| {
        let mut call = Call::proper("POST", "/draft/1", id);
        call.head.fields.push("Model-Name", "m");
        call.head.fields.push("Token-Count", "1000,50");
        call.head
            .fields
            .push("Prompt-Prefix", "aa:400,bb:500,cc:100");
        call.body(body)
    };
    let crashes = |site: &Site| {
        let arrivals = site.models.iter().flat_map(Worker::arrivals);
        arrivals.filter(|found| found.body == CRASHING).count()
    };
    let mut number = 0;
    while crashes(&site) < 3 {
        number += 1;
        assert!(number < 10, "the request reaches no upstream");
        let id = format!("a{number}");
        let answer = call(&id, CRASHING).send(&site.router).await;
        assert_eq!(answer.status, 502, "{}", answer.text());
    }
    for router in [&site.router, &second] {
        let end = std::time::Instant::now() + PATIENCE;
        loop {
            number += 1;
            let id = format!("a{number}");
            let answer = call(&id, CRASHING).send(router).await;
            if answer.status == 503 && answer.text().contains("crashed") {
                break;
            }
            assert!(std::time::Instant::now() < end, "not refused");
        }
    }
    // The news travels within the three further attempts that the operators allow.
    assert!(crashes(&site) <= 6, "{} upstreams crashed", crashes(&site));
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        number += 1;
        let id = format!("a{number}");
        let answer = call(&id, "{\"prompt\":\"fine\"}").send(&second).await;
        if answer.status == 200 {
            break;
        }
        assert!(
            std::time::Instant::now() < end,
            "another request is refused"
        );
    }
}

#[actix_rt::test]
async fn planned_stop_finishes_what_runs_and_serves_clients_that_still_come() {
    let mut site = Site::start(Behaviour::Plain, Behaviour::Stall(2)).await;
    let call = Call::prompt("/draft/1", "a1");
    let connection = Connection::open(site.router.client, PATIENCE)
        .await
        .expect("a connection");
    let exchange = Exchange::open(connection, &call.head, call.body.clone()).await;
    let exchange = exchange.expect("a stream");
    let idle = Connection::open(site.router.client, PATIENCE)
        .await
        .expect("a connection");
    site.models
        .iter()
        .for_each(|model| model.script(&[Behaviour::Stream(5)]));
    site.router.signal(Signal::TERM);
    let end = std::time::Instant::now() + PATIENCE;
    while site
        .router
        .get(site.router.ready, "/api/ready")
        .await
        .map(|a| a.status)
        != Some(503)
    {
        assert!(
            std::time::Instant::now() < end,
            "the router still says that it is ready"
        );
    }
    let late = Call::proper("GET", "/lookup/1", "a2");
    let late = Exchange::open(idle, &late.head, late.body.clone())
        .await
        .expect("an answer");
    let late = read(late).await.expect("an answer");
    assert_eq!(late.status, 200);
    assert!(late.fields.contains_token("connection", "close"));
    // The first upstream stalls; the stream goes on at the other one although the router stops.
    let answer = read(exchange).await.expect("a stream");
    assert!(answer.whole);
    assert_eq!(answer.events(), [0, 1, 2, 3, 4]);
    let end = std::time::Instant::now() + PATIENCE;
    let status = loop {
        match site.router.process.try_wait().expect("a child") {
            Some(status) => break status,
            None => assert!(std::time::Instant::now() < end, "the process does not end"),
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(status.success());
}

#[actix_rt::test]
async fn hangup_and_broken_settings_stop_nothing() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    std::fs::write(&site.router.settings, "interface: platform\nhost: [").expect("written");
    site.router.signal(Signal::HUP);
    for number in 0..10 {
        let id = format!("a{number}");
        let answer = Call::proper("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        assert_eq!(answer.status, 200);
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn body_in_chunks_and_a_long_head_are_handled() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut chunked = Call::proper("POST", "/book/1", "a1");
    chunked.head.fields.push("Transfer-Encoding", "chunked");
    chunked.body = "5\r\ntruck\r\n0\r\n\r\n".into();
    assert_eq!(chunked.send(&site.router).await.status, 200);
    assert_eq!(&site.desk.arrivals()[0].body[..], b"truck");
    let mut long = Call::proper("GET", "/lookup/1", "a2");
    long.head.fields.push("X-Long", "x".repeat(20_000));
    assert_eq!(long.send(&site.router).await.status, 431);
    let mut big = Call::proper("POST", "/book/1", "a3");
    big.head.fields.push("Content-Length", "200000");
    assert_eq!(big.send(&site.router).await.status, 413);
    assert_eq!(site.desk.arrivals().len(), 1);
}

#[actix_rt::test]
async fn idle_connections_do_not_take_the_descriptors_that_other_clients_need() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut open = Vec::new();
    // The settings of these tests allow 20 descriptors, of which clients may keep 8.
    for _ in 0..12 {
        let connection = Connection::open(site.router.client, PATIENCE).await;
        open.push(connection.expect("a connection"));
    }
    site.wait_metric("relay_clients 12").await;
    let mut closed = 0;
    for (number, connection) in open.into_iter().enumerate() {
        let call = Call::proper("GET", "/lookup/1", &format!("a{number}"));
        let exchange = Exchange::open(connection, &call.head, call.body.clone()).await;
        let answer = read(exchange.expect("an answer")).await.expect("an answer");
        assert_eq!(answer.status, 200);
        closed += usize::from(answer.fields.contains_token("connection", "close"));
    }
    assert!(
        closed >= 4,
        "{closed} of 12 connections were closed after their answer"
    );
}
