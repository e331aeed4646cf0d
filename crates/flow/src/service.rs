//! The state of one service.

use tsw_base::time::{Span, Tick};
use tsw_route::{table, Name};

use crate::{
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
/// Requests that may wait at a plain upstream beyond its slots, so that it is not idle between
/// two requests.
const SPARE: u32 = 1;

/// The state of one service at one router.
#[derive(Debug)]
pub struct Service {
    /// Its upstreams.
    pub pool: Pool,
    /// Its waiting requests.
    pub queue: Queue,
    /// Its attempts beyond the first.
    pub retries: Budget,
    engine: Option<table::Engine>,
    tokens_per_s: Option<u64>,
}

impl Service {
    /// Makes a service without upstreams.
    #[must_use]
    pub fn new(retries: Budget) -> Self {
        Self {
            pool: Pool::default(),
            queue: Queue::default(),
            retries,
            engine: None,
            tokens_per_s: None,
        }
    }

    /// Takes what the configuration states.
    pub fn configure(&mut self, service: &table::Service, limits: &table::Limits) {
        self.engine = service.engine;
        self.tokens_per_s = limits.tokens_per_s;
    }

    /// Returns the limits of the engines; `None` for plain services.
    #[must_use]
    pub const fn engine(&self) -> Option<table::Engine> {
        self.engine
    }

    /// Returns the prompt tokens that one engine reads in a second.
    #[must_use]
    pub fn read_per_s(&self) -> u64 {
        let takers = self.pool.takers().max(1) as u64;
        let stated = self.tokens_per_s.map(|tokens| tokens * READ_PER_WORK / takers);
        stated.unwrap_or(DEFAULT_READ_PER_S).max(1)
    }

    /// Chooses an upstream with room for a request now.
    #[must_use]
    pub fn choose(
        &self,
        now: Tick,
        domain: &str,
        prompt: Option<&Prompt>,
        avoid: &[Name],
    ) -> Option<Choice> {
        let most_unread = self.read_per_s() * READ_AHEAD.as_millis() / 1_000;
        let ask = Ask {
            domain,
            prompt: prompt.filter(|_| self.engine.is_some()),
            avoid,
            most_unread,
            spare: SPARE,
        };
        self.pool.choose(now, &ask)
    }

    /// Returns how long the requests that wait now need until all of them have started.
    #[must_use]
    pub fn backlog(&self, routers: usize) -> Span {
        let work = self.queue.work();
        let per_s = match (self.engine, self.tokens_per_s) {
            (Some(_), tokens) => {
                let fleet = tokens.unwrap_or(DEFAULT_READ_PER_S * self.pool.takers().max(1) as u64);
                fleet / routers.max(1) as u64
            }
            (None, _) => u64::from(self.pool.slots()) * PLAIN_PER_SLOT_S / routers.max(1) as u64,
        };
        Span::from_micros(work.saturating_mul(1_000_000) / per_s.max(1))
    }
}

/// Requests that one slot of a plain upstream answers in a second: one takes about 30 ms.
const PLAIN_PER_SLOT_S: u64 = 30;
