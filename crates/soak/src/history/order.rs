//! Checks of the order of events, also of those in responses that break.

use super::{History, Request};

impl Request {
    /// Returns the number of the first event that the client of a stream does not have.
    pub(super) fn first_event(&self) -> u64 {
        let stream = self.stream.as_ref();
        let last = stream.and_then(|stream| stream.last);
        last.map_or(0, |last| last + 1)
    }
}

impl History {
    /// Returns the responses that broke after events that are missing, repeated or out of order.
    pub(super) fn misplaced_events(&self) -> Vec<String> {
        let is_misplaced = |request: &Request| {
            let events = request.events().into_iter();
            let expected = request.first_event()..;
            request.kind.is_stream()
                && !request.is_complete()
                && events
                    .zip(expected)
                    .any(|(event, number)| event.id != number)
        };
        let requests = self.requests.iter();
        let misplaced = requests.filter(|(_, request)| is_misplaced(request));
        let described = misplaced.map(|(id, request)| {
            let description = self.describe(id, request);
            format!("events are missing, repeated or out of order: {description}")
        });
        described.collect()
    }

    /// Returns whether a response to a stream looks complete before the last event.
    pub(super) fn ends_early(&self, request: &Request) -> bool {
        let events = request.events();
        let next = events
            .last()
            .map_or(request.first_event(), |last| last.id + 1);
        request.is_complete() && next < self.plan.stream_events()
    }
}
