//! What clients and upstreams saw, and the promises that it must keep.

use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use tsw_fake::worker::{Arrival, Behaviour};

use crate::fault::EVENTS;

/// Most runs of a request that may be repeated: the attempts that the routes allow.
pub const ATTEMPTS: usize = 2;
/// Key of the team that the clients belong to, and its name.
pub const KEY: &str = "soak-key";
/// See [`KEY`].
pub const TEAM: &str = "soak";
/// Time after a fault for which it excuses, as the operators state it.
const CONTACT: Duration = Duration::from_secs(4);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May be repeated.
    Lookup,
    /// Must run once at most.
    Book,
    /// A stream that may go on elsewhere.
    Draft,
    /// A stream that may not.
    Note,
}

impl Kind {
    /// Returns the first segment of the paths of this kind.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Book => "book",
            Self::Draft => "draft",
            Self::Note => "note",
        }
    }

    /// Returns whether answers are streams.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Note)
    }

    const fn runs(self) -> usize {
        match self {
            Self::Lookup | Self::Draft => ATTEMPTS,
            Self::Book | Self::Note => 1,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    /// No connection to the router.
    NoConnection,
    /// The connection ended before the head of an answer.
    Closed,
    /// An answer.
    Answer {
        /// Status.
        status: u16,
        /// Whether it looks complete.
        whole: bool,
        /// Identifier of the request that it names.
        id: Option<String>,
        /// Body as far as it arrived.
        body: Bytes,
    },
    /// Neither an answer nor an end of the connection in time.
    Hung,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind.
    pub kind: Kind,
    /// Path.
    pub target: String,
    /// Body.
    pub body: Bytes,
    /// Router that it was sent to.
    pub router: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// A time in which a router or upstream was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Start.
    pub from: Instant,
    /// End.
    pub to: Instant,
    /// Planned work, not a fault.
    pub planned: bool,
}

/// A request as an upstream saw it.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the upstream.
    pub upstream: usize,
    /// The request, and how it is answered.
    pub arrival: Arrival,
}

/// What clients and upstreams saw.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests by identifier.
    pub requests: IndexMap<String, Request>,
    /// Requests that arrived at upstreams.
    pub runs: Vec<Run>,
    /// Disturbances of each router.
    pub routers: Vec<Vec<Span>>,
    /// Disturbances of each upstream and of the ways to it.
    pub upstreams: IndexMap<usize, Vec<Span>>,
}

impl Ledger {
    /// Returns each broken promise.
    #[must_use]
    pub fn check(&self) -> Vec<String> {
        let mut runs: IndexMap<&str, Vec<&Run>> = IndexMap::new();
        let mut broken = Vec::new();
        for run in &self.runs {
            let arrival = &run.arrival;
            let id = arrival.head.fields.text("Attempt-Id").unwrap_or_default();
            match self.requests.get(id) {
                Some(request) => broken.extend(forwarded(id, request, arrival)),
                None => broken.push(format!("{id} runs and no client sent it")),
            }
            if arrival.behaviour != Behaviour::NotRun {
                runs.entry(id).or_default().push(run);
            }
        }
        for (id, request) in &self.requests {
            let runs = runs.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let faults = [
                ran_too_often(request, runs),
                answered(id, request, runs.len()),
                self.lost(request, runs),
            ];
            let faults = faults.into_iter().flatten();
            broken.extend(faults.map(|fault| format!("{id}: {fault}; {request:?}")));
        }
        broken
    }

    /// Returns the part of the requests sent since `from` that were served.
    #[must_use]
    pub fn served(&self, from: Instant) -> f64 {
        let sent = self.requests.values().filter(|found| found.sent >= from);
        let (mut all, mut served) = (0.0_f64, 0.0);
        for request in sent {
            all += 1.0;
            if matches!(
                &request.end,
                End::Answer {
                    status: 200,
                    whole: true,
                    ..
                }
            ) {
                served += 1.0;
            }
        }
        served / all.max(1.0)
    }

    /// A planned stop or a change must not cut a request that its upstream works on.
    fn lost(&self, request: &Request, runs: &[&Run]) -> Option<String> {
        let cut = match &request.end {
            End::Closed => true,
            End::Answer { status, whole, .. } => *status == 200 && !whole,
            _ => false,
        };
        let disturbs = |span: &Span| {
            !span.planned && span.from <= request.ended && span.to + CONTACT >= request.sent
        };
        let sound = |run: &&Run| {
            let harmed = self.upstreams.get(&run.upstream);
            let harmed = harmed.is_some_and(|spans| spans.iter().any(disturbs));
            let behaviour = run.arrival.behaviour;
            !harmed && matches!(behaviour, Behaviour::Plain | Behaviour::Stream(_))
        };
        let disturbed = self.routers[request.router].iter().any(disturbs);
        let lost = cut && !disturbed && !runs.is_empty() && runs.iter().all(sound);
        lost.then(|| "was cut off without a fault".to_owned())
    }
}

fn forwarded(id: &str, request: &Request, arrival: &Arrival) -> Vec<String> {
    let fields = &arrival.head.fields;
    let mut broken = Vec::new();
    if arrival.head.target != request.target || arrival.body != request.body {
        broken.push(format!("{id} arrives changed: {arrival:?}"));
    }
    if fields.text("Tenant-Name") != Some(TEAM) {
        broken.push(format!("{id} arrives with another team: {arrival:?}"));
    }
    if fields.text("Authorization").is_some() {
        broken.push(format!("{id} arrives with the key of its client"));
    }
    broken
}

fn ran_too_often(request: &Request, runs: &[&Run]) -> Option<String> {
    let most = request.kind.runs();
    (runs.len() > most).then(|| format!("{} runs, {most} allowed", runs.len()))
}

fn answered(id: &str, request: &Request, runs: usize) -> Option<String> {
    let (status, whole, named, body) = match &request.end {
        End::Answer {
            status,
            whole,
            id,
            body,
        } => (*status, *whole, id.as_deref(), body),
        End::Hung => return Some("neither answered nor closed".to_owned()),
        End::NoConnection | End::Closed => return None,
    };
    if named.is_some_and(|named| named != id) {
        return Some("the answer names another request".to_owned());
    }
    let refused = matches!(status, 408 | 421 | 429 | 503);
    if refused && runs > 0 && request.kind.runs() == 1 {
        return Some(format!("refused with {status} and ran"));
    }
    if status != 200 || !whole {
        return None;
    }
    if runs == 0 {
        return Some("answered and never ran".to_owned());
    }
    let expected = if request.kind.is_stream() {
        let events = (0..EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
        events.collect()
    } else {
        format!("answer to {id}")
    };
    (body != &expected).then(|| "the answer is not its own, or not whole".to_owned())
}
