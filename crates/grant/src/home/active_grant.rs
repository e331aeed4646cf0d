//! Lifecycle of active grants: charging, settlement and reclamation.

use tsw_base::{name, time};
use tsw_share::accounts;

use super::{estimate, slots, ActiveGrant, Home, CHARGE_PERIOD, LOST_GRANT_MARGIN, RECLAIM_AFTER};
use crate::message::{Class, Id};

/// How a grant ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The request completed. Its slot time is a sample for the estimate.
    Finished,
    /// The request ended before it completed.
    Failed,
    /// The grant was not used, so nothing is charged.
    Unused,
}

impl Home {
    /// Adds an active grant. The caller has already charged `active.charged` to the team.
    pub(super) fn insert_grant(&mut self, id: Id, active: ActiveGrant) {
        self.slots.occupy(active.upstream, id);
        if let Some(router) = self.routers.get_mut(&active.router_index) {
            router.grants.insert(id);
        }
        match active.start {
            Some(start) => {
                self.charge_times.insert((start + active.charged, id));
            }
            None => {
                self.slots.update(active.upstream, |upstream| {
                    upstream.ahead_grants.push_back(id)
                });
            }
        }
        self.active_grants.insert(id, active);
    }

    /// Ends a grant, adjusts its charge to the time it used, and frees its slot.
    pub(super) fn end_grant(&mut self, now: time::Timestamp, id: Id, end: End) {
        let Some(active) = self.active_grants.remove(&id) else {
            return;
        };
        if let Some(router) = self.routers.get_mut(&active.router_index) {
            router.grants.swap_remove(&id);
        }
        let mut used = time::Span::ZERO;
        if let Some(start) = active.start {
            self.charge_times.remove(&(start + active.charged, id));
            used = now.since(start);
        }
        match end {
            End::Finished if !active.adopted => self.record_slot_time(&active, used),
            End::Unused => used = time::Span::ZERO,
            _ => {}
        }
        let slot_count = u64::from(active.slot_count);
        if used > active.charged {
            let rest = used.saturating_sub(active.charged);
            self.accounts.charge(active.key, rest * slot_count);
        } else {
            let rest = active.charged.saturating_sub(used);
            self.accounts.refund(active.key, rest * slot_count);
        }
        self.free_slot(now, active.upstream, id);
    }

    /// Adds the slot time of a completed request to the estimates.
    fn record_slot_time(&mut self, active: &ActiveGrant, used: time::Span) {
        let prior = self.expected_slot_time(active.key, active.class);
        self.team_state(active.key)
            .estimate
            .add_sample(active.class, active.cost, used, prior);
        self.common_estimate
            .add_sample(active.class, active.cost, used, prior);
    }

    /// Returns the expected slot time of a request.
    pub(super) fn expected_slot_time(
        &mut self,
        key: accounts::TeamKey,
        class: Class,
    ) -> time::Span {
        let own = self.team_state(key).estimate.get(class);
        own.or(self.common_estimate.get(class))
            .unwrap_or(estimate::INITIAL)
    }

    /// Replaces the initial charge of a request by the slot time expected for its cost hint.
    pub(super) fn apply_hint(&mut self, id: Id, cost: u32) {
        let Some(active) = self.active_grants.get(&id) else {
            return;
        };
        let (key, class, first) = (
            active.key,
            active.class,
            active.cost == 0 && !active.adopted,
        );
        let own = self.team_state(key).estimate;
        let own = own.for_cost(class, cost, estimate::MIN_TEAM_SAMPLES);
        let common = self
            .common_estimate
            .for_cost(class, cost, estimate::MIN_COMMON_SAMPLES);
        let expected = own.or(common);
        let Some(active) = self.active_grants.get_mut(&id).filter(|_| first) else {
            return;
        };
        active.cost = cost;
        let Some(expected) = expected else {
            return;
        };
        let (before, slot_count) = (active.charged, u64::from(active.slot_count));
        active.charged = expected;
        if let Some(start) = active.start {
            self.charge_times.remove(&(start + before, id));
            self.charge_times.insert((start + expected, id));
        }
        if expected > before {
            self.accounts
                .charge(key, expected.saturating_sub(before) * slot_count);
        } else {
            self.accounts
                .refund(key, before.saturating_sub(expected) * slot_count);
        }
    }

