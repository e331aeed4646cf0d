//! Cost of one request at a home: a demand message, the end of a request, and the resulting grant.

// `criterion_group!` expands to an undocumented public function.
#![allow(missing_docs)]

use std::collections::VecDeque;

use criterion::{criterion_group, criterion_main, Criterion};
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_grant::{
    home::{Command, Event, Home, Options},
    message::{Class, Demand, DemandLine, Id, Release, Report, State},
};

/// Slots of each upstream.
const SLOTS: u32 = 8;

struct Fleet {
    home: Home,
    routers: Vec<host::Id>,
    teams: Vec<name::Team>,
    now: Timestamp,
    seq: u64,
    /// Grants in use and their routers, oldest first.
    running: VecDeque<(host::Id, Id)>,
}

fn service() -> name::Service {
    "reviews".parse().expect("valid name")
}

impl Fleet {
    fn new(routers: usize, teams: usize, upstreams: usize) -> Self {
        let me = host::Incarnation::new(1, 0);
        let router = |index| host::Id {
            host: format!("r{index}").parse().expect("valid name"),
            incarnation: host::Incarnation::new(index as u64, 0),
        };
        let team = |index| format!("team-{index}").parse().expect("valid name");
        let mut fleet = Self {
            home: Home::new(service(), me, Options::default()),
            routers: (0..routers).map(router).collect(),
            teams: (0..teams).map(team).collect(),
            now: Timestamp::from_micros(1_000_000),
            seq: 0,
            running: VecDeque::new(),
        };
        let share = 1_000_000 / teams as u32;
        let shares = fleet
            .teams
            .iter()
            .map(|team| (team.clone(), share))
            .collect();
        let slots = upstreams as u64 * u64::from(SLOTS);
        fleet.handle(Event::Shares { slots, shares });
        for index in 0..upstreams {
            fleet.handle(Event::Upstream {
                upstream: format!("engine-{index}").parse().expect("valid name"),
                slots: SLOTS,
                limit: SLOTS,
            });
        }
        fleet.now = fleet.now + Span::from_millis(200);
        while fleet.running.len() < upstreams * SLOTS as usize {
            fleet.demand();
        }
        (0..2_000).for_each(|_| fleet.step());
        fleet
    }

    fn handle(&mut self, event: Event) {
        for command in self.home.handle(self.now, event) {
            if let Command::Grant { to, grant } = command {
                self.running.push_back((to, grant.id));
            }
        }
    }

    /// Sends a demand message for the next team from the next router.
    fn demand(&mut self) {
        self.seq += 1;
        let router = self.seq as usize % self.routers.len();
        let team = (self.seq as usize * 7) % self.teams.len();
        let line = DemandLine {
            team: self.teams[team].clone(),
            class: Class::Short,
            waiting: 20,
            oldest: Span::from_millis(100),
            newest: Span::ZERO,
        };
        let latest_grant = Id {
            home: host::Incarnation::new(1, 0),
            number: self.seq,
        };
        let demand = Demand {
            service: service(),
            seq: self.seq,
            latest_grant: Some(latest_grant),
            lines: vec![line],
        };
        let from = self.routers[router].clone();
        self.handle(Event::Demand { from, demand });
    }

    /// Sends a demand message and ends the oldest request.
    fn step(&mut self) {
        self.now = self.now + Span::from_micros(15);
        self.demand();
        if let Some((from, id)) = self.running.pop_front() {
            let state = State::Finished {
                token_latency: None,
            };
            let release = Release {
                service: service(),
                reports: vec![Report { id, state }],
            };
            self.handle(Event::Release { from, release });
        }
    }
}

fn request(criterion: &mut Criterion) {
    for (name, routers, teams, upstreams) in [
        ("7 routers, 16 teams, 12 upstreams", 7, 16, 12),
        ("7 routers, 990 teams, 10000 upstreams", 7, 990, 10_000),
        ("1200 routers, 990 teams, 32 upstreams", 1_200, 990, 32),
        (
            "1200 routers, 990 teams, 10000 upstreams",
            1_200,
            990,
            10_000,
        ),
    ] {
        let mut fleet = Fleet::new(routers, teams, upstreams);
        criterion.bench_function(&format!("request/{name}"), |bencher| {
            bencher.iter(|| fleet.step());
        });
    }
}

criterion_group!(benches, request);
criterion_main!(benches);
