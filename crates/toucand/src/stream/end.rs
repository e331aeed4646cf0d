//! The end of a relayed stream.

use bytes::{BufMut, BytesMut};
use sha2::Digest as _;
use tsw_event::Event;

use super::{Failure, Output, Relay};
use crate::reply::Outcome;

impl Relay {
    /// Ends the request after a failure: with an error if no token was sent, else with a last
    /// event.
    pub(super) fn fail(&mut self, failure: Failure) -> Result<Output, Failure> {
        if self.next_token == 0 {
            self.record_failure(&failure);
            return Err(failure);
        }
        let mut events = BytesMut::new();
        self.close_stream(&failure, &mut events);
        Ok(Output::Last(events.freeze()))
    }

    /// Ends a partially sent stream by appending an end event with the outcome `cut`.
    pub(super) fn close_stream(&mut self, failure: &Failure, events: &mut BytesMut) {
        self.record_failure(failure);
        self.append_end_event(Outcome::Cut, events);
    }

    fn record_failure(&mut self, failure: &Failure) {
        self.finished = true;
        self.active = None;
        self.candidate = None;
        match failure {
            Failure::Refused(refusal) => self.router.record_refusal(&self.call, refusal),
            Failure::Cut { code, message } => {
                self.router
                    .record_end(&self.call, Outcome::Cut, Event::Cut, code, message);
            }
        }
    }

    pub(super) fn complete(&mut self, mut events: BytesMut) -> Output {
        self.finished = true;
        self.candidate = None;
        if let Some(attempt) = self.active.take() {
            self.router.record_whole_response(&self.call);
            attempt.finish(self.latency.mean_gap(self.router.now()));
        }
        self.router.record_end(
            &self.call,
            Outcome::Complete,
            Event::Completed,
            "",
            &format!("tokens={}", self.next_token),
        );
        self.append_end_event(Outcome::Complete, &mut events);
        Output::Last(events.freeze())
    }

    fn append_end_event(&self, outcome: Outcome, events: &mut BytesMut) {
        let end = serde_json::json!({
            "outcome": outcome.as_str(),
            "chunks": self.next_token,
            "digest": hex::encode(self.digest.clone().finalize()),
            "request_id": &*self.call.request_id,
        });
        events.put_slice(format!("event: end\ndata: {end}\n\n").as_bytes());
    }
}
