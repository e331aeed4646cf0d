//! What speaks for and against each upstream of a service.

use tsw_base::time::Timestamp;
use tsw_route::Name;

use super::{engine, plain, Constraints, Pool, Upstream, UNHEALTHY_FAILURE_RATE};

/// An upstream as the choice for a request sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub id: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that run or wait there, of all routers.
    pub requests: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Tokens of prompts that were sent there and have not produced a first event yet.
    pub pending_tokens: u64,
    /// Prompt tokens that it would have to process.
    pub uncached_tokens: u64,
    /// How long work takes there, relative to a typical upstream of the service.
    pub slowness: f64,
    /// What it would cost, in prompt tokens for engines and in requests for each slot for others. The lowest cost wins.
    /// `None` if it is excluded.
    pub cost: Option<f64>,
    /// Why it gets no request now.
    pub excluded: Option<&'static str>,
}

impl Pool {
    /// Returns why an upstream may not run a request, apart from its health and its room.
    pub(super) fn exclusion(
        &self,
        now: Timestamp,
        upstream: &Upstream,
        constraints: &Constraints<'_>,
    ) -> Option<&'static str> {
        let mut software = constraints.software.iter();
        if upstream.entry.leaving {
            Some("it takes no new requests")
        } else if !self.pause_permits(now, upstream) {
            Some("it asked for a pause")
        } else if !self.limit_allows(now, upstream) {
            Some("no credit for the rate that it takes")
        } else if constraints.avoid.contains(&upstream.entry.id) {
            Some("it failed this request")
        } else if software.any(|software| !self.runs(upstream, software)) {
            Some("it runs other software")
        } else {
            None
        }
    }

    pub(super) fn is_healthy(&self, now: Timestamp, upstream: &Upstream) -> bool {
        upstream.unavailable_until <= now && upstream.failure_rate(now) < UNHEALTHY_FAILURE_RATE
    }

    /// Returns all upstreams as [`Pool::choose`] would see them, those that are used first in order of their cost.
    #[must_use]
    pub fn candidates(&self, now: Timestamp, constraints: &Constraints<'_>) -> Vec<Candidate> {
        let all: Vec<&Upstream> = self.upstreams.values().collect();
        let is_eligible = |upstream: &&&Upstream| {
            self.exclusion(now, upstream, constraints).is_none() && self.is_healthy(now, upstream)
        };
        let any_healthy = all.iter().any(|upstream| is_eligible(&upstream));
        let assessed: Vec<(&Upstream, u64, Option<f64>)> = match constraints.prompt {
            Some(prompt) => {
                let assessed = engine::assess(now, self, &all, constraints, prompt).into_iter();
                assessed
                    .map(|engine| (engine.upstream, engine.uncached, engine.cost))
                    .collect()
            }
            None => {
                let assessed = all.iter();
                assessed
                    .map(|upstream| (*upstream, 0, plain::cost(now, upstream, constraints)))
                    .collect()
            }
        };
        let candidates = assessed
            .into_iter()
            .map(|(upstream, uncached_tokens, cost)| {
                let unhealthy = any_healthy && !self.is_healthy(now, upstream);
                let excluded = self
                    .exclusion(now, upstream, constraints)
                    .or(unhealthy.then_some("it failed or could not be reached lately"))
                    .or(cost.is_none().then_some("it has no room"));
                Candidate {
                    id: upstream.entry.id.clone(),
                    domain: upstream.entry.domain.clone(),
                    requests: upstream.occupancy(now),
                    slots: upstream.entry.slots,
                    pending_tokens: upstream.pending_tokens(),
                    uncached_tokens,
                    slowness: self.slowness(now, upstream),
                    cost: cost.filter(|_| excluded.is_none()),
                    excluded,
                }
            });
        let mut candidates: Vec<Candidate> = candidates.collect();
        let key = |candidate: &Candidate| candidate.cost.unwrap_or(f64::INFINITY);
        candidates.sort_by(|a, b| key(a).total_cmp(&key(b)));
        candidates
    }
}
