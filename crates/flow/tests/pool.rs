//! Guards against prompts that are read again, engines that are flooded, and upstreams that fail
//! and get work all the same.

use std::collections::BTreeSet;

use tsw_base::time::{Span, Tick};
use tsw_flow::{
    pool::{Ask, Choice, Entry, Pool, Use},
    prompt::{Part, Prompt},
};
use tsw_route::{table::Engine, Name};

const ENGINE: Engine = Engine {
    slots: 8,
    kv_capacity_tokens: 100_000,
    can_fetch: true,
};

fn entry(number: u64) -> Entry {
    Entry {
        id: format!("e{number}").into(),
        service: "model".into(),
        address: format!("10.0.0.{}:80", number + 1)
            .parse()
            .expect("an address"),
        domain: "north".into(),
        slots: 8,
        leaving: false,
        born: 1,
        seq: 1,
    }
}

fn pool(engines: u64) -> Pool {
    let mut pool = Pool::default();
    pool.set_entries((0..engines).map(entry).collect(), Some(ENGINE));
    pool
}

fn prompt(session: u64, own: u64) -> Prompt {
    let parts = vec![
        Part {
            id: session,
            tokens: 4_000,
        },
        Part {
            id: own,
            tokens: 1_000,
        },
    ];
    Prompt {
        tokens: 5_000,
        expected: 100,
        parts,
    }
}

fn ask(prompt: &Prompt) -> Ask<'_> {
    Ask {
        domain: "north",
        prompt: Some(prompt),
        avoid: &[],
        most_unread: 12_000,
        can_fetch: true,
        spare: 1,
        statement_age: Span::from_millis(100),
    }
}

fn at(millis: u64) -> Tick {
    Tick::ZERO + Span::from_millis(1_000 + millis)
}

#[test]
fn routers_that_do_not_talk_send_the_same_session_to_the_same_engine() {
    for session in 0..50 {
        let first = pool(12).choose(at(0), &ask(&prompt(session, 1_000)));
        let second = pool(12).choose(at(0), &ask(&prompt(session, 2_000)));
        assert_eq!(
            first.map(|choice| choice.id),
            second.map(|choice| choice.id)
        );
    }
}

