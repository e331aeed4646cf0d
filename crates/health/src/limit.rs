//! The concurrency limit of each upstream of a service from the pace of its requests.

use indexmap::IndexMap;
use tsw_base::{name, time};

/// Period after which limits are reconsidered; a healthy upstream's limit rises by one in each.
pub const PERIOD: time::Span = time::Span::from_millis(250);

/// An upstream is slow when its pace is this many times the median of the service.
pub const SLOW_FACTOR: u64 = 3;

/// The limit of a slow upstream is its slots divided by this.
pub const SLOW_PART: u32 = 4;

/// Periods without a sample after which a slow upstream is tried with one more request.
const SILENT_PERIODS: u32 = 8;

/// Weight of a new sample is one part in this many.
const SMOOTHING: u64 = 4;

#[derive(Clone, Debug)]
struct Upstream {
    slots: u32,
    limit: u32,
    pace: Option<time::Span>,
    /// Whether a sample came in this period, and the periods without one.
    sampled: bool,
    silent: u32,
}

/// Concurrency limits of the upstreams of one service. A limit is never above the slots.
///
/// ```
/// use tsw_base::{name, time::{Span, Tick}};
/// use tsw_health::limit::{Limits, PERIOD};
///
/// let mut limits = Limits::default();
/// let names: Vec<name::Upstream> = ["a", "b", "c"].map(|n| n.parse()).into_iter().collect::<Result<_, _>>()?;
/// for (name, millis) in names.iter().zip([20, 20, 200]) {
///     limits.set_slots(name, 8);
///     limits.sample(name, Span::from_millis(millis));
/// }
/// let changed = limits.tick(Tick::ZERO + PERIOD);
/// assert_eq!(changed, [(names[2].clone(), 2)]);
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    upstreams: IndexMap<name::Upstream, Upstream>,
    last: time::Tick,
}

impl Limits {
    /// Sets the published slots of an upstream, which it adds if it is not known; returns its
    /// limit.
    pub fn set_slots(&mut self, name: &name::Upstream, slots: u32) -> u32 {
        let entry = self.upstreams.entry(name.clone());
        let upstream = entry.or_insert(Upstream {
            slots,
            limit: slots,
            pace: None,
            sampled: false,
            silent: 0,
        });
        if upstream.limit == upstream.slots {
            upstream.limit = slots;
        }
        upstream.slots = slots;
        upstream.limit = upstream.limit.min(slots);
        upstream.limit
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, name: &name::Upstream) {
        self.upstreams.swap_remove(name);
    }

    /// Takes in the time per token of a request, or its whole time for a plain service.
    pub fn sample(&mut self, name: &name::Upstream, pace: time::Span) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            let old = upstream.pace.unwrap_or(pace);
            upstream.pace = Some((old * (SMOOTHING - 1) + pace) / SMOOTHING);
            upstream.sampled = true;
            upstream.silent = 0;
        }
    }

    /// Returns the limit of an upstream; 0 if it is not known.
    #[must_use]
    pub fn get(&self, name: &name::Upstream) -> u32 {
        self.upstreams
            .get(name)
            .map_or(0, |upstream| upstream.limit)
    }

    /// Returns whether an upstream is much slower than the others.
    #[must_use]
    pub fn slow(&self, name: &name::Upstream) -> bool {
        let pace = self.upstreams.get(name).and_then(|upstream| upstream.pace);
        self.median().is_some_and(|usual| is_slow(pace, usual))
    }

    /// Reconsiders the limits once in each [`PERIOD`]; returns those that changed.
    pub fn tick(&mut self, now: time::Tick) -> Vec<(name::Upstream, u32)> {
        if now.since(self.last) < PERIOD {
            return Vec::new();
        }
        self.last = now;
        let usual = self.median();
        let mut changed = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            let before = upstream.limit;
            upstream.reconsider(usual);
            if upstream.limit != before {
                changed.push((name.clone(), upstream.limit));
            }
        }
        changed
    }

    /// Returns the median pace, the lower one of two, so that one slow upstream of two is slow.
    fn median(&self) -> Option<time::Span> {
        let paces = self.upstreams.values().filter_map(|upstream| upstream.pace);
        let mut paces: Vec<time::Span> = paces.collect();
        paces.sort_unstable();
        paces.get(paces.len().saturating_sub(1) / 2).copied()
    }
}

fn is_slow(pace: Option<time::Span>, usual: time::Span) -> bool {
    pace.is_some_and(|pace| pace >= usual * SLOW_FACTOR && pace > usual)
}

impl Upstream {
    fn reconsider(&mut self, usual: Option<time::Span>) {
        let slow = usual.is_some_and(|usual| is_slow(self.pace, usual));
        let least = (self.slots / SLOW_PART).max(1).min(self.slots);
        let sampled = std::mem::take(&mut self.sampled);
        if slow && sampled {
            self.limit = least;
        } else if !slow || self.silent >= SILENT_PERIODS {
            self.limit = (self.limit + 1).min(self.slots);
            self.silent = 0;
        } else {
            self.silent += 1;
        }
    }
}
