//! Guards against sessions with processes outside the fleet, against peers that claim another
//! host's name, and against messages that are lost or reordered within a session.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls_pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
use tsw_base::host;
use tsw_link::{tls, Link, LinkEvent, Options};
use tsw_wire::message;

struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).expect("no names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        Self(CertifiedIssuer::self_signed(params, key).expect("an authority"))
    }

    fn identity(&self, host: &str, trusted: &Self) -> tls::Identity {
        let key = KeyPair::generate().expect("a key");
        let certificate = CertificateParams::new(vec![host.to_owned()])
            .expect("a valid name")
            .signed_by(&key, &self.0)
            .expect("a certificate");
        tls::Identity::new(
            trusted.0.der().clone(),
            vec![certificate.der().clone()],
            PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der())),
        )
    }
}

fn hello(host: &str, start: u64) -> message::Hello {
    message::Hello {
        version: message::VERSION,
        id: host::Id {
            host: host.parse().expect("a valid name"),
            incarnation: host::Incarnation::new(start, 0),
        },
        domain: "d1".parse().expect("a valid name"),
    }
}

type EventLog = Rc<RefCell<Vec<LinkEvent>>>;

fn free_address() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("bound")
}

fn bind(identity: &tls::Identity, hello: message::Hello) -> (Link, SocketAddr, EventLog) {
    let address = free_address();
    let log: EventLog = Rc::default();
    let events = log.clone();
    let initial = message::Message::Fetch(message::Fetch {
        bundle: 0,
        hosts: 0,
    });
    let link = Link::bind(
        address,
        identity,
        hello,
        Options::default(),
        Box::new(move |_| vec![initial.clone()]),
        Box::new(move |event| events.borrow_mut().push(event)),
    )
    .expect("a link");
    (link, address, log)
}

