//! What a home learns from entry routers, membership and upstreams.

use std::collections::HashSet;

use indexmap::{IndexMap, IndexSet};
use tsw_base::{host, name, time};

use super::{backlog, ledger::End, Early, Home, Router, Run, HANDOVER, HANDOVER_EARLY};
use crate::message::{Demand, Held, Holdings, Id, Release, State};

impl Home {
    fn entry(&mut self, id: &host::Id) -> backlog::Entry {
        if let Some(entry) = self.entries.get(id) {
            return *entry;
        }
        let entry = self.next_entry;
        self.next_entry += 1;
        self.entries.insert(id.clone(), entry);
        let router = Router {
            id: id.clone(),
            live: false,
            reported: None,
            runs: IndexSet::new(),
            lines: IndexMap::new(),
        };
        self.routers.insert(entry, router);
        entry
    }

    pub(super) fn demand(&mut self, now: time::Tick, from: &host::Id, demand: &Demand) {
        if demand.service != self.service {
            return;
        }
        let entry = self.entry(from);
        let seen = demand.seen.filter(|seen| seen.home == self.me);
        for line in &demand.lines {
            let key = self.book.key(&line.team);
            let Some(router) = self.routers.get_mut(&entry) else {
                return;
            };
            let latest = router.lines.entry((key, line.class)).or_default();
            if demand.seq < *latest {
                continue;
            }
            *latest = demand.seq;
            let backlog = &mut self.work(key).backlogs[line.class.index()];
            backlog.advertise(entry, line, demand.seq, now);
            if let Some(seen) = seen {
                backlog.acknowledge(entry, seen.number);
            }
            self.list(key);
        }
    }

    pub(super) fn release(&mut self, now: time::Tick, from: &host::Id, release: &Release) {
        if release.service != self.service {
            return;
        }
        let entry = self.entry(from);
        for report in &release.reports {
            let own = self.runs.get_mut(&report.id);
            let Some(run) = own.filter(|run| run.entry == entry || run.orphan.is_some()) else {
                if !matches!(
                    report.state,
                    State::Started | State::Hinted { .. } | State::Running { .. }
                ) {
                    self.early.retain(|early| early.held.id != report.id);
                }
                continue;
            };
            match report.state {
                State::Started | State::Running { .. } => run.confirmed = true,
                State::Hinted { cost } => {
                    run.confirmed = true;
                    self.correct(report.id, cost);
                }
                State::Finished { .. } => self.settle(now, report.id, End::Finished),
                State::Failed => self.settle(now, report.id, End::Failed),
                State::Unused | State::Unreachable => self.settle(now, report.id, End::Unused),
            }
        }
    }

    /// Reconciles the grants of an entry router with those that it uses.
    pub(super) fn holdings(&mut self, now: time::Tick, from: &host::Id, holdings: &Holdings) {
        if holdings.service != self.service {
            return;
        }
        let entry = self.entry(from);
        let held: HashSet<Id> = holdings.held.iter().map(|held| held.id).collect();
        let seen = holdings.seen.filter(|seen| seen.home == self.me);
        let seen = seen.map_or(0, |seen| seen.number);
        let Some(router) = self.routers.get(&entry) else {
            return;
        };
        let arrived = |id: &&Id| id.home != self.me || id.number <= seen;
        let ended = router.runs.iter().filter(arrived);
        let ended: Vec<Id> = ended.filter(|id| !held.contains(id)).copied().collect();
        for id in ended {
            let confirmed = self.runs.get(&id).is_some_and(|run| run.confirmed);
            let end = if confirmed { End::Failed } else { End::Unused };
            self.settle(now, id, end);
        }
        self.early.retain(|early| early.entry != entry);
        for held in &holdings.held {
            self.adopt(now, entry, held);
        }
        self.report(entry, now);
    }

