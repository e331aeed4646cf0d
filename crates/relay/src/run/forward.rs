//! Forwards the response of an upstream to the client.

use bytes::{Bytes, BytesMut};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    origin::{Origin, Software},
    pool::Choice,
    retry::FailureKind,
};
use tsw_http::exchange::Exchange;
use tsw_route::Name;

use super::{AttemptFailure, Outcome, RequestRun};
use crate::{
    attempt::{Attempt, AttemptError},
    event::Splitter,
    responder::Progress,
    upstream_run::ResponseEnd,
};

/// Maximum number of bytes of a plain response that are buffered until it is complete, so that a
/// retry can replace a response that breaks off.
const MAX_BUFFERED: usize = 1 << 20;
/// Maximum number of bytes of the body of a failure, which is kept while the request is tried elsewhere.
const MAX_FAILURE_BYTES: usize = 65_536;

impl RequestRun<'_, '_> {
    /// Records that an upstream responded in full.
    fn record_success(&self, choice: &Choice) {
        let (router, now, sent) = (self.router, self.router.now(), self.attempted_at);
        router.record_whole_response(self.request, &choice.id);
        router.with_service(&self.request.service, |service| {
            service.pool.record_success(now, &choice.id);
            service.pool.record_running(choice, sent);
        });
    }

    /// Records that events, or a whole plain response, are forwarded.
    fn record_forwarded(&mut self, upstream: &Name, events: u64) {
        let now = self.router.now();
        if self.timing.first_event.is_none() {
            self.router.record_response_start(upstream);
            if self.request.is_resume() {
                self.router
                    .count_resume_outcome(&self.request.service, "began");
            }
            let since = now.since(self.request.arrived);
            self.router.metrics.first_event.observe(since.as_secs_f64());
        }
        if let (Some(last), 1..) = (self.timing.last(), events) {
            let pause = Span::from_micros(now.since(last).as_micros() / events);
            self.router.with_service(&self.request.service, |service| {
                let pool = &mut service.pool;
                pool.record_pause_between_events(now, upstream, pause);
            });
        }
        self.timing.record(self.request.arrived, now, events);
        self.left_silent.clear();
        self.stalled_since.set(None);
    }

    pub(super) async fn forward_plain(
        &mut self,
        attempt: Attempt,
    ) -> Result<Outcome, AttemptFailure> {
        let Attempt {
            mut exchange,
            reservation,
        } = attempt;
        let choice = reservation.choice().clone();
        let upstream = choice.id.clone();
        let has_failed = exchange.head().status >= 500;
        let max = if has_failed {
            MAX_FAILURE_BYTES
        } else {
            MAX_BUFFERED
        };
        let mut share = self.router.memory.share(self.request.team().into());
        let mut body = BytesMut::new();
        loop {
            let now = self.router.now();
            let Some(data) = self.next_data(&mut exchange, &upstream, now).await? else {
                break;
            };
            body.extend_from_slice(&data);
            let fits = body.len() <= max && share.resize(body.capacity()).is_ok();
            if !fits && has_failed {
                let cause = format!("status {} with a long body", exchange.head().status);
                return Err(AttemptError::new(FailureKind::Failed, cause).into());
            }
            if !fits && self.responder.progress() != Progress::NotStarted {
                let cause = "a plain response instead of the rest of a stream";
                return Err(AttemptError::new(FailureKind::Broken, cause).into());
            }
            if !fits {
                drop(share);
                let choice = reservation.choice();
                return self.forward_rest(exchange, choice, body.freeze()).await;
            }
        }
        self.check_end(&exchange, reservation.choice()).await?;
        let head = exchange.head().clone();
        self.router.reuse(&reservation, exchange);
        drop(reservation);
        let body = body.freeze();
        if head.status >= 500 {
            let cause = format!("status {}", head.status);
            self.failure = Some((head, body));
            return Err(AttemptError::new(FailureKind::Failed, cause).into());
        }
        self.record_success(&choice);
        if self.responder.progress() != Progress::NotStarted {
            // A stream cannot be resumed by a plain response.
            let cause = format!("status {} instead of the rest of a stream", head.status);
            return Err(AttemptError::new(FailureKind::Broken, cause).into());
        }
        self.record_forwarded(&upstream, 1);
        self.forward_whole(head, &body).await?;
        self.record_completion("answered");
        Ok(Outcome::Complete)
    }

    /// Forwards a plain response that is too long to be buffered. No retry can replace it, so there is no
    /// stall timeout.
    async fn forward_rest(
        &mut self,
        mut exchange: Exchange,
        choice: &Choice,
        buffered: Bytes,
    ) -> Result<Outcome, AttemptFailure> {
        let head = exchange.head().clone();
        let mut fields = head.fields;
        fields.strip_hop_by_hop();
        self.responder.start(head.status, fields);
        self.responder.write_data(&[buffered]).await?;
        loop {
            match exchange.data().await {
                Ok(Some(data)) => self.responder.write_data(&[data]).await?,
                Ok(None) => break,
                Err(error) => return Ok(self.truncate(error)),
            }
        }
        if let Err(error) = self.check_end(&exchange, choice).await {
            return Ok(self.truncate(error.cause));
        }
        self.responder.finish().await?;
        self.record_completion("answered");
        Ok(Outcome::Complete)
    }

