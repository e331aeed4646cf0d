//! What entry routers and homes tell each other about demand and slots.

use serde::{Deserialize, Serialize};
use tsw_base::{host, name, time};

/// How a waiting request is to be scheduled within its team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Class {
    /// A hedge or the resumption of a stream that lost its upstream.
    Urgent,
    /// Expected to be cheap.
    Short,
    /// Expected to be costly, or of unknown cost.
    Long,
    /// Suspected of crashing upstreams: runs alone on its upstream.
    Solo,
}

impl Class {
    /// All classes, in the order of their index.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Short, Self::Long, Self::Solo];

    /// Returns the position of the class in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Names a grant. Numbers of one home run increase in the order of granting, starting at 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The run of the home that made the grant.
    pub home: host::Incarnation,
    /// Number of the grant within that run.
    pub number: u64,
}

/// Names a waiting or running request within one entry router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Request(pub u64);

/// Waiting requests of an entry router. Entry router to home.
///
/// Each line replaces the earlier line of the same team and class, so duplicates, loss and
/// reordering are harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The service that the requests ask for.
    pub service: name::Service,
    /// Increases with each message of this entry router to this home about this service.
    pub seq: u64,
    /// The latest grant from this home that the counts below already take into account.
    pub seen: Option<Id>,
    /// The lines that changed or are due for a refresh.
    pub lines: Vec<Line>,
}

/// Waiting requests of one team and class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: Class,
    /// Number of waiting requests; 0 withdraws the line.
    pub waiting: u32,
    /// How long the oldest of them has waited.
    pub oldest: time::Span,
    /// How long the newest of them has waited.
    pub newest: time::Span,
}

/// Permission to use one slot. Home to entry router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The service.
    pub service: name::Service,
    /// Name of the grant.
    pub id: Id,
    /// The upstream whose slot may be used.
    pub upstream: name::Upstream,
    /// The team that the slot is charged to.
    pub team: name::Team,
    /// The class of the request.
    pub class: Class,
    /// The demand message that the grant answers.
    pub seq: u64,
}

/// What became of grants. Entry router to home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The service.
    pub service: name::Service,
    /// One report for each grant, in the order of events.
    pub reports: Vec<Report>,
}

/// What became of one grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The grant.
    pub id: Id,
    /// What became of it.
    pub state: State,
}

/// Progress of a grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// A request was sent to the upstream.
    Started,
    /// The request still runs; time per token so far.
    Running {
        /// Smoothed time between tokens.
        pace: time::Span,
    },
    /// The request ended and its slot is free.
    Finished {
        /// Mean time between tokens, for a streamed response.
        pace: Option<time::Span>,
    },
    /// The request ended early: failed, cancelled or cut. Its slot is free.
    Failed,
    /// No request was sent; the slot is free.
    Unused,
    /// No request was sent, because the upstream accepts no connection; the slot is free.
    Unreachable,
    /// A request was sent to the upstream, and its caller gave a hint.
    Hinted {
        /// Cost in tokens that the caller expects.
        cost: u32,
    },
}

/// All grants that an entry router uses. Entry router to home, at session start and when the home
/// of an upstream changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holdings {
    /// The service.
    pub service: name::Service,
    /// The latest grant from this home that the list takes into account.
    pub seen: Option<Id>,
    /// The running requests, also those on upstreams of other homes.
    pub held: Vec<Held>,
}

/// One running request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Held {
    /// The grant that it uses.
    pub id: Id,
    /// The upstream that it runs on.
    pub upstream: name::Upstream,
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: Class,
    /// Time since it was sent to the upstream.
    pub age: time::Span,
}
