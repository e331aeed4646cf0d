//! Service of a team divided by its share, as a length of fleet time.

use std::ops;

use tsw_base::time;

/// Picoseconds in a microsecond. Charges of large fleets are below a nanosecond of fleet time.
const SCALE: u128 = 1_000_000;

/// Service divided by share, in picoseconds of fleet capacity.
///
/// 128 bits hold the tag of a team with a share of a millionth that uses a fleet alone for longer
/// than any process runs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tag(u128);

impl Tag {
    /// Where all tags start.
    pub const ZERO: Self = Self(0);

    /// Returns the length of fleet time that `slot_time` is worth to a team with a share of
    /// `share_ppm` millionths of `slots` slots. A share or fleet of zero counts as one.
    ///
    /// ```
    /// use tsw_base::time::Span;
    /// use tsw_share::tag::Tag;
    ///
    /// let second = Span::from_secs(1);
    /// assert_eq!(Tag::of(second, 250_000, 8), Tag::from(Span::from_millis(500)));
    /// ```
    #[must_use]
    pub fn of(slot_time: time::Span, share_ppm: u32, slots: u64) -> Self {
        let part = u128::from(share_ppm.max(1)) * u128::from(slots.max(1));
        Self(u128::from(slot_time.as_micros()) * SCALE * 1_000_000 / part)
    }

    /// Returns this tag less `other`, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns how far this tag is ahead of `other` in microseconds; negative when it is behind.
    #[must_use]
    pub fn lead_us(self, other: Self) -> i64 {
        let micros = |tag: Self| i64::try_from(tag.0 / SCALE).unwrap_or(i64::MAX);
        if self >= other {
            micros(self.saturating_sub(other))
        } else {
            -micros(other.saturating_sub(self))
        }
    }

    /// Returns this tag moved by `lead_us` microseconds, at least zero.
    #[must_use]
    pub fn moved(self, lead_us: i64) -> Self {
        let by = Self(u128::from(lead_us.unsigned_abs()) * SCALE);
        if lead_us < 0 {
            self.saturating_sub(by)
        } else {
            self + by
        }
    }
}

impl From<time::Span> for Tag {
    fn from(span: time::Span) -> Self {
        Self(u128::from(span.as_micros()) * SCALE)
    }
}

impl ops::Add for Tag {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
