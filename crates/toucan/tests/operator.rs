//! Tests of `status`, `explain` and `drain` against a stand-in for the operator port.

mod support;

use std::{net::SocketAddr, rc::Rc, sync::mpsc, thread};

use support::{toucan, Run};
use tsw_fake::http;

/// Serves the operator calls of one router, for as long as the test process runs.
fn router() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let handler: http::Handler = Rc::new(|call| Box::pin(async move { answer(&call) }));
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = http::Server::bind(any, handler).await.expect("a free port");
            sender.send(server.address()).expect("received");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("an address")
}

fn answer(call: &http::Call) -> http::HttpResponse {
    let body = match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/v1/status") => r#"{"host":"r1","revision":7}"#,
        ("GET", "/v1/explain/a/b c") => r#"{"request_id":"a/b c"}"#,
        ("POST", "/v1/drain") => r#"{"draining":true}"#,
        _ => return http::not_found(call),
    };
    let value: serde_json::Value = serde_json::from_str(body).expect("JSON");
    http::json(awc::http::StatusCode::OK, &value)
}

fn ask(command: &str, address: SocketAddr) -> Run {
    toucan(&[command, &address.to_string()])
}

/// Guards against calls that do not fit the operator port.
#[test]
fn the_answer_of_the_router_is_shown() {
    let address = router();
    let run = ask("status", address);
    assert_eq!((run.code, run.err.as_str()), (0, ""), "{run:?}");
    assert!(run.out.contains("\"revision\": 7"), "{run:?}");
    let run = ask("drain", address);
    assert!(
        run.code == 0 && run.out.contains("\"draining\": true"),
        "{run:?}"
    );
}

/// Guards against a request identifier that becomes part of the path.
#[test]
fn an_identifier_is_encoded() {
    let run = toucan(&["explain", &router().to_string(), "a/b c"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("a/b c"), "{run:?}");
}

/// Guards against an unknown request that looks like a failure of the router.
#[test]
fn an_unknown_request_is_named() {
    let run = toucan(&["explain", &router().to_string(), "q1"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("does not know request q1"), "{run:?}");
}

/// Guards against an unreachable router whose error is shown twice or without advice.
#[test]
fn an_unreachable_router_is_named_once() {
    // Bound and not listening: a port that is merely free is soon that of another test.
    let closed = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let closed = closed.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    closed.bind(&any.into()).expect("a free port");
    let address = closed.local_addr().expect("bound").as_socket();
    let address = address.expect("an address of the internet");
    for command in ["status", "drain"] {
        let run = ask(command, address);
        assert_eq!(run.code, 1, "{run:?}");
        let text = format!("cannot reach a router at {address}");
        assert_eq!(run.err.matches(&text).count(), 1, "{run:?}");
        assert!(run.err.contains("operator address"), "{run:?}");
    }
}
