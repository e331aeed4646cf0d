//! Tests each rule of the checker with histories that violate or satisfy it.

use tsw_load::{
    audit_log::{AuditLog, AuditRecord},
    check::{self, Run},
    history::{Attempt, Event, Outcome},
};

fn empty_log() -> AuditLog {
    AuditLog::default()
}

fn attempt(operation: u64, id: &str, outcome: Outcome) -> Attempt {
    Attempt {
        operation,
        id: id.to_owned(),
        team: "web".to_owned(),
        service: "reviews".to_owned(),
        repeatable: true,
        key: String::new(),
        router: "r00".to_owned(),
        asked: 5,
        sent_us: 1_000_000,
        first_us: 1_100_000,
        ended_us: 1_200_000,
        outcome,
        status: 200,
        reason: String::new(),
        tokens: if outcome == Outcome::Complete { 5 } else { 0 },
        intact: true,
    }
}

fn begin(operation: u64) -> Event {
    Event::Begin {
        operation,
        team: "web".to_owned(),
        time_us: 1_000_000,
    }
}

fn run(id: &str, start_us: u64) -> Run {
    Run {
        id: id.to_owned(),
        upstream: "reviews-00".to_owned(),
        start_us,
        end_us: start_us + 50_000,
        tokens: 5,
        ended: true,
        ..Run::default()
    }
}

fn booking(operation: u64, id: &str, outcome: Outcome) -> Attempt {
    Attempt {
        repeatable: false,
        key: "permit.k1".to_owned(),
        asked: 0,
        tokens: 0,
        ..attempt(operation, id, outcome)
    }
}

/// Guards against false violations in a history that satisfies all rules.
#[test]
fn accepts_a_good_history() {
    let events = [
        begin(1),
        Event::Attempt(attempt(1, "1-1", Outcome::None)),
        Event::Attempt(attempt(1, "1-2", Outcome::Complete)),
        begin(2),
        Event::Attempt(booking(2, "2-1", Outcome::None)),
        Event::Attempt(booking(2, "2-2", Outcome::Complete)),
        begin(3),
        Event::Attempt(attempt(3, "3-1", Outcome::NotRun)),
        Event::Revision {
            router: "r00".to_owned(),
            revision: 4,
            time_us: 1,
        },
        Event::Revision {
            router: "r01".to_owned(),
            revision: 3,
            time_us: 2,
        },
    ];
    let booking_run = Run {
        key: "permit.k1".to_owned(),
        ..run("2-1", 1_000_100)
    };
    let findings = check::check(
        &events,
        &[run("1-1", 1), run("1-2", 1_000_000), booking_run],
        &empty_log(),
    );
    assert!(findings.is_clean(), "{:?}", findings.details);
    assert_eq!(findings.operations, 3);
}

/// Guards against overlooking operations without an attempt or without a final outcome.
#[test]
fn finds_operations_without_answer() {
    let events = [
        begin(1),
        begin(2),
        Event::Attempt(attempt(2, "2-1", Outcome::None)),
    ];
    assert_eq!(check::check(&events, &[], &empty_log()).lost, 2);
}

/// Guards against overlooking truncated or wrong responses that are reported as complete.
#[test]
fn finds_incomplete_answers_called_complete() {
    let mut short = attempt(1, "1-1", Outcome::Complete);
    short.tokens = 4;
    let mut wrong = attempt(2, "2-1", Outcome::Complete);
    wrong.intact = false;
    let events = [
        begin(1),
        Event::Attempt(short),
        begin(2),
        Event::Attempt(wrong),
    ];
    assert_eq!(check::check(&events, &[], &empty_log()).lost, 2);
}

/// Guards against overlooking a booking that ran twice with one key, whether the upstream recorded
/// the request id or the key.
#[test]
fn finds_duplicated_executions() {
    let first = booking(1, "1-1", Outcome::None);
    let second = booking(1, "1-2", Outcome::Complete);
    let events = [begin(1), Event::Attempt(first), Event::Attempt(second)];
    let runs = [run("1-1", 1), run("1-2", 2)];
    assert_eq!(check::check(&events, &runs, &empty_log()).duplicated, 1);
    let by_key = |start| Run {
        key: "permit.k1".to_owned(),
        ..run("", start)
    };
    let findings = check::check(&events, &[by_key(1), by_key(2)], &empty_log());
    assert_eq!(findings.duplicated, 1);
}

/// Guards against overlooking requests that are reported as "not run" but ran at an upstream.
#[test]
fn finds_false_not_run() {
    let events = [
        begin(1),
        Event::Attempt(attempt(1, "1-1", Outcome::NotRun)),
        begin(2),
        Event::Attempt(booking(2, "2-1", Outcome::NotRun)),
    ];
    let by_key = Run {
        key: "permit.k1".to_owned(),
        ..run("", 9)
    };
    assert_eq!(
        check::check(&events, &[run("1-1", 5), by_key], &empty_log()).false_not_run,
        2
    );
}

/// Guards against overlooking a request that a graceful stop interrupted, and against counting a
/// request that was sent after the stop.
#[test]
fn finds_requests_cut_by_a_planned_stop() {
    let mut later = attempt(2, "2-1", Outcome::None);
    later.sent_us = 3_000_000;
    let events = [
        Event::Stop {
            router: "r00".to_owned(),
            time_us: 1_100_000,
        },
        begin(1),
        Event::Attempt(attempt(1, "1-1", Outcome::Cut)),
        Event::Gone {
            router: "r00".to_owned(),
            time_us: 2_000_000,
        },
        Event::Attempt(later),
    ];
    assert_eq!(
        check::check(&events, &[], &empty_log()).cut_by_planned_stop,
        1
    );
}

/// Guards against overlooking a router that goes back to an older configuration.
#[test]
fn finds_configuration_reverts() {
    let revision = |revision, time_us| Event::Revision {
        router: "r00".to_owned(),
        revision,
        time_us,
    };
    let events = [revision(2, 1), revision(3, 2), revision(2, 3)];
    assert_eq!(check::check(&events, &[], &empty_log()).config_reverts, 1);
}

/// Guards against overlooking requests that start more than 3 s after the host list showed the
/// upstream as leaving, and against counting earlier ones or those after it is live again.
#[test]
fn finds_late_dispatch() {
    let leaving = |leaving, time_us| Event::Leaving {
        upstream: "reviews-00".to_owned(),
        leaving,
        time_us,
    };
    let events = [leaving(true, 1_000_000), leaving(false, 9_000_000)];
    let runs = [
        run("1-1", 3_900_000),
        run("1-2", 4_100_000),
        run("1-3", 9_500_000),
    ];
    assert_eq!(check::check(&events, &runs, &empty_log()).late_dispatch, 1);
}

/// Guards against overlooking runs without a dispatch in the audit log, refusals of requests that
/// ran, and audit logs that fail verification.
#[test]
fn finds_faults_of_the_audit_log() {
    let record = |event: &str, request: &str| AuditRecord {
        router: "r00".to_owned(),
        event: event.to_owned(),
        request: request.to_owned(),
    };
    let runs = [run("1-1", 1), run("1-2", 2)];
    let records = AuditLog {
        records: vec![record("dispatched", "1-1"), record("refused", "1-1")],
        faults: vec!["line 3 of chain r00 is missing".to_owned()],
    };
    let findings = check::check(&[], &runs, &records);
    assert_eq!((findings.audit_faults, findings.false_not_run), (2, 1));
    let records = AuditLog {
        records: vec![record("dispatched", "1-1"), record("dispatched", "1-2")],
        faults: Vec::new(),
    };
    assert!(check::check(&[], &runs, &records).is_clean());
}
