//! Upstreams that are cold for some seconds after they start and crash under many requests.
//!
//! Guards against routers that together send more to such an upstream than it takes.

#[path = "support/plain.rs"]
mod plain;

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    pool::{Entry, Pool},
    rate::Rate,
};
use tsw_route::Name;

const ROUTERS: usize = 26;
/// Requests per second that a cold upstream takes, and what the operators allow in any second.
const PER_S: f64 = 8.0;
const MAX_IN_SECOND: usize = 17;
const COLD: Span = Span::from_millis(3_000);

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

fn cold_pool() -> Pool {
    let mut pool = Pool::default();
    pool.set_entries(vec![entry(1)], None);
    assert!(pool.record_cold(at(0), &"e1".into(), 1, (rate(PER_S), at(0) + COLD)));
    pool
}

fn rate(per_s: f64) -> Rate {
    Rate::new(per_s).expect("usable")
}

/// Guards against a fleet in which each router takes a part of its own: all want to send all the time.
#[test]
fn routers_together_keep_to_the_rate_of_a_cold_upstream() {
    let mut routers: Vec<Pool> = (0..ROUTERS).map(|_| cold_pool()).collect();
    let names: Vec<Name> = (0..ROUTERS)
        .map(|number| format!("r{number}").into())
        .collect();
    let mut sent: Vec<Timestamp> = Vec::new();
    for millis in (0..2_900).step_by(10) {
        let now = at(millis);
        for (router, name) in names.iter().enumerate() {
            let planned = [("e1".into(), 2)].into_iter().collect();
            for question in routers[router].questions(now, planned) {
                let asked = (question.credits, now.as_micros());
                routers[0].ask_allocator(now, now, name, &"e1".into(), asked);
            }
        }
        let next_in = routers[0].next_credit_in(now, "e1").unwrap_or(Span::ZERO);
        for (upstream, grant) in routers[0].allocate(now) {
            let to = names
                .iter()
                .position(|name| *name == grant.router)
                .expect("known");
            let asked_at = Timestamp::from_micros(grant.asked_us);
            routers[to].record_answer(now, &upstream, asked_at, &[grant.starts_in], next_in);
        }
        for pool in &mut routers {
            while let Some(choice) = plain::choose(pool, now) {
                pool.use_credit(now, &choice);
                sent.push(now);
            }
        }
    }
    let most = sent.iter().map(|start| {
        let end = *start + Span::from_secs(1);
        sent.iter()
            .filter(|time| *start <= **time && **time < end)
            .count()
    });
    assert!(most.max().unwrap_or(0) <= MAX_IN_SECOND);
    assert!(
        sent.len() > 15,
        "{} in 2.9 s: the upstream idles",
        sent.len()
    );
}

/// Guards against an upstream that stays limited after it has become warm, or whose run before was cold.
#[test]
fn limit_ends_when_the_upstream_is_warm() {
    let mut pool = cold_pool();
    assert_eq!(plain::choose(&pool, at(2_999)), None);
    assert!(pool.is_limited(at(2_999)));
    assert!(plain::choose(&pool, at(3_000)).is_some());
    assert!(!pool.is_limited(at(3_000)));
    let mut other = cold_pool();
    other.set_entries(vec![entry(2)], None);
    assert!(plain::choose(&other, at(10)).is_some(), "another run");
    assert!(
        !pool.record_cold(at(10), &"e1".into(), 7, (rate(PER_S), at(5_000))),
        "not listed"
    );
}

/// Guards against a response that ends the limit since it states no rate: only stated limits end so.
#[test]
fn response_without_a_rate_does_not_warm_an_upstream() {
    let mut pool = cold_pool();
    let warm = at(0) + COLD;
    let choice = plain::choose(&pool, warm).expect("warm");
    assert!(!pool.record_rate(at(20), &choice, at(15), None));
    assert_eq!(plain::choose(&pool, at(30)), None);
    assert!(pool.record_rate(at(40), &choice, at(35), Some(rate(2.0))));
    assert_eq!(plain::choose(&pool, warm), None, "the stated rate holds on");
}

/// Guards against a router that passes the rate of a cold upstream on as a statement, which would outlast it.
#[test]
fn cold_upstreams_state_nothing_to_other_routers() {
    let pool = cold_pool();
    assert_eq!(pool.statements(at(10), Span::from_secs(1)).count(), 0);
}
