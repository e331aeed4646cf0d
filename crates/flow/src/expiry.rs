//! Until when streams may begin by a list of upstreams.
//!
//! A version is derived as if every router that begins streams had known each change of the list for [`assignment::LAG`]. A router that is cut
//! off keeps its list, and must not begin streams by it for longer.

use tsw_base::time::{Span, Timestamp};

use crate::{assignment, registry::Position};

/// Time for which streams begin by a list after the moment up to which it was confirmed.
pub const TERM: Span = Span::from_millis(1_400);

const _: () = assert!(TERM.as_micros() < assignment::LAG.as_micros());

/// Up to when no other router can have known a change of the list that this one does not know.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// use tsw_flow::expiry::{Expiry, TERM};
/// let read_at = Timestamp::from_micros(1);
/// let mut expiry = Expiry::default();
/// expiry.record_confirmed(read_at);
/// assert!(!expiry.is_expired(read_at + TERM));
/// assert!(expiry.is_expired(read_at + TERM + Span::from_micros(1)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Expiry {
    confirmed_until: Option<Timestamp>,
    /// What other routers had stated up to a time, if this one did not know all of it then.
    awaited: Option<(Position, Timestamp)>,
}

impl Expiry {
    /// Records that the list is confirmed up to a time. A read of the store confirms it as of when it was sent, not as of when its response
    /// arrived. A list that was never confirmed does not expire.
    pub fn record_confirmed(&mut self, until: Timestamp) {
        self.confirmed_until = self.confirmed_until.max(Some(until));
    }

    /// Records contact with other routers at a time: the position up to which this one knows the list, and the latest that others have stated. The
    /// list is confirmed up to that time once this router knows what they knew.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_flow::{expiry::Expiry, registry::Position};
    /// let position = |revision| Position { era: None, revision };
    /// let (first, second) = (Timestamp::from_micros(1), Timestamp::from_micros(2));
    /// let mut expiry = Expiry::default();
    /// expiry.record_contact(first, position(5), position(5));
    /// expiry.record_contact(second, position(5), position(6));
    /// assert_eq!(expiry.age(second), Span::from_micros(1));
    /// expiry.record_contact(second, position(6), position(6));
    /// assert_eq!(expiry.age(second), Span::ZERO);
    /// ```
    pub fn record_contact(&mut self, at: Timestamp, known: Position, stated: Position) {
        let (awaited, since) = *self.awaited.get_or_insert((stated, at));
        if awaited <= known {
            self.record_confirmed(since);
            self.awaited = None;
        }
    }

    /// Returns whether the list had expired at a time, so that a request that arrived then must not begin a stream by it.
    #[must_use]
    pub fn is_expired(&self, at: Timestamp) -> bool {
        self.age(at) > TERM
    }

    /// Returns the time since the moment up to which the list was confirmed.
    #[must_use]
    pub fn age(&self, at: Timestamp) -> Span {
        let confirmed = self.confirmed_until;
        confirmed.map_or(Span::ZERO, |until| at.since(until))
    }
}
