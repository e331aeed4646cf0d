//! The state of one service.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::{table, Name};

use crate::{
    account::{self, Accounts},
    budget::RetryBudget,
    mix::{Balance, Demand, Mix},
    origin::Software,
    pool::{Candidate, Choice, Constraints, Pool},
    prompt::Prompt,
    queue::{Queue, QueuedRequest, Standing},
    rate::{Rate, MAX_DEMAND},
};

/// Processing time of the prompts pending at an engine above which further requests wait at the
/// router. Requests wait at the router, not yet bound to an engine, unless an engine would run out
/// of work.
const MAX_PENDING_TIME: Span = Span::from_millis(250);
/// Prompt tokens that an engine processes per second, if the configuration states no limit.
const DEFAULT_PREFILL_PER_S: u64 = 50_000;
/// Prompt tokens that an engine processes in the time of one token of the configured limit, which
/// counts generated tokens as well.
const PREFILL_PER_WORK: u64 = 2;
/// Fraction of the connections to an upstream that routers keep open while idle. The rest is for
/// requests in progress.
const IDLE_FRACTION: f64 = 0.5;
/// Requests that may wait at a plain upstream beyond its slots, so that it does not idle between two
/// requests.
const EXTRA_PLAIN_SLOTS: u32 = 1;

/// The state of one service at one router.
#[derive(Debug)]
pub struct Service {
    /// Upstreams.
    pub pool: Pool,
    /// Recent work of each team.
    pub accounts: Accounts,
    /// Part of the work of each kind of requests that each team is served.
    mix: Mix,
    /// Waiting requests.
    pub queue: Queue,
    /// Retry budget.
    pub retries: RetryBudget,
    engine: Option<table::Engine>,
    tokens_per_s: Option<u64>,
    connections: u32,
    cold_rate: Option<Rate>,
    /// Requests since [`Service::plan_credits`] was called.
    arrivals: u32,
}

impl Service {
    /// Creates a service without upstreams.
    #[must_use]
    pub fn new(retries: RetryBudget) -> Self {
        Self {
            pool: Pool::default(),
            accounts: Accounts::default(),
            mix: Mix::default(),
            queue: Queue::default(),
            retries,
            engine: None,
            tokens_per_s: None,
            connections: u32::MAX,
            cold_rate: None,
            arrivals: 0,
        }
    }

    /// Applies the configuration of the service.
    pub fn configure(&mut self, service: &table::Service, limits: &table::Limits) {
        self.engine = service.engine;
        self.tokens_per_s = limits.tokens_per_s;
        self.connections = service.max_connections;
        let per_s = service
            .cold_interval
            .map(|interval| interval.as_secs_f64().recip());
        self.cold_rate = per_s.and_then(Rate::new);
    }

    /// Returns the maximum number of idle connections to one upstream that each router keeps, in a
    /// fleet of `routers`.
    ///
    /// ```
    /// use tsw_base::time::Span;
    /// use tsw_flow::{budget::RetryBudget, service::Service};
    /// use tsw_route::table;
    /// let mut service = Service::new(RetryBudget::new(Span::from_secs(10), 0.2, 50.0));
    /// let configured = table::Service { max_connections: 540, engine: None, cold_interval: None };
    /// service.configure(&configured, &table::Limits::default());
    /// assert_eq!(service.idle_connections(9), 30);
    /// ```
    #[must_use]
    pub fn idle_connections(&self, routers: usize) -> usize {
        let kept = f64::from(self.connections) * IDLE_FRACTION / routers.max(1) as f64;
        (kept as usize).max(1)
    }

    /// Records that the listed run of an upstream is cold until `warm_at`, and returns whether that limits its rate
    /// from now on. The configuration states the rate that cold upstreams take; without one they are used like
    /// others.
    pub fn record_cold(&mut self, now: Timestamp, id: &Name, run: u64, warm_at: Timestamp) -> bool {
        let pool = &mut self.pool;
        self.cold_rate
            .is_some_and(|rate| pool.record_cold(now, id, run, (rate, warm_at)))
    }

    /// Returns the limits of the engines; `None` for plain services.
    #[must_use]
    pub const fn engine(&self) -> Option<table::Engine> {
        self.engine
    }

    /// Returns whether the service runs on engines with few slots. Only there kinds of requests that are ahead leave room to
    /// the others, and overdue requests wait for new ones.
    #[must_use]
    pub fn has_few_slots(&self) -> bool {
        self.engine.is_some_and(|engine| engine.has_few_slots())
    }

    /// Returns whether a prompt exceeds the KV cache of an engine, so that no engine can run it.
    #[must_use]
    pub fn is_too_long(&self, prompt: &Prompt) -> bool {
        self.engine
            .is_some_and(|engine| prompt.tokens > engine.kv_capacity_tokens)
    }

    /// Returns the prompt tokens that one engine processes per second.
    #[must_use]
    pub fn prefill_per_s(&self) -> u64 {
        let upstreams = self.pool.accepting_count().max(1) as u64;
        let configured = self
            .tokens_per_s
            .map(|tokens| tokens * PREFILL_PER_WORK / upstreams);
        configured.unwrap_or(DEFAULT_PREFILL_PER_S).max(1)
    }

