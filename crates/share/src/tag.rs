//! Virtual time of fair sharing: the service of a team divided by its share.

use std::ops;

use tsw_base::time;

/// Picoseconds per microsecond. The charge of one request in a large fleet is less than a
/// nanosecond of fleet capacity, so a coarser unit would lose it.
const PICOS_PER_MICRO: u128 = 1_000_000;

/// Service divided by share, in picoseconds of fleet capacity.
///
/// 128 bits suffice: a team with a share of one millionth that uses a fleet alone would need longer
/// to overflow them than any process runs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tag(u128);

impl Tag {
    /// The initial value of all tags.
    pub const ZERO: Self = Self(0);

    /// Converts slot time to fleet time for a team with a share of `share_ppm` millionths of
    /// `slots` slots. A `share_ppm` or `slots` of 0 counts as 1.
    ///
    /// ```
    /// use tsw_base::time::Span;
    /// use tsw_share::tag::Tag;
    ///
    /// let second = Span::from_secs(1);
    /// assert_eq!(Tag::from_slot_time(second, 250_000, 8), Tag::from(Span::from_millis(500)));
    /// ```
    #[must_use]
    pub fn from_slot_time(slot_time: time::Span, share_ppm: u32, slots: u64) -> Self {
        let weight = u128::from(share_ppm.max(1)) * u128::from(slots.max(1));
        Self(u128::from(slot_time.as_micros()) * PICOS_PER_MICRO * 1_000_000 / weight)
    }

    /// Returns this tag minus `other`, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns how far this tag is ahead of `other` in microseconds; negative when it is behind.
    #[must_use]
    pub fn lead_us(self, other: Self) -> i64 {
        let micros = |tag: Self| i64::try_from(tag.0 / PICOS_PER_MICRO).unwrap_or(i64::MAX);
        if self >= other {
            micros(self.saturating_sub(other))
        } else {
            -micros(other.saturating_sub(self))
        }
    }

    /// Returns this tag changed by `lead_us` microseconds, but at least zero.
    #[must_use]
    pub fn offset_by(self, lead_us: i64) -> Self {
        let by = Self(u128::from(lead_us.unsigned_abs()) * PICOS_PER_MICRO);
        if lead_us < 0 {
            self.saturating_sub(by)
        } else {
            self + by
        }
    }
}

impl From<time::Span> for Tag {
    fn from(span: time::Span) -> Self {
        Self(u128::from(span.as_micros()) * PICOS_PER_MICRO)
    }
}

impl ops::Add for Tag {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
