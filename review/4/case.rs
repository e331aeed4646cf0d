//! A request whose server crashes after the first event of its stream is never refused.
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
/// How often the deadly request comes again, and for how long.
const POISON_INTERVAL: Duration = Duration::from_millis(700);
const RUN: Duration = Duration::from_secs(25);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("server") {
        server(&arguments[2], &arguments[3], &arguments[4]);
    }
    std::process::exit(run());
}

/// A model server. It reads the prompt, then sends events. A deadly request crashes it when it has begun
/// to run it: with the first event (`begun`), or before anything was sent (`before`, for comparison).
fn server(address: &str, _id: &str, crash: &str) -> ! {
    let crash = crash.to_owned();
    serve(address.parse().expect("address"), move |mut peer| {
        while let Ok(Some(request)) = peer.read_request() {
            let id = request.header("Attempt-Id").to_owned();
            if request.method == "GET" {
                let _ = peer.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let deadly = request.body.starts_with(b"deadly");
            tell(&format!("got {} {id}", if deadly { "deadly" } else { "sound" }));
            thread::sleep(Duration::from_millis(40));
            if deadly && crash == "before" {
                std::process::abort();
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let _ = peer.stream.write_all(head.as_bytes());
            for number in 1..=5 {
                let event = format!("id: {number}\ndata: token\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if peer.stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
                if deadly {
                    std::process::abort();
                }
            }
            if peer.stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
            tell(&format!("ended sound {id}"));
        }
    })
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"r-1","hostname":"shop.example","pathPrefix":"/review/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":1000,"priority":1,"service":"model","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}],
"services":[{"name":"model","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":404820}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":440000},
"tenants":[{"name":"north","apiKeys":["key-north"]},{"name":"south","apiKeys":["key-south"]}]}"#;

fn run() -> i32 {
    let setup = Setup::from_env();
    let record = setup.record.clone();
    let crash = env::var("CRASH").unwrap_or_else(|_| "begun".to_owned());
    let store = Store::start(loopback(1));
    store.put("op/config", CONFIGURATION);
    let servers = Servers::start(&setup, &store, BACK_AFTER);
    for index in 0..6u8 {
        let zone = ["heredia", "cartago", "alajuela"][usize::from(index % 3)];
        servers.add("model", zone, free_port(loopback(10 + index)), 64, &[&crash]);
    }
    let routers = start_routers(&setup, &store, &["heredia", "cartago", "alajuela"]);
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
    thread::sleep(Duration::from_secs(2));

    let ended = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..3usize {
        // Sound requests of another tenant, one after the other, on kept channels.
        let (ended, outcomes, record) = (ended.clone(), outcomes.clone(), record.clone());
        let front = fronts[client % fronts.len()];
        threads.push(thread::spawn(move || {
            let mut peer = None;
            let mut number = 0;
            while !ended.load(Ordering::Relaxed) {
                number += 1;
                let channel = match peer.take() {
                    Some(channel) => channel,
                    None => Peer::connect(front).unwrap_or_else(|_| cannot_run("no connection")),
                };
                let (channel, answer) = send(channel, "sound", client * 1_000 + number);
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
    let mut turn = 0;
    while record.now() - begin < RUN.as_secs_f64() {
        if setup.trouble {
            // The same path, caller and body, at any machine, as an attempt of its own.
            let front = fronts[turn % fronts.len()];
            turn += 1;
            let record = record.clone();
            thread::spawn(move || {
                let Ok(channel) = Peer::connect(front) else { return };
                let (_, answer) = send(channel, "deadly", 0);
                record.line(&format!("consumer deadly request answered {} {:?}", answer.status, answer.end));
            });
        }
        thread::sleep(POISON_INTERVAL);
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
    let got: Vec<f64> = seen.iter().filter(|seen| seen.text.starts_with("got deadly")).map(|seen| seen.at).collect();
    let crashes: Vec<f64> = seen.iter().filter(|seen| seen.text == "crashed").map(|seen| seen.at).collect();
    let late = match crashes.get(2) {
        Some(third) => got.iter().filter(|at| **at > third + CONTACT_S).count(),
        None => 0,
    };
    verdict(
        &record,
        late > ALLOWED,
        &format!(
            "BUDGET: the deadly request reached servers {} times and crashed {}; {late} times later than {CONTACT_S} s after the third crash ({ALLOWED} allowed); {} of {} sound requests were cut or refused",
            got.len(),
            crashes.len(),
            outcomes.len() - complete,
            outcomes.len(),
        ),
    )
}

fn send(mut channel: Peer, body: &str, number: usize) -> (Peer, Answer) {
    let (key, own) = match body {
        "deadly" => ("key-north", "deadd00d".to_owned()),
        _ => ("key-south", format!("50{number:06x}")),
    };
    let fields = format!(
        "Model-Name: m\r\nToken-Count: 1460,25\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,{own}:250\r\nDeadline-Ms: 15000\r\n"
    );
    let target = if body == "deadly" { "/review/7f".to_owned() } else { format!("/review/{number:x}") };
    let body = format!("{body} {own}");
    let head = request_head("POST", &target, &attempt_id(), key, &fields, body.len());
    let answer = channel.call(&head, body.as_bytes(), Duration::from_secs(15));
    (channel, answer)
}
