//! Sends the orders of the engines that this router is home of, at the pace of the weight store.

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Tick},
};
use tsw_config::service::Fencing;

use crate::plan::Order;

/// Times and rates of the dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Loads that the weight store allows the whole fleet in 1,000 s.
    pub loads_per_1000_s: u64,
    /// Time after which an unanswered order is sent again.
    pub retry: Span,
    /// Time after which the order of an engine that ignores the fencing token is sent again, so
    /// that an old order by a paused router does not stay in force.
    pub reassert: Span,
    /// Time between two ticks above which this process was paused. Engines that ignore the token
    /// then get no order for [`Pace::hold`], in which peers tell of a newer bundle.
    pub stall: Span,
    /// See [`Pace::stall`].
    pub hold: Span,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            loads_per_1000_s: 1_000,
            retry: Span::from_secs(2),
            reassert: Span::from_secs(10),
            stall: Span::from_millis(500),
            hold: Span::from_secs(1),
        }
    }
}

/// What the dispatch reacts to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The orders of all engines that this router is home of. Replaces the earlier ones; an order
    /// with a lower token than one sent before is ignored.
    Desired {
        /// Order and use of the token, by engine.
        orders: IndexMap<name::Upstream, (Order, Fencing)>,
        /// Engines of all homes, for this router's part of the weight store's rate.
        engines: usize,
    },
    /// An engine carried out an order.
    Accepted {
        /// The engine.
        upstream: name::Upstream,
        /// Token of the order.
        fence: u64,
    },
    /// An engine refused an order because it knows a higher token. It gets no order until the
    /// bundle is newer.
    Stale {
        /// The engine.
        upstream: name::Upstream,
        /// Token of the order.
        fence: u64,
    },
    /// An engine restarted and holds no model.
    Restarted {
        /// The engine.
        upstream: name::Upstream,
    },
    /// Time passed. Needed about every 100 ms.
    Tick,
}

/// What the dispatch asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// The engine.
    pub upstream: name::Upstream,
    /// The order to send to it.
    pub order: Order,
}

#[derive(Clone, Debug)]
struct Engine {
    order: Order,
    fencing: Fencing,
    held: Vec<name::Model>,
    accepted: Option<u64>,
    stale: Option<u64>,
    next: Tick,
}

impl Engine {
    fn is_settled(&self) -> bool {
        self.accepted == Some(self.order.fence) && self.held == self.order.models
    }

    /// Returns the loads that the order causes.
    fn loads(&self) -> i64 {
        let new = self.order.models.iter();
        new.filter(|model| !self.held.contains(model)).count() as i64
    }
}

/// The orders of the engines that one router is home of.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pace: Pace,
    engines: IndexMap<name::Upstream, Engine>,
    total: usize,
    /// Loads that may start now, in millionths; negative while a large order is paid off.
    budget: i64,
    last: Option<Tick>,
    hold: Tick,
}

/// One load, in the unit of the budget.
const LOAD: i64 = 1_000_000;

/// Most loads that are saved up while none is needed.
const BURST: i64 = 2;

impl Dispatch {
    /// Makes the dispatch of a router that is home of no engine.
    #[must_use]
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            engines: IndexMap::new(),
            total: 0,
            budget: LOAD,
            last: None,
            hold: Tick::ZERO,
        }
    }

    /// Takes an event and returns the orders to send.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Command> {
        match event {
            Event::Desired { orders, engines } => self.set(orders, engines),
            Event::Accepted { upstream, fence } => {
                if let Some(engine) = self.engines.get_mut(&upstream) {
                    if fence == engine.order.fence {
                        engine.held.clone_from(&engine.order.models);
                        engine.accepted = Some(fence);
                        engine.next = now + self.pace.reassert;
                    }
                }
            }
            Event::Stale { upstream, fence } => {
                if let Some(engine) = self.engines.get_mut(&upstream) {
                    engine.stale = engine.stale.max(Some(fence));
                }
            }
            Event::Restarted { upstream } => {
                if let Some(engine) = self.engines.get_mut(&upstream) {
                    engine.held.clear();
                    engine.accepted = None;
                    engine.next = now;
                }
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn set(&mut self, orders: IndexMap<name::Upstream, (Order, Fencing)>, engines: usize) {
        self.total = engines;
        let mut former = std::mem::take(&mut self.engines);
        for (upstream, (order, fencing)) in orders {
            let engine = match former.swap_remove(&upstream) {
                Some(old) if order.fence < old.order.fence => old,
                Some(old) => Engine {
                    next: if order == old.order {
                        old.next
                    } else {
                        Tick::ZERO
                    },
                    order,
                    fencing,
                    ..old
                },
                None => Engine {
                    order,
                    fencing,
                    held: Vec::new(),
                    accepted: None,
                    stale: None,
                    next: Tick::ZERO,
                },
            };
            self.engines.insert(upstream, engine);
        }
    }

    fn tick(&mut self, now: Tick) -> Vec<Command> {
        let passed = self.last.map_or(Span::ZERO, |last| now.since(last));
        self.last = Some(now);
        if passed > self.pace.stall {
            self.hold = now + self.pace.hold;
        }
        self.refill(passed);
        let mut commands = Vec::new();
        for (upstream, engine) in &mut self.engines {
            let stale = engine.stale >= Some(engine.order.fence);
            let ignores = engine.fencing == Fencing::Ignored;
            if now < engine.next || stale || (ignores && now < self.hold) {
                continue;
            }
            let settled = engine.is_settled();
            if settled && !ignores {
                continue;
            }
            let cost = engine.loads() * LOAD;
            // An order may cost more than can be saved up; it waits for a full budget and is then
            // paid off before the next one.
            if self.budget < cost.min(BURST * LOAD) {
                continue;
            }
            self.budget -= cost;
            let wait = if settled {
                self.pace.reassert
            } else {
                self.pace.retry
            };
            engine.next = now + wait;
            commands.push(Command {
                upstream: upstream.clone(),
                order: engine.order.clone(),
            });
        }
        commands
    }

    /// Adds this router's part of the weight store's rate: that of its engines among all.
    fn refill(&mut self, passed: Span) {
        if self.total == 0 {
            return;
        }
        let mine = self.engines.len().min(self.total) as u64;
        let rate = self.pace.loads_per_1000_s * mine;
        let earned = passed.as_micros().saturating_mul(rate) / (1_000 * self.total as u64);
        let earned = i64::try_from(earned).unwrap_or(i64::MAX);
        self.budget = self.budget.saturating_add(earned).min(BURST * LOAD);
    }
}
