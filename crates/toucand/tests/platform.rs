//! A router process on the users' platform, with fakes for the store and the upstreams.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use bytes::BytesMut;
use fleet::{entry, read, wait_until, Call, Router, Site, HOST, TIMEOUT};
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
    let mut call = Call::valid("POST", "/book/x%2f..//y?q=1", "a1").body("two trucks");
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
    let response = call.send(&site.router).await;
    assert_eq!((response.status, response.text()), (200, "answer to a1"));
    assert_eq!(response.fields.text("Server-Stamp"), Some("of-a1"));
    let arrival = site.desk.arrivals().remove(0);
    assert_eq!(&arrival.head.target[..], b"/book/x%2f..//y?q=1");
    assert_eq!(&arrival.body[..], b"two trucks");
    let fields = &arrival.head.fields;
    let values = |name| fields.get_all(name).map(<[u8]>::to_vec).collect::<Vec<_>>();
    assert_eq!(values("Tenant-Name"), [b"counter".to_vec()]);
    assert_eq!(values("Expect-Instance"), [b"d1".to_vec()]);
    assert_eq!(values("Attempt-Id"), [b"a1".to_vec()]);
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
    assert!(
        left <= 15_000,
        "the deadline exceeds that of the client: {left}"
    );
}

/// Guards against a body that is truncated or reordered when it arrives in pieces, or that consumes
/// part of the next request.
#[actix_rt::test]
async fn bodies_that_arrive_in_pieces_are_forwarded_complete() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let stream = TcpStream::connect(site.router.client).await;
    let mut stream = stream.expect("a connection");
    let body: Vec<u8> = (0..90_000u32).map(|at| (at % 251) as u8).collect();
    let mut sent = Vec::new();
    for id in ["a1", "a2"] {
        let mut call = Call::valid("POST", "/book/1", id);
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
    wait_until("both requests arrive", || site.desk.arrivals().len() == 2).await;
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
    assert_eq!(status(Call::valid("GET", "/nowhere/", "a1")).await, 404);
    assert_eq!(status(Call::valid("GET", "/lookup", "a1")).await, 404);
    let mut wrong = Call::valid("GET", "/lookup/1", "a2");
    wrong.head.fields.remove("Authorization");
    assert_eq!(status(wrong.clone()).await, 401);
    wrong.head.fields.push("Authorization", "Token wrong");
    assert_eq!(status(wrong).await, 401);
    let mut both = Call::valid("POST", "/book/1", "a3").body("body");
    both.head.fields.push("Transfer-Encoding", "chunked");
    assert_eq!(
        status(both).await,
        400,
        "request smuggling: the body may contain a second request"
    );
    assert!(site.desk.arrivals().is_empty());
    let mut public = Call::valid("GET", "/open/1", "a4");
    public.head.fields.remove("Authorization");
    assert_eq!(status(public).await, 200);
}

#[actix_rt::test]
async fn router_without_a_configuration_answers_that_it_did_not_run_the_request() {
    let store = Store::bind().await.expect("a store");
    store.set_mode(Mode::Silent);
    let router = Router::start("r1", store.address(), &[]);
    let call = Call::valid("GET", "/lookup/1", "a1");
    let deadline = std::time::Instant::now() + TIMEOUT;
    let response = loop {
        match call.send_to(router.client).await {
            Ok(response) => break response,
            Err(_) => assert!(
                std::time::Instant::now() < deadline,
                "the router did not accept connections"
            ),
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(response.status, 503);
    assert!(response.fields.get("Retry-After").is_some());
    let ready = router
        .get(router.ready, "/api/ready")
        .await
        .expect("a response");
    assert_eq!(ready.status, 503);
}

#[actix_rt::test]
async fn stream_that_breaks_within_an_event_goes_on_at_another_upstream() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(6)).await;
    // Requests with the same prompt prefix are routed to the same upstream.
    Call::prompt("/draft/1", "a1").send(&site.router).await;
    let first = site
        .models
        .iter()
        .position(|model| !model.arrivals().is_empty());
    let first = &site.models[first.expect("an upstream that received the request")];
    first.script(&[Behaviour::ResetStream(2)]);
    let response = Call::prompt("/draft/1", "a2").send(&site.router).await;
    assert!(response.whole);
    assert_eq!(response.events(), [0, 1, 2, 3, 4, 5], "each event once");
    let resumed = site.models.iter().flat_map(Worker::arrivals);
    let resumed = resumed.filter(|arrival| arrival.head.fields.text("Last-Event-Id") == Some("1"));
    assert_eq!(resumed.count(), 1);
}

