//! Checks that routers act on what upstreams state about themselves in their responses.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tsw_fake::worker::{Arrival, Behaviour};

use super::{
    acknowledged::{status, CONTACT_TIME},
    History, Request,
};

/// Window in which an upstream counts its requests, as specified by the operators.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Factor and number by which the requests of a window may exceed the stated rate, as specified by the
/// operators.
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;
/// Time after the first response that states a rate within which a router need not act on it, as
/// specified by the operators.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// Time after the first response that states that an upstream leaves within which requests may reach it,
/// as specified by the operators.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Requests of a router that may reach an upstream during its pause, as specified by the operators.
const PAUSE_REQUESTS: usize = 2;

/// What an upstream states in all its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stated {
    /// It takes this many requests a second from all routers together.
    Rate(f64),
    /// It leaves and takes no further request.
    Leaving,
    /// It rejects all requests and wants none from the same router for this time.
    Pause(Duration),
}

/// A period in which an upstream stated something in all its responses.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// Number of the upstream.
    pub upstream: usize,
    /// What it stated.
    pub stated: Stated,
    /// Start of the period.
    pub start: Instant,
    /// End of the period.
    pub end: Instant,
}

impl History {
    /// Returns the upstreams that got more requests than they stated to take.
    pub(super) fn exceeded_rates(&self) -> Vec<String> {
        let statements = self.statements.iter();
        let exceeded = statements.filter_map(|statement| match statement.stated {
            Stated::Rate(per_s) => self.exceeded_rate(statement, per_s),
            Stated::Leaving | Stated::Pause(_) => None,
        });
        exceeded.collect()
    }

    /// Returns the requests that reached an upstream from a router to which it had stated that it leaves.
    pub(super) fn requests_while_leaving(&self) -> Vec<String> {
        let statements = self.statements.iter();
        let leaving = statements.filter(|statement| statement.stated == Stated::Leaving);
        let late = leaving.flat_map(|statement| {
            let informed = self.informed_routers(statement);
            let arrivals = self.arrivals_in(statement);
            let late = arrivals.filter(move |(request, _)| {
                let since = informed.get(&request.router);
                since.is_some_and(|since| request.sent > *since + LEAVING_BOUND)
            });
            late.map(move |(request, _)| format!("sent in spite of {statement:?}: {request:?}"))
        });
        late.collect()
    }

    /// Returns the pauses in which more requests of a router reached an upstream than allowed.
    pub(super) fn requests_while_paused(&self) -> Vec<String> {
        let statements = self.statements.iter();
        let exceeded = statements.filter_map(|statement| match statement.stated {
            Stated::Pause(length) => self.exceeded_pause(statement, length),
            Stated::Rate(_) | Stated::Leaving => None,
        });
        exceeded.collect()
    }

    fn exceeded_pause(&self, statement: &Statement, length: Duration) -> Option<String> {
        let until = Statement {
            end: statement.end + length,
            ..*statement
        };
        let arrivals: Vec<(&Request, &Arrival)> = self.arrivals_in(&until).collect();
        let rejected = arrivals.iter().filter(|(request, arrival)| {
            let is_rejected = arrival.behaviour == Behaviour::NotRun;
            is_rejected && !self.is_excused(request.router, &until)
        });
        let counts = rejected.map(|(rejected, arrival)| {
            let (from, to) = (arrival.time + REACTION_TIME, arrival.time + length);
            let paused = arrivals.iter().filter(|(request, arrival)| {
                request.router == rejected.router && (from..to).contains(&arrival.time)
            });
            paused.count()
        });
        let most = counts.max().filter(|most| *most > PAUSE_REQUESTS)?;
        Some(format!("{most} requests in a pause of {statement:?}"))
    }

    /// Returns whether a router was started or disturbed in the period of a statement.
    fn is_excused(&self, router: usize, statement: &Statement) -> bool {
        let Statement { start, end, .. } = *statement;
        let is_within = |time: &Instant| (start..=end).contains(time);
        let starts = self.router_starts.get(router);
        let is_started = starts.is_some_and(|starts| starts.iter().any(is_within));
        let mut periods = self.router_disturbances[router].iter();
        let is_disturbed =
            periods.any(|period| !period.planned && period.start <= end && period.end >= start);
        is_started || is_disturbed
    }

    fn exceeded_rate(&self, statement: &Statement, per_s: f64) -> Option<String> {
        let informed = self.informed_routers(statement);
        let counted = self.arrivals_in(statement).filter(|(request, arrival)| {
            let since = informed.get(&request.router);
            since.is_some_and(|since| arrival.time >= *since + REACTION_TIME)
        });
        let mut times: Vec<Instant> = counted.map(|(_, arrival)| arrival.time).collect();
        times.sort_unstable();
        let allowed = RATE_FACTOR * per_s * RATE_WINDOW.as_secs_f64() + RATE_SLACK;
        let ends = times
            .iter()
            .filter(|end| **end >= statement.start + CONTACT_TIME);
        let windows = ends.map(|end| {
            let window = times
                .iter()
                .filter(|time| *time <= end && **time + RATE_WINDOW > *end);
            (window.count(), *end)
        });
        let (most, end) = windows.max()?;
        (most as f64 > allowed).then(|| {
            let after = end - statement.start;
            format!("{most} requests in 4 s, {allowed} allowed, until {after:?} of {statement:?}")
        })
    }

    /// Returns when each router forwarded the first response of an upstream since it states something.
    /// Routers that were started or disturbed in the period are left out.
    fn informed_routers(&self, statement: &Statement) -> IndexMap<usize, Instant> {
        let mut informed: IndexMap<usize, Instant> = IndexMap::new();
        for (request, _) in self.arrivals_in(statement) {
            let is_excused = self.is_excused(request.router, statement);
            if !is_excused && status(request) == Some(200) {
                let first = informed.entry(request.router).or_insert(request.ended);
                *first = (*first).min(request.ended);
            }
        }
        informed
    }

    /// Returns the requests that an upstream received in the period of a statement, unless the links to it
    /// were disturbed then.
    fn arrivals_in<'a>(
        &'a self,
        statement: &'a Statement,
    ) -> impl Iterator<Item = (&'a Request, &'a Arrival)> {
        let Statement {
            upstream,
            start,
            end,
            ..
        } = *statement;
        let periods = self.upstream_disturbances.get(&upstream);
        let is_disturbed = periods.is_some_and(|periods| {
            let mut periods = periods.iter();
            periods.any(|period| period.start <= end && period.end + CONTACT_TIME >= start)
        });
        let received = self.received.iter().filter(move |received| {
            let is_within = (start..=end).contains(&received.arrival.time);
            received.upstream == upstream && is_within && !is_disturbed
        });
        received.filter_map(|received| {
            let id = received.arrival.head.fields.text("Attempt-Id")?;
            Some((self.requests.get(id)?, &received.arrival))
        })
    }
}