    fn max_pending_tokens(&self) -> u64 {
        self.prefill_per_s() * MAX_PENDING_TIME.as_millis() / 1_000
    }

    /// Returns whether any upstream may have room for a further request.
    #[must_use]
    pub fn has_room(&self, now: Timestamp) -> bool {
        let (is_engine, max) = (self.engine.is_some(), self.max_pending_tokens());
        self.pool.has_room(now, is_engine, max, EXTRA_PLAIN_SLOTS)
    }

    /// Chooses an upstream with room for a request, of one software if that has to continue a stream.
    /// The reports of other routers are up to `report_age` old.
    #[must_use]
    pub fn choose(
        &self,
        now: Timestamp,
        domain: &str,
        prompt: Option<&Prompt>,
        avoid: &[Name],
        software: Option<&Software>,
        report_age: Span,
    ) -> Option<Choice> {
        let needs = (avoid, software);
        let constraints = self.constraints(domain, prompt, needs, report_age);
        self.pool.choose(now, &constraints)
    }

    /// Returns the upstreams as [`Service::choose`] would see them for a new request.
    #[must_use]
    pub fn candidates(
        &self,
        now: Timestamp,
        domain: &str,
        prompt: Option<&Prompt>,
        report_age: Span,
    ) -> Vec<Candidate> {
        let constraints = self.constraints(domain, prompt, (&[], None), report_age);
        self.pool.candidates(now, &constraints)
    }

