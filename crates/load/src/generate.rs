//! Closed and open load of many teams with uneven entry routers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{distributions::WeightedIndex, prelude::Distribution as _, Rng as _, SeedableRng as _};
use rand_distr::Exp;
use rand_pcg::Pcg64Mcg;

use crate::{client, history::Outcome, plan};

/// Fewest tokens of a short request.
const SHORT_LOW: u64 = 10;
/// Most tokens of a short request.
pub const SHORT_HIGH: u64 = 60;
/// Hints are wrong by up to this factor either way.
const HINT_FACTOR: f64 = 1.4;
/// Time that a caller waits for a slot and sends again, before it gives up.
pub const PATIENCE: Duration = Duration::from_secs(30);
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Distribution of the cost of requests.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Fewest and most tokens of a short request.
    pub short: (u64, u64),
    /// One of so many requests is long; 0 for none.
    pub long_every: u32,
    /// Tokens of a long request.
    pub long_tokens: u64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            short: (SHORT_LOW, SHORT_HIGH),
            long_every: 0,
            long_tokens: 0,
        }
    }
}

impl Mix {
    fn draw(self, random: &mut Pcg64Mcg) -> u64 {
        if self.long_every > 0 && random.gen_ratio(1, self.long_every) {
            return self.long_tokens;
        }
        random.gen_range(self.short.0..=self.short.1)
    }
}

struct Shared {
    client: client::Client,
    mix: Cell<Mix>,
    stop: Cell<bool>,
    running: Cell<usize>,
    origins: Vec<WeightedIndex<f64>>,
    random: RefCell<Pcg64Mcg>,
    rates: RefCell<Vec<f64>>,
    patience: Duration,
    hint_factor: Cell<f64>,
}

/// Generates load until it is told to stop.
#[derive(Clone)]
pub struct Generator {
    shared: Rc<Shared>,
    teams: Vec<plan::Team>,
}

impl Generator {
    /// Returns a generator for the teams of a fleet.
    #[must_use]
    pub fn new(client: client::Client, fleet: &plan::Fleet, mix: Mix, seed: u64) -> Self {
        let routers = fleet.routers.len();
        let origins = (0..fleet.teams.len()).filter_map(|team| {
            // Each team prefers one router, and some routers are preferred by several teams.
            let first = team * team % routers;
            let weight = |router: usize| 1.0 / (1 + (router + routers - first) % routers) as f64;
            WeightedIndex::new((0..routers).map(weight)).ok()
        });
        Self {
            shared: Rc::new(Shared {
                client,
                mix: Cell::new(mix),
                stop: Cell::new(false),
                running: Cell::new(0),
                origins: origins.collect(),
                random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
                rates: RefCell::new(vec![0.0; fleet.teams.len()]),
                patience: PATIENCE,
                hint_factor: Cell::new(HINT_FACTOR),
            }),
            teams: fleet.teams.clone(),
        }
    }

    /// Changes the cost of later requests.
    pub fn set_mix(&self, mix: Mix) {
        self.shared.mix.set(mix);
    }

    /// Makes all later hints right.
    pub fn make_hints_exact(&self) {
        self.shared.hint_factor.set(1.0);
    }

    fn draw_call(&self, team: usize, booking: bool) -> client::Call {
        let random = &mut *self.shared.random.borrow_mut();
        let tokens = match booking {
            true => 0,
            false => self.shared.mix.get().draw(random),
        };
        let factor = self.shared.hint_factor.get();
        let error = random.gen_range(1.0 / factor..=factor);
        client::Call {
            team: self.teams[team].clone(),
            origin: self.shared.origins[team].sample(random),
            tokens,
            hint: ((tokens as f64) * error).round().max(1.0) as u64,
            patience: self.shared.patience,
        }
    }

    async fn run(&self, call: client::Call) -> Outcome {
        let running = &self.shared.running;
        running.set(running.get() + 1);
        let outcome = self.shared.client.run(&call).await;
        running.set(running.get() - 1);
        outcome
    }

    /// Starts callers that send the next request as soon as the last one is answered; `count`
    /// returns how many a team has, from its index.
    pub fn closed(&self, booking: bool, count: impl Fn(usize) -> usize) {
        for team in 0..self.teams.len() {
            for _ in 0..count(team) {
                let generator = self.clone();
                actix_rt::spawn(async move {
                    while !generator.shared.stop.get() {
                        let call = generator.draw_call(team, booking);
                        generator.run(call).await;
                    }
                });
            }
        }
    }

    /// Sets the requests a second of a team in the open load.
    pub fn set_rate(&self, team: usize, per_second: f64) {
        self.shared.rates.borrow_mut()[team] = per_second;
    }

    /// Starts the open load: requests arrive at random, at the rates set, answered or not.
    ///
    /// No rate may exceed `highest` requests a second.
    pub fn open(&self, booking: bool, highest: f64) {
        let Ok(gaps) = Exp::new(highest) else { return };
        for team in 0..self.teams.len() {
            let generator = self.clone();
            actix_rt::spawn(async move {
                let mut next = Instant::now();
                while !generator.shared.stop.get() {
                    let (gap, draw): (f64, f64) = {
                        let random = &mut *generator.shared.random.borrow_mut();
                        (gaps.sample(random), random.gen())
                    };
                    next += Duration::from_secs_f64(gap);
                    tokio::time::sleep_until(next.into()).await;
                    // Arrivals at the highest rate are thinned out to the current one.
                    let rate = generator.shared.rates.borrow()[team];
                    if draw * highest >= rate || generator.shared.stop.get() {
                        continue;
                    }
                    let generator = generator.clone();
                    actix_rt::spawn(async move {
                        let call = generator.draw_call(team, booking);
                        generator.run(call).await;
                    });
                }
            });
        }
    }

    /// Starts no more requests, and waits for those that run, at most `limit`.
    pub async fn stop(&self, limit: Duration) {
        self.shared.stop.set(true);
        let start = Instant::now();
        while self.shared.running.get() > 0 && start.elapsed() < limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}
