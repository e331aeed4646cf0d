//! The part of the work of each size class that a team is served.
//!
//! A team that asks for more than its fair share is served a part of it. Small requests fit into what is left of the share
//! at any moment, and large ones rarely do, so that a flood of short prompts would keep the long ones out. Classes that are
//! behind the others therefore need less room in the share.

use indexmap::IndexMap;
use tsw_base::time::Timestamp;
use tsw_route::Name;

use crate::account::Work;

/// Time constant of the exponential decay in seconds. The largest requests of a team come every second or so; a longer
/// memory would punish a class for a load that has ended.
const DECAY_S: f64 = 4.0;
/// Difference between the served part of a team's work and that of a class from which the class is behind. Single requests
/// of a small class change its part by as much.
const TOLERANCE: f64 = 0.1;
/// Maximum number of teams that are remembered.
const MAX_TEAMS: usize = 1_024;

/// Size class of a request: each holds requests of up to twice the work of the one below.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Class(u32);

impl Class {
    fn of(work: u64) -> Self {
        Self(work.checked_ilog2().unwrap_or(0))
    }
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

/// Requested and served work at this router, by team and size class.
///
/// ```
/// use tsw_base::time::Timestamp;
/// use tsw_flow::mix::Mix;
/// let (mut mix, now, team) = (Mix::default(), Timestamp::from_micros(1), "north".into());
/// for _ in 0..10 {
///     mix.record_request(now, &team, 4_000);
///     mix.record_request(now, &team, 5_000);
///     mix.record_start(now, &team, 4_000);
/// }
/// assert!(mix.is_behind(now, "north", 5_000));
/// assert!(!mix.is_behind(now, "north", 4_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mix(IndexMap<Name, Classes>);

/// The work of a team, in total and by size class.
#[derive(Clone, Debug, Default)]
struct Classes {
    total: Sum,
    by_class: IndexMap<Class, Sum>,
}

impl Mix {
    fn add(&mut self, now: Timestamp, team: &Name, work: u64, (requested, served): (f64, f64)) {
        if self.0.len() >= MAX_TEAMS && !self.0.contains_key(team) {
            self.0.clear();
        }
        let classes = self.0.entry(team.clone()).or_default();
        classes.total.add(now, requested, served);
        let sum = classes.by_class.entry(Class::of(work)).or_default();
        sum.add(now, requested, served);
    }

    /// Records that a request of a team arrived.
    pub fn record_request(&mut self, now: Timestamp, team: &Name, work: u64) {
        self.add(now, team, work, (work as f64, 0.0));
    }

    /// Records that a request of a team was started.
    pub fn record_start(&mut self, now: Timestamp, team: &Name, work: u64) {
        self.add(now, team, work, (0.0, work as f64));
    }

    /// Returns whether a smaller part of the size class of a request is served than of all work of its team.
    #[must_use]
    pub fn is_behind(&self, now: Timestamp, team: &str, work: u64) -> bool {
        let classes = self.0.get(team);
        let class = classes.and_then(|classes| classes.by_class.get(&Class::of(work)));
        let (Some(classes), Some(class)) = (classes, class) else {
            return false;
        };
        let parts = [class, &classes.total].map(|sum| served_part(sum.at(now)));
        parts[1] - parts[0] > TOLERANCE
    }
}
