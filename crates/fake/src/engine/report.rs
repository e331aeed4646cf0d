//! Load reports, which are delayed by a lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// A load report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Report {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) slots: u32,
    pub(super) age_ms: u64,
}

/// The recent load of an engine.
#[derive(Debug)]
pub(super) struct Load {
    lag: Duration,
    /// Time, running and waiting requests at each change, oldest first.
    samples: VecDeque<(Instant, usize, usize)>,
}

impl Load {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn record(&mut self, now: Instant, running: usize, waiting: usize) {
        let last = self.samples.back();
        if last.is_some_and(|(_, r, w)| (*r, *w) == (running, waiting)) {
            return;
        }
        self.samples.push_back((now, running, waiting));
        // A report uses the newest sample that is at least as old as the lag; older ones are
        // removed.
        while self.samples.len() > 1 && now.duration_since(self.samples[1].0) > self.lag {
            self.samples.pop_front();
        }
    }

    pub(super) fn report(&self, now: Instant, slots: u32) -> Report {
        let is_old_enough =
            |(time, _, _): &&(Instant, usize, usize)| now.duration_since(*time) >= self.lag;
        let found = self.samples.iter().rev().find(is_old_enough);
        let (running, waiting) = found.map_or((0, 0), |(_, running, waiting)| (*running, *waiting));
        Report {
            running,
            waiting,
            slots,
            age_ms: u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
