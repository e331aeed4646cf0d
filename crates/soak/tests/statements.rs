//! Guards against checks on the statements of upstreams that pass for any history, or that report what the
//! operators allow.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tsw_fake::worker::{Arrival, Behaviour};
use tsw_http::{field::Fields, head};
use tsw_soak::history::{
    Disturbance, End, History, Kind, ReceivedRequest, Request, Stated, Statement, TEAM,
};

/// A history of upstream 0 and two routers; its times are in milliseconds.
struct Case {
    start: Instant,
    history: History,
}

impl Case {
    fn new(stated: Stated, start_ms: u64, end_ms: u64) -> Self {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let statement = Statement {
            upstream: 0,
            stated,
            start: at(start_ms),
            end: at(end_ms),
        };
        let history = History {
            router_disturbances: vec![Vec::new(); 2],
            router_starts: vec![Vec::new(); 2],
            statements: vec![statement],
            ..History::default()
        };
        Self { start, history }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Adds a request that a router sends to the upstream, which serves it.
    fn served(&mut self, router: usize, sent_ms: u64) {
        let id = format!("{router}-{sent_ms}-{}", self.history.requests.len());
        let mut fields = Fields::default();
        fields.push("Attempt-Id", id.clone());
        fields.push("Tenant-Name", TEAM);
        let target = format!("/lookup/{id}");
        let arrival = Arrival {
            head: head::Request {
                method: Bytes::from_static(b"GET"),
                target: target.clone().into(),
                http10: false,
                fields,
            },
            body: Bytes::new(),
            behaviour: Behaviour::Plain,
            time: self.at(sent_ms + 20),
        };
        let request = Request {
            kind: Kind::Idempotent,
            target,
            body: Bytes::new(),
            router,
            configuration: None,
            stream: None,
            sent: self.at(sent_ms),
            ended: self.at(sent_ms + 50),
            end: End::Response {
                status: 200,
                complete: true,
                request_id: Some(id.clone()),
                body: Bytes::from(format!("answer to {id}")),
            },
        };
        self.history.requests.insert(id, request);
        self.history.received.push(ReceivedRequest {
            upstream: 0,
            arrival,
        });
    }

    /// Lets the upstream reject the last request.
    fn reject_last(&mut self) {
        let last = self.history.received.last_mut().expect("a request");
        last.arrival.behaviour = Behaviour::NotRun;
        let request = self.history.requests.values_mut().last();
        request.expect("a request").end = End::Response {
            status: 503,
            complete: true,
            request_id: None,
            body: Bytes::new(),
        };
    }

    fn violations(&self) -> usize {
        self.history.violations().len()
    }
}

/// Two routers that together send `count` requests in the 4 s before 9,000 ms.
fn two_routers(count: u64) -> Case {
    let mut case = Case::new(Stated::Rate(2.0), 1_000, 20_000);
    case.served(0, 1_100);
    case.served(1, 1_100);
    (0..count).for_each(|number| case.served(number as usize % 2, 5_100 + number * 3_800 / count));
    case
}

#[test]
fn more_requests_than_an_upstream_takes_are_reported() {
    // Two requests a second allow 1.5 x 8 + 5 in 4 s.
    assert_eq!(two_routers(17).violations(), 0);
    assert_eq!(two_routers(18).violations(), 1);
}

#[test]
fn routers_that_do_not_know_of_the_rate_are_not_counted() {
    let mut case = Case::new(Stated::Rate(2.0), 1_000, 20_000);
    (0..40).for_each(|number| case.served(0, 6_000 + number));
    assert_eq!(case.violations(), 0, "all before the first response");

    let mut case = two_routers(40);
    let restart = case.at(3_000);
    case.history.router_starts[1].push(restart);
    let cut = Disturbance {
        start: case.at(2_000),
        end: case.at(2_500),
        planned: false,
    };
    case.history.router_disturbances[0].push(cut);
    assert_eq!(case.violations(), 0, "restarted and cut off");
}

#[test]
fn requests_shortly_after_the_first_statement_are_allowed() {
    let mut case = Case::new(Stated::Rate(2.0), 1_000, 20_000);
    case.served(0, 1_010);
    (0..40).for_each(|number| case.served(0, 1_600 + number * 50));
    assert_eq!(case.violations(), 0, "the window ends before 4,000 ms");
}

#[test]
fn requests_to_an_upstream_that_stated_to_leave_are_reported() {
    let mut case = Case::new(Stated::Leaving, 1_000, 20_000);
    case.served(0, 1_100);
    case.served(0, 3_100);
    case.served(1, 9_000);
    assert_eq!(case.violations(), 0, "in time, and not stated to router 1");
    case.served(0, 3_200);
    assert_eq!(case.violations(), 1);
    let restart = case.at(2_000);
    case.history.router_starts[0].push(restart);
    assert_eq!(case.violations(), 0, "router 0 was restarted");
}

#[test]
fn requests_in_a_pause_are_reported() {
    let pause = Stated::Pause(Duration::from_secs(3));
    let mut case = Case::new(pause, 1_000, 2_000);
    case.served(0, 1_100);
    case.reject_last();
    [1_300, 1_500, 4_200, 4_300]
        .into_iter()
        .for_each(|sent_ms| case.served(0, sent_ms));
    [2_000, 2_100, 2_200]
        .into_iter()
        .for_each(|sent_ms| case.served(1, sent_ms));
    assert_eq!(
        case.violations(),
        0,
        "at once, after the end, and another router"
    );
    [2_000, 3_000]
        .into_iter()
        .for_each(|sent_ms| case.served(0, sent_ms));
    assert_eq!(case.violations(), 0, "two are allowed");
    case.served(0, 3_500);
    assert_eq!(case.violations(), 1);
}
