//! Guards against checks on resumed streams that pass for any history, or that report what is
//! allowed.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tsw_fake::worker::{Arrival, Behaviour};
use tsw_http::{field::Fields, head};
use tsw_soak::{
    fault::Plan,
    history::{
        Disturbance, End, Event, History, Kind, ReceivedRequest, Request, Run, StoreDisturbance,
        Stream, WholeStreams, TEAM,
    },
};

/// A history of one router whose times are in milliseconds. Two upstreams of version `v1` and one of
/// `v2` serve.
struct Case {
    start: Instant,
    history: History,
}

impl Case {
    fn new() -> Self {
        let start = Instant::now() + Duration::from_secs(60);
        let run = |(upstream, version): (usize, &&str)| Run {
            upstream,
            service: "model",
            version: (*version).to_owned(),
            start,
            end: None,
        };
        let runs = ["v1", "v1", "v2"].iter().enumerate().map(run).collect();
        let history = History {
            router_disturbances: vec![Vec::new()],
            router_starts: vec![vec![start]],
            runs,
            ..History::default()
        };
        Self { start, history }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Adds a try of a stream, which brings these events and then breaks, or is refused.
    fn try_stream(&mut self, id: &str, last: Option<u64>, sent_ms: u64, answer: Answer) {
        let stream = id.split('-').next().expect("an identifier");
        let body: String = match answer {
            Answer::Events(versions) => {
                let first = last.map_or(0, |last| last + 1);
                let events = (first..).zip(versions);
                let events = events.map(|(id, version)| Event {
                    id,
                    version: (*version).to_owned(),
                });
                events.map(|event| event.to_string()).collect()
            }
            Answer::Refused(_) => String::new(),
        };
        let request = Request {
            kind: Kind::ResumableStream,
            target: "/draft/a".to_owned(),
            body: Bytes::new(),
            router: 0,
            configuration: None,
            stream: Some(Stream {
                id: stream.to_owned(),
                last,
                ..Stream::default()
            }),
            sent: self.at(sent_ms),
            ended: self.at(sent_ms + 50),
            end: End::Response {
                status: match answer {
                    Answer::Events(_) => 200,
                    Answer::Refused(status) => status,
                },
                complete: matches!(answer, Answer::Refused(_)),
                request_id: Some(id.to_owned()),
                body: Bytes::from(body),
            },
        };
        self.history.requests.insert(id.to_owned(), request);
    }

    /// Records that a request reached an upstream whose connection then broke.
    fn receive(&mut self, id: &str, upstream: usize, behaviour: Behaviour) {
        let mut fields = Fields::default();
        fields.push("Attempt-Id", id.to_owned());
        fields.push("Tenant-Name", TEAM);
        let arrival = Arrival {
            head: head::Request {
                method: Bytes::from_static(b"POST"),
                target: Bytes::from_static(b"/draft/a"),
                http10: false,
                fields,
            },
            body: Bytes::new(),
            behaviour,
            time: self.history.requests[id].sent,
        };
        let received = ReceivedRequest { upstream, arrival };
        self.history.received.push(received);
    }

    /// Adds streams that break after one event and are resumed after 5,000 ms.
    fn resumed_streams(&mut self, count: usize, answer: impl Fn(usize) -> Answer) {
        for stream in 0..count {
            self.try_stream(&format!("s{stream}-0"), None, 100, Answer::Events(&["v1"]));
            let resume = format!("s{stream}-1");
            self.try_stream(&resume, Some(0), 5_000, answer(stream));
        }
    }

    #[track_caller]
    fn expect(&self, text: Option<&str>) {
        let violations = self.history.violations();
        let found = text.is_none_or(|text| violations.iter().all(|found| found.contains(text)));
        let count = usize::from(text.is_some());
        assert!(violations.len() == count && found, "{violations:#?}");
    }
}

/// What a client receives.
#[derive(Clone, Copy)]
enum Answer {
    /// Events of these versions, and then the end of the connection.
    Events(&'static [&'static str]),
    /// A refusal with this status.
    Refused(u16),
}

const JOINED: Option<&str> = Some("joined from several versions");
const LOST: Option<&str> = Some("resumed streams went on");

/// Guards against joined streams that are not seen within one response.
#[test]
fn response_with_events_of_two_versions_is_reported() {
    let mut case = Case::new();
    case.try_stream("a-0", None, 0, Answer::Events(&["v1", "v1"]));
    case.expect(None);
    case.try_stream("b-0", None, 0, Answer::Events(&["v1", "v2"]));
    case.expect(JOINED);
}

