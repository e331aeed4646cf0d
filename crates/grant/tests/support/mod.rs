//! A simulated fleet: queues, homes and upstreams that exchange messages with delay.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet, VecDeque},
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_base::{
    host, name,
    time::{Span, Tick},
};
use tsw_grant::{
    entry, home,
    message::{Grant, Id, Request, State},
};

mod fleet;

pub use fleet::{Fleet, Team};

pub fn host(index: usize) -> host::Id {
    host::Id {
        host: format!("r{index}").parse().expect("valid"),
        incarnation: host::Incarnation::new(1_000 + index as u64, 0),
    }
}

pub fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid")
}

pub fn upstream(index: usize) -> name::Upstream {
    format!("engine-{index}").parse().expect("valid")
}

pub fn service() -> name::Service {
    "reviews".parse().expect("valid")
}

#[derive(Clone, Debug)]
enum Event {
    Queue(usize, entry::Event),
    Home(usize, home::Event),
    Arrive(usize, usize, Id, Request, u64),
    Complete(usize, u64),
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
    started: Tick,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Largest difference between two waiting teams, in seconds of fleet capacity.
    pub gap: f64,
    /// Part of the slot time that was used.
    pub utilisation: f64,
    /// Slot seconds of each team.
    pub service: Vec<f64>,
    /// Most requests that an upstream ran or queued.
    pub most_on_upstream: usize,
    /// Requests that ran twice.
    pub repeated: usize,
    /// Time from push to run, in ms, by team.
    pub waits: Vec<Vec<f64>>,
    pub finished: usize,
    pub unused: usize,
    pub served: usize,
}

pub struct Simulation {
    pub fleet: Fleet,
    pub queues: Vec<entry::Queue>,
    pub homes: Vec<home::Home>,
    engines: Vec<Engine>,
    jobs: HashMap<u64, Job>,
    /// Team, time of the push, and length in microseconds.
    requests: HashMap<Request, (usize, Tick, u64)>,
    dispatched: HashSet<Request>,
    heap: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    now: Tick,
    rng: Pcg64Mcg,
    settled: Vec<f64>,
    running: Vec<(usize, f64)>,
    waiting: Vec<usize>,
    spread: HashMap<(usize, usize), (f64, f64)>,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(fleet: Fleet) -> Self {
        let teams = fleet.teams.len();
        let queue =
            |index| entry::Queue::new(service(), 77 * index as u64, entry::Tuning::default());
        let home = |index: usize| {
            let tuning = home::Tuning {
                ahead: fleet.ahead,
                ..home::Tuning::default()
            };
            home::Home::new(service(), host(index).incarnation, tuning)
        };
        let mut simulation = Self {
            queues: (0..fleet.routers).map(queue).collect(),
            homes: (0..fleet.homes).map(home).collect(),
            engines: vec![Engine::default(); fleet.upstreams],
            jobs: HashMap::new(),
            requests: HashMap::new(),
            dispatched: HashSet::new(),
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            now: Tick::ZERO,
            rng: Pcg64Mcg::seed_from_u64(fleet.seed),
            settled: vec![0.0; teams],
            running: vec![(0, 0.0); teams],
            waiting: vec![0; teams],
            spread: HashMap::new(),
            outcome: Outcome {
                waits: vec![Vec::new(); teams],
                ..Outcome::default()
            },
            fleet,
        };
        simulation.begin();
        simulation
    }

