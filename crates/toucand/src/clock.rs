//! The clocks of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tsw_base::time;

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at one second, so that times before the start can be represented.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::from_micros(1_000_000) + time::Span::from(self.0.elapsed())
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch, for records and logs only.
#[must_use]
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        })
}
