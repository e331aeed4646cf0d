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

/// Initial estimate of the slot time per token, in seconds.
const INITIAL_TOKEN_S: f64 = 0.02;
/// Weight of the newest request in the moving average of the slot time per token.
const SMOOTHING: f64 = 0.05;
/// Largest cost hint of a short request.
const MAX_SHORT_TOKENS: u64 = 100;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Index of the team.
    pub team: usize,
    /// Number of tokens that the request generates.
    pub tokens: u64,
    /// Cost hint of the caller, in tokens.
    pub cost_hint: u64,
    /// Receives the number of the run and the index of the engine when a slot is granted.
    pub grant: oneshot::Sender<(u64, usize)>,
}

#[derive(Debug)]
struct Running {
    team: usize,
    upstream: usize,
    tokens: u64,
    start: Instant,
    /// Slot time charged to the team so far, first by the estimate.
    charged_s: f64,
}

#[derive(Debug, Default)]
struct Team {
    share: f64,
    /// Virtual time of the team: slot time charged to it, divided by its share and by the number of
    /// slots, in seconds of fleet capacity.
    virtual_time: f64,
    short: VecDeque<QueuedRequest>,
    long: VecDeque<QueuedRequest>,
}

impl Team {
    fn has_waiting(&self) -> bool {
        !(self.short.is_empty() && self.long.is_empty())
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    running: u32,
    /// Load in the last report.
    reported: u64,
    /// Requests of this router sent since the last report, less its runs that ended since.
    sent: u64,
}

/// Waiting and running requests of a baseline router.
#[derive(Debug)]
pub struct Queue {
    policy: Policy,
    slots: u32,
    random: Pcg64Mcg,
    engines: Vec<Engine>,
    /// Waiting requests in order of arrival, for the policies without teams.
    arrivals: VecDeque<QueuedRequest>,
    teams: Vec<Team>,
    running: HashMap<u64, Running>,
    /// Number of the last run.
    last_run: u64,
    /// Moving average of the slot time per token, in seconds.
    token_s: f64,
    /// Largest virtual time at which a team got a slot, before the charge for it.
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
            last_run: 0,
            token_s: INITIAL_TOKEN_S,
            virtual_time: 0.0,
        }
    }

    /// Adds a request and starts the requests for which there are free slots.
    pub fn push(&mut self, request: QueuedRequest) {
        if self.policy.is_central() {
            self.advance_idle_team(request.team);
            let team = &mut self.teams[request.team];
            match request.cost_hint <= MAX_SHORT_TOKENS {
                true => team.short.push_back(request),
                false => team.long.push_back(request),
            }
        } else {
            self.arrivals.push_back(request);
        }
        self.dispatch();
    }

    /// Advances a team without waiting requests to the virtual time of the queue, so that it cannot
    /// save up slot time while it is idle.
    fn advance_idle_team(&mut self, index: usize) {
        let team = &mut self.teams[index];
        if !team.has_waiting() {
            team.virtual_time = team.virtual_time.max(self.virtual_time);
        }
    }

    /// Releases the slot of a run and corrects the charge to the slot time that it took.
    pub fn release(&mut self, number: u64) {
        let Some(run) = self.running.remove(&number) else {
            return;
        };
        let engine = &mut self.engines[run.upstream];
        engine.running -= 1;
        engine.sent = engine.sent.saturating_sub(1);
        let took_s = run.start.elapsed().as_secs_f64();
        let difference_s = took_s - run.charged_s;
        self.charge_team(run.team, difference_s);
        if run.tokens > 0 {
            let token_s = took_s / run.tokens as f64;
            self.token_s += (token_s - self.token_s) * SMOOTHING;
        }
        self.dispatch();
    }

    /// Charges the runs that have taken longer than they were charged for.
    pub fn charge_running(&mut self) {
        let mut charges = Vec::new();
        for run in self.running.values_mut() {
            let took_s = run.start.elapsed().as_secs_f64();
            if took_s > run.charged_s {
                charges.push((run.team, took_s - run.charged_s));
                run.charged_s = took_s;
            }
        }
        for (team, slot_s) in charges {
            self.charge_team(team, slot_s);
        }
    }

    fn charge_team(&mut self, team: usize, slot_s: f64) {
        let total_slots = f64::from(self.slots) * self.engines.len() as f64;
        let team = &mut self.teams[team];
        team.virtual_time += slot_s / (total_slots * team.share);
    }

    /// Sets the load of an engine from its load report.
    pub fn set_load(&mut self, upstream: usize, load: u64) {
        let engine = &mut self.engines[upstream];
        engine.reported = load;
        engine.sent = 0;
    }

    fn dispatch(&mut self) {
        while let Some(upstream) = self.choose_engine() {
            let next = match self.policy {
                Policy::Central => self.pop_fairest(),
                _ => self.arrivals.pop_front(),
            };
            let Some(request) = next else { return };
            self.last_run += 1;
            let estimate_s = self.token_s * request.tokens as f64;
            let run = Running {
                team: request.team,
                upstream,
                tokens: request.tokens,
                start: Instant::now(),
                charged_s: estimate_s,
            };
            // A request whose caller has disconnected gets no slot.
            if request.grant.send((self.last_run, upstream)).is_ok() {
                let team_time = self.teams[run.team].virtual_time;
                self.virtual_time = self.virtual_time.max(team_time);
                self.charge_team(run.team, estimate_s);
                let engine = &mut self.engines[upstream];
                engine.running += 1;
                engine.sent += 1;
                self.running.insert(self.last_run, run);
            }
        }
    }

    /// Removes the next request of the team with the lowest virtual time, short requests first.
    fn pop_fairest(&mut self) -> Option<QueuedRequest> {
        let waiting = self.teams.iter_mut().filter(|team| team.has_waiting());
        let team = waiting.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        team.short.pop_front().or_else(|| team.long.pop_front())
    }

    /// Chooses an engine with a free slot according to the policy.
    fn choose_engine(&mut self) -> Option<usize> {
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
