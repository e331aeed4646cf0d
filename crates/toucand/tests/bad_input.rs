//! Guards against invalid requests that are run, that are not refused with the expected status and
//! code, or that disturb other requests.

mod support;

use std::{
    cell::RefCell,
    io::{Read as _, Write as _},
    net::{Shutdown, TcpStream},
    rc::Rc,
    time::Duration,
};

use awc::{http::StatusCode, ClientRequest};
use support::{Engine, EngineLog, Router, Upstream, OUTSIDER_TOKEN, TOKEN};

const BODY: &str = r#"{"prompt":"x","max_tokens":3}"#;

struct Case {
    name: &'static str,
    request: ClientRequest,
    body: String,
    status: StatusCode,
    code: &'static str,
}

fn cases(router: &Router) -> Vec<Case> {
    let client = awc::Client::default();
    let post = |rest: &str| client.post(router.call_url(rest)).bearer_auth(TOKEN);
    let case = |name, request, body: &str, status, code| Case {
        name,
        request,
        body: body.to_owned(),
        status: StatusCode::from_u16(status).expect("a status"),
        code,
    };
    let without_token = client.post(router.call_url("reviews"));
    let unknown_token = client.post(router.call_url("reviews"));
    let without_share = client.post(router.call_url("reviews"));
    let unknown_path = client.post(format!("http://{}/v2", router.ports.caller));
    vec![
        case("no token", without_token, BODY, 401, "credential"),
        case(
            "wrong token",
            unknown_token.bearer_auth("guess"),
            BODY,
            401,
            "credential",
        ),
        case(
            "no share",
            without_share.bearer_auth(OUTSIDER_TOKEN),
            BODY,
            403,
            "share",
        ),
        case("unknown service", post("nothing"), BODY, 404, "service"),
        case("unknown path", unknown_path, BODY, 404, "path"),
        case(
            "malformed deadline",
            post("reviews").insert_header(("toucan-deadline-ms", "soon")),
            BODY,
            400,
            "header",
        ),
        case(
            "expired deadline",
            post("reviews").insert_header(("toucan-deadline-ms", "0")),
            BODY,
            503,
            "deadline",
        ),
        case(
            "malformed request identifier",
            post("reviews").insert_header(("toucan-request-id", "two words")),
            BODY,
            400,
            "header",
        ),
        case(
            "oversized body",
            post("reviews"),
            &"x".repeat(1_000_001),
            413,
            "body-large",
        ),
        case("no JSON", post("reviews"), "{", 422, "body"),
        case("no prompt", post("reviews"), "{}", 422, "body"),
        case("no key", post("pickups"), "{}", 422, "key-missing"),
        case(
            "malformed key",
            post("pickups").insert_header(("toucan-key", "x.y")),
            "{}",
            422,
            "key",
        ),
    ]
}

async fn check_refusal(case: Case) {
    let Case {
        name,
        request,
        body,
        status,
        code,
    } = case;
    let mut response = request.send_body(body).await.expect(name);
    assert_eq!(response.status(), status, "{name}");
    let header = response.headers().get("toucan-outcome").cloned();
    assert_eq!(header.expect(name).as_bytes(), b"not-run", "{name}");
    let body: serde_json::Value = response.json().await.expect(name);
    assert_eq!(body["code"], code, "{name}: {body}");
    assert_eq!(body["outcome"], "not-run", "{name}");
    assert!(body["request_id"].is_string(), "{name}");
}

#[actix_rt::test]
async fn invalid_requests_are_refused_without_disturbing_a_stream() {
    let journal = Rc::new(RefCell::new(EngineLog::default()));
    let slow = Engine {
        gap: Duration::from_millis(20),
        break_after: None,
    };
    let address = support::engine(0, slow, journal.clone()).await;
    let upstream = Upstream::engine(address);
    let router = Router::start(&[upstream]).await;
    let request = awc::Client::default()
        .post(router.call_url("reviews"))
        .bearer_auth(TOKEN);
    let stream = actix_rt::spawn(async move {
        let sent = request.send_body(r#"{"prompt":"x","max_tokens":60}"#).await;
        let mut response = sent.expect("a response");
        response.body().await.expect("a whole body")
    });
    while journal.borrow().started.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    for case in cases(&router) {
        check_refusal(case).await;
    }
    send_truncated_body(&router);
    send_non_http(&router);
    let events = support::events(&stream.await.expect("the stream ended"));
    assert_eq!(events.indices, (0..60).collect::<Vec<_>>());
    assert_eq!(events.end.expect("an end event")["outcome"], "complete");
    assert_eq!(
        journal.borrow().started.len(),
        1,
        "an invalid request was run"
    );
}

/// Closes the sending side of the connection in the middle of a body.
fn send_truncated_body(router: &Router) {
    let mut stream = TcpStream::connect(router.ports.caller).expect("connected");
    let head = format!(
        "POST /v1/call/reviews HTTP/1.1\r\nhost: r1\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 500\r\n\r\n{{\"prompt\""
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.shutdown(Shutdown::Write).expect("closed");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response);
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Sends bytes that are not HTTP.
fn send_non_http(router: &Router) {
    let mut stream = TcpStream::connect(router.ports.caller).expect("connected");
    stream.write_all(&[0xff; 4_096]).expect("sent");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response);
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
}

#[actix_rt::test]
async fn refused_booking_returns_a_permit() {
    let executions = Rc::new(RefCell::new(0));
    let address = support::worker(Duration::ZERO, executions.clone()).await;
    let upstream = Upstream::worker(address, 1);
    let router = Router::start(&[upstream]).await;
    let url = router.call_url("pickups");
    let client = awc::Client::default();
    let sent = client.post(&url).bearer_auth(TOKEN).send_body("{}").await;
    let body: serde_json::Value = sent.expect("a response").json().await.expect("JSON");
    assert_eq!(*executions.borrow(), 0);
    let key = format!("{}.first", body["permit"].as_str().expect("a permit"));
    let request = client.post(&url).bearer_auth(TOKEN);
    let request = request.insert_header(("toucan-key", key));
    let response = request.send_body("{}").await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(*executions.borrow(), 1);
}
