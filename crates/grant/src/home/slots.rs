//! Upstreams of one service and the grants on their slots.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::IndexSet;
use tsw_base::{name, time};

use crate::message::Id;

/// Minimum limit of an upstream that gets grants ahead of a free slot. With a single slot, a
/// request granted ahead would wait for the whole remaining time of a long one.
const MIN_LIMIT_FOR_AHEAD: u32 = 2;

/// Sort key of an upstream: the next grant's excess over the limit (0 if a slot is free), usage in
/// thousandths of the limit, number of the latest grant, and index.
type Rank = (u32, u32, u64, u32);

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// Whether this home schedules it.
    pub owned: bool,
    /// Maximum number of concurrent requests.
    pub limit: u32,
    /// Time since which its grants are withheld until routers have reported slots already in use.
    pub held_since: Option<time::Timestamp>,
    /// Grants in use.
    pub grants: IndexSet<Id>,
    /// Grants issued ahead of a free slot, oldest first.
    pub ahead_grants: VecDeque<Id>,
    /// Whether it runs a solo request.
    pub solo: bool,
    /// Whether it is being drained for a solo request.
    pub reserved: bool,
    /// Number of its latest grant.
    latest_grant: u64,
}

impl Upstream {
    /// Returns the sort key, or `None` if the upstream takes no further grants.
    fn rank(&self, index: u32) -> Option<Rank> {
        let open = self.owned && self.limit > 0 && self.held_since.is_none();
        if !open || self.solo || self.reserved {
            return None;
        }
        let running = self.grants.len() as u32;
        let over = match running.checked_sub(self.limit) {
            None => 0,
            Some(over) if self.limit >= MIN_LIMIT_FOR_AHEAD => over + 1,
            Some(_) => u32::MAX,
        };
        let usage = u64::from(running) * 1_000 / u64::from(self.limit);
        Some((over, usage as u32, self.latest_grant, index))
    }
}

/// The upstreams of one service, ordered by preference for the next grant.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    indexes: HashMap<name::Upstream, u32>,
    upstreams: Vec<Option<Upstream>>,
    /// Indexes of removed upstreams, to be reused.
    vacant: Vec<u32>,
    order: BTreeSet<Rank>,
}

impl Slots {
    /// Returns the index of a known upstream.
    pub fn find(&self, name: &name::Upstream) -> Option<u32> {
        self.indexes.get(name).copied()
    }

    /// Returns the index of an upstream, which is added if unknown.
    pub fn find_or_add(&mut self, name: &name::Upstream) -> u32 {
        if let Some(index) = self.find(name) {
            return index;
        }
        let upstream = Upstream {
            name: name.clone(),
            owned: false,
            limit: 0,
            held_since: None,
            grants: IndexSet::new(),
            ahead_grants: VecDeque::new(),
            solo: false,
            reserved: false,
            latest_grant: 0,
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
        self.indexes.insert(name.clone(), index);
        index
    }

    /// Returns the upstream at `index`.
    pub fn get(&self, index: u32) -> Option<&Upstream> {
        self.upstreams.get(index as usize)?.as_ref()
    }

    /// Applies `change` to an upstream and updates its position in the order. Removes the upstream
    /// if this home neither schedules it nor has grants on it.
    pub fn update<R>(&mut self, index: u32, change: impl FnOnce(&mut Upstream) -> R) -> Option<R> {
        let entry = self.upstreams.get_mut(index as usize)?;
        let upstream = entry.as_mut()?;
        let before = upstream.rank(index);
        let result = change(upstream);
        let after = upstream.rank(index);
        if !upstream.owned && upstream.grants.is_empty() {
            self.indexes.remove(&upstream.name);
            *entry = None;
            self.vacant.push(index);
        }
        if before != after {
            before.map(|rank| self.order.remove(&rank));
            after.map(|rank| self.order.insert(rank));
        }
        Some(result)
    }

    /// Returns the preferred upstream for the next request, if one has a free slot or fewer than
    /// `grants_ahead` requests beyond its limit.
    pub fn best(&self, grants_ahead: u32) -> Option<u32> {
        let (over, _, _, index) = self.order.first()?;
        (*over <= grants_ahead).then_some(*index)
    }

    /// Returns the upstream with the lowest usage in relation to its limit.
    pub fn least_used(&self) -> Option<u32> {
        self.order.first().map(|rank| rank.3)
    }

    /// Records a grant on an upstream.
    pub fn occupy(&mut self, index: u32, id: Id) {
        self.update(index, |upstream| {
            upstream.latest_grant = id.number;
            upstream.grants.insert(id);
        });
    }
}
