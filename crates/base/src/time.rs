//! Monotonic timestamps and durations in microseconds.
//!
//! A [`Timestamp`] is meaningful only within the process that created it and is never sent to a
//! peer.

use std::{fmt, ops, time::Duration};

use serde::{Deserialize, Serialize};

/// A timestamp of the process's monotonic clock, in microseconds since the clock's start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the timestamp `micros` microseconds after the start of the clock.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the number of microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed from `earlier` to this timestamp, or zero if `earlier` is later.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    ///
    /// let (early, late) = (Timestamp::from_micros(10), Timestamp::from_micros(35));
    /// assert_eq!(late.since(early), Span::from_micros(25));
    /// assert_eq!(early.since(late), Span::ZERO);
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Timestamp {
    /// Returns the timestamp that is `span` earlier, at the earliest the start of the clock.
    #[must_use]
    pub const fn before(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl ops::Add<Span> for Timestamp {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

/// A duration in microseconds. Addition and multiplication saturate.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Span(u64);

impl Span {
    /// The maximum duration.
    pub const MAX: Self = Self(u64::MAX);
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Returns a duration of `micros` microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns a duration of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns a duration of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the duration in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the duration as a [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns this duration minus `other`, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl ops::Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::AddAssign for Span {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl ops::Mul<u64> for Span {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl ops::Div<u64> for Span {
    type Output = Self;

    /// Divides by `divisor`. Panics if `divisor` is zero, as integer division does.
    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03} ms", self.0 / 1_000, self.0 % 1_000)
    }
}
