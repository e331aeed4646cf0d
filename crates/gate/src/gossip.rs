//! Membership and load between routers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time};
use tsw_base::time::Tick;
use tsw_event::{emit, Event};
use tsw_flow::{account::Work, pool::Use, prompt::Part};
use tsw_member::{
    audience,
    roster::{Member, News, LIVE_FOR},
};
use tsw_poison::Suspect;
use tsw_relay::router;
use tsw_route::Name;

use crate::gate::{Gate, Phase};

/// Period of gossip about members.
const MEMBERS: Duration = Duration::from_millis(250);
/// Longest datagram that is read.
const MAX_DATAGRAM: usize = 16_384;

#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Members(News),
    Activities(Vec<Activity>),
    Findings(Suspect),
}

/// What one router does for a service, as it is sent.
#[derive(Debug, Deserialize, Serialize)]
struct Activity {
    service: String,
    /// Upstream, requests and tokens of prompts that are not read yet.
    uses: Vec<(String, u32, u64)>,
    /// Upstream, and parts of prompts that it was told to read: identifier and tokens.
    read: Vec<(String, Vec<(u64, u64)>)>,
    /// Team, and work that it asked for and received lately.
    teams: Vec<(String, f32, f32)>,
}

impl From<&router::Activity> for Activity {
    fn from(activity: &router::Activity) -> Self {
        let uses = activity.uses.iter();
        let teams = activity.teams.iter();
        let read = activity.read.iter().map(|(id, parts)| {
            let parts = parts.iter().map(|part| (part.id, part.tokens));
            (id.to_string(), parts.collect())
        });
        Self {
            service: activity.service.to_string(),
            uses: uses
                .map(|(id, used)| (id.to_string(), used.requests, used.unread))
                .collect(),
            read: read.collect(),
            teams: teams
                .map(|(team, work)| (team.to_string(), work.asked as f32, work.received as f32))
                .collect(),
        }
    }
}

impl From<Activity> for router::Activity {
    fn from(activity: Activity) -> Self {
        let uses = activity.uses.into_iter();
        let teams = activity.teams.into_iter();
        let read = activity.read.into_iter().map(|(id, parts)| {
            let parts = parts.into_iter().map(|(id, tokens)| Part { id, tokens });
            (id.into(), parts.collect())
        });
        Self {
            service: activity.service.into(),
            uses: uses
                .map(|(id, requests, unread)| (id.into(), Use { requests, unread }))
                .collect(),
            read: read.collect(),
            teams: teams
                .map(|(team, asked, received)| {
                    let (asked, received) = (f64::from(asked), f64::from(received));
                    (team.into(), Work { asked, received })
                })
                .collect(),
        }
    }
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
        let (mut to, news) = gate.roster.borrow_mut().round(now, &mut rand::thread_rng());
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
    let mut worked = Tick::ZERO;
    loop {
        time::sleep(gate.router.statement_period().as_duration()).await;
        let findings = gate.router.take_findings();
        if !findings.findings.is_empty() {
            send(&gate, &socket, &live(&gate), Message::Findings(findings)).await;
        }
        let activities = gate.router.activities();
        let now = gate.router.now();
        if !activities.is_empty() {
            worked = now;
        } else if now.since(worked) > LIVE_FOR {
            // That the work has ended was stated several times.
            continue;
        }
        let to = audience(&gate, now);
        let message = Message::Activities(activities.iter().map(Activity::from).collect());
        send(&gate, &socket, &to, message).await;
    }
}

/// Returns where the routers that need the next statement hear gossip.
fn audience(gate: &Gate, now: Tick) -> Vec<SocketAddr> {
    let roster = gate.roster.borrow();
    let live: Vec<&Member> = roster.live(now).collect();
    let mut audience = gate.audience.borrow_mut();
    audience.next(now, &live, &roster.listed(now))
}

/// Forgets what routers stated that ended or have nothing to state.
fn forget(gate: &Gate, heard: &mut IndexMap<Name, Tick>) {
    let now = gate.router.now();
    let stated_for = audience::stated_for(gate.router.statement_period());
    let roster = gate.roster.borrow();
    let live: IndexSet<&str> = roster.live(now).map(|peer| &*peer.host).collect();
    heard.retain(|router, at| {
        let counts = now.since(*at) <= stated_for && live.contains(&**router);
        if !counts {
            gate.router.set_others(router, &[]);
        }
        counts
    });
}

/// Hears other routers until the process ends.
pub async fn hear(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    let mut heard: IndexMap<Name, Tick> = IndexMap::new();
    let mut forgot = Tick::ZERO;
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let received = time::timeout(MEMBERS, socket.recv_from(&mut buffer)).await;
        let now = gate.router.now();
        if now.since(forgot).as_duration() >= MEMBERS {
            forgot = now;
            forget(&gate, &mut heard);
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
        let datagram: Datagram = match postcard::from_bytes(&buffer[..length]) {
            Ok(datagram) => datagram,
            Err(error) => {
                emit(Event::FrameDropped, &[("cause", &error)]);
                continue;
            }
        };
        match datagram.message {
            Message::Members(news) => {
                let answer = gate.roster.borrow_mut().hear(now, &datagram.from, &news);
                if let Some(answer) = answer {
                    send(&gate, &socket, &[source], Message::Members(answer)).await;
                }
            }
            Message::Findings(suspect) => gate.router.set_findings(suspect),
            Message::Activities(activities) => {
                let from: Name = datagram.from.as_str().into();
                let activities: Vec<router::Activity> =
                    activities.into_iter().map(Into::into).collect();
                if !activities.is_empty() {
                    gate.audience.borrow_mut().worked(now, &from);
                }
                gate.router.set_others(&from, &activities);
                heard.insert(from, now);
            }
        }
    }
}
