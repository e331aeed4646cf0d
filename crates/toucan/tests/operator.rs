//! Tests of `toucan status`, `toucan explain` and `toucan drain` against a fake operator port.

mod support;

use std::{net::SocketAddr, rc::Rc, sync::mpsc, thread};

use support::{toucan, Run};
use tsw_fake::http;

/// Starts a fake operator port that runs until the test process ends, and returns its address.
fn start_router() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let handler: http::Handler = Rc::new(|call| Box::pin(async move { respond(&call) }));
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = http::Server::bind(any, handler).await.expect("a free port");
            sender.send(server.address()).expect("received");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("an address")
}

fn respond(call: &http::Call) -> http::HttpResponse {
    let body = match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/v1/status") => r#"{"host":"r1","revision":7}"#,
        ("GET", "/v1/explain/a/b c") => r#"{"request_id":"a/b c"}"#,
        ("POST", "/v1/drain") => r#"{"draining":true}"#,
        _ => return http::not_found(call),
    };
    let value: serde_json::Value = serde_json::from_str(body).expect("JSON");
    http::json(awc::http::StatusCode::OK, &value)
}

fn run_command(command: &str, address: SocketAddr) -> Run {
    toucan(&[command, &address.to_string()])
}

/// Guards against requests that do not match the operator API.
#[test]
fn the_answer_of_the_router_is_shown() {
    let address = start_router();
    let run = run_command("status", address);
    assert_eq!((run.code, run.err.as_str()), (0, ""), "{run:?}");
    assert!(run.out.contains("\"revision\": 7"), "{run:?}");
    let run = run_command("drain", address);
    assert!(
        run.code == 0 && run.out.contains("\"draining\": true"),
        "{run:?}"
    );
}

/// Guards against a request identifier that is not percent-encoded in the path.
#[test]
fn an_identifier_is_encoded() {
    let run = toucan(&["explain", &start_router().to_string(), "a/b c"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("a/b c"), "{run:?}");
}

/// Guards against an unknown request that is reported as an error of the router.
#[test]
fn an_unknown_request_is_named() {
    let run = toucan(&["explain", &start_router().to_string(), "q1"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("does not know request q1"), "{run:?}");
}

/// Guards against an error for an unreachable router that is printed twice or without advice.
#[test]
fn an_unreachable_router_is_named_once() {
    // The port is bound but not listening. A free port could be taken by another test.
    let closed = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let closed = closed.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    closed.bind(&any.into()).expect("a free port");
    let address = closed.local_addr().expect("bound").as_socket();
    let address = address.expect("an IP address");
    for command in ["status", "drain"] {
        let run = run_command(command, address);
        assert_eq!(run.code, 1, "{run:?}");
        let text = format!("cannot reach a router at {address}");
        assert_eq!(run.err.matches(&text).count(), 1, "{run:?}");
        assert!(run.err.contains("operator address"), "{run:?}");
    }
}
