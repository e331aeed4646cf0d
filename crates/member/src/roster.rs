//! Membership by gossip alone, where no host list exists.
//!
//! A router knows the addresses of a few seeds. Each router counts a beat and tells some others
//! the newest beats of all that it knows; a router whose beat stands still is no longer listed. Names
//! and addresses, which do not change, are told of a few in each message and to those who ask.

use std::{cmp::Reverse, net::SocketAddr};

use indexmap::{IndexMap, IndexSet};
use rand::{seq::SliceRandom, Rng};
use serde::{Deserialize, Serialize};
use tsw_base::time::{Span, Tick};

use crate::rendezvous;

/// Time without a new beat after which a router is no longer listed.
pub const LIVE_FOR: Span = Span::from_millis(1_800);
/// Time without a new beat after which a router is forgotten.
const KNOWN_FOR: Span = Span::from_secs(30);
/// Routers of its own failure domain, and of others, to which a router gossips in each round. Most of
/// the messages stay within the failure domain, since traffic between them is dear. With two near ones,
/// running routers of other domains drop out of some lists for a moment in fleets of 95 and more.
const FAN_OUT_NEAR: usize = 3;
const FAN_OUT_FAR: usize = 1;
/// Messages to other failure domains that the routers of one domain send together in each round, on
/// average. They carry the news of all, so that they need not grow with the routers.
const FAR_OF_DOMAIN: f64 = 6.0;
/// Members in one message that are told with name and addresses, so that the news of one that
/// starts spreads without being asked for.
const MOST_TOLD: usize = 4;
/// Most members that are asked for in one message, and told in the answer, so that it fits into one
/// datagram.
const MOST_WANTED: usize = 64;
/// Most beats in one message, so that it fits into one datagram. Larger fleets tell the latest.
const MOST_BEATS: usize = 448;
/// Rounds after which a seed is asked again even though peers are known, so that two parts of a
/// fleet that found no seed at first find each other.
const SEED_ROUNDS: u64 = 8;

/// Part of the fleet's processor time that the strongest routers must have so that only they are
/// listed for clients: twice what a fleet of 70 routers used under 1,200 requests a second, so that
/// the list stays the same when some of them end.
const STRONG_PART: f64 = 0.125;
/// Purpose of the hash that orders the routers for clients, the same at all routers.
const CLIENTS: u64 = 0x636c_6e74;
/// Purpose of the hash that chooses the readers of the store, the same at all routers.
const READERS: u64 = 0x7265_6164;

/// A router as it describes itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the host.
    pub host: String,
    /// Failure domain.
    pub domain: String,
    /// Number drawn at the start of the process.
    pub run: u64,
    /// Counts up while the process runs.
    pub beat: u64,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Address for reads by other routers.
    pub control: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub processor: u32,
    /// Whether clients may be sent there.
    pub ready: bool,
    /// Whether it read the platform's store lately.
    pub reads_store: bool,
    /// Time for which it has read the store without a break, in milliseconds.
    pub read_for_ms: u64,
    /// Version of the configuration in force there.
    pub version: u64,
    /// Revision up to which it knows the upstreams.
    pub revision: u64,
}

impl Member {
    fn key(&self) -> u64 {
        rendezvous::weight(self.run, &self.host)
    }

    fn beat(&self) -> Beat {
        Beat {
            key: self.key(),
            beat: self.beat,
            ready: self.ready,
            reads_store: self.reads_store,
            read_for_ms: self.read_for_ms,
            version: self.version,
            revision: self.revision,
        }
    }
}

/// What changes of a router that is known already.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// Hash of host and run.
    key: u64,
    /// See [`Member::beat`]; the other fields likewise.
    beat: u64,
    ready: bool,
    reads_store: bool,
    read_for_ms: u64,
    version: u64,
    revision: u64,
}

/// What a router tells others about the fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// Some members in full, the sender first.
    pub members: Vec<Member>,
    /// The latest beats.
    pub beats: Vec<Beat>,
    /// Keys of members whose name and addresses the sender does not know.
    pub wanted: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    key: u64,
    heard: Tick,
}

/// What a router knows of the others.
#[derive(Clone, Debug)]
pub struct Roster {
    /// This router.
    pub me: Member,
    seeds: Vec<SocketAddr>,
    peers: IndexMap<String, Peer>,
    wanted: IndexSet<u64>,
    rounds: u64,
}

