//! The state of one service.

use tsw_base::time::{Span, Tick};
use tsw_route::{table, Name};

use crate::{
    account::{self, Accounts},
    budget::Budget,
    pool::{Ask, Choice, Pool},
    prompt::Prompt,
    queue::Queue,
};

/// Time that unread prompts may take at an engine before further requests wait at the router.
/// Requests wait where they are not yet bound to an engine, unless it would run out of work.
const READ_AHEAD: Span = Span::from_millis(250);
/// Tokens of prompts that an engine reads in a second if nothing else is known.
const DEFAULT_READ_PER_S: u64 = 50_000;
/// Prompt tokens that an engine reads in the time in which it does one token of the limit that
/// the operators state, which counts generated tokens as well.
const READ_PER_WORK: u64 = 2;
/// Part of the connections to an upstream that routers keep while they are idle. The rest is for
/// requests in progress.
const IDLE_PART: f64 = 0.5;
/// Requests that may wait at a plain upstream beyond its slots, so that it is not idle between
/// two requests.
const SPARE: u32 = 1;

/// The state of one service at one router.
#[derive(Debug)]
pub struct Service {
    /// Its upstreams.
    pub pool: Pool,
    /// The work that its teams received lately.
    pub accounts: Accounts,
    /// Its waiting requests.
    pub queue: Queue,
    /// Its attempts beyond the first.
    pub retries: Budget,
    engine: Option<table::Engine>,
    tokens_per_s: Option<u64>,
    connections: u32,
}

impl Service {
    /// Makes a service without upstreams.
    #[must_use]
    pub fn new(retries: Budget) -> Self {
        Self {
            pool: Pool::default(),
            accounts: Accounts::default(),
            queue: Queue::default(),
            retries,
            engine: None,
            tokens_per_s: None,
            connections: u32::MAX,
        }
    }

    /// Takes what the configuration states.
    pub fn configure(&mut self, service: &table::Service, limits: &table::Limits) {
        self.engine = service.engine;
        self.tokens_per_s = limits.tokens_per_s;
        self.connections = service.max_connections;
    }

    /// Returns the most idle connections that each of so many routers keeps to one upstream.
    ///
    /// ```
    /// use tsw_base::time::Span;
    /// use tsw_flow::{budget::Budget, service::Service};
    /// use tsw_route::table;
    /// let mut service = Service::new(Budget::new(Span::from_secs(10), 0.2, 50.0));
    /// let stated = table::Service { max_connections: 540, engine: None };
    /// service.configure(&stated, &table::Limits::default());
    /// assert_eq!(service.idle_connections(9), 30);
    /// ```
    #[must_use]
    pub fn idle_connections(&self, routers: usize) -> usize {
        let kept = f64::from(self.connections) * IDLE_PART / routers.max(1) as f64;
        (kept as usize).max(1)
    }

    /// Returns the limits of the engines; `None` for plain services.
    #[must_use]
    pub const fn engine(&self) -> Option<table::Engine> {
        self.engine
    }

    /// Returns whether a prompt is longer than the memory of an engine, so that none can run it.
    #[must_use]
    pub fn is_too_long(&self, prompt: &Prompt) -> bool {
        self.engine
            .is_some_and(|engine| prompt.tokens > engine.kv_capacity_tokens)
    }

    /// Returns the prompt tokens that one engine reads in a second.
    #[must_use]
    pub fn read_per_s(&self) -> u64 {
        let takers = self.pool.takers().max(1) as u64;
        let stated = self
            .tokens_per_s
            .map(|tokens| tokens * READ_PER_WORK / takers);
        stated.unwrap_or(DEFAULT_READ_PER_S).max(1)
    }

    /// Chooses an upstream with room for a request now. What other routers told is up to
    /// `statement_age` old.
    #[must_use]
    pub fn choose(
        &self,
        now: Tick,
        domain: &str,
        prompt: Option<&Prompt>,
        avoid: &[Name],
        statement_age: Span,
    ) -> Option<Choice> {
        let most_unread = self.read_per_s() * READ_AHEAD.as_millis() / 1_000;
        let ask = Ask {
            domain,
            prompt: prompt.filter(|_| self.engine.is_some()),
            avoid,
            most_unread,
            can_fetch: self.engine.is_some_and(|engine| engine.can_fetch),
            spare: SPARE,
            statement_age,
        };
        self.pool.choose(now, &ask)
    }

    /// Returns the work that the fleet can do in a second.
    fn work_per_s(&self) -> f64 {
        match self.engine {
            Some(_) => {
                let usual = DEFAULT_READ_PER_S * self.pool.takers().max(1) as u64;
                self.tokens_per_s.unwrap_or(usual) as f64
            }
            None => f64::from(self.pool.slots().max(1)) * PLAIN_PER_SLOT_S,
        }
    }

    /// Returns the work up to which each team is served now.
    ///
    /// Engines take every request at once and then serve all of them slowly. Work beyond what they
    /// can do in time waits at the routers. Teams ask different routers, so that each router needs
    /// to know what the others were asked: it must not start the work of one team with the
    /// capacity that is due to a team that waits elsewhere.
    #[must_use]
    pub fn level(&self, now: Tick) -> f64 {
        match self.engine {
            Some(_) => {
                let capacity = self.work_per_s() * LOAD_PART * account::MEMORY_S;
                self.accounts.level(now, capacity)
            }
            None => f64::INFINITY,
        }
    }

    /// Returns whether a request of a team may be started, given the level: if most of its work is
    /// still below the level, or if the team received so little that it is due however large its
    /// request is.
    #[must_use]
    pub fn may_start(&self, now: Tick, team: &str, work: u64, level: f64) -> bool {
        let received = self.accounts.team(now, team).received;
        received + work as f64 / 2.0 < level || received < level * DUE_PART
    }

    /// Returns whether a waiting request may be started, given the level. Others need not wait behind
    /// requests that may not.
    #[must_use]
    pub fn has_startable(&self, now: Tick, level: f64) -> bool {
        let mut waiting = self.queue.iter();
        waiting.any(|waiting| self.may_start(now, &waiting.team, waiting.work, level))
    }

    /// Returns how long a further request of a team would probably wait, given the level: until
    /// what the team received is forgotten down to the level.
    #[must_use]
    pub fn backlog(&self, now: Tick, team: &str, level: f64) -> Span {
        let waiting = self.queue.work(Some(team)) as f64;
        let due = self.accounts.team(now, team).received + waiting;
        if due <= level {
            return Span::ZERO;
        }
        let seconds = account::MEMORY_S * (due / level.max(1.0)).ln();
        Span::from_micros((seconds * 1e6) as u64)
    }
}

/// Requests that one slot of a plain upstream answers in a second: one takes about 30 ms.
const PLAIN_PER_SLOT_S: f64 = 30.0;
/// Part of the level below which a team's request may be started whatever its work.
const DUE_PART: f64 = 0.25;
/// Part of the work that the operators state as possible up to which requests are started.
const LOAD_PART: f64 = 1.05;
