//! Membership by gossip alone, where no host list exists.
//!
//! A router is configured with the addresses of a few seeds. In each round it increments its
//! heartbeat counter and sends the newest heartbeats of all members that it knows to a few of them.
//! A member without a new heartbeat for [`LIVENESS_TIMEOUT`] no longer counts as live. Names and
//! addresses do not change, so each message carries them for a few members only; a receiver
//! requests those that it lacks.

use std::{cmp::Reverse, net::SocketAddr};

use indexmap::{IndexMap, IndexSet};
use rand::{seq::SliceRandom, Rng};
use serde::{Deserialize, Serialize};
use tsw_base::{
    stated,
    time::{Span, Timestamp},
};

use crate::rendezvous;

/// Time without a new heartbeat after which a router no longer counts as live.
pub const LIVENESS_TIMEOUT: Span = Span::from_millis(1_800);
/// Time without a new heartbeat after which a router is removed from the roster.
const FORGET_TIMEOUT: Span = Span::from_secs(30);
/// The same time for a router that is not in contact with a majority: it must not take the few that it reaches for all routers.
const MINORITY_FORGET_TIMEOUT: Span = Span::from_secs(600);
/// Routers of the same failure domain to which a router gossips in each round. With two, running
/// routers of other domains briefly dropped out of some rosters in fleets of 95 and more.
const LOCAL_FANOUT: usize = 3;
/// Routers of other failure domains to which a router gossips in one round at most. Most messages
/// stay within the failure domain, since traffic between domains is expensive.
const REMOTE_FANOUT: usize = 1;
/// Average number of messages per round that all routers of a failure domain together send to other
/// domains. Each message carries the heartbeats of all, so the number need not grow with the fleet.
const REMOTE_MESSAGES_PER_DOMAIN: f64 = 6.0;
/// Members that one message carries in full, the sender included, so that a router that starts
/// becomes known without requests.
const MAX_MEMBERS: usize = 4;
/// Maximum number of members that one message requests, and that the reply holds, so that each fits
/// into one datagram.
const MAX_REQUESTED: usize = 64;
/// Maximum number of heartbeats in one message, so that it fits into one datagram. In larger fleets
/// a message carries the most recent ones.
const MAX_HEARTBEATS: usize = 448;
/// Number of rounds between messages to a random seed while peers are known, so that two parts of a
/// fleet that reached no seed at first discover each other.
const SEED_INTERVAL_ROUNDS: u64 = 8;

/// Minimum share of the fleet's processor time that the strong routers must have for clients to use
/// only those. It is twice what a fleet of 70 routers used under 1,200 requests a second, so that
/// the selection remains active when some of them stop.
const MIN_STRONG_CPU_SHARE: f64 = 0.125;
/// Seed of the rendezvous hash for the order of the routers that clients use; the same at all
/// routers.
const CLIENT_ORDER_SEED: u64 = 0x636c_6e74;
/// Seed of the rendezvous hash for the choice of the store readers; the same at all routers.
const READER_SEED: u64 = 0x7265_6164;

/// A router as it describes itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the host.
    pub host: String,
    /// Failure domain.
    pub domain: String,
    /// Random number drawn at the start of the process, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Counter that the process increments in each gossip round.
    pub heartbeat: u64,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Address for reads by other routers.
    pub control: SocketAddr,
    /// Processor time available to it, in thousandths of a core.
    #[serde(deserialize_with = "stated::deserialize_count")]
    pub processor: u32,
    /// Whether it accepts clients.
    pub ready: bool,
    /// Whether it has read the platform's store recently.
    pub reads_store: bool,
    /// Time for which it has read the store without interruption, in milliseconds.
    #[serde(deserialize_with = "stated::deserialize_amount")]
    pub read_for_ms: u64,
    /// Version of the active configuration there.
    pub version: u64,
    /// Store revision of the upstreams that it knows.
    pub revision: u64,
    /// Era of that revision; `None` if unknown. See [`RosterUpdate::eras`].
    #[serde(skip)]
    pub era: Option<u64>,
}

impl Member {
    fn key(&self) -> u64 {
        rendezvous::weight(self.incarnation, &self.host)
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            key: self.key(),
            heartbeat: self.heartbeat,
            ready: self.ready,
            reads_store: self.reads_store,
            read_for_ms: self.read_for_ms,
            version: self.version,
            revision: self.revision,
            era: self.era,
        }
    }
}

