//! Guards against routers that together send more than an upstream takes, or much less.

#[path = "support/plain.rs"]
mod plain;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    pool::{Entry, Pool, Statement},
    rate::{Rate, WINDOW},
};
use tsw_route::Name;

const TICK: Span = Span::from_millis(10);
/// Time after a change of the allocator in which the new one hands out nothing.
const HANDOVER: Span = Span::from_millis(1_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(60_000 + millis)
}

fn entry(started_at: u64) -> Entry {
    Entry {
        id: "e1".into(),
        service: "desk".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 1_000,
        leaving: false,
        started_at,
        seq: 1,
        version: None,
    }
}

fn pool() -> Pool {
    let mut pool = Pool::default();
    pool.set_entries(vec![entry(1)], None);
    pool
}

fn rate(per_s: f64) -> Option<Rate> {
    Some(Rate::new(per_s).expect("usable"))
}

/// Messages between routers: when each arrives, and the probability that it is lost.
#[derive(Clone, Copy)]
struct Network {
    max_delay_ms: u64,
    loss: f64,
}

enum Message {
    Ask {
        from: usize,
        credits: u32,
        asked_at: Timestamp,
    },
    Answer {
        asked_at: Timestamp,
        starts_in: Vec<Span>,
        next_in: Span,
    },
}

/// Routers that all have requests for one upstream at all times.
struct Fleet {
    pools: Vec<Pool>,
    rng: Pcg64Mcg,
    network: Network,
    /// The allocator that each router knows.
    allocators: Vec<usize>,
    /// When credits of each router as an allocator start at the earliest.
    since: Vec<Timestamp>,
    messages: Vec<(Timestamp, usize, Message)>,
    /// Times at which requests were sent.
    sent: Vec<Timestamp>,
}

impl Fleet {
    fn new(routers: usize, per_s: f64, network: Network) -> Self {
        let mut fleet = Self {
            pools: vec![pool(); routers],
            rng: Pcg64Mcg::seed_from_u64(7),
            network,
            allocators: vec![0; routers],
            since: vec![Timestamp::ZERO; routers],
            messages: Vec::new(),
            sent: Vec::new(),
        };
        for pool in &mut fleet.pools {
            let choice = plain::choose(pool, at(0)).expect("no limit is known");
            pool.record_rate(at(0), &choice, at(0), rate(per_s));
        }
        fleet
    }

    fn send(&mut self, now: Timestamp, to: usize, message: Message) {
        if self.rng.gen::<f64>() >= self.network.loss {
            let delay = Span::from_millis(self.rng.gen_range(0..=self.network.max_delay_ms));
            self.messages.push((now + delay, to, message));
        }
    }

