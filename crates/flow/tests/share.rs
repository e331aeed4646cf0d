//! Simulates fair sharing in a fleet of routers under several load patterns, without a network.
//!
//! Guards against a team that gets less than its fair share because of the routers its clients use,
//! the size of its requests, or a flood of requests of another team.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    budget::RetryBudget,
    mix::Demand,
    queue::{expires_at, resume_expires_at, QueuedRequest, Standing},
    service::Service,
};
use tsw_route::{
    table::{self, Limits},
    Name,
};

const ROUTERS: usize = 7;
/// Configured capacity, in tokens per second.
const CAPACITY: u64 = 300_000;
/// Period of the reports between routers.
const REPORT_PERIOD_MS: u64 = 100;
const STEP_MS: u64 = 5;
const OBJECTIVE: Span = Span::from_millis(800);

/// A stream of requests of a team.
struct Load {
    team: &'static str,
    /// Routers at which its clients connect.
    routers: &'static [usize],
    /// Work of one request.
    work: u64,
    /// Work requested per second.
    work_per_s: u64,
    /// What its clients state about their requests.
    standing: Standing,
    /// Start and end of the stream in seconds.
    from_s: f64,
    to_s: f64,
}

fn demand(work: u64) -> Demand {
    let objective = OBJECTIVE;
    Demand { work, objective }
}

/// A fleet in which each router starts the requests that its fair share allows.
struct Fleet {
    services: Vec<Service>,
    started: Vec<(u64, Name, u64)>,
    /// Work that the engines can still take; `None` if they take any.
    room: Option<f64>,
}

impl Fleet {
    fn new() -> Self {
        let service = || {
            let mut service = Service::new(RetryBudget::new(Span::from_secs(10), 0.2, 54.0));
            let engine = table::Engine {
                slots: 64,
                kv_capacity_tokens: 600_000,
                can_fetch: true,
            };
            let configured = table::Service {
                max_connections: 360,
                cold_interval: None,
                engine: Some(engine),
            };
            let limits = Limits {
                tokens_per_s: Some(CAPACITY),
                ..Limits::default()
            };
            service.configure(&configured, &limits);
            service
        };
        Self {
            services: (0..ROUTERS).map(|_| service()).collect(),
            started: Vec::new(),
            room: None,
        }
    }

