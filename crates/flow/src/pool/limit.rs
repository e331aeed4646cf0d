//! Request rates that upstreams state or take while they are cold, and the credits of this router to send
//! requests to them.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

use super::{Choice, Pool, Upstream};
use crate::{
    origin::Software,
    rate::{Allocator, Grant, Rate, CREDIT_LIFETIME, MAX_DEMAND},
};

/// Maximum number of limits kept. It exceeds the upstreams of a service.
const MAX_LIMITS: usize = 4_096;
/// Age from which a statement that another router passes on is ignored, and after which the end of a limit
/// is forgotten. A limited upstream gets a request, and can state its rate again, within 10 s.
const MAX_STATEMENT_AGE: Span = Span::from_millis(30_000);
/// Time after which a question is repeated.
const ASK_INTERVAL: Span = Span::from_millis(50);
/// Maximum age of a question whose answer still counts, so that a late one hands out nothing.
const MAX_ANSWER_DELAY: Span = Span::from_millis(300);
/// Time without an answer after which a router takes a part of the rate for itself.
const UNANSWERED_TIMEOUT: Span = Span::from_millis(1_000);
/// Fraction of its even part that a router takes if no allocator answers it. The allocator may still hand
/// out the whole rate to others.
const UNALLOCATED_FRACTION: f64 = 0.25;

/// What an upstream last stated about the rate that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Start of the run that stated it.
    pub run: u64,
    /// The rate; `None` if it no longer states one.
    pub rate: Option<Rate>,
    /// Time since the response that stated it.
    pub age: Span,
}

/// An upstream that this router needs credits for.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// The upstream.
    pub upstream: Name,
    /// What it last stated.
    pub statement: Statement,
    /// Number of credits.
    pub credits: u32,
}

#[derive(Clone, Copy, Debug)]
struct Credit {
    from: Timestamp,
    until: Timestamp,
}

/// The rate that an upstream takes, and the credits for it.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    run: u64,
    /// The rate that it states.
    rate: Option<Rate>,
    stated_at: Timestamp,
    /// The rate that it takes while it is cold, and the time at which it is warm.
    cold: Option<(Rate, Timestamp)>,
    credits: Vec<Credit>,
    /// Time and number of the credits of the last question.
    asked_at: Timestamp,
    asked: u32,
    /// First question without an answer since.
    unanswered_since: Option<Timestamp>,
    /// Start of the next credit that the allocator has, for whichever router.
    expected_at: Timestamp,
    /// Earliest start of the next request without an allocator.
    alone_at: Timestamp,
    /// Set while this router is the allocator.
    allocator: Option<Allocator>,
}

impl Limit {
    fn new(run: u64, rate: Option<Rate>, stated_at: Timestamp) -> Self {
        Self {
            run,
            rate,
            stated_at,
            cold: None,
            credits: Vec::new(),
            asked_at: Timestamp::ZERO,
            asked: 0,
            unanswered_since: None,
            expected_at: Timestamp::ZERO,
            alone_at: Timestamp::ZERO,
            allocator: None,
        }
    }

    /// Returns the rate that limits the upstream now: the lower one of what it states and what it takes
    /// while it is cold.
    fn effective(&self, now: Timestamp) -> Option<Rate> {
        let cold = self.cold.filter(|(_, warm_at)| now < *warm_at);
        let rates = [self.rate, cold.map(|(rate, _)| rate)];
        let rates = rates.into_iter().flatten();
        rates.min_by(|a, b| a.per_s().total_cmp(&b.per_s()))
    }

    fn statement(&self, now: Timestamp) -> Statement {
        Statement {
            run: self.run,
            rate: self.rate,
            age: now.since(self.stated_at),
        }
    }

