//! Streams that begin at a machine that is cut off, while workers are released, and are taken up after all processes were killed.

use std::{
    io::{Read as _, Write as _},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{HOST, KEY},
    cut::{gossip_link, store_link, Cut},
    engine::{Engine, EVENTS},
    record::Record,
    router::{Addresses, Router},
    scenario::root,
    store::Store,
};

/// Time limit of consumers and of the route.
const LIMIT: Duration = Duration::from_millis(15_000);
const STREAMS: usize = 40;
/// How often a consumer sends a request at most, and its pause where no answer states one.
const TRIES: usize = 4;
const PAUSE: Duration = Duration::from_millis(1_000);
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;
const ZONES: [&str; 3] = ["cape-shore", "north-coast", "island-sound"];

fn configuration() -> Vec<u8> {
    format!(
        "{{\"version\":10,\"routes\":[{{\"name\":\"review\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/review/\",\"kind\":\"streaming\",\
         \"timeoutMs\":15000,\"targetLatencyMs\":800,\"gapAimMs\":400,\"priority\":1,\"service\":\"harvest-model\",\"maxAttempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true}}],\"services\":[{{\"name\":\"harvest-model\",\"healthPath\":\"/health\",\
         \"maxConnections\":360,\"engine\":{{\"slots\":64,\"kvCapacityTokens\":606661}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":440000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
    .into_bytes()
}

fn until(start: Instant, seconds: f64) {
    thread::sleep((start + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now()));
}

pub fn run(trouble: bool, record: &Record) -> Result<usize, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    store.put("op/config", Some(configuration()));
    let engine = |id: String, zone, version| Engine::start(&store, record, &id, zone, version).map_err(text);
    let mut old = Vec::new();
    for number in 0..6 {
        old.push(engine(format!("i-7f3a91c{number}"), ZONES[number % 3], "v1")?);
    }
    let cuts: Vec<Cut> = (0..3).map(|_| Arc::default()).collect();
    let mut addresses = Addresses::of(3).map_err(text)?;
    let ips: Vec<IpAddr> = addresses.iter().map(|own| own.gossip.ip()).collect();
    for (number, own) in addresses.iter_mut().enumerate() {
        let IpAddr::V4(ip) = own.gossip.ip() else { return Err("no address".to_owned()) };
        let [_, _, third, last] = ip.octets();
        let at = SocketAddr::from(([127, 59, third, last], own.gossip.port()));
        let others = ips.iter().copied().zip(cuts.iter().cloned()).collect();
        gossip_link(at, own.gossip, cuts[number].clone(), others).map_err(text)?;
        own.advertised = Some(at);
    }
    // Gossip finds its peers at the addresses of the seeds.
    let seeds: Vec<SocketAddr> = addresses
        .iter()
        .map(|own| SocketAddr::new(own.advertised.map_or(own.control.ip(), |at| at.ip()), own.control.port()))
        .collect();
    let mut routers = Vec::new();
    for (number, own) in addresses.iter().enumerate() {
        let link = store_link(store.address, cuts[number].clone()).map_err(text)?;
        routers.push(Router::start(&root(), &format!("front-{number}"), ZONES[number], own, &seeds, link, 260)?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    // The machines have run for a while, as before most releases.
    thread::sleep(Duration::from_secs(24));
    let start = Instant::now();
    if trouble {
        cuts[0].store(true, std::sync::atomic::Ordering::Relaxed);
        record.line("front-0 is cut off from the store and from the other machines");
    }
    let mut new = Vec::new();
    for (number, leaving) in old.iter().take(3).enumerate() {
        until(start, 2.0 + 0.8 * number as f64);
        new.push(engine(format!("i-02d9e6b{number}"), ZONES[number], "v2")?);
        leaving.drain();
    }
    until(start, 9.9);
    let (first, others) = (routers[0].client, [routers[1].client, routers[2].client]);
    let mut consumers = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        consumers.push(thread::spawn(move || consume(&record, first, others, number)));
        thread::sleep(Duration::from_millis(20));
    }
    until(start, 11.6);
    routers.iter_mut().for_each(Router::kill);
    cuts[0].store(false, std::sync::atomic::Ordering::Relaxed);
    record.line("all processes are killed; nothing is cut any more");
    thread::sleep(Duration::from_millis(300));
    for router in &mut routers {
        router.start_again()?;
    }
    let mut joined = 0;
    let (mut broken_off, mut whole) = (0, 0);
    for consumer in consumers {
        let stream = consumer.join().map_err(|_| "a consumer failed".to_owned())?;
        joined += usize::from(stream.versions.len() > 1);
        broken_off += usize::from(stream.tries > 1);
        whole += usize::from(stream.is_complete);
    }
    record.line(&format!(
        "{broken_off} of {STREAMS} streams were taken up again, {whole} are complete, {joined} hold events of two versions ({ALLOWED} allowed)"
    ));
    if broken_off < 12 {
        return Err("too few streams were taken up".to_owned());
    }
    Ok(if joined > ALLOWED { joined } else { 0 })
}

#[derive(Default)]
struct Stream {
    last: u64,
    versions: Vec<String>,
    is_complete: bool,
    tries: usize,
}

/// Asks for a stream, and takes it up again as the pages say until its time limit.
fn consume(record: &Record, first: SocketAddr, others: [SocketAddr; 2], number: usize) -> Stream {
    let end = Instant::now() + LIMIT;
    let mut stream = Stream::default();
    let began = format!("{:08x}{number:06x}00", std::process::id());
    while !stream.is_complete && stream.tries < TRIES && Instant::now() < end {
        let id = format!("{:08x}{number:06x}{:02x}", std::process::id(), stream.tries);
        let to = if stream.tries == 0 { first } else { others[(number + stream.tries) % 2] };
        stream.tries += 1;
        let resumes = if stream.last > 0 {
            format!("Last-Event-Id: {}\r\nResumes: {began}\r\n", stream.last)
        } else {
            String::new()
        };
        let left = end.saturating_duration_since(Instant::now());
        let head = format!(
            "POST /review/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel-Name: m\r\nToken-Count: 820,400\r\n\
             Prompt-Prefix: 5c1e07a2:800,{number:x}b7:20\r\nDeadline-Ms: {}\r\nAuthorization: Token {KEY}\r\n{resumes}\
             Content-Length: 3\r\nConnection: close\r\n\r\none",
            left.as_millis()
        );
        let wait = match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
            Ok(channel) => read(&mut stream, channel, head.as_bytes(), end),
            Err(_) => None,
        };
        record.line(&format!(
            "consumer sent {id} after event {} and has events up to {} of {:?}, complete: {}",
            resumes.split([' ', '\r']).nth(1).unwrap_or("0"), stream.last, stream.versions, stream.is_complete
        ));
        let left = end.saturating_duration_since(Instant::now());
        let wait = wait.map_or(PAUSE, Duration::from_secs_f64);
        thread::sleep(wait.min(left / 3).max(Duration::from_millis(50)));
    }
    stream
}

