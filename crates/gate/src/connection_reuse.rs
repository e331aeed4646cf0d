//! Tracks whether clients reuse their connections.

use std::cell::Cell;

/// Weight of each request in the moving average, which covers about the last hundred requests.
const SMOOTHING: f64 = 1.0 / 64.0;
/// Fraction of first requests above which connections are assumed to carry a single request.
const SINGLE_USE_THRESHOLD: f64 = 0.75;

/// Moving average of the fraction of requests that were the first on their connection.
///
/// Clients that open a new connection after each refusal leave the old one open, and closing it
/// later costs the router as much as accepting it. If most clients do so, the router closes the
/// connection with the refusal.
///
/// ```
/// let reuse = tsw_gate::connection_reuse::ReuseTracker::default();
/// (0..200).for_each(|_| reuse.record(true));
/// assert!(reuse.is_rare());
/// (0..200).for_each(|_| reuse.record(false));
/// assert!(!reuse.is_rare());
/// ```
#[derive(Debug, Default)]
pub struct ReuseTracker(Cell<f64>);

impl ReuseTracker {
    /// Records a request and whether it was the first on its connection.
    pub fn record(&self, first: bool) {
        let sample = if first { 1.0 } else { 0.0 };
        self.0
            .set(self.0.get() + SMOOTHING * (sample - self.0.get()));
    }

    /// Returns whether most connections carry a single request.
    #[must_use]
    pub fn is_rare(&self) -> bool {
        self.0.get() > SINGLE_USE_THRESHOLD
    }
}