    fn usable(&self, now: Timestamp) -> impl Iterator<Item = usize> + '_ {
        let credits = self.credits.iter().enumerate();
        let usable = credits.filter(move |(_, credit)| credit.from <= now && now < credit.until);
        usable.map(|(index, _)| index)
    }

    /// Returns the number of credits that this router has.
    fn held(&self, now: Timestamp) -> u32 {
        let held = self.credits.iter().filter(|credit| now < credit.until);
        held.count() as u32
    }

    /// Returns the number of credits that this router has or may still get for its last question.
    fn expected(&self, now: Timestamp) -> u32 {
        let is_asked = now.since(self.asked_at) < ASK_INTERVAL;
        self.held(now) + if is_asked { self.asked } else { 0 }
    }
}

impl Pool {
    fn limit(&self, now: Timestamp, upstream: &Upstream) -> Option<&Limit> {
        if self.limits.is_empty() {
            return None;
        }
        let entry = &upstream.entry;
        let limit = self.limits.get(&entry.id)?;
        (entry.started_at == limit.run && limit.effective(now).is_some()).then_some(limit)
    }

    /// Returns whether an upstream may get a request as far as the rate that it states is concerned.
    pub(super) fn limit_allows(&self, now: Timestamp, upstream: &Upstream) -> bool {
        let limit = self.limit(now, upstream);
        limit.is_none_or(|limit| limit.usable(now).next().is_some())
    }

    /// Records what an upstream states in its response to a request that was sent at `sent_at`, and returns
    /// whether the limit is new or ended.
    ///
    /// A response without a rate ends a limit only if its request was sent after the limit was stated:
    /// responses may overtake each other.
    pub fn record_rate(
        &mut self,
        now: Timestamp,
        choice: &Choice,
        sent_at: Timestamp,
        rate: Option<Rate>,
    ) -> bool {
        let known = self.limits.get(&choice.id);
        let is_outdated = known.is_some_and(|limit| {
            let run = choice.started_at;
            run != limit.run && !self.replaces(limit, &choice.id, run, sent_at)
        });
        let known = known.filter(|limit| choice.started_at == limit.run);
        match (known, rate) {
            (None, None) => return false,
            (Some(limit), None) if limit.rate.is_none() || sent_at <= limit.stated_at => {
                return false
            }
            _ if is_outdated => return false,
            _ => {}
        }
        let changes = known.is_none_or(|limit| limit.rate.is_some() != rate.is_some());
        self.set_rate(now, &choice.id, choice.started_at, rate);
        changes
    }

    /// Records that an upstream states a rate that cannot be used, and returns whether that is new.
    pub fn record_unusable_rate(&mut self, choice: &Choice) -> bool {
        let run = choice.started_at;
        if self.unusable_rates.get(&choice.id) == Some(&run) {
            return false;
        }
        self.unusable_rates.insert(choice.id.clone(), run);
        if self.unusable_rates.len() > MAX_LIMITS {
            self.unusable_rates.shift_remove_index(0);
        }
        true
    }

    /// Applies a statement that another router passed on, and returns whether the limit is new or ended.
    pub fn merge_rate(&mut self, now: Timestamp, upstream: &Name, statement: Statement) -> bool {
        let stated_at = Timestamp::ZERO + now.since(Timestamp::ZERO + statement.age);
        let known = self.limits.get(upstream);
        let is_later =
            known.is_none_or(|limit| self.replaces(limit, upstream, statement.run, stated_at));
        if statement.age >= MAX_STATEMENT_AGE || !is_later {
            return false;
        }
        let before = known.filter(|limit| limit.run == statement.run);
        let before = before.is_some_and(|limit| limit.rate.is_some());
        self.set_rate(stated_at, upstream, statement.run, statement.rate);
        before != statement.rate.is_some()
    }

    /// Returns whether a statement of a run replaces what is known of an upstream. The listed run precedes others.
    fn replaces(&self, known: &Limit, upstream: &Name, run: u64, stated_at: Timestamp) -> bool {
        if run != known.run {
            let listed = self.upstreams.get(upstream);
            let listed = listed.map(|upstream| upstream.entry.started_at);
            if listed == Some(run) || listed == Some(known.run) {
                return listed == Some(run);
            }
        }
        stated_at > known.stated_at
    }

