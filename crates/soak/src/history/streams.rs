//! Checks of the streams that clients resume while several software versions serve.

use std::{
    fmt,
    time::{Duration, Instant},
};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use tsw_fake::worker::Behaviour;

use super::{acknowledged::CONTACT_TIME, status, End, History, ReceivedRequest, Request};

/// Number of resumed streams from which on the share of those that go on is checked.
const MIN_RESUMED: usize = 12;
/// Number of upstreams of the version of a stream that must serve.
const MIN_UPSTREAMS: usize = 2;

/// The place of a request among the tries of a stream.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Identifier that all tries of the stream share.
    pub id: String,
    /// Last event that the client has received.
    pub last: Option<u64>,
    /// Value of `Resumes`: the attempt that brought the first event.
    pub resumes: Option<String>,
    /// Time limit that the client states.
    pub time_limit: Duration,
}

/// A period in which an upstream served, until it crashed or began to leave.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the upstream.
    pub upstream: usize,
    /// Service of the upstream.
    pub service: &'static str,
    /// Version of its software.
    pub version: String,
    /// Start of the period.
    pub start: Instant,
    /// End of the period, unless it serves at the end of the test.
    pub end: Option<Instant>,
}

/// An event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Identifier of the event.
    pub id: u64,
    /// Version of the software that wrote it.
    pub version: String,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, version } = self;
        write!(f, "id: {id}\ndata: {version} piece {id}\n\n")
    }
}

impl Event {
    /// Parses an event as upstreams write it; an incomplete or other one yields nothing.
    fn parse(text: &str) -> Option<Self> {
        let (id, data) = text.strip_prefix("id: ")?.split_once('\n')?;
        let (version, _) = data.strip_prefix("data: ")?.split_once(' ')?;
        let event = Self {
            id: id.parse().ok()?,
            version: version.to_owned(),
        };
        (event.to_string() == text).then_some(event)
    }
}

/// What became of the tries to resume a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamCounts {
    /// Tries that brought further events or the end of the stream.
    pub resumed: usize,
    /// Streams with events of several versions.
    pub joined: usize,
    /// Tries that were refused.
    pub refused: usize,
    /// Tries that were refused although an upstream of the version of the stream served.
    pub refused_though_served: usize,
    /// Tries that were refused although at least two upstreams of the version of the stream served.
    pub refused_though_two_served: usize,
    /// Responses that look complete before the last event.
    pub ended_early: usize,
}

impl fmt::Display for StreamCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} resumed, {} joined, {} refused, {} of them though their version served, {} though two upstreams \
             of it served, {} ended early",
            self.resumed,
            self.joined,
            self.refused,
            self.refused_though_served,
            self.refused_though_two_served,
            self.ended_early
        )
    }
}

/// Streams of which clients received something.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WholeStreams {
    /// Streams that began.
    pub begun: usize,
    /// Streams that arrived up to their end.
    pub whole: usize,
}

/// Streams at routers in touch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Shares {
    /// Streams that clients requested.
    pub new: usize,
    /// Requested streams that began.
    pub begun: usize,
    /// Streams that clients resumed while enough upstreams of their version served.
    pub resumed: usize,
    /// Resumed streams that went on.
    pub continued: usize,
    /// Resumed streams since whose beginning all routers were restarted.
    pub restarted: usize,
    /// Streams among these that went on.
    pub restarted_continued: usize,
}

impl Request {
    /// Returns the complete events that the client received.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let body: &Bytes = match &self.end {
            End::Response {
                body, status: 200, ..
            }
            | End::Abandoned(body) => body,
            _ => return Vec::new(),
        };
        let text = String::from_utf8_lossy(body);
        text.split_inclusive("\n\n")
            .filter_map(Event::parse)
            .collect()
    }

    /// Returns whether the client received a complete successful response.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(
            self.end,
            End::Response {
                status: 200,
                complete: true,
                ..
            }
        )
    }

    /// Returns whether the client resumes a stream.
    fn is_resume(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| stream.last.is_some())
    }

    /// Returns whether the response promises that the request was not executed.
    fn is_refused(&self) -> bool {
        matches!(status(self), Some(408 | 421 | 429 | 503))
    }

    fn brings_events(&self) -> bool {
        self.is_complete() || !self.events().is_empty()
    }
}

/// The tries of a stream in the order of time, with their identifiers.
type Tries<'a> = Vec<(&'a str, &'a Request)>;

