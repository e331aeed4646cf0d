//! Numbers that another party states, such as a client, an upstream or an operator.
//!
//! They are limited where they are read, so that later sums, products and points in time cannot overflow.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

use crate::time::Span;

/// Maximum of a stated count. The sum of four thousand such counts fits into a `u32`.
pub const MAX_COUNT: u32 = 1 << 20;
/// Maximum of a stated amount, such as a number of tokens. The sum of a million such amounts fits into a `u64`.
pub const MAX_AMOUNT: u64 = 1 << 40;

/// A time that another party states, at most [`Time::MAX`].
///
/// ```
/// use tsw_base::{stated, time::Span};
/// assert_eq!(stated::Time::from_secs(5).as_span(), Span::from_secs(5));
/// assert_eq!(stated::Time::from_secs(u64::MAX), stated::Time::MAX);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(Span);

impl Time {
    /// The longest time: one day. Longer ones are meant as no limit.
    pub const MAX: Self = Self(Span::from_secs(24 * 60 * 60));

    /// Limits a time.
    #[must_use]
    pub fn new(stated: Span) -> Self {
        Self(stated).min(Self::MAX)
    }

    /// Limits a time in whole seconds.
    #[must_use]
    pub fn from_secs(secs: u64) -> Self {
        Self::new(Span::from_secs(secs))
    }

    /// Limits a time in milliseconds.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self::new(Span::from_millis(millis))
    }

    /// Returns the time.
    #[must_use]
    pub const fn as_span(self) -> Span {
        self.0
    }

    /// Returns the time as a [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        self.0.as_duration()
    }
}

/// Limits a count to [`MAX_COUNT`].
///
/// ```
/// assert_eq!(tsw_base::stated::count(1 << 32), tsw_base::stated::MAX_COUNT);
/// ```
#[must_use]
pub fn count(stated: u64) -> u32 {
    u32::try_from(stated).map_or(MAX_COUNT, |count| count.min(MAX_COUNT))
}

/// Limits an amount to [`MAX_AMOUNT`].
///
/// ```
/// assert_eq!(tsw_base::stated::amount(u64::MAX), tsw_base::stated::MAX_AMOUNT);
/// ```
#[must_use]
pub fn amount(stated: u64) -> u64 {
    stated.min(MAX_AMOUNT)
}

/// Decodes a count for `#[serde(deserialize_with)]` and limits it to [`MAX_COUNT`].
///
/// # Errors
///
/// Returns an error if there is no number.
pub fn deserialize_count<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    u32::deserialize(from).map(|stated| count(u64::from(stated)))
}

/// Decodes an amount for `#[serde(deserialize_with)]` and limits it to [`MAX_AMOUNT`].
///
/// # Errors
///
/// Returns an error if there is no number.
pub fn deserialize_amount<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    u64::deserialize(from).map(amount)
}

/// Limits an amount that may be fractional to the range from 0 to [`MAX_AMOUNT`]. What is no number is 0.
///
/// ```
/// use tsw_base::stated;
/// assert_eq!(stated::fraction(2.5), 2.5);
/// assert_eq!([f64::NAN, -1.0].map(stated::fraction), [0.0; 2]);
/// assert_eq!(stated::fraction(f64::INFINITY), stated::MAX_AMOUNT as f64);
/// ```
#[must_use]
pub fn fraction(stated: f64) -> f64 {
    stated.max(0.0).min(MAX_AMOUNT as f64)
}
