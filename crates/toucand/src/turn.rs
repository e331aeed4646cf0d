//! What a controller needs to make one decision.

use tsw_base::time::Tick;
use tsw_board::Board;

use crate::out::Out;

/// What a controller needs to make one decision.
pub struct Turn<'a> {
    /// The blackboard.
    pub board: &'a mut Board,
    /// What the decision leads to.
    pub out: &'a mut Out,
    /// The time of the decision.
    pub now: Tick,
}
