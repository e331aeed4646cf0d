//! Misbehaving clients against a router process: slow heads, endless input, responses that are
//! never read.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use bytes::BytesMut;
use fleet::{Call, Site, TIMEOUT};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use tsw_fake::worker::Behaviour;

/// Number of misbehaving clients.
const CLIENTS: usize = 30;
/// Maximum growth of the router's memory: the buffers of the clients, which the configuration
/// limits to 100 kB each.
const MAX_GROWTH_KB: u64 = 16 * 1_024;
/// Timeout for a request head in the configuration, and the tolerance for a busy machine.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const TOLERANCE: Duration = Duration::from_secs(4);

/// Starts a site whose router has enough file descriptors for all misbehaving clients.
async fn site(model: Behaviour) -> Site {
    let site = Site::start(Behaviour::Plain, model).await;
    site.router.set_descriptors(4_000).await;
    site
}

/// Sends a request as a well-behaved client and checks that it is served.
async fn check_others_served(site: &Site, id: &str) {
    let call = Call::valid("POST", "/book/1", id).body("x");
    let response = call.send(&site.router).await;
    assert_eq!(response.status, 200, "a well-behaved client was not served");
}

/// Guards against clients that hold connections by sending an endless head byte by byte.
#[actix_rt::test]
async fn slow_heads_time_out_without_delaying_other_clients() {
    let site = site(Behaviour::Stream(3)).await;
    let started = Instant::now();
    let slow: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let address = site.router.client;
            actix_rt::spawn(async move {
                let stream = TcpStream::connect(address).await.expect("a connection");
                let (mut reader, mut writer) = stream.into_split();
                let sends = actix_rt::spawn(async move {
                    for byte in b"GET /lookup/1 HTTP/1.1\r\nX-Endless: "
                        .iter()
                        .chain([b'a'; 200].iter())
                    {
                        if writer.write_all(&[*byte]).await.is_err() {
                            return;
                        }
                        actix_rt::time::sleep(Duration::from_millis(100)).await;
                    }
                });
                let mut bytes = Vec::new();
                let _ = reader.read_to_end(&mut bytes).await;
                sends.abort();
                (
                    String::from_utf8_lossy(&bytes).into_owned(),
                    started.elapsed(),
                )
            })
        })
        .collect();
    for number in 0..10 {
        check_others_served(&site, &format!("o{number}")).await;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    for client in slow {
        let (response, took) = client.await.expect("no client failed");
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        assert!(
            took >= HEAD_TIMEOUT && took < HEAD_TIMEOUT + TOLERANCE,
            "{took:?}"
        );
    }
}

/// Guards against endless heads and bodies that fill the memory or reach an upstream, and against
/// refusals whose status does not match the cause.
#[actix_rt::test]
async fn endless_heads_and_bodies_are_refused_with_bounded_memory() {
    let site = site(Behaviour::Stream(3)).await;
    let before = site.router.peak_kb();
    let chunked = {
        let mut call = Call::valid("POST", "/book/1", "e1");
        call.head.fields.push("Transfer-Encoding", "chunked");
        let mut head = BytesMut::new();
        call.head.write(&mut head);
        head.to_vec()
    };
    let chunk = [b"1000\r\n".to_vec(), vec![b'x'; 4_096], b"\r\n".to_vec()].concat();
    let trailer = [&chunked[..], b"0\r\n"].concat();
    for (start, repeated, status) in [
        (
            b"GET /lookup/1 HTTP/1.1\r\nX: ".to_vec(),
            vec![b'a'; 4_096],
            "431",
        ),
        (
            b"GET /lookup/1 HTTP/1.1\r\n".to_vec(),
            b"X: y\r\n".repeat(600),
            "431",
        ),
        (chunked.clone(), chunk, "413"),
        (chunked, b"0;x=".repeat(1_000), "400"),
        (trailer, b"X: y\r\n".repeat(600), "400"),
    ] {
        for _ in 0..CLIENTS {
            let stream = TcpStream::connect(site.router.client).await;
            let (mut reader, mut writer) = stream.expect("a connection").into_split();
            let (start, repeated) = (start.clone(), repeated.clone());
            let sends = actix_rt::spawn(async move {
                writer.write_all(&start).await?;
                // 8 MB, if the router keeps reading.
                for _ in 0..2_000 {
                    writer.write_all(&repeated).await?;
                }
                Ok::<_, std::io::Error>(())
            });
            let mut bytes = Vec::new();
            let ended = actix_rt::time::timeout(TIMEOUT, reader.read_to_end(&mut bytes)).await;
            // Ignored: a reset ends the connection as well.
            let _ = ended.expect("the router did not close the connection");
            sends.abort();
            let response = String::from_utf8_lossy(&bytes);
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status} ")),
                "{status}: {response}"
            );
        }
        check_others_served(&site, &format!("o{status}-{}", repeated.len())).await;
    }
    let grown = site.router.peak_kb().saturating_sub(before);
    assert!(grown < MAX_GROWTH_KB, "memory grew by {grown} kB");
    let bookings = site.desk.arrivals().len();
    assert_eq!(bookings, 5, "an endless request reached an upstream");
}

/// Guards against clients that never read their streams: the router must not buffer what upstreams
/// send without bounds, and must keep serving other clients.
#[actix_rt::test]
async fn clients_that_never_read_use_bounded_memory_and_delay_nobody() {
    let site = site(Behaviour::Stream(400_000)).await;
    let before = site.router.peak_kb();
    let mut idle = Vec::new();
    for number in 0..8 {
        let call = Call::prompt("/note/1", &format!("n{number}"));
        let mut head = BytesMut::new();
        call.head.write(&mut head);
        let mut stream = TcpStream::connect(site.router.client)
            .await
            .expect("a connection");
        stream.write_all(&head).await.expect("sent");
        stream.write_all(&call.body).await.expect("sent");
        idle.push(stream);
    }
    for number in 0..15 {
        check_others_served(&site, &format!("o{number}")).await;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let grown = site.router.peak_kb().saturating_sub(before);
    assert!(grown < MAX_GROWTH_KB, "memory grew by {grown} kB");
    for stream in idle {
        let received = stream.peek(&mut [0; 16]).await.expect("an open connection");
        assert!(
            received > 0,
            "a stream was not relayed, so the router had nothing to buffer"
        );
    }
    assert_eq!(site.model_arrivals(), 8);
}
