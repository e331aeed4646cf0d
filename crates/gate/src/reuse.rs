//! Whether clients use their connections again.

use std::cell::Cell;

/// Part by which each request moves the average; it follows the latest hundred or so.
const STEP: f64 = 1.0 / 64.0;
/// Part of first requests from which connections are taken to be used once.
const ONCE_PART: f64 = 0.75;

/// The part of the latest requests that were the first on their connection.
///
/// Clients that come back on a new connection after each refusal leave the old one open, and
/// its end costs the router as much as its start. Where that is the rule, the router ends
/// connections with the refusal.
///
/// ```
/// let reuse = tsw_gate::reuse::Reuse::default();
/// (0..200).for_each(|_| reuse.note(true));
/// assert!(reuse.is_rare());
/// (0..200).for_each(|_| reuse.note(false));
/// assert!(!reuse.is_rare());
/// ```
#[derive(Debug, Default)]
pub struct Reuse(Cell<f64>);

impl Reuse {
    /// Notes a request and whether it was the first on its connection.
    pub fn note(&self, first: bool) {
        let found = if first { 1.0 } else { 0.0 };
        self.0.set(self.0.get() + STEP * (found - self.0.get()));
    }

    /// Returns whether most connections carry a single request.
    #[must_use]
    pub fn is_rare(&self) -> bool {
        self.0.get() > ONCE_PART
    }
}