    /// Takes over a request that an entry router runs. One on an upstream that this home does not
    /// schedule is kept for a while, as the entry router may learn of a new home first.
    fn adopt(&mut self, now: time::Tick, entry: backlog::Entry, held: &Held) {
        if let Some(run) = self.runs.get_mut(&held.id) {
            if run.entry != entry && run.orphan.is_none() {
                return;
            }
            run.entry = entry;
            run.confirmed = true;
            run.orphan = None;
            if let Some(router) = self.routers.get_mut(&entry) {
                router.runs.insert(held.id);
            }
            return;
        }
        let index = self.slots.find(&held.upstream);
        let owned = index.filter(|index| self.slots.get(*index).is_some_and(|u| u.owned));
        let Some(upstream) = owned else {
            self.early
                .retain(|early| now.since(early.at) < HANDOVER_EARLY);
            let (at, held) = (now, held.clone());
            self.early.push(Early { at, entry, held });
            return;
        };
        let key = self.book.key(&held.team);
        let charged = self.expect(key, held.class).saturating_sub(held.age);
        let run = Run {
            entry,
            key,
            class: held.class,
            cost: 0,
            upstream,
            width: 1,
            start: Some(now),
            charged,
            adopted: true,
            confirmed: true,
            orphan: None,
        };
        self.open(held.id, run);
    }

    fn report(&mut self, entry: backlog::Entry, now: time::Tick) {
        let Some(router) = self.routers.get_mut(&entry) else {
            return;
        };
        if router.live {
            self.reports.remove(&(router.reported, entry));
            self.reports.insert((Some(now), entry));
        }
        router.reported = Some(now);
    }

    pub(super) fn set_live(&mut self, now: time::Tick, live: &[host::Id]) {
        let live: HashSet<&host::Id> = live.iter().collect();
        let mut gone: Vec<backlog::Entry> = self
            .routers
            .iter()
            .filter(|(_, router)| router.live && !live.contains(&router.id))
            .map(|(entry, _)| *entry)
            .collect();
        gone.sort_unstable();
        for entry in gone {
            self.bury(now, entry);
        }
        for id in live {
            let entry = self.entry(id);
            if let Some(router) = self.routers.get_mut(&entry) {
                router.live = true;
                self.reports.insert((router.reported, entry));
            }
        }
    }

    /// Withdraws the demand of a dead entry router; its grants are freed later.
    fn bury(&mut self, now: time::Tick, entry: backlog::Entry) {
        let Some(router) = self.routers.remove(&entry) else {
            return;
        };
        self.entries.remove(&router.id);
        self.reports.remove(&(router.reported, entry));
        for (key, class) in router.lines.into_keys() {
            self.work(key).backlogs[class.index()].remove(entry);
            self.list(key);
        }
        for id in router.runs {
            if let Some(run) = self.runs.get_mut(&id) {
                run.orphan = Some(now);
                run.confirmed = true;
                self.orphans.push_back((now, id));
            }
        }
    }

    pub(super) fn upstream(&mut self, now: time::Tick, name: &name::Upstream, limit: u32) {
        let index = self.slots.find_or_add(name);
        let new = self.slots.update(index, |upstream| {
            let new = !upstream.owned;
            if new {
                upstream.held = Some(now);
            }
            upstream.owned = true;
            upstream.limit = limit;
            new
        });
        self.start_ahead(now, index);
        if new != Some(true) {
            return;
        }
        self.held.push_back((now, index));
        let early = std::mem::take(&mut self.early).into_iter();
        let (early, rest) = early.partition(|early| early.held.upstream == *name);
        self.early = rest;
        for early in early
            .into_iter()
            .filter(|e| now.since(e.at) < HANDOVER_EARLY)
        {
            self.adopt(now, early.entry, &early.held);
        }
    }

    /// Stops scheduling an upstream. Its running requests are charged by their next home from now
    /// on.
    pub(super) fn disown(&mut self, now: time::Tick, name: &name::Upstream) {
        let Some(index) = self.slots.find(name) else {
            return;
        };
        if self.reserved == Some(index) {
            self.reserved = None;
        }
        let runs = self.slots.update(index, |upstream| {
            upstream.owned = false;
            upstream.held = None;
            upstream.reserved = false;
            upstream.runs.iter().copied().collect::<Vec<Id>>()
        });
        for id in runs.unwrap_or_default() {
            self.settle(now, id, End::Failed);
        }
    }

    /// Starts granting on upstreams for which all live routers have reported, or which have been
    /// held back for long enough.
    pub(super) fn end_holds(&mut self, now: time::Tick) {
        while let Some((since, index)) = self.held.front().copied() {
            let reported = self.reports.first().and_then(|(tick, _)| *tick);
            let complete = reported.is_some_and(|tick| tick + HANDOVER_EARLY >= since);
            if !complete && now.since(since) < HANDOVER {
                return;
            }
            self.held.pop_front();
            self.slots.update(index, |upstream| {
                if upstream.held == Some(since) {
                    upstream.held = None;
                }
            });
        }
    }
}
