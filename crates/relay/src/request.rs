//! A request in the form shared by all interfaces.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    origin::{Key, Origin},
    prompt::Prompt,
    queue::{self, Standing},
    repeat,
};
use tsw_http::field::Fields;
use tsw_route::{table::Route, Name};

/// A request that may be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client's identifier of this attempt. Upstreams repeat it in their responses.
    pub id: Name,
    /// Method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// Header fields that are forwarded.
    pub fields: Fields,
    /// Complete body.
    pub body: Bytes,
    /// Route.
    pub route: Rc<Route>,
    /// Service that runs it.
    pub service: Name,
    /// Team that sent it, unless the route is public.
    pub team: Option<Name>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Prompt parts and tokens, for model engines.
    pub prompt: Option<Prompt>,
    /// Identifier of the event after which the client resumes a stream.
    pub resume_after: Option<Bytes>,
    /// Identifier of the client's attempt that brought the first event of that stream.
    pub resumes: Option<Name>,
    /// Where that stream began, as far as it is known; see [`Router::bind`].
    ///
    /// [`Router::bind`]: crate::router::Router::bind
    pub origin: Option<Origin>,
    /// Whether the record of a router shows that the client resumes a stream.
    pub is_verified: bool,
    /// Time at which the request had arrived in full.
    pub arrived: Timestamp,
    /// Time at which the client gives up.
    pub deadline: Timestamp,
}

impl Request {
    /// Returns when the final response is due: at the deadline, or earlier if the route's timeout
    /// ends first.
    #[must_use]
    pub fn due(&self) -> Timestamp {
        let timeout = u64::try_from(self.route.timeout.as_micros()).unwrap_or(u64::MAX);
        let timeout = tsw_base::time::Span::from_micros(timeout);
        self.deadline.min(self.arrived + timeout)
    }

    /// Returns whether the client resumes a stream of which it has received events.
    #[must_use]
    pub fn is_resume(&self) -> bool {
        let has_events = self.resume_after.is_some() || self.resumes.is_some();
        self.route.kind.is_stream() && has_events
    }

    /// Returns the key of the stream that begins with this request.
    #[must_use]
    pub fn key(&self) -> Key {
        Key::new(self.team(), &self.id)
    }

    /// Returns the key of the stream that the client resumes, if it names one.
    #[must_use]
    pub fn resumed_key(&self) -> Option<Key> {
        let resumes = self.resumes.as_deref().filter(|_| self.is_resume());
        resumes.map(|id| Key::new(self.team(), id))
    }

    /// Returns how far the request has come, given whether its response has begun.
    #[must_use]
    pub fn standing(&self, begun: bool) -> Standing {
        if begun {
            Standing::Begun
        } else if self.is_resume() && self.is_verified {
            Standing::Resumed
        } else if self.is_resume() {
            Standing::Claimed
        } else {
            Standing::New
        }
    }

    /// Returns the key by which the request is recognized if its client sends it again; `None` without a prompt.
    pub(crate) fn repeat_key(&self) -> Option<repeat::Key> {
        let prompt = self.prompt.as_ref();
        prompt.map(|prompt| repeat::Key::new(self.team(), &self.target, prompt))
    }

    /// Returns the latency objective.
    pub(crate) fn objective(&self) -> Span {
        let micros = self.route.objective.as_micros();
        Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the team's name in logs and accounts; `-` on a public route.
    #[must_use]
    pub fn team(&self) -> &str {
        self.team.as_deref().unwrap_or("-")
    }

    /// Returns when the request expires if it is queued at `now`, at engines or at plain upstreams. A
    /// stream that has begun may wait at least as long as a new one.
    pub(crate) fn queue_expiry(
        &self,
        now: Timestamp,
        last_event_at: Option<Timestamp>,
        engine: bool,
    ) -> Timestamp {
        let span =
            |time: Duration| Span::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        let (objective, due) = (span(self.route.objective), self.due());
        let gap_objective = self.route.gap_objective.map_or(Span::ZERO, span);
        let (arrived, resume) = (self.arrived, queue::resume_expires_at);
        match (self.standing(last_event_at.is_some()), last_event_at) {
            (Standing::New, _) => queue::expires_at(arrived, objective, due, engine),
            (_, None) => resume(arrived, objective, gap_objective, due),
            (_, Some(since)) => resume(since, objective, gap_objective, due)
                .max(queue::expires_at(now, objective, due, engine)),
        }
    }
}