    fn begin(&mut self) {
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
            self.at(
                Tick::ZERO,
                Event::Home(h, home::Event::Shares { slots, shares }),
            );
            for u in (0..fleet.upstreams).filter(|u| owner(*u) == h) {
                let event = home::Event::Upstream {
                    upstream: upstream(u),
                    slots: fleet.slots,
                    limit: fleet.slots,
                };
                self.at(Tick::ZERO, Event::Home(h, event));
            }
        }
        for q in 0..fleet.routers {
            let upstreams = upstreams.clone();
            self.at(
                Tick::ZERO,
                Event::Queue(q, entry::Event::Homes { upstreams }),
            );
        }
        self.at(Tick::ZERO, Event::Tick);
    }

    fn at(&mut self, tick: Tick, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((tick, self.next)));
        self.events.insert(self.next, event);
    }

    fn send(&mut self, event: Event) {
        let jitter = self.fleet.jitter.as_micros();
        let mut extra = || Span::from_micros(self.rng.gen_range(0..=jitter));
        let tick = self.now + self.fleet.delay + extra();
        if self.rng.gen_range(0..100) < self.fleet.duplicates {
            let late = Span::from_micros(self.rng.gen_range(0..500_000));
            self.at(tick + late, event.clone());
        }
        self.at(tick, event);
    }

    /// Runs until `end`; counts the outcome from `from` on.
    pub fn run(mut self, from: Tick, end: Tick) -> Outcome {
        let mut base = None;
        while let Some(Reverse((tick, number))) = self.heap.pop() {
            if tick > end {
                break;
            }
            self.now = tick;
            if base.is_none() && tick >= from {
                base = Some((self.busy_until_now(), self.totals()));
                self.spread.clear();
            }
            let event = self.events.remove(&number).expect("scheduled once");
            self.step(event);
        }
        self.now = end;
        let (busy, totals) = base.expect("the run is longer than the warm-up");
        let length = end.since(from).as_secs_f64();
        self.outcome.utilisation =
            (self.busy_until_now() - busy) / (length * self.fleet.capacity());
        let now = self.totals();
        self.outcome.service = now.iter().zip(&totals).map(|(a, b)| a - b).collect();
        self.outcome.gap = self
            .spread
            .values()
            .map(|(low, high)| high - low)
            .fold(0.0, f64::max);
        self.outcome
    }

    fn busy_until_now(&self) -> f64 {
        self.totals().iter().sum()
    }

    /// Slot seconds of each team until now.
    fn totals(&self) -> Vec<f64> {
        let now = self.now.as_micros() as f64 / 1e6;
        let team = |t: usize| self.settled[t] + self.running[t].0 as f64 * now - self.running[t].1;
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
                    started: Tick::ZERO,
                };
                self.next += 1;
                let number = self.next;
                self.jobs.insert(number, job);
                self.engines[u].queue.push_back(number);
                let load = self.engines[u].queue.len() + self.engines[u].running;
                self.outcome.most_on_upstream = self.outcome.most_on_upstream.max(load);
                self.start(u);
            }
            Event::Complete(u, number) => {
                let job = self.jobs.remove(&number).expect("runs");
                let now = self.now.as_micros() as f64 / 1e6;
                let start = job.started.as_micros() as f64 / 1e6;
                self.settled[job.team] += now - start;
                self.running[job.team].0 -= 1;
                self.running[job.team].1 -= start;
                self.engines[u].running -= 1;
                self.outcome.finished += 1;
                self.start(u);
                let tick = self.now + self.fleet.delay;
                self.at(tick, Event::Ended(job.router, job.grant));
            }
            Event::Ended(q, grant) => {
                let state = State::Finished { pace: None };
                self.queue(q, entry::Event::End { grant, state });
            }
            Event::Tick => {
                for h in 0..self.homes.len() {
                    self.home(h, home::Event::Tick);
                }
                for q in 0..self.queues.len() {
                    self.queue(q, entry::Event::Tick);
                    self.top_up(q);
                }
                if self.now.as_micros().is_multiple_of(10_000) {
                    self.measure();
                }
                let tick = self.now + Span::from_millis(2);
                self.at(tick, Event::Tick);
            }
        }
    }

    fn start(&mut self, u: usize) {
        while self.engines[u].running < self.fleet.slots as usize {
            let Some(number) = self.engines[u].queue.pop_front() else {
                return;
            };
            self.engines[u].running += 1;
            let job = self.jobs.get_mut(&number).expect("queued");
            job.started = self.now;
            let end = self.now + job.length;
            let seconds = self.now.as_micros() as f64 / 1e6;
            self.running[job.team].0 += 1;
            self.running[job.team].1 += seconds;
            self.at(end, Event::Complete(u, number));
        }
    }

    fn top_up(&mut self, q: usize) {
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
                self.next += 1;
                let request = Request(self.next);
                let (length, cost) = self.draw(&behaviour);
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

    /// Returns length and hint of a request.
    fn draw(&mut self, team: &Team) -> (u64, u32) {
        let (least, most) = team.length;
        let mut length = self.rng.gen_range(least.as_micros()..=most.as_micros());
        if team.straggler > 0 && self.rng.gen_ratio(1, team.straggler) {
            length *= 30;
        }
        let wrong = self.fleet.hint_factor;
        if wrong == 0.0 {
            return (length, 0);
        }
        let hint = length as f64 * self.rng.gen_range(1.0 / wrong..=wrong);
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
        let tick = self.now + self.fleet.delay;
        self.at(tick, Event::Arrive(index, q, grant, request, length));
    }

    fn notify_home(&mut self, to: &host::Id, event: home::Event) {
        let index: usize = to.host.as_str()[1..].parse().expect("host name");
        self.send(Event::Home(index, event));
    }

    fn home(&mut self, h: usize, event: home::Event) {
        for command in self.homes[h].handle(self.now, event) {
            match command {
                home::Command::Grant { to, grant } => self.deliver(h, &to, grant),
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

    fn deliver(&mut self, h: usize, to: &host::Id, grant: Grant) {
        let index: usize = to.host.as_str()[1..].parse().expect("host name");
        let from = host(h);
        self.send(Event::Queue(index, entry::Event::Grant { from, grant }));
    }

    /// Extends the range of the difference of each pair of waiting teams.
    fn measure(&mut self) {
        let capacity = self.fleet.capacity();
        let totals = self.totals();
        let served =
            |t: usize| totals[t] / (f64::from(self.fleet.teams[t].share_ppm) / 1e6) / capacity;
        for a in 0..totals.len() {
            for b in a + 1..totals.len() {
                if self.waiting[a] == 0 || self.waiting[b] == 0 {
                    self.spread.remove(&(a, b));
                    continue;
                }
                let difference = served(a) - served(b);
                let range = self
                    .spread
                    .entry((a, b))
                    .or_insert((difference, difference));
                range.0 = range.0.min(difference);
                range.1 = range.1.max(difference);
            }
        }
    }
}
