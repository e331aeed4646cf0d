//! Runs of upstreams that have ended although their entries are still listed.
//!
//! While the platform's store is unavailable, an upstream may return under its name and with other
//! software before its entry says so. Until another run is listed, or the upstream states that it runs the
//! listed one, it is unknown what answers at the address: a stream may begin there, but none may go on there
//! or from there.

use tsw_base::time::Timestamp;
use tsw_route::Name;

use super::{Choice, Entry, Pool, Upstream};
use crate::{origin::Software, run};

impl Pool {
    /// Records that a run of an upstream has ended, and returns whether this is new.
    pub fn record_run_ended(&mut self, now: Timestamp, id: &Name, started_at: u64) -> bool {
        if self.has_ended(id, started_at) {
            return false;
        }
        let is_listed = |name: &Name| self.upstreams.contains_key(name);
        self.ended.insert(id, started_at, now, is_listed);
        true
    }

    /// Records that the chosen upstream states another run than the listed one, and returns whether this is new.
    pub fn record_other_run(&mut self, choice: &Choice) -> bool {
        let is_listed = |name: &Name| self.upstreams.contains_key(name);
        let known = self
            .others
            .insert(&choice.id, choice.started_at, (), is_listed);
        known.is_none()
    }

    /// Records that the chosen upstream states the listed run, and returns whether it had stated another one.
    pub fn record_stated_run(&mut self, choice: &Choice) -> bool {
        self.others.remove(&choice.id, choice.started_at).is_some()
    }

    /// Records that the chosen run of an upstream responds to a request that was sent at a time. If that was before the run
    /// was taken to have ended, it goes on.
    pub fn record_running(&mut self, choice: &Choice, sent: Timestamp) {
        let found_at = self.ended.get(&choice.id, choice.started_at);
        if found_at.is_some_and(|found_at| sent < *found_at) {
            self.ended.remove(&choice.id, choice.started_at);
        }
    }

    /// Sets the listed runs that may have ended, since an entry of another run was written later.
    pub fn set_doubtful_runs<'a>(&mut self, runs: impl Iterator<Item = (&'a Name, u64)>) {
        self.doubtful = run::Map::default();
        for (id, started_at) in runs {
            self.doubtful.insert(id, started_at, (), |_| true);
        }
    }

    /// Returns whether what the chosen upstream states of its run may make its software known.
    #[must_use]
    pub fn may_become_known(&self, choice: &Choice) -> bool {
        self.others.get(&choice.id, choice.started_at).is_some()
    }

    /// Returns the listed upstreams whose listed run has ended, with the start of that run.
    pub fn ended_runs(&self) -> impl Iterator<Item = (&Name, u64)> {
        let listed = self.upstreams.values().map(|upstream| &upstream.entry);
        let ended = listed.filter(|entry| self.has_ended(&entry.id, entry.started_at));
        ended.map(|entry| (&entry.id, entry.started_at))
    }

    /// Returns the upstream that a predicate holds for.
    #[must_use]
    pub fn find(&self, is_wanted: impl Fn(&Name) -> bool) -> Option<&Name> {
        self.upstreams.keys().find(|id| is_wanted(id))
    }

    /// Returns the software of the upstream that an entry describes.
    #[must_use]
    pub fn software(&self, entry: &Entry) -> Software {
        let (id, started_at) = (&entry.id, entry.started_at);
        let is_in = |runs: &run::Map<()>| runs.get(id, started_at).is_some();
        if is_in(&self.others) || is_in(&self.doubtful) || self.has_ended(id, started_at) {
            Software::unknown(&entry.id)
        } else {
            Software::of(entry)
        }
    }

    /// Returns the listed upstreams that accept new requests and whose runs of a software have not ended, as far
    /// as is known.
    pub fn runs_of<'a>(&'a self, software: &'a Software) -> impl Iterator<Item = Choice> + 'a {
        let upstreams = self.upstreams.values();
        let runs = upstreams.filter(|upstream| !upstream.entry.leaving);
        let runs = runs.filter(|upstream| self.runs(upstream, software));
        runs.map(|upstream| upstream.choice(0, None))
    }

    /// Returns all listed upstreams, with the software that they are known to run. Some may be leaving.
    pub fn listed(&self) -> impl Iterator<Item = (Choice, Software)> + '_ {
        let upstreams = self.upstreams.values();
        upstreams.map(|upstream| (upstream.choice(0, None), self.software(&upstream.entry)))
    }

    /// Returns whether an upstream is known to run a software.
    pub(super) fn runs(&self, upstream: &Upstream, software: &Software) -> bool {
        !software.is_unknown() && self.software(&upstream.entry) == *software
    }

    fn has_ended(&self, id: &Name, started_at: u64) -> bool {
        self.ended.get(id, started_at).is_some()
    }
}