async fn wait_for(log: &EventLog, matches: impl Fn(&LinkEvent) -> bool) {
    for _ in 0..500 {
        if log.borrow().iter().any(&matches) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no matching event within 5 s: {:?}", log.borrow());
}

fn fetch(bundle: u64) -> message::Message {
    message::Message::Fetch(message::Fetch { bundle, hosts: 0 })
}

fn received(log: &EventLog) -> Vec<u64> {
    let events = log.borrow();
    events
        .iter()
        .filter_map(|event| match event {
            LinkEvent::Message { message, .. } => match **message {
                message::Message::Fetch(fetch) => Some(fetch.bundle),
                _ => None,
            },
            _ => None,
        })
        .collect()
}

#[actix_rt::test]
async fn messages_arrive_in_order_after_the_initial_messages() {
    let fleet = Authority::new();
    let (a, _, _) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (_b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let b = "b".parse().expect("a valid name");
    a.set_address(&b, Some(address));
    for number in 1..=300 {
        a.send(&b, fetch(number));
    }
    wait_for(&log, |_| received(&log).len() == 301).await;
    assert_eq!(received(&log), (0..=300).collect::<Vec<_>>());
    let traffic = a.traffic();
    assert_eq!(traffic.sent_frames, 302);
    assert!(traffic.sent_bytes > 1_000 && traffic.received_bytes > 0);
}

#[actix_rt::test]
async fn deferred_message_keeps_its_order_and_is_sent_without_others() {
    let fleet = Authority::new();
    let (a, _, _) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (_b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let b = "b".parse().expect("a valid name");
    a.set_address(&b, Some(address));
    a.send(&b, fetch(1));
    wait_for(&log, |_| received(&log).len() == 2).await;
    a.send_deferred(&b, fetch(2));
    a.send(&b, fetch(3));
    wait_for(&log, |_| received(&log) == [0, 1, 2, 3]).await;
    a.send_deferred(&b, fetch(4));
    wait_for(&log, |_| received(&log) == [0, 1, 2, 3, 4]).await;
}

#[actix_rt::test]
async fn certificate_of_another_authority_is_refused() {
    let (fleet, other) = (Authority::new(), Authority::new());
    let (a, _, a_log) = bind(&other.identity("a", &fleet), hello("a", 1));
    let (b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let name = "b".parse().expect("a valid name");
    a.set_address(&name, Some(address));
    a.send(&name, fetch(1));
    wait_for(&log, |event| matches!(event, LinkEvent::Refused { .. })).await;
    wait_for(&a_log, |event| matches!(event, LinkEvent::Closed { .. })).await;
    assert_eq!(received(&log), Vec::<u64>::new());
    assert!(b.traffic().refused > 0);
}

#[actix_rt::test]
async fn server_of_another_authority_gets_no_message() {
    let (fleet, other) = (Authority::new(), Authority::new());
    let (a, _, a_log) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (_b, address, log) = bind(&other.identity("b", &other), hello("b", 1));
    let name = "b".parse().expect("a valid name");
    a.set_address(&name, Some(address));
    a.send(&name, fetch(1));
    wait_for(&a_log, |event| matches!(event, LinkEvent::Closed { .. })).await;
    assert_eq!(received(&log), Vec::<u64>::new());
}

#[actix_rt::test]
async fn hello_with_the_name_of_another_host_is_refused() {
    let fleet = Authority::new();
    let (a, _, _) = bind(&fleet.identity("a", &fleet), hello("c", 1));
    let (_b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let name = "b".parse().expect("a valid name");
    a.set_address(&name, Some(address));
    a.send(&name, fetch(1));
    let named = |event: &LinkEvent| matches!(event, LinkEvent::Refused { cause, .. } if cause.contains("does not name c"));
    wait_for(&log, named).await;
    assert_eq!(received(&log), Vec::<u64>::new());
}

#[actix_rt::test]
async fn session_to_a_host_under_another_name_is_not_used() {
    // A stale address may have been reassigned to another host of the fleet.
    let fleet = Authority::new();
    let (a, _, a_log) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (_b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let name = "c".parse().expect("a valid name");
    a.set_address(&name, Some(address));
    a.send(&name, fetch(1));
    wait_for(&a_log, |event| matches!(event, LinkEvent::Closed { .. })).await;
    assert_eq!(received(&log), Vec::<u64>::new());
}

/// Starts a UDP proxy that forwards datagrams between its clients and the address in `to`, which the
/// test can change. Returns the proxy's address.
fn start_proxy(to: Rc<Cell<SocketAddr>>) -> SocketAddr {
    let address = free_address();
    actix_rt::spawn(async move {
        let front = Rc::new(tokio::net::UdpSocket::bind(address).await.expect("bound"));
        let back = Rc::new(
            tokio::net::UdpSocket::bind("127.0.0.1:0")
                .await
                .expect("bound"),
        );
        let source = Rc::new(Cell::new(address));
        let (reply_socket, replies, client) = (front.clone(), back.clone(), source.clone());
        actix_rt::spawn(async move {
            let mut buffer = [0; 65_536];
            while let Ok((len, _)) = replies.recv_from(&mut buffer).await {
                let _ = reply_socket.send_to(&buffer[..len], client.get()).await;
            }
        });
        let mut buffer = [0; 65_536];
        while let Ok((len, peer)) = front.recv_from(&mut buffer).await {
            source.set(peer);
            let _ = back.send_to(&buffer[..len], to.get()).await;
        }
    });
    address
}

#[actix_rt::test]
async fn session_to_a_killed_incarnation_is_replaced_when_the_next_one_connects() {
    // A killed process closes no session, so the old session would last until it times out.
    let fleet = Authority::new();
    let (a, a_address, a_log) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let target = Rc::new(Cell::new(address));
    let name = "b".parse().expect("a valid name");
    a.set_address(&name, Some(start_proxy(target.clone())));
    a.send(&name, fetch(1));
    wait_for(&log, |_| received(&log) == [0, 1]).await;
    let a_name = "a".parse().expect("a valid name");
    b.set_address(&a_name, Some(a_address));
    b.send(&a_name, fetch(9));

    // The address now leads to another incarnation, which does not know the session.
    let (next, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 2));
    target.set(address);
    next.set_address(&a_name, Some(a_address));
    next.send(&a_name, fetch(3));
    for number in 10..40 {
        a.send(&name, fetch(number));
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        if !received(&log).is_empty() {
            return;
        }
    }
    panic!(
        "no message arrived at the next incarnation within 3 s: {:?}",
        a_log.borrow()
    );
}

#[actix_rt::test]
async fn session_to_a_killed_incarnation_ends_even_if_it_never_connected() {
    // Without a session from the killed incarnation, its peer cannot tell that the next one differs.
    let fleet = Authority::new();
    let b_identity = fleet.identity("b", &fleet);
    let (a, _, a_log) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (_b, address, log) = bind(&b_identity, hello("b", 1));
    let target = Rc::new(Cell::new(address));
    let name = "b".parse().expect("a valid name");
    a.set_address(&name, Some(start_proxy(target.clone())));
    a.send(&name, fetch(1));
    wait_for(&log, |_| received(&log) == [0, 1]).await;

    let (_next, address, log) = bind(&b_identity, hello("b", 2));
    target.set(address);
    a.send(&name, fetch(2));
    wait_for(&a_log, |event| matches!(event, LinkEvent::Closed { .. })).await;
    a.send(&name, fetch(3));
    wait_for(&log, |_| received(&log) == [0, 3]).await;
}

#[actix_rt::test]
async fn session_is_opened_again_after_a_restart_of_the_peer() {
    let fleet = Authority::new();
    let (a, _, a_log) = bind(&fleet.identity("a", &fleet), hello("a", 1));
    let (b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 1));
    let name = "b".parse().expect("a valid name");
    a.set_address(&name, Some(address));
    a.send(&name, fetch(1));
    wait_for(&log, |_| received(&log) == [0, 1]).await;
    b.close(Duration::from_secs(1)).await;
    wait_for(&a_log, |event| matches!(event, LinkEvent::Closed { .. })).await;

    let (_b, address, log) = bind(&fleet.identity("b", &fleet), hello("b", 2));
    a.set_address(&name, Some(address));
    a.send(&name, fetch(2));
    wait_for(&log, |_| received(&log) == [0, 2]).await;
}
