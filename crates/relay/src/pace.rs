//! When the events of a stream were passed on.

use tsw_base::time::{Span, Tick};

/// When the events of a stream were passed on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    last: Option<Tick>,
    /// Time from the arrival of the request to the first event.
    pub first: Option<Span>,
    /// Longest pause between two events.
    pub gap: Span,
    /// Number of events.
    pub events: u64,
}

impl Pace {
    /// Notes that events of a request that arrived at `arrived` are passed on.
    ///
    /// ```
    /// use tsw_base::time::{Span, Tick};
    /// let mut pace = tsw_relay::pace::Pace::default();
    /// let at = |millis| Tick::ZERO + Span::from_millis(millis);
    /// pace.note(at(1), at(5), 1);
    /// pace.note(at(1), at(9), 2);
    /// assert_eq!((pace.first, pace.gap), (Some(Span::from_millis(4)), Span::from_millis(4)));
    /// ```
    pub fn note(&mut self, arrived: Tick, now: Tick, events: u64) {
        match self.last {
            None => self.first = Some(now.since(arrived)),
            Some(last) => self.gap = self.gap.max(now.since(last)),
        }
        self.last = Some(now);
        self.events += events;
    }
}
