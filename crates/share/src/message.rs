//! Report that the homes of a service send each other about the service that teams received.

use serde::{Deserialize, Serialize};
use tsw_base::{host, name, time};

/// Report of one home with the totals of the teams that changed since its last report.
///
/// It holds totals, and the latest total of a team replaces the earlier ones, so reports may be
/// duplicated, lost or reordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Served {
    /// The service that the totals belong to.
    pub service: name::Service,
    /// The incarnation of the home that granted the slots.
    pub home: host::Incarnation,
    /// Sequence number; increases with each report of the home.
    pub seq: u64,
    /// One total for each team.
    pub totals: Vec<TeamTotal>,
}

/// Total service that one team received from one home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTotal {
    /// The team.
    pub team: name::Team,
    /// Slot time charged since the home started, minus refunds. It includes the expected remaining
    /// time of running requests, so that two homes do not both serve the team that is next.
    pub charged: time::Span,
    /// How far the team's tag is ahead of virtual time, in microseconds of fleet capacity;
    /// negative when it is behind. `None` for a team without waiting requests.
    pub lead_us: Option<i64>,
}
