//! Tests of the entry router's queue, one rule at a time.

use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_grant::{
    entry::{Command, Event, Options, Queue},
    message::{Class, Grant, Id, Request, State},
};

fn home(index: u64) -> host::Id {
    host::Id {
        host: format!("r{index}").parse().expect("valid name"),
        incarnation: host::Incarnation::new(index, 0),
    }
}

fn team() -> name::Team {
    "north".parse().expect("valid name")
}

fn upstream(index: usize) -> name::Upstream {
    format!("engine-{index}").parse().expect("valid name")
}

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn queue(homes: u64) -> Queue {
    let mut queue = Queue::new(
        "reviews".parse().expect("valid name"),
        0,
        Options::default(),
    );
    let upstreams = (0..homes)
        .map(|h| (upstream(h as usize), home(h)))
        .collect();
    queue.handle(ms(0), Event::Homes { upstreams });
    queue
}

fn push(request: u64, class: Class, deadline: Timestamp) -> Event {
    Event::Push {
        request: Request(request),
        team: team(),
        class,
        deadline,
        avoid: None,
        cost: 0,
    }
}

fn grant(from: u64, number: u64, class: Class, seq: u64) -> Event {
    let from_id = home(from);
    Event::Grant {
        grant: Grant {
            service: "reviews".parse().expect("valid name"),
            id: Id {
                home: from_id.incarnation,
                number,
            },
            upstream: upstream(from as usize),
            team: team(),
            class,
            seq,
        },
        from: from_id,
    }
}

fn dispatched(commands: &[Command]) -> Option<Request> {
    commands.iter().find_map(|command| match command {
        Command::Run { request, .. } => Some(*request),
        _ => None,
    })
}

fn reported_states(commands: &[Command]) -> Vec<State> {
    let reports = commands.iter().filter_map(|command| match command {
        Command::Release { release, .. } => Some(release.reports.iter().map(|r| r.state)),
        _ => None,
    });
    reports.flatten().collect()
}

fn advertised(commands: &[Command]) -> u32 {
    let lines = commands.iter().filter_map(|command| match command {
        Command::Demand { demand, .. } => Some(&demand.lines),
        _ => None,
    });
    lines.flatten().map(|line| line.waiting).sum()
}

/// Guards against a router process that was paused, resumes, and uses a grant that has expired.
#[test]
fn grant_that_answers_old_demand_is_returned() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(60_000)));
    let commands = queue.handle(ms(1_002), grant(0, 1, Class::Short, 1));
    assert_eq!(dispatched(&commands), None);
    assert_eq!(reported_states(&commands), [State::Unused]);
}

/// Guards against a duplicate grant that starts a second request or frees a slot in use.
#[test]
fn duplicate_grant_changes_nothing() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(60_000)));
    queue.handle(ms(1), push(2, Class::Short, ms(60_000)));
    let commands = queue.handle(ms(3), grant(0, 1, Class::Short, 1));
    assert_eq!(dispatched(&commands), Some(Request(1)));
    let commands = queue.handle(ms(4), grant(0, 1, Class::Short, 1));
    assert_eq!(
        (dispatched(&commands), reported_states(&commands)),
        (None, Vec::new())
    );
    let ended = Id {
        home: home(0).incarnation,
        number: 1,
    };
    let state = State::Failed;
    queue.handle(
        ms(5),
        Event::End {
            grant: ended,
            state,
        },
    );
    let commands = queue.handle(ms(6), grant(0, 1, Class::Short, 1));
    assert_eq!(
        (dispatched(&commands), reported_states(&commands)),
        (None, Vec::new())
    );
}

/// Guards against an idle slot when a grant arrives after a later one.
#[test]
fn grant_that_arrives_out_of_order_is_used() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(60_000)));
    queue.handle(ms(1), push(2, Class::Short, ms(60_000)));
    let commands = queue.handle(ms(3), grant(0, 2, Class::Short, 1));
    assert_eq!(dispatched(&commands), Some(Request(1)));
    let commands = queue.handle(ms(4), grant(0, 1, Class::Short, 1));
    assert_eq!(dispatched(&commands), Some(Request(2)));
}

