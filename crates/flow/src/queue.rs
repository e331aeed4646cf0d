//! Who waits, in which order, and who is refused.

use tsw_base::time::{Span, Tick};
use tsw_route::Name;

use crate::account::Accounts;

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

/// The waiting requests of a service at one router.
///
/// Requests that can still be in time go first. Among these the team that received least work
/// lately goes first, then the more urgent, then the one that must start soonest.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
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

    /// Returns the work of all waiting requests, or of those of one team.
    #[must_use]
    pub fn work(&self, team: Option<&str>) -> u64 {
        let waiting = self.waiting.iter();
        let counted = waiting.filter(|waiting| team.is_none_or(|team| *waiting.team == *team));
        counted.map(|waiting| waiting.work).sum()
    }

    /// Returns the waiting requests in the order of their arrival.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Returns the teams of the waiting requests, each as often as it waits.
    pub fn teams(&self) -> impl Iterator<Item = &Name> {
        self.waiting.iter().map(|waiting| &waiting.team)
    }

    /// Takes a request out.
    pub fn remove(&mut self, number: u64) -> Option<Waiting> {
        let found = self
            .waiting
            .iter()
            .position(|waiting| waiting.number == number)?;
        Some(self.waiting.remove(found))
    }

    /// Takes out the requests whose time is over.
    pub fn expire(&mut self, now: Tick) -> Vec<Waiting> {
        let over = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        over.collect()
    }

    /// Returns the waiting requests in the order in which they are to be started, given the work
    /// that each team received lately.
    #[must_use]
    pub fn order(&self, now: Tick, accounts: &Accounts) -> Vec<Waiting> {
        let mut order = self.waiting.clone();
        order.sort_by_cached_key(|waiting| {
            let received = accounts.team(now, &waiting.team).received;
            let late = waiting.in_time < now;
            (late, received as u64, waiting.priority, waiting.in_time)
        });
        order
    }
}

/// Part of the objective for which a request for an engine waits at the router. The rest is for
/// reading the prompt, which takes longer the more requests were let in before.
const ENGINE_WAIT_PART: f64 = 0.1;
/// Part of the objective for which a request for a plain upstream waits at the router. One takes
/// about a fifth of its objective.
const PLAIN_WAIT_PART: f64 = 0.5;

/// Returns when a request is refused that arrived at `arrived` and cannot start yet.
///
/// A request that starts later is late, and takes the capacity from one that could be in time.
///
/// ```
/// use tsw_base::time::{Span, Tick};
/// let (arrived, objective) = (Tick::from_micros(1), Span::from_millis(800));
/// let until = tsw_flow::queue::patience(arrived, objective, arrived + Span::from_secs(15), true);
/// assert_eq!(until.since(arrived), Span::from_millis(80));
/// ```
#[must_use]
pub fn patience(arrived: Tick, objective: Span, deadline: Tick, engine: bool) -> Tick {
    let part = if engine {
        ENGINE_WAIT_PART
    } else {
        PLAIN_WAIT_PART
    };
    let wait = Span::from_micros((objective.as_micros() as f64 * part) as u64);
    (arrived + wait).min(deadline)
}