    fn exchange_reports(&mut self, now: Timestamp) {
        let reports: Vec<Vec<_>> = self
            .services
            .iter_mut()
            .map(|service| service.accounts.take_report(now).collect())
            .collect();
        for (to, service) in self.services.iter_mut().enumerate() {
            for (from, work) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                service
                    .accounts
                    .set_peer_report(now, &format!("r{from}").into(), work.clone());
            }
        }
    }

    fn arrive(&mut self, router: usize, load: &Load, now: Timestamp) {
        let service = &mut self.services[router];
        let team: Name = load.team.into();
        service.accounts.record_request(now, &team, load.work);
        let due = now + Span::from_secs(15);
        let expires_at = match load.standing {
            Standing::New => expires_at(now, OBJECTIVE, due, true),
            _ => resume_expires_at(now, OBJECTIVE, Span::from_millis(400), due),
        };
        let fair_share = service.fair_share(now);
        let wait = service.estimated_wait(
            now,
            load.team,
            (demand(load.work), load.standing),
            fair_share,
        );
        if now + wait >= expires_at {
            return;
        }
        service.queue.push(QueuedRequest {
            number: 0,
            team,
            demand: demand(load.work),
            priority: 1,
            objective_at: now + OBJECTIVE,
            expires_at,
            standing: load.standing,
            moves: false,
        });
    }

    fn start(&mut self, now: Timestamp, millis: u64) {
        let first = millis / STEP_MS % ROUTERS as u64;
        if let Some(room) = &mut self.room {
            *room = (*room + (CAPACITY * STEP_MS) as f64 / 1_000.0).min(CAPACITY as f64 / 10.0);
        }
        let (last, begin) = self.services.split_at_mut(first as usize);
        for service in begin.iter_mut().chain(last) {
            service.queue.expire(now);
            let fair_share = service.fair_share(now);
            for waiting in service.start_order(now) {
                let limit = waiting.standing.share_limit(fair_share);
                let has_room = self
                    .room
                    .is_none_or(|room| room >= waiting.demand.work as f64);
                let (team, standing) = (&waiting.team, waiting.standing);
                let may_start = service.may_start(now, team, waiting.demand, limit)
                    && !service.is_held(now, team, standing, fair_share);
                if has_room && may_start {
                    self.room = self.room.map(|room| room - waiting.demand.work as f64);
                    service.queue.remove(waiting.number);
                    service
                        .accounts
                        .record_start(now, &waiting.team, waiting.demand.work);
                    self.started
                        .push((millis, waiting.team, waiting.demand.work));
                }
            }
        }
    }

    /// Simulates the loads and returns the resulting fleet.
    fn simulate(loads: &[Load], seconds: u64) -> Self {
        Self::new().run(loads, seconds)
    }

    /// Simulates the loads with engines that start no more than the configured capacity.
    fn simulate_engines(loads: &[Load], seconds: u64) -> Self {
        let mut fleet = Self::new();
        fleet.room = Some(0.0);
        fleet.run(loads, seconds)
    }

    fn run(self, loads: &[Load], seconds: u64) -> Self {
        let mut fleet = self;
        let mut due = vec![0.0; loads.len()];
        let mut turn = vec![0; loads.len()];
        for millis in (0..seconds * 1_000).step_by(STEP_MS as usize) {
            let now = Timestamp::ZERO + Span::from_millis(1_000 + millis);
            if millis % REPORT_PERIOD_MS == 0 {
                fleet.exchange_reports(now);
            }
            for (index, load) in loads.iter().enumerate() {
                let second = millis as f64 / 1_000.0;
                if second < load.from_s || second >= load.to_s {
                    continue;
                }
                due[index] += (load.work_per_s * STEP_MS) as f64 / 1_000.0;
                while due[index] >= load.work as f64 {
                    due[index] -= load.work as f64;
                    turn[index] += 1;
                    let router = load.routers[turn[index] % load.routers.len()];
                    fleet.arrive(router, load, now);
                }
            }
            fleet.start(now, millis);
        }
        fleet
    }

    /// Returns the average work per second started for a team within a range of seconds.
    fn rate(&self, team: &str, from_s: u64, to_s: u64) -> f64 {
        let within = |millis: u64| (from_s * 1_000..to_s * 1_000).contains(&millis);
        let own = self
            .started
            .iter()
            .filter(|(at, name, _)| within(*at) && **name == *team);
        let work: u64 = own.map(|(_, _, work)| work).sum();
        work as f64 / (to_s - from_s) as f64
    }
}

const ALL: &[usize] = &[0, 1, 2, 3, 4, 5, 6];

const fn steady(team: &'static str, routers: &'static [usize], work: u64, work_per_s: u64) -> Load {
    Load {
        team,
        routers,
        work,
        work_per_s,
        standing: Standing::New,
        from_s: 0.0,
        to_s: 1_000.0,
    }
}

#[test]
fn team_at_one_router_gets_as_much_as_a_team_at_all_of_them() {
    let loads = [
        steady("everywhere", ALL, 5_000, 900_000),
        steady("one", &[3], 5_000, 900_000),
    ];
    let fleet = Fleet::simulate(&loads, 20);
    let (everywhere, one) = (fleet.rate("everywhere", 5, 20), fleet.rate("one", 5, 20));
    assert!(
        one >= 0.8 * everywhere,
        "one {one}, everywhere {everywhere}"
    );
}

#[test]
fn flood_of_one_team_does_not_reduce_the_work_of_others_within_their_share() {
    let loads = [
        steady("flood", ALL, 2_000, 3_000_000),
        steady("small", &[0, 5], 2_000, 40_000),
        steady("middle", ALL, 2_000, 90_000),
    ];
    let fleet = Fleet::simulate(&loads, 20);
    for (team, requested) in [("small", 40_000.0), ("middle", 90_000.0)] {
        let rate = fleet.rate(team, 5, 20);
        assert!(
            rate >= 0.95 * requested,
            "{team} requested {requested} and got {rate}"
        );
    }
}

#[test]
fn load_increase_does_not_start_more_work_than_the_capacity() {
    let mut loads: Vec<Load> = Vec::new();
    for team in ["a", "b", "c", "d"] {
        loads.push(steady(team, ALL, 3_000, 60_000));
        loads.push(Load {
            from_s: 8.0,
            to_s: 12.0,
            ..steady(team, ALL, 3_000, 240_000)
        });
    }
    let fleet = Fleet::simulate(&loads, 20);
    let rate = |from, to| {
        ["a", "b", "c", "d"]
            .iter()
            .map(|t| fleet.rate(t, from, to))
            .sum::<f64>()
    };
    let rise = rate(8, 12);
    assert!(
        rise <= 1.3 * CAPACITY as f64,
        "{rise} tokens per second were started"
    );
    let before = rate(4, 8);
    assert!(
        before >= 0.95 * 240_000.0,
        "{before} of 240000 were started before the increase"
    );
    assert!(rate(14, 20) >= 0.95 * 240_000.0, "after the increase");
}

