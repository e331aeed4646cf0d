//! Estimates of the slot time of requests.

use tsw_base::time;

use crate::message::Class;

/// Estimate for a class of which no request has completed yet.
pub const INITIAL: time::Span = time::Span::from_millis(500);

/// A new sample has a weight of 1 / `SMOOTHING_WINDOW` in the smoothed slot time.
const SMOOTHING_WINDOW: u64 = 8;

/// A sample is capped at this multiple of the estimate, so that one straggler does not make the
/// next requests of its team look costly. The estimate for a cost hint has the same cap.
const MAX_SAMPLE_FACTOR: u64 = 4;

/// Minimum estimate. A lower one would let a team take many slots for almost no charge.
const MIN_ESTIMATE: time::Span = time::Span::from_millis(5);

/// Minimum number of samples for the regression over all teams to be used.
pub const MIN_COMMON_SAMPLES: u32 = 16;

/// Minimum number of samples for the regression of a single team to be used. With fewer samples it
/// is less accurate than the regression over all teams.
pub const MIN_TEAM_SAMPLES: u32 = 64;

/// Once a regression has this many samples, a new one has a weight of 1 / `REGRESSION_WINDOW`.
const REGRESSION_WINDOW: u32 = 256;

/// Smoothed slot time of each class, and its regression over the cost hint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    smoothed: [Option<time::Span>; 4],
    regressions: [Regression; 4],
}

impl Estimate {
    /// Returns the estimate for `class`, if a request of that class has completed.
    #[must_use]
    pub const fn get(&self, class: Class) -> Option<time::Span> {
        self.smoothed[class.index()]
    }

    /// Returns the slot time to charge for a request of `class` with a cost hint of `cost` tokens,
    /// if the regression has at least `samples` samples.
    #[must_use]
    pub fn for_cost(&self, class: Class, cost: u32, samples: u32) -> Option<time::Span> {
        let smoothed = self.get(class)?;
        let regression = &self.regressions[class.index()];
        let expected = regression
            .predict(cost)
            .filter(|_| regression.samples >= samples)?;
        Some(expected.max(MIN_ESTIMATE).min(smoothed * MAX_SAMPLE_FACTOR))
    }

    /// Adds the slot time of a completed request. `prior` is the estimate to use if the class has
    /// no samples yet; `cost` is the caller's cost hint, or 0 without one.
    pub fn add_sample(&mut self, class: Class, cost: u32, sample: time::Span, prior: time::Span) {
        let old = self.get(class).unwrap_or(prior);
        let sample = sample.min(old * MAX_SAMPLE_FACTOR);
        let sum = old * (SMOOTHING_WINDOW - 1) + sample;
        self.smoothed[class.index()] = Some((sum / SMOOTHING_WINDOW).max(MIN_ESTIMATE));
        if cost > 0 {
            self.regressions[class.index()].add_sample(cost, sample);
        }
    }
}

/// Least-squares regression of slot time on the cost hint. If the hints predict the slot time
/// poorly, the line is flat, so that a wrong hint is no worse than none.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    samples: u32,
    mean_cost: f64,
    mean_slot_time_us: f64,
    cost_variance: f64,
    slot_time_variance: f64,
    covariance: f64,
}

impl Regression {
    fn add_sample(&mut self, cost: u32, sample: time::Span) {
        self.samples = (self.samples + 1).min(REGRESSION_WINDOW);
        let weight = 1.0 / f64::from(self.samples);
        let cost = f64::from(cost) - self.mean_cost;
        let us = sample.as_micros() as f64 - self.mean_slot_time_us;
        self.mean_cost += weight * cost;
        self.mean_slot_time_us += weight * us;
        self.cost_variance = (1.0 - weight) * (self.cost_variance + weight * cost * cost);
        self.slot_time_variance = (1.0 - weight) * (self.slot_time_variance + weight * us * us);
        self.covariance = (1.0 - weight) * (self.covariance + weight * cost * us);
    }

    /// Returns the predicted slot time plus a margin, which is refunded when the request ends.
    ///
    /// The margin delays a team with many running requests, so that a hint that is too low does not
    /// let it take the next slot too early. It is the mean slot time multiplied by the fraction of
    /// variance that the hints explain: with useless hints, a margin widens the fairness gap.
    fn predict(&self, cost: u32) -> Option<time::Span> {
        if self.cost_variance <= 0.0 || self.slot_time_variance <= 0.0 {
            return None;
        }
        let covariance = self.covariance.max(0.0);
        let slope = covariance / self.cost_variance;
        let explained = covariance * slope / self.slot_time_variance;
        let expected = self.mean_slot_time_us + slope * (f64::from(cost) - self.mean_cost);
        let charge = expected.max(0.0) + self.mean_slot_time_us * explained;
        Some(time::Span::from_micros(charge as u64))
    }
}