/// Guards against joined streams that are not seen over the tries of a client, and against streams
/// of different clients that are taken for one.
#[test]
fn tries_with_events_of_two_versions_are_reported() {
    let mut case = Case::new();
    case.try_stream("a-0", None, 0, Answer::Events(&["v1"]));
    case.try_stream("b-0", None, 0, Answer::Events(&["v2"]));
    case.try_stream("a-1", Some(0), 100, Answer::Refused(503));
    case.try_stream("a-2", Some(0), 200, Answer::Events(&["v1"]));
    case.expect(None);
    case.try_stream("a-3", Some(1), 300, Answer::Events(&["v2"]));
    case.expect(JOINED);
    assert_eq!(case.history.stream_counts()[0].joined, 1);
}

/// Guards against a joined stream that is missed because its second part did not arrive completely.
#[test]
fn events_of_an_abandoned_try_count() {
    let mut case = Case::new();
    case.try_stream("a-0", None, 0, Answer::Events(&["v1"]));
    case.try_stream("a-1", Some(0), 100, Answer::Events(&["v2"]));
    let request = &mut case.history.requests["a-1"];
    request.end = End::Abandoned(Bytes::from("id: 1\ndata: v2 piece 1\n\nid: 2\nda"));
    case.expect(JOINED);
}

/// Guards against refusals of resumes that an upstream may have executed.
#[test]
fn refused_resume_that_was_executed_is_reported() {
    for (behaviour, reported) in [
        (Behaviour::NotRun, None),
        (Behaviour::Stream(6), Some("refused but executed")),
    ] {
        let mut case = Case::new();
        case.try_stream("a-0", None, 0, Answer::Events(&["v1"]));
        case.try_stream("a-1", Some(0), 100, Answer::Refused(503));
        case.receive("a-1", 0, behaviour);
        case.expect(reported);
    }
}

/// Guards against routers that refuse streams that clients resume more often than new ones.
#[test]
fn share_of_resumed_streams_below_half_of_that_of_new_ones_is_reported() {
    let answer = |going_on: usize| {
        move |stream| match stream {
            stream if stream < going_on => Answer::Events(&["v1"]),
            _ => Answer::Refused(503),
        }
    };
    for (count, going_on, reported) in [(12, 6, None), (12, 5, LOST), (11, 0, None)] {
        let mut case = Case::new();
        case.resumed_streams(count, answer(going_on));
        case.expect(reported);
    }
    let mut overloaded = Case::new();
    overloaded.resumed_streams(12, answer(5));
    for stream in 0..12 {
        overloaded.try_stream(&format!("n{stream}-0"), None, 100, Answer::Refused(503));
    }
    overloaded.expect(None);
}

/// Guards against checks of resumes at routers that were disturbed, or of streams whose version is
/// not served.
#[test]
fn resumes_that_need_not_go_on_are_not_counted() {
    let refused = |_| Answer::Refused(503);
    let mut disturbed = Case::new();
    disturbed.resumed_streams(12, refused);
    let period = |end_ms| Disturbance {
        start: disturbed.at(1_000),
        end: disturbed.at(end_ms),
        planned: false,
    };
    let (early, late) = (period(1_900), period(2_100));
    disturbed.history.router_disturbances[0].push(early);
    disturbed.expect(LOST);
    disturbed.history.router_disturbances[0].push(late);
    disturbed.expect(None);
    let mut away = Case::new();
    away.resumed_streams(12, refused);
    away.history.store_disturbances.push(StoreDisturbance {
        router: None,
        start: away.at(1_000),
        end: away.at(2_100),
    });
    away.expect(None);
    let mut left = Case::new();
    left.resumed_streams(12, refused);
    left.history.runs[0].end = Some(left.at(5_000));
    left.expect(None);
}

