//! Tests of the model engines.

mod support;

use std::{net::SocketAddr, time::Instant};

use actix_http::Method;
use awc::http::StatusCode;
use serde_json::{json, Value};
use support::{any, get, is_complete, lines, pause, post, post_raw, read, run, send, until, Raw};
use tsw_fake::{engine, history, names, platform};

struct Fleet {
    fleet: engine::Fleet,
    history: tempfile::NamedTempFile,
}

impl Fleet {
    async fn start(count: usize, options: engine::Options) -> Self {
        let history = tempfile::NamedTempFile::new().expect("a file");
        let writer = history::Writer::open(Some(history.path())).expect("writable");
        let names = names::expand("e", &[any()], count, names::Step::Port).expect("an address");
        let fleet = engine::Fleet::bind(&names, any(), options, writer).await;
        let fleet = fleet.expect("a free port");
        Self { fleet, history }
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.fleet.addresses()[index].1
    }

    fn stats(&self, index: usize) -> engine::stats::Stats {
        let name = &self.fleet.addresses()[index].0;
        self.fleet.engine(name).expect("an engine").stats()
    }

    fn history(&self) -> Vec<history::Line> {
        let text = std::fs::read_to_string(self.history.path()).expect("readable");
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("a line"))
            .collect()
    }

    async fn control(&self, path: &str, body: &Value) {
        let (status, text) = post(self.fleet.control(), path, &body.to_string()).await;
        assert_eq!(status, StatusCode::OK, "{text}");
    }
}

/// Returns options with short steps and a short outage after a crash.
fn fast_options() -> engine::Options {
    let mut options = engine::Options::default();
    options.timing.base_us = 1_000;
    options.timing.slope_us = 100;
    options.timing.overload_us = 100;
    options.crash.down_ms = 200;
    options
}

fn body(id: &str, prompt: &str, max_tokens: u64, resume_from: u64) -> String {
    let body = json!({"request_id": id, "prompt": prompt, "max_tokens": max_tokens,
        "resume_from": resume_from});
    body.to_string()
}

async fn generate(address: SocketAddr, id: &str, prompt: &str, tokens: u64) -> String {
    let (status, text) = post(address, "/v1/generate", &body(id, prompt, tokens, 0)).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    text
}

/// Guards against a stream with missing or repeated tokens, or without its end line.
#[test]
fn a_response_has_contiguous_tokens_and_an_end() {
    run(async {
        let fleet = Fleet::start(1, fast_options()).await;
        let found = lines(&generate(fleet.address(0), "r", "hello", 5).await);
        assert_eq!(found.len(), 6);
        for (index, line) in found[..5].iter().enumerate() {
            assert_eq!(line["i"], index);
            assert_eq!(line["t"], engine::token("hello", index as u64));
        }
        assert_eq!(found[5], json!({"end": true, "tokens": 5}));
        let request = body("raw", "hello", 5, 0);
        let raw = post_raw(fleet.address(0), "/v1/generate", &request).await;
        assert!(is_complete(&raw), "{raw}");
    });
}

/// Guards against responses whose length always equals `max_tokens`, from which routers estimate
/// the cost.
#[test]
fn the_prompt_can_override_the_number_of_tokens() {
    run(async {
        let fleet = Fleet::start(1, fast_options()).await;
        let text = generate(fleet.address(0), "r", "x #tokens=3 y", 50).await;
        assert_eq!(lines(&text).len(), 4);
    });
}

/// Guards against a resumed stream that repeats, skips or changes tokens.
#[test]
fn another_engine_resumes_with_the_same_tokens() {
    run(async {
        let fleet = Fleet::start(2, fast_options()).await;
        let whole = generate(fleet.address(0), "r", "hello", 8).await;
        let resumed = post(fleet.address(1), "/v1/generate", &body("r", "hello", 8, 3))
            .await
            .1;
        assert_eq!(lines(&whole)[3..], lines(&resumed)[..]);
    });
}

