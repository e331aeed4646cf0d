//! Which peers are probed, and which probes are unanswered.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rand::{seq::SliceRandom, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_base::{
    name,
    time::{Span, Tick},
};

use crate::{rendezvous, timing};

/// Purpose of the hashes that order the hosts around the ring.
const RING: u64 = 1;

/// A probe that is not answered yet.
#[derive(Clone, Debug)]
struct Open {
    host: name::Host,
    until: Tick,
}

/// The order of probes and the open ones.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    /// All peers in the order of their hashes.
    ring: Vec<name::Host>,
    /// Place in the ring of the peer that follows this router.
    next: usize,
    order: Vec<name::Host>,
    position: usize,
    dead: VecDeque<name::Host>,
    open: IndexMap<u64, Open>,
    nonce: u64,
    random: Pcg64Mcg,
}

impl Schedule {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            ring: Vec::new(),
            next: 0,
            order: Vec::new(),
            position: 0,
            dead: VecDeque::new(),
            open: IndexMap::new(),
            nonce: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the peers of `me`.
    pub(crate) fn set<'a>(&mut self, me: &name::Host, hosts: impl Iterator<Item = &'a name::Host>) {
        let place = |host: &name::Host| (rendezvous::weight(RING, host.as_str()), host.clone());
        self.ring = hosts.cloned().collect();
        self.ring.sort_by_cached_key(place);
        self.next = self.ring.partition_point(|host| place(host) < place(me));
        self.order.clear();
        self.position = 0;
    }

    /// Returns the peers of the next round: each that is to be probed once in every pass through
    /// the order.
    pub(crate) fn round(&mut self, skip: impl Fn(&name::Host) -> bool) -> Vec<name::Host> {
        let mut chosen: Vec<name::Host> = Vec::new();
        for _ in 0..timing::SCAN.min(self.ring.len()) {
            if chosen.len() == timing::FANOUT {
                break;
            }
            if self.position == self.order.len() {
                self.order = self.targets(&skip);
                self.order.shuffle(&mut self.random);
                self.position = 0;
            }
            let Some(host) = self.order.get(self.position) else {
                break;
            };
            self.position += 1;
            if !skip(host) && !chosen.contains(host) {
                chosen.push(host.clone());
            }
        }
        chosen
    }

    /// Returns the peers to probe: all of a small fleet, else those at the distances 1, 2, 4 and so
    /// on around the ring of the peers that are not skipped.
    ///
    /// A fixed choice lets probes reuse sessions: a session that is unused for some seconds closes,
    /// and in a large fleet a random peer would need a new one for nearly each probe. Statements
    /// still reach every host within a number of rounds that grows with the logarithm of the fleet.
    fn targets(&self, skip: impl Fn(&name::Host) -> bool) -> Vec<name::Host> {
        let (before, after) = self.ring.split_at(self.next);
        let hosts = after.iter().chain(before);
        let live: Vec<&name::Host> = hosts.filter(|host| !skip(host)).collect();
        if live.len() <= timing::ALL {
            return live.into_iter().cloned().collect();
        }
        let distances = (0..usize::BITS).map(|power| 1 << power);
        let distances = distances.take_while(|distance| *distance <= live.len());
        distances
            .map(|distance: usize| live[distance - 1].clone())
            .collect()
    }

    /// Adds a host to those that are probed at the slower pace.
    pub(crate) fn bury(&mut self, host: &name::Host) {
        if !self.dead.contains(host) {
            self.dead.push_back(host.clone());
        }
    }

    /// Returns the next dead host to probe; hosts that are not dead any more are dropped.
    pub(crate) fn next_dead(&mut self, dead: impl Fn(&name::Host) -> bool) -> Option<name::Host> {
        while let Some(host) = self.dead.pop_front() {
            if dead(&host) {
                self.dead.push_back(host.clone());
                return Some(host);
            }
        }
        None
    }

    /// Opens a probe and returns its number.
    pub(crate) fn open(&mut self, host: &name::Host, until: Tick) -> u64 {
        self.nonce += 1;
        let probe = Open {
            host: host.clone(),
            until,
        };
        self.open.insert(self.nonce, probe);
        self.nonce
    }

    /// Closes all probes of a host that has shown itself alive.
    pub(crate) fn answered(&mut self, host: &name::Host) {
        self.open.retain(|_, probe| probe.host != *host);
    }

    /// Tells whether a probe of the host is open.
    pub(crate) fn is_open(&self, host: &name::Host) -> bool {
        self.open.values().any(|probe| probe.host == *host)
    }

    /// Closes the probes that are overdue and returns their hosts.
    pub(crate) fn expire(&mut self, now: Tick) -> IndexSet<name::Host> {
        let overdue = self.open.values().filter(|probe| probe.until <= now);
        let hosts = overdue.map(|probe| probe.host.clone()).collect();
        self.open.retain(|_, probe| probe.until > now);
        hosts
    }

    /// Moves all deadlines by the length of a pause of this process.
    pub(crate) fn postpone(&mut self, pause: Span) {
        for probe in self.open.values_mut() {
            probe.until = probe.until + pause;
        }
    }
}
