//! The context in which a controller makes a decision.

use tsw_base::time::Timestamp;
use tsw_board::Board;

use crate::outbox::Outbox;

/// The context of one decision, which the controllers share.
pub struct Turn<'a> {
    /// The blackboard.
    pub board: &'a mut Board,
    /// Collects the messages and tasks that result from the decision.
    pub out: &'a mut Outbox,
    /// The time of the decision.
    pub now: Timestamp,
}
