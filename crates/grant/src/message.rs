//! Messages between entry routers and homes about demand and slots.

use serde::{Deserialize, Serialize};
use tsw_base::{host, name, time};

/// Scheduling class of a request within its team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Class {
    /// A hedge, or the resumption of a stream whose upstream failed.
    Urgent,
    /// Expected to be cheap.
    Short,
    /// Expected to be costly, or of unknown cost.
    Long,
    /// Suspected of crashing upstreams: runs alone on its upstream.
    Solo,
}

impl Class {
    /// All classes, ordered by [`Self::index`].
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Short, Self::Long, Self::Solo];

    /// Returns the position of the class in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Identifies a grant. Within one run of a home, numbers start at 1 and increase with each grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The run of the home that issued the grant.
    pub home: host::Incarnation,
    /// Sequence number of the grant within that run.
    pub number: u64,
}

/// Identifies a waiting or running request within one entry router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Request(pub u64);

/// Waiting requests of an entry router. Sent from an entry router to a home.
///
/// Each line holds absolute counts and replaces the earlier line of the same team and class, so
/// duplicates, loss and reordering are harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The requested service.
    pub service: name::Service,
    /// Sequence number; increases with each demand message from this entry router to this home
    /// about this service.
    pub seq: u64,
    /// The latest grant from this home that `lines` already accounts for.
    pub latest_grant: Option<Id>,
    /// Lines that changed or are due for a refresh.
    pub lines: Vec<DemandLine>,
}

/// Number and age of the waiting requests of one team and class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandLine {
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: Class,
    /// Number of waiting requests; 0 removes the line.
    pub waiting: u32,
    /// Waiting time of the oldest request.
    pub oldest: time::Span,
    /// Waiting time of the newest request.
    pub newest: time::Span,
}

/// Permission to use one slot. Sent from a home to an entry router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The service.
    pub service: name::Service,
    /// Identifier of the grant.
    pub id: Id,
    /// The upstream whose slot may be used.
    pub upstream: name::Upstream,
    /// The team that the slot is charged to.
    pub team: name::Team,
    /// The class of the request.
    pub class: Class,
    /// Sequence number of the demand message that the grant answers.
    pub seq: u64,
}

/// State changes of grants. Sent from an entry router to a home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The service.
    pub service: name::Service,
    /// The state changes, in the order in which they happened.
    pub reports: Vec<Report>,
}

/// State change of one grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The grant.
    pub id: Id,
    /// Its new state.
    pub state: State,
}

/// State of a grant at the entry router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// A request was sent to the upstream.
    Started,
    /// The request is still running.
    Running {
        /// Smoothed time between tokens.
        token_latency: time::Span,
    },
    /// The request completed and its slot is free.
    Finished {
        /// Mean time between tokens, for a streamed response.
        token_latency: Option<time::Span>,
    },
    /// The request failed, or was cancelled or cut off. Its slot is free.
    Failed,
    /// No request was sent; the slot is free.
    Unused,
    /// No request was sent because the upstream refused the connection; the slot is free.
    Unreachable,
    /// A request was sent to the upstream; its caller supplied a cost hint.
    Hinted {
        /// Expected cost in tokens.
        cost: u32,
    },
}

/// All grants that an entry router is using. Sent from an entry router to a home when a session
/// starts and when the home of an upstream changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holdings {
    /// The service.
    pub service: name::Service,
    /// The latest grant from this home that the list accounts for.
    pub latest_grant: Option<Id>,
    /// The running requests, including those granted by other homes.
    pub held: Vec<HeldGrant>,
}

/// A grant in use by a running request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldGrant {
    /// Identifier of the grant.
    pub id: Id,
    /// The upstream that the request runs on.
    pub upstream: name::Upstream,
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: Class,
    /// Time since the request was sent to the upstream.
    pub age: time::Span,
}