/// Guards against counts that hide refusals of streams whose version was there, or that mix up
/// whether some router still knew where the stream began.
#[test]
fn resumes_are_counted_by_whether_all_routers_were_restarted() {
    let mut case = Case::new();
    case.try_stream("a-0", None, 100, Answer::Events(&["v2"]));
    case.try_stream("a-1", Some(0), 200, Answer::Refused(503));
    case.try_stream("a-2", Some(0), 300, Answer::Events(&["v2"]));
    let restart = case.at(1_000);
    case.history.router_starts[0].push(restart);
    case.history.runs[2].end = Some(case.at(1_500));
    case.try_stream("a-3", Some(1), 2_000, Answer::Refused(503));
    let [kept, restarted] = case.history.stream_counts();
    assert_eq!(
        (kept.resumed, kept.refused, kept.refused_though_served),
        (1, 1, 1)
    );
    assert_eq!((restarted.resumed, restarted.refused), (0, 1));
    assert_eq!(restarted.refused_though_served, 0);
}

/// Guards against streams that count as whole although they broke and were not resumed, or were never begun.
#[test]
fn streams_are_whole_if_one_try_brings_their_end() {
    let mut case = Case::new();
    case.try_stream("a-0", None, 100, Answer::Events(&["v1"]));
    case.try_stream("a-1", Some(0), 200, Answer::Events(&["v1"]));
    case.try_stream("b-0", None, 100, Answer::Events(&["v1"]));
    case.try_stream("c-0", None, 100, Answer::Refused(503));
    let End::Response { complete, .. } = &mut case.history.requests["a-1"].end else {
        unreachable!("a try ends with a response");
    };
    *complete = true;
    let WholeStreams { begun, whole } = case.history.whole_streams();
    assert_eq!((begun, whole), (2, 1));
}

/// Guards against refusals that count as avoidable although only one upstream of the version served.
#[test]
fn refused_resumes_are_counted_by_the_number_of_upstreams_of_their_version() {
    for (versions, though_two_served) in [(&["v1"], 1), (&["v2"], 0)] {
        let mut case = Case::new();
        case.try_stream("a-0", None, 100, Answer::Events(versions));
        case.try_stream("a-1", Some(0), 200, Answer::Refused(503));
        let [kept, _] = case.history.stream_counts();
        assert_eq!(kept.refused_though_served, 1);
        assert_eq!(kept.refused_though_two_served, though_two_served);
    }
}

/// Guards against events that are missing, repeated or out of order in a response that breaks.
#[test]
fn broken_response_with_misplaced_events_is_reported() {
    let events = |ids: &[u64]| {
        let events = ids.iter().map(|&id| Event {
            id,
            version: "v1".to_owned(),
        });
        let text: String = events.map(|event| event.to_string()).collect();
        Bytes::from(text + "id: 9\nda")
    };
    let misplaced = Some("missing, repeated or out of order");
    for (last, ids, reported) in [
        (None, &[][..], None),
        (None, &[0, 1, 2], None),
        (Some(4), &[5, 6], None),
        (None, &[1, 2], misplaced),
        (None, &[0, 2], misplaced),
        (None, &[0, 0, 1], misplaced),
        (None, &[0, 2, 1], misplaced),
        (Some(4), &[4, 5], misplaced),
        (Some(4), &[6], misplaced),
    ] {
        for is_abandoned in [true, false] {
            let mut case = Case::new();
            case.history.plan = Plan::Returns;
            case.try_stream("a-0", last, 0, Answer::Events(&[]));
            let body = events(ids);
            case.history.requests["a-0"].end = if is_abandoned {
                End::Abandoned(body)
            } else {
                End::Response {
                    status: 200,
                    complete: false,
                    request_id: Some("a-0".to_owned()),
                    body,
                }
            };
            case.expect(reported);
        }
    }
}

/// Guards against ends that look complete before the last event of a long stream and are not seen, after
/// any number of events.
#[test]
fn complete_response_before_the_last_event_is_reported() {
    let reported = Some("belongs to another request or is incomplete");
    for (last, count, reported) in [
        (None, 60, None),
        (None, 59, reported),
        (None, 0, reported),
        (Some(57), 2, None),
        (Some(57), 1, reported),
        (Some(59), 0, None),
        (Some(58), 0, reported),
    ] {
        let mut case = Case::new();
        case.history.plan = Plan::Returns;
        case.try_stream("a-0", last, 0, Answer::Events(&["v1"; 60][..count]));
        let end = &mut case.history.requests["a-0"].end;
        let End::Response { complete, .. } = end else {
            unreachable!("it is a response")
        };
        *complete = true;
        case.receive("a-0", 0, Behaviour::Stream(60));
        case.expect(reported);
        let early = usize::from(reported.is_some());
        assert_eq!(case.history.stream_counts()[0].ended_early, early);
    }
}
