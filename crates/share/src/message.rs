//! What the homes of a service tell each other about the service that teams received.

use serde::{Deserialize, Serialize};
use tsw_base::{host, name, time};

/// Totals of one home for the teams that changed since its last message.
///
/// Each line holds a total and the latest line of a team replaces the earlier ones, so duplicates,
/// loss and reordering are harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Served {
    /// The service that the totals are about.
    pub service: name::Service,
    /// The run of the home that granted the slots.
    pub home: host::Incarnation,
    /// Increases with each message of the home.
    pub seq: u64,
    /// One line for each team.
    pub lines: Vec<Line>,
}

/// Service that one team received from one home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// The team.
    pub team: name::Team,
    /// Slot time charged since the home started, less what was refunded. It includes the expected
    /// rest of running requests, so that two homes do not both serve the team that is next.
    pub charged: time::Span,
    /// How far the team's tag is ahead of virtual time, in microseconds of fleet capacity;
    /// negative when it is behind. Absent for a team without waiting requests.
    pub lag_us: Option<i64>,
}
