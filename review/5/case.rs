//! After a quarter of the model servers crashed once, all sound requests of a tenant are refused for ten minutes.
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

/// How long the servers are down, as the site files state it for a quarter of the servers (`srv_crash`).
const DOWN: Duration = Duration::from_secs(2);
/// `contactMs`: seconds are calm from that long after the end of the impairment.
const CONTACT_S: f64 = 3.0;
/// Length of a window of FAIR in seconds, and the allowance in requests of the largest size.
const WINDOW: usize = 6;
const ALLOWANCE: f64 = 3.0;
/// The crash, and the end of the load, in seconds after the load begins.
const CRASH_AT: f64 = 8.15;
const END_AT: f64 = 30.0;
/// Prompt tokens that a server reads in a millisecond, as on the sheet.
const TOKENS_PER_MS: u64 = 57;

/// A tenant's requests: name, requests in one go and goes a second, shared part with its tokens, and tokens of
/// the own part. The prompts of the second tenant share nothing.
struct Tenant {
    name: &'static str,
    together: u32,
    per_s: u32,
    shared: (&'static str, u64),
    own: u64,
}

const TENANTS: [Tenant; 2] = [
    Tenant { name: "north", together: 3, per_s: 1, shared: ("5c1e07a2", 512), own: 20_000 },
    Tenant { name: "south", together: 1, per_s: 50, shared: ("", 0), own: 700 },
];
/// Generated tokens of each request.
const OUTPUT: u64 = 25;

fn work(tenant: &Tenant) -> f64 {
    (tenant.shared.1 + tenant.own + 2 * OUTPUT) as f64
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("server") {
        server(&arguments[2]);
    }
    std::process::exit(run());
}

/// A model server: it reads one prompt after the other, parts that it holds not again, and then sends five
/// events. It never fails by itself.
fn server(address: &str) -> ! {
    let reading: Arc<Mutex<HashSet<String>>> = Arc::default();
    serve(address.parse().expect("address"), move |mut peer| {
        while let Ok(Some(request)) = peer.read_request() {
            let id = request.header("Attempt-Id").to_owned();
            if request.method == "GET" {
                let _ = peer.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                let mut kept = reading.lock().unwrap();
                let mut tokens = 0;
                for part in request.header("Prompt-Prefix").split(',') {
                    let (part, length) = part.split_once(':').unwrap_or((part, "0"));
                    if kept.insert(part.to_owned()) {
                        tokens += length.parse::<u64>().unwrap_or(0);
                    }
                }
                thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
            }
            tell(&format!("began {} {id}", request.header("Tenant-Name")));
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let mut alive = peer.stream.write_all(head.as_bytes()).is_ok();
            for number in 1..=5 {
                let event = format!("id: {number}\ndata: token\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                alive = alive && peer.stream.write_all(chunk.as_bytes()).is_ok();
                thread::sleep(Duration::from_millis(10));
            }
            if !alive || peer.stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    })
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"r-1","hostname":"shop.example","pathPrefix":"/review/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":1000,"priority":1,"service":"model","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}],
"services":[{"name":"model","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":404820}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":1100000},
"tenants":[{"name":"north","apiKeys":["key-north"]},{"name":"south","apiKeys":["key-south"]}]}"#;

/// A consumer attempt and its answer.
struct Sent {
    at: f64,
    tenant: usize,
    status: u16,
    end: End,
    /// Time to the end of the answer in seconds.
    took: f64,
}

fn run() -> i32 {
    let setup = Setup::from_env();
    let record = setup.record.clone();
    let store = Store::start(loopback(1));
    store.put("op/config", CONFIGURATION);
    let servers = Servers::start(&setup, &store, DOWN);
    for index in 0..20u8 {
        let zone = ["heredia", "cartago", "alajuela", "san-jose"][usize::from(index / 5)];
        servers.add("model", zone, free_port(loopback(10 + index)), 64, &[]);
    }
    let routers = start_routers(&setup, &store, &["heredia"]);
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
    thread::sleep(Duration::from_secs(2));

    let sent = Arc::new(Mutex::new(Vec::new()));
    let begin = record.now();
    let crash_at = begin + CRASH_AT;
    let loads: Vec<_> = (0..TENANTS.len())
        .map(|index| {
            let (record, sent, fronts) = (record.clone(), sent.clone(), fronts.clone());
            thread::spawn(move || {
                let tenant = &TENANTS[index];
                let mut count = 0u32;
                let mut answers = Vec::new();
                loop {
                    let due = begin + f64::from(count / tenant.together) / f64::from(tenant.per_s);
                    if due > begin + END_AT {
                        break;
                    }
                    let wait = due - record.now();
                    if wait > 0.0 {
                        thread::sleep(Duration::from_secs_f64(wait));
                    }
                    count += 1;
                    let front = fronts[count as usize % fronts.len()];
                    let (record, sent) = (record.clone(), sent.clone());
                    answers.push(thread::spawn(move || attempt(index, count, front, &record, &sent)));
                }
                answers.into_iter().for_each(|answer| drop(answer.join()));
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(crash_at - record.now()));
    if setup.trouble {
        record.line("disruption the five servers of the zone heredia crash, and are back after 2 s");
        servers.kill_zone("model", "heredia");
    }
    loads.into_iter().for_each(|load| drop(load.join()));
    let seen = servers.seen.lock().unwrap().clone();
    routers.iter().for_each(Router::end);
    servers.end();

    // Second by second: what each tenant asked and what of it began to run.
    let sent = sent.lock().unwrap();
    let seconds = END_AT as usize;
    let second = |at: f64| (at - begin).max(0.0) as usize;
    let mut asked = vec![[0.0; 2]; seconds + 1];
    let mut missed = vec![[0; 2]; seconds + 1];
    let mut got = vec![[0.0; 2]; seconds + 2];
    for sent in sent.iter() {
        let at = second(sent.at).min(seconds);
        asked[at][sent.tenant] += work(&TENANTS[sent.tenant]);
        let late = sent.status != 200 || sent.end != End::Complete || sent.took > 1.0;
        missed[at][sent.tenant] += usize::from(late);
    }
    for seen in &seen {
        let tenant = TENANTS.iter().position(|tenant| seen.text.starts_with(&format!("began {}", tenant.name)));
        if let Some(tenant) = tenant {
            got[second(seen.at).min(seconds)][tenant] += work(&TENANTS[tenant]);
        }
    }
    let calm_from = (CRASH_AT + DOWN.as_secs_f64() + 1.0 + CONTACT_S).ceil() as usize;
    let mut broken = 0;
    let mut worst = String::new();
    let mut windows = 0;
    for start in calm_from..=seconds - WINDOW {
        windows += 1;
        for (index, tenant) in TENANTS.iter().enumerate() {
            let range = start..start + WINDOW;
            let each_second = range.clone().all(|at| missed[at][index] > 0);
            let owed: f64 = range
                .clone()
                .map(|at| asked[at][index].min(got[at].iter().copied().fold(0.0, f64::max)) / 2.0)
                .sum();
            let received: f64 = range.clone().map(|at| got[at][index]).sum();
            if each_second && received < owed - ALLOWANCE * work(tenant) {
                broken += 1;
                worst = format!(
                    "; in seconds {start} to {}, tenant {} asked {:.0} tokens, got {received:.0}, owed {owed:.0}",
                    start + WINDOW,
                    tenant.name,
                    range.map(|at| asked[at][index]).sum::<f64>(),
                );
            }
        }
    }
    let before = got[2..7].iter().map(|second| second[0].min(second[1])).fold(f64::MAX, f64::min);
    if before <= 0.0 {
        cannot_run("a tenant was not served before the disruption");
    }
    let refused = sent.iter().filter(|sent| sent.tenant == 0 && sent.status == 503);
    let late = refused.filter(|sent| sent.at > crash_at + DOWN.as_secs_f64() + CONTACT_S).count();
    verdict(
        &record,
        broken > 0,
        &format!(
            "FAIR: broken in {broken} of {windows} windows of six calm seconds; {late} requests of tenant north got 503 in calm seconds{worst}"
        ),
    )
}

fn attempt(index: usize, count: u32, front: std::net::SocketAddr, record: &Record, sent: &Mutex<Vec<Sent>>) {
    let tenant = &TENANTS[index];
    let at = record.now();
    let id = attempt_id();
    let own = format!("{index}{count:06x}");
    let shared = match tenant.shared {
        (_, 0) => String::new(),
        (part, tokens) => format!("{part}:{tokens},"),
    };
    let fields = format!(
        "Model-Name: m\r\nToken-Count: {},{OUTPUT}\r\nPrompt-Prefix: {shared}{own}:{}\r\nDeadline-Ms: 15000\r\nConnection: close\r\n",
        tenant.shared.1 + tenant.own, tenant.own,
    );
    let body = format!("prompt {own}");
    let head = request_head("POST", &format!("/review/{own}"), &id, &format!("key-{}", tenant.name), &fields, body.len());
    let answer = Peer::connect(front).map(|mut channel| channel.call(&head, body.as_bytes(), Duration::from_secs(15)));
    let (status, end, after) = match &answer {
        Ok(answer) => (answer.status, answer.end, answer.header("retry-after").to_owned()),
        Err(_) => (0, End::NoAnswer, String::new()),
    };
    let took = record.now() - at;
    record.line(&format!("consumer {} {id} sent {at:.3} answered {status} {end:?} retry-after {after:?}", tenant.name));
    sent.lock().unwrap().push(Sent { at, tenant: index, status, end, took });
}