    pub(super) async fn forward_stream(
        &mut self,
        attempt: Attempt,
    ) -> Result<Outcome, AttemptFailure> {
        let Attempt {
            mut exchange,
            mut reservation,
        } = attempt;
        let Choice {
            id: upstream,
            software,
            ..
        } = reservation.choice().clone();
        if self.responder.progress() != Progress::NotStarted {
            emit(
                Event::Resumed,
                &[
                    ("request", &self.request.id),
                    ("upstream", &upstream),
                    ("software", &software),
                ],
            );
        }
        let mut share = self.router.memory.share(self.request.team().into());
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        let mut since = self.router.now();
        while let Some(data) = self.next_data(&mut exchange, &upstream, since).await? {
            splitter
                .add(&data)
                .map_err(|error| AttemptError::new(FailureKind::Broken, error))?;
            share
                .resize(splitter.buffered())
                .map_err(|error| AttemptError::new(FailureKind::Broken, error))?;
            let mut count = 0;
            while let Some(event) = splitter.take() {
                if is_after(event.id.as_ref(), self.last_event_id.as_ref()) {
                    count += u64::from(!event.is_comment());
                    self.last_event_id = event.id.or(self.last_event_id.take());
                    events.push(event.bytes);
                }
            }
            if count > 0 {
                since = self.router.now();
                reservation.record_prefill_done();
                self.record_forwarded(&upstream, count);
            }
            if !events.is_empty() {
                self.update_origin(reservation.choice());
                self.start_response(&exchange, reservation.choice());
                self.responder.write_data(&events).await?;
                events.clear();
            }
        }
        if !splitter.is_empty() {
            // The body is complete by its framing but ends within an event.
            return Err(
                AttemptError::new(FailureKind::Broken, "the stream ends within an event").into(),
            );
        }
        self.check_end(&exchange, reservation.choice()).await?;
        self.record_success(reservation.choice());
        self.start_response(&exchange, reservation.choice());
        self.router.reuse(&reservation, exchange);
        drop(reservation);
        self.responder.finish().await?;
        if let Some(stream) = self.running_stream.take() {
            stream.complete();
        }
        self.record_completion("streamed");
        Ok(Outcome::Complete)
    }

    /// Checks that a response is whole whose end has arrived. Whether one that ends with its connection is can only
    /// be told from its upstream.
    async fn check_end(&self, exchange: &Exchange, choice: &Choice) -> Result<(), AttemptError> {
        if !exchange.ends_with_connection() {
            return Ok(());
        }
        let (service, sent) = (&self.request.service, self.attempted_at);
        let end = self.router.check_response_end(service, choice, sent).await;
        let state = match end {
            ResponseEnd::Whole => return Ok(()),
            ResponseEnd::Down => "accepts no connection",
            ResponseEnd::Restarted => "has started again",
            ResponseEnd::Silent => "does not answer",
        };
        let cause =
            format!("the response may be cut: it ends without a length, and its upstream {state}");
        Err(AttemptError::new(FailureKind::Broken, cause))
    }

    /// Starts the response with the head of a stream unless it was started before. A stream that breaks
    /// before its first event can therefore still be answered with an error status.
    fn start_response(&mut self, exchange: &Exchange, choice: &Choice) {
        if self.responder.progress() == Progress::NotStarted {
            let software = if self.is_unconfirmed {
                self.router.confirmed_software(self.attempted_at, choice)
            } else {
                choice.software.clone()
            };
            self.record_origin(&software);
            let mut fields = exchange.head().fields.clone();
            fields.strip_hop_by_hop();
            self.responder.start(exchange.head().status, fields);
        }
    }

    /// Records the software that began the stream if it was unknown and its upstream has stated its run meanwhile. The
    /// connection has lasted, so that the same run has written all events.
    fn update_origin(&mut self, choice: &Choice) {
        let is_unknown = |origin: &Origin| origin.software.is_unknown();
        if !self.is_unconfirmed || !self.origin.as_ref().is_some_and(is_unknown) {
            return;
        }
        let software = self.router.confirmed_software(self.attempted_at, choice);
        if software.is_unknown() {
            return;
        }
        let service = self.request.service.clone();
        let origin = Origin { service, software };
        self.router
            .record_origin(self.request.key(), origin.clone());
        if let Some(stream) = &self.running_stream {
            stream.set_origin(origin.clone());
        }
        self.origin = Some(origin);
    }

    /// Records where the stream began. The head of its response is that of the first upstream, so that
    /// events of other software must not follow it.
    fn record_origin(&mut self, software: &Software) {
        let (router, request) = (self.router, self.request);
        let origin = self.origin.get_or_insert_with(|| Origin {
            service: request.service.clone(),
            software: software.clone(),
        });
        // Otherwise its upstream may still state its run.
        if !self.is_unconfirmed {
            router.record_unknown_software(origin);
        }
        let resumed = request.resumed_key();
        for key in resumed.into_iter().chain([request.key()]) {
            router.record_origin(key, origin.clone());
        }
        router.record_resumption(request);
        if request.route.kind.may_repeat() {
            let key = resumed.unwrap_or(request.key());
            self.running_stream = Some(router.begin_stream(key, origin.clone()));
        }
    }

    /// Waits for data of a response whose last progress was at `since`. Only events count as progress of
    /// a stream, since a stalled one may still send bytes now and then.
    async fn next_data(
        &self,
        exchange: &mut Exchange,
        upstream: &Name,
        since: Timestamp,
    ) -> Result<Option<Bytes>, AttemptFailure> {
        let data = self.wait_for_progress(upstream, since, exchange.data());
        let data = data.await?;
        data.map_err(|error| AttemptError::new(FailureKind::Broken, error).into())
    }
}

/// Returns whether an event comes after the last one that was forwarded. A stream resumed at another
/// upstream may repeat events.
fn is_after(id: Option<&Bytes>, last: Option<&Bytes>) -> bool {
    let number =
        |id: Option<&Bytes>| -> Option<u64> { std::str::from_utf8(id?).ok()?.trim().parse().ok() };
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id > last,
        _ => true,
    }
}