    /// Keeps the limit of a run while another one is listed.
    fn keep_limit(&mut self, upstream: &Name, limit: Limit) {
        let is_listed = |name: &Name| self.upstreams.contains_key(name);
        let run = limit.run;
        self.former_limits.insert(upstream, run, limit, is_listed);
    }

    /// Applies the limit of a run that is listed again.
    pub(super) fn restore_limit(&mut self, upstream: &Name, run: u64) {
        if let Some(former) = self.former_limits.remove(upstream, run) {
            if let Some(limit) = self.limits.insert(upstream.clone(), former) {
                self.keep_limit(upstream, limit);
            }
        }
    }

    fn set_rate(&mut self, at: Timestamp, upstream: &Name, run: u64, rate: Option<Rate>) {
        let limit = self.limit_of_run(at, upstream, run);
        (limit.rate, limit.stated_at) = (rate, limit.stated_at.max(at));
    }

    /// Returns the limit of a run, which replaces that of another run of the upstream.
    fn limit_of_run(&mut self, at: Timestamp, upstream: &Name, run: u64) -> &mut Limit {
        if self.limits.get(upstream).map(|limit| limit.run) != Some(run) {
            let expired = |limit: &Limit| {
                limit.effective(at).is_none() && at.since(limit.stated_at) >= MAX_STATEMENT_AGE
            };
            self.limits.retain(|_, limit| !expired(limit));
            if let Some(limit) = self.limits.shift_remove(upstream) {
                self.keep_limit(upstream, limit);
            }
            if self.limits.len() >= MAX_LIMITS {
                let mut names = self.limits.keys();
                let unlisted = names.position(|name| !self.upstreams.contains_key(name));
                self.limits.shift_remove_index(unlisted.unwrap_or(0));
            }
        }
        let new = || Limit::new(run, None, Timestamp::ZERO);
        self.limits.entry(upstream.clone()).or_insert_with(new)
    }

    /// Records that the listed run of an upstream is cold until `warm_at` and takes `rate` from all routers
    /// together until then. Returns whether it was not known to be cold.
    pub fn record_cold(
        &mut self,
        now: Timestamp,
        upstream: &Name,
        run: u64,
        (rate, warm_at): (Rate, Timestamp),
    ) -> bool {
        let listed = self.upstreams.get(upstream);
        if listed.is_none_or(|listed| listed.entry.started_at != run) {
            return false;
        }
        let limit = self.limit_of_run(now, upstream, run);
        let was_cold = limit.cold.is_some_and(|(_, until)| now < until);
        limit.cold = Some((rate, warm_at));
        !was_cold
    }

    /// Returns whether any listed upstream takes a limited rate.
    #[must_use]
    pub fn is_limited(&self, now: Timestamp) -> bool {
        let mut upstreams = self.upstreams.values();
        !self.limits.is_empty() && upstreams.any(|upstream| self.rate(now, upstream).is_some())
    }

    /// Returns the number of upstreams that take a limited rate.
    #[must_use]
    pub fn limited_count(&self, now: Timestamp) -> usize {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(|upstream| self.rate(now, upstream).is_some())
            .count()
    }

    /// Returns what an upstream last stated, if anything is known.
    #[must_use]
    pub fn statement(&self, now: Timestamp, upstream: &str) -> Option<Statement> {
        self.limits.get(upstream).map(|limit| limit.statement(now))
    }

    /// Returns the rate that limits an upstream.
    pub(super) fn rate(&self, now: Timestamp, upstream: &Upstream) -> Option<Rate> {
        let limit = self.limit(now, upstream)?;
        limit.effective(now)
    }

