//! Usual pace of a service, and the budgets for hedges and retries.

use tsw_base::time::Span;

/// Shortest time without a token after which a stream counts as stalled.
const MIN_STALL: Span = Span::from_millis(150);
/// Stalled streams have been silent for this many usual gaps.
const STALL_FACTOR: u64 = 5;
/// Time to a first token that is assumed before one was seen.
const FIRST_GUESS: Span = Span::from_millis(1_000);
/// Requests whose part of a budget can be saved up.
const BURST: f64 = 10.0;

/// A part of the requests that may be hedged or retried.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    part: f64,
    saved: f64,
}

impl Budget {
    /// Makes a budget of `percent` hundredths of the requests.
    ///
    /// ```
    /// let mut budget = toucand::pace::Budget::new(10);
    /// assert!(budget.take());
    /// ```
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let part = f64::from(percent) / 100.0;
        Self {
            part,
            saved: if percent == 0 {
                0.0
            } else {
                BURST * part + 1.0
            },
        }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.part).min(BURST * self.part + 1.0);
    }

    /// Takes one hedge or retry out of the budget, if it allows one.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// The usual pace of a service.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    first: Option<Span>,
    gap: Option<Span>,
    /// Budget for hedges.
    pub hedges: Budget,
    /// Budget for retries.
    pub retries: Budget,
}

fn smooth(old: Option<Span>, sample: Span) -> Option<Span> {
    // A straggler moves the usual value by a bounded step.
    Some(old.map_or(sample, |old| (old * 15 + sample.min(old * 8)) / 16))
}

impl Pace {
    /// Makes the pace of a service of which nothing is known.
    #[must_use]
    pub fn new(hedge_percent: u32) -> Self {
        Self {
            first: None,
            gap: None,
            hedges: Budget::new(hedge_percent),
            retries: Budget::new(10),
        }
    }

    /// Notes a time to the first token.
    pub fn note_first(&mut self, sample: Span) {
        self.first = smooth(self.first, sample);
    }

    /// Notes a time between two tokens.
    pub fn note_gap(&mut self, sample: Span) {
        self.gap = smooth(self.gap, sample);
    }

    /// Returns the time without a token after which a stream counts as stalled.
    #[must_use]
    pub fn stall_limit(&self, first: bool) -> Span {
        let usual = if first {
            self.first.unwrap_or(FIRST_GUESS)
        } else {
            self.gap.unwrap_or(MIN_STALL)
        };
        MIN_STALL.max(usual * STALL_FACTOR)
    }
}
