//! The scenarios. Each returns how often its rule was broken.

use std::{net::SocketAddr, path::PathBuf, thread, time::Duration};

use crate::{
    client::{Channel, Failure, HOST, KEY},
    link::{connect_narrow, Link},
    record::Record,
    router::{Addresses, Router},
    store::Store,
    versions,
    worker::{body_of, Worker},
};

/// Bounds of the small installations.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

pub fn run(name: &str, trouble: bool, record: &Record) -> Result<usize, String> {
    match name {
        "head" => head(trouble, record),
        "squeeze" => squeeze(trouble, record),
        "stall" => stall(trouble, record),
        "versions" => versions::run(trouble, record),
        _ => Err(format!("no scenario {name}")),
    }
}

/// The repository: scenarios are started from a folder below it.
pub fn root() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.ancestors().nth(3).unwrap_or(&own).to_owned()
}

fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    timed_route(name, kind, service, 1_200, more)
}

fn timed_route(name: &str, kind: &str, service: &str, timeout_ms: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":150,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false{more}}}"
    )
}

fn configuration(version: u64, routes: &[String]) -> Vec<u8> {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\
         \"maxConnections\":100}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\
         \"priority\":1}}]}}",
        routes.join(",")
    )
    .into_bytes()
}

struct Site {
    store: Store,
    workers: Vec<Worker>,
    routers: Vec<Router>,
}

/// Starts the store, three workers of a plain service, and routers in three zones.
fn start(record: &Record, routes: &[String], routers: u8) -> Result<Site, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    store.put("op/config", Some(configuration(10, routes)));
    let zones = ["cape-shore", "north-coast", "island-sound"];
    let mut workers = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let id = format!("i-7f3a91c{number}");
        workers.push(Worker::start(&store, record, "desk", &id, zone).map_err(text)?);
    }
    let addresses = Addresses::of(routers).map_err(text)?;
    let seeds: Vec<_> = addresses.iter().take(3).map(|own| own.control).collect();
    let mut started = Vec::new();
    for (number, own) in addresses.iter().enumerate() {
        let (name, zone) = (format!("front-{number}"), zones[number % 3]);
        started.push(Router::start(&root(), &name, zone, own, &seeds, store.address, 260)?);
    }
    for router in &started {
        router.wait_ready()?;
    }
    // The routers have listed the workers, and know each other.
    thread::sleep(Duration::from_millis(1_500));
    Ok(Site {
        store,
        workers,
        routers: started,
    })
}

/// A consumer asks with HEAD for a record on a route that a configuration has removed, and then sends an ordinary request on the
/// same channel.
fn head(trouble: bool, record: &Record) -> Result<usize, String> {
    let kept = route("lookup", "idempotent", "desk", "");
    let removed = route("archive", "idempotent", "desk", "");
    let site = start(record, &[kept.clone(), removed.clone()], 3)?;
    if trouble {
        site.store.put("op/config", Some(configuration(13, &[kept])));
        record.line("configuration 13 without the route /archive/ is acknowledged");
    }
    thread::sleep(CONFIG_APPLY);
    let mut broken = 0;
    for (number, router) in site.routers.iter().enumerate() {
        let mut channel = Channel::open(router.client).map_err(|error| error.to_string())?;
        for (method, target) in [("HEAD", "/archive/4"), ("GET", "/lookup/4")] {
            let id = format!("9c41d07be2a3{number}{}", if method == "GET" { "01" } else { "02" });
            record.line(&format!("consumer sends {id} {method} {target} to {}", router.name));
            let sent = channel.send(method, target, &id, TIME_LIMIT);
            sent.map_err(|error| error.to_string())?;
            match channel.read(method, TIME_LIMIT) {
                Ok(answer) => {
                    let bytes = answer.body.len();
                    record.line(&format!("consumer gets {id} {} with {bytes} bytes", answer.status));
                    let is_whole = answer.body == body_of(&id, target);
                    let expected_stamp = format!("stamp-of-{id}");
                    let has_stamp = answer.stamp.as_ref() == Some(&expected_stamp);
                    if method == "GET" && (answer.status != 200 || !is_whole || !has_stamp) {
                        return Err(format!("{id} was not served: {}", answer.status));
                    }
                    if answer.closes {
                        return Err("the channel was not kept".to_owned());
                    }
                }
                Err(Failure::NoAnswer(bytes)) => {
                    broken += 1;
                    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(120)]).into_owned();
                    record.line(&format!("MIXED: consumer gets {id} bytes that are no answer: {text:?}"));
                }
                Err(failure) => return Err(format!("{id} has no answer: {failure:?}")),
            }
        }
    }
    Ok(broken)
}

/// Size of a record that takes longer over a squeezed link than the route's timeout.
const LARGE: usize = 600_000;
/// How long the link of the consumers is squeezed.
const SQUEEZE: Duration = Duration::from_millis(1_600);

