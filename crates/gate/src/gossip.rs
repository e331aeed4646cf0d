//! Exchanges membership and load with other routers over UDP.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::repeat;
use tsw_member::{
    audience::{self, Load},
    roster::{Member, RosterUpdate, LIVENESS_TIMEOUT},
};
use tsw_poison::Findings;
use tsw_relay::router;
use tsw_route::Name;

use crate::{
    credit_exchange,
    credit_message::{self, Credits, StatedRate},
    origin_batch::Batch,
    origin_sync,
    report::{self, Activity, Reassembler, MAX_DATAGRAM},
    state::{Phase, State},
};

/// Interval of gossip about members.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Members(RosterUpdate),
    Activities(Load, report::Fragment),
    Findings(Findings),
}

#[derive(Debug, Deserialize, Serialize)]
struct Datagram {
    from: String,
    message: Message,
    /// Where streams began. They follow findings, where routers that do not know them ignore them.
    #[serde(skip)]
    origins: Batch,
    /// Questions and answers about credits. They follow the origins of streams.
    #[serde(skip)]
    credits: Credits,
    /// Rates that upstreams state. They follow activities.
    #[serde(skip)]
    rates: Vec<StatedRate>,
    /// Requests that were refused. They follow the rates.
    #[serde(skip)]
    refusals: Vec<repeat::Reported>,
}

impl Datagram {
    fn new(from: &str, message: Message) -> Self {
        Self {
            from: from.to_owned(),
            message,
            origins: Batch::default(),
            credits: Credits::default(),
            rates: Vec::new(),
            refusals: Vec::new(),
        }
    }
}

/// Encodes a datagram. What older routers do not know follows it: the eras of members, the origins of
/// streams and credits, or the rates that upstreams state and the requests that were refused.
fn encode(datagram: &Datagram) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_allocvec(datagram)?;
    match &datagram.message {
        Message::Members(update) => postcard::to_extend(&update.eras(), bytes),
        Message::Findings(_) if !datagram.credits.is_empty() => {
            let bytes = postcard::to_extend(&datagram.origins, bytes)?;
            postcard::to_extend(&datagram.credits, bytes)
        }
        Message::Findings(_) if !datagram.origins.is_empty() => {
            postcard::to_extend(&datagram.origins, bytes)
        }
        Message::Activities(..) if !datagram.refusals.is_empty() => {
            let bytes = postcard::to_extend(&datagram.rates, bytes)?;
            postcard::to_extend(&datagram.refusals, bytes)
        }
        Message::Activities(..) if !datagram.rates.is_empty() => {
            postcard::to_extend(&datagram.rates, bytes)
        }
        Message::Activities(..) | Message::Findings(_) => Ok(bytes),
    }
}

/// Decodes a datagram. The eras of members stay unknown if the sender does not state them.
fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    let (mut datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes)?;
    if !rest.is_empty() {
        match &mut datagram.message {
            Message::Members(update) => update.set_eras(&postcard::from_bytes::<Vec<_>>(rest)?),
            Message::Findings(_) => {
                let (origins, credits) = postcard::take_from_bytes(rest)?;
                datagram.origins = origins;
                if !credits.is_empty() {
                    datagram.credits = postcard::from_bytes(credits)?;
                }
            }
            Message::Activities(..) => {
                let (rates, refusals) = postcard::take_from_bytes(rest)?;
                datagram.rates = rates;
                if !refusals.is_empty() {
                    datagram.refusals = postcard::from_bytes(refusals)?;
                }
            }
        }
    }
    Ok(datagram)
}

/// Returns the gossip addresses of the live routers.
fn live_addresses(state: &State) -> Vec<SocketAddr> {
    let roster = state.roster.borrow();
    let peers = roster.live(state.router.now());
    peers.map(|peer| peer.gossip).collect()
}

async fn send(state: &State, socket: &UdpSocket, to: &[SocketAddr], message: Message) {
    let datagram = Datagram::new(&host(state), message);
    send_datagram(state, socket, to, &datagram).await;
}

fn host(state: &State) -> String {
    state.settings.borrow().host.clone()
}

/// Sends records of where streams began to a router.
pub async fn send_origins(state: &State, socket: &UdpSocket, to: SocketAddr, origins: Batch) {
    let message = Message::Findings(Findings::default());
    let datagram = Datagram {
        origins,
        ..Datagram::new(&host(state), message)
    };
    send_datagram(state, socket, &[to], &datagram).await;
}

