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

/// Samples from which the relation of cost and slot time over all teams is used.
pub const COMMON_SAMPLES: u32 = 16;

/// Samples from which that of one team is used. With fewer it is less exact than that of all teams.
pub const OWN_SAMPLES: u32 = 64;

/// Weight of a new sample in the relation of cost and slot time is one part in this many, once
/// there are as many samples.
const TREND_SMOOTHING: u32 = 256;

/// Smoothed slot time of each class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    usual: [Option<time::Span>; 4],
    trends: [Trend; 4],
}

impl Estimate {
    /// Returns the expectation for `class`, if a request of it has ended.
    #[must_use]
    pub const fn get(&self, class: Class) -> Option<time::Span> {
        self.usual[class.index()]
    }

    /// Returns what to charge for a request of `class` that its caller expects to cost `cost`
    /// tokens, if at least `samples` requests of the class have ended.
    #[must_use]
    pub fn at_cost(&self, class: Class, cost: u32, samples: u32) -> Option<time::Span> {
        let usual = self.get(class)?;
        let trend = &self.trends[class.index()];
        let expected = trend.expect(cost).filter(|_| trend.samples >= samples)?;
        Some(expected.max(LEAST).min(usual * OUTLIER))
    }

    /// Takes in the slot time of a request that ended; `prior` is the expectation to start from.
    /// `cost` is what its caller expected, or 0.
    pub fn learn(&mut self, class: Class, cost: u32, sample: time::Span, prior: time::Span) {
        let old = self.get(class).unwrap_or(prior);
        let sample = sample.min(old * OUTLIER);
        let sum = old * (SMOOTHING - 1) + sample;
        self.usual[class.index()] = Some((sum / SMOOTHING).max(LEAST));
        if cost > 0 {
            self.trends[class.index()].learn(cost, sample);
        }
    }
}

/// Least-squares line of slot time over cost. A hint that says little about the slot time gives a
/// flat line, so that a wrong hint is no worse than none.
#[derive(Clone, Copy, Debug, Default)]
struct Trend {
    samples: u32,
    mean_cost: f64,
    mean_us: f64,
    variance: f64,
    variance_us: f64,
    covariance: f64,
}

impl Trend {
    fn learn(&mut self, cost: u32, sample: time::Span) {
        self.samples = (self.samples + 1).min(TREND_SMOOTHING);
        let weight = 1.0 / f64::from(self.samples);
        let cost = f64::from(cost) - self.mean_cost;
        let us = sample.as_micros() as f64 - self.mean_us;
        self.mean_cost += weight * cost;
        self.mean_us += weight * us;
        self.variance = (1.0 - weight) * (self.variance + weight * cost * cost);
        self.variance_us = (1.0 - weight) * (self.variance_us + weight * us * us);
        self.covariance = (1.0 - weight) * (self.covariance + weight * cost * us);
    }

    /// Returns the slot time on the line and a margin of the mean slot time, which is refunded when
    /// the request ends.
    ///
    /// The margin delays a team with many requests in progress, so that a hint that is too low does
    /// not let it take the next slot too early. It is weighted by the part of the variance that the
    /// hints explain: with useless hints a margin widens the fairness gap.
    fn expect(&self, cost: u32) -> Option<time::Span> {
        if self.variance <= 0.0 || self.variance_us <= 0.0 {
            return None;
        }
        let covariance = self.covariance.max(0.0);
        let slope = covariance / self.variance;
        let explained = covariance * slope / self.variance_us;
        let expected = self.mean_us + slope * (f64::from(cost) - self.mean_cost);
        let charge = expected.max(0.0) + self.mean_us * explained;
        Some(time::Span::from_micros(charge as u64))
    }
}
