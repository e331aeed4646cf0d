//! Rate-limited delivery of orders to the engines whose home is this router.

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_config::service::Fencing;

use crate::plan::Order;

/// Options of a [`Dispatch`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Model loads per 1,000 s that the weight store allows the whole fleet.
    pub loads_per_1000_s: u64,
    /// Time after which an unanswered order is sent again.
    pub retry_interval: Span,
    /// Interval at which an accepted order is sent again to an engine that ignores fencing tokens,
    /// so that an outdated order from a paused router does not stay active.
    pub resend_interval: Span,
    /// Time between two ticks above which this process is taken to have been paused. It may have
    /// missed a newer bundle, so engines that ignore fencing tokens get no orders for
    /// [`Options::hold_after_pause`], in which peers announce the bundle.
    pub pause_threshold: Span,
    /// Time without orders to engines that ignore fencing tokens after a pause. See
    /// [`Options::pause_threshold`].
    pub hold_after_pause: Span,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            loads_per_1000_s: 1_000,
            retry_interval: Span::from_secs(2),
            resend_interval: Span::from_secs(10),
            pause_threshold: Span::from_millis(500),
            hold_after_pause: Span::from_secs(1),
        }
    }
}

/// Input to [`Dispatch::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Replaces the orders of all engines whose home is this router. An order with a lower fencing
    /// token than the engine's current order is ignored.
    Desired {
        /// Order and fencing mode of each engine.
        orders: IndexMap<name::Upstream, (Order, Fencing)>,
        /// Number of engines of all homes; determines this router's fraction of the weight store's
        /// rate.
        total_engines: usize,
    },
    /// An engine accepted and carried out an order.
    Accepted {
        /// The engine.
        upstream: name::Upstream,
        /// Fencing token of the order.
        fence: u64,
    },
    /// An engine refused an order because it has seen a higher fencing token. It gets no further
    /// order until one follows from a newer bundle.
    Stale {
        /// The engine.
        upstream: name::Upstream,
        /// Fencing token of the order.
        fence: u64,
    },
    /// An engine restarted and has no models loaded.
    Restarted {
        /// The engine.
        upstream: name::Upstream,
    },
    /// Timer tick, needed about every 100 ms.
    Tick,
}

/// An order that the caller of [`Dispatch::handle`] must send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// The engine.
    pub upstream: name::Upstream,
    /// The order.
    pub order: Order,
}

/// Delivery state of one engine.
#[derive(Clone, Debug)]
struct Engine {
    order: Order,
    fencing: Fencing,
    /// Models of the last accepted order.
    loaded: Vec<name::Model>,
    /// Fencing token of the last accepted order.
    accepted: Option<u64>,
    /// Highest fencing token that the engine refused.
    refused: Option<u64>,
    /// Earliest time at which the order may be sent.
    next_send: Timestamp,
}

impl Engine {
    /// Returns whether the engine has carried out its current order.
    fn is_settled(&self) -> bool {
        self.accepted == Some(self.order.fence) && self.loaded == self.order.models
    }

    /// Returns the number of models that the engine must load for its order.
    fn loads(&self) -> i64 {
        let new = self.order.models.iter();
        new.filter(|model| !self.loaded.contains(model)).count() as i64
    }
}

/// Sends orders to the engines whose home is this router.
#[derive(Clone, Debug)]
pub struct Dispatch {
    options: Options,
    engines: IndexMap<name::Upstream, Engine>,
    total_engines: usize,
    /// Token bucket: loads that may start now, in millionths of a load. Negative after an order
    /// that cost more than the bucket holds.
    budget: i64,
    last_tick: Option<Timestamp>,
    /// Engines that ignore fencing tokens get no orders before this time.
    hold_until: Timestamp,
}

/// Cost of one load in [`Dispatch::budget`].
const LOAD_COST: i64 = 1_000_000;

