//! Pace of a service as this entry router sees it, and its budgets for extra work.

use tsw_health::{budget::Budget, latency::TokenLatency};

/// Part of the requests that may be tried again after they reached an upstream, in hundredths.
pub const RETRY_PERCENT: u32 = 10;

/// Hedges or retries that can be saved up.
const BURST: u32 = 10;

/// Pace and budgets of a service.
#[derive(Clone, Debug)]
pub struct Pulse {
    /// Usual times to the first token and between tokens.
    pub latency: TokenLatency,
    /// Whether a first token was seen.
    pub begun: bool,
    /// Budget for hedges.
    pub hedges: Budget,
    /// Budget for retries.
    pub retries: Budget,
}

impl Pulse {
    /// Makes the pulse of a service of which nothing is known.
    #[must_use]
    pub fn new(hedge_percent: u32) -> Self {
        Self {
            latency: TokenLatency::default(),
            begun: false,
            hedges: Budget::new(hedge_percent, if hedge_percent == 0 { 0 } else { BURST }),
            retries: Budget::new(RETRY_PERCENT, BURST),
        }
    }

    /// Notes a request.
    pub fn earn(&mut self) {
        self.hedges.deposit();
        self.retries.deposit();
    }
}
