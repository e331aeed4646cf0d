//! Expected slot time of a request before it has run.

use tsw_base::time;

use crate::message::Class;

/// Expectation before any request of a class has ended.
pub const FIRST: time::Span = time::Span::from_millis(500);

/// Weight of a new sample is one part in this many.
const SMOOTHING: u64 = 8;

/// A sample counts at most this many times the expectation, so that a straggler does not make the
/// following requests of its team look costly.
const OUTLIER: u64 = 4;

/// Smallest expectation. A smaller one would let a team take many slots for almost no charge.
const LEAST: time::Span = time::Span::from_millis(5);

/// Smoothed slot time of each class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate([Option<time::Span>; 4]);

impl Estimate {
    /// Returns the expectation for `class`, if a request of it has ended.
    #[must_use]
    pub const fn get(&self, class: Class) -> Option<time::Span> {
        self.0[class.index()]
    }

    /// Takes in the slot time of a request that ended; `prior` is the expectation to start from.
    pub fn learn(&mut self, class: Class, sample: time::Span, prior: time::Span) {
        let old = self.get(class).unwrap_or(prior);
        let sample = sample.min(old * OUTLIER);
        let sum = old * (SMOOTHING - 1) + sample;
        self.0[class.index()] = Some((sum / SMOOTHING).max(LEAST));
    }
}
