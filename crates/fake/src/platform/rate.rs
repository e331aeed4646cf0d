//! A rate limit.

use std::time::Duration;

use actix_rt::time::Instant;
use serde::{Deserialize, Serialize};

const SECOND: Duration = Duration::from_secs(1);

/// Body of the control call that changes a rate limit.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct RateChange {
    /// Calls per second.
    pub per_second: u32,
}

/// A limit on the number of calls in each window of one second.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: u32,
    window_start: Instant,
    used: u32,
    peak: u32,
}

impl RateLimit {
    /// Returns a limit of `per_second` calls.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            window_start: Instant::now(),
            used: 0,
            peak: 0,
        }
    }

    /// Replaces the limit.
    pub fn set(&mut self, per_second: u32) {
        self.per_second = per_second;
    }

    /// Counts a call at `now`. `pending` calls count in addition. Returns whether the call is
    /// within the limit.
    pub fn try_acquire(&mut self, now: Instant, pending: u32) -> bool {
        if now.duration_since(self.window_start) >= SECOND {
            self.window_start = now;
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

    /// Returns the maximum number of counted calls in one window: accepted and pending ones, and
    /// one that was refused.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.peak
    }
}
