//! Grants in use: from the grant to the settled charge.

use tsw_base::{name, time};
use tsw_share::accounts;

use super::{estimate, slots, Home, Run, CHARGE_PERIOD, LOST_AFTER, RECLAIM_AFTER};
use crate::message::{Class, Id};

/// How a grant ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The request ended as it should: its slot time counts for the estimate.
    Finished,
    /// The request ended early.
    Failed,
    /// The grant was not used: nothing is charged.
    Unused,
}

impl Home {
    /// Adds a grant in use. Its charge up to `run.charged` has been made.
    pub(super) fn open(&mut self, id: Id, run: Run) {
        self.slots.occupy(run.upstream, id);
        if let Some(router) = self.routers.get_mut(&run.entry) {
            router.runs.insert(id);
        }
        match run.start {
            Some(start) => {
                self.due.insert((start + run.charged, id));
            }
            None => {
                self.slots
                    .update(run.upstream, |upstream| upstream.ahead.push_back(id));
            }
        }
        self.runs.insert(id, run);
    }

    /// Ends a grant, settles its charge and frees its slot.
    pub(super) fn settle(&mut self, now: time::Tick, id: Id, end: End) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        if let Some(router) = self.routers.get_mut(&run.entry) {
            router.runs.swap_remove(&id);
        }
        let mut used = time::Span::ZERO;
        if let Some(start) = run.start {
            self.due.remove(&(start + run.charged, id));
            used = now.since(start);
        }
        match end {
            End::Finished if !run.adopted => self.learn(&run, used),
            End::Unused => used = time::Span::ZERO,
            _ => {}
        }
        let width = u64::from(run.width);
        if used > run.charged {
            let rest = used.saturating_sub(run.charged);
            self.book.charge(run.key, rest * width);
        } else {
            let rest = run.charged.saturating_sub(used);
            self.book.refund(run.key, rest * width);
        }
        self.vacate(now, run.upstream, id);
    }

    fn learn(&mut self, run: &Run, used: time::Span) {
        let prior = self.expect(run.key, run.class);
        self.work(run.key)
            .estimate
            .learn(run.class, run.cost, used, prior);
        self.common.learn(run.class, run.cost, used, prior);
    }

    /// Returns the expected slot time of a request.
    pub(super) fn expect(&mut self, key: accounts::TeamKey, class: Class) -> time::Span {
        let own = self.work(key).estimate.get(class);
        own.or(self.common.get(class)).unwrap_or(estimate::FIRST)
    }

    /// Replaces the charge of a request that has just started by what is expected for its hint.
    pub(super) fn correct(&mut self, id: Id, cost: u32) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let (key, class, first) = (run.key, run.class, run.cost == 0 && !run.adopted);
        let own = self.work(key).estimate;
        let own = own.at_cost(class, cost, estimate::OWN_SAMPLES);
        let common = self.common.at_cost(class, cost, estimate::COMMON_SAMPLES);
        let expected = own.or(common);
        let Some(run) = self.runs.get_mut(&id).filter(|_| first) else {
            return;
        };
        run.cost = cost;
        let Some(expected) = expected else {
            return;
        };
        let (before, width) = (run.charged, u64::from(run.width));
        run.charged = expected;
        if let Some(start) = run.start {
            self.due.remove(&(start + before, id));
            self.due.insert((start + expected, id));
        }
        if expected > before {
            self.book
                .charge(key, expected.saturating_sub(before) * width);
        } else {
            self.book
                .refund(key, before.saturating_sub(expected) * width);
        }
    }

    /// Frees the slot of a grant and starts the slot time of the one that waited for it.
    fn vacate(&mut self, now: time::Tick, upstream: u32, id: Id) {
        self.slots.update(upstream, |upstream| {
            upstream.runs.swap_remove(&id);
            upstream.ahead.retain(|ahead| *ahead != id);
            if upstream.runs.is_empty() {
                upstream.solo = false;
            }
        });
        self.start_ahead(now, upstream);
    }

    /// Starts the slot time of grants made ahead, as far as slots are free.
    pub(super) fn start_ahead(&mut self, now: time::Tick, upstream: u32) {
        let first = |upstream: &mut slots::Upstream| {
            let used = upstream.runs.len() - upstream.ahead.len();
            let free = used < upstream.limit.max(1) as usize;
            free.then(|| upstream.ahead.pop_front()).flatten()
        };
        while let Some(next) = self.slots.update(upstream, first).flatten() {
            if let Some(run) = self.runs.get_mut(&next) {
                run.start = Some(now);
                self.due.insert((now + run.charged, next));
            }
        }
    }

    /// Carries out what is due by the passage of time.
    pub(super) fn elapse(&mut self, now: time::Tick) {
        self.charge_overdue(now);
        self.reclaim_lost(now);
        self.reclaim_orphans(now);
        self.end_holds(now);
    }

    /// Charges requests that run past what they were charged, one period at a time, so that a wrong
    /// estimate is off by at most one period.
    fn charge_overdue(&mut self, now: time::Tick) {
        while let Some((at, id)) = self.due.first().copied() {
            if at > now {
                return;
            }
            self.due.pop_first();
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            let periods = now.since(at).as_micros() / CHARGE_PERIOD.as_micros() + 1;
            let more = CHARGE_PERIOD * periods;
            run.charged += more;
            self.due.insert((at + more, id));
            self.book.charge(run.key, more * u64::from(run.width));
        }
    }

    /// Frees grants that no message mentioned: the entry router drops them if they still arrive.
    fn reclaim_lost(&mut self, now: time::Tick) {
        let keep = self.tuning.grant_ttl + LOST_AFTER;
        while let Some((made, id)) = self.unconfirmed.front().copied() {
            let known = self.runs.get(&id).is_some_and(|run| !run.confirmed);
            if known && now.since(made) < keep {
                return;
            }
            self.unconfirmed.pop_front();
            if known {
                self.settle(now, id, End::Unused);
            }
        }
    }

    fn reclaim_orphans(&mut self, now: time::Tick) {
        while let Some((since, id)) = self.orphans.front().copied() {
            let orphan = self.runs.get(&id).is_some_and(|run| run.orphan.is_some());
            if orphan && now.since(since) < RECLAIM_AFTER {
                return;
            }
            self.orphans.pop_front();
            if orphan {
                self.settle(now, id, End::Failed);
            }
        }
    }

    /// Takes in the load that an upstream reports: slots of dead entry routers that it no longer
    /// runs are free.
    pub(super) fn load(
        &mut self,
        now: time::Tick,
        upstream: &name::Upstream,
        running: u32,
        age: time::Span,
    ) {
        let Some(upstream) = self.slots.find(upstream).and_then(|i| self.slots.get(i)) else {
            return;
        };
        let excess = upstream.runs.len().saturating_sub(running as usize);
        let ended = |id: &&Id| {
            let orphan = self.runs.get(*id).and_then(|run| run.orphan);
            orphan.is_some_and(|since| now.since(since) > age)
        };
        let gone: Vec<Id> = upstream.runs.iter().filter(ended).copied().collect();
        for id in gone.into_iter().take(excess) {
            self.settle(now, id, End::Failed);
        }
    }
}
