//! The queue of waiting requests: order and expiry.

use std::cmp::Reverse;

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

use crate::{
    account::Accounts,
    mix::{Balance, Demand},
};

/// How far a request has come, in ascending order of precedence.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It was refused before and has missed its objective meanwhile.
    Overdue,
    /// Nothing of its response has been sent.
    #[default]
    New,
    /// The client states that it resumes a stream that began in an earlier response, which no record
    /// shows.
    Claimed,
    /// It resumes a stream that a router has recorded.
    Resumed,
    /// Its response has begun, so that it cannot be refused any more.
    Begun,
}

impl Standing {
    /// Returns the work up to which a team is served requests of this standing, given the fair share.
    ///
    /// What a client states is not verified, so that it takes nothing from other teams. It precedes the
    /// new requests of its own team. Overdue requests are served what those leave of the share.
    ///
    /// ```
    /// use tsw_flow::queue::Standing;
    /// assert_eq!(Standing::Overdue.share_limit(100.0), 90.0);
    /// assert_eq!(Standing::New.share_limit(100.0), 100.0);
    /// assert_eq!(Standing::Claimed.share_limit(100.0), 100.0);
    /// assert_eq!(Standing::Resumed.share_limit(100.0), 150.0);
    /// assert_eq!(Standing::Begun.share_limit(100.0), f64::INFINITY);
    /// ```
    #[must_use]
    pub fn share_limit(self, fair_share: f64) -> f64 {
        match self {
            Self::Overdue => fair_share * OVERDUE_SHARE_FACTOR,
            Self::New | Self::Claimed => fair_share,
            Self::Resumed => fair_share * RESUMED_SHARE_FACTOR,
            Self::Begun => f64::INFINITY,
        }
    }
}

/// Part of the fair share up to which overdue requests are started. While the new ones ask for more than the share, they keep
/// their team above it, since each may start if half of its work fits.
const OVERDUE_SHARE_FACTOR: f64 = 0.9;
/// Multiple of the fair share up to which recorded streams that clients resume are started.
const RESUMED_SHARE_FACTOR: f64 = 1.5;

/// A request in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number assigned by the queue.
    pub number: u64,
    /// Team that sent it.
    pub team: Name,
    /// Work and objective.
    pub demand: Demand,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time at which its latency objective is missed. Requests past it are ordered last.
    pub objective_at: Timestamp,
    /// Time at which it is refused if it has not started.
    pub expires_at: Timestamp,
    /// How far it has come.
    pub standing: Standing,
    /// Whether it runs at a silent upstream and waits for another one. It then delays no other request
    /// and counts as no waiting work.
    pub moves: bool,
}

/// The waiting requests of a service at one router.
///
/// Streams that have begun go first, then those that clients resume, recorded ones before others, then
/// requests whose objective can still be met; overdue ones go last. Those of one rank are ordered by the recent work of
/// their team, the least first, then by priority, then by the balance of their kind, the one that is behind first, then by
/// the time of their objective.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<QueuedRequest>,
    next: u64,
}

impl Queue {
    /// Adds a request and returns the number assigned to it; `waiting.number` is ignored.
    pub fn push(&mut self, mut waiting: QueuedRequest) -> u64 {
        self.next += 1;
        waiting.number = self.next;
        self.waiting.push(waiting);
        self.next
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the work of all waiting requests that do not run yet, or of those of one team.
    #[must_use]
    pub fn work(&self, team: Option<&str>) -> u64 {
        let waiting = self.waiting.iter().filter(|waiting| !waiting.moves);
        let counted = waiting.filter(|waiting| team.is_none_or(|team| *waiting.team == *team));
        counted.map(|waiting| waiting.demand.work).sum()
    }

    /// Returns the work of the waiting requests of a team that do not run yet and go before a further one of this
    /// standing and balance, given the balance of each.
    #[must_use]
    pub fn work_before(
        &self,
        team: &str,
        standing: Standing,
        balance: Balance,
        balance_of: impl Fn(Demand) -> Balance,
    ) -> u64 {
        let waiting = self.waiting.iter().filter(|waiting| !waiting.moves);
        let own = waiting.filter(|waiting| *waiting.team == *team);
        let before = own.filter(|waiting| {
            let rank = (Reverse(waiting.standing), balance_of(waiting.demand));
            rank <= (Reverse(standing), balance)
        });
        before.map(|waiting| waiting.demand.work).sum()
    }

    /// Returns the waiting requests in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }

    /// Returns the team of each waiting request; teams occur once per request.
    pub fn teams(&self) -> impl Iterator<Item = &Name> {
        self.waiting.iter().map(|waiting| &waiting.team)
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64) -> Option<QueuedRequest> {
        let found = self
            .waiting
            .iter()
            .position(|waiting| waiting.number == number)?;
        Some(self.waiting.remove(found))
    }

    /// Removes and returns the requests that have expired.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        let expired = self
            .waiting
            .extract_if(.., |waiting| waiting.expires_at <= now);
        expired.collect()
    }

