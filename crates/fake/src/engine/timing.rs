//! Length of a step.

use std::time::Duration;

/// How the length of a step depends on the batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Requests that the engine publishes as slots.
    pub slots: u32,
    /// Length of a step without requests, in microseconds.
    pub base_us: u64,
    /// Additional length for each request in the batch, in microseconds.
    pub slope_us: u64,
    /// Further length for each request beyond the slots, in microseconds.
    pub overload_us: u64,
    /// Additional length for each prompt token that is processed, in microseconds.
    pub prefill_us: u64,
}

impl Default for Timing {
    /// 8 requests take 20 ms a step. Each further request adds 3.5 ms, so the throughput of the
    /// engine falls beyond 8 requests: 400 tokens/s at 8, 333 tokens/s at 16.
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
    /// Returns the length of a step with `running` requests that processes `prefill` prompt tokens.
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
