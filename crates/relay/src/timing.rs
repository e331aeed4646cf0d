//! Timing of the events of a stream.

use tsw_base::time::{Span, Timestamp};

/// Times at which the events of a stream were forwarded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventTiming {
    last: Option<Timestamp>,
    /// Time from the arrival of the request to the first event.
    pub first_event: Option<Span>,
    /// Longest pause between two events.
    pub max_gap: Span,
    /// Number of events.
    pub events: u64,
}

impl EventTiming {
    /// Returns when the last event was forwarded.
    #[must_use]
    pub const fn last(&self) -> Option<Timestamp> {
        self.last
    }

    /// Records that events of a request that arrived at `arrived` are forwarded.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// let mut timing = tsw_relay::timing::EventTiming::default();
    /// let at = |millis| Timestamp::ZERO + Span::from_millis(millis);
    /// timing.record(at(1), at(5), 1);
    /// timing.record(at(1), at(9), 2);
    /// assert_eq!((timing.first_event, timing.max_gap), (Some(Span::from_millis(4)), Span::from_millis(4)));
    /// ```
    pub fn record(&mut self, arrived: Timestamp, now: Timestamp, events: u64) {
        match self.last {
            None => self.first_event = Some(now.since(arrived)),
            Some(last) => self.max_gap = self.max_gap.max(now.since(last)),
        }
        self.last = Some(now);
        self.events += events;
    }
}