impl History {
    /// Returns what became of the resumes of streams since whose beginning some router has run
    /// without a restart, and of those since whose beginning all routers were restarted.
    #[must_use]
    pub fn stream_counts(&self) -> [StreamCounts; 2] {
        let mut counts = [StreamCounts::default(); 2];
        for tries in self.streams() {
            let Some(began) = began(&tries) else {
                let early = tries.iter().filter(|(_, request)| self.ends_early(request));
                counts[0].ended_early += early.count();
                continue;
            };
            if let Some(joining) = joining_try(&tries) {
                counts[usize::from(self.are_all_restarted(began, joining))].joined += 1;
            }
            for (_, request) in &tries {
                let restarted = self.are_all_restarted(began, request);
                counts[usize::from(restarted)].ended_early += usize::from(self.ends_early(request));
            }
            let version = &began.events()[0].version;
            for (_, request) in tries.iter().filter(|(_, request)| request.is_resume()) {
                let counts = &mut counts[usize::from(self.are_all_restarted(began, request))];
                counts.resumed += usize::from(request.brings_events());
                if request.is_refused() {
                    let serving = self.serving(version, request, Duration::ZERO);
                    counts.refused += 1;
                    counts.refused_though_served += usize::from(serving > 0);
                    counts.refused_though_two_served += usize::from(serving >= MIN_UPSTREAMS);
                }
            }
        }
        counts
    }

    /// Returns how many streams began, and how many of them arrived whole.
    #[must_use]
    pub fn whole_streams(&self) -> WholeStreams {
        let mut counts = WholeStreams::default();
        for tries in self.streams() {
            counts.begun += usize::from(began(&tries).is_some());
            let is_whole = tries.iter().any(|(_, request)| request.is_complete());
            counts.whole += usize::from(is_whole);
        }
        counts
    }

    /// Returns the streams that hold events of several versions.
    pub(super) fn joined_streams(&self) -> Vec<String> {
        let streams = self.streams().into_iter();
        let joined = streams.filter(|tries| joining_try(tries).is_some());
        let described = joined.map(|tries| {
            let began = began(&tries).expect("it has events");
            let joining = joining_try(&tries).expect("it is joined");
            let restarted = self.are_all_restarted(began, joining);
            let tries: Vec<String> = tries
                .iter()
                .map(|(id, request)| self.describe(id, request))
                .collect();
            format!(
                "joined from several versions (all routers restarted: {restarted}): {}",
                tries.join("; ")
            )
        });
        described.collect()
    }

    /// Returns the resumes that were refused but executed.
    pub(super) fn executed_refusals(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for received in &self.received {
            let id = received.arrival.head.fields.text("Attempt-Id");
            let Some((id, request)) = id.and_then(|id| self.requests.get_key_value(id)) else {
                continue;
            };
            let executed = received.arrival.behaviour != Behaviour::NotRun;
            if executed && request.is_resume() && request.is_refused() {
                violations.push(format!(
                    "the resume was refused but executed: {}",
                    self.describe(id, request)
                ));
            }
        }
        violations
    }

    /// Checks that the share of resumed streams that go on is at least half of the share of new
    /// streams that begin.
    pub(super) fn lost_resumes(&self) -> Option<String> {
        let (shares, ended) = self.resumes_in_touch();
        let Shares {
            new,
            begun,
            resumed,
            continued,
            ..
        } = shares;
        let is_lost = resumed >= MIN_RESUMED && 2 * continued * new < resumed * begun;
        is_lost.then(|| {
            let ended: Vec<String> = ended
                .iter()
                .map(|(id, request)| self.describe(id, request))
                .collect();
            format!(
                "only {continued} of {resumed} resumed streams went on; {begun} of {new} began: {}",
                ended.join("; ")
            )
        })
    }

    /// Counts the streams that clients request and resume at routers in touch, and of the resumed
    /// ones those of whose version enough upstreams serve.
    #[must_use]
    pub fn shares(&self) -> Shares {
        self.resumes_in_touch().0
    }