/// The fields of a [`Member`] that change while its process runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Hash of host and incarnation.
    key: u64,
    /// This field and the following ones have the meaning of the fields of [`Member`].
    heartbeat: u64,
    ready: bool,
    reads_store: bool,
    #[serde(deserialize_with = "stated::deserialize_amount")]
    read_for_ms: u64,
    version: u64,
    revision: u64,
    #[serde(skip)]
    era: Option<u64>,
}

/// A gossip message about the members of the fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterUpdate {
    /// Some members in full. The sender is first, except in a reply to a request.
    pub members: Vec<Member>,
    /// The most recent heartbeats.
    pub heartbeats: Vec<Heartbeat>,
    /// Keys of members whose names and addresses the sender requests.
    pub requested: Vec<u64>,
}

impl RosterUpdate {
    /// Returns the eras of the members and of the heartbeats, in this order. They are sent after the
    /// message, where routers that do not know them ignore them.
    #[must_use]
    pub fn eras(&self) -> Vec<Option<u64>> {
        let members = self.members.iter().map(|member| member.era);
        let heartbeats = self.heartbeats.iter().map(|heartbeat| heartbeat.era);
        members.chain(heartbeats).collect()
    }

    /// Sets the eras of a received message. Those that are missing stay unknown.
    ///
    /// ```
    /// use tsw_member::roster::RosterUpdate;
    /// let mut update = RosterUpdate::default();
    /// update.set_eras(&[Some(1)]);
    /// assert!(update.eras().is_empty());
    /// ```
    pub fn set_eras(&mut self, eras: &[Option<u64>]) {
        let members = self.members.iter_mut().map(|member| &mut member.era);
        let heartbeats = self.heartbeats.iter_mut();
        let heartbeats = heartbeats.map(|heartbeat| &mut heartbeat.era);
        for (field, era) in members.chain(heartbeats).zip(eras) {
            *field = *era;
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    key: u64,
    last_heartbeat: Timestamp,
    /// When this incarnation was first heard of.
    known_since: Timestamp,
}

/// The members of the fleet that one router knows.
#[derive(Clone, Debug)]
pub struct Roster {
    /// This router.
    pub me: Member,
    seeds: Vec<SocketAddr>,
    peers: IndexMap<String, Peer>,
    requested: IndexSet<u64>,
    rounds: u64,
}

impl Roster {
    /// Creates the roster of a router that knows only the addresses of seeds.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_member::roster::{Member, RosterUpdate, Roster, LIVENESS_TIMEOUT};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let member = |host: &str| Member {
    ///     host: host.to_owned(), domain: "north".to_owned(), incarnation: 1, heartbeat: 1,
    ///     client: address, gossip: address, control: address, processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0, era: None,
    /// };
    /// let mut roster = Roster::new(member("r1"), Vec::new());
    /// let now = Timestamp::from_micros(1);
    /// let update = RosterUpdate { members: vec![member("r2")], ..RosterUpdate::default() };
    /// roster.receive(now, "r2", &update);
    /// assert_eq!(roster.live(now).count(), 1);
    /// assert_eq!(roster.live(now + LIVENESS_TIMEOUT + Span::from_millis(1)).count(), 0);
    /// ```
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            seeds,
            peers: IndexMap::new(),
            requested: IndexSet::new(),
            rounds: 0,
        }
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Applies a message from `from`.
    ///
    /// An update of a member is accepted if its host is unknown or if it has a higher heartbeat
    /// of the known incarnation. A new incarnation is accepted from the host itself, or from anyone
    /// once the known one is no longer live.
    ///
    /// Returns a reply if the sender requests members that this router knows as live.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: &str,
        update: &RosterUpdate,
    ) -> Option<RosterUpdate> {
        let members = update.members.iter();
        for member in members.filter(|member| member.host != self.me.host) {
            let known = self.peers.get(&member.host);
            let is_newer = match known {
                None => true,
                Some(known) if known.member.incarnation == member.incarnation => {
                    known.member.heartbeat < member.heartbeat
                }
                Some(known) => member.host == from || !is_live(known, now),
            };
            if is_newer {
                let mut peer = Peer {
                    member: member.clone(),
                    key: member.key(),
                    last_heartbeat: now,
                    known_since: now,
                };
                let same = known.filter(|known| known.key == peer.key);
                peer.known_since = same.map_or(now, |known| known.known_since);
                // Routers that do not know eras pass members on without them.
                peer.member.era = peer.member.era.max(same.and_then(|known| known.member.era));
                self.peers.insert(member.host.clone(), peer);
            }
        }
        let mut heartbeats: IndexMap<u64, &Heartbeat> =
            update.heartbeats.iter().map(|b| (b.key, b)).collect();
        heartbeats.swap_remove(&self.me.key());
        for peer in self.peers.values_mut() {
            if let Some(heartbeat) = heartbeats.swap_remove(&peer.key) {
                peer.apply(now, heartbeat);
            }
            self.requested.swap_remove(&peer.key);
        }
        let free = MAX_REQUESTED.saturating_sub(self.requested.len());
        self.requested.extend(heartbeats.into_keys().take(free));
        self.reply(now, &update.requested)
    }

