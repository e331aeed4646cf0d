//! Checks that routers act in time on what the store has acknowledged, and do not go back.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{End, History, Request};

/// Time after a disturbance within which a router need not know the content of the store, as
/// specified by the operators.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after the departure of an upstream within which requests may reach it, as specified by the
/// operators.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time after which a configuration must be in force, as specified by the operators.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Time after the first effect of a configuration within which an older one may have an effect, as
/// specified by the operators.
const ROLLBACK_BOUND: Duration = Duration::from_millis(250);

impl History {
    /// Returns the requests that reached an upstream too late after its departure.
    pub(super) fn late_arrivals(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for received in &self.received {
            let id = received.arrival.head.fields.text("Attempt-Id");
            let request = id.and_then(|id| self.requests.get(id));
            let departures = self.departures.get(&received.upstream);
            let (Some(request), Some(departures)) = (request, departures) else {
                continue;
            };
            let time = received.arrival.time;
            let periods = self.upstream_disturbances.get(&received.upstream);
            let is_held_up = periods.is_some_and(|periods| {
                let is_near = |start, end| start <= time && end + CONTACT_TIME >= time;
                periods
                    .iter()
                    .any(|period| is_near(period.start, period.end))
            });
            let is_late = |departure: &&Instant| {
                time > **departure + DRAIN_BOUND && self.must_know(request, **departure, time)
            };
            if let Some(departure) = departures.iter().find(is_late).filter(|_| !is_held_up) {
                violations.push(format!(
                    "reached upstream {} {} ms after its departure; {request:?}",
                    received.upstream,
                    (time - *departure).as_millis()
                ));
            }
        }
        violations
    }

    /// Returns whether the router of a request must know at `time` of a departure: it is in touch,
    /// or it was when the departure was acknowledged and has run undisturbed since.
    fn must_know(&self, request: &Request, departure: Instant, time: Instant) -> bool {
        let router = request.router;
        let acknowledged = self.is_store_stable(router, departure, departure);
        let in_touch = self.is_router_calm(router, request.sent, time)
            && self.is_store_stable(router, request.sent, time);
        let has_known = self.is_router_calm(router, departure, time)
            && self.is_store_stable(router, departure, departure + DRAIN_BOUND);
        acknowledged && in_touch || has_known
    }

    /// Returns the requests that were refused although the configuration that allows them was in
    /// force, or had to be.
    pub(super) fn outdated_refusals(&self) -> Vec<String> {
        let mut violations = Vec::new();
        // First effect of each version at each router.
        let mut effects: IndexMap<(usize, usize), Instant> = IndexMap::new();
        for request in self.requests.values() {
            if let (Some(version), Some(200)) = (request.configuration, status(request)) {
                let effect = effects.entry((request.router, version));
                let first = effect.or_insert(request.ended);
                *first = (*first).min(request.ended);
            }
        }
        for (id, request) in &self.requests {
            let (Some(version), Some(401 | 403 | 404)) = (request.configuration, status(request))
            else {
                continue;
            };
            let (router, sent, ended) = (request.router, request.sent, request.ended);
            let next = self.configurations.get(version);
            if next.is_some_and(|acknowledged| *acknowledged <= ended) {
                continue;
            }
            let in_touch = self.is_router_calm(router, sent, ended)
                && self.is_store_stable(router, sent, ended);
            if in_touch && sent > self.configurations[version - 1] + APPLY_BOUND {
                violations.push(format!(
                    "{id}: configuration {version} was not in force in time; {request:?}"
                ));
            }
            let effect = effects.get(&(router, version));
            if effect.is_some_and(|effect| {
                sent > *effect + ROLLBACK_BOUND && self.is_undisturbed(router, *effect, ended)
            }) {
                violations.push(format!(
                    "{id}: configuration {version} was in force before; {request:?}"
                ));
            }
        }
        violations
    }

    /// Returns whether a router was undisturbed during a period.
    fn is_undisturbed(&self, router: usize, from: Instant, to: Instant) -> bool {
        let mut periods = self.router_disturbances[router].iter();
        !periods.any(|period| period.start <= to && period.end >= from)
    }

    /// Returns whether a router was undisturbed during a period and long enough before it.
    pub(super) fn is_router_calm(&self, router: usize, from: Instant, to: Instant) -> bool {
        let mut periods = self.router_disturbances[router].iter();
        !periods.any(|period| period.start <= to && period.end + CONTACT_TIME >= from)
    }

    /// Returns whether a router had an undisturbed store during a period and long enough before it.
    pub(super) fn is_store_stable(&self, router: usize, from: Instant, to: Instant) -> bool {
        let mut periods = self.store_disturbances.iter();
        !periods.any(|period| {
            period.router.is_none_or(|affected| affected == router)
                && period.start <= to
                && period.end + CONTACT_TIME >= from
        })
    }
}

pub(super) const fn status(request: &Request) -> Option<u16> {
    match request.end {
        End::Response { status, .. } => Some(status),
        _ => None,
    }
}