    /// Returns what upstreams stated within `max_age`, for the other routers.
    pub fn statements(
        &self,
        now: Timestamp,
        max_age: Span,
    ) -> impl Iterator<Item = (&Name, Statement)> {
        let statements = self.limits.iter();
        let statements = statements.map(move |(id, limit)| (id, limit.statement(now)));
        statements.filter(move |(_, statement)| statement.age < max_age)
    }

    /// Uses a credit for a request to the chosen upstream, if it states a rate.
    pub fn use_credit(&mut self, now: Timestamp, choice: &Choice) {
        let Some(limit) = self.limits.get_mut(&choice.id) else {
            return;
        };
        limit.credits.retain(|credit| now < credit.until);
        let usable = limit.usable(now);
        let first = usable.min_by_key(|index| limit.credits[*index].until);
        if let Some(index) = first {
            limit.credits.swap_remove(index);
        }
    }

    /// Plans a credit for a request: one that this router has or has just asked for, or else a further one
    /// for the limited upstream that is expected to have one first. `planned` counts them by upstream.
    pub fn plan_credit(
        &self,
        now: Timestamp,
        avoid: &[Name],
        software: Option<&Software>,
        planned: &mut IndexMap<Name, u32>,
    ) {
        let is_same =
            |upstream: &&Upstream| software.is_none_or(|software| self.runs(upstream, software));
        let accepting = self.upstreams.values().filter(|upstream| {
            !upstream.entry.leaving
                && self.pause_permits(now, upstream)
                && !avoid.contains(&upstream.entry.id)
                && upstream.requests() < upstream.entry.slots
        });
        let limited = accepting.filter(is_same).filter_map(|upstream| {
            let limit = self.limit(now, upstream)?;
            let id = &upstream.entry.id;
            let count = planned.get(id).copied().unwrap_or_default();
            let further = u64::from((count + 1).saturating_sub(limit.expected(now)));
            let interval = limit.effective(now)?.interval().as_micros();
            let wait =
                limit.expected_at.since(now).as_micros() + interval * further.saturating_sub(1);
            let is_failing = upstream.unavailable_until > now;
            // Routers that ask for the same credits take turns at the upstreams.
            let order = (further > 0, is_failing, wait, limit.asked_at);
            (count < MAX_DEMAND).then_some((order, id))
        });
        if let Some((_, id)) = limited.min_by_key(|(order, _)| *order) {
            *planned.entry(id.clone()).or_default() += 1;
        }
    }

    /// Returns the questions for planned credits that this router neither has nor has just asked for, and
    /// records that they are asked now.
    pub fn questions(&mut self, now: Timestamp, planned: IndexMap<Name, u32>) -> Vec<Question> {
        let questions = planned.into_iter().filter_map(|(upstream, credits)| {
            let limit = self.limits.get_mut(&upstream)?;
            if credits <= limit.expected(now) {
                return None;
            }
            limit.asked_at = now;
            // It replaces the last question, which may not be answered yet.
            limit.asked = credits - limit.held(now);
            limit.unanswered_since = limit.unanswered_since.or(Some(now));
            Some(Question {
                upstream,
                statement: limit.statement(now),
                credits: limit.asked,
            })
        });
        questions.collect()
    }

    /// Takes a part of the rate of an upstream whose allocator does not answer, in a fleet of `routers`.
    pub fn credit_unanswered(&mut self, now: Timestamp, upstream: &Name, routers: usize) {
        let Some(limit) = self.limits.get_mut(upstream) else {
            return;
        };
        let (Some(rate), Some(since)) = (limit.effective(now), limit.unanswered_since) else {
            return;
        };
        if now.since(since) < UNANSWERED_TIMEOUT || now < limit.alone_at {
            return;
        }
        let parts = routers.max(1) as f64 / UNALLOCATED_FRACTION;
        let micros = rate.interval().as_micros() as f64 * parts;
        if limit.alone_at > Timestamp::ZERO {
            limit.credits.push(Credit {
                from: now,
                until: now + CREDIT_LIFETIME,
            });
        }
        limit.alone_at = now + Span::from_micros(micros as u64);
    }