    fn constraints<'a>(
        &self,
        domain: &'a str,
        prompt: Option<&'a Prompt>,
        (avoid, software): (&'a [Name], Option<&'a Software>),
        report_age: Span,
    ) -> Constraints<'a> {
        Constraints {
            domain,
            prompt: prompt.filter(|_| self.engine.is_some()),
            avoid,
            software,
            max_pending_tokens: self.max_pending_tokens(),
            can_fetch: self.engine.is_some_and(|engine| engine.can_fetch),
            extra_slots: EXTRA_PLAIN_SLOTS,
            report_age,
        }
    }

    /// Records that a request of a team arrived. Those that come again after a refusal count once in the mix.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        team: &Name,
        demand: Demand,
        is_repeated: bool,
    ) {
        self.accounts.record_request(now, team, demand.work);
        if !is_repeated {
            self.mix.record_request(now, team, demand);
        }
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// Records that a request of a team was started.
    pub fn record_start(&mut self, now: Timestamp, team: &Name, demand: Demand) {
        self.accounts.record_start(now, team, demand.work);
        self.mix.record_start(now, team, demand);
    }

    /// Returns whether credits for upstreams that state a rate are needed now.
    #[must_use]
    pub fn needs_credits(&self, now: Timestamp) -> bool {
        let has_requests = self.arrivals > 0 || !self.queue.is_empty();
        self.pool.is_limited(now) && has_requests || self.pool.has_demand(now)
    }

    /// Returns the number of credits to ask for at each upstream that states a rate, given the upstreams
    /// and the software that each waiting request excludes or needs.
    ///
    /// Each request asks for a credit, also one that another upstream has room for: otherwise the limited
    /// upstreams would get requests only when the others are full.
    pub fn plan_credits<'a>(
        &mut self,
        now: Timestamp,
        constraints: impl Fn(u64) -> Option<(&'a [Name], Option<&'a Software>)>,
    ) -> IndexMap<Name, u32> {
        let mut planned = IndexMap::new();
        let fair_share = self.fair_share(now);
        let order = self.start_order(now);
        let due = order.iter().filter(|waiting| {
            let limit = waiting.standing.share_limit(fair_share);
            self.may_start(now, &waiting.team, waiting.demand, limit)
        });
        let due = due.filter_map(|waiting| constraints(waiting.number));
        for (avoid, software) in due.take(MAX_DEMAND as usize) {
            self.pool.plan_credit(now, avoid, software, &mut planned);
        }
        for _ in 0..std::mem::take(&mut self.arrivals).min(MAX_DEMAND) {
            self.pool.plan_credit(now, &[], None, &mut planned);
        }
        planned
    }

    /// Returns the work per second that all upstreams of the service can do.
    fn work_per_s(&self) -> f64 {
        match self.engine {
            Some(_) => {
                let default = DEFAULT_PREFILL_PER_S * self.pool.accepting_count().max(1) as u64;
                self.tokens_per_s.unwrap_or(default) as f64
            }
            None => f64::from(self.pool.total_slots().max(1)) * PLAIN_REQUESTS_PER_SLOT_S,
        }
    }

    /// Returns the fair share: the recent work up to which each team is served now. It is infinite
    /// for plain services.
    ///
    /// Engines accept every request at once and then serve all of them slowly, so work beyond their
    /// capacity waits at the routers. Teams use different routers, so each router takes into account
    /// the work requested at the others: it must not give one team the capacity that is due to a
    /// team that waits at another router.
    #[must_use]
    pub fn fair_share(&self, now: Timestamp) -> f64 {
        match self.engine {
            Some(_) => {
                let capacity = self.work_per_s() * CAPACITY_FACTOR * account::DECAY_S;
                self.accounts.fair_share(now, capacity)
            }
            None => f64::INFINITY,
        }
    }

    /// Returns whether a request of a team may be started under a limit, see
    /// [`Standing::share_limit`](crate::queue::Standing::share_limit). It may if more than half
    /// of its work fits below the limit, or if the team has been served so little that it is due
    /// regardless of the size of the request.
    ///
    /// Requests of a kind of which a smaller part is served than of the team's other work may start about up to the
    /// limit, whatever their size. Those of a kind of which a larger part is served leave some of the limit to the others.
    #[must_use]
    pub fn may_start(&self, now: Timestamp, team: &str, demand: Demand, limit: f64) -> bool {
        let served = self.accounts.team(now, team).served;
        let balance = self.balance(now, team, demand);
        let own_limit = limit * balance_factor(balance);
        served + demand.work as f64 / 2.0 < own_limit.min(limit)
            || served < limit * DUE_FRACTION
            || balance == Balance::Behind && served < own_limit
    }

    /// Returns how much of the kind of a request is served, relative to all work of its team.
    #[must_use]
    pub fn balance(&self, now: Timestamp, team: &str, demand: Demand) -> Balance {
        self.mix.balance(now, team, demand).min(self.max_balance())
    }

    /// Returns the balance from which kinds are treated alike.
    fn max_balance(&self) -> Balance {
        if self.has_few_slots() {
            Balance::Ahead
        } else {
            Balance::Even
        }
    }

    /// Returns the waiting requests in the order in which to start them.
    #[must_use]
    pub fn start_order(&self, now: Timestamp) -> Vec<QueuedRequest> {
        self.queue.start_order(now, &self.accounts, |team, demand| {
            self.balance(now, team, demand)
        })
    }

    /// Returns whether the new requests of a team wait, since one of its team that states to resume a
    /// stream has no share left. Smaller ones would otherwise use up the share before it.
    #[must_use]
    pub fn is_held(&self, now: Timestamp, team: &str, standing: Standing, fair_share: f64) -> bool {
        let limit = Standing::Claimed.share_limit(fair_share);
        let is_before = |waiting: &QueuedRequest| {
            waiting.standing == Standing::Claimed && *waiting.team == *team && !waiting.moves
        };
        let mut before = self.queue.iter().filter(|waiting| is_before(waiting));
        standing <= Standing::New
            && before.any(|waiting| !self.may_start(now, team, waiting.demand, limit))
    }

    /// Returns whether any waiting request that does not run yet may be started under a fair share. If none may, a new
    /// request need not queue behind them.
    #[must_use]
    pub fn has_startable(&self, now: Timestamp, fair_share: f64) -> bool {
        let mut waiting = self.queue.iter().filter(|waiting| !waiting.moves);
        waiting.any(|waiting| {
            let limit = waiting.standing.share_limit(fair_share);
            let (team, standing) = (&waiting.team, waiting.standing);
            self.may_start(now, team, waiting.demand, limit)
                && !self.is_held(now, team, standing, fair_share)
        })
    }

    /// Returns the estimated wait of a request of a team under a fair share: the time until the
    /// team's work, including the queued work that goes before the request, has decayed to its limit.
    #[must_use]
    pub fn estimated_wait(
        &self,
        now: Timestamp,
        team: &str,
        (demand, standing): (Demand, Standing),
        fair_share: f64,
    ) -> Span {
        let balance = self.balance(now, team, demand);
        let limit = standing.share_limit(fair_share) * balance_factor(balance);
        let balance_of = |demand| self.balance(now, team, demand);
        let waiting = self.queue.work_before(team, standing, balance, balance_of) as f64;
        let total = self.accounts.team(now, team).served + waiting;
        if total <= limit {
            return Span::ZERO;
        }
        let seconds = account::DECAY_S * (total / limit.max(1.0)).ln();
        Span::from_micros((seconds * 1e6) as u64)
    }
}

/// Requests per second that one slot of a plain upstream serves: one takes about 30 ms.
const PLAIN_REQUESTS_PER_SLOT_S: f64 = 30.0;
/// Fraction of the fair share below which a team may start a request of any size.
const DUE_FRACTION: f64 = 0.25;
/// Factor of the limit up to which a team may start requests of a kind that is behind its others. Small requests start until
/// half of their work exceeds the limit, so that the team is seldom below it.
const BEHIND_FACTOR: f64 = 1.05;
/// Factor of the limit up to which a team may start requests of a kind that is ahead of its others. They fill the
/// limit again once they are no longer ahead.
const AHEAD_FACTOR: f64 = 0.95;

const fn balance_factor(balance: Balance) -> f64 {
    match balance {
        Balance::Behind => BEHIND_FACTOR,
        Balance::Even => 1.0,
        Balance::Ahead => AHEAD_FACTOR,
    }
}

/// Fraction of the configured capacity up to which requests are started.
const CAPACITY_FACTOR: f64 = 1.05;
