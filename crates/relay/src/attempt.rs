//! Sends a request to an upstream and reads the head of the response.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::time;
use tsw_base::time::Tick;
use tsw_event::{emit, Event};
use tsw_flow::retry::Fault;
use tsw_http::{
    connection::Connection,
    exchange::{Error, Exchange},
};

use crate::{request::Request, router::Router, wait::Place};

/// Longest time to make a connection to an upstream. It takes one round trip and about a
/// millisecond of the upstream.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Responses to other requests that are skipped before the response to this one.
const MAX_FOREIGN: usize = 2;

/// A response that has begun, and the place at the upstream that it uses.
pub struct Attempt {
    /// The response.
    pub exchange: Exchange,
    /// The place.
    pub place: Place,
}

/// An attempt without a usable response.
#[derive(Debug)]
pub struct Failed {
    /// What it means for the request.
    pub fault: Fault,
    /// What happened, for the log.
    pub cause: String,
    /// The upstream said nothing at all in time.
    pub silent: bool,
}

impl Failed {
    pub(crate) fn new(fault: Fault, cause: impl ToString) -> Self {
        Self {
            fault,
            cause: cause.to_string(),
            silent: false,
        }
    }

    pub(crate) fn silent() -> Self {
        Self {
            silent: true,
            ..Self::new(Fault::Broken, "no answer in time")
        }
    }
}

impl Router {
    /// Sends a request to the upstream of a place and waits until `until` for the head of the
    /// response. `after` names the event after which a stream continues.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Returns what the missing response means.
    pub async fn send(
        self: &Rc<Self>,
        request: &Request,
        place: Place,
        after: Option<&Bytes>,
        until: Tick,
    ) -> Result<Attempt, Failed> {
        let address = place.choice().address;
        let kept = self.connections.borrow_mut().take(address, Instant::now());
        let reused = kept.is_some();
        let connection = match kept {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(address, CONNECT_LIMIT).await;
                opened.map_err(|error| Failed::new(Fault::Unreachable, error))?
            }
        };
        let now = self.now();
        let left_ms = request.due().since(now).as_millis();
        if left_ms == 0 {
            return Err(Failed::new(Fault::Unreachable, "no time is left"));
        }
        let head = self
            .dialect
            .request(request, place.choice(), left_ms, after);
        let known = self.oldest_statement();
        self.metrics.age.observe(known.as_secs_f64());
        emit(
            Event::Dispatched,
            &[
                ("request", &request.id),
                ("team", &request.team()),
                ("upstream", &place.choice().id),
                ("waited_us", &now.since(request.arrived).as_micros()),
                ("unread", &place.choice().uncached_tokens),
                ("fetch", &place.choice().fetch_from.is_some()),
                ("known_us", &known.as_micros()),
                ("reused", &reused),
            ],
        );
        let answered = async {
            let mut exchange = Exchange::open(connection, &head, request.body.clone()).await?;
            for _ in 0..MAX_FOREIGN {
                if self.dialect.report(request, exchange.head()).own != Some(false) {
                    break;
                }
                exchange = exchange.skip(&head).await?;
            }
            Ok::<_, Error>(exchange)
        };
        let limit = until.since(now).as_duration();
        let exchange = match time::timeout(limit, answered).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => return Err(Failed::new(Fault::Broken, error)),
            Err(_) => return Err(Failed::silent()),
        };
        let status = exchange.head().status;
        let report = self.dialect.report(request, exchange.head());
        if report.own == Some(false) {
            return Err(Failed::new(
                Fault::Broken,
                "the response is to another request",
            ));
        }
        // On a connection that was used before, it may be a late copy of an earlier response.
        let nameless = report.own.is_none();
        if nameless && (reused || (200..300).contains(&status)) {
            return Err(Failed::new(Fault::Broken, "the response names no request"));
        }
        if report.not_run {
            self.keep(&place, exchange).await;
            return Err(Failed::new(
                Fault::NotRun,
                format!("not run, status {status}"),
            ));
        }
        Ok(Attempt { exchange, place })
    }

    /// Reads the rest of a short response and keeps its connection.
    async fn keep(&self, place: &Place, mut exchange: Exchange) {
        let rest = async {
            while exchange.data().await?.is_some() {}
            Ok::<_, Error>(())
        };
        if matches!(time::timeout(CONNECT_LIMIT, rest).await, Ok(Ok(()))) {
            self.reuse(place, exchange);
        }
    }

    /// Keeps the connection of a complete exchange for later requests.
    pub(crate) fn reuse(&self, place: &Place, exchange: Exchange) {
        if let Some(reusable) = exchange.finish() {
            let routers = self.routers();
            let most =
                self.with_service(place.service(), |service| service.idle_connections(routers));
            let mut connections = self.connections.borrow_mut();
            connections.put(
                place.choice().address,
                reusable,
                Instant::now(),
                most.unwrap_or_default(),
            );
        }
    }
}
