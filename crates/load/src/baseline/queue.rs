//! The queue of a baseline router.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use rand::{seq::SliceRandom as _, Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use super::Config;
use crate::policy::Policy;

/// Time for a token, in seconds, that charges start from.
const FIRST_TOKEN_S: f64 = 0.02;
/// Weight of the newest request in the smoothed time for a token.
const SMOOTHING: f64 = 0.05;
/// Hint up to which a request counts as short.
const SHORT_TOKENS: u64 = 100;

/// A request that waits for an engine.
#[derive(Debug)]
pub struct Waiting {
    /// Index of the team.
    pub team: usize,
    /// Tokens that the request will take.
    pub tokens: u64,
    /// Tokens that the caller expects.
    pub hint: u64,
    /// Takes the number of the run and the index of the engine.
    pub grant: oneshot::Sender<(u64, usize)>,
}

#[derive(Debug)]
struct Running {
    team: usize,
    upstream: usize,
    tokens: u64,
    start: Instant,
    charged_s: f64,
}

#[derive(Debug, Default)]
struct Team {
    share: f64,
    /// Charged service divided by share and by all slots, in seconds of fleet capacity.
    tag: f64,
    short: VecDeque<Waiting>,
    long: VecDeque<Waiting>,
}

impl Team {
    fn waits(&self) -> bool {
        !(self.short.is_empty() && self.long.is_empty())
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    running: u32,
    /// Load by the last report, and what this router has sent since.
    reported: u64,
    sent: u64,
}

/// Waiting and running requests of a router.
#[derive(Debug)]
pub struct Queue {
    policy: Policy,
    slots: u32,
    random: Pcg64Mcg,
    engines: Vec<Engine>,
    arrivals: VecDeque<Waiting>,
    teams: Vec<Team>,
    running: HashMap<u64, Running>,
    runs: u64,
    token_s: f64,
    /// Tag of the team whose request was started last, before it was charged.
    virtual_time: f64,
}

impl Queue {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let team = |(_, share): &(String, f64)| Team {
            share: *share,
            ..Team::default()
        };
        Self {
            policy: config.policy,
            slots: config.slots,
            random: Pcg64Mcg::seed_from_u64(config.seed),
            engines: vec![Engine::default(); config.upstreams.len()],
            arrivals: VecDeque::new(),
            teams: config.teams.iter().map(team).collect(),
            running: HashMap::new(),
            runs: 0,
            token_s: FIRST_TOKEN_S,
            virtual_time: 0.0,
        }
    }

    /// Takes a request in and starts what can start.
    pub fn push(&mut self, waiting: Waiting) {
        if self.policy.is_central() {
            self.wake(waiting.team);
            let team = &mut self.teams[waiting.team];
            match waiting.hint <= SHORT_TOKENS {
                true => team.short.push_back(waiting),
                false => team.long.push_back(waiting),
            }
        } else {
            self.arrivals.push_back(waiting);
        }
        self.dispatch();
    }

    /// A team that begins to wait starts no earlier than the request that was started last.
    fn wake(&mut self, index: usize) {
        let team = &mut self.teams[index];
        if !team.waits() {
            team.tag = team.tag.max(self.virtual_time);
        }
    }

    /// Gives back the slot of a run.
    pub fn release(&mut self, number: u64) {
        let Some(run) = self.running.remove(&number) else {
            return;
        };
        let engine = &mut self.engines[run.upstream];
        engine.running -= 1;
        engine.sent = engine.sent.saturating_sub(1);
        let took = run.start.elapsed().as_secs_f64();
        let change = took - run.charged_s;
        self.add(run.team, change);
        if run.tokens > 0 {
            let each = took / run.tokens as f64;
            self.token_s += (each - self.token_s) * SMOOTHING;
        }
        self.dispatch();
    }

    /// Charges runs that took longer than they were charged for.
    pub fn charge(&mut self) {
        let mut changes = Vec::new();
        for run in self.running.values_mut() {
            let took = run.start.elapsed().as_secs_f64();
            if took > run.charged_s {
                changes.push((run.team, took - run.charged_s));
                run.charged_s = took;
            }
        }
        for (team, change) in changes {
            self.add(team, change);
        }
    }

    fn add(&mut self, team: usize, slot_s: f64) {
        let whole = f64::from(self.slots) * self.engines.len() as f64;
        let team = &mut self.teams[team];
        team.tag += slot_s / (whole * team.share);
    }

    /// Takes a load report of an engine.
    pub fn reported(&mut self, upstream: usize, load: u64) {
        let engine = &mut self.engines[upstream];
        engine.reported = load;
        engine.sent = 0;
    }

    fn dispatch(&mut self) {
        while let Some(upstream) = self.free() {
            let next = match self.policy {
                Policy::Central => self.fairest(),
                _ => self.arrivals.pop_front(),
            };
            let Some(waiting) = next else { return };
            self.runs += 1;
            let estimate = self.token_s * waiting.tokens as f64;
            let run = Running {
                team: waiting.team,
                upstream,
                tokens: waiting.tokens,
                start: Instant::now(),
                charged_s: estimate,
            };
            // A caller that went away meanwhile takes no slot.
            if waiting.grant.send((self.runs, upstream)).is_ok() {
                let tag = self.teams[run.team].tag;
                self.virtual_time = self.virtual_time.max(tag);
                self.add(run.team, estimate);
                let engine = &mut self.engines[upstream];
                engine.running += 1;
                engine.sent += 1;
                self.running.insert(self.runs, run);
            }
        }
    }

    fn fairest(&mut self) -> Option<Waiting> {
        let waiting = self.teams.iter_mut().filter(|team| team.waits());
        let team = waiting.min_by(|a, b| a.tag.total_cmp(&b.tag))?;
        team.short.pop_front().or_else(|| team.long.pop_front())
    }

    /// Returns an engine with a free slot, as the policy chooses it.
    fn free(&mut self) -> Option<usize> {
        let slots = self.slots;
        let engines = &self.engines;
        let free: Vec<usize> = (0..engines.len())
            .filter(|index| engines[*index].running < slots)
            .collect();
        match self.policy {
            Policy::Central => free.into_iter().min_by_key(|index| engines[*index].running),
            Policy::TwoChoices => {
                let load = |index: usize| engines[index].reported + engines[index].sent;
                let first = *free.choose(&mut self.random)?;
                let second = free[self.random.gen_range(0..free.len())];
                Some(if load(second) < load(first) {
                    second
                } else {
                    first
                })
            }
            _ => free.choose(&mut self.random).copied(),
        }
    }
}