/// Guards against running a request that was already rejected as not run.
#[test]
fn expired_request_does_not_run() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(100)));
    let commands = queue.handle(ms(100), grant(0, 1, Class::Short, 1));
    assert_eq!(
        commands[0],
        Command::Expire {
            request: Request(1)
        }
    );
    assert_eq!(dispatched(&commands), None);
    assert_eq!(reported_states(&commands), [State::Unused]);
}

/// Guards against a request suspected of crashing upstreams that shares an upstream with others.
#[test]
fn solo_request_uses_only_a_solo_grant() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Solo, ms(60_000)));
    let commands = queue.handle(ms(2), grant(0, 1, Class::Short, 1));
    assert_eq!(dispatched(&commands), None);
    let commands = queue.handle(ms(3), grant(0, 2, Class::Solo, 1));
    assert_eq!(dispatched(&commands), Some(Request(1)));
}

/// Guards against a hedge that is sent to the slow upstream again.
#[test]
fn hedge_avoids_its_upstream() {
    let mut queue = queue(2);
    let event = Event::Push {
        request: Request(1),
        team: team(),
        class: Class::Urgent,
        deadline: ms(60_000),
        avoid: Some(upstream(0)),
        cost: 0,
    };
    queue.handle(ms(1), event);
    // The queue asks the second home first, and the first home after the request has waited 20 ms.
    queue.handle(ms(30), Event::Tick);
    let commands = queue.handle(ms(32), grant(0, 1, Class::Urgent, 2));
    assert_eq!(reported_states(&commands), [State::Unused]);
    let commands = queue.handle(ms(33), grant(1, 1, Class::Urgent, 1));
    assert_eq!(dispatched(&commands), Some(Request(1)));
}

/// Guards against one request that gets a grant from every home, most of which are returned unused.
#[test]
fn single_request_asks_one_home_first_and_all_later() {
    let mut queue = queue(4);
    assert_eq!(
        advertised(&queue.handle(ms(1), push(1, Class::Short, ms(60_000)))),
        1
    );
    let commands = queue.handle(ms(5), Event::Tick);
    assert_eq!(advertised(&commands), 0);
    let commands = queue.handle(ms(25), Event::Tick);
    assert_eq!(advertised(&commands), 3);
}

/// Guards against a home that drops the demand of a request that is still waiting.
#[test]
fn demand_is_refreshed_within_its_time_to_live() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(60_000)));
    assert_eq!(advertised(&queue.handle(ms(100), Event::Tick)), 0);
    assert_eq!(advertised(&queue.handle(ms(251), Event::Tick)), 1);
}

/// Guards against a home that does not learn of running requests after a session was lost.
#[test]
fn new_session_starts_with_holdings_and_demand() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(60_000)));
    queue.handle(ms(3), grant(0, 1, Class::Short, 1));
    queue.handle(ms(4), push(2, Class::Short, ms(60_000)));
    let commands = queue.handle(ms(5), Event::Session { home: home(0) });
    let Command::Holdings { holdings, .. } = &commands[0] else {
        panic!("the first command is not a holdings message: {commands:?}");
    };
    assert_eq!(holdings.held.len(), 1);
    assert_eq!(holdings.held[0].age, Span::from_millis(2));
    assert_eq!(holdings.latest_grant.map(|grant| grant.number), Some(1));
    assert_eq!(advertised(&commands), 1);
}

/// Guards against an upstream whose new home does not learn that a request ended.
#[test]
fn end_is_reported_to_the_new_home() {
    let mut queue = queue(1);
    queue.handle(ms(1), push(1, Class::Short, ms(60_000)));
    queue.handle(ms(3), grant(0, 1, Class::Short, 1));
    let upstreams = vec![(upstream(0), home(9))];
    let commands = queue.handle(ms(4), Event::Homes { upstreams });
    assert!(
        matches!(&commands[0], Command::Holdings { to, holdings } if *to == home(9)
        && holdings.held.len() == 1)
    );
    let grant = Id {
        home: home(0).incarnation,
        number: 1,
    };
    let state = State::Finished {
        token_latency: None,
    };
    let commands = queue.handle(ms(5), Event::End { grant, state });
    assert!(matches!(&commands[0], Command::Release { to, .. } if *to == home(9)));
}
