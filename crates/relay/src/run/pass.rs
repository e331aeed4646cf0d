//! Passes the response of an upstream on to the client.

use bytes::{Bytes, BytesMut};
use tokio::time;
use tsw_event::{emit, Event};
use tsw_flow::verdict::Fault;
use tsw_http::exchange::{Error, Exchange};
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
            service.pool.answered(now, upstream);
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
            match self.data(&mut exchange).await? {
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
            match self.data(&mut exchange).await {
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
        if self.responder.progress() == Progress::Unsent {
            let mut fields = exchange.head().fields.clone();
            fields.strip_hop_by_hop();
            self.responder.begin(exchange.head().status, fields);
        } else {
            emit(
                Event::Resumed,
                &[("request", &self.request.id), ("upstream", &upstream)],
            );
        }
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        while let Some(data) = self.data(&mut exchange).await? {
            splitter
                .add(&data)
                .map_err(|long| Failed::new(Fault::Broken, long))?;
            while let Some(event) = splitter.take() {
                if is_after(event.id.as_ref(), self.last.as_ref()) {
                    self.last = event.id.or(self.last.take());
                    events.push(event.bytes);
                }
            }
            if !events.is_empty() {
                place.read();
                self.passed_on(&upstream, events.len() as u64);
                self.responder.data(&events).await?;
                events.clear();
            }
        }
        if !splitter.is_empty() {
            // The upstream stopped in the middle of an event, though it closed in order.
            return Err(Failed::new(Fault::Broken, "the stream ends within an event").into());
        }
        self.answered(&upstream);
        self.router.reuse(&place, exchange);
        drop(place);
        self.responder.end().await?;
        self.completed("streamed");
        Ok(End::Answered)
    }

    /// Waits for data of a response, for as long as its upstream may be silent.
    async fn data(&mut self, exchange: &mut Exchange) -> Result<Option<Bytes>, Failed> {
        let now = self.router.now();
        let limit = self.silence_ends(now).since(now).as_duration();
        match time::timeout(limit, exchange.data()).await {
            Ok(Ok(data)) => Ok(data),
            Ok(Err(error @ (Error::Io(_) | Error::Closed | Error::Head(_) | Error::Body(_)))) => {
                Err(Failed::new(Fault::Broken, error))
            }
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