    fn receive(&mut self, now: Timestamp) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<(Timestamp, usize, Message)> = due;
        for (_, to, message) in due {
            match message {
                Message::Ask {
                    from,
                    credits,
                    asked_at,
                } => {
                    if self.allocators[to] == to {
                        let router: Name = from.to_string().into();
                        let question = (credits, asked_at.as_micros());
                        let since = self.since[to];
                        let pool = &mut self.pools[to];
                        pool.ask_allocator(now, since, &router, &"e1".into(), question);
                    }
                }
                Message::Answer {
                    asked_at,
                    starts_in,
                    next_in,
                } => {
                    let pool = &mut self.pools[to];
                    pool.record_answer(now, &"e1".into(), asked_at, &starts_in, next_in);
                }
            }
        }
    }

    fn step(&mut self, now: Timestamp) {
        self.receive(now);
        for router in 0..self.pools.len() {
            let pool = &mut self.pools[router];
            while let Some(choice) = plain::choose(pool, now) {
                pool.use_credit(now, &choice);
                self.sent.push(now);
            }
            let mut planned = Default::default();
            pool.plan_credit(now, &[], None, &mut planned);
            let (questions, routers) = (pool.questions(now, planned), self.pools.len());
            for question in questions {
                let allocator = self.allocators[router];
                self.pools[router].credit_unanswered(now, &"e1".into(), routers);
                let (credits, asked_at) = (question.credits, now);
                let ask = Message::Ask {
                    from: router,
                    credits,
                    asked_at,
                };
                self.send(now, allocator, ask);
            }
        }
        for allocator in 0..self.pools.len() {
            if self.allocators[allocator] != allocator {
                self.pools[allocator].retain_allocators(|_| false);
                continue;
            }
            for (upstream, grant) in self.pools[allocator].allocate(now) {
                let next_in = self.pools[allocator].next_credit_in(now, &upstream);
                let answer = Message::Answer {
                    asked_at: Timestamp::from_micros(grant.asked_us),
                    starts_in: vec![grant.starts_in],
                    next_in: next_in.expect("an allocator"),
                };
                let router = grant.router.parse().expect("a number");
                self.send(now, router, answer);
            }
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for millis in (from_ms..until_ms).step_by(TICK.as_millis() as usize) {
            self.step(at(millis));
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |from: &Timestamp| {
            let to = *from + WINDOW;
            let times = self.sent.iter();
            times.filter(|time| (*from..to).contains(time)).count()
        };
        self.sent.iter().map(in_window).max().unwrap_or(0)
    }
}

const FAST: Network = Network {
    max_delay_ms: 4,
    loss: 0.0,
};

/// Guards against parts of a rate that sum up to more than it, the more so the larger the fleet, and
/// against routers that wait while the upstream would take a request.
#[test]
fn routers_of_any_number_use_a_rate_and_do_not_exceed_it() {
    for routers in [1, 3, 7, 95, 300] {
        for per_s in [0.3, 1.2, 6.1, 40.0] {
            let mut fleet = Fleet::new(routers, per_s, FAST);
            fleet.run(0, 20_000);
            let most = fleet.most_in_window();
            let allowed = (per_s * 4.0) as usize;
            assert!(most <= allowed, "{routers} routers, {per_s}/s: {most}");
            let used = fleet.sent.len() as f64 / (per_s * 20.0);
            let whole = per_s * 4.0 >= 4.0;
            assert!(!whole || used > 0.8, "{routers} routers, {per_s}/s: {used}");
        }
    }
}

/// Guards against late or repeated credits after messages were lost.
#[test]
fn late_and_lost_messages_do_not_exceed_a_rate() {
    let network = Network {
        max_delay_ms: 900,
        loss: 0.2,
    };
    for routers in [3, 7, 95] {
        for per_s in [1.2, 6.1, 40.0] {
            let mut fleet = Fleet::new(routers, per_s, network);
            fleet.run(0, 20_000);
            let most = fleet.most_in_window();
            // An answer counts until 0.3 s after its question.
            let allowed = (per_s * 4.3) as usize + 1;
            assert!(most <= allowed, "{routers} routers, {per_s}/s: {most}");
        }
    }
}

/// Guards against credits that come so late that the upstream may have been promised to others since.
#[test]
fn answers_to_old_questions_count_for_nothing() {
    let mut pool = pool();
    let choice = plain::choose(&pool, at(0)).expect("no limit");
    pool.record_rate(at(0), &choice, at(0), rate(2.0));
    let (id, credit) = ("e1".into(), [Span::ZERO]);
    pool.record_answer(at(1_000), &id, at(600), &credit, Span::ZERO);
    assert_eq!(plain::choose(&pool, at(1_000)), None);
    pool.record_answer(at(1_000), &id, at(800), &credit, Span::ZERO);
    assert!(plain::choose(&pool, at(1_000)).is_some());
    assert_eq!(
        plain::choose(&pool, at(1_250)),
        None,
        "the credit has expired"
    );
}

/// Guards against two allocators at the same time, when routers start or leave and the others learn of it
/// one after the other.
#[test]
fn change_of_the_allocator_does_not_exceed_a_rate() {
    for routers in [3, 7, 95] {
        for per_s in [1.2, 6.1, 40.0] {
            let mut fleet = Fleet::new(routers, per_s, FAST);
            let mut millis = 0;
            for allocator in [1, 2, 1, 0] {
                fleet.run(millis, millis + 4_000);
                millis += 4_000;
                fleet.since[allocator] = at(millis) + HANDOVER;
                fleet.allocators[allocator] = allocator;
                let mut others: Vec<usize> = (0..routers).collect();
                others.rotate_left(allocator);
                for group in others.chunks(routers.div_ceil(8)) {
                    fleet.run(millis, millis + 60);
                    millis += 60;
                    for router in group {
                        fleet.allocators[*router] = allocator;
                    }
                }
            }
            fleet.run(millis, millis + 4_000);
            let most = fleet.most_in_window();
            let allowed = (per_s * 4.0) as usize + 1;
            assert!(most <= allowed, "{routers} routers, {per_s}/s: {most}");
        }
    }
}

/// Guards against a router that takes the whole rate while no allocator answers it, and against one that
/// sends nothing and so never learns that the limit has ended.
#[test]
fn routers_without_an_allocator_send_a_small_part() {
    for routers in [3, 7, 95] {
        let mut fleet = Fleet::new(routers, 40.0, FAST);
        // Everyone takes another router for the allocator.
        fleet.allocators = (0..routers).map(|router| (router + 1) % routers).collect();
        fleet.run(0, 30_000);
        let (most, sent) = (fleet.most_in_window(), fleet.sent.len());
        assert!(most <= 40 + routers, "{routers} routers: {most}");
        assert!(sent > 100, "{routers} routers: {sent}");
    }
}

/// Guards against a limit that outlives the process that stated it, and against one that ends by a response
/// to a request that was sent before it was stated.
#[test]
fn limit_ends_with_a_later_response_or_another_run() {
    let mut pool = pool();
    let choice = plain::choose(&pool, at(0)).expect("no limit");
    assert!(!pool.record_rate(at(0), &choice, at(0), None));
    assert!(pool.record_rate(at(10), &choice, at(5), rate(2.0)));
    assert!(
        !pool.record_rate(at(20), &choice, at(15), rate(3.0)),
        "known"
    );
    assert!(
        !pool.record_rate(at(30), &choice, at(8), None),
        "sent before"
    );
    assert_eq!(plain::choose(&pool, at(30)), None);
    assert!(pool.record_rate(at(40), &choice, at(25), None));
    assert!(plain::choose(&pool, at(40)).is_some());

    pool.record_rate(at(50), &choice, at(45), rate(2.0));
    pool.set_entries(vec![entry(2)], None);
    let later = plain::choose(&pool, at(60)).expect("the later run states no rate");
    assert!(
        !pool.record_rate(at(70), &choice, at(65), rate(2.0)),
        "earlier run"
    );
    assert!(pool.record_rate(at(80), &later, at(75), rate(2.0)));
    assert_eq!(plain::choose(&pool, at(80)), None);
}

/// Guards against routers that go on asking for credits for an upstream that is no longer listed.
#[test]
fn upstream_that_is_gone_limits_nothing() {
    let mut pool = pool();
    let choice = plain::choose(&pool, at(0)).expect("no limit");
    pool.record_rate(at(0), &choice, at(0), rate(2.0));
    assert!(pool.is_limited(at(0)));
    pool.set_entries(Vec::new(), None);
    assert!(!pool.is_limited(at(0)));
    pool.set_entries(vec![entry(1)], None);
    assert!(pool.is_limited(at(0)), "the same run is listed again");
}

/// Guards against an old statement that replaces a later one on its way between routers.
#[test]
fn latest_statement_counts_whoever_passes_it_on() {
    let mut pool = pool();
    let id = "e1".into();
    let statement = |rate, age_ms| Statement {
        run: 1,
        rate,
        age: Span::from_millis(age_ms),
    };
    assert!(pool.merge_rate(at(1_000), &id, statement(rate(2.0), 100)));
    assert_eq!(plain::choose(&pool, at(1_000)), None);
    assert!(
        !pool.merge_rate(at(1_010), &id, statement(None, 500)),
        "older"
    );
    assert!(pool.merge_rate(at(1_020), &id, statement(None, 10)));
    assert!(
        !pool.merge_rate(at(1_030), &id, statement(rate(2.0), 200)),
        "older"
    );
    assert!(plain::choose(&pool, at(1_030)).is_some());
    let expired = statement(rate(2.0), 31_000);
    assert!(!pool.merge_rate(at(90_000), &"e2".into(), expired));
}

/// Guards against a limit of zero that shuts an upstream out for good, and against a division by it.
#[test]
fn rate_of_zero_gets_a_request_now_and_then() {
    for per_s in [0.0, f64::MIN_POSITIVE, 1e-9, 0.05] {
        let mut fleet = Fleet::new(3, per_s, FAST);
        fleet.run(0, 31_000);
        let sent = fleet.sent.len();
        assert!((2..=4).contains(&sent), "{per_s}/s: {sent}");
    }
    let mut fleet = Fleet::new(3, 1e300, FAST);
    fleet.run(0, 100);
    assert!(!fleet.sent.is_empty());
}

/// Guards against an upstream that gets requests at no limit, since the entry of the run before was listed for a moment
/// and its responses replaced the rate of the present run.
#[test]
fn rate_of_the_present_run_holds_after_another_one_was_listed() {
    let mut pool = pool();
    for run in [1, 2, 1] {
        pool.set_entries(vec![entry(run)], None);
        // The limit of a run is known from its first response on.
        if let Some(choice) = plain::choose(&pool, at(0)) {
            pool.record_rate(at(0), &choice, at(0), rate(5.0));
        }
        assert_eq!(plain::choose(&pool, at(5)), None, "run {run}");
    }
    pool.set_entries(vec![entry(2)], None);
    assert_eq!(plain::choose(&pool, at(10)), None, "it has no credit");
}
