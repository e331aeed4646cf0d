//! Divides the request rate that an upstream states among the routers.
//!
//! An upstream that states a rate takes that many requests from all routers together. One router, its
//! allocator, hands out credits for single requests, which the others ask for while requests wait. So the
//! sum does not depend on the number of routers, and a router without requests takes nothing from others.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

/// Window in which an upstream counts its requests.
pub const WINDOW: Span = Span::from_millis(4_000);
/// Time for which a credit may be used.
pub const CREDIT_LIFETIME: Span = Span::from_millis(200);
/// Time before its start at which a credit is handed out at the earliest.
const MAX_AHEAD: Span = Span::from_millis(100);
/// Time for which the demand of a router counts if it is not repeated.
pub const DEMAND_LIFETIME: Span = Span::from_millis(200);
/// Maximum time between two credits, so that the end of every limit is noticed.
const MAX_INTERVAL: Span = Span::from_millis(10_000);
/// Maximum rate in requests per second; a higher one limits nothing.
const MAX_PER_S: f64 = 100_000.0;
/// Maximum number of credits that a router may ask for at once.
pub const MAX_DEMAND: u32 = 16;

/// A request rate that an upstream states.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns the rate of `per_s` requests per second; `None` if that is negative or not finite. Rates
    /// above 100,000 are reduced to that.
    ///
    /// ```
    /// use tsw_flow::rate::Rate;
    /// assert_eq!(Rate::new(2.5).map(Rate::per_s), Some(2.5));
    /// assert_eq!(Rate::new(-1.0), None);
    /// assert_eq!(Rate::new(f64::NAN), None);
    /// ```
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        let is_usable = per_s.is_finite() && per_s >= 0.0;
        is_usable.then(|| Self(per_s.min(MAX_PER_S)))
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }

    /// Returns the time between the starts of two credits.
    ///
    /// Requests of a window started up to the lifetime of a credit before it, and no more may start than
    /// the upstream takes in a window. A rate of less than one request in a window gets one request now
    /// and then.
    ///
    /// ```
    /// use tsw_flow::rate::Rate;
    /// // Five requests in 4 s.
    /// assert_eq!(Rate::new(1.25).unwrap().interval().as_millis(), 840);
    /// assert_eq!(Rate::new(0.0).unwrap().interval().as_millis(), 10_000);
    /// ```
    #[must_use]
    pub fn interval(self) -> Span {
        let in_window = (self.0 * WINDOW.as_secs_f64()).floor();
        let micros = if in_window >= 1.0 {
            let window = WINDOW.as_micros() + CREDIT_LIFETIME.as_micros();
            window as f64 / in_window
        } else {
            1e6 / self.0
        };
        Span::from_micros(micros.min(MAX_INTERVAL.as_micros() as f64) as u64 + 1)
    }
}

/// What a router asks an allocator for.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Time of the latest question, by the clock of the router that asked.
    asked_us: u64,
    expires_at: Timestamp,
    credits: u32,
    /// When the router last got a credit. The one that waited longest is next.
    served_at: Timestamp,
}

/// A credit that an allocator hands out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The router that gets it.
    pub router: Name,
    /// Time of the question that it answers, by the clock of that router.
    pub asked_us: u64,
    /// Time until the credit starts.
    pub starts_in: Span,
}

/// Hands out the credits for one upstream.
#[derive(Clone, Debug)]
pub struct Allocator {
    /// Start of the next credit at the earliest.
    next_at: Timestamp,
    demands: IndexMap<Name, Demand>,
}

impl Allocator {
    /// Creates an allocator whose first credit starts at `next_at` at the earliest.
    #[must_use]
    pub fn new(next_at: Timestamp) -> Self {
        Self {
            next_at,
            demands: IndexMap::new(),
        }
    }

    /// Replaces the demand of a router, which asked at `asked_us` by its own clock.
    pub fn ask(&mut self, now: Timestamp, router: &Name, credits: u32, asked_us: u64) {
        let served_at = self.demands.get(router).map(|demand| demand.served_at);
        let demand = Demand {
            asked_us,
            expires_at: now + DEMAND_LIFETIME,
            credits: credits.min(MAX_DEMAND),
            served_at: served_at.unwrap_or(Timestamp::ZERO),
        };
        self.demands.insert(router.clone(), demand);
    }

    /// Hands out the credits that are due at a rate.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_flow::rate::{Allocator, Rate};
    /// let now = Timestamp::from_micros(1);
    /// let mut allocator = Allocator::new(now);
    /// allocator.ask(now, &"r1".into(), 2, 7);
    /// let grants = allocator.allocate(now, Rate::new(5.0).unwrap());
    /// assert_eq!(grants.len(), 1, "the second credit starts 0.2 s later");
    /// ```
    pub fn allocate(&mut self, now: Timestamp, rate: Rate) -> Vec<Grant> {
        let interval = rate.interval();
        self.demands
            .retain(|_, demand| now.since(demand.served_at.max(demand.expires_at)) < MAX_INTERVAL);
        let mut grants = Vec::new();
        while self.next_at <= now + MAX_AHEAD {
            let open = self.demands.iter_mut();
            let open = open.filter(|(_, demand)| demand.credits > 0 && now < demand.expires_at);
            let Some((router, demand)) = open.min_by_key(|(_, demand)| demand.served_at) else {
                break;
            };
            let start = self.next_at.max(now);
            demand.credits -= 1;
            demand.served_at = start;
            self.next_at = start + interval;
            grants.push(Grant {
                router: router.clone(),
                asked_us: demand.asked_us,
                starts_in: start.since(now),
            });
        }
        grants
    }

    /// Returns the time until the next credit starts. A router may get a later one, if others wait too.
    #[must_use]
    pub fn next_in(&self, now: Timestamp) -> Span {
        self.next_at.since(now)
    }

    /// Returns whether a router waits for credits.
    #[must_use]
    pub fn has_demand(&self, now: Timestamp) -> bool {
        let mut demands = self.demands.values();
        demands.any(|demand| demand.credits > 0 && now < demand.expires_at)
    }
}
