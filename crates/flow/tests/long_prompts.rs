//! Load: long prompts beside short ones, on engines that serve both, some of which are slow for a while.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    budget::RetryBudget,
    mix::Demand,
    pool::{Choice, Constraints, Entry, Load, Pool, Usage},
    prompt::{Part, Prompt},
    queue::Standing,
    service::Service,
};
use tsw_route::{
    table::{self, Engine, Limits},
    Name,
};

const ENGINE: Engine = Engine {
    slots: 12,
    kv_capacity_tokens: 400_000,
    can_fetch: true,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(60_000 + millis)
}

fn pool(engines: u64) -> Pool {
    let entry = |number: u64| Entry {
        id: format!("e{number}").into(),
        service: "model".into(),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        domain: "north".into(),
        slots: ENGINE.slots,
        leaving: false,
        started_at: 1,
        seq: 1,
        version: None,
    };
    let mut pool = Pool::default();
    pool.set_entries((0..engines).map(entry).collect(), Some(ENGINE));
    pool
}

/// A prompt without shared parts.
fn prompt(id: u64, tokens: u64) -> Prompt {
    let parts = vec![Part { id, tokens }];
    Prompt {
        tokens,
        expected_tokens: 300,
        parts,
    }
}

fn choose(pool: &Pool, now: Timestamp, prompt: &Prompt) -> Choice {
    let constraints = Constraints {
        domain: "north",
        prompt: Some(prompt),
        avoid: &[],
        software: None,
        max_pending_tokens: 14_000,
        can_fetch: false,
        extra_slots: 1,
        report_age: Span::from_millis(100),
    };
    pool.choose(now, &constraints).expect("room")
}

fn set_running(pool: &mut Pool, requests: [u32; 2]) {
    let usage = |(number, requests): (usize, u32)| {
        let usage = Usage {
            requests,
            pending_tokens: 0,
        };
        (format!("e{number}").into(), usage)
    };
    let usages = requests.into_iter().enumerate().map(usage).collect();
    pool.set_peer_report(&"r1".into(), usages);
}

/// Guards against long prompts that pause many streams where an engine with few would do.
#[test]
fn long_prompts_prefer_engines_with_few_streams() {
    let mut pool = pool(2);
    set_running(&mut pool, [6, 1]);
    // Engine 0 has all but 1,500 tokens of the prompt: fewer than the streams there would lose together.
    let long = prompt(7, 12_000);
    let cached = Prompt {
        tokens: 14_000,
        parts: vec![
            long.parts[0],
            Part {
                id: 8,
                tokens: 2_000,
            },
        ],
        ..long.clone()
    };
    assert_eq!(&*choose(&pool, at(0), &long).id, "e1");
    pool.add_prefills(&[("e0".into(), long.parts.clone())]);
    assert_eq!(
        &*choose(&pool, at(0), &cached).id,
        "e0",
        "most of it is cached there"
    );
}

/// Guards against short prompts that queue behind a long one while another engine is free.
#[test]
fn short_prompts_go_where_no_long_one_is_read() {
    let mut pool = pool(2);
    let long = prompt(7, 12_000);
    let choice = choose(&pool, at(0), &long);
    pool.begin(&choice, Some(&long));
    for number in 0..5 {
        let short = prompt(100 + number, 400);
        let other = choose(&pool, at(1), &short);
        assert_ne!(other.id, choice.id);
        pool.begin(&other, Some(&short));
        pool.record_prefill_done(&other);
    }
}

fn record_pauses(pool: &mut Pool, now: Timestamp, pauses_ms: [u64; 3]) {
    for (engine, pause) in pauses_ms.into_iter().enumerate() {
        for _ in 0..10 {
            pool.record_pause_between_events(now, &format!("e{engine}"), Span::from_millis(pause));
        }
    }
}

fn state_speeds(pool: &mut Pool, varies: bool) {
    let mut choices = Vec::new();
    for number in 0..3 {
        let prompt = prompt(number, 5_000);
        let choice = choose(pool, at(0), &prompt);
        pool.begin(&choice, Some(&prompt));
        choices.push((choice, prompt));
    }
    for (choice, _) in choices {
        pool.record_load(
            at(0),
            &choice,
            Load {
                requests: 0,
                varies,
            },
        );
        pool.record_prefill_done(&choice);
        pool.end(&choice);
    }
}

/// Guards against engines that are slow for a while and get as much as the others, so that whatever begins there is
/// late.
#[test]
fn slow_engines_get_less() {
    let share = |varies: bool, from: u64| {
        let mut pool = pool(3);
        state_speeds(&mut pool, varies);
        record_pauses(&mut pool, at(0), [40, 40, 110]);
        record_pauses(&mut pool, at(300), [40, 40, 110]);
        let mut slow = 0;
        for number in 0..30 {
            let prompt = prompt(1_000 + number, 2_000);
            let choice = choose(&pool, at(from), &prompt);
            slow += u32::from(&*choice.id == "e2");
            pool.begin(&choice, Some(&prompt));
            // Each engine works on three prompts at a time.
            if number % 9 == 8 {
                pool.set_entries(Vec::new(), Some(ENGINE));
                pool = self::pool(3);
                state_speeds(&mut pool, varies);
                record_pauses(&mut pool, at(0), [40, 40, 110]);
                record_pauses(&mut pool, at(300), [40, 40, 110]);
            }
        }
        slow
    };
    assert!(
        share(true, 301) < share(true, 60_000),
        "forgotten after a minute"
    );
    assert_eq!(
        share(false, 301),
        share(true, 60_000),
        "engines that state nothing are alike"
    );
}

/// Guards against short prompts of a team over its share that leave no room for its long ones: those fit below the limit
/// only rarely.
#[test]
fn sizes_of_a_team_over_its_share_are_served_alike() {
    let mut service = Service::new(RetryBudget::new(Span::from_secs(10), 0.2, 54.0));
    let configured = table::Service {
        max_connections: 360,
        engine: Some(ENGINE),
        cold_interval: None,
    };
    let limits = Limits {
        tokens_per_s: Some(60_000),
        ..Limits::default()
    };
    service.configure(&configured, &limits);
    let team: Name = "flood".into();
    // Work of each size, and the milliseconds between two requests: 120,000 tokens per second together.
    let sizes = [(1_000, 25), (4_000, 100), (80_000, 2_000)];
    let mut started = [0_u64; 3];
    for millis in 0..60_000 {
        let now = at(millis);
        for (index, (work, every)) in sizes.iter().enumerate() {
            if millis % every != 0 {
                continue;
            }
            let objective = Span::from_millis(800);
            let demand = Demand {
                work: *work,
                objective,
            };
            service.record_request(now, &team, demand, false);
            let limit = Standing::New.share_limit(service.fair_share(now));
            if service.may_start(now, &team, demand, limit) {
                service.record_start(now, &team, demand);
                started[index] += work;
            }
        }
    }
    let total: u64 = started.iter().sum();
    assert!(
        total > 3_300_000,
        "{total} of 3.6 million tokens are served"
    );
    let largest = started[2] as f64 / (60.0 * 40_000.0);
    assert!(
        largest > 0.35,
        "{largest} of the largest requests are served"
    );
}
