//! Concurrency limits of the upstreams of a service, derived from the latency of their requests.

use indexmap::IndexMap;
use tsw_base::{name, time};

/// Interval between updates of the limits. Each update raises the limit of a healthy upstream by
/// one.
pub const UPDATE_PERIOD: time::Span = time::Span::from_millis(250);

/// An upstream is slow if its latency is at least this many times the median of the service.
pub const SLOW_FACTOR: u64 = 3;

/// The limit of a slow upstream is its number of slots divided by this, but at least 1.
pub const SLOW_DIVISOR: u32 = 4;

/// Number of periods without a sample after which the limit of a slow upstream is raised by one, to
/// find out whether it recovered.
const PROBE_AFTER_PERIODS: u32 = 8;

/// A new sample has a weight of 1 / `SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u64 = 4;

#[derive(Clone, Debug)]
struct Upstream {
    slots: u32,
    limit: u32,
    /// Moving average of the samples.
    latency: Option<time::Span>,
    /// Whether there was a sample in the current period.
    sampled: bool,
    /// Periods in a row without a sample while the upstream was slow.
    idle_periods: u32,
}

/// Concurrency limits of the upstreams of one service. A limit never exceeds the slots of its
/// upstream.
///
/// ```
/// use tsw_base::{name, time::{Span, Timestamp}};
/// use tsw_health::limit::{Limits, UPDATE_PERIOD};
///
/// let mut limits = Limits::default();
/// let names: Vec<name::Upstream> = ["a", "b", "c"].map(|n| n.parse()).into_iter().collect::<Result<_, _>>()?;
/// for (name, millis) in names.iter().zip([20, 20, 200]) {
///     limits.set_slots(name, 8);
///     limits.record_sample(name, Span::from_millis(millis));
/// }
/// let changed = limits.update(Timestamp::ZERO + UPDATE_PERIOD);
/// assert_eq!(changed, [(names[2].clone(), 2)]);
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    upstreams: IndexMap<name::Upstream, Upstream>,
    last_update: time::Timestamp,
}

impl Limits {
    /// Sets the published slots of an upstream, adding the upstream if it is new. Returns its
    /// limit.
    pub fn set_slots(&mut self, name: &name::Upstream, slots: u32) -> u32 {
        let entry = self.upstreams.entry(name.clone());
        let upstream = entry.or_insert(Upstream {
            slots,
            limit: slots,
            latency: None,
            sampled: false,
            idle_periods: 0,
        });
        if upstream.limit == upstream.slots {
            upstream.limit = slots;
        }
        upstream.slots = slots;
        upstream.limit = upstream.limit.min(slots);
        upstream.limit
    }

    /// Removes an upstream.
    pub fn remove(&mut self, name: &name::Upstream) {
        self.upstreams.swap_remove(name);
    }

    /// Records the time per token of a request or, for a service that does not stream tokens, the
    /// total time of the request.
    pub fn record_sample(&mut self, name: &name::Upstream, latency: time::Span) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            let old = upstream.latency.unwrap_or(latency);
            upstream.latency = Some((old * (SMOOTHING_DIVISOR - 1) + latency) / SMOOTHING_DIVISOR);
            upstream.sampled = true;
            upstream.idle_periods = 0;
        }
    }

    /// Returns the limit of an upstream; 0 if it is not known.
    #[must_use]
    pub fn get(&self, name: &name::Upstream) -> u32 {
        self.upstreams
            .get(name)
            .map_or(0, |upstream| upstream.limit)
    }

    /// Returns whether the latency of an upstream is at least [`SLOW_FACTOR`] times the median.
    #[must_use]
    pub fn is_slow(&self, name: &name::Upstream) -> bool {
        let latency = self
            .upstreams
            .get(name)
            .and_then(|upstream| upstream.latency);
        self.median()
            .is_some_and(|median| is_much_slower(latency, median))
    }

    /// Updates the limits if [`UPDATE_PERIOD`] has passed since the last update. Returns the limits
    /// that changed.
    pub fn update(&mut self, now: time::Timestamp) -> Vec<(name::Upstream, u32)> {
        if now.since(self.last_update) < UPDATE_PERIOD {
            return Vec::new();
        }
        self.last_update = now;
        let median = self.median();
        let mut changed = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            let before = upstream.limit;
            upstream.update_limit(median);
            if upstream.limit != before {
                changed.push((name.clone(), upstream.limit));
            }
        }
        changed
    }

    /// Returns the median latency. Of an even number it is the lower middle value, so that a slow
    /// upstream is detected even if there are only two.
    fn median(&self) -> Option<time::Span> {
        let latencies = self
            .upstreams
            .values()
            .filter_map(|upstream| upstream.latency);
        let mut latencies: Vec<time::Span> = latencies.collect();
        latencies.sort_unstable();
        latencies
            .get(latencies.len().saturating_sub(1) / 2)
            .copied()
    }
}

fn is_much_slower(latency: Option<time::Span>, median: time::Span) -> bool {
    latency.is_some_and(|latency| latency >= median * SLOW_FACTOR && latency > median)
}

impl Upstream {
    fn update_limit(&mut self, median: Option<time::Span>) {
        let slow = median.is_some_and(|median| is_much_slower(self.latency, median));
        let slow_limit = (self.slots / SLOW_DIVISOR).max(1).min(self.slots);
        let sampled = std::mem::take(&mut self.sampled);
        if slow && sampled {
            self.limit = slow_limit;
        } else if !slow || self.idle_periods >= PROBE_AFTER_PERIODS {
            self.limit = self.limit.saturating_add(1).min(self.slots);
            self.idle_periods = 0;
        } else {
            self.idle_periods += 1;
        }
    }
}
