//! Crowds of clients that do not behave: each test opens many connections that send much and end little, and keeps them
//! open. The process must live, keep to its memory and descriptors, and answer an ordinary request.

#[path = "support/fleet.rs"]
mod fleet;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time;
use bytes::{Bytes, BytesMut};
use fleet::{configuration, Call, Limits, Site, TIMEOUT};
use futures_util::future;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
};
use tsw_fake::worker::Behaviour;

/// Memory that the deployment grants the router.
const MEMORY_MB: u64 = 64;
/// File descriptors of the router.
const DESCRIPTORS: usize = 1_000;
/// Connections of a crowd, more than the router may hold.
const CROWD: usize = 1_500;
/// Largest body that the configuration allows.
const BODY_BYTES: usize = 1 << 20;
/// Time for which a member of a crowd tries to send. The router may close its connection, or read no further.
const SEND_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a crowd stays before the process is measured, so that a slow router has taken what was sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The tests measure processes, so that they run one after the other.
static ALONE: Mutex<()> = Mutex::const_new(());

async fn site() -> Site {
    let limits = Limits {
        descriptors: DESCRIPTORS,
        memory_mb: Some(MEMORY_MB),
    };
    let site = Site::start_limited(Behaviour::Plain, Behaviour::Plain, limits).await;
    let mut changed = configuration(2);
    changed["limits"]["maxBodyBytes"] = Value::from(BODY_BYTES);
    site.reconfigure(changed).await;
    site
}

/// Opens connections that each send the same pieces, as far as they are taken, and stay open.
async fn crowd(address: SocketAddr, members: usize, pieces: Vec<Bytes>) -> Vec<TcpStream> {
    let member = || async {
        let opened = time::timeout(SEND_TIME, TcpStream::connect(address)).await;
        let mut stream = opened.ok()?.ok()?;
        let sending = async {
            for piece in &pieces {
                stream.write_all(piece).await?;
                if pieces.len() > 1 {
                    time::sleep(Duration::from_millis(1)).await;
                }
            }
            Ok::<_, std::io::Error>(())
        };
        // What is not taken stays unsent.
        let _ = time::timeout(SEND_TIME, sending).await;
        Some(stream)
    };
    let opened = future::join_all((0..members).map(|_| member())).await;
    opened.into_iter().flatten().collect()
}

/// Checks the process while a crowd is still there, and that it answers an ordinary request.
async fn check(site: &mut Site, crowd: Vec<TcpStream>) {
    time::sleep(SETTLE_TIME).await;
    let ended = site.router.process.try_wait().expect("a child");
    assert_eq!(ended, None, "the process ended");
    let (peak_kb, descriptors) = (site.router.peak_kb(), site.router.open_descriptors());
    println!(
        "peak {peak_kb} kB, {descriptors} descriptors, {} connections",
        crowd.len()
    );
    assert!(peak_kb * 1_024 < MEMORY_MB * 1_000_000, "{peak_kb} kB");
    assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    let end = Instant::now() + TIMEOUT;
    loop {
        let call = Call::valid("GET", "/lookup/1", "ordinary");
        let sent = time::timeout(TIMEOUT, call.send_to(site.router.client)).await;
        if matches!(sent, Ok(Ok(response)) if response.status == 200) {
            break;
        }
        assert!(Instant::now() < end, "no ordinary request is answered");
        time::sleep(Duration::from_millis(50)).await;
    }
    drop(crowd);
}

fn head(call: &Call) -> Bytes {
    let mut text = BytesMut::new();
    call.head.write(&mut text);
    text.freeze()
}

/// Returns a request with very many short fields.
fn with_short_fields(mut call: Call) -> Call {
    for number in 0..900 {
        call.head.fields.push(format!("f{number}"), "v");
    }
    call
}

fn without_end(head: &Bytes) -> Bytes {
    head.slice(..head.len() - 4)
}

/// Guards against heads of very many fields, whose ends never arrive, that fill the memory.
#[actix_rt::test]
async fn heads_of_short_fields_that_do_not_end() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let head = head(&with_short_fields(Call::valid("GET", "/lookup/1", "a1")));
    let open = crowd(site.router.client, CROWD, vec![without_end(&head)]).await;
    check(&mut site, open).await;
}

/// Guards against heads with one long field, whose ends never arrive, that fill the memory.
#[actix_rt::test]
async fn heads_with_a_long_field_that_do_not_end() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let mut call = Call::valid("GET", "/lookup/1", "a1");
    call.head.fields.push("Long", vec![b'x'; 15_500]);
    let open = crowd(site.router.client, CROWD, vec![without_end(&head(&call))]).await;
    check(&mut site, open).await;
}

/// Guards against parsed fields, of which each takes more memory than it has bytes, that fill the memory.
#[actix_rt::test]
async fn requests_of_short_fields_whose_answers_are_not_read() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let head = head(&with_short_fields(Call::valid("GET", "/lookup/1", "a1")));
    let requests: Vec<u8> = head.repeat(6);
    let open = crowd(site.router.client, CROWD, vec![requests.into()]).await;
    check(&mut site, open).await;
}

/// Guards against requests that are sent ahead, without reading the answers, that fill the memory.
#[actix_rt::test]
async fn requests_that_are_sent_ahead() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let head = head(&Call::valid("GET", "/lookup/1", "a1"));
    let open = crowd(site.router.client, CROWD, vec![head.repeat(400).into()]).await;
    check(&mut site, open).await;
}

