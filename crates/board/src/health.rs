//! Token latency of a service as measured by this entry router, and its budgets for hedges and
//! retries.

use tsw_health::{budget::AttemptBudget, latency::TokenLatency};

/// Percentage of the requests that may be retried after they reached an upstream.
pub const RETRY_PERCENT: u32 = 10;

/// Maximum number of hedges or retries that a budget saves up.
const BURST: u32 = 10;

/// Token latency and budgets of a service.
#[derive(Clone, Debug)]
pub struct ServiceHealth {
    /// Typical times to the first token and between tokens.
    pub latency: TokenLatency,
    /// Whether any stream has sent a token yet.
    pub first_token_seen: bool,
    /// Budget for hedges.
    pub hedges: AttemptBudget,
    /// Budget for retries.
    pub retries: AttemptBudget,
}

impl ServiceHealth {
    /// Creates the state of a service that has had no requests yet.
    #[must_use]
    pub fn new(hedge_percent: u32) -> Self {
        Self {
            latency: TokenLatency::default(),
            first_token_seen: false,
            hedges: AttemptBudget::new(hedge_percent, if hedge_percent == 0 { 0 } else { BURST }),
            retries: AttemptBudget::new(RETRY_PERCENT, BURST),
        }
    }

    /// Records a request, which adds to both budgets.
    pub fn record_request(&mut self) {
        self.hedges.record_request();
        self.retries.record_request();
    }
}