    fn reply(&self, now: Timestamp, requested: &[u64]) -> Option<RosterUpdate> {
        let known = self
            .live_peers(now)
            .filter(|peer| requested.contains(&peer.key));
        let members: Vec<Member> = known
            .map(|peer| peer.member.clone())
            .take(MAX_REQUESTED)
            .collect();
        (!members.is_empty()).then(|| RosterUpdate {
            members,
            ..RosterUpdate::default()
        })
    }

    /// Starts a gossip round: increments the heartbeat and returns the recipients and the message.
    pub fn next_round(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (Vec<SocketAddr>, RosterUpdate) {
        self.me.heartbeat += 1;
        self.rounds += 1;
        let is_with_majority = now.since(self.majority_heard_at(now)) <= LIVENESS_TIMEOUT;
        let forget_after = if is_with_majority {
            FORGET_TIMEOUT
        } else {
            MINORITY_FORGET_TIMEOUT
        };
        self.peers
            .retain(|_, peer| now.since(peer.last_heartbeat) < forget_after);
        let mut live: Vec<&Member> = self.live(now).collect();
        live.shuffle(rng);
        let mut to = self.recipients(&live, rng);
        let own = self.me.gossip;
        let seeds: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own)
            .collect();
        if live.is_empty() {
            to.extend(&seeds);
        } else if self.rounds.is_multiple_of(SEED_INTERVAL_ROUNDS) {
            to.extend(seeds.choose(rng));
        }
        live.shuffle(rng);
        let included = live.into_iter().take(MAX_MEMBERS - 1).cloned();
        let members = std::iter::once(self.me.clone()).chain(included).collect();
        let mut recent: Vec<&Peer> = self.live_peers(now).collect();
        recent.sort_unstable_by_key(|peer| Reverse(peer.last_heartbeat));
        let heartbeats = recent.into_iter().take(MAX_HEARTBEATS);
        let heartbeats = heartbeats.map(|peer| peer.member.heartbeat()).collect();
        let requested = std::mem::take(&mut self.requested).into_iter().collect();
        let update = RosterUpdate {
            members,
            heartbeats,
            requested,
        };
        (to, update)
    }

    /// Returns the recipients of one round from the live routers in random order. If this failure
    /// domain or the other ones have too few routers, those on the other side take their place.
    fn recipients(&self, live: &[&Member], rng: &mut impl Rng) -> Vec<SocketAddr> {
        let is_local = |member: &&&Member| member.domain == self.me.domain;
        let (local, remote): (Vec<&Member>, Vec<&Member>) = live.iter().partition(is_local);
        let domain_size = (local.len() + 1) as f64;
        let sends_remote = rng.gen_bool((REMOTE_MESSAGES_PER_DOMAIN / domain_size).min(1.0));
        let max_remote = if sends_remote { REMOTE_FANOUT } else { 0 };
        let local_shortfall = LOCAL_FANOUT.saturating_sub(local.len());
        let remote_shortfall = REMOTE_FANOUT.saturating_sub(remote.len());
        let local = local.into_iter().take(LOCAL_FANOUT + remote_shortfall);
        let remote = remote.into_iter().take(max_remote + local_shortfall);
        local.chain(remote).map(|member| member.gossip).collect()
    }

