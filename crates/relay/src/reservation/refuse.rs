//! Refusals of requests that get no slot.

use rand::Rng as _;
use tsw_base::time::Span;
use tsw_flow::queue::Standing;
use tsw_route::Name;

use crate::{local_response::Refusal, request::Request, router::Router};

/// The retry delay is at most the time until the client's deadline divided by this. Clients ignore a
/// longer delay.
pub(crate) const RETRY_AFTER_DIVISOR: u64 = 4;
/// Minimum retry delay stated to a client.
pub(super) const MIN_RETRY_AFTER: Span = Span::from_millis(100);

/// A request that got no slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Reason.
    pub refusal: Refusal,
    /// Time after which the client may retry.
    pub retry_after: Span,
    /// Fair share of each team at that time, if the refusal depends on it.
    pub fair_share: Option<f64>,
}

impl Refused {
    /// Creates a refusal that does not depend on the fair share.
    #[must_use]
    pub const fn new(refusal: Refusal, retry_after: Span) -> Self {
        Self {
            refusal,
            retry_after,
            fair_share: None,
        }
    }
}

/// Returns why a request that cannot start in time is refused, given the time for which its team is above
/// its fair share.
pub(super) fn late(above_share: Span) -> Refusal {
    if above_share > Span::ZERO {
        Refusal::OverShare
    } else {
        Refusal::Late
    }
}

impl Router {
    /// Refuses a request, given the fair share. The client is asked to retry when the requests queued
    /// now have started, with a random addition so that clients refused together do not retry
    /// together.
    pub(super) fn refuse(
        &self,
        request: &Request,
        standing: Standing,
        refusal: Refusal,
        fair_share: f64,
    ) -> Refused {
        let now = self.now();
        if let Some(key) = self.repeat_key(request) {
            let mut refusals = self.refusals.borrow_mut();
            refusals.record(now, key, request.arrived);
        }
        let estimated_wait = self.with_service(&request.service, |service| {
            let own = (super::demand(request), standing);
            service.estimated_wait(now, request.team(), own, fair_share)
        });
        let longest = request.deadline.since(now).as_micros() / RETRY_AFTER_DIVISOR;
        let shortest = MIN_RETRY_AFTER.as_micros();
        let wait = estimated_wait
            .unwrap_or(MIN_RETRY_AFTER)
            .as_micros()
            .max(shortest);
        let spread = 1.0 + rand::random::<f64>();
        let after = (wait as f64 * spread) as u64;
        Refused {
            refusal,
            retry_after: Span::from_micros(after.min(longest).max(shortest.min(longest))),
            fair_share: Some(fair_share),
        }
    }

    /// Refuses a request whose upstreams pause, or have no credit, for longer than it can wait. Upstreams
    /// state when a pause ends; a credit goes to whichever request comes first, so that the clients'
    /// returns are spread.
    pub(super) fn refuse_wait(&self, request: &Request, pause: Span, wait: Span) -> Refused {
        if pause >= wait {
            return Refused::new(Refusal::Paused, pause);
        }
        let now = self.now();
        let longest = request.deadline.since(now).as_micros() / RETRY_AFTER_DIVISOR;
        let shortest = MIN_RETRY_AFTER.as_micros().min(longest);
        let spread = 1.0 + rand::random::<f64>();
        let after = (wait.as_micros() as f64 * spread) as u64;
        Refused::new(
            Refusal::Limited,
            Span::from_micros(after.clamp(shortest, longest)),
        )
    }

    /// Refuses a request that would begin a stream by an expired list. This router does not know whether its client reaches others that are in
    /// touch, so that the few tries of the client are spread over its time.
    pub(crate) fn refuse_by_expired_list(&self, request: &Request) -> Refused {
        let left = request.deadline.since(self.now()).as_micros();
        let longest = left / RETRY_AFTER_DIVISOR;
        let after = rand::thread_rng().gen_range(longest / 2..=longest);
        Refused::new(Refusal::ListExpired, Span::from_micros(after))
    }

    /// Ends the wait of the queued requests of a service whose upstreams all pause, or have no credit, for
    /// longer.
    pub(crate) fn refuse_waiting(&self, name: &Name) {
        let now = self.now();
        self.with_service(name, |service| {
            self.waiters.borrow_mut().0.retain(|(of, _), waiter| {
                let software = waiter.software.as_ref();
                let pool = &service.pool;
                of != name || now + pool.shortest_wait(now, &waiter.avoid, software) < waiter.until
            });
        });
    }
}
