//! Tests of the queue of the baseline routers.

use std::{thread, time::Duration};

use tokio::sync::oneshot;
use tsw_load::{
    baseline::{Config, Queue, QueuedRequest, Upstream},
    policy::Policy,
};

fn queue(policy: Policy) -> Queue {
    let any = "127.0.0.1:1".parse().expect("address");
    let upstream = |name: &str| Upstream {
        name: name.to_owned(),
        address: any,
    };
    Queue::new(&Config {
        policy,
        host: "r00".to_owned(),
        domain: "d".to_owned(),
        listen: any,
        operator: any,
        peers: Vec::new(),
        upstreams: vec![upstream("e1"), upstream("e2")],
        slots: 2,
        teams: vec![("large".to_owned(), 0.75), ("small".to_owned(), 0.25)],
        seed: 1,
    })
}

type Granted = oneshot::Receiver<(u64, usize)>;

fn push(queue: &mut Queue, team: usize, cost_hint: u64) -> Granted {
    let (grant, granted) = oneshot::channel();
    queue.push(QueuedRequest {
        team,
        tokens: 1,
        cost_hint,
        grant,
    });
    granted
}

/// Guards against a central queue that does not follow the shares while both teams wait.
#[test]
fn central_follows_the_shares() {
    let mut queue = queue(Policy::Central);
    let mut waiting: Vec<(usize, Granted)> = Vec::new();
    for _ in 0..40 {
        for team in 0..2 {
            waiting.push((team, push(&mut queue, team, 10)));
        }
    }
    let mut counts = [0, 0];
    for _ in 0..10 {
        let mut running = Vec::new();
        waiting.retain_mut(|(team, granted)| match granted.try_recv() {
            Ok((run, _)) => {
                running.push(run);
                counts[*team] += 1;
                false
            }
            Err(_) => true,
        });
        assert_eq!(running.len(), 4);
        thread::sleep(Duration::from_millis(20));
        running.into_iter().for_each(|run| queue.release(run));
    }
    // Each run takes as long as the initial estimate for one token. Of 40 requests of equal cost,
    // 30 are due to the team with three quarters of the shares.
    assert!((27..=33).contains(&counts[0]), "{counts:?}");
}

/// Guards against more requests at an engine than it has slots, and against idle slots.
#[test]
fn slots_are_filled_and_not_exceeded() {
    for policy in [Policy::Central, Policy::Fifo, Policy::TwoChoices] {
        let mut queue = queue(policy);
        let mut waiting: Vec<Granted> = (0..6).map(|_| push(&mut queue, 0, 10)).collect();
        let mut held = [0, 0];
        for granted in &mut waiting {
            if let Ok((_, upstream)) = granted.try_recv() {
                held[upstream] += 1;
            }
        }
        assert_eq!(held, [2, 2], "{policy:?}");
    }
}

/// Guards against long requests of a team that delay its short ones.
#[test]
fn central_serves_short_requests_of_a_team_first() {
    let mut queue = queue(Policy::Central);
    let mut running: Vec<Granted> = (0..4).map(|_| push(&mut queue, 0, 10)).collect();
    let mut long = push(&mut queue, 0, 1_000);
    let mut short = push(&mut queue, 0, 10);
    let (run, _) = running[0].try_recv().expect("a slot");
    queue.release(run);
    assert!(short.try_recv().is_ok());
    assert!(long.try_recv().is_err());
}
