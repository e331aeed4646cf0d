//! Schedule of the probes, and the probes that are unanswered.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rand::{seq::SliceRandom, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use crate::{rendezvous, timing};

/// Seed of the hashes that order the hosts on the ring.
const RING_SEED: u64 = 1;

/// An unanswered probe.
#[derive(Clone, Debug)]
struct Probe {
    host: name::Host,
    deadline: Timestamp,
}

/// The order in which peers are probed, and the open probes.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    /// All peers ordered by hash.
    ring: Vec<name::Host>,
    /// Index in the ring of the peer that follows this router.
    next: usize,
    order: Vec<name::Host>,
    position: usize,
    dead: VecDeque<name::Host>,
    open: IndexMap<u64, Probe>,
    last_nonce: u64,
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
            last_nonce: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the peers of `me`.
    pub(crate) fn set_hosts<'a>(
        &mut self,
        me: &name::Host,
        hosts: impl Iterator<Item = &'a name::Host>,
    ) {
        let ring_key =
            |host: &name::Host| (rendezvous::weight(RING_SEED, host.as_str()), host.clone());
        self.ring = hosts.cloned().collect();
        self.ring.sort_by_cached_key(ring_key);
        self.next = self
            .ring
            .partition_point(|host| ring_key(host) < ring_key(me));
        self.order.clear();
        self.position = 0;
    }

    /// Returns the peers to probe in the next round. Each target is probed once per pass through
    /// the shuffled order.
    pub(crate) fn next_round(&mut self, skip: impl Fn(&name::Host) -> bool) -> Vec<name::Host> {
        let mut chosen: Vec<name::Host> = Vec::new();
        for _ in 0..timing::MAX_SCANNED.min(self.ring.len()) {
            if chosen.len() == timing::PROBES_PER_ROUND {
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

    /// Returns the probe targets: all peers of a small fleet, otherwise those at the distances 1,
    /// 2, 4 and so on along the ring of the peers that are not skipped.
    ///
    /// Fixed targets let probes reuse sessions: a session closes after some seconds without use, so
    /// in a large fleet nearly every probe of a random peer would need a new one. Updates still
    /// reach every host in a number of rounds logarithmic in the size of the fleet.
    fn targets(&self, skip: impl Fn(&name::Host) -> bool) -> Vec<name::Host> {
        let (before, after) = self.ring.split_at(self.next);
        let hosts = after.iter().chain(before);
        let live: Vec<&name::Host> = hosts.filter(|host| !skip(host)).collect();
        if live.len() <= timing::MAX_ALL_PROBED {
            return live.into_iter().cloned().collect();
        }
        let distances = (0..usize::BITS).map(|power| 1 << power);
        let distances = distances.take_while(|distance| *distance <= live.len());
        distances
            .map(|distance: usize| live[distance - 1].clone())
            .collect()
    }

    /// Adds a host to the dead ones, which are probed at a longer interval.
    pub(crate) fn add_dead(&mut self, host: &name::Host) {
        if !self.dead.contains(host) {
            self.dead.push_back(host.clone());
        }
    }

    /// Returns the next dead host to probe and drops hosts that are no longer dead.
    pub(crate) fn next_dead(
        &mut self,
        is_dead: impl Fn(&name::Host) -> bool,
    ) -> Option<name::Host> {
        while let Some(host) = self.dead.pop_front() {
            if is_dead(&host) {
                self.dead.push_back(host.clone());
                return Some(host);
            }
        }
        None
    }

    /// Opens a probe and returns its nonce.
    pub(crate) fn open_probe(&mut self, host: &name::Host, deadline: Timestamp) -> u64 {
        self.last_nonce += 1;
        let probe = Probe {
            host: host.clone(),
            deadline,
        };
        self.open.insert(self.last_nonce, probe);
        self.last_nonce
    }

    /// Closes all probes of a host.
    pub(crate) fn close_probes(&mut self, host: &name::Host) {
        self.open.retain(|_, probe| probe.host != *host);
    }

    /// Returns whether a probe of the host is open.
    pub(crate) fn has_open_probe(&self, host: &name::Host) -> bool {
        self.open.values().any(|probe| probe.host == *host)
    }

    /// Closes the probes past their deadline and returns their hosts.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> IndexSet<name::Host> {
        let expired = self.open.values().filter(|probe| probe.deadline <= now);
        let hosts = expired.map(|probe| probe.host.clone()).collect();
        self.open.retain(|_, probe| probe.deadline > now);
        hosts
    }

    /// Extends all deadlines by the length of a pause of this process.
    pub(crate) fn extend_deadlines(&mut self, pause: Span) {
        for probe in self.open.values_mut() {
            probe.deadline = probe.deadline + pause;
        }
    }
}
