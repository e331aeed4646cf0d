//! Keeps a stream at the software version of the engine that began it.
//!
//! The tokens that two versions generate for one request do not fit together, and engines do not
//! check which version began a stream. Of an engine that has crashed, the version is unknown until the
//! host list names it (see [`tsw_board::runs`]): streams may begin there, but none goes on there or from there. An engine
//! that states its version in the head of a response is taken at its word: the process that states it sends the tokens.

use std::time::Duration;

use actix_rt::time;
use tsw_base::name;
use tsw_board::runs::Software;
use tsw_event::Event;
use tsw_grant::message::Class;

use super::{Candidate, Failure, Output, Relay};
use crate::{engine::Attempt, slot::Slot};

/// Maximum number of slots that a stream returns because their engine runs another version.
const MAX_MISMATCHED: u32 = 20;
/// Time for which a slot is kept that is to be returned. The home grants the least used engine, which would be the
/// same one again.
const KEPT_TIME: Duration = Duration::from_millis(200);

impl Relay {
    /// Takes the software of the stream for unknown if the host list states another version of its engine than when
    /// the engine got the request: which one the process runs that sends the stream is unknown then.
    pub(super) fn check_software(&mut self) {
        let sending = self.active.as_ref();
        let sending = sending.filter(|attempt| !attempt.states_software());
        let sending = sending.and_then(Attempt::slot);
        let (Some(began), Some(slot)) = (&self.software, sending) else {
            return;
        };
        let listed = self.router.software(slot.upstream());
        if listed != Software::Unknown && listed != *began {
            self.software = Some(Software::Unknown);
        }
    }

    /// Returns whether an engine may send the rest of the stream. If the host list states no version of it, its response
    /// may.
    pub(super) fn may_continue_at(&mut self, upstream: &name::Upstream) -> bool {
        self.check_software();
        let began = self.software.as_ref();
        began.is_none_or(|began| began.may_be_stated_by(&self.router.software(upstream)))
    }

    /// Returns whether an attempt may send the rest of the stream.
    pub(super) fn may_take_over(&self, attempt: &Attempt) -> bool {
        let began = self.software.as_ref();
        began.is_none_or(|began| began.may_continue_at(&attempt.software()))
    }

    /// Lets an attempt that is open send the rest of the stream, if it may.
    pub(super) fn take_over(&mut self, attempt: Attempt) -> Result<Option<Output>, Failure> {
        if !self.may_take_over(&attempt) {
            return self.drop_candidate(attempt);
        }
        self.opened(attempt);
        Ok(None)
    }

    /// Records the software of the attempt that has sent the first token. A candidate of another
    /// one, which was opened before, is dropped.
    pub(super) fn record_software(&mut self) {
        if self.software.is_none() {
            self.software = self.active.as_ref().map(Attempt::software);
        }
        match self.candidate.take() {
            Some(Candidate::Open(attempt)) if !self.may_take_over(&attempt) => drop(attempt),
            candidate => self.candidate = candidate,
        }
    }

    /// Returns a slot whose engine is not known to run the software of the stream, and requests another one.
    pub(super) fn return_slot(&mut self, slot: Slot) -> Result<Option<Output>, Failure> {
        let upstream = slot.upstream().clone();
        actix_rt::spawn(async move {
            time::sleep(KEPT_TIME).await;
            drop(slot);
        });
        self.request_matching_slot(upstream)
    }

    /// Cancels an attempt whose engine is not known to run the software that has begun meanwhile.
    pub(super) fn drop_candidate(&mut self, attempt: Attempt) -> Result<Option<Output>, Failure> {
        let upstream = attempt.slot().map(|slot| slot.upstream().clone());
        drop(attempt);
        match upstream {
            Some(upstream) => self.request_matching_slot(upstream),
            None => self.enqueue_candidate(Class::Urgent),
        }
    }

    fn request_matching_slot(
        &mut self,
        mismatched: name::Upstream,
    ) -> Result<Option<Output>, Failure> {
        self.candidate = None;
        self.mismatched_slots += 1;
        self.router.record_event(
            Event::SlotReturned,
            &self.call.request_id,
            &[("upstream", &mismatched), ("next", &self.next_token)],
        );
        // A stalled stream goes on where it is.
        if self.active.is_some() {
            return Ok(None);
        }
        let (router, service) = (&self.router, &self.call.service);
        let began = self.software.as_ref();
        let is_served = began.is_none_or(|began| router.is_served(service, began));
        if !is_served || self.mismatched_slots > MAX_MISMATCHED {
            return Err(self.failure("version"));
        }
        let wait = self
            .router
            .enqueue(&self.call, Class::Urgent, Some(mismatched));
        self.candidate = Some(Candidate::Waiting(wait));
        Ok(None)
    }
}
