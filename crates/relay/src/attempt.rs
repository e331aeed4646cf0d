//! Sends a request to an upstream and reads the head of the response.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::time;
use tsw_event::{emit, Event};
use tsw_flow::retry::FailureKind;
use tsw_http::{
    connection::Connection,
    exchange::{Error, Exchange, ReusableConnection},
};

use crate::{request::Request, reservation::Reservation, router::Router};

/// Timeout for connecting to an upstream. A connection takes one round trip and about 1 ms of the
/// upstream's time.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of responses to other requests that are skipped before the response to this one.
const MAX_MISMATCHED: usize = 2;

/// A response whose head has arrived, and the reserved slot at the upstream that it uses.
pub struct Attempt {
    /// The response.
    pub exchange: Exchange,
    /// The reserved slot.
    pub reservation: Reservation,
}

/// An attempt without a usable response.
#[derive(Debug)]
pub struct AttemptError {
    /// The kind of failure, which decides whether the request may be retried.
    pub kind: FailureKind,
    /// Description of the failure for the log.
    pub cause: String,
    /// The upstream sent nothing before the timeout.
    pub timed_out: bool,
}

impl AttemptError {
    pub(crate) fn new(kind: FailureKind, cause: impl ToString) -> Self {
        Self {
            kind,
            cause: cause.to_string(),
            timed_out: false,
        }
    }

    pub(crate) fn timeout() -> Self {
        Self {
            timed_out: true,
            ..Self::new(FailureKind::Broken, "no answer in time")
        }
    }
}

impl Router {
    /// Sends a request to the upstream of a reservation and waits for the head of the response. `after`
    /// is the identifier of the event after which a stream resumes.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable response and whether the request may have run.
    pub async fn send(
        self: &Rc<Self>,
        request: &Request,
        reservation: Reservation,
        after: Option<&Bytes>,
    ) -> Result<Attempt, AttemptError> {
        let address = reservation.choice().address;
        let pooled = self
            .connections
            .borrow_mut()
            .take(address, Instant::now(), &request.id);
        let reused = pooled.is_some();
        let connection = match pooled {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(address, CONNECT_TIMEOUT).await;
                opened.map_err(|error| AttemptError::new(FailureKind::Unreachable, error))?
            }
        };
        if self.stated_leaving(&reservation) {
            return Err(AttemptError::new(
                FailureKind::Unreachable,
                "the upstream is leaving",
            ));
        }
        if self.is_paused(&reservation) {
            return Err(AttemptError::new(
                FailureKind::Unreachable,
                "the upstream asked for a pause",
            ));
        }
        let now = self.now();
        let left_ms = request.due().since(now).as_millis();
        if left_ms == 0 {
            return Err(AttemptError::new(
                FailureKind::Unreachable,
                "the deadline has passed",
            ));
        }
        let head = self
            .protocol
            .request_head(request, reservation.choice(), left_ms, after);
        let report_age = self.oldest_report_age();
        self.metrics.report_age.observe(report_age.as_secs_f64());
        let assigned = self.assigned_software(request);
        let assigned = assigned.map_or("-".to_owned(), |software| software.to_string());
        emit(
            Event::Dispatched,
            &[
                ("request", &request.id),
                ("team", &request.team()),
                ("upstream", &reservation.choice().id),
                ("waited_us", &now.since(request.arrived).as_micros()),
                ("resumes", &request.is_resume()),
                ("unread", &reservation.choice().uncached_tokens),
                ("fetch", &reservation.choice().fetch_from.is_some()),
                ("known_us", &report_age.as_micros()),
                ("reused", &reused),
                ("software", &reservation.choice().software),
                ("assigned", &assigned),
            ],
        );
        let response = async {
            let mut exchange = Exchange::open(connection, &head, request.body.clone()).await?;
            let mut skipped = false;
            for _ in 0..MAX_MISMATCHED {
                if self
                    .protocol
                    .response_info(request, exchange.head())
                    .matches_request
                    != Some(false)
                {
                    break;
                }
                exchange = exchange.skip(&head).await?;
                skipped = true;
            }
            Ok::<_, Error>((exchange, skipped))
        };
        let (exchange, skipped) = response
            .await
            .map_err(|error| AttemptError::new(FailureKind::Broken, error))?;
        let status = exchange.head().status;
        let info = self.protocol.response_info(request, exchange.head());
        if info.matches_request == Some(false) {
            return Err(AttemptError::new(
                FailureKind::Broken,
                "the response belongs to another request",
            ));
        }
        // It may be a late copy of an earlier response.
        let unidentified = info.matches_request.is_none();
        if !(unidentified && (reused || skipped)) {
            self.record_statements(request, &reservation, info, now);
        }
        if unidentified && (reused || skipped || (200..300).contains(&status)) {
            return Err(AttemptError::new(
                FailureKind::Broken,
                "the response carries no request identifier",
            ));
        }
        if info.not_run {
            self.drain_and_reuse(request, &reservation, exchange).await;
            return Err(AttemptError::new(
                FailureKind::NotRun,
                format!("not run, status {status}"),
            ));
        }
        Ok(Attempt {
            exchange,
            reservation,
        })
    }

    /// Reads the rest of a refusal and returns its connection to the pool.
    async fn drain_and_reuse(
        &self,
        request: &Request,
        reservation: &Reservation,
        mut exchange: Exchange,
    ) {
        let rest = async {
            while exchange.data().await?.is_some() {}
            Ok::<_, Error>(())
        };
        if !matches!(time::timeout(CONNECT_TIMEOUT, rest).await, Ok(Ok(()))) {
            return;
        }
        if let Some(mut reusable) = exchange.finish() {
            if reusable.connection.record_refusal(&request.id) {
                self.keep(reservation, reusable);
            }
        }
    }

    /// Returns the connection of a complete exchange to the pool.
    pub(crate) fn reuse(&self, reservation: &Reservation, exchange: Exchange) {
        if let Some(reusable) = exchange.finish() {
            self.keep(reservation, reusable);
        }
    }

    fn keep(&self, reservation: &Reservation, reusable: ReusableConnection) {
        let address = reservation.choice().address;
        self.keep_connection(reservation.service(), address, reusable);
    }
}