/// Reads an answer, and returns the `Retry-After` of a refusal.
fn read(stream: &mut Stream, mut channel: TcpStream, request: &[u8], end: Instant) -> Option<f64> {
    channel.write_all(request).ok()?;
    let mut text = String::new();
    let mut taken = 0;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = channel.set_read_timeout(Some(left));
        let mut bytes = [0; 16_384];
        let read = channel.read(&mut bytes).unwrap_or(0);
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        if !text.starts_with("HTTP/1.1 200") && read == 0 {
            let mut lines = text.lines().filter_map(|line| line.strip_prefix("Retry-After: "));
            return lines.next()?.trim().parse().ok();
        }
        while let Some(at) = text[taken..].find("\n\n") {
            let event = &text[taken..taken + at];
            taken += at + 2;
            let id = event.lines().find_map(|line| line.strip_prefix("id: ")).and_then(|id| id.parse().ok());
            let version = event.lines().find_map(|line| line.strip_prefix("data: token of "));
            if let (Some(id), Some(version)) = (id, version) {
                stream.last = id;
                if !stream.versions.iter().any(|known| known == version) {
                    stream.versions.push(version.to_owned());
                }
            }
        }
        stream.is_complete = stream.last == EVENTS && text.ends_with("\r\n0\r\n\r\n");
        if read == 0 || stream.is_complete {
            return None;
        }
    }
}
