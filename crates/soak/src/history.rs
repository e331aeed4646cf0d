//! The history of requests as clients and upstreams observed it, and the checks on it.

mod acknowledged;
mod order;
mod statements;
mod streams;

use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use tsw_fake::worker::{Arrival, Behaviour};

use acknowledged::status;
pub use statements::{Stated, Statement};
pub use streams::{Event, Run, Shares, Stream, StreamCounts, WholeStreams};

use crate::fault::Plan;

/// Maximum number of attempts that the routes allow for a request that may be retried.
pub const MAX_ATTEMPTS: usize = 2;
/// API key of the clients' team.
pub const KEY: &str = "soak-key";
/// Name of the clients' team.
pub const TEAM: &str = "soak";
/// Time after the end of a fault within which a request may still be cut off because of it, as
/// specified by the operators.
const FAULT_AFTERMATH: Duration = Duration::from_secs(4);

/// Kind of a request. Each kind has a route of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May be retried.
    Idempotent,
    /// Must be executed at most once.
    NonIdempotent,
    /// A stream that may be resumed at another upstream.
    ResumableStream,
    /// A stream that must not be resumed.
    Stream,
}

impl Kind {
    /// Returns the name of the route, which is also the first segment of its paths.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "lookup",
            Self::NonIdempotent => "book",
            Self::ResumableStream => "draft",
            Self::Stream => "note",
        }
    }

    /// Returns whether responses are streams.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    const fn max_executions(self) -> usize {
        match self {
            Self::Idempotent | Self::ResumableStream => MAX_ATTEMPTS,
            Self::NonIdempotent | Self::Stream => 1,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    /// The connection to the router could not be opened.
    NoConnection,
    /// The connection was closed before the head of a response arrived.
    ConnectionClosed,
    /// A response.
    Response {
        /// Status.
        status: u16,
        /// Whether it appears complete to the client.
        complete: bool,
        /// Identifier of the request that the response names.
        request_id: Option<String>,
        /// Body as far as it arrived.
        body: Bytes,
    },
    /// The client gave up because nothing arrived for too long after this part of the body.
    Abandoned(Bytes),
    /// Neither a response nor the end of the connection arrived in time.
    Hung,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind of the request.
    pub kind: Kind,
    /// Path.
    pub target: String,
    /// Body.
    pub body: Bytes,
    /// Index of the router that it was sent to.
    pub router: usize,
    /// Version of the configuration that was the newest when it was sent, if the request bears a key
    /// that only this version allows.
    pub configuration: Option<usize>,
    /// The stream that it requests, if its client resumes streams.
    pub stream: Option<Stream>,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time at which it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// A period in which a router or an upstream was affected by a fault or a planned operation.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Start of the period.
    pub start: Instant,
    /// End of the period.
    pub end: Instant,
    /// Whether the cause was a planned operation rather than a fault.
    pub planned: bool,
}

/// A period in which the store did not respond to some routers, or returned from a copy.
#[derive(Clone, Copy, Debug)]
pub struct StoreDisturbance {
    /// The only router that was affected, or none if all were.
    pub router: Option<usize>,
    /// Start of the period.
    pub start: Instant,
    /// End of the period.
    pub end: Instant,
}

/// A request that an upstream received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of the upstream.
    pub upstream: usize,
    /// The request, with the behaviour of the upstream.
    pub arrival: Arrival,
}

/// What clients and upstreams observed.
#[derive(Debug, Default)]
pub struct History {
    /// What the run plays.
    pub plan: Plan,
    /// Requests of clients by identifier.
    pub requests: IndexMap<String, Request>,
    /// Requests that upstreams received.
    pub received: Vec<ReceivedRequest>,
    /// Disturbances of each router.
    pub router_disturbances: Vec<Vec<Disturbance>>,
    /// Times at which each router was started.
    pub router_starts: Vec<Vec<Instant>>,
    /// Periods in which upstreams served.
    pub runs: Vec<Run>,
    /// Disturbances of each upstream and of the links to and from it.
    pub upstream_disturbances: IndexMap<usize, Vec<Disturbance>>,
    /// Disturbances of the store and of the links to it.
    pub store_disturbances: Vec<StoreDisturbance>,
    /// Times at which the store acknowledged that an upstream is draining or gone, by its number.
    pub departures: IndexMap<usize, Vec<Instant>>,
    /// Periods in which upstreams stated something in their responses.
    pub statements: Vec<Statement>,
    /// Times at which the store acknowledged the versions of the configuration, of which the first
    /// is 1.
    pub configurations: Vec<Instant>,
}

/// Returns the API key that only this version of the configuration allows.
#[must_use]
pub fn key(version: usize) -> String {
    format!("{KEY}-{version}")
}