/// Sends questions and answers about credits to a router.
pub async fn send_credits(state: &State, socket: &UdpSocket, to: SocketAddr, credits: Credits) {
    let message = Message::Findings(Findings::default());
    let datagram = Datagram {
        credits,
        ..Datagram::new(&host(state), message)
    };
    send_datagram(state, socket, &[to], &datagram).await;
}

async fn send_datagram(state: &State, socket: &UdpSocket, to: &[SocketAddr], datagram: &Datagram) {
    let bytes = match encode(datagram) {
        Ok(bytes) => bytes,
        Err(error) => return emit(Event::InternalFailed, &[("cause", &error)]),
    };
    if bytes.len() > MAX_DATAGRAM {
        let bytes = bytes.len();
        let error = report::Error::Datagram { bytes };
        return emit(Event::InternalFailed, &[("cause", &error)]);
    }
    state
        .router
        .metrics
        .message_bytes
        .observe(bytes.len() as f64);
    for address in to {
        // Not retried: datagrams can be lost anyway, and the next one repeats the content.
        if let Err(error) = socket.send_to(&bytes, address).await {
            emit(
                Event::InternalFailed,
                &[("peer", address), ("cause", &error)],
            );
        }
    }
}

/// Sends roster updates to other routers until the process ends.
pub async fn send_members(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut phase = state.phase.subscribe();
    loop {
        state.tick();
        let now = state.router.now();
        let (mut to, update) = state
            .roster
            .borrow_mut()
            .next_round(now, &mut rand::thread_rng());
        if *phase.borrow_and_update() != Phase::Serving {
            // All live routers must learn that this router is stopping, so that none lists it for
            // clients.
            to = live_addresses(&state);
        }
        send(&state, &socket, &to, Message::Members(update)).await;
        // A phase change is sent immediately.
        let _ = time::timeout(GOSSIP_INTERVAL, phase.changed()).await;
    }
}

/// Sends reports on this router's load and recent work to other routers until the process ends.
pub async fn send_activities(state: Rc<State>, socket: Rc<UdpSocket>) {
    let (mut last_active, mut last_sent) = (Timestamp::ZERO, Timestamp::ZERO);
    loop {
        // Checks at the interval of busy routers, so that an idle router that becomes busy says so
        // without delay.
        let busy_interval = state.audience.borrow().report_interval(Load::Busy);
        time::sleep(busy_interval.as_duration()).await;
        let load = Load::from_requests(state.router.recent_requests());
        let interval = state.audience.borrow().report_interval(load);
        state.router.set_report_interval(interval);
        if state.router.now().since(last_sent) < interval {
            continue;
        }
        last_sent = state.router.now();
        let activities = state.router.take_reports();
        let now = state.router.now();
        if !activities.is_empty() {
            last_active = now;
        } else if now.since(last_active) > LIVENESS_TIMEOUT {
            // The end of the activity has been sent several times already.
            continue;
        }
        let to = report_recipients(&state, now);
        let activities = activities.iter().map(Activity::from).collect();
        match report::split(now.as_micros(), activities) {
            Ok(fragments) => {
                let mut rates = credit_message::recent_rates(&state.router);
                let mut refusals = state.router.refusals.borrow_mut().take_report(now);
                for fragment in fragments {
                    let message = Message::Activities(load, fragment);
                    let datagram = Datagram {
                        rates: std::mem::take(&mut rates),
                        refusals: std::mem::take(&mut refusals),
                        ..Datagram::new(&host(&state), message)
                    };
                    send_datagram(&state, &socket, &to, &datagram).await;
                }
            }
            Err(error) => emit(Event::InternalFailed, &[("cause", &error)]),
        }
    }
}

/// Sends findings about requests that crash upstreams to other routers until the process ends.
///
/// They do not wait for the next report: until a router has them, it sends such requests to further
/// upstreams.
pub async fn send_findings(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut greeted = Greeted::default();
    let mut wait = GOSSIP_INTERVAL;
    loop {
        // The timeout only ends the wait: there may be other work.
        let _ = time::timeout(wait, state.router.findings_ready.notified()).await;
        let soon = state.router.tick_findings();
        wait = soon.map_or(GOSSIP_INTERVAL, Span::as_duration);
        let to = live_addresses(&state);
        for findings in state.router.take_findings() {
            send(&state, &socket, &to, Message::Findings(findings)).await;
        }
        let to = greeted.take_new(&state);
        if !to.is_empty() {
            for findings in state.router.refusals() {
                send(&state, &socket, &to, Message::Findings(findings)).await;
            }
        }
    }
}

