//! Where a request would go, as a router explains it without sending the request.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Call, Site};
use serde_json::Value;
use tsw_fake::worker::Behaviour;

/// The value is replaced by the host of the test configuration.
const HOST_FIELD: (&str, &str) = ("toucan-host", "");

async fn ask(site: &Site, fields: &[(&'static str, &str)]) -> (u16, Value) {
    let mut call = Call::new("GET", "/plan");
    call.head.fields.push("Connection", "close");
    let host = call.head.fields.text("Host").expect("a host").to_owned();
    for (name, value) in fields {
        let value = if *name == HOST_FIELD.0 {
            host.clone()
        } else {
            (*value).to_owned()
        };
        call.head.fields.push(*name, value);
    }
    let response = call.send_to(site.router.metrics).await.expect("a response");
    let body = serde_json::from_slice(&response.body).expect("JSON");
    (response.status, body)
}

/// Guards against an explanation that differs from what happens to the request, or that sends it.
#[actix_rt::test]
async fn plan_names_the_upstream_that_gets_the_request() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let prompt = [
        HOST_FIELD,
        ("toucan-path", "/draft/1"),
        ("toucan-team", "counter"),
        ("toucan-tokens", "800"),
        ("toucan-output", "50"),
        ("toucan-parts", "1:500,9:300"),
    ];
    let (status, plan) = ask(&site, &prompt).await;
    assert_eq!(status, 200, "{plan}");
    assert_eq!(plan["service"], "model");
    assert_eq!(plan["decision"]["do"], "start");
    let candidates = plan["candidates"].as_array().expect("a list");
    assert_eq!(candidates[0]["upstream"], plan["decision"]["upstream"]);
    assert_eq!(candidates[0]["uncached_tokens"], 800);
    assert_eq!(plan["fair_share"], Value::Null, "there is enough for all");
    assert_eq!(site.model_arrivals(), 0, "nothing is sent");
    let sent = Call::prompt("/draft/1", "a1").send(&site.router).await;
    assert_eq!(sent.status, 200);
    assert_eq!(site.model_arrivals(), 1);
}

/// Guards against a router that fails, or explains something else, when the question is malformed.
#[actix_rt::test]
async fn malformed_questions_get_a_typed_error() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(3)).await;
    let path = ("toucan-path", "/draft/1");
    let cases = [
        (vec![path], 400, "toucan-host is missing"),
        (vec![HOST_FIELD], 400, "toucan-path is missing"),
        (
            vec![HOST_FIELD, ("toucan-path", "/nowhere/")],
            404,
            "no such route",
        ),
        (
            vec![HOST_FIELD, path, ("toucan-tokens", "-1")],
            400,
            "toucan-tokens is no number of tokens up to 4294967296",
        ),
        (
            vec![
                HOST_FIELD,
                path,
                ("toucan-tokens", "9"),
                ("toucan-parts", "x"),
            ],
            400,
            "toucan-parts is no list of ID:TOKENS with hexadecimal identifiers",
        ),
    ];
    for (fields, status, error) in cases {
        let (found, body) = ask(&site, &fields).await;
        assert_eq!((found, &body["error"]), (status, &Value::from(error)));
    }
}
