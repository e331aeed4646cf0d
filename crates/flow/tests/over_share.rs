//! Load: one team asks for several times its share, with requests of different sizes and objectives, and its clients come
//! back after a refusal.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    budget::RetryBudget,
    mix::Demand,
    prompt::{Part, Prompt},
    queue::{expires_at, QueuedRequest, Standing},
    repeat::{Key, Refusals},
    service::Service,
};
use tsw_route::{
    table::{self, Engine, Limits},
    Name,
};

const TEAM: &str = "flood";
const SECONDS: u64 = 30;
/// Time after which a refused client comes back, just before another one sends its first request.
const RETURN_MS: u64 = 349;
/// Interval at which queued requests are tried.
const ROUND_MS: u64 = 5;

/// Requests of one kind.
#[derive(Clone, Copy)]
struct Kind {
    work: u64,
    objective_ms: u64,
    /// Interval between two new requests.
    every_ms: u64,
}

/// A request of a client, which comes back once.
#[derive(Clone, Copy)]
struct Sent {
    kind: usize,
    key: Key,
    first_ms: u64,
    is_repeated: bool,
}

/// What became of the requests of a kind: all, started, and started while the objective could be met.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u64,
    started: u64,
    in_time: u64,
}

struct Run {
    service: Service,
    refusals: Refusals,
    kinds: Vec<Kind>,
    /// Waiting requests with their numbers in the queue.
    waiting: Vec<(u64, Sent)>,
    /// Refused requests, with the time of their return.
    returning: Vec<(u64, Sent)>,
    tallies: Vec<Tally>,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(60_000 + millis)
}

impl Run {
    /// Plays the kinds at a router whose engines do `work_per_s`.
    fn play(kinds: &[Kind], work_per_s: u64) -> Vec<Tally> {
        let mut service = Service::new(RetryBudget::new(Span::from_secs(10), 0.2, 54.0));
        let engine = Engine {
            slots: 12,
            kv_capacity_tokens: 400_000,
            can_fetch: true,
        };
        let configured = table::Service {
            max_connections: 360,
            engine: Some(engine),
            cold_interval: None,
        };
        let limits = Limits {
            tokens_per_s: Some(work_per_s),
            ..Limits::default()
        };
        service.configure(&configured, &limits);
        let mut run = Self {
            service,
            refusals: Refusals::default(),
            kinds: kinds.to_vec(),
            waiting: Vec::new(),
            returning: Vec::new(),
            tallies: vec![Tally::default(); kinds.len()],
        };
        for millis in 0..SECONDS * 1_000 {
            run.step(millis);
        }
        run.tallies
    }

    fn step(&mut self, millis: u64) {
        for kind in 0..self.kinds.len() {
            if millis.is_multiple_of(self.kinds[kind].every_ms) {
                let id = millis * 10 + kind as u64;
                let prompt = Prompt {
                    parts: vec![Part { id, tokens: 1 }],
                    ..Prompt::default()
                };
                let sent = Sent {
                    kind,
                    key: Key::new(TEAM, b"/", &prompt),
                    first_ms: millis,
                    is_repeated: false,
                };
                self.tallies[kind].asked += 1;
                self.arrive(millis, sent);
            }
        }
        let due: Vec<(u64, Sent)> = self
            .returning
            .extract_if(.., |(at, _)| *at <= millis)
            .collect();
        for (_, sent) in due {
            let is_repeated = true;
            self.arrive(
                millis,
                Sent {
                    is_repeated,
                    ..sent
                },
            );
        }
        if millis.is_multiple_of(ROUND_MS) {
            self.round(millis);
        }
    }

    fn demand(&self, sent: Sent) -> Demand {
        let kind = self.kinds[sent.kind];
        Demand {
            work: kind.work,
            objective: Span::from_millis(kind.objective_ms),
        }
    }

