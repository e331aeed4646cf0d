//! A router whose engines crash on a line of a prompt.

mod support;

use std::time::{Duration, Instant};

use actix_rt::time;
use awc::http::StatusCode;
use support::{Router, Upstream, TOKEN};
use tsw_fake::{
    engine::{self, Fleet},
    history,
};

const ENGINES: [&str; 6] = [
    "engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6",
];
/// Line that crashes the stand-ins for engines.
const CRASHING: &str = "#crash";
/// Crash after which operators count the requests that reach engines.
const COUNTED_FROM_CRASH: u64 = 5;
/// Time after that crash from which the requests count.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of crashes after that time.
const MAX_LATE_CRASHES: u64 = 3;

async fn start_engines() -> Fleet {
    let any = "127.0.0.1:0".parse().expect("an address");
    let names = ENGINES.map(|name| (name.to_owned(), any));
    let mut options = engine::Options::default();
    options.crash.down_ms = 300;
    let fleet = Fleet::bind(&names, any, options, history::Writer::default()).await;
    fleet.expect("engines")
}

fn crashes(fleet: &Fleet) -> u64 {
    let engines = ENGINES.iter().filter_map(|name| fleet.engine(name));
    engines.map(|engine| engine.stats().crashes).sum()
}

/// Sends a prompt that no other equals, with `line` between lines that all prompts share.
async fn send(router: &Router, number: u32, line: &str) -> (StatusCode, String) {
    let prompt =
        format!("You answer briefly.\n{line}\nThe review of the north net.\nQuestion {number}?");
    let body = serde_json::json!({"prompt": prompt, "max_tokens": 3}).to_string();
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let request = client.post(router.call_url("reviews")).bearer_auth(TOKEN);
    let mut response = request.send_body(body).await.expect("a response");
    let body = response.body().await.expect("a whole body");
    (
        response.status(),
        String::from_utf8_lossy(&body).into_owned(),
    )
}

/// Guards against prompts that crash one engine after the other because of a line that they share,
/// although no two of them are equal, and against refusing sound prompts with their other lines.
#[actix_rt::test]
async fn prompts_with_a_line_that_crashes_engines_are_refused() {
    let fleet = start_engines().await;
    let upstreams = fleet
        .addresses()
        .iter()
        .zip(ENGINES)
        .map(|((_, address), name)| Upstream {
            name,
            service: "reviews",
            address: *address,
            slots: 4,
        });
    let upstreams: Vec<Upstream> = upstreams.collect();
    let router = Router::start(&upstreams).await;
    let mut number = 0;
    let mut refused = 0;
    let deadline = Instant::now() + Duration::from_secs(60);
    while crashes(&fleet) < COUNTED_FROM_CRASH && refused < 3 {
        assert!(Instant::now() < deadline, "too few engines crashed");
        number += 1;
        let (status, _) = send(&router, number, CRASHING).await;
        assert_ne!(status, StatusCode::OK);
        let before = crashes(&fleet);
        refused = if status == StatusCode::UNPROCESSABLE_ENTITY && crashes(&fleet) == before {
            refused + 1
        } else {
            0
        };
    }
    time::sleep(CONTACT_TIME).await;
    let before = crashes(&fleet);
    let mut unserved = Vec::new();
    for _ in 0..12 {
        number += 1;
        send(&router, number, CRASHING).await;
        number += 1;
        let (status, body) = send(&router, number, "A sound line.").await;
        if status != StatusCode::OK || !body.contains("\"complete\"") {
            unserved.push((status, body));
        }
    }
    let late = crashes(&fleet) - before;
    assert!(late <= MAX_LATE_CRASHES, "{late} engines crashed");
    assert!(unserved.is_empty(), "sound prompts: {unserved:?}");
}