    /// Returns the waiting requests in the order in which to start them, given the recent work of
    /// each team and the balance of each kind.
    #[must_use]
    pub fn start_order(
        &self,
        now: Timestamp,
        accounts: &Accounts,
        balance_of: impl Fn(&str, Demand) -> Balance,
    ) -> Vec<QueuedRequest> {
        let mut order = self.waiting.clone();
        let mut served_by_team: IndexMap<Name, f64> = IndexMap::new();
        order.sort_by_cached_key(|waiting| {
            let served = || accounts.team(now, &waiting.team).served;
            let served = *served_by_team
                .entry(waiting.team.clone())
                .or_insert_with(served);
            let late = waiting.objective_at < now;
            let standing = Reverse(waiting.standing);
            (
                standing,
                late,
                served as u64,
                waiting.priority,
                balance_of(&waiting.team, waiting.demand),
                waiting.objective_at,
            )
        });
        order
    }
}

/// Fraction of the objective for which a request for an engine may wait at the router. The rest is
/// for processing the prompt, which takes longer the more requests were admitted before.
const ENGINE_WAIT_FRACTION: f64 = 0.1;
/// Fraction of the objective for which a request for a plain upstream may wait at the router. A
/// request runs for about a fifth of its objective.
const PLAIN_WAIT_FRACTION: f64 = 0.5;

/// Returns the time at which a request that arrived at `arrived` is refused if it has not started.
///
/// If it started later, it would miss its objective and take capacity from a request that could
/// still meet its own.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// let (arrived, objective) = (Timestamp::from_micros(1), Span::from_millis(800));
/// let expires_at = tsw_flow::queue::expires_at(arrived, objective, arrived + Span::from_secs(15), true);
/// assert_eq!(expires_at.since(arrived), Span::from_millis(80));
/// ```
#[must_use]
pub fn expires_at(
    arrived: Timestamp,
    objective: Span,
    deadline: Timestamp,
    engine: bool,
) -> Timestamp {
    let fraction = if engine {
        ENGINE_WAIT_FRACTION
    } else {
        PLAIN_WAIT_FRACTION
    };
    let wait = Span::from_micros((objective.as_micros() as f64 * fraction) as u64);
    (arrived + wait).min(deadline)
}

/// Minimum time without an event after which clients abandon a stream.
const MIN_PATIENCE: Span = Span::from_secs(2);
/// Time without an event after which clients abandon a stream, in objectives and in gap objectives.
const PATIENCE_OBJECTIVES: u64 = 4;
const PATIENCE_GAPS: u64 = 8;
/// Part of that time for which a stream that has begun may wait at the router. The rest is for
/// processing the prompt at another upstream.
const PATIENCE_DIVISOR: u64 = 2;

/// Returns the time until which a stream that has begun may wait. `since` is the time of the last event,
/// or of the arrival if a client resumes it.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// let (since, millis) = (Timestamp::from_micros(1), Span::from_millis);
/// let due = since + Span::from_secs(15);
/// let expires_at = |objective, gap| tsw_flow::queue::resume_expires_at(since, objective, gap, due);
/// assert_eq!(expires_at(millis(400), millis(200)).since(since), millis(1_000));
/// assert_eq!(expires_at(millis(400), millis(400)).since(since), millis(1_600));
/// ```
#[must_use]
pub fn resume_expires_at(
    since: Timestamp,
    objective: Span,
    gap_objective: Span,
    due: Timestamp,
) -> Timestamp {
    let objectives = objective.as_micros().saturating_mul(PATIENCE_OBJECTIVES);
    let gaps = gap_objective.as_micros().saturating_mul(PATIENCE_GAPS);
    let patience = objectives.max(gaps).max(MIN_PATIENCE.as_micros());
    (since + Span::from_micros(patience / PATIENCE_DIVISOR)).min(due)
}
