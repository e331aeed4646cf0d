//! The part of the work of each kind of requests that a team is served.
//!
//! A team that asks for more than its fair share is served a part of it. Small requests fit into what is left of the share
//! at any moment, and large ones rarely do, so that a flood of short prompts would keep the long ones out; requests with a long
//! objective wait until there is room, and urgent ones are refused meanwhile. Kinds that are behind the others therefore
//! need less room in the share, and those that are ahead need more.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

use crate::account::Work;

/// Time constant of the exponential decay in seconds. The largest requests of a team come every second or so; a longer
/// memory would punish a kind for a load that has ended.
const DECAY_S: f64 = 4.0;
/// Relative difference between the served part of a kind and that of all work of its team from which the kind is behind or
/// ahead. Single requests of a rare kind change its part by as much.
const TOLERANCE: f64 = 0.2;
/// Maximum number of teams that are remembered.
const MAX_TEAMS: usize = 1_024;
/// Maximum number of kinds of a team that are remembered. Objectives come from the configuration.
const MAX_KINDS: usize = 256;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Work, in tokens for engines and in requests for plain upstreams.
    pub work: u64,
    /// Latency objective.
    pub objective: Span,
}

/// Requests with the same objective, of up to twice the work of the kind below.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Kind {
    size: u32,
    objective: Span,
}

impl From<Demand> for Kind {
    fn from(demand: Demand) -> Self {
        Self {
            size: demand.work.checked_ilog2().unwrap_or(0),
            objective: demand.objective,
        }
    }
}

/// How much of a kind is served, relative to all work of its team.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Balance {
    /// A smaller part.
    Behind,
    /// About the same part.
    #[default]
    Even,
    /// A larger part.
    Ahead,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    work: Work,
    at: Timestamp,
}

impl Sum {
    fn at(self, now: Timestamp) -> Work {
        let decay = (-now.since(self.at).as_secs_f64() / DECAY_S).exp();
        Work {
            requested: self.work.requested * decay,
            served: self.work.served * decay,
        }
    }

    fn add(&mut self, now: Timestamp, requested: f64, served: f64) {
        let work = self.at(now);
        let (requested, served) = (work.requested + requested, work.served + served);
        self.work = Work { requested, served };
        self.at = now;
    }
}

fn served_part(work: Work) -> f64 {
    if work.requested > 0.0 {
        (work.served / work.requested).min(1.0)
    } else {
        1.0
    }
}

/// Requested and served work at this router, by team and kind.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// use tsw_flow::mix::{Balance, Demand, Mix};
/// let (mut mix, now, team) = (Mix::default(), Timestamp::from_micros(1), "north".into());
/// let [short, long] = [4_000, 5_000].map(|work| Demand { work, objective: Span::from_millis(work / 10) });
/// for _ in 0..10 {
///     mix.record_request(now, &team, short);
///     mix.record_request(now, &team, long);
///     mix.record_start(now, &team, short);
/// }
/// assert_eq!(mix.balance(now, "north", long), Balance::Behind);
/// assert_eq!(mix.balance(now, "north", short), Balance::Ahead);
/// assert_eq!(mix.balance(now, "south", short), Balance::Even);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mix(IndexMap<Name, Kinds>);

/// The work of a team, in total and by kind.
#[derive(Clone, Debug, Default)]
struct Kinds {
    total: Sum,
    by_kind: IndexMap<Kind, Sum>,
}

impl Mix {
    fn add(
        &mut self,
        now: Timestamp,
        team: &Name,
        demand: Demand,
        (requested, served): (f64, f64),
    ) {
        if self.0.len() >= MAX_TEAMS && !self.0.contains_key(team) {
            self.0.clear();
        }
        let kinds = self.0.entry(team.clone()).or_default();
        if kinds.by_kind.len() >= MAX_KINDS {
            kinds.by_kind.clear();
        }
        kinds.total.add(now, requested, served);
        let sum = kinds.by_kind.entry(demand.into()).or_default();
        sum.add(now, requested, served);
    }

    /// Records that a request of a team arrived.
    pub fn record_request(&mut self, now: Timestamp, team: &Name, demand: Demand) {
        self.add(now, team, demand, (demand.work as f64, 0.0));
    }

    /// Records that a request of a team was started.
    pub fn record_start(&mut self, now: Timestamp, team: &Name, demand: Demand) {
        self.add(now, team, demand, (0.0, demand.work as f64));
    }

    /// Returns how much of the kind of a request is served, relative to all work of its team.
    #[must_use]
    pub fn balance(&self, now: Timestamp, team: &str, demand: Demand) -> Balance {
        let kinds = self.0.get(team);
        let kind = kinds.and_then(|kinds| kinds.by_kind.get(&Kind::from(demand)));
        let (Some(kinds), Some(kind)) = (kinds, kind) else {
            return Balance::Even;
        };
        let [part, all] = [kind, &kinds.total].map(|sum| served_part(sum.at(now)));
        if part < all * (1.0 - TOLERANCE) {
            Balance::Behind
        } else if part > all * (1.0 + TOLERANCE) {
            Balance::Ahead
        } else {
            Balance::Even
        }
    }
}
