//! Bounds the attempts beyond the first.

use tsw_base::time::{Span, Tick};

/// Parts into which the window is divided.
const PARTS: usize = 20;
/// Parts that are remembered: a window that ends within a part begins within another one.
const REMEMBERED: usize = PARTS + 1;
/// Part of the allowance that is used. The rest covers that the fleet's windows do not begin
/// together and that a router may count a peer that has just ended.
const SAFETY: f64 = 0.8;

/// The attempts beyond the first of each request that one router may make for a service.
///
/// In any window they stay below a part of the requests plus this router's part of a fixed number
/// that the whole fleet shares.
#[derive(Clone, Debug)]
pub struct Budget {
    window: Span,
    ratio: f64,
    slack: f64,
    /// By part: its number, requests, extra attempts.
    slots: [(u64, u32, u32); REMEMBERED],
}

impl Budget {
    /// Makes a budget: `ratio` extra attempts for each request, and `slack` more for the fleet.
    ///
    /// ```
    /// use tsw_base::time::{Span, Tick};
    /// let mut budget = tsw_flow::budget::Budget::new(Span::from_secs(10), 0.2, 10.0);
    /// let now = Tick::from_micros(1);
    /// // Two routers: each may use half of the 10, less a margin.
    /// let granted = (0..10).filter(|_| budget.spend(now, 2)).count();
    /// assert_eq!(granted, 4);
    /// ```
    #[must_use]
    pub const fn new(window: Span, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            slots: [(0, 0, 0); REMEMBERED],
        }
    }

    fn slot(&mut self, now: Tick) -> &mut (u64, u32, u32) {
        let epoch = self.epoch(now);
        let slot = &mut self.slots[(epoch % REMEMBERED as u64) as usize];
        if slot.0 != epoch {
            *slot = (epoch, 0, 0);
        }
        slot
    }

    fn epoch(&self, now: Tick) -> u64 {
        now.as_micros() * PARTS as u64 / self.window.as_micros().max(1)
    }

    /// Counts a request.
    pub fn earn(&mut self, now: Tick) {
        self.slot(now).1 += 1;
    }

    /// Takes one extra attempt out of the budget, if it holds one, in a fleet of `routers`.
    pub fn spend(&mut self, now: Tick, routers: usize) -> bool {
        self.slot(now);
        // The window that ends now begins within the oldest part. Its extra attempts count, as if
        // all were in the window, and its requests do not.
        let oldest = (self.epoch(now) + 1).saturating_sub(REMEMBERED as u64);
        let (mut requests, mut extra) = (0, 0);
        for (epoch, earned, spent) in self.slots {
            if epoch >= oldest {
                extra += spent;
            }
            if epoch > oldest {
                requests += earned;
            }
        }
        let part = self.slack / routers.max(1) as f64;
        let allowed = SAFETY * (self.ratio * f64::from(requests) + part);
        let allow = f64::from(extra + 1) <= allowed;
        if allow {
            self.slot(now).2 += 1;
        }
        allow
    }
}