    fn arrive(&mut self, millis: u64, sent: Sent) {
        let (now, team): (Timestamp, Name) = (at(millis), TEAM.into());
        let demand = self.demand(sent);
        let standing = self
            .refusals
            .standing(now, sent.key, demand.objective, Standing::New);
        let is_repeated = self.refusals.first_arrival(sent.key).is_some();
        let fair_share = self.service.fair_share(now);
        self.service.record_request(now, &team, demand, is_repeated);
        let limit = standing.share_limit(fair_share);
        if self.service.may_start(now, TEAM, demand, limit)
            && !self.service.has_startable(now, fair_share)
        {
            return self.begin(millis, sent);
        }
        let until = expires_at(now, demand.objective, now + Span::from_secs(10), true);
        let own = (demand, standing);
        let wait = self.service.estimated_wait(now, TEAM, own, fair_share);
        if now + wait >= until {
            return self.refuse(millis, sent);
        }
        let number = self.service.queue.push(QueuedRequest {
            number: 0,
            team,
            demand,
            priority: 1,
            objective_at: now + demand.objective,
            expires_at: until,
            standing,
            moves: false,
        });
        self.waiting.push((number, sent));
    }

    fn round(&mut self, millis: u64) {
        let now = at(millis);
        for expired in self.service.queue.expire(now) {
            let sent = self.take_waiting(expired.number);
            self.refuse(millis, sent);
        }
        let fair_share = self.service.fair_share(now);
        for waiting in self.service.start_order(now) {
            let limit = waiting.standing.share_limit(fair_share);
            if self.service.may_start(now, TEAM, waiting.demand, limit) {
                self.service.queue.remove(waiting.number);
                let sent = self.take_waiting(waiting.number);
                self.begin(millis, sent);
            }
        }
    }

    fn take_waiting(&mut self, number: u64) -> Sent {
        let found = self.waiting.iter().position(|(of, _)| *of == number);
        self.waiting.swap_remove(found.expect("waits")).1
    }

    fn begin(&mut self, millis: u64, sent: Sent) {
        let demand = self.demand(sent);
        self.service.record_start(at(millis), &TEAM.into(), demand);
        let tally = &mut self.tallies[sent.kind];
        tally.started += 1;
        // An engine takes a quarter of the objective.
        let objective_ms = self.kinds[sent.kind].objective_ms;
        tally.in_time += u64::from(millis - sent.first_ms < objective_ms * 3 / 4);
    }

    fn refuse(&mut self, millis: u64, sent: Sent) {
        let arrived = at(millis);
        self.refusals.record(arrived, sent.key, arrived);
        if !sent.is_repeated {
            self.returning.push((millis + RETURN_MS, sent));
        }
    }
}

/// Guards against urgent requests that are refused because patient ones of the same team wait until there is room: a long
/// objective allows a longer wait.
#[test]
fn kinds_of_a_team_over_its_share_are_served_alike_whatever_their_objective() {
    let kinds = [(12_800, 800, 40), (1_400, 600, 30), (2_400, 1_200, 20)];
    let kinds = kinds.map(|(work, objective_ms, every_ms)| Kind {
        work,
        objective_ms,
        every_ms,
    });
    let asked: u64 = kinds
        .iter()
        .map(|kind| kind.work * 1_000 / kind.every_ms)
        .sum();
    let tallies = Run::play(&kinds, asked / 4);
    let parts = tallies
        .iter()
        .map(|tally| tally.started as f64 / tally.asked as f64);
    let parts: Vec<f64> = parts.collect();
    let (least, most) = (
        parts[0].min(parts[1]).min(parts[2]),
        parts[0].max(parts[1]).max(parts[2]),
    );
    assert!(least > 0.6 * most, "served parts {parts:?}");
}

/// Guards against requests that come again, too late for their objective, and take the share of the team's new ones.
#[test]
fn new_requests_of_a_team_over_its_share_precede_those_that_come_again_too_late() {
    let kind = Kind {
        work: 2_000,
        objective_ms: 300,
        every_ms: 10,
    };
    let tallies = Run::play(&[kind], 100_000);
    let tally = tallies[0];
    assert!(tally.started * 2 > tally.asked * 9 / 10, "{tally:?}");
    assert!(
        tally.in_time as f64 > 0.9 * tally.started as f64,
        "{tally:?}"
    );
}