/// Guards against an engine that continues after the caller has disconnected.
#[test]
fn a_disconnect_cancels_the_execution() {
    run(async {
        let fleet = Fleet::start(1, fast_options()).await;
        let address = fleet.address(0);
        let request = body("gone", "hello", 100_000, 0);
        let call = post(address, "/v1/generate", &request);
        let outcome = actix_rt::time::timeout(std::time::Duration::from_millis(100), call).await;
        assert!(outcome.is_err());
        until(|| async { fleet.stats(0).cancelled == 1 }).await;
        assert_eq!(fleet.stats(0).running, 0);
        let events: Vec<_> = fleet.history().iter().map(|line| line.event).collect();
        assert_eq!(events, [history::Event::Start, history::Event::Cancel]);
    });
}

/// Guards against a cancelled stream that looks complete.
#[test]
fn a_delete_ends_the_stream_without_an_end_line() {
    run(async {
        let fleet = Fleet::start(1, fast_options()).await;
        let address = fleet.address(0);
        let call = actix_rt::spawn(async move { generate(address, "r", "hello", 100_000).await });
        until(|| async { fleet.stats(0).running == 1 }).await;
        let sent = send(Method::DELETE, address, "/v1/generate/r", &[], "").await;
        assert_eq!(sent.expect("a response").1, r#"{"cancelled":1}"#);
        let text = call.await.expect("ended");
        assert!(!text.contains("end"), "{text}");
    });
}

/// Guards against overload without a penalty: a batch beyond the slots must reduce the throughput.
#[test]
fn throughput_falls_beyond_the_slots() {
    let timing = engine::timing::Timing::default();
    let rate = |running: usize| running as f64 / timing.step(running, 0).as_secs_f64();
    assert!((rate(8) - 400.0).abs() < 1.0);
    for running in 8..40 {
        assert!(rate(running + 1) < rate(running), "at {running}");
    }
}

/// Guards against a batch that exceeds its limit, and against waiting requests that are lost.
#[test]
fn requests_beyond_the_batch_limit_wait() {
    run(async {
        let mut options = fast_options();
        options.batch_limit = 4;
        let fleet = Fleet::start(1, options).await;
        let address = fleet.address(0);
        let calls = (0..10).map(|index| {
            let id = format!("r{index}");
            async move { generate(address, &id, "hello", 20).await }
        });
        let texts = futures_util::future::join_all(calls).await;
        assert!(texts.iter().all(|text| lines(text).len() == 21));
        let stats = fleet.stats(0);
        assert_eq!((stats.ended, stats.running_peak), (10, 4));
        let late = fleet.history().into_iter().filter(|l| l.queued_us > 10_000);
        assert!(late.count() >= 6);
    });
}

/// Guards against a prefix cache that saves no prefill or exceeds its capacity.
#[test]
fn a_cached_prefix_is_not_processed_again() {
    run(async {
        let mut options = fast_options();
        options.cache_blocks = 32;
        let fleet = Fleet::start(1, options).await;
        let address = fleet.address(0);
        let prompt = "p".repeat(1_024);
        generate(address, "a", &prompt, 1).await;
        assert_eq!(fleet.stats(0).prefill_tokens, 256);
        generate(address, "b", &prompt, 1).await;
        assert_eq!(fleet.stats(0).prefill_tokens, 256);
        for letter in ["q", "r", "s"] {
            generate(address, letter, &letter.repeat(1_024), 1).await;
        }
        assert_eq!(fleet.stats(0).cache_blocks, 32);
        generate(address, "c", &prompt, 1).await;
        assert_eq!(fleet.stats(0).prefill_tokens, 256 * 5);
    });
}

/// Guards against cache events that are immediate or complete, which no real engine guarantees.
#[test]
fn cache_events_are_late_and_have_gaps() {
    run(async {
        let mut options = fast_options();
        options.event_lag = std::time::Duration::from_millis(300);
        options.event_gap = 4;
        let fleet = Fleet::start(1, options).await;
        let address = fleet.address(0);
        generate(address, "a", &"p".repeat(640), 1).await;
        let early: Value = read(address, "/v1/cache-events?after=0").await;
        assert_eq!(early["events"], json!([]));
        pause(350).await;
        let late: Value = read(address, "/v1/cache-events?after=2").await;
        let events = late["events"].as_array().expect("events");
        let numbers: Vec<_> = events.iter().map(|e| e["seq"].as_u64()).collect();
        assert_eq!(numbers, [3, 5, 6, 7, 9, 10].map(Some));
        assert_eq!(late["next"], 10);
    });
}

/// Guards against load reports that ignore the lag.
#[test]
fn load_reports_lag() {
    run(async {
        let mut options = fast_options();
        options.load_lag = std::time::Duration::from_millis(300);
        let fleet = Fleet::start(1, options).await;
        let address = fleet.address(0);
        let call = actix_rt::spawn(async move { generate(address, "r", "hello", 600).await });
        until(|| async { fleet.stats(0).running == 1 }).await;
        let report: Value = read(address, "/v1/load").await;
        assert_eq!(
            report,
            json!({"running":0,"waiting":0,"slots":8,"age_ms":300})
        );
        pause(350).await;
        let report: Value = read(address, "/v1/load").await;
        assert_eq!(report["running"], 1);
        call.await.expect("ended");
    });
}

/// Guards against an imported KV cache that does not save the prefill.
#[test]
fn exported_cache_saves_the_prefill() {
    run(async {
        let fleet = Fleet::start(2, fast_options()).await;
        let prompt = "p".repeat(1_024);
        generate(fleet.address(0), "r", &prompt, 8).await;
        let bytes = get(fleet.address(0), "/v1/kv/r").await.1;
        let put = send(Method::PUT, fleet.address(1), "/v1/kv/r", &[], &bytes).await;
        assert_eq!(put.expect("a response").0, StatusCode::OK);
        let resumed = body("r", &prompt, 8, 4);
        post(fleet.address(1), "/v1/generate", &resumed).await;
        assert_eq!(fleet.stats(1).prefill_tokens, 0);
        let put = send(Method::PUT, fleet.address(1), "/v1/kv/r", &[], "other").await;
        assert_eq!(put.expect("a response").0, StatusCode::BAD_REQUEST);
    });
}

/// Guards against an order with an old fencing token that is carried out although tokens are
/// checked, or refused although they are ignored.
#[test]
fn fencing_is_checked_or_ignored() {
    run(async {
        for (fencing, expected) in [
            (engine::Fencing::Checked, StatusCode::CONFLICT),
            (engine::Fencing::Ignored, StatusCode::OK),
        ] {
            let mut options = fast_options();
            options.fencing = fencing;
            let fleet = Fleet::start(1, options).await;
            let order = |fence: u64| json!({"fence": fence, "models": ["a"], "role": "all"});
            let first = post(fleet.address(0), "/v1/orders", &order(5).to_string()).await;
            assert_eq!(first.0, StatusCode::OK);
            let same = post(fleet.address(0), "/v1/orders", &order(5).to_string()).await;
            assert_eq!(same.0, StatusCode::OK);
            let old = post(fleet.address(0), "/v1/orders", &order(4).to_string()).await;
            assert_eq!(old.0, expected);
        }
    });
}

/// Guards against models that are loaded faster than the rate limit of the weight store allows, or
/// that are never loaded after a refusal.
#[test]
fn ordered_models_are_loaded_from_the_weight_store() {
    run(async {
        let options = platform::Options {
            weight_rate: 1,
            ..platform::Options::default()
        };
        let store = platform::Platform::bind(options)
            .await
            .expect("a free port");
        let mut options = fast_options();
        options.weights = Some(format!("http://{}", store.address()));
        let fleet = Fleet::start(1, options).await;
        let order = json!({"fence": 1, "models": ["a", "b"], "role": "all"});
        let sent = post(fleet.address(0), "/v1/orders", &order.to_string()).await;
        assert_eq!(sent.0, StatusCode::OK);
        assert!(fleet.stats(0).loaded.len() < 2);
        until(|| async { fleet.stats(0).loaded == ["a", "b"] }).await;
        assert!(fleet.stats(0).weights_refused >= 1);
        let stats: Value = read(store.control(), "/control/weights/stats").await;
        assert_eq!(stats["reads"], json!({"a": 1, "b": 1}));
    });
}

/// Guards against a crash that leaves streams open, completes them, or affects other engines.
#[test]
fn a_crash_cuts_off_the_streams_of_one_engine_for_a_time() {
    run(async {
        let fleet = Fleet::start(2, fast_options()).await;
        let (first, second) = (fleet.address(0), fleet.address(1));
        let request = body("victim", "hello", 100_000, 0);
        let mut victim = Raw::post(first, "/v1/generate", &request).await;
        // The crash must come after the first token, and a running request may not have one yet.
        victim.read_until("{\"i\":0,").await;
        let request = body("killer", "x #crash", 5, 0);
        let killer = post_raw(first, "/v1/generate", &request).await;
        assert!(!is_complete(&killer), "{killer}");
        let victim = victim.read_to_end().await;
        assert!(!is_complete(&victim), "{victim}");
        assert!(send(Method::GET, first, "/v1/load", &[], "").await.is_err());
        assert_eq!(lines(&generate(second, "r", "hello", 2).await).len(), 3);
        until(|| async { send(Method::GET, first, "/v1/load", &[], "").await.is_ok() }).await;
        assert_eq!(lines(&generate(first, "r", "hello", 2).await).len(), 3);
        let crashes = fleet.history().into_iter();
        let crashes = crashes.filter(|line| line.event == history::Event::Crash);
        let ids: Vec<_> = crashes.map(|line| line.request.request_id).collect();
        assert_eq!(ids, ["", "victim", "killer"]);
    });
}

/// Guards against a slowdown without effect or without end.
#[test]
fn an_engine_is_slow_for_a_time() {
    run(async {
        let fleet = Fleet::start(2, fast_options()).await;
        fleet
            .control(
                "/control/slow?name=e-1",
                &json!({"factor": 20.0, "for_ms": 300}),
            )
            .await;
        let timed = |index: usize| {
            let address = fleet.address(index);
            async move {
                let start = Instant::now();
                generate(address, "r", "hello", 10).await;
                start.elapsed().as_millis()
            }
        };
        assert!(timed(0).await >= 150);
        assert!(timed(1).await < 150);
        pause(300).await;
        assert!(timed(0).await < 150);
    });
}

/// Guards against requests to a leaving engine that are not recorded as such.
#[test]
fn starts_after_the_leaving_signal_are_recorded() {
    run(async {
        let fleet = Fleet::start(1, fast_options()).await;
        generate(fleet.address(0), "before", "hello", 1).await;
        fleet.control("/control/leave", &json!({})).await;
        generate(fleet.address(0), "after", "hello", 1).await;
        let starts = fleet.history().into_iter();
        let starts = starts.filter(|line| line.event == history::Event::Start);
        let found: Vec<_> = starts
            .map(|line| (line.request.request_id, line.leaving_ms.is_some()))
            .collect();
        assert_eq!(
            found,
            [("before".to_owned(), false), ("after".to_owned(), true)]
        );
    });
}

/// Guards against a history without the identifiers that routers forward.
#[test]
fn forwarded_headers_are_recorded() {
    run(async {
        let fleet = Fleet::start(1, fast_options()).await;
        let headers = [
            ("toucan-request-id", "id-1"),
            ("toucan-key", "key-1"),
            ("toucan-team", "counter"),
        ];
        let request = body("other", "hello", 3, 0);
        let sent = send(
            Method::POST,
            fleet.address(0),
            "/v1/generate",
            &headers,
            &request,
        )
        .await;
        assert_eq!(sent.expect("a response").0, StatusCode::OK);
        let last = fleet.history().pop().expect("a line");
        let request = history::Request {
            request_id: "id-1".to_owned(),
            key: "key-1".to_owned(),
            team: "counter".to_owned(),
        };
        assert_eq!((last.request, last.tokens), (request, 3));
        assert_eq!(fleet.stats(0).teams["counter"].tokens, 3);
    });
}