impl Roster {
    /// Makes the roster of a router that knows only seeds.
    ///
    /// ```
    /// use tsw_base::time::{Span, Tick};
    /// use tsw_member::roster::{Member, News, Roster, LIVE_FOR};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let member = |host: &str| Member {
    ///     host: host.to_owned(), domain: "north".to_owned(), run: 1, beat: 1, client: address,
    ///     gossip: address, control: address, processor: 250, ready: true, reads_store: true, read_for_ms: 0, version: 0, revision: 0,
    /// };
    /// let mut roster = Roster::new(member("r1"), Vec::new());
    /// let now = Tick::from_micros(1);
    /// let news = News { members: vec![member("r2")], ..News::default() };
    /// roster.hear(now, "r2", &news);
    /// assert_eq!(roster.live(now).count(), 1);
    /// assert_eq!(roster.live(now + LIVE_FOR + Span::from_millis(1)).count(), 0);
    /// ```
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            seeds,
            peers: IndexMap::new(),
            wanted: IndexSet::new(),
            rounds: 0,
        }
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes what `from` tells. A router is believed about itself; about others only a later beat
    /// of a known run counts, or a host that is not known.
    ///
    /// Returns an answer to the sender if it asks for members that this router knows.
    pub fn hear(&mut self, now: Tick, from: &str, news: &News) -> Option<News> {
        let members = news.members.iter();
        for member in members.filter(|member| member.host != self.me.host) {
            let known = self.peers.get(&member.host);
            let news = match known {
                None => true,
                Some(known) if known.member.run == member.run => known.member.beat < member.beat,
                Some(known) => member.host == from || !is_live(known, now),
            };
            if news {
                let peer = Peer {
                    member: member.clone(),
                    key: member.key(),
                    heard: now,
                };
                self.peers.insert(member.host.clone(), peer);
            }
        }
        let mut beats: IndexMap<u64, &Beat> = news.beats.iter().map(|b| (b.key, b)).collect();
        beats.swap_remove(&self.me.key());
        for peer in self.peers.values_mut() {
            if let Some(beat) = beats.swap_remove(&peer.key) {
                peer.take(now, beat);
            }
            self.wanted.swap_remove(&peer.key);
        }
        let room = MOST_WANTED.saturating_sub(self.wanted.len());
        self.wanted.extend(beats.into_keys().take(room));
        self.answer(now, &news.wanted)
    }

    fn answer(&self, now: Tick, wanted: &[u64]) -> Option<News> {
        let known = self
            .live_peers(now)
            .filter(|peer| wanted.contains(&peer.key));
        let members: Vec<Member> = known
            .map(|peer| peer.member.clone())
            .take(MOST_WANTED)
            .collect();
        (!members.is_empty()).then(|| News {
            members,
            ..News::default()
        })
    }

    /// Counts a beat and returns the routers to tell and what to tell them.
    pub fn round(&mut self, now: Tick, rng: &mut impl Rng) -> (Vec<SocketAddr>, News) {
        self.me.beat += 1;
        self.rounds += 1;
        self.peers
            .retain(|_, peer| now.since(peer.heard) < KNOWN_FOR);
        let mut live: Vec<&Member> = self.live(now).collect();
        live.shuffle(rng);
        let mut to = self.fan_out(&live, rng);
        let own = self.me.gossip;
        let seeds: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own)
            .collect();
        if live.is_empty() {
            to.extend(&seeds);
        } else if self.rounds.is_multiple_of(SEED_ROUNDS) {
            to.extend(seeds.choose(rng));
        }
        live.shuffle(rng);
        let told = live.into_iter().take(MOST_TOLD - 1).cloned();
        let members = std::iter::once(self.me.clone()).chain(told).collect();
        let mut latest: Vec<&Peer> = self.live_peers(now).collect();
        latest.sort_unstable_by_key(|peer| Reverse(peer.heard));
        let beats = latest.into_iter().take(MOST_BEATS);
        let beats = beats.map(|peer| peer.member.beat()).collect();
        let wanted = std::mem::take(&mut self.wanted).into_iter().collect();
        let news = News {
            members,
            beats,
            wanted,
        };
        (to, news)
    }

    /// Returns the routers that are told in a round, given all in a random order. Where a failure
    /// domain has too few of them, others take their place.
    fn fan_out(&self, live: &[&Member], rng: &mut impl Rng) -> Vec<SocketAddr> {
        let is_near = |member: &&&Member| member.domain == self.me.domain;
        let (near, far): (Vec<&Member>, Vec<&Member>) = live.iter().partition(is_near);
        let in_domain = (near.len() + 1) as f64;
        let tells_far = rng.gen_bool((FAR_OF_DOMAIN / in_domain).min(1.0));
        let most_far = if tells_far { FAN_OUT_FAR } else { 0 };
        let instead = FAN_OUT_NEAR.saturating_sub(near.len());
        let spare = FAN_OUT_FAR.saturating_sub(far.len());
        let near = near.into_iter().take(FAN_OUT_NEAR + spare);
        let far = far.into_iter().take(most_far + instead);
        near.chain(far).map(|member| member.gossip).collect()
    }

    /// Returns whether this router has one of the `count` highest ranks for a duty among itself and
    /// the running routers that read the store. They are spread over the failure domains, so that the
    /// others find one in their own.
    ///
    /// ```
    /// use tsw_base::time::Tick;
    /// use tsw_member::roster::{Member, News, Roster};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), run: 1, beat: 1, client: address,
    ///     gossip: address, control: address, processor: 250, ready: true, reads_store: true, read_for_ms: 0, version: 0, revision: 0,
    /// };
    /// let now = Tick::from_micros(1);
    /// let all: Vec<Member> = (0..9).map(member).collect();
    /// let readers = (0..9).filter(|number| {
    ///     let mut roster = Roster::new(member(*number), Vec::new());
    ///     let news = News { members: all.clone(), ..News::default() };
    ///     roster.hear(now, "r0", &news);
    ///     roster.is_reader(now, 3)
    /// });
    /// assert_eq!(readers.count(), 3);
    /// ```
    #[must_use]
    pub fn is_reader(&self, now: Tick, count: usize) -> bool {
        let rank = |member: &Member| rendezvous::weight(READERS, &member.host);
        let readers = self.live(now).filter(|peer| peer.reads_store);
        let mut readers: Vec<&Member> = readers.chain([&self.me]).collect();
        readers.sort_by_cached_key(|member| (Reverse(rank(member)), member.host.clone()));
        // The first of each failure domain goes before the second of any.
        let mut turns: IndexMap<&str, usize> = IndexMap::new();
        let turns = readers.iter().map(|member| {
            let turn = turns.entry(&member.domain).or_default();
            *turn += 1;
            (*turn, member.host == self.me.host)
        });
        let mut turns: Vec<(usize, bool)> = turns.collect();
        turns.sort_by_key(|(turn, _)| *turn);
        turns.into_iter().take(count).any(|(_, own)| own)
    }

    /// Returns the routers that clients are to use, in an order that is the same at all routers.
    ///
    /// These are the ready routers with at least half of the processor time of the strongest one, if
    /// they have a good part of that of the fleet and each failure domain has some; otherwise all.
    /// Many clients of a team use one router, which a weak one cannot bear.
    #[must_use]
    pub fn listed(&self, now: Tick) -> Vec<&Member> {
        let all = std::iter::once(&self.me).chain(self.live(now));
        let mut ready: Vec<&Member> = all.filter(|member| member.ready).collect();
        ready.sort_by_cached_key(|member| rendezvous::weight(CLIENTS, &member.host));
        let most = ready.iter().map(|member| member.processor).max();
        let is_strong = |member: &&&Member| member.processor * 2 >= most.unwrap_or(0);
        let strong: Vec<&Member> = ready.iter().filter(is_strong).copied().collect();
        let time = |members: &[&Member]| -> f64 {
            let each = members.iter().map(|member| f64::from(member.processor));
            each.sum()
        };
        let covered = ready.iter().all(|member| {
            let mut near = strong.iter();
            near.any(|found| found.domain == member.domain)
        });
        if covered && time(&strong) >= time(&ready) * STRONG_PART {
            strong
        } else {
            ready
        }
    }

    /// Returns the other routers that run.
    pub fn live(&self, now: Tick) -> impl Iterator<Item = &Member> {
        self.live_peers(now).map(|peer| &peer.member)
    }

    fn live_peers(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| is_live(peer, now))
    }
}

impl Peer {
    fn take(&mut self, now: Tick, beat: &Beat) {
        if beat.beat <= self.member.beat {
            return;
        }
        self.heard = now;
        let member = &mut self.member;
        member.beat = beat.beat;
        member.ready = beat.ready;
        member.reads_store = beat.reads_store;
        member.read_for_ms = beat.read_for_ms;
        member.version = beat.version;
        member.revision = beat.revision;
    }
}

fn is_live(peer: &Peer, now: Tick) -> bool {
    now.since(peer.heard) <= LIVE_FOR
}
