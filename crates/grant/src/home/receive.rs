//! Handling of messages from entry routers and of changes in routers and upstreams.

use std::collections::HashSet;

use indexmap::{IndexMap, IndexSet};
use tsw_base::{host, name, time};

use super::{
    active_grant::End, backlog, ActiveGrant, EarlyHolding, Home, Router, EARLY_HOLDINGS_TTL,
    HANDOVER_TIMEOUT,
};
use crate::message::{Demand, HeldGrant, Holdings, Id, Release, State};

impl Home {
    /// Returns the index of a router, which is added if unknown.
    fn router_index(&mut self, id: &host::Id) -> backlog::RouterIndex {
        if let Some(router_index) = self.router_indexes.get(id) {
            return *router_index;
        }
        let router_index = self.next_router_index;
        self.next_router_index += 1;
        self.router_indexes.insert(id.clone(), router_index);
        let router = Router {
            id: id.clone(),
            live: false,
            last_holdings: None,
            grants: IndexSet::new(),
            lines: IndexMap::new(),
        };
        self.routers.insert(router_index, router);
        router_index
    }

    pub(super) fn handle_demand(&mut self, now: time::Timestamp, from: &host::Id, demand: &Demand) {
        if demand.service != self.service {
            return;
        }
        let router_index = self.router_index(from);
        let latest_grant = demand
            .latest_grant
            .filter(|grant| grant.home == self.incarnation);
        for line in &demand.lines {
            let key = self.accounts.key(&line.team);
            let Some(router) = self.routers.get_mut(&router_index) else {
                return;
            };
            let latest = router.lines.entry((key, line.class)).or_default();
            if demand.seq < *latest {
                continue;
            }
            *latest = demand.seq;
            let backlog = &mut self.team_state(key).backlogs[line.class.index()];
            backlog.advertise(router_index, line, demand.seq, now);
            if let Some(latest_grant) = latest_grant {
                backlog.acknowledge(router_index, latest_grant.number);
            }
            self.update_order(key);
        }
    }

    pub(super) fn handle_release(
        &mut self,
        now: time::Timestamp,
        from: &host::Id,
        release: &Release,
    ) {
        if release.service != self.service {
            return;
        }
        let router_index = self.router_index(from);
        for report in &release.reports {
            let own = self.active_grants.get_mut(&report.id);
            let Some(active) = own.filter(|active| {
                active.router_index == router_index || active.orphaned_at.is_some()
            }) else {
                if !matches!(
                    report.state,
                    State::Started | State::Hinted { .. } | State::Running { .. }
                ) {
                    self.early_holdings
                        .retain(|early| early.held.id != report.id);
                }
                continue;
            };
            match report.state {
                State::Started | State::Running { .. } => active.confirmed = true,
                State::Hinted { cost } => {
                    active.confirmed = true;
                    self.apply_hint(report.id, cost);
                }
                State::Finished { .. } => self.end_grant(now, report.id, End::Finished),
                State::Failed => self.end_grant(now, report.id, End::Failed),
                State::Unused | State::Unreachable => self.end_grant(now, report.id, End::Unused),
            }
        }
    }

    /// Reconciles the active grants of an entry router with those that it reports to be using.
    pub(super) fn handle_holdings(
        &mut self,
        now: time::Timestamp,
        from: &host::Id,
        holdings: &Holdings,
    ) {
        if holdings.service != self.service {
            return;
        }
        let router_index = self.router_index(from);
        let held: HashSet<Id> = holdings.held.iter().map(|held| held.id).collect();
        let latest_grant = holdings
            .latest_grant
            .filter(|grant| grant.home == self.incarnation);
        let latest_number = latest_grant.map_or(0, |grant| grant.number);
        let Some(router) = self.routers.get(&router_index) else {
            return;
        };
        let arrived = |id: &&Id| id.home != self.incarnation || id.number <= latest_number;
        let ended = router.grants.iter().filter(arrived);
        let ended: Vec<Id> = ended.filter(|id| !held.contains(id)).copied().collect();
        for id in ended {
            let confirmed = self
                .active_grants
                .get(&id)
                .is_some_and(|active| active.confirmed);
            let end = if confirmed { End::Failed } else { End::Unused };
            self.end_grant(now, id, end);
        }
        self.early_holdings
            .retain(|early| early.router_index != router_index);
        for held in &holdings.held {
            self.adopt(now, router_index, held);
        }
        self.record_holdings(router_index, now);
    }

