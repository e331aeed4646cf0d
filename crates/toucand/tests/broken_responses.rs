//! Upstreams whose responses end in their heads, or that fail a stream that another upstream began, with a
//! router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use fleet::{Call, Site, HOST};
use serde_json::Value;
use tsw_fake::worker::{Behaviour, Endless, Worker};

/// Longer than the head of a response of the stand-in.
const HEAD_BYTES: usize = 120;

/// Returns a request on a route of each kind.
fn one_of_each_kind() -> [Call; 4] {
    [
        Call::valid("GET", "/lookup/1", "a1"),
        Call::valid("POST", "/book/1", "a2").body("truck"),
        Call::prompt("/note/1", "a3"),
        Call::prompt("/draft/1", "a4"),
    ]
}

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

/// Guards against a response that ended within its head and reaches the client as a whole success with an
/// empty or short body.
#[actix_rt::test]
async fn response_that_ends_in_its_head_is_no_success() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    for bytes in (0..HEAD_BYTES).step_by(7).chain([HEAD_BYTES]) {
        let cut = Behaviour::CutHead(bytes);
        site.desk.set_default(cut);
        site.models.iter().for_each(|model| model.set_default(cut));
        for call in one_of_each_kind() {
            let response = call.send(&site.router).await;
            let target = String::from_utf8_lossy(&call.head.target);
            let what = format!("{bytes} bytes at {target}: {response:?}");
            // 503 comes from the retry budget or unreachable upstreams, before the request was sent.
            assert!([502, 503, 504].contains(&response.status), "{what}");
        }
    }
}

/// Guards against bytes without a head that reach clients as a response, for example with status 0.
#[actix_rt::test]
async fn bytes_that_are_no_response_do_not_reach_clients() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    for text in [
        "\r\n\r\n",
        "\r\n\r\ntext\r\nmore text",
        "\n\r\n\r\ntext",
        "text\r\n\r\ntext",
        "HTTP/1.1\r\n\r\n",
        "HTTP/1.1 000 None\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099 Low\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: {id}\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 200 OK\nAttempt-Id: {id}\n\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n\r\n\r\ntext",
    ] {
        let odd = Behaviour::Bytes(text);
        site.desk.set_default(odd);
        site.models.iter().for_each(|model| model.set_default(odd));
        for call in one_of_each_kind() {
            let response = call.send(&site.router).await;
            assert_eq!(response.status, 502, "{text:?}: {response:?}");
        }
    }
}

/// Guards against a proper request or response that fails because it has many header fields.
#[actix_rt::test]
async fn messages_with_many_fields_are_forwarded() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    site.desk.set_fields(&"X-Field: v\r\n".repeat(200));
    let mut call = Call::valid("POST", "/book/1", "a1").body("truck");
    for number in 0..200 {
        call.head.fields.push("X-Field", number.to_string());
    }
    let response = call.send(&site.router).await;
    assert_eq!(response.status, 200);
    assert_eq!(response.fields.get_all("x-field").count(), 200);
    let arrived = &site.desk.arrivals()[0].head.fields;
    assert_eq!(arrived.get_all("x-field").count(), 200);
}

/// Guards against the head or the text of an error in the middle of a stream, and against a stream that
/// looks complete, when the upstream that is to continue it fails.
#[actix_rt::test]
async fn error_of_the_next_upstream_is_not_part_of_a_stream() {
    for next in [
        Behaviour::Failure,
        Behaviour::NotRun,
        Behaviour::OtherUpstream,
        Behaviour::UnidentifiedFailure,
        Behaviour::UnidentifiedNotRun,
        Behaviour::Plain,
        Behaviour::Truncated,
        Behaviour::Unframed,
        Behaviour::CutHead(40),
        Behaviour::Reset,
        Behaviour::Endless(Endless::Failure),
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
        let (first_model, next_model) = in_order(&site).await;
        first_model.set_default(Behaviour::ResetStream(2));
        next_model.set_default(next);
        let first = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert_eq!(next_model.arrivals().len(), 1, "{next:?}: not continued");
        assert!(!first.whole, "{next:?}: {first:?}");
        assert_eq!(first.events(), [0, 1], "{next:?}: {first:?}");
        let text = first.text();
        for foreign in ["HTTP/1.1", "fail", "answer to", "Attempt-Id", "xxxx"] {
            assert!(!text.contains(foreign), "{next:?}: {text:?}");
        }
    }
}

