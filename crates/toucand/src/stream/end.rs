//! The end of a relayed stream.

use bytes::{BufMut, BytesMut};
use sha2::Digest as _;
use tsw_event::Event;

use super::{Failure, Output, Relay};
use crate::reply::Outcome;

impl Relay {
    pub(super) fn fail(&mut self, failure: Failure) -> Result<Output, Failure> {
        if self.next == 0 {
            self.end(&failure);
            return Err(failure);
        }
        let mut events = BytesMut::new();
        self.close(&failure, &mut events);
        Ok(Output::Last(events.freeze()))
    }

    pub(super) fn close(&mut self, failure: &Failure, events: &mut BytesMut) {
        self.end(failure);
        self.end_event(Outcome::Cut, events);
    }

    fn end(&mut self, failure: &Failure) {
        self.over = true;
        self.active = None;
        self.spare = None;
        match failure {
            Failure::Refused(refusal) => self.router.record_refusal(&self.call, refusal),
            Failure::Cut { code, message } => {
                self.router
                    .record_end(&self.call, Outcome::Cut, Event::Cut, code, message);
            }
        }
    }

    pub(super) fn complete(&mut self, mut events: BytesMut) -> Output {
        self.over = true;
        self.spare = None;
        if let Some(attempt) = self.active.take() {
            attempt.finish(self.token_timing.mean_gap(self.router.now()));
        }
        self.router.record_end(
            &self.call,
            Outcome::Complete,
            Event::Completed,
            "",
            &format!("tokens={}", self.next),
        );
        self.end_event(Outcome::Complete, &mut events);
        Output::Last(events.freeze())
    }

    fn end_event(&self, outcome: Outcome, events: &mut BytesMut) {
        let end = serde_json::json!({
            "outcome": outcome.as_str(),
            "chunks": self.next,
            "digest": hex::encode(self.digest.clone().finalize()),
            "request_id": &*self.call.request_id,
        });
        events.put_slice(format!("event: end\ndata: {end}\n\n").as_bytes());
    }
}
