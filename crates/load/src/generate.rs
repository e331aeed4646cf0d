//! Generates closed-loop and open-loop load of many teams, spread unevenly over entry routers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{distributions::WeightedIndex, prelude::Distribution as _, Rng as _, SeedableRng as _};
use rand_distr::Exp;
use rand_pcg::Pcg64Mcg;

use crate::{client, history::Outcome, plan};

/// Smallest number of tokens of a short request.
const MIN_SHORT_TOKENS: u64 = 10;
/// Largest number of tokens of a short request.
pub const MAX_SHORT_TOKENS: u64 = 60;
/// Cost hints are too high or too low by up to this factor.
const HINT_ERROR_FACTOR: f64 = 1.4;
/// Deadline of an operation with all its retries.
pub const DEADLINE: Duration = Duration::from_secs(30);
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Distribution of the number of tokens of requests.
#[derive(Clone, Copy, Debug)]
pub struct TokenMix {
    /// Smallest and largest number of tokens of a short request.
    pub short_tokens: (u64, u64),
    /// One in this number of requests is long; none if 0.
    pub long_every: u32,
    /// Number of tokens of a long request.
    pub long_tokens: u64,
}

impl Default for TokenMix {
    fn default() -> Self {
        Self {
            short_tokens: (MIN_SHORT_TOKENS, MAX_SHORT_TOKENS),
            long_every: 0,
            long_tokens: 0,
        }
    }
}

impl TokenMix {
    fn sample(self, random: &mut Pcg64Mcg) -> u64 {
        if self.long_every > 0 && random.gen_ratio(1, self.long_every) {
            return self.long_tokens;
        }
        random.gen_range(self.short_tokens.0..=self.short_tokens.1)
    }
}

struct Shared {
    client: client::Client,
    mix: Cell<TokenMix>,
    stop: Cell<bool>,
    outstanding: Cell<usize>,
    /// Preference for each entry router, by team.
    entry_routers: Vec<WeightedIndex<f64>>,
    random: RefCell<Pcg64Mcg>,
    /// Requests per second of the open loop, by team.
    rates: RefCell<Vec<f64>>,
    deadline: Duration,
    hint_error_factor: Cell<f64>,
}

/// Generates load until it is told to stop.
#[derive(Clone)]
pub struct Generator {
    shared: Rc<Shared>,
    teams: Vec<plan::Team>,
}

impl Generator {
    /// Returns a generator for the teams of a plan.
    #[must_use]
    pub fn new(client: client::Client, plan: &plan::FleetPlan, mix: TokenMix, seed: u64) -> Self {
        let routers = plan.routers.len();
        let entry_routers = (0..plan.teams.len()).filter_map(|team| {
            // Each team prefers one router, and several teams may prefer the same router.
            let preferred = team * team % routers;
            let weight =
                |router: usize| 1.0 / (1 + (router + routers - preferred) % routers) as f64;
            WeightedIndex::new((0..routers).map(weight)).ok()
        });
        Self {
            shared: Rc::new(Shared {
                client,
                mix: Cell::new(mix),
                stop: Cell::new(false),
                outstanding: Cell::new(0),
                entry_routers: entry_routers.collect(),
                random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
                rates: RefCell::new(vec![0.0; plan.teams.len()]),
                deadline: DEADLINE,
                hint_error_factor: Cell::new(HINT_ERROR_FACTOR),
            }),
            teams: plan.teams.clone(),
        }
    }

    /// Sets the token distribution of later requests.
    pub fn set_mix(&self, mix: TokenMix) {
        self.shared.mix.set(mix);
    }

    /// Makes the cost hints of later requests exact.
    pub fn make_hints_exact(&self) {
        self.shared.hint_error_factor.set(1.0);
    }

    fn sample_call(&self, team: usize, booking: bool) -> client::Call {
        let random = &mut *self.shared.random.borrow_mut();
        let tokens = match booking {
            true => 0,
            false => self.shared.mix.get().sample(random),
        };
        let factor = self.shared.hint_error_factor.get();
        let error_factor = random.gen_range(1.0 / factor..=factor);
        client::Call {
            team: self.teams[team].clone(),
            entry_router: self.shared.entry_routers[team].sample(random),
            tokens,
            cost_hint: ((tokens as f64) * error_factor).round().max(1.0) as u64,
            deadline: self.shared.deadline,
        }
    }

    async fn run(&self, call: client::Call) -> Outcome {
        let outstanding = &self.shared.outstanding;
        outstanding.set(outstanding.get() + 1);
        let outcome = self.shared.client.run(&call).await;
        outstanding.set(outstanding.get() - 1);
        outcome
    }

    /// Starts a closed loop: callers that start the next operation as soon as the last one ends.
    /// `count` returns the number of callers of a team from its index.
    pub fn start_closed_loop(&self, booking: bool, count: impl Fn(usize) -> usize) {
        for team in 0..self.teams.len() {
            for _ in 0..count(team) {
                let generator = self.clone();
                actix_rt::spawn(async move {
                    while !generator.shared.stop.get() {
                        let call = generator.sample_call(team, booking);
                        generator.run(call).await;
                    }
                });
            }
        }
    }

    /// Sets the requests per second of a team in the open loop.
    pub fn set_rate(&self, team: usize, per_second: f64) {
        self.shared.rates.borrow_mut()[team] = per_second;
    }

    /// Starts an open loop: operations start at random times (a Poisson process) at the rates that
    /// [`Generator::set_rate`] sets, whether or not earlier ones have ended.
    ///
    /// No rate may exceed `max_rate` requests per second.
    pub fn start_open_loop(&self, booking: bool, max_rate: f64) {
        let Ok(intervals) = Exp::new(max_rate) else {
            return;
        };
        for team in 0..self.teams.len() {
            let generator = self.clone();
            actix_rt::spawn(async move {
                let mut next = Instant::now();
                while !generator.shared.stop.get() {
                    let (interval_s, draw): (f64, f64) = {
                        let random = &mut *generator.shared.random.borrow_mut();
                        (intervals.sample(random), random.gen())
                    };
                    next += Duration::from_secs_f64(interval_s);
                    tokio::time::sleep_until(next.into()).await;
                    // Thins arrivals at the maximum rate out to the current rate.
                    let rate = generator.shared.rates.borrow()[team];
                    if draw * max_rate >= rate || generator.shared.stop.get() {
                        continue;
                    }
                    let generator = generator.clone();
                    actix_rt::spawn(async move {
                        let call = generator.sample_call(team, booking);
                        generator.run(call).await;
                    });
                }
            });
        }
    }

    /// Stops starting operations and waits at most `timeout` for the outstanding ones.
    pub async fn stop(&self, timeout: Duration) {
        self.shared.stop.set(true);
        let start = Instant::now();
        while self.shared.outstanding.get() > 0 && start.elapsed() < timeout {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}
