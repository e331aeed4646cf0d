//! Two requests that crash their servers hide each other, so that neither is refused.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::{
    env,
    io::Write,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// `contactMs` of the small sites.
const CONTACT_S: f64 = 3.0;
/// Retries that may still reach a server later than that after the third crash.
const ALLOWED: usize = 3;
/// Time after which a crashed server is back: "some seconds".
const BACK_AFTER: Duration = Duration::from_secs(3);
/// How often each deadly request comes again, and for how long.
const POISON_INTERVAL: Duration = Duration::from_millis(700);
const RUN: Duration = Duration::from_secs(25);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("server") {
        server(&arguments[2], &arguments[3]);
    }
    std::process::exit(run());
}

/// A plain server. A deadly request crashes it before anything was sent.
fn server(address: &str, _id: &str) -> ! {
    serve(address.parse().expect("address"), move |mut peer| {
        while let Ok(Some(request)) = peer.read_request() {
            let id = request.header("Attempt-Id").to_owned();
            if request.target == "/health" {
                let _ = peer.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let body = String::from_utf8_lossy(&request.body).into_owned();
            tell(&format!("got {body} {id}"));
            thread::sleep(Duration::from_millis(30));
            if body.starts_with("deadly") {
                std::process::abort();
            }
            let body = format!("answer to {id}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if peer.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"r-1","hostname":"shop.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":false,"resumable":false}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":440000},
"tenants":[{"name":"north","apiKeys":["key-north"]},{"name":"south","apiKeys":["key-south"]}]}"#;

fn run() -> i32 {
    let setup = Setup::from_env();
    let record = setup.record.clone();
    let count: usize = env::var("DEADLY").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    let store = Store::start(loopback(1));
    store.put("op/config", CONFIGURATION);
    let servers = Servers::start(&setup, &store, BACK_AFTER);
    for index in 0..12u8 {
        let zone = ["heredia", "cartago", "alajuela"][usize::from(index % 3)];
        servers.add("desk", zone, free_port(loopback(10 + index)), 6, &[]);
    }
    let routers = start_routers(&setup, &store, &["heredia"]);
    let front = routers[0].front;
    thread::sleep(Duration::from_secs(2));

    let ended = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..3usize {
        // Sound requests of another tenant, one after the other, on kept channels.
        let (ended, outcomes, record) = (ended.clone(), outcomes.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut peer = None;
            let mut number = 0;
            while !ended.load(Ordering::Relaxed) {
                number += 1;
                let channel = match peer.take() {
                    Some(channel) => channel,
                    None => Peer::connect(front).unwrap_or_else(|_| cannot_run("no connection")),
                };
                let (channel, answer) = send(channel, "key-south", &format!("sound-{client}-{number}"));
                record.line(&format!("consumer sound request answered {} {:?}", answer.status, answer.end));
                outcomes.lock().unwrap().push((answer.status, answer.end));
                let keeps = answer.end == End::Complete
                    && !answer.header("connection").eq_ignore_ascii_case("close");
                peer = keeps.then_some(channel);
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    let begin = record.now();
    let step = POISON_INTERVAL / count as u32;
    let mut turn = 0;
    while record.now() - begin < RUN.as_secs_f64() {
        if setup.trouble {
            // The same path, caller and body, as an attempt of its own. The deadly requests take turns.
            let body = format!("deadly-{}", turn % count);
            turn += 1;
            let record = record.clone();
            thread::spawn(move || {
                let Ok(channel) = Peer::connect(front) else { return };
                let (_, answer) = send(channel, "key-north", &body);
                record.line(&format!("consumer {body} answered {} {:?}", answer.status, answer.end));
            });
        }
        thread::sleep(step);
    }
    ended.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let seen = servers.seen.lock().unwrap().clone();
    routers.iter().for_each(Router::end);
    servers.end();

    let outcomes = outcomes.lock().unwrap();
    let complete = outcomes.iter().filter(|(status, end)| *status == 200 && *end == End::Complete);
    let complete = complete.count();
    if complete < 30 {
        cannot_run("too few sound requests were answered");
    }
    // Each request by itself: when it reached a server. Each of these arrivals crashed its server.
    let mut text = String::new();
    let mut broken = false;
    for number in 0..count {
        let prefix = format!("got deadly-{number} ");
        let got = seen.iter().filter(|seen| seen.text.starts_with(&prefix));
        let got: Vec<f64> = got.map(|seen| seen.at).collect();
        let late = match got.get(2) {
            Some(third) => got.iter().filter(|at| **at > third + CONTACT_S).count(),
            None => 0,
        };
        broken |= late > ALLOWED;
        text += &format!("; request {number} reached servers {} times, {late} times later than {CONTACT_S} s after its third crash", got.len());
    }
    let crashes = seen.iter().filter(|seen| seen.text == "crashed").count();
    verdict(
        &record,
        broken,
        &format!(
            "BUDGET: {ALLOWED} such retries allowed{text}; {crashes} crashes; {} of {} sound requests failed",
            outcomes.len() - complete,
            outcomes.len(),
        ),
    )
}

fn send(mut channel: Peer, key: &str, body: &str) -> (Peer, Answer) {
    let head = request_head("POST", &format!("/book/{body}"), &attempt_id(), key, "Deadline-Ms: 1500\r\n", body.len());
    let answer = channel.call(&head, body.as_bytes(), Duration::from_millis(1_500));
    (channel, answer)
}