/// Consumers send two requests for long records one behind the other on a channel, while their link is squeezed.
fn squeeze(trouble: bool, record: &Record) -> Result<usize, String> {
    let text = |error: std::io::Error| error.to_string();
    let site = start(record, &[route("lookup", "idempotent", "desk", "")], 3)?;
    let link = Link::start(site.routers[0].client).map_err(text)?;
    link.squeeze(trouble);
    let mut consumers = Vec::new();
    for number in 0..4 {
        let (record, address) = (record.clone(), link.address);
        consumers.push(thread::spawn(move || consume(&record, address, number)));
    }
    thread::sleep(SQUEEZE);
    link.squeeze(false);
    record.line("the link carries all again");
    let mut broken = 0;
    for consumer in consumers {
        broken += consumer.join().map_err(|_| "a consumer failed".to_owned())??;
    }
    record.line(&format!("runs: {:?}", site.workers.iter().map(|worker| worker.runs().len()).collect::<Vec<_>>()));
    Ok(broken)
}

fn consume(record: &Record, address: SocketAddr, number: u32) -> Result<usize, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut channel = Channel::open(address).map_err(text)?;
    let target = format!("/lookup/record-{LARGE}");
    let ids = [format!("9c41d07be2a4{number}a"), format!("9c41d07be2a4{number}b")];
    let mut both = Vec::new();
    for id in &ids {
        record.line(&format!("consumer {number} sends {id} GET {target}"));
        both.extend(crate::client::request("GET", &target, id, TIME_LIMIT));
    }
    std::io::Write::write_all(&mut channel.stream, &both).map_err(text)?;
    for id in &ids {
        match channel.read("GET", TIME_LIMIT) {
            Ok(answer) => {
                let expected = body_of(id, &target);
                let same = answer.body.iter().zip(&expected).take_while(|(a, b)| a == b).count();
                let (status, stamp) = (answer.status, answer.stamp.unwrap_or_default());
                let bytes = answer.body.len();
                record.line(&format!(
                    "consumer {number} gets {id} {status}, stamp {stamp:?}, {bytes} bytes, of which the first {same} are the worker's"
                ));
                if status == 200 && answer.body != expected {
                    let foreign = String::from_utf8_lossy(&answer.body[same..(same + 420).min(bytes)]).into_owned();
                    record.line(&format!("MIXED: the answer to {id} goes on with {foreign:?}"));
                    return Ok(1);
                }
            }
            Err(failure) => {
                let (what, bytes) = match failure {
                    Failure::Closed(bytes) => ("a closed channel", bytes),
                    Failure::Late(bytes) => ("nothing more until its time limit", bytes),
                    Failure::NoAnswer(bytes) => {
                        record.line(&format!("MIXED: consumer {number} gets bytes that are no answer"));
                        drop(bytes);
                        return Ok(1);
                    }
                };
                record.line(&format!("consumer {number} gets {id} {what} after {} bytes", bytes.len()));
                return Ok(0);
            }
        }
    }
    Ok(0)
}

/// Time limit of the route and of the consumers that stall.
const LONG_LIMIT: Duration = Duration::from_millis(15_000);
/// For how long consumers do not read.
const STALL: Duration = Duration::from_millis(4_000);
/// Closed channels that the rule allows.
const ALLOWED: usize = 3;

/// Consumers do not read for some seconds while the answer to a booking on a kept channel arrives.
fn stall(trouble: bool, record: &Record) -> Result<usize, String> {
    let site = start(record, &[timed_route("book", "non_idempotent", "desk", 15_000, "")], 3)?;
    let mut consumers = Vec::new();
    for number in 0..6 {
        let (record, address) = (record.clone(), site.routers[number % 3].client);
        consumers.push(thread::spawn(move || read_late(trouble, &record, address, number)));
    }
    let mut closed = 0;
    for consumer in consumers {
        closed += consumer.join().map_err(|_| "a consumer failed".to_owned())??;
    }
    let runs: usize = site.workers.iter().map(|worker| worker.runs().len()).sum();
    record.line(&format!("{runs} requests ran; {closed} channels were closed without a whole answer"));
    Ok(if closed > ALLOWED { closed } else { 0 })
}

fn read_late(trouble: bool, record: &Record, address: SocketAddr, number: usize) -> Result<usize, String> {
    let text = |error: std::io::Error| error.to_string();
    let SocketAddr::V4(address) = address else { return Err("no address".to_owned()) };
    let mut channel = Channel::over(connect_narrow(address).map_err(text)?);
    for (place, target) in ["/book/record-800".to_owned(), format!("/book/record-{LARGE}")].iter().enumerate() {
        let id = format!("9c41d07be2a5{number}{place}");
        record.line(&format!("consumer {number} sends {id} POST {target}"));
        channel.send("POST", target, &id, LONG_LIMIT).map_err(text)?;
        if trouble && place == 1 {
            thread::sleep(STALL);
            record.line(&format!("consumer {number} reads again"));
        }
        match channel.read("POST", LONG_LIMIT) {
            Ok(answer) if answer.status == 200 && answer.body == body_of(&id, target) => {
                record.line(&format!("consumer {number} gets {id} 200 with {} bytes", answer.body.len()));
            }
            Ok(answer) => return Err(format!("{id} is answered with {}", answer.status)),
            Err(Failure::Closed(bytes)) => {
                record.line(&format!("LOST: consumer {number} gets {id} a closed channel after {} bytes", bytes.len()));
                return Ok(1);
            }
            Err(failure) => return Err(format!("{id} has no answer: {failure:?}").chars().take(120).collect()),
        }
    }
    Ok(0)
}
