//! Passes the response of an upstream on to the client.

use bytes::{Bytes, BytesMut};
use tokio::time;
use tsw_base::time::Tick;
use tsw_event::{emit, Event};
use tsw_flow::retry::Fault;
use tsw_http::exchange::Exchange;
use tsw_route::Name;

use super::{End, Life, Stop};
use crate::{
    attempt::{Attempt, Failed},
    event::Splitter,
    responder::Progress,
};

/// Most bytes of a plain response that are held back until it is complete, so that a response
/// that breaks off can be replaced.
const MAX_HELD: usize = 1 << 20;

impl Life<'_, '_> {
    fn answered(&self, upstream: &Name) {
        let (router, now) = (self.router, self.router.now());
        router.with_service(&self.request.service, |service| {
            service.pool.record_success(now, upstream);
        });
    }

    /// Notes that events, or the whole of a plain answer, are passed on.
    fn passed_on(&mut self, upstream: &Name, events: u64) {
        let now = self.router.now();
        if self.pace.first.is_none() {
            self.router.began(self.request, upstream);
            let since = now.since(self.request.arrived);
            self.router.metrics.first.observe(since.as_secs_f64());
        }
        self.pace.note(self.request.arrived, now, events);
    }

    pub(super) async fn plain(&mut self, attempt: Attempt) -> Result<End, Stop> {
        let Attempt {
            mut exchange,
            place,
        } = attempt;
        let mut body = BytesMut::new();
        loop {
            let now = self.router.now();
            match self.data(&mut exchange, now).await? {
                None => break,
                Some(data) if body.len() + data.len() > MAX_HELD => {
                    body.extend_from_slice(&data);
                    return self.pass_on(exchange, body.freeze()).await;
                }
                Some(data) => body.extend_from_slice(&data),
            }
        }
        let upstream = place.choice().id.clone();
        let head = exchange.head().clone();
        self.router.reuse(&place, exchange);
        drop(place);
        let body = body.freeze();
        if head.status >= 500 {
            let cause = format!("status {}", head.status);
            self.failure = Some((head, body));
            return Err(Failed::new(Fault::Failed, cause).into());
        }
        self.answered(&upstream);
        if self.responder.progress() != Progress::Unsent {
            // A stream cannot go on with a response that is not a stream.
            let cause = format!("status {} instead of the rest of a stream", head.status);
            return Err(Failed::new(Fault::Broken, cause).into());
        }
        self.passed_on(&upstream, 1);
        self.whole(head, &body).await?;
        self.completed("answered");
        Ok(End::Answered)
    }

    /// Passes on a plain response that is too long to be held back.
    async fn pass_on(&mut self, mut exchange: Exchange, held: Bytes) -> Result<End, Stop> {
        let head = exchange.head().clone();
        let mut fields = head.fields;
        fields.strip_hop_by_hop();
        self.responder.begin(head.status, fields);
        self.responder.data(&[held]).await?;
        loop {
            let now = self.router.now();
            match self.data(&mut exchange, now).await {
                Ok(Some(data)) => self.responder.data(&[data]).await?,
                Ok(None) => break,
                Err(_) => return Ok(self.cut()),
            }
        }
        self.responder.end().await?;
        self.completed("answered");
        Ok(End::Answered)
    }

    pub(super) async fn stream(&mut self, attempt: Attempt) -> Result<End, Stop> {
        let Attempt {
            mut exchange,
            mut place,
        } = attempt;
        let upstream = place.choice().id.clone();
        if self.responder.progress() != Progress::Unsent {
            emit(
                Event::Resumed,
                &[("request", &self.request.id), ("upstream", &upstream)],
            );
        }
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        let mut since = self.router.now();
        while let Some(data) = self.data(&mut exchange, since).await? {
            splitter
                .add(&data)
                .map_err(|long| Failed::new(Fault::Broken, long))?;
            let mut count = 0;
            while let Some(event) = splitter.take() {
                if is_after(event.id.as_ref(), self.last.as_ref()) {
                    count += u64::from(!event.is_comment());
                    self.last = event.id.or(self.last.take());
                    events.push(event.bytes);
                }
            }
            if count > 0 {
                since = self.router.now();
                place.read();
                self.passed_on(&upstream, count);
            }
            if !events.is_empty() {
                self.begin(&exchange);
                self.responder.data(&events).await?;
                events.clear();
            }
        }
        if !splitter.is_empty() {
            // The upstream stopped in the middle of an event, though it closed in order.
            return Err(Failed::new(Fault::Broken, "the stream ends within an event").into());
        }
        self.answered(&upstream);
        self.begin(&exchange);
        self.router.reuse(&place, exchange);
        drop(place);
        self.responder.end().await?;
        self.completed("streamed");
        Ok(End::Answered)
    }

    /// Starts the answer with the head of a stream unless it was started before. Until the first
    /// event is there, a stream that breaks is still answered with a status of its own.
    fn begin(&mut self, exchange: &Exchange) {
        if self.responder.progress() == Progress::Unsent {
            let mut fields = exchange.head().fields.clone();
            fields.strip_hop_by_hop();
            self.responder.begin(exchange.head().status, fields);
        }
    }

    /// Waits for data of a response, for as long as its upstream may be without progress, which it
    /// made last at `since`. Bytes alone are no progress of a stream: one that stalls may still
    /// send some now and then.
    async fn data(
        &mut self,
        exchange: &mut Exchange,
        since: Tick,
    ) -> Result<Option<Bytes>, Failed> {
        let now = self.router.now();
        let limit = self.silence_ends(since).since(now).as_duration();
        match time::timeout(limit, exchange.data()).await {
            Ok(Ok(data)) => Ok(data),
            Ok(Err(error)) => Err(Failed::new(Fault::Broken, error)),
            Err(_) => Err(Failed::silent()),
        }
    }
}

/// Returns whether an event comes after the last one that was passed on. A stream that continues
/// elsewhere may repeat events.
fn is_after(id: Option<&Bytes>, last: Option<&Bytes>) -> bool {
    let number =
        |id: Option<&Bytes>| -> Option<u64> { std::str::from_utf8(id?).ok()?.trim().parse().ok() };
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id > last,
        _ => true,
    }
}