#[test]
fn large_requests_are_not_starved_by_small_ones_of_another_team() {
    let loads = [
        steady("large", ALL, 50_000, 600_000),
        steady("small", ALL, 1_000, 600_000),
    ];
    let fleet = Fleet::simulate(&loads, 30);
    let (large, small) = (fleet.rate("large", 5, 30), fleet.rate("small", 5, 30));
    assert!(large >= 0.8 * small, "large {large}, small {small}");
}

#[test]
fn single_team_gets_the_whole_capacity() {
    let fleet = Fleet::simulate(&[steady("alone", &[2], 4_000, 900_000)], 20);
    let rate = fleet.rate("alone", 5, 20);
    assert!(rate >= 0.95 * CAPACITY as f64, "{rate}");
}

/// Floods one router with requests of one team. Guards against a request within its team's share that
/// waits behind requests that may not start.
#[test]
fn waiting_requests_of_a_flooding_team_do_not_delay_other_teams() {
    let loads = [steady("flood", &[0], 3_000, 900_000)];
    let mut fleet = Fleet::simulate(&loads, 4);
    let now = Timestamp::ZERO + Span::from_millis(5_000);
    // More work than the router may start, so that some of it waits.
    for _ in 0..200 {
        fleet.services[0]
            .accounts
            .record_request(now, &"flood".into(), 3_000);
    }
    fleet.services[0].queue.push(QueuedRequest {
        number: 0,
        team: "flood".into(),
        demand: demand(3_000),
        priority: 1,
        objective_at: now + OBJECTIVE,
        expires_at: now + OBJECTIVE,
        standing: Standing::New,
        moves: false,
    });
    let service = &mut fleet.services[0];
    service.accounts.record_request(now, &"quiet".into(), 1_000);
    let fair_share = service.fair_share(now);
    assert!(service.may_start(now, "quiet", demand(1_000), fair_share));
    assert!(
        !service.has_startable(now, fair_share),
        "the waiting request may not start"
    );
    service.queue.push(QueuedRequest {
        number: 0,
        team: "quiet".into(),
        demand: demand(1_000),
        priority: 1,
        objective_at: now + OBJECTIVE,
        expires_at: now + OBJECTIVE,
        standing: Standing::New,
        moves: false,
    });
    assert!(
        service.has_startable(now, fair_share),
        "the request of the quiet team may start"
    );
}

/// Guards against a team that gets more than its share for long because its clients state of all their
/// requests that they resume a stream.
#[test]
fn team_that_states_to_resume_all_its_requests_gets_less_than_twice_as_much_as_others() {
    let resuming = Load {
        standing: Standing::Claimed,
        ..steady("resuming", ALL, 3_000, 900_000)
    };
    let others = ["a", "b", "c"].map(|team| steady(team, ALL, 3_000, 300_000));
    let loads: Vec<Load> = others.into_iter().chain([resuming]).collect();
    let fleet = Fleet::simulate(&loads, 30);
    let resumed = fleet.rate("resuming", 5, 30);
    for team in ["a", "b", "c"] {
        let rate = fleet.rate(team, 5, 30);
        assert!(
            rate >= 0.9 * CAPACITY as f64 / 4.0,
            "{team} got {rate} of {CAPACITY}"
        );
        assert!(resumed < 1.7 * rate, "{team} {rate}, resuming {resumed}");
    }
}

/// Guards against refusing streams that clients resume as often as new ones while more is asked than the
/// fleet can do.
#[test]
fn streams_that_are_resumed_start_while_new_ones_of_their_team_are_refused() {
    go_on_while_new_ones_are_refused(Standing::Resumed, 3_000);
}

/// The same for streams that no record shows, whose team gets no more than its share for them.
#[test]
fn streams_that_are_stated_to_be_resumed_start_while_new_ones_of_their_team_are_refused() {
    for work in [1_000, 3_000, 15_000] {
        go_on_while_new_ones_are_refused(Standing::Claimed, work);
    }
}

