//! Guards against prompts that are processed again although they are cached, overloaded engines, and
//! requests to upstreams that fail.

use std::collections::BTreeSet;

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    origin::Software,
    pool::{Choice, Constraints, Entry, Pool, Usage},
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
        started_at: 1,
        seq: 1,
        version: None,
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
        expected_tokens: 100,
        parts,
    }
}

fn constraints(prompt: &Prompt) -> Constraints<'_> {
    Constraints {
        domain: "north",
        prompt: Some(prompt),
        avoid: &[],
        software: None,
        max_pending_tokens: 12_000,
        can_fetch: true,
        extra_slots: 1,
        report_age: Span::from_millis(100),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(1_000 + millis)
}

#[test]
fn routers_without_reports_send_a_session_to_the_same_engine() {
    for session in 0..50 {
        let first = pool(12).choose(at(0), &constraints(&prompt(session, 1_000)));
        let second = pool(12).choose(at(0), &constraints(&prompt(session, 2_000)));
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
            .choose(at(0), &constraints(&prompt(session, 1)))
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
fn prompt_sent_to_another_engine_fetches_its_shared_parts() {
    let prompt = prompt(7, 1);
    let mut first = pool(3);
    let home = first
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    assert_eq!(
        (home.uncached_tokens, home.fetch_from),
        (5_000, None),
        "no engine has cached it yet"
    );
    first.begin(&home, Some(&prompt));
    // Another router learns of the prefill, and that the engine is busy.
    let mut second = pool(3);
    second.add_prefills(&first.take_prefills());
    let usage = Usage {
        requests: 2,
        pending_tokens: 40_000,
    };
    second.set_peer_report(&"r1".into(), vec![(home.id.clone(), usage)]);
    let other = second
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    assert_ne!(other.id, home.id);
    assert_eq!(
        (other.uncached_tokens, other.fetch_from),
        (1_000, Some(home.address))
    );
    // Once fetched, the parts are cached there as well.
    second.begin(&other, Some(&prompt));
    second.record_prefill_done(&other);
    second.end(&other);
    let again = second
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    assert_eq!(again.fetch_from, None);
}

/// Sends short prompts that share a short part. Guards against a part that every engine processes
/// again because it is considered too short to fetch.
#[test]
fn short_shared_parts_are_fetched_as_well() {
    let short = |own| Prompt {
        tokens: 800,
        expected_tokens: 50,
        parts: [(7, 120), (own, 680)]
            .map(|(id, tokens)| Part { id, tokens })
            .to_vec(),
    };
    let mut pool = pool(3);
    let home = pool
        .choose(at(0), &constraints(&short(1)))
        .expect("an engine");
    pool.begin(&home, Some(&short(1)));
    let usage = Usage {
        requests: 2,
        pending_tokens: 10_000,
    };
    pool.set_peer_report(&"r1".into(), vec![(home.id.clone(), usage)]);
    let other = pool
        .choose(at(0), &constraints(&short(2)))
        .expect("an engine");
    assert_ne!(other.id, home.id);
    assert_eq!(
        (other.uncached_tokens, other.fetch_from),
        (680, Some(home.address))
    );
}

#[test]
fn only_shared_parts_are_reported_to_other_routers() {
    let prompt = prompt(7, 1);
    let mut pool = pool(3);
    let home = pool
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    pool.begin(&home, Some(&prompt));
    let part = Part {
        id: 7,
        tokens: 4_000,
    };
    assert_eq!(pool.take_prefills(), [(home.id, vec![part])]);
    assert!(
        pool.take_prefills().is_empty(),
        "each prefill is reported once"
    );
}

/// Sends many requests between two reports, as in a large fleet. Guards against prefills missing from
/// the report, so that the other routers have the same parts processed again.
#[test]
fn prefills_between_two_reports_are_reported_completely_and_once() {
    let mut pool = pool(3);
    for turn in 0..10 {
        for session in 0..100 {
            let prompt = prompt(session, 1_000 + turn);
            let choice = pool
                .choose(at(0), &constraints(&prompt))
                .expect("an engine");
            pool.begin(&choice, Some(&prompt));
            pool.record_prefill_done(&choice);
            pool.end(&choice);
        }
    }
    let reports = pool.take_prefills();
    let sessions: BTreeSet<u64> = reports.iter().map(|(_, parts)| parts[0].id).collect();
    assert_eq!(sessions.len(), 100);
    let different: BTreeSet<_> = reports
        .iter()
        .map(|(id, parts)| (id, parts[0].id))
        .collect();
    assert_eq!(different.len(), reports.len(), "some are reported twice");
}

#[test]
fn pending_tokens_of_a_busy_engine_stay_within_the_limit() {
    let mut pool = pool(1);
    let prompt = prompt(7, 1);
    let usage = Usage {
        requests: 1,
        pending_tokens: 11_500,
    };
    pool.set_peer_report(&"r2".into(), vec![("e0".into(), usage)]);
    assert_eq!(pool.choose(at(0), &constraints(&prompt)), None);
    let usage = Usage {
        requests: 1,
        pending_tokens: 0,
    };
    pool.set_peer_report(&"r2".into(), vec![("e0".into(), usage)]);
    assert!(
        pool.choose(at(0), &constraints(&prompt)).is_some(),
        "a long prompt starts on an idle engine"
    );
}

#[test]
fn engine_without_free_slots_gets_no_request() {
    let mut pool = pool(1);
    let usage = Usage {
        requests: 8,
        pending_tokens: 0,
    };
    pool.set_peer_report(&"r2".into(), vec![("e0".into(), usage)]);
    assert_eq!(pool.choose(at(0), &constraints(&prompt(7, 1))), None);
    pool.set_peer_report(&"r2".into(), Vec::new());
    assert!(
        pool.choose(at(0), &constraints(&prompt(7, 1))).is_some(),
        "the other router ended"
    );
}

#[test]
fn upstream_that_fails_while_its_health_check_passes_is_avoided() {
    let mut pool = pool(3);
    let bad: Name = "e0".into();
    for _ in 0..4 {
        pool.record_failure(at(0), &bad);
    }
    for session in 0..60 {
        let choice = pool
            .choose(at(10), &constraints(&prompt(session, 1)))
            .expect("an engine");
        assert_ne!(choice.id, bad);
    }
    let tried = |millis| {
        (0..60).any(|session| {
            let choice = pool.choose(at(millis), &constraints(&prompt(session, 1)));
            choice.is_some_and(|choice| choice.id == bad)
        })
    };
    assert!(tried(10_000), "it is tried again later");
}

#[test]
fn backoff_of_an_unreachable_upstream_doubles() {
    let mut pool = pool(2);
    let prompt = prompt(7, 1);
    // The other engine has no room, so that only `e0` can be chosen.
    let busy = Usage {
        requests: 8,
        pending_tokens: 40_000,
    };
    pool.set_peer_report(&"r2".into(), vec![("e1".into(), busy)]);
    let chosen = |pool: &Pool, millis| pool.choose(at(millis), &constraints(&prompt)).is_some();
    assert!(chosen(&pool, 0));
    pool.record_unreachable(at(0), "e0");
    // Requests that fail at the same time count as one failure.
    pool.record_unreachable(at(1), "e0");
    assert!(!chosen(&pool, 200));
    assert!(chosen(&pool, 300));
    pool.record_unreachable(at(300), "e0");
    assert!(!chosen(&pool, 700));
    pool.record_success(at(900), "e0");
    assert!(chosen(&pool, 901));
}

#[test]
fn failing_upstream_is_used_if_there_is_no_other() {
    let mut pool = pool(1);
    pool.record_unreachable(at(0), "e0");
    assert!(pool.choose(at(1), &constraints(&prompt(7, 1))).is_some());
}

#[test]
fn restarted_engine_has_an_empty_cache() {
    let mut pool = pool(2);
    let prompt = prompt(7, 1);
    let home = pool
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    pool.begin(&home, Some(&prompt));
    pool.record_prefill_done(&home);
    let again = pool
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    assert_eq!((&again.id, again.uncached_tokens), (&home.id, 0));
    let entries = (0..2).map(entry).map(|entry| Entry {
        started_at: if entry.id == home.id { 2 } else { 1 },
        ..entry
    });
    pool.set_entries(entries.collect(), Some(ENGINE));
    let choice = pool
        .choose(at(0), &constraints(&prompt))
        .expect("an engine");
    assert_eq!(
        (choice.uncached_tokens, choice.fetch_from),
        (5_000, None),
        "its cache is lost"
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
            .choose(at(0), &constraints(&prompt(session, 1)))
            .expect("an engine");
        assert_eq!(&*choice.id, "e1");
    }
}

/// Guards against requests that cross failure domains without need, and against engines that are
/// overloaded while those of other failure domains are idle.
#[test]
fn requests_stay_in_their_failure_domain_until_its_engines_are_busier() {
    let mut pool = Pool::default();
    let entries = (0..8).map(|number| Entry {
        domain: if number < 4 { "north" } else { "south" }.into(),
        ..entry(number)
    });
    pool.set_entries(entries.collect(), Some(ENGINE));
    let mut remote = Vec::new();
    for number in 0..16 {
        // No two prompts share parts, so that no engine has any of them cached.
        let prompt = Prompt {
            tokens: 1_000,
            expected_tokens: 50,
            parts: vec![Part {
                id: 1_000 + number,
                tokens: 1_000,
            }],
        };
        let choice = pool.choose(at(0), &constraints(&prompt)).expect("room");
        let engine: u64 = choice.id[1..].parse().expect("a number");
        remote.push(engine >= 4);
        pool.begin(&choice, Some(&prompt));
    }
    assert!(remote[..4].iter().all(|remote| !remote), "{remote:?}");
    assert!(
        remote[4..].iter().any(|remote| *remote),
        "the engines of the own failure domain are overloaded"
    );
}

/// Guards against long gaps in streams because an engine processes two long prompts concurrently.
#[test]
fn long_prompts_are_not_processed_by_one_engine_while_others_are_idle() {
    let mut pool = pool(4);
    let constraints = |prompt| Constraints {
        can_fetch: false,
        ..constraints(prompt)
    };
    let first = prompt(1, 10);
    let holder = pool.choose(at(0), &constraints(&first)).expect("room");
    pool.begin(&holder, Some(&first));
    pool.record_prefill_done(&holder);
    // The engine that has cached the shared parts of the session processes another prompt.
    let other = Choice {
        uncached_tokens: 3_000,
        ..holder.clone()
    };
    pool.begin(&other, None);
    let second = Prompt {
        tokens: 6_000,
        expected_tokens: 100,
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
    let choice = pool.choose(at(10), &constraints(&second)).expect("room");
    assert_ne!(choice.id, holder.id);
    pool.record_prefill_done(&other);
    let choice = pool.choose(at(200), &constraints(&second)).expect("room");
    assert_eq!(choice.id, holder.id, "it has no pending prompts any more");
}

fn versioned(number: u64, version: &str) -> Entry {
    Entry {
        version: Some(version.into()),
        ..entry(number)
    }
}

/// Guards against a stream that goes on at an engine of other software, because those of its own are
/// full, unhealthy or leaving, or because one started again under its name.
#[test]
fn stream_that_has_begun_is_placed_only_at_engines_of_its_software() {
    let v1 = Software::Version("v1".into());
    let prompt = prompt(7, 1);
    let constraints = Constraints {
        software: Some(&v1),
        ..constraints(&prompt)
    };
    let mut pool = Pool::default();
    let entries = vec![versioned(0, "v1"), versioned(1, "v2"), entry(2)];
    pool.set_entries(entries.clone(), Some(ENGINE));
    let e0: Name = "e0".into();
    (0..9).for_each(|_| pool.record_failure(at(0), &e0));
    let choice = pool.choose(at(0), &constraints).expect("room");
    assert_eq!((&choice.id, &choice.software), (&e0, &v1));
    (0..8).for_each(|_| pool.begin(&choice, None));
    assert_eq!(pool.choose(at(0), &constraints), None, "it is full");
    assert!(pool.accepts_at(&v1, &[]));
    assert!(!pool.accepts_at(&v1, &[e0]));
    let changed = [
        Entry {
            leaving: true,
            ..versioned(0, "v1")
        },
        Entry {
            started_at: 2,
            ..versioned(0, "v2")
        },
    ];
    for entry in changed {
        let entries = [&[entry], &entries[1..]].concat();
        pool.set_entries(entries, Some(ENGINE));
        assert_eq!(pool.choose(at(0), &constraints), None);
        assert!(!pool.accepts_at(&v1, &[]));
    }
    // The version comes back.
    pool.set_entries(vec![versioned(9, "v1")], Some(ENGINE));
    assert!(pool.choose(at(0), &constraints).is_some());
}
