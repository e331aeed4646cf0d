//! Runs of upstreams that have ended although their entries are still listed.
//!
//! While the platform's store is unavailable, an upstream may return under its name and with other
//! software before its entry says so. Until a later run is listed, it is unknown what answers at the
//! address: a stream may begin there, but none may go on there or from there.

use tsw_base::time::Timestamp;
use tsw_route::Name;

use super::{Choice, Entry, Pool, Upstream};
use crate::origin::Software;

/// Maximum number of ended runs that are remembered.
const MAX_ENDED: usize = 4_096;

/// A run that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    started_at: u64,
    /// When that was found out.
    at: Timestamp,
}

impl Pool {
    /// Records that a run of an upstream has ended, and returns whether this is new.
    pub fn record_run_ended(&mut self, now: Timestamp, id: &Name, started_at: u64) -> bool {
        let known = self.ended.get(id);
        if known.is_some_and(|ended| started_at <= ended.started_at) {
            return false;
        }
        self.ended.shift_remove(id);
        let ended = Ended {
            started_at,
            at: now,
        };
        self.ended.insert(id.clone(), ended);
        if self.ended.len() > MAX_ENDED {
            self.ended.shift_remove_index(0);
        }
        true
    }

    /// Records that an upstream responds to a request that was sent at a time. If that was before its run was
    /// taken to have ended, the run goes on.
    pub fn record_running(&mut self, id: &Name, sent: Timestamp) {
        if self.ended.get(id).is_some_and(|ended| sent < ended.at) {
            self.ended.shift_remove(id);
        }
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
        if self.has_ended(&entry.id, entry.started_at) {
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

    /// Returns whether an upstream is known to run a software.
    pub(super) fn runs(&self, upstream: &Upstream, software: &Software) -> bool {
        !software.is_unknown() && self.software(&upstream.entry) == *software
    }

    fn has_ended(&self, id: &Name, started_at: u64) -> bool {
        let ended = self.ended.get(id);
        ended.is_some_and(|ended| started_at <= ended.started_at)
    }
}