/// Capacity of the token bucket in loads.
const BUCKET_CAPACITY: i64 = 2;

impl Dispatch {
    /// Creates the dispatch of a router that is not the home of any engine yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            engines: IndexMap::new(),
            total_engines: 0,
            budget: LOAD_COST,
            last_tick: None,
            hold_until: Timestamp::ZERO,
        }
    }

    /// Processes an event and returns the orders to send.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        match event {
            Event::Desired {
                orders,
                total_engines,
            } => self.set_orders(orders, total_engines),
            Event::Accepted { upstream, fence } => {
                if let Some(engine) = self.engines.get_mut(&upstream) {
                    if fence == engine.order.fence {
                        engine.loaded.clone_from(&engine.order.models);
                        engine.accepted = Some(fence);
                        engine.next_send = now + self.options.resend_interval;
                    }
                }
            }
            Event::Stale { upstream, fence } => {
                if let Some(engine) = self.engines.get_mut(&upstream) {
                    engine.refused = engine.refused.max(Some(fence));
                }
            }
            Event::Restarted { upstream } => {
                if let Some(engine) = self.engines.get_mut(&upstream) {
                    engine.loaded.clear();
                    engine.accepted = None;
                    engine.next_send = now;
                }
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn set_orders(
        &mut self,
        orders: IndexMap<name::Upstream, (Order, Fencing)>,
        total_engines: usize,
    ) {
        self.total_engines = total_engines;
        let mut former = std::mem::take(&mut self.engines);
        for (upstream, (order, fencing)) in orders {
            let engine = match former.swap_remove(&upstream) {
                Some(old) if order.fence < old.order.fence => old,
                Some(old) => Engine {
                    next_send: if order == old.order {
                        old.next_send
                    } else {
                        Timestamp::ZERO
                    },
                    order,
                    fencing,
                    ..old
                },
                None => Engine {
                    order,
                    fencing,
                    loaded: Vec::new(),
                    accepted: None,
                    refused: None,
                    next_send: Timestamp::ZERO,
                },
            };
            self.engines.insert(upstream, engine);
        }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Command> {
        let elapsed = self.last_tick.map_or(Span::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if elapsed > self.options.pause_threshold {
            self.hold_until = now + self.options.hold_after_pause;
        }
        self.refill(elapsed);
        let mut commands = Vec::new();
        for (upstream, engine) in &mut self.engines {
            let stale = engine.refused >= Some(engine.order.fence);
            let ignores = engine.fencing == Fencing::Ignored;
            if now < engine.next_send || stale || (ignores && now < self.hold_until) {
                continue;
            }
            let settled = engine.is_settled();
            if settled && !ignores {
                continue;
            }
            let cost = engine.loads() * LOAD_COST;
            // An order that costs more than the bucket holds waits for a full bucket. The budget
            // then goes negative, which delays the next order.
            if self.budget < cost.min(BUCKET_CAPACITY * LOAD_COST) {
                continue;
            }
            self.budget -= cost;
            let wait = if settled {
                self.options.resend_interval
            } else {
                self.options.retry_interval
            };
            engine.next_send = now + wait;
            commands.push(Command {
                upstream: upstream.clone(),
                order: engine.order.clone(),
            });
        }
        commands
    }

    /// Refills the budget with this router's fraction of the weight store's rate, which is the
    /// fraction of all engines whose home it is.
    fn refill(&mut self, elapsed: Span) {
        if self.total_engines == 0 {
            return;
        }
        let own_engines = self.engines.len().min(self.total_engines) as u64;
        let rate = self.options.loads_per_1000_s * own_engines;
        let added = elapsed.as_micros().saturating_mul(rate) / (1_000 * self.total_engines as u64);
        let added = i64::try_from(added).unwrap_or(i64::MAX);
        self.budget = self
            .budget
            .saturating_add(added)
            .min(BUCKET_CAPACITY * LOAD_COST);
    }
}
