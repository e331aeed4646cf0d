//! Who waits, in which order, and who is refused.

use indexmap::IndexMap;
use tsw_base::time::{Span, Tick};
use tsw_route::Name;

/// Time in which the work that a team received counts half. Twice this is about the window over
/// which the operators measure shares.
const HALF_LIFE_S: f64 = 2.0;

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Number that the queue gave it.
    pub number: u64,
    /// Its team.
    pub team: Name,
    /// Its work, in tokens or requests.
    pub work: u64,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u32,
    /// Latest time to start it so that it is in time.
    pub in_time: Tick,
    /// Time after which it is refused.
    pub until: Tick,
}

#[derive(Clone, Copy, Debug, Default)]
struct Received {
    work: f64,
    at: Tick,
}

impl Received {
    fn at(self, now: Tick) -> f64 {
        self.work * 0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE_S)
    }
}

/// The waiting requests of a service at one router.
///
/// Requests that can still be in time go first. Among these the team that received least work
/// lately goes first, then the more urgent, then the one that must start soonest.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
    received: IndexMap<Name, Received>,
    next: u64,
}

impl Queue {
    /// Adds a request and returns its number; the number in `waiting` is ignored.
    pub fn push(&mut self, mut waiting: Waiting) -> u64 {
        self.next += 1;
        waiting.number = self.next;
        self.waiting.push(waiting);
        self.next
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the work of all waiting requests.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.waiting.iter().map(|waiting| waiting.work).sum()
    }

    /// Takes a request out.
    pub fn remove(&mut self, number: u64) -> Option<Waiting> {
        let found = self.waiting.iter().position(|waiting| waiting.number == number)?;
        Some(self.waiting.remove(found))
    }

    /// Takes out the requests whose time is over.
    pub fn expire(&mut self, now: Tick) -> Vec<Waiting> {
        let over = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        over.collect()
    }

    /// Returns the waiting requests in the order in which they are to be started.
    #[must_use]
    pub fn order(&self, now: Tick) -> Vec<Waiting> {
        let key = |waiting: &Waiting| {
            let received = self.received.get(&waiting.team);
            let received = received.map_or(0.0, |received| received.at(now));
            let late = waiting.in_time < now;
            (late, received as u64, waiting.priority, waiting.in_time)
        };
        let mut order: Vec<_> = self.waiting.iter().map(|w| (key(w), w)).collect();
        order.sort_by(|a, b| a.0.cmp(&b.0));
        order.into_iter().map(|(_, waiting)| waiting.clone()).collect()
    }

    /// Notes that a team receives work.
    pub fn charge(&mut self, now: Tick, team: &Name, work: u64) {
        let received = self.received.entry(team.clone()).or_default();
        *received = Received {
            work: received.at(now) + work as f64,
            at: now,
        };
    }
}

/// Returns when a request has to be refused that arrived at `arrived` and cannot start yet.
///
/// A request waits for as long as it could be in time, and beyond that for the part of its time in
/// which a late answer is still likely to arrive before the client gives up.
#[must_use]
pub fn patience(arrived: Tick, objective: Span, deadline: Tick) -> Tick {
    let total = deadline.since(arrived).as_micros();
    let objective = objective.as_micros();
    arrived + Span::from_micros(objective.max(total / 4).min(total / 2))
}
