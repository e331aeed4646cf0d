//! Discrete-event simulation of queues, homes and upstreams that exchange messages with delay.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet, VecDeque},
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_grant::{
    entry, home,
    message::{Grant, Id, Request, State},
};

mod fleet;

pub use fleet::{Fleet, Team};

pub fn host(index: usize) -> host::Id {
    host::Id {
        host: format!("r{index}").parse().expect("valid name"),
        incarnation: host::Incarnation::new(1_000 + index as u64, 0),
    }
}

pub fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid name")
}

pub fn upstream(index: usize) -> name::Upstream {
    format!("engine-{index}").parse().expect("valid name")
}

pub fn service() -> name::Service {
    "reviews".parse().expect("valid name")
}

/// Simulated event. Queues, homes and upstreams are given by index.
#[derive(Clone, Debug)]
enum Event {
    /// Event of a queue.
    Queue(usize, entry::Event),
    /// Event of a home.
    Home(usize, home::Event),
    /// A request reaches an upstream: upstream, router, grant, request, length in microseconds.
    Arrive(usize, usize, Id, Request, u64),
    /// An upstream completes a job: upstream, job.
    Complete(usize, u64),
    /// A router learns that the request of a grant ended.
    Ended(usize, Id),
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: usize,
    queue: VecDeque<u64>,
}

#[derive(Clone, Debug)]
struct Job {
    router: usize,
    team: usize,
    grant: Id,
    length: Span,
    started: Timestamp,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Largest change of the difference in service between two teams while both waited, in seconds
    /// of fleet capacity.
    pub gap: f64,
    /// Fraction of the slot time that was used.
    pub utilisation: f64,
    /// Slot seconds of each team.
    pub service: Vec<f64>,
    /// Maximum number of requests that an upstream ran or queued at a time.
    pub most_on_upstream: usize,
    /// Requests that ran twice.
    pub repeated: usize,
    /// Time from push to dispatch in ms, by team.
    pub waits: Vec<Vec<f64>>,
    pub finished: usize,
    /// Grants returned unused.
    pub unused: usize,
    /// Messages with totals between homes.
    pub served: usize,
}