/// Guards against bodies of legal size, in one piece, that stop just short of their end and keep others out.
#[actix_rt::test]
async fn bodies_that_stop_short_of_their_end() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let mut call = Call::valid("POST", "/book/1", "a1");
    call.head
        .fields
        .push("Content-Length", BODY_BYTES.to_string());
    let pieces = vec![head(&call), vec![b'x'; BODY_BYTES - 1].into()];
    let open = crowd(site.router.client, 150, pieces).await;
    check(&mut site, open).await;
}

/// Guards against bodies in many small chunks that do not end.
#[actix_rt::test]
async fn chunked_bodies_that_do_not_end() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let mut call = Call::valid("POST", "/lookup/1", "a1");
    call.head.fields.push("Transfer-Encoding", "chunked");
    let chunks = b"1\r\nx\r\n".repeat(20_000);
    let mut pieces = vec![head(&call)];
    pieces.extend(chunks.chunks(6_000).map(Bytes::copy_from_slice));
    let open = crowd(site.router.client, CROWD, pieces).await;
    check(&mut site, open).await;
}

/// Guards against bodies far over the limit, and against bodies at paths without a route.
#[actix_rt::test]
async fn bodies_that_no_route_takes() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    for (target, length) in [("/book/1", 1 << 40), ("/nowhere/", BODY_BYTES)] {
        let mut call = Call::valid("POST", target, "a1");
        call.head.fields.push("Content-Length", length.to_string());
        let pieces = vec![head(&call), vec![b'x'; BODY_BYTES - 1].into()];
        let open = crowd(site.router.client, 150, pieces).await;
        check(&mut site, open).await;
    }
}

/// Guards against connections that send nothing, or a byte now and then, and take all descriptors.
#[actix_rt::test]
async fn connections_that_send_little() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let mut open = crowd(site.router.client, CROWD, Vec::new()).await;
    let bytes = vec![Bytes::from_static(b"G"), Bytes::from_static(b"E")];
    open.extend(crowd(site.router.client, CROWD, bytes).await);
    check(&mut site, open).await;
}

/// Guards against the same at the addresses for readiness and for lookups.
#[actix_rt::test]
async fn crowds_at_the_endpoints() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let long = without_end(&head(&with_short_fields(Call::new("GET", "/api/ready"))));
    let ahead: Bytes = head(&Call::new("GET", "/api/ready")).repeat(400).into();
    let mut open = Vec::new();
    for address in [site.router.ready, site.router.locate] {
        for piece in [long.slice(..7_000), ahead.clone()] {
            open.extend(crowd(address, CROWD / 2, vec![piece]).await);
        }
    }
    check(&mut site, open).await;
    assert!(site
        .router
        .get(site.router.ready, "/api/ready")
        .await
        .is_some());
}

/// Guards against the same at the addresses for reads by other routers and for metrics.
#[actix_rt::test]
async fn crowds_at_the_control_and_metrics_addresses() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let long = without_end(&head(&with_short_fields(Call::new("GET", "/metrics"))));
    let ahead: Bytes = head(&Call::new("GET", "/metrics")).repeat(400).into();
    let mut open = Vec::new();
    for address in [site.router.control, site.router.metrics] {
        for piece in [long.slice(..7_000), ahead.clone()] {
            open.extend(crowd(address, CROWD / 2, vec![piece]).await);
        }
    }
    check(&mut site, open).await;
}

/// Guards against crowds of different kinds that together take more than each of them may.
#[actix_rt::test]
async fn several_crowds_at_once() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let lookup = Call::valid("GET", "/lookup/1", "a1");
    let fields = head(&with_short_fields(lookup.clone()));
    let mut book = Call::valid("POST", "/book/1", "a1");
    book.head
        .fields
        .push("Content-Length", BODY_BYTES.to_string());
    let body = vec![head(&book), vec![b'x'; BODY_BYTES - 1].into()];
    let ready: Bytes = head(&Call::new("GET", "/api/ready")).repeat(400).into();
    let client = site.router.client;
    let crowds = future::join5(
        crowd(client, CROWD / 3, vec![without_end(&fields)]),
        crowd(client, CROWD / 3, vec![fields.repeat(6).into()]),
        crowd(client, CROWD / 3, vec![head(&lookup).repeat(400).into()]),
        crowd(client, 50, body),
        crowd(site.router.ready, CROWD / 3, vec![ready]),
    );
    let (heads, parsed, ahead, bodies, ready) = crowds.await;
    let open = [heads, parsed, ahead, bodies, ready];
    check(&mut site, open.into_iter().flatten().collect()).await;
}

/// Guards against clients that ask for many responses and read a byte now and then.
#[actix_rt::test]
async fn readers_that_are_slow() {
    let _alone = ALONE.lock().await;
    let mut site = site().await;
    let head = head(&with_short_fields(Call::valid("GET", "/lookup/1", "a1")));
    let open = crowd(site.router.client, CROWD, vec![head.repeat(6).into()]).await;
    let read = |mut stream: TcpStream| async move {
        for _ in 0..5 {
            // The router may have closed the connection.
            let _ = time::timeout(SEND_TIME, stream.read_u8()).await;
            time::sleep(Duration::from_millis(100)).await;
        }
        stream
    };
    let open = future::join_all(open.into_iter().map(read)).await;
    check(&mut site, open).await;
}