    /// Returns whether this router is one of `count` store readers, chosen by rendezvous hashing
    /// among itself and the live routers that read the store. The readers are spread over the
    /// failure domains, so that other routers find one in their own.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_member::roster::{Member, RosterUpdate, Roster};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), incarnation: 1, heartbeat: 1,
    ///     client: address, gossip: address, control: address, processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0, era: None,
    /// };
    /// let now = Timestamp::from_micros(1);
    /// let all: Vec<Member> = (0..9).map(member).collect();
    /// let readers = (0..9).filter(|number| {
    ///     let mut roster = Roster::new(member(*number), Vec::new());
    ///     let update = RosterUpdate { members: all.clone(), ..RosterUpdate::default() };
    ///     roster.receive(now, "r0", &update);
    ///     roster.is_store_reader(now, 3)
    /// });
    /// assert_eq!(readers.count(), 3);
    /// ```
    #[must_use]
    pub fn is_store_reader(&self, now: Timestamp, count: usize) -> bool {
        // A router cannot learn from those that do not state an era if it knows one itself.
        let states_era = |peer: &&Member| peer.era.is_some() || self.me.era.is_none();
        let readers = self.live(now).filter(|peer| peer.reads_store);
        let readers = readers.filter(states_era).chain([&self.me]);
        let mut readers = first_readers(readers, count);
        readers.any(|member| member.host == self.me.host)
    }

    /// Returns up to `count` other live routers that learn first of changes of the store: those that read it or, while none
    /// does, those that would.
    #[must_use]
    pub fn store_readers(&self, now: Timestamp, count: usize) -> Vec<&Member> {
        let reads = self.live(now).any(|peer| peer.reads_store);
        let readers = self.live(now).filter(|peer| peer.reads_store || !reads);
        first_readers(readers, count).collect()
    }

    /// Returns up to `count` other live routers that keep the records of a key, chosen by rendezvous
    /// hashing: all routers that know the same ones choose the same, apart from themselves.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_member::roster::{Member, RosterUpdate, Roster};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), incarnation: 1, heartbeat: 1,
    ///     client: address, gossip: address, control: address, processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0, era: None,
    /// };
    /// let now = Timestamp::from_micros(1);
    /// let mut roster = Roster::new(member(0), Vec::new());
    /// let members = (1..9).map(member).collect();
    /// roster.receive(now, "r1", &RosterUpdate { members, ..RosterUpdate::default() });
    /// assert_eq!(roster.keepers(now, 7, 3), roster.keepers(now, 7, 4)[..3]);
    /// ```
    #[must_use]
    pub fn keepers(&self, now: Timestamp, key: u64, count: usize) -> Vec<&Member> {
        let weight = |member: &&Member| Reverse(rendezvous::weight(key, &member.host));
        let mut live: Vec<&Member> = self.live(now).collect();
        live.sort_by_cached_key(weight);
        live.truncate(count);
        live
    }

    /// Returns the ready router of the highest rendezvous weight for a key; this router if none is ready.
    ///
    /// Routers that know the same members return the same one.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_member::roster::{Member, Roster};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let me = Member {
    ///     host: "r0".to_owned(), domain: "north".to_owned(), incarnation: 1, heartbeat: 1,
    ///     client: address, gossip: address, control: address, processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0, era: None,
    /// };
    /// let roster = Roster::new(me, Vec::new());
    /// assert_eq!(roster.ready_owner(Timestamp::from_micros(1), 7).host, "r0");
    /// ```
    #[must_use]
    pub fn ready_owner(&self, now: Timestamp, key: u64) -> &Member {
        let all = std::iter::once(&self.me).chain(self.live(now));
        let ready = all.filter(|member| member.ready);
        let weight = |member: &&Member| rendezvous::weight(key, &member.host);
        ready.max_by_key(weight).unwrap_or(&self.me)
    }

    /// Returns the routers that clients should use, in an order that is the same at all routers.
    ///
    /// These are the strong routers: the ready ones with at least half of the processor time of the
    /// strongest. All ready routers are returned if the strong ones have less than an eighth of the
    /// fleet's processor time or if a failure domain has none. Weak routers are left out because
    /// many clients of a team use one router, and a weak one cannot serve them.
    #[must_use]
    pub fn client_routers(&self, now: Timestamp) -> Vec<&Member> {
        let all = std::iter::once(&self.me).chain(self.live(now));
        let mut ready: Vec<&Member> = all.filter(|member| member.ready).collect();
        ready.sort_by_cached_key(|member| rendezvous::weight(CLIENT_ORDER_SEED, &member.host));
        let max_cpu = ready.iter().map(|member| member.processor).max();
        let is_strong = |member: &&&Member| member.processor * 2 >= max_cpu.unwrap_or(0);
        let strong: Vec<&Member> = ready.iter().filter(is_strong).copied().collect();
        let total_cpu = |members: &[&Member]| -> f64 {
            let each = members.iter().map(|member| f64::from(member.processor));
            each.sum()
        };
        let all_domains_covered = ready.iter().all(|member| {
            let mut strong = strong.iter();
            strong.any(|found| found.domain == member.domain)
        });
        if all_domains_covered && total_cpu(&strong) >= total_cpu(&ready) * MIN_STRONG_CPU_SHARE {
            strong
        } else {
            ready
        }
    }