pub struct Simulation {
    pub fleet: Fleet,
    pub queues: Vec<entry::Queue>,
    pub homes: Vec<home::Home>,
    engines: Vec<Engine>,
    jobs: HashMap<u64, Job>,
    /// Team, time of the push, and length in microseconds.
    requests: HashMap<Request, (usize, Timestamp, u64)>,
    dispatched: HashSet<Request>,
    /// Times and numbers of the scheduled events.
    schedule: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// Scheduled events by number.
    events: HashMap<u64, Event>,
    /// Last number given to an event, job or request.
    last_number: u64,
    now: Timestamp,
    rng: Pcg64Mcg,
    /// Slot seconds of completed jobs, by team.
    completed_seconds: Vec<f64>,
    /// Number of running jobs and the sum of their start times in seconds, by team.
    running: Vec<(usize, f64)>,
    /// Number of waiting requests, by team.
    waiting: Vec<usize>,
    /// Range of the difference in service since both teams of a pair started to wait.
    difference_ranges: HashMap<(usize, usize), (f64, f64)>,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(fleet: Fleet) -> Self {
        let teams = fleet.teams.len();
        let queue =
            |index| entry::Queue::new(service(), 77 * index as u64, entry::Options::default());
        let home = |index: usize| {
            let options = home::Options {
                grants_ahead: fleet.grants_ahead,
                ..home::Options::default()
            };
            home::Home::new(service(), host(index).incarnation, options)
        };
        let mut simulation = Self {
            queues: (0..fleet.routers).map(queue).collect(),
            homes: (0..fleet.homes).map(home).collect(),
            engines: vec![Engine::default(); fleet.upstreams],
            jobs: HashMap::new(),
            requests: HashMap::new(),
            dispatched: HashSet::new(),
            schedule: BinaryHeap::new(),
            events: HashMap::new(),
            last_number: 0,
            now: Timestamp::ZERO,
            rng: Pcg64Mcg::seed_from_u64(fleet.seed),
            completed_seconds: vec![0.0; teams],
            running: vec![(0, 0.0); teams],
            waiting: vec![0; teams],
            difference_ranges: HashMap::new(),
            outcome: Outcome {
                waits: vec![Vec::new(); teams],
                ..Outcome::default()
            },
            fleet,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        let fleet = self.fleet.clone();
        let shares = fleet.teams.iter().enumerate();
        let shares: Vec<_> = shares.map(|(i, t)| (team(i), t.share_ppm)).collect();
        let owner = |u: usize| u % fleet.homes;
        let upstreams: Vec<_> = (0..fleet.upstreams)
            .map(|u| (upstream(u), host(owner(u))))
            .collect();
        for h in 0..fleet.homes {
            let slots = fleet.capacity() as u64;
            let shares = shares.clone();
            self.schedule_at(
                Timestamp::ZERO,
                Event::Home(h, home::Event::Shares { slots, shares }),
            );
            for u in (0..fleet.upstreams).filter(|u| owner(*u) == h) {
                let event = home::Event::Upstream {
                    upstream: upstream(u),
                    slots: fleet.slots,
                    limit: fleet.slots,
                };
                self.schedule_at(Timestamp::ZERO, Event::Home(h, event));
            }
        }
        for q in 0..fleet.routers {
            let upstreams = upstreams.clone();
            self.schedule_at(
                Timestamp::ZERO,
                Event::Queue(q, entry::Event::Homes { upstreams }),
            );
        }
        self.schedule_at(Timestamp::ZERO, Event::Tick);
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.last_number += 1;
        self.schedule.push(Reverse((at, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    fn send(&mut self, event: Event) {
        let jitter = self.fleet.jitter.as_micros();
        let mut extra = || Span::from_micros(self.rng.gen_range(0..=jitter));
        let at = self.now + self.fleet.delay + extra();
        if self.rng.gen_range(0..100) < self.fleet.duplicates {
            let late = Span::from_micros(self.rng.gen_range(0..500_000));
            self.schedule_at(at + late, event.clone());
        }
        self.schedule_at(at, event);
    }

    /// Runs until `end`. Measurements start at `from`.
    pub fn run(mut self, from: Timestamp, end: Timestamp) -> Outcome {
        let mut base = None;
        while let Some(Reverse((at, number))) = self.schedule.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if base.is_none() && at >= from {
                base = Some((self.busy_until_now(), self.totals()));
                self.difference_ranges.clear();
            }
            let event = self
                .events
                .remove(&number)
                .expect("event is scheduled exactly once");
            self.step(event);
        }
        self.now = end;
        let (busy, totals) = base.expect("the simulation lasts longer than its warm-up");
        let length = end.since(from).as_secs_f64();
        self.outcome.utilisation =
            (self.busy_until_now() - busy) / (length * self.fleet.capacity());
        let now = self.totals();
        self.outcome.service = now.iter().zip(&totals).map(|(a, b)| a - b).collect();
        self.outcome.gap = self
            .difference_ranges
            .values()
            .map(|(low, high)| high - low)
            .fold(0.0, f64::max);
        self.outcome
    }

    /// Returns the slot seconds that all teams have used until now.
    fn busy_until_now(&self) -> f64 {
        self.totals().iter().sum()
    }

    /// Returns the slot seconds that each team has used until now.
    fn totals(&self) -> Vec<f64> {
        let now = self.now.as_micros() as f64 / 1e6;
        let team = |t: usize| {
            self.completed_seconds[t] + self.running[t].0 as f64 * now - self.running[t].1
        };
        (0..self.fleet.teams.len()).map(team).collect()
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Queue(q, event) => self.queue(q, event),
            Event::Home(h, event) => self.home(h, event),
            Event::Arrive(u, router, grant, request, length) => {
                let team = self.requests[&request].0;
                let job = Job {
                    router,
                    team,
                    grant,
                    length: Span::from_micros(length),
                    started: Timestamp::ZERO,
                };
                self.last_number += 1;
                let number = self.last_number;
                self.jobs.insert(number, job);
                self.engines[u].queue.push_back(number);
                let load = self.engines[u].queue.len() + self.engines[u].running;
                self.outcome.most_on_upstream = self.outcome.most_on_upstream.max(load);
                self.start_jobs(u);
            }
            Event::Complete(u, number) => {
                let job = self.jobs.remove(&number).expect("job is running");
                let now = self.now.as_micros() as f64 / 1e6;
                let start = job.started.as_micros() as f64 / 1e6;
                self.completed_seconds[job.team] += now - start;
                self.running[job.team].0 -= 1;
                self.running[job.team].1 -= start;
                self.engines[u].running -= 1;
                self.outcome.finished += 1;
                self.start_jobs(u);
                let at = self.now + self.fleet.delay;
                self.schedule_at(at, Event::Ended(job.router, job.grant));
            }
            Event::Ended(q, grant) => {
                let state = State::Finished {
                    token_latency: None,
                };
                self.queue(q, entry::Event::End { grant, state });
            }
            Event::Tick => {
                for h in 0..self.homes.len() {
                    self.home(h, home::Event::Tick);
                }
                for q in 0..self.queues.len() {
                    self.queue(q, entry::Event::Tick);
                    self.refill_backlogs(q);
                }
                if self.now.as_micros().is_multiple_of(10_000) {
                    self.update_gaps();
                }
                let at = self.now + Span::from_millis(2);
                self.schedule_at(at, Event::Tick);
            }
        }
    }

    /// Starts queued jobs on an upstream while it has free slots.
    fn start_jobs(&mut self, u: usize) {
        while self.engines[u].running < self.fleet.slots as usize {
            let Some(number) = self.engines[u].queue.pop_front() else {
                return;
            };
            self.engines[u].running += 1;
            let job = self.jobs.get_mut(&number).expect("job is queued");
            job.started = self.now;
            let end = self.now + job.length;
            let seconds = self.now.as_micros() as f64 / 1e6;
            self.running[job.team].0 += 1;
            self.running[job.team].1 += seconds;
            self.schedule_at(end, Event::Complete(u, number));
        }
    }

    /// Pushes requests to a router until each team's backlog there is full.
    fn refill_backlogs(&mut self, q: usize) {
        for t in 0..self.fleet.teams.len() {
            let behaviour = self.fleet.teams[t].clone();
            let (from, until) = behaviour.active;
            if q % behaviour.stride != t % behaviour.stride || self.now < from || self.now >= until
            {
                continue;
            }
            let missing = behaviour
                .backlog
                .saturating_sub(self.queues[q].waiting(&team(t)));
            for _ in 0..missing {
                self.last_number += 1;
                let request = Request(self.last_number);
                let (length, cost) = self.random_request(&behaviour);
                self.requests.insert(request, (t, self.now, length));
                self.waiting[t] += 1;
                let push = entry::Event::Push {
                    request,
                    team: team(t),
                    class: behaviour.class,
                    deadline: self.now + Span::from_secs(100_000),
                    avoid: None,
                    cost,
                };
                self.queue(q, push);
            }
        }
    }

    /// Returns a random length in microseconds and a cost hint for a request of `team`.
    fn random_request(&mut self, team: &Team) -> (u64, u32) {
        let (least, most) = team.length;
        let mut length = self.rng.gen_range(least.as_micros()..=most.as_micros());
        if team.straggler > 0 && self.rng.gen_ratio(1, team.straggler) {
            length *= 30;
        }
        let factor = self.fleet.hint_factor;
        if factor == 0.0 {
            return (length, 0);
        }
        let hint = length as f64 * self.rng.gen_range(1.0 / factor..=factor);
        (length, (hint / 20_000.0).round() as u32)
    }

    fn queue(&mut self, q: usize, event: entry::Event) {
        for command in self.queues[q].handle(self.now, event) {
            match command {
                entry::Command::Run {
                    request,
                    grant,
                    upstream,
                } => self.dispatch(q, request, grant, &upstream),
                entry::Command::Expire { .. } => {}
                entry::Command::Demand { to, demand } => {
                    let from = host(q);
                    self.notify_home(&to, home::Event::Demand { from, demand });
                }
                entry::Command::Release { to, release } => {
                    let unused = release.reports.iter().filter(|r| r.state == State::Unused);
                    self.outcome.unused += unused.count();
                    let from = host(q);
                    self.notify_home(&to, home::Event::Release { from, release });
                }
                entry::Command::Holdings { to, holdings } => {
                    let from = host(q);
                    self.notify_home(&to, home::Event::Holdings { from, holdings });
                }
            }
        }
    }

    fn dispatch(&mut self, q: usize, request: Request, grant: Id, upstream: &name::Upstream) {
        let (t, pushed, length) = self.requests[&request];
        self.outcome.repeated += usize::from(!self.dispatched.insert(request));
        let wait = self.now.since(pushed).as_micros() as f64 / 1e3;
        self.outcome.waits[t].push(wait);
        self.waiting[t] -= 1;
        let index: usize = upstream.as_str()[7..].parse().expect("engine name");
        let at = self.now + self.fleet.delay;
        self.schedule_at(at, Event::Arrive(index, q, grant, request, length));
    }

    fn notify_home(&mut self, to: &host::Id, event: home::Event) {
        let index: usize = to.host.as_str()[1..].parse().expect("host name");
        self.send(Event::Home(index, event));
    }

    fn home(&mut self, h: usize, event: home::Event) {
        for command in self.homes[h].handle(self.now, event) {
            match command {
                home::Command::Grant { to, grant } => self.send_grant(h, &to, grant),
                home::Command::Served { served } => {
                    self.outcome.served += 1;
                    for to in (0..self.homes.len()).filter(|to| *to != h) {
                        let served = served.clone();
                        self.send(Event::Home(to, home::Event::Served { served }));
                    }
                }
            }
        }
    }

    fn send_grant(&mut self, h: usize, to: &host::Id, grant: Grant) {
        let index: usize = to.host.as_str()[1..].parse().expect("host name");
        let from = host(h);
        self.send(Event::Queue(index, entry::Event::Grant { from, grant }));
    }

    /// Updates the range of the difference in service for each pair of waiting teams.
    fn update_gaps(&mut self) {
        let capacity = self.fleet.capacity();
        let totals = self.totals();
        let served =
            |t: usize| totals[t] / (f64::from(self.fleet.teams[t].share_ppm) / 1e6) / capacity;
        for a in 0..totals.len() {
            for b in a + 1..totals.len() {
                if self.waiting[a] == 0 || self.waiting[b] == 0 {
                    self.difference_ranges.remove(&(a, b));
                    continue;
                }
                let difference = served(a) - served(b);
                let range = self
                    .difference_ranges
                    .entry((a, b))
                    .or_insert((difference, difference));
                range.0 = range.0.min(difference);
                range.1 = range.1.max(difference);
            }
        }
    }
}