impl History {
    /// Returns a description of each violated guarantee.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut executions: IndexMap<&str, Vec<&ReceivedRequest>> = IndexMap::new();
        let mut violations = Vec::new();
        for received in &self.received {
            let arrival = &received.arrival;
            let id = arrival.head.fields.text("Attempt-Id").unwrap_or_default();
            match self.requests.get(id) {
                Some(request) => violations.extend(forwarding_violations(id, request, arrival)),
                None => violations.push(format!("no client sent it: {received:?}")),
            }
            if arrival.behaviour != Behaviour::NotRun {
                executions.entry(id).or_default().push(received);
            }
        }
        for (id, request) in &self.requests {
            let executions = executions.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let found = [
                execution_violation(request, executions),
                self.response_violation(id, request, executions.len()),
                self.cut_violation(request, executions),
            ];
            let found = found.into_iter().flatten();
            violations.extend(found.map(|violation| format!("{id}: {violation}; {request:?}")));
        }
        violations.extend(self.late_arrivals());
        violations.extend(self.outdated_refusals());
        violations.extend(self.exceeded_rates());
        violations.extend(self.requests_while_leaving());
        violations.extend(self.requests_while_paused());
        violations.extend(self.joined_streams());
        violations.extend(self.misplaced_events());
        violations.extend(self.executed_refusals());
        violations.extend(self.lost_resumes());
        violations
    }

    /// Returns the ratio of the requests sent since `from` that were served.
    #[must_use]
    pub fn served_ratio(&self, from: Instant) -> f64 {
        let sent = self
            .requests
            .values()
            .filter(|request| request.sent >= from);
        let (mut total, mut served) = (0.0_f64, 0.0);
        for request in sent {
            total += 1.0;
            if matches!(
                &request.end,
                End::Response {
                    status: 200,
                    complete: true,
                    ..
                }
            ) {
                served += 1.0;
            }
        }
        served / total.max(1.0)
    }

    /// Checks that a planned operation does not cut off a request that an upstream is executing.
    fn cut_violation(&self, request: &Request, executions: &[&ReceivedRequest]) -> Option<String> {
        let cut = match &request.end {
            End::ConnectionClosed => true,
            End::Response {
                status, complete, ..
            } => *status == 200 && !complete,
            _ => false,
        };
        let affects = |period: &Disturbance| {
            !period.planned
                && period.start <= request.ended
                && period.end + FAULT_AFTERMATH >= request.sent
        };
        let healthy = |received: &&ReceivedRequest| {
            let disturbances = self.upstream_disturbances.get(&received.upstream);
            let disturbed = disturbances.is_some_and(|periods| periods.iter().any(affects));
            let behaviour = received.arrival.behaviour;
            let is_normal = matches!(
                behaviour,
                Behaviour::Plain
                    | Behaviour::Stream(_)
                    | Behaviour::SlowStream(..)
                    | Behaviour::SlowUnframedStream(..)
            );
            !disturbed && is_normal
        };
        let disturbed = self.router_disturbances[request.router].iter().any(affects);
        let unexplained =
            cut && !disturbed && !executions.is_empty() && executions.iter().all(healthy);
        unexplained.then(|| "was cut off without a fault".to_owned())
    }

    fn response_violation(&self, id: &str, request: &Request, executions: usize) -> Option<String> {
        let (status, complete, request_id, body) = match &request.end {
            End::Response {
                status,
                complete,
                request_id,
                body,
            } => (*status, *complete, request_id.as_deref(), body),
            End::Hung => {
                return Some(
                    "neither a response nor the end of the connection arrived in time".to_owned(),
                )
            }
            End::NoConnection | End::ConnectionClosed | End::Abandoned(_) => return None,
        };
        if request_id.is_some_and(|request_id| request_id != id) {
            return Some("the response names another request".to_owned());
        }
        let refused = matches!(status, 408 | 421 | 429 | 503);
        if refused && executions > 0 && request.kind.max_executions() == 1 {
            return Some(format!("refused with status {status} but executed"));
        }
        if status != 200 || !complete {
            return None;
        }
        if executions == 0 {
            return Some("responded to but never executed".to_owned());
        }
        let is_expected = if request.kind.is_stream() {
            let first = request.first_event();
            let events = request.events();
            let text: String = events.iter().map(ToString::to_string).collect();
            let ids = events.iter().map(|event| event.id);
            body == &text && ids.eq(first..self.plan.stream_events())
        } else {
            *body == format!("answer to {id}")
        };
        (!is_expected)
            .then(|| "the response belongs to another request or is incomplete".to_owned())
    }
}

fn forwarding_violations(id: &str, request: &Request, arrival: &Arrival) -> Vec<String> {
    let fields = &arrival.head.fields;
    let mut violations = Vec::new();
    if arrival.head.target != request.target || arrival.body != request.body {
        violations.push(format!(
            "{id} was changed on the way to the upstream: {arrival:?}"
        ));
    }
    if fields.text("Tenant-Name") != Some(TEAM) {
        violations.push(format!("{id} was forwarded with another team: {arrival:?}"));
    }
    if fields.text("Authorization").is_some() {
        violations.push(format!("{id} was forwarded with the API key of its client"));
    }
    violations
}

fn execution_violation(request: &Request, executions: &[&ReceivedRequest]) -> Option<String> {
    let allowed = request.kind.max_executions();
    let count = executions.len();
    (count > allowed).then(|| format!("executed {count} times, {allowed} allowed"))
}