    /// Returns the shares and the tries to resume the streams that did not go on.
    fn resumes_in_touch(&self) -> (Shares, Tries<'_>) {
        let (mut shares, mut ended) = (Shares::default(), Tries::new());
        for tries in self.streams() {
            let in_touch = tries.iter().copied().filter(|(_, request)| {
                let (router, sent, ended) = (request.router, request.sent, request.ended);
                self.is_router_calm(router, sent, ended)
                    && self.is_store_stable(router, sent, ended)
            });
            let (mut resumes, first): (Tries<'_>, Tries<'_>) =
                in_touch.partition(|(_, request)| request.is_resume());
            let brings_events = |(_, request): &(&str, &Request)| request.brings_events();
            if !first.is_empty() {
                shares.new += 1;
                shares.begun += usize::from(first.iter().any(brings_events));
            }
            let Some(began) = began(&tries) else { continue };
            let version = &began.events()[0].version;
            resumes
                .retain(|(_, resume)| self.serving(version, resume, CONTACT_TIME) >= MIN_UPSTREAMS);
            let Some((_, last)) = resumes.last() else {
                continue;
            };
            let continues = resumes.iter().any(brings_events);
            let are_restarted = self.are_all_restarted(began, last);
            shares.resumed += 1;
            shares.continued += usize::from(continues);
            shares.restarted += usize::from(are_restarted);
            shares.restarted_continued += usize::from(are_restarted && continues);
            if !continues {
                ended.extend(resumes);
            }
        }
        (shares, ended)
    }

    /// Groups the requests for streams. A request whose client does not resume is a stream of its
    /// own.
    fn streams(&self) -> Vec<Tries<'_>> {
        let mut streams: IndexMap<&str, Tries<'_>> = IndexMap::new();
        for (id, request) in &self.requests {
            if request.kind.is_stream() {
                let stream = request.stream.as_ref().map_or(id, |stream| &stream.id);
                streams.entry(stream).or_default().push((id, request));
            }
        }
        let mut streams: Vec<_> = streams.into_values().collect();
        for tries in &mut streams {
            tries.sort_by_key(|(_, request)| request.sent);
        }
        streams
    }

    /// Returns whether each router was started after a stream had begun and before a try of it ended.
    fn are_all_restarted(&self, began: &Request, request: &Request) -> bool {
        let is_between = |start: &Instant| *start > began.sent && *start <= request.ended;
        let mut routers = self.router_starts.iter();
        !self.router_starts.is_empty() && routers.all(|starts| starts.iter().any(is_between))
    }

    /// Returns how many upstreams of a version served streams during a request and for a time before,
    /// undisturbed.
    fn serving(&self, version: &str, request: &Request, before: Duration) -> usize {
        let from = request.sent.checked_sub(before).unwrap_or(request.sent);
        let serves = |run: &&Run| {
            let disturbances = self.upstream_disturbances.get(&run.upstream);
            let is_disturbed = disturbances.is_some_and(|periods| {
                let mut periods = periods.iter();
                periods.any(|period| period.start <= request.ended && period.end >= from)
            });
            run.service == "model"
                && run.version == version
                && run.start <= from
                && run.end.is_none_or(|end| end >= request.ended)
                && !is_disturbed
        };
        self.runs.iter().filter(serves).count()
    }

    /// Describes a try of a stream and the upstreams that it reached.
    pub(super) fn describe(&self, id: &str, request: &Request) -> String {
        let reaches = |received: &&ReceivedRequest| {
            received.arrival.head.fields.text("Attempt-Id") == Some(id)
        };
        let reached = self.received.iter().filter(reaches);
        let upstreams: Vec<String> = reached
            .map(|received| format!("u{}", received.upstream))
            .collect();
        let stream = request.stream.clone().unwrap_or_default();
        let events = request.events();
        let parts = events.chunk_by(|a, b| b.id == a.id + 1 && a.version == b.version);
        let events: Vec<String> = parts
            .map(|part| {
                format!(
                    "{}-{}:{}",
                    part[0].id,
                    part[part.len() - 1].id,
                    part[0].version
                )
            })
            .collect();
        let started = self.router_starts.iter().flatten().min();
        let time = started.map_or(Duration::ZERO, |start| request.sent - *start);
        format!(
            "{id} sent after {} ms to r{} (last event {:?}, resumes {:?}), reached [{}], status {:?}, \
             complete {}, events [{}]",
            time.as_millis(),
            request.router,
            stream.last,
            stream.resumes,
            upstreams.join(" "),
            status(request),
            request.is_complete(),
            events.join(" ")
        )
    }
}

/// Returns the try that brought the first event of a stream.
fn began<'a>(tries: &Tries<'a>) -> Option<&'a Request> {
    let mut requests = tries.iter().map(|(_, request)| *request);
    requests.find(|request| !request.events().is_empty())
}

/// Returns the first try that brought an event of a second version.
fn joining_try<'a>(tries: &Tries<'a>) -> Option<&'a Request> {
    let mut versions = IndexSet::new();
    let mut requests = tries.iter().map(|(_, request)| *request);
    requests.find(|request| {
        versions.extend(request.events().into_iter().map(|event| event.version));
        versions.len() > 1
    })
}