#[actix_rt::test]
async fn stream_that_may_not_be_resumed_does_not_look_complete_when_it_breaks() {
    let site = Site::start(Behaviour::Plain, Behaviour::ResetStream(2)).await;
    let response = Call::prompt("/note/1", "a1").send(&site.router).await;
    assert_eq!((response.status, response.events()), (200, vec![0, 1]));
    assert!(!response.whole, "a truncated stream looks complete");
    assert_eq!(site.model_arrivals(), 1);
}

#[actix_rt::test]
async fn booking_whose_answer_is_lost_is_not_run_again() {
    let site = Site::start(Behaviour::Reset, Behaviour::Stream(3)).await;
    let response = Call::valid("POST", "/book/1", "a1")
        .body("truck")
        .send(&site.router)
        .await;
    assert_eq!(response.status, 502, "the booking may have run");
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
        assert!(number < 100, "the second upstream received no request");
        let id = format!("a{number}");
        let response = Call::valid("POST", "/book/1", &id)
            .body("truck")
            .send(&site.router)
            .await;
        // Until the router knows the second upstream, no other upstream can run it.
        let expected = if other.arrivals().is_empty() {
            503
        } else {
            200
        };
        assert_eq!(response.status, expected);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

#[actix_rt::test]
async fn failed_lookup_is_retried_and_the_last_failure_is_relayed() {
    let site = Site::start(Behaviour::Failure, Behaviour::Stream(3)).await;
    let other = Worker::bind(Behaviour::Failure).await.expect("an upstream");
    site.store
        .set("servers/d2", Some(&entry("desk", &other, "ready", 1)));
    let deadline = std::time::Instant::now() + TIMEOUT;
    let mut number = 0;
    while other.arrivals().is_empty() || site.desk.arrivals().is_empty() {
        assert!(
            std::time::Instant::now() < deadline,
            "only one upstream was tried"
        );
        number += 1;
        let id = format!("a{number}");
        let response = Call::valid("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        assert_eq!((response.status, response.text()), (500, "fail"));
        assert_eq!(
            response.fields.text("Server-Stamp"),
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
    let response = Call::valid("POST", "/book/1", "a1")
        .body("x")
        .send(&site.router)
        .await;
    assert_eq!((response.status, response.text()), (200, "answer to a1"));
    for id in ["a2", "a3"] {
        let response = Call::valid("POST", "/book/1", id)
            .body("x")
            .send(&site.router)
            .await;
        assert_eq!(
            response.status, 502,
            "a truncated response was taken as complete"
        );
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
        let response = Call::valid("POST", "/book/1", id)
            .body("x")
            .send(&site.router)
            .await;
        assert_eq!(
            (response.status, response.text()),
            (200, &*format!("answer to {id}"))
        );
    }
}

/// Guards against taking a late copy of an earlier response as the response to the next request on
/// the connection, so that a request that ran is reported as not run, or is run again.
#[actix_rt::test]
async fn late_copies_that_name_no_request_are_not_believed() {
    for late in [
        Behaviour::UnidentifiedNotRun,
        Behaviour::UnidentifiedFailure,
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
        site.desk.script(&[Behaviour::Plain, late]);
        let book = |id| Call::valid("POST", "/book/1", id).body("x");
        assert_eq!(book("a1").send(&site.router).await.status, 200);
        let response = book("a2").send(&site.router).await;
        assert_eq!(response.status, 502, "{late:?}: {}", response.text());
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
        let connection = Connection::open(site.router.client, TIMEOUT)
            .await
            .expect("a connection");
        let arrived = || site.desk.arrivals().len() + site.model_arrivals();
        let before = arrived();
        {
            let sent = Exchange::open(connection, &call.head, call.body.clone());
            let mut sent = std::pin::pin!(sent);
            let deadline = std::time::Instant::now() + TIMEOUT;
            while arrived() == before {
                assert!(
                    std::time::Instant::now() < deadline,
                    "the request did not reach the upstream"
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
        wait_until("the upstream request to be cancelled", left).await;
    }
}

/// Guards against a request that crashes one upstream after another because its client resends it,
/// through any router.
#[actix_rt::test]
async fn request_that_crashed_three_upstreams_is_refused_by_all_routers() {
    const CRASHING: &str = "{\"prompt\":\"crash\"}";
    let site = Site::start(Behaviour::Plain, Behaviour::ResetOnBody(CRASHING, 3)).await;
    let second = Router::start("r2", site.store.address(), &[site.router.control]);
    second.wait_ready().await;
    let call = |id: &str, body| {
        let mut call = Call::valid("POST", "/draft/1", id);
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
        assert!(number < 10, "the request did not reach enough upstreams");
        let id = format!("a{number}");
        let response = call(&id, CRASHING).send(&site.router).await;
        assert_eq!(response.status, 502, "{}", response.text());
    }
    for router in [&site.router, &second] {
        let deadline = std::time::Instant::now() + TIMEOUT;
        loop {
            number += 1;
            let id = format!("a{number}");
            let response = call(&id, CRASHING).send(router).await;
            if response.status == 503 && response.text().contains("crashed") {
                break;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "the crashing request was not refused"
            );
        }
    }
    // The finding must reach both routers within the three further attempts that operators allow.
    assert!(crashes(&site) <= 6, "{} upstreams crashed", crashes(&site));
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        number += 1;
        let id = format!("a{number}");
        let response = call(&id, "{\"prompt\":\"fine\"}").send(&second).await;
        if response.status == 200 {
            break;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "a different request was refused"
        );
    }
}

#[actix_rt::test]
async fn planned_stop_finishes_what_runs_and_serves_clients_that_still_come() {
    let mut site = Site::start(Behaviour::Plain, Behaviour::Stall(2)).await;
    let call = Call::prompt("/draft/1", "a1");
    let connection = Connection::open(site.router.client, TIMEOUT)
        .await
        .expect("a connection");
    let exchange = Exchange::open(connection, &call.head, call.body.clone()).await;
    let exchange = exchange.expect("a stream");
    let idle = Connection::open(site.router.client, TIMEOUT)
        .await
        .expect("a connection");
    site.models
        .iter()
        .for_each(|model| model.script(&[Behaviour::Stream(5)]));
    site.router.signal(Signal::TERM);
    let deadline = std::time::Instant::now() + TIMEOUT;
    while site
        .router
        .get(site.router.ready, "/api/ready")
        .await
        .map(|a| a.status)
        != Some(503)
    {
        assert!(
            std::time::Instant::now() < deadline,
            "the router still reports that it is ready"
        );
    }
    let late = Call::valid("GET", "/lookup/1", "a2");
    let late = Exchange::open(idle, &late.head, late.body.clone())
        .await
        .expect("a response");
    let late = read(late).await.expect("a response");
    assert_eq!(late.status, 200);
    assert!(late.fields.contains_token("connection", "close"));
    // The first upstream stalls. The stream resumes at the other one although the router is
    // stopping.
    let response = read(exchange).await.expect("a stream");
    assert!(response.whole);
    assert_eq!(response.events(), [0, 1, 2, 3, 4]);
    let deadline = std::time::Instant::now() + TIMEOUT;
    let status = loop {
        match site.router.process.try_wait().expect("a child") {
            Some(status) => break status,
            None => assert!(
                std::time::Instant::now() < deadline,
                "the process did not end in time"
            ),
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
        let response = Call::valid("GET", "/lookup/1", &id)
            .send(&site.router)
            .await;
        assert_eq!(response.status, 200);
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn body_in_chunks_and_a_long_head_are_handled() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut chunked = Call::valid("POST", "/book/1", "a1");
    chunked.head.fields.push("Transfer-Encoding", "chunked");
    chunked.body = "5\r\ntruck\r\n0\r\n\r\n".into();
    assert_eq!(chunked.send(&site.router).await.status, 200);
    assert_eq!(&site.desk.arrivals()[0].body[..], b"truck");
    let mut long = Call::valid("GET", "/lookup/1", "a2");
    long.head.fields.push("X-Long", "x".repeat(20_000));
    assert_eq!(long.send(&site.router).await.status, 431);
    let mut big = Call::valid("POST", "/book/1", "a3");
    big.head.fields.push("Content-Length", "200000");
    assert_eq!(big.send(&site.router).await.status, 413);
    assert_eq!(site.desk.arrivals().len(), 1);
}

#[actix_rt::test]
async fn idle_connections_do_not_take_the_descriptors_that_other_clients_need() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let mut open = Vec::new();
    // The test settings allow 20 file descriptors, of which idle clients may hold 8.
    for _ in 0..12 {
        let connection = Connection::open(site.router.client, TIMEOUT).await;
        open.push(connection.expect("a connection"));
    }
    site.wait_metric("relay_clients 12").await;
    let mut closed = 0;
    for (number, connection) in open.into_iter().enumerate() {
        let call = Call::valid("GET", "/lookup/1", &format!("a{number}"));
        let exchange = Exchange::open(connection, &call.head, call.body.clone()).await;
        let response = read(exchange.expect("a response"))
            .await
            .expect("a response");
        assert_eq!(response.status, 200);
        closed += usize::from(response.fields.contains_token("connection", "close"));
    }
    assert!(
        closed >= 4,
        "{closed} of 12 connections were closed after their response"
    );
}
