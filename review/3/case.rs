//! Bytes of a faulty server that are no response reach the consumer, behind a status line without a status.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::{
    env,
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Part of its answers that the faulty server spoils, and for how long, as the site file states them for
/// `garble`.
const PART: f64 = 0.05;
const SPOIL: Duration = Duration::from_millis(5_500);
/// The impairment begins so long after the load.
const SPOIL_AT: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(16);
/// Requests a second, as on the sheet for the plain service.
const PER_S: f64 = 33.0;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("server") {
        let number = |index: usize| arguments[index].parse().expect("number");
        server(&arguments[2], number(4), number(5));
    }
    std::process::exit(run());
}

/// A plain server. In the time from `from` to `to` it spoils a part of its answers: it sends bytes that are
/// not a response, and keeps the channel open.
fn server(address: &str, from: u64, to: u64) -> ! {
    let (answers, in_time, spoilt) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    serve(address.parse().expect("address"), move |mut peer| {
        while let Ok(Some(request)) = peer.read_request() {
            let id = request.header("Attempt-Id").to_owned();
            if request.target == "/health" {
                let _ = peer.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            tell(&format!("ran {id}"));
            thread::sleep(Duration::from_millis(30));
            let impaired = (from..to).contains(&unix_ms());
            let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
            let answered = in_time.fetch_add(u64::from(impaired), Ordering::Relaxed) as f64 + 1.0;
            let may_spoil = spoilt.load(Ordering::Relaxed) as f64 + 1.0 <= PART * answered;
            if impaired && peer.count == 1 && may_spoil {
                spoilt.fetch_add(1, Ordering::Relaxed);
                tell(&format!("spoils {id}"));
                // Text without a head. It begins with empty lines.
                let text = format!("\r\n\r\n{}", "a page of text without a head\r\n".repeat(50_000));
                let _ = peer.stream.write_all(text.as_bytes());
                thread::sleep(Duration::from_secs(5));
                tell(&format!("kept the channel of {id} open for 5 s"));
                return;
            }
            // A channel ends with an answer occasionally.
            let close = if number % 10 == 0 { "Connection: close\r\n" } else { "" };
            let body = format!("answer to {id}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.{id}\r\n{close}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if peer.stream.write_all(answer.as_bytes()).is_err() || !close.is_empty() {
                return;
            }
        }
    })
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"r-1","hostname":"shop.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":false,"resumable":false},
{"name":"r-2","hostname":"shop.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false,"resumable":false}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":440000},
"tenants":[{"name":"north","apiKeys":["key-north"]}]}"#;

fn run() -> i32 {
    let setup = Setup::from_env();
    let record = setup.record.clone();
    let store = Store::start(loopback(1));
    store.put("op/config", CONFIGURATION);
    let servers = Servers::start(&setup, &store, Duration::from_secs(3));
    let load_at = unix_ms() + 4_000;
    for (index, zone) in ["heredia", "cartago", "alajuela"].iter().enumerate() {
        let faulty = setup.trouble && index == 0;
        let from = load_at + SPOIL_AT.as_millis() as u64;
        let to = if faulty { from + SPOIL.as_millis() as u64 } else { 0 };
        let address = free_port(loopback(10 + index as u8));
        servers.add("desk", zone, address, 6, &[&from.to_string(), &to.to_string()]);
    }
    let routers = start_routers(&setup, &store, &["heredia", "cartago", "alajuela"]);
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
    thread::sleep(Duration::from_millis(load_at.saturating_sub(unix_ms())));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    let begin = setup.record.now();
    let mut count = 0u32;
    while setup.record.now() - begin < RUN.as_secs_f64() {
        count += 1;
        let front = fronts[count as usize % fronts.len()];
        let (record, answers) = (record.clone(), answers.clone());
        threads.push(thread::spawn(move || {
            let id = attempt_id();
            let (method, target) = match count % 4 {
                0 => ("GET", format!("/look/{count:x}")),
                _ => ("POST", format!("/book/{count:x}")),
            };
            let body: &[u8] = if method == "GET" { b"" } else { b"one booking" };
            let head = request_head(method, &target, &id, "key-north", "Deadline-Ms: 1500\r\n", body.len());
            let Ok(mut channel) = Peer::connect(front) else { return };
            let answer = channel.call(&head, body, Duration::from_millis(1_500));
            let first = answer.first.escape_ascii().to_string();
            let first = &first[..first.len().min(90)];
            record.line(&format!("consumer {method} {id} answered {} {:?}: {first}", answer.status, answer.end));
            answers.lock().unwrap().push((id, answer));
        }));
        let wait = begin + f64::from(count) / PER_S - setup.record.now();
        thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    thread::sleep(Duration::from_secs(2));
    let seen = servers.seen.lock().unwrap().clone();
    routers.iter().for_each(Router::end);
    servers.end();

    let answers = answers.lock().unwrap();
    let good = answers.iter().filter(|(id, answer)| {
        answer.end == End::Complete && answer.status == 200 && answer.header("server-stamp") == format!("s.{id}")
    });
    let good = good.count();
    let spoilt = seen.iter().filter(|seen| seen.text.starts_with("spoils")).count();
    let kept = |id: &str| seen.iter().any(|seen| seen.text == format!("kept the channel of {id} open for 5 s"));
    // Bytes that are no answer in the protocol, and the server did not break off.
    let bad = answers.iter().filter(|(id, answer)| answer.end == End::NotHttp && kept(id)).count();
    if good < 300 || (setup.trouble && spoilt == 0) {
        cannot_run("too few answers");
    }
    verdict(
        &record,
        bad > 0,
        &format!(
            "MIXED: {bad} of {} consumers got bytes that are no answer in the protocol; the faulty server spoilt {spoilt} answers; {good} answers were the servers' own",
            answers.len()
        ),
    )
}
