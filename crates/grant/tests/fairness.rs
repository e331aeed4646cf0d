//! Fairness, utilisation and isolation of teams in a simulated fleet.

mod support;

use support::{Fleet, Outcome, Simulation, Team};
use tsw_base::time::{Span, Timestamp};

const SHARES: [u32; 16] = [
    200, 150, 120, 100, 80, 60, 50, 40, 40, 30, 30, 25, 25, 20, 15, 15,
];

fn secs(secs: u64) -> Timestamp {
    Timestamp::from_micros(secs * 1_000_000)
}

fn sixteen_teams() -> Vec<Team> {
    SHARES.iter().map(|s| Team::new(s * 1_000)).collect()
}

fn run(fleet: Fleet) -> Outcome {
    Simulation::new(fleet).run(secs(5), secs(35))
}

fn percentile(waits: &[f64], part: f64) -> f64 {
    let mut sorted = waits.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * part) as usize]
}

/// Guards against a team that falls behind its share. The gap between any two waiting teams must
/// stay within the fairness target without leaving slots idle.
#[test]
fn gap_and_utilisation_meet_the_target() {
    for seed in [1, 2, 3] {
        let mut fleet = Fleet::new(sixteen_teams());
        fleet.seed = seed;
        let bound = 1.0 / (fleet.capacity() * fleet.smallest_share()) + 0.25;
        let outcome = run(fleet);
        println!(
            "seed {seed}: gap {:.3} s, utilisation {:.4}",
            outcome.gap, outcome.utilisation
        );
        assert!(
            outcome.gap <= bound,
            "seed {seed}: gap {} above {bound}",
            outcome.gap
        );
        assert!(
            outcome.utilisation >= 0.98,
            "utilisation {}",
            outcome.utilisation
        );
        assert!(
            outcome.most_on_upstream <= 4,
            "{} on an upstream",
            outcome.most_on_upstream
        );
    }
}

/// Guards against cost hints that are ignored: hints that are wrong by a factor of up to 1.4 must
/// give a smaller gap than no hints.
#[test]
fn rough_hints_narrow_the_gap() {
    let gap = |hint_factor: f64| -> f64 {
        let gaps = [1, 2].map(|seed| {
            let mut fleet = Fleet::new(sixteen_teams());
            fleet.seed = seed;
            fleet.hint_factor = hint_factor;
            run(fleet).gap
        });
        gaps.iter().sum()
    };
    let (hinted, plain) = (gap(1.4), gap(0.0));
    println!("sum of gaps {hinted:.3} s with hints, {plain:.3} s without");
    assert!(hinted < plain, "{hinted} s with hints, {plain} s without");
}

/// Guards against an error that accumulates: a run three times as long must meet the same bound.
#[test]
fn gap_does_not_grow_with_the_run() {
    let fleet = Fleet::new(sixteen_teams());
    let bound = 1.0 / (fleet.capacity() * fleet.smallest_share()) + 0.25;
    let outcome = Simulation::new(fleet).run(secs(5), secs(95));
    assert!(outcome.gap <= bound, "gap {} above {bound}", outcome.gap);
}

/// Guards against stragglers that are charged only when they end. One request in 30 runs 30 times
/// as long; the gap must stay within the bound for the longest request.
#[test]
fn stragglers_are_charged_as_they_run() {
    let mut fleet = Fleet::new(sixteen_teams());
    for team in &mut fleet.teams {
        team.straggler = 30;
    }
    let bound = 30.0 / (fleet.capacity() * fleet.smallest_share()) + 0.25;
    let outcome = Simulation::new(fleet).run(secs(5), secs(65));
    assert!(outcome.gap <= bound, "gap {} above {bound}", outcome.gap);
    assert!(
        outcome.utilisation >= 0.98,
        "utilisation {}",
        outcome.utilisation
    );
}

/// Guards against homes that learn too late of each other's large charges: each home may be ahead
/// by at most one request per team.
#[test]
fn several_homes_stay_within_one_request_each() {
    for homes in [2, 3, 4] {
        let mut fleet = Fleet::new(sixteen_teams());
        fleet.homes = homes;
        let request = 1.0 / (fleet.capacity() * fleet.smallest_share());
        let bound = homes as f64 * (request + 0.1) + 0.25;
        let outcome = run(fleet);
        println!(
            "{homes} homes: gap {:.3} s, bound {bound:.3} s",
            outcome.gap
        );
        assert!(
            outcome.gap <= bound,
            "{homes} homes: gap {} above {bound}",
            outcome.gap
        );
        assert!(
            outcome.utilisation >= 0.98,
            "utilisation {}",
            outcome.utilisation
        );
    }
}

/// Guards against counts that change when messages are repeated or delayed. A tenth of the messages
/// arrives a second time, up to half a second late, and all messages are reordered.
#[test]
fn late_duplicate_and_reordered_messages_do_no_harm() {
    let mut fleet = Fleet::new(sixteen_teams());
    fleet.jitter = Span::from_millis(5);
    fleet.duplicates = 10;
    let bound = 1.0 / (fleet.capacity() * fleet.smallest_share()) + 0.25;
    let outcome = run(fleet);
    println!(
        "gap {:.3} s, utilisation {:.4}",
        outcome.gap, outcome.utilisation
    );
    assert!(outcome.gap <= bound, "gap {} above {bound}", outcome.gap);
    assert!(
        outcome.most_on_upstream <= 4,
        "{} on an upstream",
        outcome.most_on_upstream
    );
    assert_eq!(outcome.repeated, 0);
}

/// Guards against a team that floods the fleet and thereby starves the team with the smallest
/// share, or delays a team that stays below its share.
#[test]
fn flood_of_one_team_does_not_delay_the_others() {
    let wait = |flood: usize| {
        let mut light = Team::new(500_000);
        light.backlog = 1;
        light.stride = 7;
        let mut heavy = Team::new(480_000);
        heavy.backlog = flood;
        let mut small = Team::new(20_000);
        small.backlog = 2;
        let outcome = run(Fleet::new(vec![light, heavy, small]));
        let small = outcome.service[2] / (30.0 * 48.0);
        assert!(small >= 0.019, "the smallest share got {small}");
        percentile(&outcome.waits[0], 0.99)
    };
    let (calm, flood) = (wait(4), wait(200));
    println!("p99 wait of the light team: {calm:.2} ms, in the flood {flood:.2} ms");
    assert!(
        flood <= calm * 1.1 + 1.0,
        "p99 wait {flood} ms, without the flood {calm} ms"
    );
}

/// Guards against a burst after idle time: a team that was idle for a minute gets no more than its
/// share plus the idle credit.
#[test]
fn idle_time_does_not_allow_a_burst() {
    let mut late = Team::new(500_000);
    late.active = (secs(60), secs(1_000));
    let fleet = Fleet::new(vec![Team::new(500_000), late]);
    let outcome = Simulation::new(fleet).run(secs(62), secs(72));
    let ratio = outcome.service[1] / outcome.service[0];
    assert!((0.9..=1.1).contains(&ratio), "service ratio {ratio}");
}
