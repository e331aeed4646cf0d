//! Runs of upstreams that have ended although their entries are still listed.
//!
//! While the platform's store is unavailable, an upstream may return under its name and with other
//! software before its entry says so. Until a later run is listed, it is unknown which process answers at
//! the address: a stream may begin there, but none may go on.

use tsw_base::time::Timestamp;
use tsw_route::Name;

use super::{Pool, Upstream};
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

impl Upstream {
    /// Returns the software of the upstream.
    pub(super) fn software(&self) -> Software {
        if self.has_ended {
            Software::unknown(&self.entry.id)
        } else {
            Software::of(&self.entry)
        }
    }

    /// Returns whether the upstream is known to run a software.
    pub(super) fn runs(&self, software: &Software) -> bool {
        !self.has_ended && Software::of(&self.entry) == *software
    }
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
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.has_ended = upstream.entry.started_at <= started_at;
        }
        true
    }

    /// Records that an upstream responds to a request that was sent at a time. If that was before its run was
    /// taken to have ended, the run goes on.
    pub fn record_running(&mut self, id: &Name, sent: Timestamp) {
        if self.ended.get(id).is_some_and(|ended| sent < ended.at) {
            self.ended.shift_remove(id);
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.has_ended = false;
            }
        }
    }

    /// Returns the upstream that a predicate holds for.
    #[must_use]
    pub fn find(&self, is_wanted: impl Fn(&Name) -> bool) -> Option<&Name> {
        self.upstreams.keys().find(|id| is_wanted(id))
    }

    /// Returns whether a listed run has ended.
    pub(super) fn has_ended(&self, id: &Name, started_at: u64) -> bool {
        let ended = self.ended.get(id);
        ended.is_some_and(|ended| started_at <= ended.started_at)
    }
}