    /// Returns the other routers that are live.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.live_peers(now).map(|peer| &peer.member)
    }

    /// Returns for how long another router has run at least, as far as this one has heard of it.
    #[must_use]
    pub fn known_for(&self, now: Timestamp, host: &str) -> Span {
        let peer = self.peers.get(host);
        peer.map_or(Span::ZERO, |peer| now.since(peer.known_since))
    }

    /// Returns the latest time at which this router was in contact with a majority of the routers, itself included: now if it knows of no
    /// other one. Routers that were stopping when they were last heard from do not count.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_member::roster::{Member, RosterUpdate, Roster};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), incarnation: 1, heartbeat: 1,
    ///     client: address, gossip: address, control: address, processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0, era: None,
    /// };
    /// let (at, now) = (Timestamp::from_micros, Timestamp::from_micros(9));
    /// let mut roster = Roster::new(member(0), Vec::new());
    /// assert_eq!(roster.majority_heard_at(now), now);
    /// for number in 1..5 {
    ///     let update = RosterUpdate { members: vec![member(number)], ..RosterUpdate::default() };
    ///     roster.receive(at(number.into()), "r1", &update);
    /// }
    /// // With r3 and r4, which were heard from last, it is one of three of five.
    /// assert_eq!(roster.majority_heard_at(now), at(3));
    /// ```
    #[must_use]
    pub fn majority_heard_at(&self, now: Timestamp) -> Timestamp {
        let ready = self.peers.values().filter(|peer| peer.member.ready);
        let mut heard: Vec<Timestamp> = ready.map(|peer| peer.last_heartbeat).collect();
        heard.sort_unstable_by_key(|at| Reverse(*at));
        let needed = heard.len().div_ceil(2);
        needed.checked_sub(1).map_or(now, |last| heard[last])
    }

    /// Returns when this router last heard from another one that reads the store.
    #[must_use]
    pub fn reader_heard_at(&self) -> Option<Timestamp> {
        let readers = self.peers.values().filter(|peer| peer.member.reads_store);
        readers.map(|peer| peer.last_heartbeat).max()
    }

    fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| is_live(peer, now))
    }
}

/// Returns the first of the routers that read the store. The first one of every failure domain precedes the second one of any.
fn first_readers<'a>(
    members: impl Iterator<Item = &'a Member>,
    count: usize,
) -> impl Iterator<Item = &'a Member> {
    let rank = |member: &Member| rendezvous::weight(READER_SEED, &member.host);
    let mut readers: Vec<&Member> = members.collect();
    readers.sort_by_cached_key(|member| (Reverse(rank(member)), member.host.clone()));
    let mut places: IndexMap<&str, usize> = IndexMap::new();
    let placed = readers.into_iter().map(|member| {
        let place = places.entry(&member.domain).or_default();
        *place += 1;
        (*place, member)
    });
    let mut placed: Vec<(usize, &Member)> = placed.collect();
    placed.sort_by_key(|(place, _)| *place);
    placed.into_iter().take(count).map(|(_, member)| member)
}

impl Peer {
    fn apply(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        if heartbeat.heartbeat <= self.member.heartbeat {
            return;
        }
        self.last_heartbeat = now;
        let member = &mut self.member;
        member.heartbeat = heartbeat.heartbeat;
        member.ready = heartbeat.ready;
        member.reads_store = heartbeat.reads_store;
        member.read_for_ms = heartbeat.read_for_ms;
        member.version = heartbeat.version;
        member.revision = heartbeat.revision;
        member.era = member.era.max(heartbeat.era);
    }
}

fn is_live(peer: &Peer, now: Timestamp) -> bool {
    now.since(peer.last_heartbeat) <= LIVENESS_TIMEOUT
}