/// Guards against the same on the attempt of a client that resumes its stream.
#[actix_rt::test]
async fn error_of_the_upstream_that_resumes_a_stream_is_stated_as_such() {
    for next in [
        Behaviour::Failure,
        Behaviour::NotRun,
        Behaviour::CutHead(40),
        Behaviour::Reset,
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::ResetStream(2)).await;
        let first = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert!(!first.whole, "{next:?}: {first:?}");
        site.models.iter().for_each(|model| model.set_default(next));
        let last = first.events().last().copied().expect("an event");
        let mut call = Call::prompt("/draft/1", "a2");
        call.head.fields.push("Last-Event-Id", last.to_string());
        call.head.fields.push("Resumes", "a1");
        let response = call.send(&site.router).await;
        assert_ne!(response.status, 200, "{next:?}: {response:?}");
    }
}

/// Serves a response without end on each connection, as fast as it is read.
fn serve_without_end(listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut stream = stream;
            let mut request = vec![0; 4_096];
            let read = stream.read(&mut request).unwrap_or_default();
            let text = String::from_utf8_lossy(&request[..read]).into_owned();
            let id = text
                .lines()
                .find_map(|line| line.strip_prefix("Attempt-Id: "));
            let id = id.unwrap_or_default();
            let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n\r\n");
            let filler = vec![b'x'; 65_536];
            let mut sent = stream.write_all(head.as_bytes());
            while sent.is_ok() {
                sent = stream.write_all(&filler);
            }
        });
    }
}

/// Returns how long a client reads a response until the router ends it.
fn read_to_end(router: SocketAddr, id: usize) -> Duration {
    let mut stream = TcpStream::connect(router).expect("connected");
    let request = format!(
        "GET /open/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: b{id}\r\nDeadline-Ms: 1500\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let (started, mut buffer) = (Instant::now(), vec![0; 1 << 20]);
    while started.elapsed() < Duration::from_secs(6) {
        if stream.read(&mut buffer).unwrap_or_default() == 0 {
            break;
        }
    }
    started.elapsed()
}

/// Guards against a response without end that is forwarded after the time limit of its request, because
/// neither the upstream nor the client makes the router wait.
#[actix_rt::test]
async fn response_without_end_ends_at_the_deadline() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    site.router.set_descriptors(4_000).await;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let entry = fleet::entry("desk", &site.desk, "ready", 2);
    let mut entry: Value = serde_json::from_slice(&entry).expect("JSON");
    entry["address"] = listener.local_addr().expect("bound").to_string().into();
    entry["born"] = 2_000.into();
    entry["slots"] = 100.into();
    thread::spawn(move || serve_without_end(listener));
    site.store
        .set("servers/d1", Some(entry.to_string().as_bytes()));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let router = site.router.client;
    let clients = (0..8).map(|id| thread::spawn(move || read_to_end(router, id)));
    for client in clients.collect::<Vec<_>>() {
        let took = client.join().expect("no panic");
        assert!(took < Duration::from_secs(4), "it goes on: {took:?}");
        assert!(took > Duration::from_millis(1_000), "it was cut: {took:?}");
    }
}

/// Guards against the head of a failure without end among the bytes of a stream that has begun. A client that
/// decodes chunks fails at it and so hides it.
#[actix_rt::test]
async fn head_of_a_long_failure_is_not_among_the_bytes_of_a_stream() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
    let (first_model, next_model) = in_order(&site).await;
    first_model.set_default(Behaviour::ResetStream(2));
    next_model.set_default(Behaviour::Endless(Endless::Failure));
    let call = Call::prompt("/draft/1", "a1");
    let mut bytes = bytes::BytesMut::new();
    call.head.write(&mut bytes);
    bytes.extend_from_slice(&call.body);
    let router = site.router.client;
    let client = thread::spawn(move || {
        let mut stream = TcpStream::connect(router).expect("connected");
        stream.write_all(&bytes).expect("sent");
        let mut read = Vec::new();
        let limit = (&mut stream).take(4 << 20).read_to_end(&mut read);
        limit.map(|_| read).expect("read")
    });
    fleet::wait_until("the end of the response", || client.is_finished()).await;
    let read = client.join().expect("no panic");
    assert_eq!(next_model.arrivals().len(), 1, "not continued");
    let heads = String::from_utf8_lossy(&read).matches("HTTP/1.1 ").count();
    assert_eq!(heads, 1, "{} bytes", read.len());
}
