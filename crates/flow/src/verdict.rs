//! What follows from the result of an attempt.

use tsw_route::table::Kind;

/// How an attempt at an upstream ended without a usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No connection was made; nothing was sent.
    Unreachable,
    /// The upstream stated that it did not run the request and will not.
    NotRun,
    /// The upstream answered in full that it failed.
    Failed,
    /// The request was sent, and there is no complete response; it may have run.
    Broken,
}

/// What the attempts so far amount to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tried {
    /// Attempts in which the request may have run.
    pub runs: u32,
    /// Attempts that certainly did not run.
    pub refused: u32,
}

/// What to do after a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Try another upstream if the retry budget allows it.
    Retry,
    /// Try another upstream; nothing was sent, so that the retry budget does not count it.
    Reconnect,
    /// Give the final answer.
    Answer(Answer),
}

/// A final answer without a response of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The response of the upstream that failed.
    Failure,
}

/// Most attempts that may end without a run. Each costs a round trip; an upstream that refuses
/// is avoided by the next choice.
const MAX_REFUSED: u32 = 3;

impl Tried {
    /// Notes a fault.
    pub fn note(&mut self, fault: Fault) {
        match fault {
            Fault::Unreachable | Fault::NotRun => self.refused += 1,
            Fault::Failed | Fault::Broken => self.runs += 1,
        }
    }

    /// Returns the final answer if no further attempt is made.
    #[must_use]
    pub const fn answer(self) -> Answer {
        if self.runs == 0 {
            Answer::NotRun
        } else {
            Answer::Unknown
        }
    }

    /// Returns what to do after `fault`, which was noted already.
    ///
    /// A request that must not be repeated is sent again only if no attempt may have run it.
    ///
    /// ```
    /// use tsw_flow::verdict::{Answer, Fault, Next, Tried};
    /// use tsw_route::table::Kind;
    /// let mut tried = Tried::default();
    /// tried.note(Fault::NotRun);
    /// assert_eq!(tried.next(Kind::NonIdempotent, 1, Fault::NotRun), Next::Retry);
    /// tried.note(Fault::Broken);
    /// let unknown = Next::Answer(Answer::Unknown);
    /// assert_eq!(tried.next(Kind::NonIdempotent, 1, Fault::Broken), unknown);
    /// ```
    #[must_use]
    pub const fn next(self, kind: Kind, attempts: u32, fault: Fault) -> Next {
        let repeatable = self.runs == 0 || (kind.may_repeat() && self.runs < attempts);
        match fault {
            Fault::Failed if !repeatable => Next::Answer(Answer::Failure),
            Fault::Unreachable if repeatable && self.refused <= MAX_REFUSED => Next::Reconnect,
            _ if repeatable && self.refused <= MAX_REFUSED => Next::Retry,
            _ => Next::Answer(self.answer()),
        }
    }
}
