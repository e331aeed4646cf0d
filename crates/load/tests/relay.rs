//! Tests of the relay: delay, replies and cut links.

use std::{
    net::UdpSocket as StdSocket,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use tsw_load::{delay, relay};

const DELAY: Duration = Duration::from_millis(30);
/// Time within which a datagram arrives and a port is free again.
const LIMIT: Duration = Duration::from_secs(2);

/// Guards against lost replies, missing delay and datagrams that pass a cut link.
#[test]
fn datagrams_are_delayed_and_cut() {
    let relay = relay::Relay::start(delay::Timer::start(), 1).expect("relay");
    let target = StdSocket::bind("127.0.0.1:0").expect("target");
    let (forward, back) = (relay::Link::new(DELAY), relay::Link::new(DELAY));
    let address = relay
        .udp(
            target.local_addr().expect("address"),
            Arc::clone(&forward),
            back,
        )
        .expect("address of the relay");
    let sender = StdSocket::bind("127.0.0.1:0").expect("sender");
    for socket in [&sender, &target] {
        let limit = Some(Duration::from_millis(500));
        socket.set_read_timeout(limit).expect("time limit");
    }
    let mut buffer = [0; 16];
    let start = Instant::now();
    sender.send_to(b"ask", address).expect("send");
    let (len, from) = target.recv_from(&mut buffer).expect("datagram");
    assert_eq!(&buffer[..len], b"ask");
    target.send_to(b"answer", from).expect("send");
    let (len, _) = sender.recv_from(&mut buffer).expect("answer");
    assert_eq!(&buffer[..len], b"answer");
    assert!(start.elapsed() >= DELAY * 2, "{:?}", start.elapsed());

    forward.set_cut(true);
    sender.send_to(b"cut", address).expect("send");
    assert!(target.recv_from(&mut buffer).is_err());
    forward.set_cut(false);
    sender.send_to(b"again", address).expect("send");
    assert!(target.recv_from(&mut buffer).is_ok());
}

/// Guards against a relay that listens elsewhere than asked, and against one that keeps its port after it has ended.
#[test]
fn relays_listen_where_asked_until_they_are_dropped() {
    let free = StdSocket::bind("127.0.0.2:0").expect("socket");
    let address = free.local_addr().expect("address");
    drop(free);
    let target = StdSocket::bind("127.0.0.1:0").expect("target");
    target.set_read_timeout(Some(LIMIT)).expect("time limit");
    for _ in 0..2 {
        let relay = relay::Relay::start(delay::Timer::start(), 1).expect("relay");
        let (forward, back) = (relay::Link::new(DELAY), relay::Link::new(DELAY));
        let start = Instant::now();
        let relayed = loop {
            let target = target.local_addr().expect("address");
            match relay.udp_at(address, target, Arc::clone(&forward), Arc::clone(&back)) {
                Ok(relayed) => break relayed,
                Err(error) => assert!(start.elapsed() < LIMIT, "{error}"),
            }
            thread::sleep(Duration::from_millis(5));
        };
        assert_eq!(relayed, address);
        let sender = StdSocket::bind("127.0.0.1:0").expect("sender");
        sender.send_to(b"ask", relayed).expect("send");
        let mut buffer = [0; 16];
        let (len, _) = target.recv_from(&mut buffer).expect("datagram");
        assert_eq!(&buffer[..len], b"ask");
    }
}

/// Guards against streams that lose or reorder bytes when a link is cut and restored, or that do
/// not pass on the end of file.
#[test]
fn streams_stall_while_cut_and_keep_their_order() {
    actix_rt::System::new().block_on(async {
        let relay = relay::Relay::start(delay::Timer::start(), 1).expect("relay");
        let target = TcpListener::bind("127.0.0.1:0").await.expect("target");
        let (forward, back) = (relay::Link::new(DELAY), relay::Link::new(DELAY));
        let address = relay
            .tcp(
                target.local_addr().expect("address"),
                Arc::clone(&forward),
                back,
            )
            .expect("address of the relay");
        let mut client = TcpStream::connect(address).await.expect("connection");
        let (mut server, _) = target.accept().await.expect("connection");
        client.write_all(b"one").await.expect("write");
        let mut buffer = [0; 3];
        server.read_exact(&mut buffer).await.expect("read");
        forward.set_cut(true);
        client.write_all(b"two").await.expect("write");
        client.shutdown().await.expect("end");
        let stalled = tokio::time::timeout(DELAY * 4, server.read(&mut buffer)).await;
        assert!(stalled.is_err());
        forward.set_cut(false);
        let mut rest = Vec::new();
        server.read_to_end(&mut rest).await.expect("read");
        assert_eq!(rest, b"two");
    });
}
