//! Tests of the rate-limited delivery of orders.

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_config::service::Fencing;
use tsw_place::{Command, Dispatch, Event, Options, Order, Role};

fn upstream(number: usize) -> name::Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn order(fence: u64, models: &[&str]) -> Order {
    Order {
        fence,
        models: models.iter().map(|model| model.parse().unwrap()).collect(),
        role: Role::Serve,
    }
}

fn desired(count: usize, total: usize, order: &Order, fencing: Fencing) -> Event {
    let orders: IndexMap<_, _> = (0..count)
        .map(|number| (upstream(number), (order.clone(), fencing)))
        .collect();
    Event::Desired {
        orders,
        total_engines: total,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

/// Ticks every 100 ms and returns the orders with their times. Accepts every order if `accept` is
/// set.
fn run(dispatch: &mut Dispatch, from: u64, to: u64, accept: bool) -> Vec<(u64, Command)> {
    let mut sent = Vec::new();
    for millis in (from..to).step_by(100) {
        for command in dispatch.handle(at(millis), Event::Tick) {
            if accept {
                let (upstream, fence) = (command.upstream.clone(), command.order.fence);
                dispatch.handle(at(millis), Event::Accepted { upstream, fence });
            }
            sent.push((millis, command));
        }
    }
    sent
}

/// Guards against loads beyond the rate of the weight store. Each home gets a fraction of the rate
/// in proportion to its engines.
#[test]
fn loads_start_within_the_rate() {
    for (own, total, rate) in [(10, 10, 1_000), (5, 20, 1_000), (3, 3, 4_000)] {
        let options = Options {
            loads_per_1000_s: rate,
            ..Options::default()
        };
        let mut dispatch = Dispatch::new(options);
        let order = order(1, &["a", "b", "c"]);
        dispatch.handle(at(0), desired(own, total, &order, Fencing::Checked));
        let sent = run(&mut dispatch, 0, 60_000, true);
        for (end, _) in &sent {
            let loads = sent.iter().filter(|(at, _)| at <= end).count() * 3;
            let allowed = end * rate * own as u64 / (1_000_000 * total as u64);
            // The bucket holds 2 loads, and one order of 3 loads may overdraw it.
            assert!(loads as u64 <= allowed + 2 + 3, "{loads} loads by {end} ms");
        }
        assert!(!sent.is_empty());
    }
}

/// Guards against an order that is lost, and against one repeated after the engine accepted it.
#[test]
fn an_order_is_repeated_until_accepted() {
    let mut dispatch = Dispatch::new(Options::default());
    let order = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &order, Fencing::Checked));
    let unanswered = run(&mut dispatch, 0, 6_000, false);
    assert!(unanswered.len() >= 3, "{unanswered:?}");
    assert!(run(&mut dispatch, 6_000, 9_000, true).len() <= 1);
    assert_eq!(run(&mut dispatch, 9_000, 60_000, true), Vec::new());
}

/// Guards against an engine that ignores fencing tokens and keeps an outdated order from a paused
/// router.
#[test]
fn engines_that_ignore_the_token_get_the_order_again() {
    let mut dispatch = Dispatch::new(Options::default());
    let order = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &order, Fencing::Ignored));
    run(&mut dispatch, 0, 5_000, true);
    let repeated = run(&mut dispatch, 5_000, 36_000, true);
    assert_eq!(repeated.len(), 3);
}

/// Guards against a paused router that resumes and sends an outdated order to an engine that
/// ignores fencing tokens.
#[test]
fn a_resumed_router_delays_its_orders() {
    let mut dispatch = Dispatch::new(Options::default());
    let old = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &old, Fencing::Ignored));
    run(&mut dispatch, 0, 1_000, true);
    let resumed = run(&mut dispatch, 60_000, 61_000, true);
    assert_eq!(resumed, Vec::new());
    let new = order(2, &["b"]);
    dispatch.handle(at(60_900), desired(1, 1, &new, Fencing::Ignored));
    let sent = run(&mut dispatch, 61_000, 62_000, true);
    assert!(sent.iter().all(|(_, command)| command.order == new));
    assert_eq!(sent.len(), 1);
}

/// Guards against an order with a lower fencing token than an earlier one, and against repeating an
/// order that the engine refused.
#[test]
fn fencing_tokens_never_decrease() {
    let mut dispatch = Dispatch::new(Options::default());
    let new = order(5, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &new, Fencing::Checked));
    let old = order(4, &["b"]);
    dispatch.handle(at(0), desired(1, 1, &old, Fencing::Checked));
    let sent = run(&mut dispatch, 0, 1_000, false);
    assert!(sent.iter().all(|(_, command)| command.order == new));
    let stale = Event::Stale {
        upstream: upstream(0),
        fence: 5,
    };
    dispatch.handle(at(1_000), stale);
    assert_eq!(run(&mut dispatch, 1_000, 20_000, false), Vec::new());
    let newer = order(6, &["c"]);
    dispatch.handle(at(20_000), desired(1, 1, &newer, Fencing::Checked));
    let sent = run(&mut dispatch, 20_000, 21_000, true);
    assert_eq!(sent[0].1.order, newer);
}

/// Guards against an engine that has no models loaded after a restart.
#[test]
fn a_restarted_engine_gets_its_order_again() {
    let mut dispatch = Dispatch::new(Options::default());
    let order = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &order, Fencing::Checked));
    assert_eq!(run(&mut dispatch, 0, 5_000, true).len(), 1);
    let upstream = upstream(0);
    dispatch.handle(at(5_000), Event::Restarted { upstream });
    assert_eq!(run(&mut dispatch, 5_000, 10_000, true).len(), 1);
}
