//! Tests of slot time, utilisation and fairness gap with small histories.

use tsw_fake::history::{Event, Line, Request};
use tsw_load::{
    check::Run,
    history::{Attempt, Outcome},
    slot_time::{self, Capacity, Timeline},
};

const SECOND_US: u64 = 1_000_000;

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

fn assert_close(left: f64, right: f64) {
    assert!((left - right).abs() < 0.01, "{left} is not {right}");
}

/// Guards against a fairness gap that ignores a team which waits while another one gets all slots.
#[test]
fn gap_grows_while_one_team_gets_everything() {
    let attempts = [
        attempt("a1", "a", 0, 4 * SECOND_US),
        attempt("a2", "a", 0, 4 * SECOND_US),
        attempt("a3", "a", 0, 6 * SECOND_US),
        attempt("b1", "b", 0, 6 * SECOND_US),
    ];
    let runs = [
        run("a1", SECOND_US, 4 * SECOND_US),
        run("a2", SECOND_US, 4 * SECOND_US),
        run("b1", 4 * SECOND_US, 6 * SECOND_US),
    ];
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    let timeline = Timeline::new(capacity(), &runs, &attempts);
    // Team a receives two slots of two for 3 s; its share is one of them.
    assert_close(timeline.fairness_gap(0, 6 * SECOND_US), 6.0);
    assert_close(timeline.received(0, 6 * SECOND_US)[0], 6.0);
}

/// Guards against a fairness gap between teams of which one has no waiting requests.
#[test]
fn gap_ignores_teams_without_waiting_requests() {
    let attempts = [
        attempt("a1", "a", 0, 4 * SECOND_US),
        attempt("b1", "b", 3 * SECOND_US, 4 * SECOND_US),
    ];
    let runs = [
        run("a1", SECOND_US, 4 * SECOND_US),
        run("b1", 3 * SECOND_US, 4 * SECOND_US),
    ];
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    assert_close(
        Timeline::new(capacity(), &runs, &attempts).fairness_gap(0, 4 * SECOND_US),
        0.0,
    );
}

/// Guards against more slot time than the slots have when an engine runs more requests than slots.
#[test]
fn overloaded_engines_divide_their_slots() {
    let names = ["a1", "a2", "a3", "b1"];
    let attempts: Vec<Attempt> = names
        .iter()
        .map(|id| attempt(id, &id[..1], 0, 2 * SECOND_US))
        .collect();
    let runs = names.map(|id| run(id, 0, 2 * SECOND_US));
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    let timeline = Timeline::new(capacity(), &runs, &attempts);
    let served = timeline.received(0, 2 * SECOND_US);
    assert_close(served[0], 3.0);
    assert_close(served[1], 1.0);
}

/// Guards against a utilisation that ignores idle slots while a request waits.
#[test]
fn utilisation_counts_idle_slots_while_requests_wait() {
    let attempts = [
        attempt("a1", "a", 0, 10 * SECOND_US),
        attempt("a2", "a", 0, 10 * SECOND_US),
        attempt("a3", "a", 0, 10 * SECOND_US),
    ];
    let runs = [
        run("a1", SECOND_US, 10 * SECOND_US),
        run("a2", 5 * SECOND_US, 10 * SECOND_US),
        run("a3", 9 * SECOND_US, 10 * SECOND_US),
    ];
    let attempts: Vec<&Attempt> = attempts.iter().collect();
    let timeline = Timeline::new(capacity(), &runs, &attempts);
    // Of two slots, one idles from 1 s to 5 s.
    assert_close(timeline.utilisation(SECOND_US, 9 * SECOND_US).0, 0.75);
}

/// Guards against pairing lines of different runs.
#[test]
fn lines_are_paired_into_runs() {
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
