//! A limit of calls per second.

use std::time::Duration;

use actix_rt::time::Instant;
use serde::{Deserialize, Serialize};

const SECOND: Duration = Duration::from_secs(1);

/// Control call that changes a limit.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Change {
    /// Calls per second.
    pub per_second: u32,
}

/// Counts calls in windows of one second.
#[derive(Clone, Debug)]
pub struct Limit {
    per_second: u32,
    start: Instant,
    used: u32,
    peak: u32,
}

impl Limit {
    /// Returns a limit of `per_second` calls.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            start: Instant::now(),
            used: 0,
            peak: 0,
        }
    }

    /// Replaces the limit.
    pub fn set(&mut self, per_second: u32) {
        self.per_second = per_second;
    }

    /// Counts a call at `now`, on top of `pending` calls that also count. Returns whether it is
    /// within the limit.
    pub fn take(&mut self, now: Instant, pending: u32) -> bool {
        if now.duration_since(self.start) >= SECOND {
            self.start = now;
            self.used = 0;
        }
        let load = self.used.saturating_add(pending).saturating_add(1);
        self.peak = self.peak.max(load);
        if load > self.per_second {
            return false;
        }
        self.used += 1;
        true
    }

    /// Returns the most calls in one window, with those that were refused.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.peak
    }
}