/// Incarnations of the routers that were sent what is refused.
#[derive(Default)]
struct Greeted(IndexSet<u64>);

impl Greeted {
    /// Returns the gossip addresses of the live routers that have started since the last call.
    fn take_new(&mut self, state: &State) -> Vec<SocketAddr> {
        let roster = state.roster.borrow();
        let live: Vec<&Member> = roster.live(state.router.now()).collect();
        let is_new = |peer: &&&Member| !self.0.contains(&peer.incarnation);
        let new = live.iter().filter(is_new).map(|peer| peer.gossip).collect();
        self.0 = live.iter().map(|peer| peer.incarnation).collect();
        new
    }
}

/// Returns the gossip addresses of the recipients of the next report.
fn report_recipients(state: &State, now: Timestamp) -> Vec<SocketAddr> {
    let roster = state.roster.borrow();
    let live: Vec<&Member> = roster.live(now).collect();
    let mut audience = state.audience.borrow_mut();
    audience.next_recipients(now, &live, &roster.client_routers(now))
}

/// Discards the reports of routers that are no longer live, and reports that have expired.
fn discard_expired(state: &State, reassembler: &mut Reassembler) {
    let now = state.router.now();
    let lifetime = audience::report_lifetime(state.router.router_count());
    let roster = state.roster.borrow();
    let live: IndexSet<&str> = roster.live(now).map(|peer| &*peer.host).collect();
    let discarded = state
        .router
        .retain_peer_reports(|router, age| age <= lifetime && live.contains(router));
    discarded
        .iter()
        .for_each(|router| reassembler.discard(router));
}

/// Receives gossip from other routers until the process ends.
pub async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut reassembler = Reassembler::default();
    let mut last_discard = Timestamp::ZERO;
    // One byte more than the maximum, to detect a truncated datagram.
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    loop {
        let received = time::timeout(GOSSIP_INTERVAL, socket.recv_from(&mut buffer)).await;
        let now = state.router.now();
        if now.since(last_discard).as_duration() >= GOSSIP_INTERVAL {
            last_discard = now;
            discard_expired(&state, &mut reassembler);
        }
        let (length, source) = match received {
            Err(_) => continue,
            Ok(Ok(received)) => received,
            Ok(Err(error)) => {
                emit(Event::InternalFailed, &[("cause", &error)]);
                time::sleep(GOSSIP_INTERVAL).await;
                continue;
            }
        };
        if length > MAX_DATAGRAM {
            let error = report::Error::Datagram { bytes: length };
            emit(Event::FrameDropped, &[("cause", &error)]);
            continue;
        }
        let datagram = match decode(&buffer[..length]) {
            Ok(datagram) => datagram,
            Err(error) => {
                emit(Event::FrameDropped, &[("cause", &error)]);
                continue;
            }
        };
        match datagram.message {
            Message::Members(update) => {
                let answer = state
                    .roster
                    .borrow_mut()
                    .receive(now, &datagram.from, &update);
                if let Some(answer) = answer {
                    send(&state, &socket, &[source], Message::Members(answer)).await;
                }
            }
            Message::Findings(findings) => {
                origin_sync::receive(&state, &datagram.origins);
                if !datagram.credits.is_empty() {
                    let credits = datagram.credits;
                    credit_exchange::receive(&state, &socket, &datagram.from, credits).await;
                }
                if !findings.findings.is_empty() {
                    state.router.apply_findings(findings);
                }
            }
            Message::Activities(load, fragment) => {
                let from: Name = datagram.from.as_str().into();
                for rate in &datagram.rates {
                    rate.apply(&state.router, &datagram.from);
                }
                let mut refusals = state.router.refusals.borrow_mut();
                refusals.add_report(now, &datagram.refusals);
                drop(refusals);
                let Some(activities) = reassembler.add(&from, fragment) else {
                    continue;
                };
                let activities: Vec<router::ServiceReport> =
                    activities.into_iter().map(Into::into).collect();
                state.audience.borrow_mut().record_load(now, &from, load);
                let busy = load == Load::Busy;
                state.router.set_peer_report(&from, &activities, busy);
            }
        }
    }
}
