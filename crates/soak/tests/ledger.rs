//! Guards against a check that passes whatever clients and upstreams saw: each test breaks one
//! promise and expects that it is named.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tsw_fake::worker::{Arrival, Behaviour};
use tsw_http::{field::Fields, head};
use tsw_soak::{
    fault::EVENTS,
    ledger::{End, Kind, Ledger, Request, Run, Span, TEAM},
};

fn request(kind: Kind, end: End) -> Request {
    let sent = Instant::now();
    Request {
        kind,
        target: format!("/{}/a", kind.name()),
        body: Bytes::from_static(b"body"),
        router: 0,
        sent,
        ended: sent + Duration::from_millis(10),
        end,
    }
}

fn arrival(kind: Kind, behaviour: Behaviour) -> Arrival {
    let mut fields = Fields::default();
    fields.push("Attempt-Id", "a");
    fields.push("Tenant-Name", TEAM);
    Arrival {
        head: head::Request {
            method: Bytes::from_static(b"POST"),
            target: Bytes::from(format!("/{}/a", kind.name())),
            http10: false,
            fields,
        },
        body: Bytes::from_static(b"body"),
        behaviour,
    }
}

fn run(arrival: Arrival) -> Run {
    Run {
        upstream: 0,
        arrival,
    }
}

fn answer(status: u16, body: &str) -> End {
    End::Answer {
        status,
        whole: true,
        id: Some("a".to_owned()),
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

fn events(count: u64) -> String {
    let events = (0..count).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect()
}

fn check(request: Request, arrivals: &[Arrival]) -> Vec<String> {
    let ledger = Ledger {
        requests: [("a".to_owned(), request)].into_iter().collect(),
        runs: arrivals.iter().cloned().map(run).collect(),
        routers: vec![Vec::new()],
        ..Ledger::default()
    };
    ledger.check()
}

#[track_caller]
fn expect(broken: &[String], text: &str) {
    assert!(broken.len() == 1 && broken[0].contains(text), "{broken:?}");
}

#[test]
fn proper_answers_pass() {
    let plain = answer(200, "answer to a");
    for kind in [Kind::Lookup, Kind::Book] {
        let run = arrival(kind, Behaviour::Plain);
        assert_eq!(check(request(kind, plain.clone()), &[run]), [""; 0]);
    }
    for kind in [Kind::Draft, Kind::Note] {
        let run = arrival(kind, Behaviour::Stream(EVENTS));
        let end = answer(200, &events(EVENTS));
        assert_eq!(check(request(kind, end), &[run]), [""; 0]);
    }
    let refused = arrival(Kind::Book, Behaviour::NotRun);
    let end = answer(503, "");
    assert_eq!(check(request(Kind::Book, end), &[refused]), [""; 0]);
}

#[test]
fn booking_that_runs_twice_is_found() {
    let run = arrival(Kind::Book, Behaviour::Plain);
    let broken = check(
        request(Kind::Book, answer(200, "answer to a")),
        &[run.clone(), run],
    );
    expect(&broken, "2 runs, 1 allowed");
}

#[test]
fn lookup_that_runs_more_often_than_its_route_allows_is_found() {
    let run = arrival(Kind::Lookup, Behaviour::Plain);
    let broken = check(
        request(Kind::Lookup, answer(200, "answer to a")),
        &[run.clone(), run.clone(), run],
    );
    expect(&broken, "3 runs, 2 allowed");
}

#[test]
fn refusal_of_a_booking_that_ran_is_found() {
    let run = arrival(Kind::Book, Behaviour::Reset);
    expect(
        &check(request(Kind::Book, answer(503, "")), &[run]),
        "refused with 503 and ran",
    );
}

#[test]
fn answers_of_others_and_incomplete_ones_are_found() {
    let run = arrival(Kind::Lookup, Behaviour::Plain);
    let other = request(Kind::Lookup, answer(200, "answer to b"));
    expect(
        &check(other, std::slice::from_ref(&run)),
        "not its own, or not whole",
    );
    let mut named = answer(200, "answer to a");
    if let End::Answer { id, .. } = &mut named {
        *id = Some("b".to_owned());
    }
    let named = request(Kind::Lookup, named);
    expect(&check(named, &[run]), "names another request");
    for text in [events(EVENTS - 1), events(EVENTS).repeat(2)] {
        let run = arrival(Kind::Draft, Behaviour::Stream(EVENTS));
        let broken = check(request(Kind::Draft, answer(200, &text)), &[run]);
        expect(&broken, "not its own, or not whole");
    }
}

#[test]
fn answer_without_a_run_and_run_without_a_request_are_found() {
    let end = answer(200, "answer to a");
    expect(&check(request(Kind::Lookup, end.clone()), &[]), "never ran");
    let mut run = arrival(Kind::Lookup, Behaviour::Plain);
    run.head.fields = Fields::default();
    run.head.fields.push("Attempt-Id", "x");
    let broken = check(request(Kind::Lookup, end), &[run]);
    assert!(broken.iter().any(|text| text.contains("no client sent it")));
}

#[test]
fn changed_requests_and_foreign_teams_are_found() {
    let end = answer(200, "answer to a");
    let mut changed = arrival(Kind::Lookup, Behaviour::Plain);
    changed.body = Bytes::from_static(b"bodx");
    let broken = check(request(Kind::Lookup, end.clone()), &[changed]);
    expect(&broken, "arrives changed");
    let mut key = arrival(Kind::Lookup, Behaviour::Plain);
    key.head.fields.push("Authorization", "Token k");
    let broken = check(request(Kind::Lookup, end), &[key]);
    expect(&broken, "with the key of its client");
}

#[test]
fn request_that_hangs_is_found() {
    let broken = check(request(Kind::Lookup, End::Hung), &[]);
    expect(&broken, "neither answered nor closed");
}

#[test]
fn request_cut_off_by_planned_work_is_found_and_by_a_fault_is_allowed() {
    let now = Instant::now();
    let span = |planned| Span {
        from: now,
        to: now + Duration::from_secs(1),
        planned,
    };
    for (planned, lost) in [(true, true), (false, false)] {
        let ledger = Ledger {
            requests: [("a".to_owned(), request(Kind::Book, End::Closed))]
                .into_iter()
                .collect(),
            runs: vec![run(arrival(Kind::Book, Behaviour::Plain))],
            routers: vec![vec![span(planned)]],
            ..Ledger::default()
        };
        assert_eq!(!ledger.check().is_empty(), lost, "planned: {planned}");
    }
}
