//! Waiting requests of one team and class, as advertised by the entry routers.

use std::collections::{BTreeSet, HashMap, VecDeque};

use tsw_base::time;

use crate::message;

/// Number that identifies an entry router within a home.
pub(super) type RouterIndex = u64;

/// Latest demand line of one entry router.
#[derive(Clone, Debug)]
struct Advertisement {
    /// Sequence number of the demand message that contained it.
    seq: u64,
    received_at: time::Timestamp,
    waiting: u32,
    oldest: time::Timestamp,
    newest: time::Timestamp,
    /// Numbers of the grants that `waiting` does not account for yet.
    unacknowledged: VecDeque<u64>,
}

impl Advertisement {
    /// Returns when the oldest request without a grant started to wait, if there is one.
    ///
    /// Only the ages of the oldest and the newest request are known; the others are interpolated
    /// linearly.
    fn oldest_ungranted(&self) -> Option<time::Timestamp> {
        let granted = self.unacknowledged.len() as u64;
        let waiting = u64::from(self.waiting);
        if granted >= waiting {
            return None;
        }
        let spread = self.newest.since(self.oldest);
        Some(self.oldest + spread * granted / (waiting - 1).max(1))
    }
}

/// Waiting requests of one team and class at all entry routers.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    lines: HashMap<RouterIndex, Advertisement>,
    /// Entry routers, ordered by the start time of their oldest request without a grant.
    order: BTreeSet<(time::Timestamp, RouterIndex)>,
}

/// The next request to be granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Next {
    /// The entry router at which it waits.
    pub router_index: RouterIndex,
    /// Sequence number of the demand message that advertised it.
    pub seq: u64,
}

impl Backlog {
    /// Returns when the oldest request without a grant started to wait.
    pub fn oldest(&self) -> Option<time::Timestamp> {
        self.order.first().map(|(since, _)| *since)
    }

    /// Applies `change` to the line of an entry router and updates its position in the order.
    /// Removes an empty line without unacknowledged grants.
    fn update(&mut self, router_index: RouterIndex, change: impl FnOnce(&mut Advertisement)) {
        let Some(line) = self.lines.get_mut(&router_index) else {
            return;
        };
        if let Some(before) = line.oldest_ungranted() {
            self.order.remove(&(before, router_index));
        }
        change(line);
        if let Some(after) = line.oldest_ungranted() {
            self.order.insert((after, router_index));
        } else if line.waiting == 0 && line.unacknowledged.is_empty() {
            self.lines.remove(&router_index);
        }
    }

    /// Replaces the line of an entry router.
    pub fn advertise(
        &mut self,
        router_index: RouterIndex,
        line: &message::DemandLine,
        seq: u64,
        now: time::Timestamp,
    ) {
        let before = |age: time::Span| {
            time::Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros()))
        };
        self.lines
            .entry(router_index)
            .or_insert_with(|| Advertisement {
                seq: 0,
                received_at: now,
                waiting: 0,
                oldest: now,
                newest: now,
                unacknowledged: VecDeque::new(),
            });
        self.update(router_index, |known| {
            known.seq = seq;
            known.received_at = now;
            known.waiting = line.waiting;
            known.oldest = before(line.oldest);
            known.newest = before(line.newest.min(line.oldest));
        });
    }

    /// Discards the grants up to `number`, which the entry router's count now accounts for.
    pub fn acknowledge(&mut self, router_index: RouterIndex, number: u64) {
        self.update(router_index, |line| {
            while line
                .unacknowledged
                .front()
                .is_some_and(|first| *first <= number)
            {
                line.unacknowledged.pop_front();
            }
        });
    }

    /// Removes the line of an entry router.
    pub fn remove(&mut self, router_index: RouterIndex) {
        if let Some(before) = self
            .lines
            .remove(&router_index)
            .and_then(|line| line.oldest_ungranted())
        {
            self.order.remove(&(before, router_index));
        }
    }

    /// Returns the oldest request without a grant, and removes lines last received before `since`.
    pub fn next(&mut self, since: time::Timestamp) -> Option<Next> {
        while let Some((_, router_index)) = self.order.first().copied() {
            match self.lines.get(&router_index) {
                Some(line) if line.received_at >= since => {
                    return Some(Next {
                        router_index,
                        seq: line.seq,
                    })
                }
                _ => self.remove(router_index),
            }
        }
        None
    }

    /// Subtracts grant `number` from the line of an entry router until it is acknowledged.
    pub fn record_grant(&mut self, router_index: RouterIndex, number: u64) {
        self.update(router_index, |line| line.unacknowledged.push_back(number));
    }
}