fn go_on_while_new_ones_are_refused(standing: Standing, work: u64) {
    let resuming = Load {
        standing,
        ..steady("busy", ALL, work, 30_000)
    };
    let loads = [
        steady("busy", ALL, 2_000, 900_000),
        steady("other", ALL, 2_000, 900_000),
        resuming,
    ];
    let fleet = Fleet::simulate(&loads, 20);
    let resumed = fleet.started.iter().filter(|(_, _, found)| *found == work);
    let asked = 20 * 30_000 / work as usize;
    let resumed = resumed.count();
    assert!(
        resumed >= asked * 19 / 20,
        "{standing:?}, {work}: {resumed} of {asked} started"
    );
    let (busy, other) = (fleet.rate("busy", 5, 20), fleet.rate("other", 5, 20));
    assert!(busy <= 1.2 * other, "busy {busy}, other {other}");
}

/// Guards against new requests that start before streams that have begun or that clients resume.
#[test]
fn streams_that_have_begun_start_first() {
    let now = Timestamp::ZERO + Span::from_millis(5_000);
    let mut service = Fleet::new().services.swap_remove(0);
    // The team of the streams has been served more, and their objective is missed.
    service.accounts.record_start(now, &"served".into(), 50_000);
    let standings = [
        Standing::New,
        Standing::Claimed,
        Standing::Resumed,
        Standing::Begun,
    ];
    let teams = ["fresh", "served", "served", "served"];
    for (team, standing) in teams.into_iter().zip(standings) {
        service.queue.push(QueuedRequest {
            number: 0,
            team: team.into(),
            demand: demand(1_000),
            priority: 1,
            objective_at: match standing {
                Standing::New => now + OBJECTIVE,
                _ => Timestamp::ZERO,
            },
            expires_at: now + OBJECTIVE,
            standing,
            moves: false,
        });
    }
    let order = service.start_order(now);
    let order: Vec<Standing> = order.iter().map(|waiting| waiting.standing).collect();
    assert!(order.iter().eq(standings.iter().rev()), "{order:?}");
}

/// Starts requests of two teams, at engines that are full, and returns the work per second started for
/// one that states of all its requests that they resume a stream and for the other.
fn with_full_engines(
    resuming: &'static [&'static str],
    others: &'static [&'static str],
) -> (f64, f64) {
    let resumed = resuming.iter().map(|team| Load {
        standing: Standing::Claimed,
        ..steady(team, ALL, 3_000, 900_000)
    });
    let new = others.iter().map(|team| steady(team, ALL, 3_000, 300_000));
    let loads: Vec<Load> = new.chain(resumed).collect();
    let fleet = Fleet::simulate_engines(&loads, 30);
    let (resumed, other) = (fleet.rate(resuming[0], 5, 30), fleet.rate(others[0], 5, 30));
    println!("resuming {resumed}, other {other}");
    (resumed, other)
}

/// Guards against a team that gets more than twice as much as others because its clients state of all
/// their requests that they resume a stream. The engines are full, so that what it gets is taken from
/// the others.
#[test]
fn one_of_two_teams_that_states_to_resume_all_its_requests_gets_less_than_twice_as_much() {
    let (resumed, other) = with_full_engines(&["x"], &["a"]);
    assert!(resumed < 2.0 * other, "other {other}, resuming {resumed}");
}

/// The same for two of four teams.
#[test]
fn two_of_four_teams_that_state_to_resume_all_their_requests_get_less_than_twice_as_much() {
    let (resumed, other) = with_full_engines(&["x", "y"], &["a", "b"]);
    assert!(resumed < 2.0 * other, "other {other}, resuming {resumed}");
}

/// The same for one of four teams.
#[test]
fn one_of_four_teams_that_states_to_resume_all_its_requests_gets_less_than_twice_as_much() {
    let (resumed, other) = with_full_engines(&["x"], &["a", "b", "c"]);
    assert!(resumed < 2.0 * other, "other {other}, resuming {resumed}");
}

/// Control: no team states that it resumes anything.
#[test]
fn teams_get_the_same_at_full_engines() {
    let loads = ["a", "b"].map(|team| steady(team, ALL, 3_000, 900_000));
    let fleet = Fleet::simulate_engines(&loads, 30);
    let (a, b) = (fleet.rate("a", 5, 30), fleet.rate("b", 5, 30));
    assert!(a < 1.3 * b && b < 1.3 * a, "{a} {b}");
    assert!(a + b > 0.85 * CAPACITY as f64, "{a} {b}");
}
