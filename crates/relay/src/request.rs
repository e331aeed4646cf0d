//! A request as all interfaces understand it.

use std::rc::Rc;

use bytes::Bytes;
use tsw_base::time::Tick;
use tsw_flow::prompt::Prompt;
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
    /// Fields that are passed on.
    pub fields: Fields,
    /// The whole body.
    pub body: Bytes,
    /// Route.
    pub route: Rc<Route>,
    /// Service that runs it.
    pub service: Name,
    /// Team that sent it, unless the route is public.
    pub team: Option<Name>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// What is known of the prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// Event after which the client continues a stream.
    pub resume_after: Option<Bytes>,
    /// Arrival of the whole request.
    pub arrived: Tick,
    /// Time at which the client gives up.
    pub deadline: Tick,
}

impl Request {
    /// Returns when the final answer is due: at the deadline, or earlier if the route says so.
    #[must_use]
    pub fn due(&self) -> Tick {
        let timeout = u64::try_from(self.route.timeout.as_micros()).unwrap_or(u64::MAX);
        let timeout = tsw_base::time::Span::from_micros(timeout);
        self.deadline.min(self.arrived + timeout)
    }

    /// Returns the team as it is named in logs and accounts.
    #[must_use]
    pub fn team(&self) -> &str {
        self.team.as_deref().unwrap_or("-")
    }
}
