//! Retry budget: limits the number of retries.

use tsw_base::time::{Span, Timestamp};

/// Number of buckets into which the window is divided.
const BUCKETS: usize = 20;
/// Number of buckets kept: one more, because a window that ends within a bucket also begins within
/// one.
const KEPT_BUCKETS: usize = BUCKETS + 1;
/// Fraction of the allowance that is used. The rest is a margin because the windows of the routers
/// are not aligned and the count of routers may lag behind one that has just ended.
const SAFETY_FACTOR: f64 = 0.8;

/// Retry budget of one router for one service, over a sliding window.
///
/// In any window, the number of retries stays below a ratio of the requests plus this router's share
/// of a fixed number of retries for the whole fleet.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Span,
    ratio: f64,
    slack: f64,
    /// Ring of buckets: bucket number, requests, retries.
    buckets: [(u64, u32, u32); KEPT_BUCKETS],
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request, plus `slack` retries for the whole fleet in
    /// each window.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// let mut budget = tsw_flow::budget::RetryBudget::new(Span::from_secs(10), 0.2, 10.0);
    /// let now = Timestamp::from_micros(1);
    /// // Each of two routers may use half of the slack of 10, less the safety margin.
    /// let granted = (0..10).filter(|_| budget.try_acquire(now, 2)).count();
    /// assert_eq!(granted, 4);
    /// ```
    #[must_use]
    pub const fn new(window: Span, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            buckets: [(0, 0, 0); KEPT_BUCKETS],
        }
    }

    fn bucket(&mut self, now: Timestamp) -> &mut (u64, u32, u32) {
        let number = self.bucket_number(now);
        let bucket = &mut self.buckets[(number % KEPT_BUCKETS as u64) as usize];
        if bucket.0 != number {
            *bucket = (number, 0, 0);
        }
        bucket
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        now.as_micros() * BUCKETS as u64 / self.window.as_micros().max(1)
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.bucket(now).1 += 1;
    }

    /// Returns whether a retry would be allowed, in a fleet of `routers`.
    #[must_use]
    pub fn has_retry(&self, now: Timestamp, routers: usize) -> bool {
        // The window that ends now begins within the oldest bucket. To stay on the safe side, all
        // retries of that bucket count and none of its requests do.
        let oldest = (self.bucket_number(now) + 1).saturating_sub(KEPT_BUCKETS as u64);
        let (mut requests, mut retries) = (0, 0);
        for (number, arrived, retried) in self.buckets {
            if number >= oldest {
                retries += retried;
            }
            if number > oldest {
                requests += arrived;
            }
        }
        let slack = self.slack / routers.max(1) as f64;
        let allowed = SAFETY_FACTOR * (self.ratio * f64::from(requests) + slack);
        f64::from(retries + 1) <= allowed
    }

    /// Takes one retry out of the budget and returns whether it is allowed, in a fleet of `routers`.
    pub fn try_acquire(&mut self, now: Timestamp, routers: usize) -> bool {
        let granted = self.has_retry(now, routers);
        if granted {
            self.bucket(now).2 += 1;
        }
        granted
    }
}