    /// Adopts a request that an entry router is running. A request on an upstream that this home
    /// does not own is kept for [`EARLY_HOLDINGS_TTL`], as the entry router may learn of a new home
    /// first.
    fn adopt(
        &mut self,
        now: time::Timestamp,
        router_index: backlog::RouterIndex,
        held: &HeldGrant,
    ) {
        if let Some(active) = self.active_grants.get_mut(&held.id) {
            if active.router_index != router_index && active.orphaned_at.is_none() {
                return;
            }
            active.router_index = router_index;
            active.confirmed = true;
            active.orphaned_at = None;
            if let Some(router) = self.routers.get_mut(&router_index) {
                router.grants.insert(held.id);
            }
            return;
        }
        let index = self.slots.find(&held.upstream);
        let owned = index.filter(|index| self.slots.get(*index).is_some_and(|u| u.owned));
        let Some(upstream) = owned else {
            self.early_holdings
                .retain(|early| now.since(early.at) < EARLY_HOLDINGS_TTL);
            let (at, held) = (now, held.clone());
            self.early_holdings.push(EarlyHolding {
                at,
                router_index,
                held,
            });
            return;
        };
        let key = self.accounts.key(&held.team);
        let charged = self
            .expected_slot_time(key, held.class)
            .saturating_sub(held.age);
        let active = ActiveGrant {
            router_index,
            key,
            class: held.class,
            cost: 0,
            upstream,
            slot_count: 1,
            start: Some(now),
            charged,
            adopted: true,
            confirmed: true,
            orphaned_at: None,
        };
        self.insert_grant(held.id, active);
    }

    /// Records when the latest holdings of a router arrived.
    fn record_holdings(&mut self, router_index: backlog::RouterIndex, now: time::Timestamp) {
        let Some(router) = self.routers.get_mut(&router_index) else {
            return;
        };
        if router.live {
            self.holdings_times
                .remove(&(router.last_holdings, router_index));
            self.holdings_times.insert((Some(now), router_index));
        }
        router.last_holdings = Some(now);
    }

    pub(super) fn set_live(&mut self, now: time::Timestamp, live: &[host::Id]) {
        let live: HashSet<&host::Id> = live.iter().collect();
        let mut gone: Vec<backlog::RouterIndex> = self
            .routers
            .iter()
            .filter(|(_, router)| router.live && !live.contains(&router.id))
            .map(|(router_index, _)| *router_index)
            .collect();
        gone.sort_unstable();
        for router_index in gone {
            self.remove_router(now, router_index);
        }
        for id in live {
            let router_index = self.router_index(id);
            if let Some(router) = self.routers.get_mut(&router_index) {
                router.live = true;
                self.holdings_times
                    .insert((router.last_holdings, router_index));
            }
        }
    }

    /// Removes a dead entry router and its demand. Its grants become orphaned and are freed later.
    fn remove_router(&mut self, now: time::Timestamp, router_index: backlog::RouterIndex) {
        let Some(router) = self.routers.remove(&router_index) else {
            return;
        };
        self.router_indexes.remove(&router.id);
        self.holdings_times
            .remove(&(router.last_holdings, router_index));
        for (key, class) in router.lines.into_keys() {
            self.team_state(key).backlogs[class.index()].remove(router_index);
            self.update_order(key);
        }
        for id in router.grants {
            if let Some(active) = self.active_grants.get_mut(&id) {
                active.orphaned_at = Some(now);
                active.confirmed = true;
                self.orphaned.push_back((now, id));
            }
        }
    }

    pub(super) fn set_upstream(&mut self, now: time::Timestamp, name: &name::Upstream, limit: u32) {
        let index = self.slots.find_or_add(name);
        let new = self.slots.update(index, |upstream| {
            let new = !upstream.owned;
            if new {
                upstream.held_since = Some(now);
            }
            upstream.owned = true;
            upstream.limit = limit;
            new
        });
        self.start_ahead(now, index);
        if new != Some(true) {
            return;
        }
        self.held_upstreams.push_back((now, index));
        let early = std::mem::take(&mut self.early_holdings).into_iter();
        let (early, rest) = early.partition(|early| early.held.upstream == *name);
        self.early_holdings = rest;
        for early in early
            .into_iter()
            .filter(|e| now.since(e.at) < EARLY_HOLDINGS_TTL)
        {
            self.adopt(now, early.router_index, &early.held);
        }
    }

    /// Stops scheduling an upstream. From now on, its new home charges the running requests.
    pub(super) fn remove_upstream(&mut self, now: time::Timestamp, name: &name::Upstream) {
        let Some(index) = self.slots.find(name) else {
            return;
        };
        if self.reserved == Some(index) {
            self.reserved = None;
        }
        let grants = self.slots.update(index, |upstream| {
            upstream.owned = false;
            upstream.held_since = None;
            upstream.reserved = false;
            upstream.grants.iter().copied().collect::<Vec<Id>>()
        });
        for id in grants.unwrap_or_default() {
            self.end_grant(now, id, End::Failed);
        }
    }

    /// Starts granting on newly owned upstreams once all live routers have sent their holdings, or
    /// after [`HANDOVER_TIMEOUT`].
    pub(super) fn end_holds(&mut self, now: time::Timestamp) {
        while let Some((since, index)) = self.held_upstreams.front().copied() {
            let reported = self
                .holdings_times
                .first()
                .and_then(|(reported, _)| *reported);
            let complete = reported.is_some_and(|reported| reported + EARLY_HOLDINGS_TTL >= since);
            if !complete && now.since(since) < HANDOVER_TIMEOUT {
                return;
            }
            self.held_upstreams.pop_front();
            self.slots.update(index, |upstream| {
                if upstream.held_since == Some(since) {
                    upstream.held_since = None;
                }
            });
        }
    }
}
