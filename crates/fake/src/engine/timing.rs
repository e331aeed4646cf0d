//! The duration of a step.

use std::time::Duration;

/// How the duration of a step depends on the batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Number of slots that the engine reports.
    pub slots: u32,
    /// Base duration of a step, in microseconds.
    pub base_us: u64,
    /// Additional duration per request in the batch, in microseconds.
    pub slope_us: u64,
    /// Further duration per request beyond the slots, in microseconds.
    pub overload_us: u64,
    /// Additional duration per prompt token that is processed, in microseconds.
    pub prefill_us: u64,
}

impl Default for Timing {
    /// A step with 8 requests takes 20 ms. Each further request adds 3.5 ms, so the throughput of
    /// the engine decreases beyond 8 requests: 400 tokens/s at 8, 333 tokens/s at 16.
    fn default() -> Self {
        Self {
            slots: 8,
            base_us: 12_000,
            slope_us: 1_000,
            overload_us: 2_500,
            prefill_us: 20,
        }
    }
}

impl Timing {
    /// Returns the duration of a step with `running` requests that processes `prefill` prompt
    /// tokens.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tsw_fake::engine::timing::Timing;
    ///
    /// assert_eq!(Timing::default().step(8, 0), Duration::from_millis(20));
    /// ```
    #[must_use]
    pub fn step(&self, running: usize, prefill: u64) -> Duration {
        let running = running as u64;
        let over = running.saturating_sub(u64::from(self.slots));
        let micros = self.base_us
            + self.slope_us * running
            + self.overload_us * over
            + self.prefill_us * prefill;
        Duration::from_micros(micros)
    }
}
