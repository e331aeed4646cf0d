//! Membership and load between routers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time};
use tsw_base::time::Tick;
use tsw_event::{emit, Event};
use tsw_member::{
    audience::{self, Load},
    roster::{Member, RosterUpdate, LIVENESS_TIMEOUT},
};
use tsw_poison::Findings;
use tsw_relay::router;
use tsw_route::Name;

use crate::{
    gate::{Gate, Phase},
    statement::{self, Activity, Assembly, MAX_DATAGRAM},
};

/// Period of gossip about members.
const MEMBERS: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Members(RosterUpdate),
    Activities(Load, statement::Piece),
    Findings(Findings),
}

#[derive(Debug, Deserialize, Serialize)]
struct Datagram {
    from: String,
    message: Message,
}

/// Returns where the live routers hear gossip.
fn live(gate: &Gate) -> Vec<SocketAddr> {
    let roster = gate.roster.borrow();
    let peers = roster.live(gate.router.now());
    peers.map(|peer| peer.gossip).collect()
}

async fn send(gate: &Gate, socket: &UdpSocket, to: &[SocketAddr], message: Message) {
    let from = gate.settings.borrow().host.clone();
    let bytes = match postcard::to_allocvec(&Datagram { from, message }) {
        Ok(bytes) => bytes,
        Err(error) => return emit(Event::InternalFailed, &[("cause", &error)]),
    };
    if bytes.len() > MAX_DATAGRAM {
        let bytes = bytes.len();
        let error = statement::Error::Datagram { bytes };
        return emit(Event::InternalFailed, &[("cause", &error)]);
    }
    gate.router
        .metrics
        .message_bytes
        .observe(bytes.len() as f64);
    for address in to {
        // A datagram may be lost on its way as well; the next one says the same or more.
        if let Err(error) = socket.send_to(&bytes, address).await {
            emit(
                Event::InternalFailed,
                &[("peer", address), ("cause", &error)],
            );
        }
    }
}

/// Tells other routers which members are known, until the process ends.
pub async fn tell_members(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    let mut phase = gate.phase.subscribe();
    loop {
        gate.tick();
        let now = gate.router.now();
        let (mut to, news) = gate
            .roster
            .borrow_mut()
            .next_round(now, &mut rand::thread_rng());
        if *phase.borrow_and_update() != Phase::Serving {
            // Clients must not be sent to a router that stops.
            to = live(&gate);
        }
        send(&gate, &socket, &to, Message::Members(news)).await;
        // The end of the phase is told at once.
        let _ = time::timeout(MEMBERS, phase.changed()).await;
    }
}

/// Tells other routers what this router does, until the process ends.
pub async fn tell_activities(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    let (mut worked, mut told) = (Tick::ZERO, Tick::ZERO);
    loop {
        // A router that was idle states at once that it is busy.
        let busy = gate.audience.borrow().statement_interval(Load::Busy);
        time::sleep(busy.as_duration()).await;
        let load = Load::from_requests(gate.router.recent_requests());
        let period = gate.audience.borrow().statement_interval(load);
        gate.router.set_report_interval(period);
        if gate.router.now().since(told) < period {
            continue;
        }
        told = gate.router.now();
        let findings = gate.router.take_findings();
        if !findings.findings.is_empty() {
            send(&gate, &socket, &live(&gate), Message::Findings(findings)).await;
        }
        let activities = gate.router.take_reports();
        let now = gate.router.now();
        if !activities.is_empty() {
            worked = now;
        } else if now.since(worked) > LIVENESS_TIMEOUT {
            // That the work has ended was stated several times.
            continue;
        }
        let to = hearers(&gate, now);
        let activities = activities.iter().map(Activity::from).collect();
        match statement::split(now.as_micros(), activities) {
            Ok(pieces) => {
                for piece in pieces {
                    send(&gate, &socket, &to, Message::Activities(load, piece)).await;
                }
            }
            Err(error) => emit(Event::InternalFailed, &[("cause", &error)]),
        }
    }
}

/// Returns where the routers that need the next statement hear gossip.
fn hearers(gate: &Gate, now: Tick) -> Vec<SocketAddr> {
    let roster = gate.roster.borrow();
    let live: Vec<&Member> = roster.live(now).collect();
    let mut audience = gate.audience.borrow_mut();
    audience.next_recipients(now, &live, &roster.client_routers(now))
}

/// Forgets what routers stated that ended or have nothing to state.
fn forget(gate: &Gate, assembly: &mut Assembly) {
    let now = gate.router.now();
    let stated_for = audience::statement_lifetime(gate.router.router_count());
    let roster = gate.roster.borrow();
    let live: IndexSet<&str> = roster.live(now).map(|peer| &*peer.host).collect();
    let ended = gate
        .router
        .retain_peer_reports(|router, age| age <= stated_for && live.contains(router));
    ended.iter().for_each(|router| assembly.forget(router));
}

/// Hears other routers until the process ends.
pub async fn hear(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    let mut assembly = Assembly::default();
    let mut forgot = Tick::ZERO;
    // One byte more than allowed shows a datagram that was cut.
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    loop {
        let received = time::timeout(MEMBERS, socket.recv_from(&mut buffer)).await;
        let now = gate.router.now();
        if now.since(forgot).as_duration() >= MEMBERS {
            forgot = now;
            forget(&gate, &mut assembly);
        }
        let (length, source) = match received {
            Err(_) => continue,
            Ok(Ok(received)) => received,
            Ok(Err(error)) => {
                emit(Event::InternalFailed, &[("cause", &error)]);
                time::sleep(MEMBERS).await;
                continue;
            }
        };
        if length > MAX_DATAGRAM {
            let error = statement::Error::Datagram { bytes: length };
            emit(Event::FrameDropped, &[("cause", &error)]);
            continue;
        }
        let datagram: Datagram = match postcard::from_bytes(&buffer[..length]) {
            Ok(datagram) => datagram,
            Err(error) => {
                emit(Event::FrameDropped, &[("cause", &error)]);
                continue;
            }
        };
        match datagram.message {
            Message::Members(news) => {
                let answer = gate.roster.borrow_mut().receive(now, &datagram.from, &news);
                if let Some(answer) = answer {
                    send(&gate, &socket, &[source], Message::Members(answer)).await;
                }
            }
            Message::Findings(suspect) => gate.router.apply_findings(suspect),
            Message::Activities(load, piece) => {
                let from: Name = datagram.from.as_str().into();
                let Some(activities) = assembly.take(&from, piece) else {
                    continue;
                };
                let activities: Vec<router::ServiceReport> =
                    activities.into_iter().map(Into::into).collect();
                gate.audience.borrow_mut().record_load(now, &from, load);
                let busy = load == Load::Busy;
                gate.router.set_peer_report(&from, &activities, busy);
            }
        }
    }
}
