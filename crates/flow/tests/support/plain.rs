//! The choice of an upstream for a plain request.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::pool::{Choice, Constraints, Pool};

/// Chooses an upstream for a plain request of a router in the failure domain `north`.
pub fn choose(pool: &Pool, now: Timestamp) -> Option<Choice> {
    let constraints = Constraints {
        domain: "north",
        prompt: None,
        avoid: &[],
        software: None,
        max_pending_tokens: 0,
        can_fetch: false,
        extra_slots: 1,
        report_age: Span::ZERO,
    };
    pool.choose(now, &constraints)
}
