//! Load: all routers of a large fleet send plain requests to a few upstreams with few slots, and know of each other what was
//! reported some hundred milliseconds ago.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::pool::{Constraints, Entry, Load, Pool, Usage};

const ROUTERS: u64 = 83;
/// Slots of an upstream and the requests that may wait there before it rejects more.
const SLOTS: u32 = 6;
const UPSTREAM_QUEUE: u32 = 24;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(60_000_000 + micros)
}

fn pool(loads: [u32; 3]) -> Pool {
    let mut pool = Pool::default();
    let entry = |number: usize| Entry {
        id: format!("d{number}").into(),
        service: "desk".into(),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        domain: "north".into(),
        slots: SLOTS,
        leaving: false,
        started_at: 1,
        seq: 1,
        version: None,
    };
    pool.set_entries((0..3).map(entry).collect(), None);
    let usage = |(number, requests): (usize, u32)| {
        let usage = Usage {
            requests,
            pending_tokens: 0,
        };
        (format!("d{number}").into(), usage)
    };
    let reported = loads.into_iter().enumerate().map(usage).collect();
    pool.set_peer_report(&"r1".into(), reported);
    pool
}

fn constraints(report_age_ms: u64) -> Constraints<'static> {
    Constraints {
        domain: "north",
        prompt: None,
        avoid: &[],
        software: None,
        max_pending_tokens: 0,
        can_fetch: false,
        extra_slots: 1,
        report_age: Span::from_millis(report_age_ms),
    }
}

/// Returns how many of the routers choose each upstream, each at a time of its own.
fn choices(report_age_ms: u64) -> [u32; 3] {
    let pool = pool([5, 3, 4]);
    let mut chosen = [0; 3];
    for router in 0..ROUTERS {
        let choice = pool.choose(at(router * 7_919), &constraints(report_age_ms));
        let id = choice.expect("room").id;
        chosen[usize::from(id.as_bytes()[1] - b'0')] += 1;
    }
    chosen
}

/// Guards against a crowd that all routers send to the upstream that was least loaded in the last reports.
#[test]
fn routers_with_old_reports_do_not_all_choose_the_same_upstream() {
    let chosen = choices(400);
    // The reported requests have ended by then.
    let bounds = 1..=ROUTERS as u32 * 2 / 3;
    assert!(
        chosen.iter().all(|count| bounds.contains(count)),
        "{chosen:?}"
    );
    assert!(
        chosen[1] > chosen[0],
        "less loaded ones are preferred: {chosen:?}"
    );
}

/// Guards against a random choice where the reports are fresh.
#[test]
fn routers_with_fresh_reports_choose_the_least_loaded_upstream() {
    assert_eq!(choices(100), [0, ROUTERS as u32, 0]);
}

/// Guards against requests to an upstream that has just stated that it is full, though the reports do not say so.
#[test]
fn stated_load_replaces_older_reports() {
    let mut pool = pool([1, 1, 1]);
    let free = constraints(100);
    let full = Load {
        requests: SLOTS + UPSTREAM_QUEUE,
        varies: true,
    };
    for _ in 0..2 {
        let choice = pool.choose(at(0), &free).expect("room");
        pool.record_load(at(0), &choice, full);
    }
    let third = pool.choose(at(1), &free).expect("room at the third");
    pool.record_load(at(1), &third, full);
    assert_eq!(pool.choose(at(2), &free), None);
    assert!(
        pool.choose(at(1_000_000), &free).is_some(),
        "what was stated is old"
    );
}
