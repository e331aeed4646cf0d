//! Upstreams whose responses end in their heads, or that fail a stream that another upstream began, with a
//! router process.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Call, Site};
use tsw_fake::worker::Behaviour;

/// Longer than the head of a response of the stand-in.
const HEAD_BYTES: usize = 120;

/// Guards against a response that ended within its head and reaches the client as a whole success with an
/// empty or short body.
#[actix_rt::test]
async fn response_that_ends_in_its_head_is_no_success() {
    let site = Site::start(Behaviour::Plain, Behaviour::Plain).await;
    for bytes in (0..HEAD_BYTES).step_by(7).chain([HEAD_BYTES]) {
        let cut = Behaviour::CutHead(bytes);
        site.desk.set_default(cut);
        site.models.iter().for_each(|model| model.set_default(cut));
        for call in [
            Call::valid("GET", "/lookup/1", "a1"),
            Call::valid("POST", "/book/1", "a2").body("truck"),
            Call::prompt("/note/1", "a3"),
            Call::prompt("/draft/1", "a4"),
        ] {
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
        for call in [
            Call::valid("GET", "/lookup/1", "a1"),
            Call::valid("POST", "/book/1", "a2").body("truck"),
            Call::prompt("/note/1", "a3"),
            Call::prompt("/draft/1", "a4"),
        ] {
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
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
        // An engine that has the prompt is chosen again.
        Call::prompt("/draft/1", "a0").send(&site.router).await;
        let [one, two] = &site.models;
        let (first_model, next_model) = if one.arrivals().is_empty() {
            (two, one)
        } else {
            (one, two)
        };
        first_model.set_default(Behaviour::ResetStream(2));
        next_model.set_default(next);
        let first = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert_eq!(next_model.arrivals().len(), 1, "{next:?}: not continued");
        assert!(!first.whole, "{next:?}: {first:?}");
        assert_eq!(first.events(), [0, 1], "{next:?}: {first:?}");
        let text = first.text();
        for foreign in ["HTTP/1.1", "fail", "answer to", "Attempt-Id"] {
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
