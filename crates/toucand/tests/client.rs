//! Clients in trouble, with a router as a process. Each test names the failure that it guards against.

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

/// Clients in trouble at the same time.
const CLIENTS: usize = 30;
/// Memory that a router may use more for them: their buffers, of at most 100 kB each by the
/// configuration.
const MAX_GROWTH_KB: u64 = 16 * 1_024;
/// Time for a head that the configuration states, and the time that a busy machine may add.
const HEAD_TIME: Duration = Duration::from_secs(3);
const MARGIN: Duration = Duration::from_secs(4);

/// A site whose router has descriptors for all clients in trouble.
async fn site(model: Behaviour) -> Site {
    let site = Site::start(Behaviour::Plain, model).await;
    site.router.set_descriptors(4_000).await;
    site
}

/// Sends a request as other clients do, which must be served.
async fn serve_others(site: &Site, id: &str) {
    let call = Call::valid("POST", "/book/1", id).body("x");
    let answer = call.send(&site.router).await;
    assert_eq!(answer.status, 200, "another client is not served");
}

/// Guards against clients that send a head byte by byte, without an end, and keep their places.
#[actix_rt::test]
async fn slow_heads_are_given_up_in_time_and_hold_up_nobody() {
    let site = site(Behaviour::Stream(3)).await;
    let began = Instant::now();
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
                    began.elapsed(),
                )
            })
        })
        .collect();
    for number in 0..10 {
        serve_others(&site, &format!("o{number}")).await;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    for client in slow {
        let (answer, took) = client.await.expect("no client failed");
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(took >= HEAD_TIME && took < HEAD_TIME + MARGIN, "{took:?}");
    }
}

/// Guards against a head and a body without end that fill the memory, and against an answer that says
/// nothing of the cause.
#[actix_rt::test]
async fn heads_and_bodies_without_end_are_refused_and_take_no_memory() {
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
    for (begin, repeated, status) in [
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
            let (begin, repeated) = (begin.clone(), repeated.clone());
            let sends = actix_rt::spawn(async move {
                writer.write_all(&begin).await?;
                // 8 MB, if the router reads on.
                for _ in 0..2_000 {
                    writer.write_all(&repeated).await?;
                }
                Ok::<_, std::io::Error>(())
            });
            let mut bytes = Vec::new();
            let ended = actix_rt::time::timeout(TIMEOUT, reader.read_to_end(&mut bytes)).await;
            // A reset ends it as well.
            let _ = ended.expect("the connection does not end");
            sends.abort();
            let answer = String::from_utf8_lossy(&bytes);
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{status}: {answer}"
            );
        }
        serve_others(&site, &format!("o{status}-{}", repeated.len())).await;
    }
    let grown = site.router.peak_kb().saturating_sub(before);
    assert!(grown < MAX_GROWTH_KB, "{grown} kB more");
    let bookings = site.desk.arrivals().len();
    assert_eq!(bookings, 5, "an endless request reached an upstream");
}

/// Guards against clients that never read their streams: what upstreams send must not pile up in the
/// router, and others must be served.
#[actix_rt::test]
async fn clients_that_never_read_take_no_memory_and_hold_up_nobody() {
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
        serve_others(&site, &format!("o{number}")).await;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let grown = site.router.peak_kb().saturating_sub(before);
    assert!(grown < MAX_GROWTH_KB, "{grown} kB more");
    for stream in idle {
        let begun = stream.peek(&mut [0; 16]).await.expect("an open connection");
        assert!(
            begun > 0,
            "a stream was not passed on, so that nothing could pile up"
        );
    }
    assert_eq!(site.model_arrivals(), 8);
}
