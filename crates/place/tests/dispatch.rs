//! Dispatch of orders at the pace of the weight store.

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Tick},
};
use tsw_config::service::Fencing;
use tsw_place::{Command, Dispatch, Event, Order, Pace, Role};

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
        engines: total,
    }
}

fn at(millis: u64) -> Tick {
    Tick::ZERO + Span::from_millis(millis)
}

/// Ticks every 100 ms and accepts every order; returns the orders with their times.
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

/// Guards against loads beyond the rate of the weight store, which homes share by their engines.
#[test]
fn loads_start_within_the_rate() {
    for (mine, total, rate) in [(10, 10, 1_000), (5, 20, 1_000), (3, 3, 4_000)] {
        let pace = Pace {
            loads_per_1000_s: rate,
            ..Pace::default()
        };
        let mut dispatch = Dispatch::new(pace);
        let order = order(1, &["a", "b", "c"]);
        dispatch.handle(at(0), desired(mine, total, &order, Fencing::Checked));
        let sent = run(&mut dispatch, 0, 60_000, true);
        for (end, _) in &sent {
            let loads = sent.iter().filter(|(at, _)| at <= end).count() * 3;
            let earned = end * rate * mine as u64 / (1_000_000 * total as u64);
            // One order may be ahead of the rate.
            assert!(loads as u64 <= earned + 2 + 3, "{loads} loads by {end} ms");
        }
        assert!(!sent.is_empty());
    }
}

/// Guards against an order that is lost, and one that is repeated after the engine carried it out.
#[test]
fn an_order_is_repeated_until_accepted() {
    let mut dispatch = Dispatch::new(Pace::default());
    let order = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &order, Fencing::Checked));
    let unanswered = run(&mut dispatch, 0, 6_000, false);
    assert!(unanswered.len() >= 3, "{unanswered:?}");
    assert!(run(&mut dispatch, 6_000, 9_000, true).len() <= 1);
    assert_eq!(run(&mut dispatch, 9_000, 60_000, true), Vec::new());
}

/// Guards against an engine that ignores the token and keeps an old order of a paused router.
#[test]
fn engines_that_ignore_the_token_get_the_order_again() {
    let mut dispatch = Dispatch::new(Pace::default());
    let order = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &order, Fencing::Ignored));
    run(&mut dispatch, 0, 5_000, true);
    let repeated = run(&mut dispatch, 5_000, 36_000, true);
    assert_eq!(repeated.len(), 3);
}

/// Guards against a paused router that sends an old order to such an engine as soon as it resumes.
#[test]
fn a_router_that_was_paused_holds_back() {
    let mut dispatch = Dispatch::new(Pace::default());
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

/// Guards against a lower token after a higher one, and against an engine that is asked again with a
/// token that it refused.
#[test]
fn tokens_never_go_back() {
    let mut dispatch = Dispatch::new(Pace::default());
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

/// Guards against an engine that restarts and stays empty.
#[test]
fn a_restarted_engine_gets_its_order_again() {
    let mut dispatch = Dispatch::new(Pace::default());
    let order = order(1, &["a"]);
    dispatch.handle(at(0), desired(1, 1, &order, Fencing::Checked));
    assert_eq!(run(&mut dispatch, 0, 5_000, true).len(), 1);
    let upstream = upstream(0);
    dispatch.handle(at(5_000), Event::Restarted { upstream });
    assert_eq!(run(&mut dispatch, 5_000, 10_000, true).len(), 1);
}
