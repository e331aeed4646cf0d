//! A server's statement about idle channels ends every router that reads it.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::{
    collections::HashSet,
    env,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Requests that may be passed on and get no answer.
const ALLOWED: usize = 3;
/// The release of one server, in seconds after the load begins.
const RELEASE_AT: f64 = 5.0;
const RUN: f64 = 45.0;
/// Requests a second, as on the sheet for bookings.
const PER_S: f64 = 24.0;
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("server") {
        server(&arguments[2], &arguments[4]);
    }
    std::process::exit(run());
}

/// A plain server that answers each request, and states how long it keeps idle channels open.
fn server(address: &str, idle_s: &str) -> ! {
    let idle_s = idle_s.to_owned();
    serve(address.parse().expect("address"), move |mut peer| {
        while let Ok(Some(request)) = peer.read_request() {
            let id = request.header("Attempt-Id").to_owned();
            if request.target == "/health" {
                let _ = peer.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            tell(&format!("runs {id}"));
            thread::sleep(Duration::from_millis(30));
            let body = format!("answer to {id}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.{id}\r\nKeep-Alive: timeout={idle_s}\r\nContent-Length: {}\r\n\r\n{body}",
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
"tenants":[{"name":"north","apiKeys":["key-north"]}]}"#;

fn run() -> i32 {
    let setup = Setup::from_env();
    let record = setup.record.clone();
    let store = Store::start(loopback(1));
    store.put("op/config", CONFIGURATION);
    let servers = Servers::start(&setup, &store, Duration::from_secs(3));
    for (index, zone) in ["heredia", "cartago", "alajuela"].iter().enumerate() {
        servers.add("desk", zone, free_port(loopback(10 + index as u8)), 6, &["5"]);
    }
    let routers = start_routers(&setup, &store, &["heredia", "cartago", "alajuela"]);
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
    thread::sleep(Duration::from_secs(2));

    // Consumers on kept channels, one request after the other, each at one router until its channel ends.
    let lost = Arc::new(Mutex::new(Vec::new()));
    let good = Arc::new(Mutex::new(0));
    let begin = record.now();
    let consumers = 12usize;
    let threads: Vec<_> = (0..consumers)
        .map(|consumer| {
            let (record, lost, good, fronts) = (record.clone(), lost.clone(), good.clone(), fronts.clone());
            thread::spawn(move || {
                let mut turn = consumer;
                let mut channel: Option<Peer> = None;
                let mut number = 0;
                while record.now() - begin < RUN {
                    thread::sleep(Duration::from_secs_f64(consumers as f64 / PER_S));
                    let mut peer = match channel.take().map(Ok).unwrap_or_else(|| Peer::connect(fronts[turn % fronts.len()])) {
                        Ok(peer) => peer,
                        Err(_) => {
                            turn += 1;
                            continue;
                        }
                    };
                    number += 1;
                    let id = attempt_id();
                    let head = request_head("POST", &format!("/book/{consumer}-{number}"), &id, "key-north", "Deadline-Ms: 1500\r\n", 11);
                    let kept = peer.count > 0;
                    let answer = peer.call(&head, b"one booking", Duration::from_millis(1_500));
                    record.line(&format!("consumer booking {id} kept-channel {kept} answered {} {:?}", answer.status, answer.end));
                    if answer.end == End::Complete {
                        *good.lock().unwrap() += usize::from(answer.status == 200);
                        channel = (!answer.header("connection").eq_ignore_ascii_case("close")).then_some(peer);
                        continue;
                    }
                    turn += 1;
                    if kept && matches!(answer.end, End::NoAnswer | End::Cut) {
                        lost.lock().unwrap().push(id);
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64((begin + RELEASE_AT - record.now()).max(0.0)));
    // The release states a number in both cases: 5, or the largest of 64 bits, for "never".
    let idle_s = if setup.trouble { u64::MAX.to_string() } else { "5".to_owned() };
    servers.release(0, free_port(loopback(20)), &[&idle_s], DRAIN + Duration::from_secs(1));
    threads.into_iter().for_each(|thread| drop(thread.join()));
    thread::sleep(Duration::from_secs(1));
    let seen = servers.seen.lock().unwrap().clone();
    let ends: usize = routers.iter().map(|router| router.ends.lock().unwrap().len()).sum();
    routers.iter().for_each(Router::end);
    servers.end();

    let ran: HashSet<&str> = seen.iter().filter_map(|seen| seen.text.strip_prefix("runs ")).collect();
    let lost = lost.lock().unwrap();
    let lost = lost.iter().filter(|id| ran.contains(id.as_str())).count();
    let good = *good.lock().unwrap();
    if good < 60 {
        cannot_run("too few answers");
    }
    verdict(
        &record,
        lost > ALLOWED,
        &format!(
            "LOST: {lost} bookings from kept channels were passed on to a sound server and their channel ended without an answer ({ALLOWED} allowed); routers ended by themselves {ends} times; {good} bookings were answered"
        ),
    )
}
