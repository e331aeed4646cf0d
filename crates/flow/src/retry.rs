//! What to do after a failed attempt: retry, or send a final response.

use tsw_route::table::Kind;

/// How an attempt at an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No connection was established; nothing was sent.
    Unreachable,
    /// The upstream stated that it has not run the request and never will.
    NotRun,
    /// The upstream returned a complete error response.
    Failed,
    /// The request was sent and no complete response arrived; it may have been run.
    Broken,
}

/// Counts of the attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    /// Attempts that may have run the request.
    pub runs: u32,
    /// Attempts that certainly did not run it.
    pub refused: u32,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Retry at another upstream if the retry budget allows it.
    Retry,
    /// Retry at another upstream. Nothing was sent, so this does not count against the retry
    /// budget.
    Reconnect,
    /// Stop and send the final response.
    Respond(FinalResponse),
}

/// Final response to a request without a successful response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalResponse {
    /// The request was not run and never will be.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// Pass on the error response of the upstream.
    Failure,
}

/// Maximum number of retries after attempts that did not run the request. Each costs a round
/// trip; the next choice excludes the upstreams that failed the request.
const MAX_REFUSED: u32 = 3;

impl Attempts {
    /// Counts a failed attempt.
    pub fn record(&mut self, failure: FailureKind) {
        match failure {
            FailureKind::Unreachable | FailureKind::NotRun => self.refused += 1,
            FailureKind::Failed | FailureKind::Broken => self.runs += 1,
        }
    }

    /// Returns the final response if there is no further attempt.
    #[must_use]
    pub const fn final_response(self) -> FinalResponse {
        if self.runs == 0 {
            FinalResponse::NotRun
        } else {
            FinalResponse::Unknown
        }
    }

    /// Returns what to do after `fault`, which must have been recorded already.
    ///
    /// A request that must not be repeated is only retried if no attempt may have run it.
    ///
    /// ```
    /// use tsw_flow::retry::{Attempts, FailureKind, FinalResponse, NextStep};
    /// use tsw_route::table::Kind;
    /// let mut attempts = Attempts::default();
    /// attempts.record(FailureKind::NotRun);
    /// let next = attempts.next_step(Kind::NonIdempotent, 1, FailureKind::NotRun);
    /// assert_eq!(next, NextStep::Retry);
    /// attempts.record(FailureKind::Broken);
    /// let unknown = NextStep::Respond(FinalResponse::Unknown);
    /// assert_eq!(attempts.next_step(Kind::NonIdempotent, 1, FailureKind::Broken), unknown);
    /// ```
    #[must_use]
    pub const fn next_step(self, kind: Kind, max_attempts: u32, failure: FailureKind) -> NextStep {
        let repeatable = self.runs == 0 || (kind.may_repeat() && self.runs < max_attempts);
        match failure {
            FailureKind::Failed if !repeatable => NextStep::Respond(FinalResponse::Failure),
            FailureKind::Unreachable if repeatable && self.refused <= MAX_REFUSED => {
                NextStep::Reconnect
            }
            _ if repeatable && self.refused <= MAX_REFUSED => NextStep::Retry,
            _ => NextStep::Respond(self.final_response()),
        }
    }
}
