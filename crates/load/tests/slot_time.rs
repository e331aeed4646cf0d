//! Service, utilisation and the fairness gap, computed from small histories.

use tsw_fake::history::{Event, Line, Request};
use tsw_load::{
    check::Run,
    history::{Attempt, Outcome},
    slot_time::{self, Capacity, Timeline},
};

const S: u64 = 1_000_000;

fn capacity() -> Capacity {
    Capacity {
        teams: vec!["a".to_owned(), "b".to_owned()],
        shares: vec![0.5, 0.5],
        slots: 2.0,
        engine_slots: 2.0,
    }
}

fn run(id: &str, start_us: u64, end_us: u64) -> Run {
    Run {
        id: id.to_owned(),
        upstream: "e".to_owned(),
        arrived_us: start_us,
        start_us,
        end_us,
        ended: true,
        ..Run::default()
    }
}

fn attempt(id: &str, team: &str, sent_us: u64, ended_us: u64) -> Attempt {
    Attempt {
        operation: 1,
        id: id.to_owned(),
        team: team.to_owned(),
        service: "reviews".to_owned(),
        repeatable: true,
        key: String::new(),
        router: "r00".to_owned(),
        asked: 5,
        sent_us,
        first_us: 0,
        ended_us,
        outcome: Outcome::Complete,
        status: 200,
        reason: String::new(),
        tokens: 5,
        intact: true,
    }
}

fn close(left: f64, right: f64) {
    assert!((left - right).abs() < 0.01, "{left} is not {right}");
}

/// Guards against a gap that misses a team which waits while another one gets everything.
#[test]
fn gap_grows_while_one_team_gets_everything() {
    let attempts = [
        attempt("a1", "a", 0, 4 * S),
        attempt("a2", "a", 0, 4 * S),
        attempt("a3", "a", 0, 6 * S),
        attempt("b1", "b", 0, 6 * S),
    ];
    let runs = [
        run("a1", S, 4 * S),
        run("a2", S, 4 * S),
        run("b1", 4 * S, 6 * S),
    ];
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    let timeline = Timeline::new(capacity(), &runs, &attempts);
    // Team a receives two slots of two for 3 s; its share is one of them.
    close(timeline.fairness_gap(0, 6 * S), 6.0);
    close(timeline.received(0, 6 * S)[0], 6.0);
}

/// Guards against a gap between teams of which one does not wait.
#[test]
fn gap_ignores_teams_without_waiting_requests() {
    let attempts = [
        attempt("a1", "a", 0, 4 * S),
        attempt("b1", "b", 3 * S, 4 * S),
    ];
    let runs = [run("a1", S, 4 * S), run("b1", 3 * S, 4 * S)];
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    close(
        Timeline::new(capacity(), &runs, &attempts).fairness_gap(0, 4 * S),
        0.0,
    );
}

/// Guards against more service than slots when an engine runs more requests than it has slots.
#[test]
fn overloaded_engines_divide_their_slots() {
    let names = ["a1", "a2", "a3", "b1"];
    let attempts: Vec<Attempt> = names
        .iter()
        .map(|id| attempt(id, &id[..1], 0, 2 * S))
        .collect();
    let runs = names.map(|id| run(id, 0, 2 * S));
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    let timeline = Timeline::new(capacity(), &runs, &attempts);
    let served = timeline.received(0, 2 * S);
    close(served[0], 3.0);
    close(served[1], 1.0);
}

/// Guards against idle slots that are not counted although a request waits.
#[test]
fn utilisation_counts_idle_slots_while_requests_wait() {
    let attempts = [
        attempt("a1", "a", 0, 10 * S),
        attempt("a2", "a", 0, 10 * S),
        attempt("a3", "a", 0, 10 * S),
    ];
    let runs = [
        run("a1", S, 10 * S),
        run("a2", 5 * S, 10 * S),
        run("a3", 9 * S, 10 * S),
    ];
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    let timeline = Timeline::new(capacity(), &runs, &attempts);
    // Of two slots, one idles from 1 s to 5 s.
    close(timeline.utilisation(S, 9 * S).0, 0.75);
}

/// Guards against lines of one run being paired with those of another.
#[test]
fn lines_become_runs() {
    let line = |time_us, upstream: &str, event, run, id: &str| Line {
        time_us,
        upstream: upstream.to_owned(),
        event,
        run,
        request: Request {
            request_id: id.to_owned(),
            ..Request::default()
        },
        first: 0,
        tokens: 7,
        queued_us: 2,
        leaving_ms: None,
        digest: String::new(),
    };
    let lines = [
        line(10, "e1", Event::Start, 1, "x"),
        line(11, "e2", Event::Start, 1, "y"),
        line(20, "e1", Event::End, 1, "x"),
        line(30, "e2", Event::Cancel, 1, "y"),
        line(40, "e1", Event::Start, 2, "z"),
    ];
    let runs = slot_time::pair_runs(&lines, 100);
    let ends: Vec<(&str, u64, bool)> = runs
        .iter()
        .map(|run| (run.id.as_str(), run.end_us, run.ended))
        .collect();
    assert_eq!(ends, [("x", 20, true), ("y", 30, false), ("z", 100, false)]);
    assert_eq!(runs[0].arrived_us, 8);
}