    /// Frees the slot of a grant and starts the slot time of the next grant waiting for one.
    fn free_slot(&mut self, now: time::Timestamp, upstream: u32, id: Id) {
        self.slots.update(upstream, |upstream| {
            upstream.grants.swap_remove(&id);
            upstream.ahead_grants.retain(|ahead| *ahead != id);
            if upstream.grants.is_empty() {
                upstream.solo = false;
            }
        });
        self.start_ahead(now, upstream);
    }

    /// Starts the slot time of grants issued ahead, as long as slots are free.
    pub(super) fn start_ahead(&mut self, now: time::Timestamp, upstream: u32) {
        let first = |upstream: &mut slots::Upstream| {
            let used = upstream.grants.len() - upstream.ahead_grants.len();
            let free = used < upstream.limit.max(1) as usize;
            free.then(|| upstream.ahead_grants.pop_front()).flatten()
        };
        while let Some(next) = self.slots.update(upstream, first).flatten() {
            if let Some(active) = self.active_grants.get_mut(&next) {
                active.start = Some(now);
                self.charge_times.insert((now + active.charged, next));
            }
        }
    }

    /// Performs the actions that are due at `now`.
    pub(super) fn handle_timers(&mut self, now: time::Timestamp) {
        self.charge_overdue(now);
        self.reclaim_lost(now);
        self.reclaim_orphans(now);
        self.end_holds(now);
    }

    /// Charges requests that run longer than charged so far, in steps of [`CHARGE_PERIOD`], so that
    /// an estimate that is too low leaves at most one period uncharged.
    fn charge_overdue(&mut self, now: time::Timestamp) {
        while let Some((at, id)) = self.charge_times.first().copied() {
            if at > now {
                return;
            }
            self.charge_times.pop_first();
            let Some(active) = self.active_grants.get_mut(&id) else {
                continue;
            };
            let periods = now.since(at).as_micros() / CHARGE_PERIOD.as_micros() + 1;
            let more = CHARGE_PERIOD * periods;
            active.charged += more;
            self.charge_times.insert((at + more, id));
            self.accounts
                .charge(active.key, more * u64::from(active.slot_count));
        }
    }

    /// Frees grants that no message has mentioned. If such a grant still arrives, the entry router
    /// returns it unused.
    fn reclaim_lost(&mut self, now: time::Timestamp) {
        let keep = self.options.grant_ttl + LOST_GRANT_MARGIN;
        while let Some((made, id)) = self.unconfirmed.front().copied() {
            let known = self
                .active_grants
                .get(&id)
                .is_some_and(|active| !active.confirmed);
            if known && now.since(made) < keep {
                return;
            }
            self.unconfirmed.pop_front();
            if known {
                self.end_grant(now, id, End::Unused);
            }
        }
    }

    /// Frees grants whose entry router has been dead for [`RECLAIM_AFTER`].
    fn reclaim_orphans(&mut self, now: time::Timestamp) {
        while let Some((since, id)) = self.orphaned.front().copied() {
            let orphan = self
                .active_grants
                .get(&id)
                .is_some_and(|active| active.orphaned_at.is_some());
            if orphan && now.since(since) < RECLAIM_AFTER {
                return;
            }
            self.orphaned.pop_front();
            if orphan {
                self.end_grant(now, id, End::Failed);
            }
        }
    }

    /// Processes a load report of an upstream: frees grants of dead entry routers whose requests
    /// the upstream no longer runs.
    pub(super) fn handle_load(
        &mut self,
        now: time::Timestamp,
        upstream: &name::Upstream,
        running: u32,
        age: time::Span,
    ) {
        let Some(upstream) = self.slots.find(upstream).and_then(|i| self.slots.get(i)) else {
            return;
        };
        let excess = upstream.grants.len().saturating_sub(running as usize);
        let ended = |id: &&Id| {
            let orphan = self
                .active_grants
                .get(*id)
                .and_then(|active| active.orphaned_at);
            orphan.is_some_and(|since| now.since(since) > age)
        };
        let gone: Vec<Id> = upstream.grants.iter().filter(ended).copied().collect();
        for id in gone.into_iter().take(excess) {
            self.end_grant(now, id, End::Failed);
        }
    }
}
