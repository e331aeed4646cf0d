//! The upstreams of one service and their slots.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::IndexSet;
use tsw_base::{name, time};

use crate::message::Id;

/// Least limit of an upstream that gets grants ahead of a free slot. With a single slot, one
/// straggler would hold up the request behind it for its whole length.
const AHEAD_LEAST_LIMIT: u32 = 2;

/// Rank of an upstream: how far it is over its limit, its use in thousandths of the limit, the
/// number of its latest grant, and its index.
type Rank = (u32, u32, u64, u32);

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// Whether this home schedules it.
    pub owned: bool,
    /// Most requests that it is to run at a time.
    pub limit: u32,
    /// Since when its grants are held back for reports of slots already in use.
    pub held: Option<time::Tick>,
    /// Grants in use.
    pub runs: IndexSet<Id>,
    /// Grants made ahead of a free slot, the oldest first.
    pub ahead: VecDeque<Id>,
    /// Whether its only request must run alone.
    pub solo: bool,
    /// Whether it is being emptied for a request that must run alone.
    pub reserved: bool,
    /// Number of its latest grant.
    latest: u64,
}

impl Upstream {
    fn rank(&self, index: u32) -> Option<Rank> {
        let open = self.owned && self.limit > 0 && self.held.is_none();
        if !open || self.solo || self.reserved {
            return None;
        }
        let running = self.runs.len() as u32;
        let over = match running.checked_sub(self.limit) {
            None => 0,
            Some(over) if self.limit >= AHEAD_LEAST_LIMIT => over + 1,
            Some(_) => u32::MAX,
        };
        let part = u64::from(running) * 1_000 / u64::from(self.limit);
        Some((over, part as u32, self.latest, index))
    }
}

/// The upstreams of one service, in the order in which they take requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    names: HashMap<name::Upstream, u32>,
    upstreams: Vec<Option<Upstream>>,
    vacant: Vec<u32>,
    order: BTreeSet<Rank>,
}

impl Slots {
    /// Returns the index of a known upstream.
    pub fn find(&self, name: &name::Upstream) -> Option<u32> {
        self.names.get(name).copied()
    }

    /// Returns the index of an upstream, which it adds if it is not known.
    pub fn find_or_add(&mut self, name: &name::Upstream) -> u32 {
        if let Some(index) = self.find(name) {
            return index;
        }
        let upstream = Upstream {
            name: name.clone(),
            owned: false,
            limit: 0,
            held: None,
            runs: IndexSet::new(),
            ahead: VecDeque::new(),
            solo: false,
            reserved: false,
            latest: 0,
        };
        let index = match self.vacant.pop() {
            Some(index) => {
                self.upstreams[index as usize] = Some(upstream);
                index
            }
            None => {
                self.upstreams.push(Some(upstream));
                (self.upstreams.len() - 1) as u32
            }
        };
        self.names.insert(name.clone(), index);
        index
    }

    /// Returns an upstream.
    pub fn get(&self, index: u32) -> Option<&Upstream> {
        self.upstreams.get(index as usize)?.as_ref()
    }

    /// Changes an upstream and keeps the order in step with it. An upstream that this home neither
    /// schedules nor has grants on is dropped.
    pub fn update<R>(&mut self, index: u32, change: impl FnOnce(&mut Upstream) -> R) -> Option<R> {
        let place = self.upstreams.get_mut(index as usize)?;
        let upstream = place.as_mut()?;
        let before = upstream.rank(index);
        let result = change(upstream);
        let after = upstream.rank(index);
        if !upstream.owned && upstream.runs.is_empty() {
            self.names.remove(&upstream.name);
            *place = None;
            self.vacant.push(index);
        }
        if before != after {
            before.map(|rank| self.order.remove(&rank));
            after.map(|rank| self.order.insert(rank));
        }
        Some(result)
    }

    /// Returns the upstream that takes the next request, if one has a free slot or room for one of
    /// `ahead` requests beyond its limit.
    pub fn best(&self, ahead: u32) -> Option<u32> {
        let (over, _, _, index) = self.order.first()?;
        (*over <= ahead).then_some(*index)
    }

    /// Returns the upstream with the fewest requests for its limit.
    pub fn least_used(&self) -> Option<u32> {
        self.order.first().map(|rank| rank.3)
    }

    /// Adds a grant to an upstream.
    pub fn occupy(&mut self, index: u32, id: Id) {
        self.update(index, |upstream| {
            upstream.latest = id.number;
            upstream.runs.insert(id);
        });
    }
}