#[test]
fn sessions_are_spread_over_the_engines() {
    let pool = pool(12);
    let mut counts = std::collections::BTreeMap::new();
    for session in 0..600 {
        let choice = pool
            .choose(at(0), &ask(&prompt(session, 1)))
            .expect("an engine");
        *counts.entry(choice.id).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(
        counts.values().all(|count| (20..=90).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn prompt_that_goes_elsewhere_fetches_its_shared_parts() {
    let prompt = prompt(7, 1);
    let mut first = pool(3);
    let home = first.choose(at(0), &ask(&prompt)).expect("an engine");
    assert_eq!(
        (home.unread, home.fetch),
        (5_000, None),
        "no engine holds it yet"
    );
    first.begin(&home, Some(&prompt));
    // Another router hears of the read, and that the engine is busy.
    let mut second = pool(3);
    second.add_read(&first.take_read());
    let used = Use {
        requests: 2,
        unread: 40_000,
    };
    second.set_others(&"r1".into(), vec![(home.id.clone(), used)]);
    let other = second.choose(at(0), &ask(&prompt)).expect("an engine");
    assert_ne!(other.id, home.id);
    assert_eq!((other.unread, other.fetch), (1_000, Some(home.address)));
    // Once fetched, it is held there as well.
    second.begin(&other, Some(&prompt));
    second.read(&other);
    second.end(&other);
    let again = second.choose(at(0), &ask(&prompt)).expect("an engine");
    assert_eq!(again.fetch, None);
}

/// Pattern: many short prompts with a short part that all share. Guards against a part that each
/// engine reads anew, since it is short.
#[test]
fn short_shared_parts_are_fetched_as_well() {
    let short = |own| Prompt {
        tokens: 800,
        expected: 50,
        parts: [(7, 120), (own, 680)]
            .map(|(id, tokens)| Part { id, tokens })
            .to_vec(),
    };
    let mut pool = pool(3);
    let home = pool.choose(at(0), &ask(&short(1))).expect("an engine");
    pool.begin(&home, Some(&short(1)));
    let used = Use {
        requests: 2,
        unread: 10_000,
    };
    pool.set_others(&"r1".into(), vec![(home.id.clone(), used)]);
    let other = pool.choose(at(0), &ask(&short(2))).expect("an engine");
    assert_ne!(other.id, home.id);
    assert_eq!((other.unread, other.fetch), (680, Some(home.address)));
}

#[test]
fn only_shared_parts_are_told_to_other_routers() {
    let prompt = prompt(7, 1);
    let mut pool = pool(3);
    let home = pool.choose(at(0), &ask(&prompt)).expect("an engine");
    pool.begin(&home, Some(&prompt));
    let part = Part {
        id: 7,
        tokens: 4_000,
    };
    assert_eq!(pool.take_read(), [(home.id, vec![part])]);
    assert!(pool.take_read().is_empty(), "each read is told once");
}

/// Pattern: many requests between two statements in a large fleet. Guards against reads that other
/// routers are not told of, so that each of them has the same parts read again.
#[test]
fn reads_between_two_statements_are_told_once_and_completely() {
    let mut pool = pool(3);
    for turn in 0..10 {
        for session in 0..100 {
            let prompt = prompt(session, 1_000 + turn);
            let choice = pool.choose(at(0), &ask(&prompt)).expect("an engine");
            pool.begin(&choice, Some(&prompt));
            pool.read(&choice);
            pool.end(&choice);
        }
    }
    let told = pool.take_read();
    let sessions: BTreeSet<u64> = told.iter().map(|(_, parts)| parts[0].id).collect();
    assert_eq!(sessions.len(), 100);
    let different: BTreeSet<_> = told.iter().map(|(id, parts)| (id, parts[0].id)).collect();
    assert_eq!(different.len(), told.len(), "some are told twice");
}

#[test]
fn engine_with_waiting_prompts_gets_no_more_than_the_limit() {
    let mut pool = pool(1);
    let prompt = prompt(7, 1);
    let used = Use {
        requests: 1,
        unread: 11_500,
    };
    pool.set_others(&"r2".into(), vec![("e0".into(), used)]);
    assert_eq!(pool.choose(at(0), &ask(&prompt)), None);
    let used = Use {
        requests: 1,
        unread: 0,
    };
    pool.set_others(&"r2".into(), vec![("e0".into(), used)]);
    assert!(
        pool.choose(at(0), &ask(&prompt)).is_some(),
        "a long prompt starts on an idle engine"
    );
}

#[test]
fn engine_whose_slots_are_taken_gets_no_request() {
    let mut pool = pool(1);
    let used = Use {
        requests: 8,
        unread: 0,
    };
    pool.set_others(&"r2".into(), vec![("e0".into(), used)]);
    assert_eq!(pool.choose(at(0), &ask(&prompt(7, 1))), None);
    pool.set_others(&"r2".into(), Vec::new());
    assert!(
        pool.choose(at(0), &ask(&prompt(7, 1))).is_some(),
        "the other router ended"
    );
}

#[test]
fn upstream_that_fails_while_its_health_check_passes_is_avoided() {
    let mut pool = pool(3);
    let bad: Name = "e0".into();
    for _ in 0..4 {
        pool.failed(at(0), &bad);
    }
    for session in 0..60 {
        let choice = pool
            .choose(at(10), &ask(&prompt(session, 1)))
            .expect("an engine");
        assert_ne!(choice.id, bad);
    }
    let tried = |millis| {
        (0..60).any(|session| {
            let choice = pool.choose(at(millis), &ask(&prompt(session, 1)));
            choice.is_some_and(|choice| choice.id == bad)
        })
    };
    assert!(tried(10_000), "it is tried again later");
}

#[test]
fn unreachable_upstream_is_left_alone_for_longer_each_time() {
    let mut pool = pool(2);
    let prompt = prompt(7, 1);
    // The other engine has no room, so that only `e0` can be chosen.
    let busy = Use {
        requests: 8,
        unread: 40_000,
    };
    pool.set_others(&"r2".into(), vec![("e1".into(), busy)]);
    let chosen = |pool: &Pool, millis| pool.choose(at(millis), &ask(&prompt)).is_some();
    assert!(chosen(&pool, 0));
    pool.unreachable(at(0), "e0");
    // Requests that failed at the same time do not add up.
    pool.unreachable(at(1), "e0");
    assert!(!chosen(&pool, 200));
    assert!(chosen(&pool, 300));
    pool.unreachable(at(300), "e0");
    assert!(!chosen(&pool, 700));
    pool.answered(at(900), "e0");
    assert!(chosen(&pool, 901));
}

#[test]
fn request_is_tried_on_a_failing_upstream_rather_than_nowhere() {
    let mut pool = pool(1);
    pool.unreachable(at(0), "e0");
    assert!(pool.choose(at(1), &ask(&prompt(7, 1))).is_some());
}

#[test]
fn restarted_engine_holds_nothing() {
    let mut pool = pool(2);
    let prompt = prompt(7, 1);
    let home = pool.choose(at(0), &ask(&prompt)).expect("an engine");
    pool.begin(&home, Some(&prompt));
    pool.read(&home);
    let again = pool.choose(at(0), &ask(&prompt)).expect("an engine");
    assert_eq!((&again.id, again.unread), (&home.id, 0));
    let entries = (0..2).map(entry).map(|entry| Entry {
        born: if entry.id == home.id { 2 } else { 1 },
        ..entry
    });
    pool.set_entries(entries.collect(), Some(ENGINE));
    let choice = pool.choose(at(0), &ask(&prompt)).expect("an engine");
    assert_eq!(
        (choice.unread, choice.fetch),
        (5_000, None),
        "what it held is gone"
    );
}

#[test]
fn leaving_upstream_gets_no_request() {
    let mut pool = pool(2);
    let entries = (0..2).map(|number| Entry {
        leaving: number == 0,
        ..entry(number)
    });
    pool.set_entries(entries.collect(), Some(ENGINE));
    for session in 0..60 {
        let choice = pool
            .choose(at(0), &ask(&prompt(session, 1)))
            .expect("an engine");
        assert_eq!(&*choice.id, "e1");
    }
}

/// Guards against requests that cross failure domains for nothing, and against engines of a failure
/// domain that are flooded while those of others are idle.
#[test]
fn requests_stay_in_their_failure_domain_while_its_engines_are_as_free() {
    let mut pool = Pool::default();
    let entries = (0..8).map(|number| Entry {
        domain: if number < 4 { "north" } else { "south" }.into(),
        ..entry(number)
    });
    pool.set_entries(entries.collect(), Some(ENGINE));
    let mut far = Vec::new();
    for number in 0..16 {
        // Each prompt has parts of its own, so that no engine holds any of them.
        let prompt = Prompt {
            tokens: 1_000,
            expected: 50,
            parts: vec![Part {
                id: 1_000 + number,
                tokens: 1_000,
            }],
        };
        let choice = pool.choose(at(0), &ask(&prompt)).expect("room");
        let engine: u64 = choice.id[1..].parse().expect("a number");
        far.push(engine >= 4);
        pool.begin(&choice, Some(&prompt));
    }
    assert!(far[..4].iter().all(|far| !far), "{far:?}");
    assert!(
        far[4..].iter().any(|far| *far),
        "the near engines are flooded"
    );
}

/// Guards against streams that pause because two long prompts are read beside them at once.
#[test]
fn long_prompts_are_not_read_at_the_same_engine_while_others_are_idle() {
    let mut pool = pool(4);
    let ask = |prompt| Ask {
        can_fetch: false,
        ..ask(prompt)
    };
    let first = prompt(1, 10);
    let holder = pool.choose(at(0), &ask(&first)).expect("room");
    pool.begin(&holder, Some(&first));
    pool.read(&holder);
    // Another prompt is read by the engine that holds the shared parts of the session.
    let other = Choice {
        unread: 3_000,
        ..holder.clone()
    };
    pool.begin(&other, None);
    let second = Prompt {
        tokens: 6_000,
        expected: 100,
        parts: vec![
            Part {
                id: 1,
                tokens: 4_000,
            },
            Part {
                id: 11,
                tokens: 2_000,
            },
        ],
    };
    let choice = pool.choose(at(10), &ask(&second)).expect("room");
    assert_ne!(choice.id, holder.id);
    pool.read(&other);
    let choice = pool.choose(at(200), &ask(&second)).expect("room");
    assert_eq!(choice.id, holder.id, "nothing is read there any more");
}