    /// Applies the answer of an allocator to a question that was asked at `asked_at`: the times until
    /// its credits start, and until the next one is expected.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        upstream: &Name,
        asked_at: Timestamp,
        starts_in: &[Span],
        wait: Span,
    ) {
        let Some(limit) = self.limits.get_mut(upstream) else {
            return;
        };
        if now.since(asked_at) > MAX_ANSWER_DELAY {
            return;
        }
        limit.unanswered_since = None;
        limit.alone_at = Timestamp::ZERO;
        limit.expected_at = now + wait;
        limit.credits.retain(|credit| now < credit.until);
        limit.asked = limit.asked.saturating_sub(starts_in.len() as u32);
        for starts_in in starts_in {
            let from = now + *starts_in;
            let until = from + CREDIT_LIFETIME;
            limit.credits.push(Credit { from, until });
        }
    }

    /// Records the question of a router as the allocator of an upstream, see [`Allocator::ask`]. Credits
    /// start at `since` at the earliest if this router was not the allocator before.
    pub fn ask_allocator(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        router: &Name,
        upstream: &Name,
        (credits, asked_us): (u32, u64),
    ) {
        let limit = self.limits.get_mut(upstream);
        let Some(limit) = limit.filter(|limit| limit.effective(now).is_some()) else {
            return;
        };
        let new = || Allocator::new(since.max(now));
        let allocator = limit.allocator.get_or_insert_with(new);
        allocator.ask(now, router, credits, asked_us);
    }

    /// Returns the time until the next credit for an upstream starts, if this router is its allocator.
    #[must_use]
    pub fn next_credit_in(&self, now: Timestamp, upstream: &str) -> Option<Span> {
        let allocator = self.limits.get(upstream)?.allocator.as_ref();
        allocator.map(|allocator| allocator.next_in(now))
    }

    /// Returns the credits that this router hands out now as an allocator, by upstream.
    pub fn allocate(&mut self, now: Timestamp) -> Vec<(Name, Grant)> {
        let limits = self.limits.iter_mut().filter_map(|(id, limit)| {
            let (rate, allocator) = (limit.effective(now)?, limit.allocator.as_mut()?);
            Some((id, allocator.allocate(now, rate)))
        });
        let grants = limits.flat_map(|(id, grants)| {
            let of_upstream = grants.into_iter();
            of_upstream.map(move |grant| (id.clone(), grant))
        });
        grants.collect()
    }

    /// Returns whether any router waits for a credit of this allocator.
    #[must_use]
    pub fn has_demand(&self, now: Timestamp) -> bool {
        let limits = self.limits.values();
        let mut allocators = limits.filter_map(|limit| limit.allocator.as_ref());
        allocators.any(|allocator| allocator.has_demand(now))
    }

    /// Ends the allocation for upstreams unless `keep` returns true.
    pub fn retain_allocators(&mut self, keep: impl Fn(&Name) -> bool) {
        for (id, limit) in &mut self.limits {
            if limit.allocator.is_some() && !keep(id) {
                limit.allocator = None;
            }
        }
    }

    /// Returns the shortest time until one of the upstreams that accept requests may get one, as far as
    /// their pauses and rates are known, other than `avoid` if there are others.
    #[must_use]
    pub fn shortest_wait(
        &self,
        now: Timestamp,
        avoid: &[Name],
        software: Option<&Software>,
    ) -> Span {
        self.shortest(avoid, software, |upstream| {
            let limit = self.limit(now, upstream);
            let limit = limit.filter(|limit| limit.usable(now).next().is_none());
            let credit = limit.map_or(Span::ZERO, |limit| limit.expected_at.since(now));
            credit.max(self.pause_left(now, upstream))
        })
    }
}
