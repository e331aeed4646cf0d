//! What happens to a request that arrives: the decision, without its effects.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    mix::Balance,
    pool::{Candidate, Choice},
    queue::Standing,
    service::Service,
};
use tsw_route::Name;

use super::{demand, late, Needs};
use crate::{local_response::Refusal, request::Request, router::Router};

/// What happens to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It is sent to an upstream.
    Start(Choice),
    /// It waits at the router until then at most.
    Wait(Timestamp),
    /// It is refused.
    Refuse(Refusal),
    /// It is refused, since all upstreams pause or have no credit for longer than it can wait.
    Unavailable {
        /// Until the first pause ends.
        pause: Span,
        /// Until the first upstream may take it.
        wait: Span,
    },
}

/// Where a request would go, and what that follows from.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Service that would run it.
    pub service: Name,
    /// What would happen.
    pub decision: Decision,
    /// Time after which its client would be asked to come back at the earliest, if it is refused.
    pub retry_after: Option<Span>,
    /// Work that its team was served recently, in all routers; in tokens for engines.
    pub served: f64,
    /// Work up to which it is served; infinite if there is enough for all.
    pub fair_share: f64,
    /// Estimated wait until its team is below its share.
    pub wait: Span,
    /// How much of its kind is served, relative to the other work of its team.
    pub balance: Balance,
    /// All upstreams, the one with the lowest cost first.
    pub candidates: Vec<Candidate>,
}

/// Returns whether no listed upstream can run a request.
pub(super) fn is_unservable(service: &Service, request: &Request, needs: &Needs<'_>) -> bool {
    let mut prompt = request.prompt.iter();
    let mut software = needs.software.iter();
    prompt.any(|prompt| service.is_too_long(prompt))
        || software.any(|software| !service.pool.accepts_at(software, needs.avoid))
}

impl Router {
    /// Decides what happens to a request, without any effect.
    pub(super) fn decide(
        &self,
        service: &Service,
        now: Timestamp,
        request: &Request,
        needs: &Needs<'_>,
        standing: Standing,
    ) -> Decision {
        let Needs {
            avoid, software, ..
        } = *needs;
        if is_unservable(service, request, needs) {
            return Decision::Refuse(Refusal::NoUpstream);
        }
        let (prompt, team, demand) = (request.prompt.as_ref(), request.team(), demand(request));
        let fair_share = service.fair_share(now);
        let limit = standing.share_limit(fair_share);
        let may_start = service.may_start(now, team, demand, limit)
            && !service.is_held(now, team, standing, fair_share);
        if may_start && !service.has_startable(now, fair_share) {
            let interval = self.report_interval();
            let choice = service.choose(now, &self.domain, prompt, avoid, software, interval);
            if let Some(choice) = choice {
                return Decision::Start(choice);
            }
        }
        let begun = standing == Standing::Begun;
        if !service.pool.has_accepting(if begun { avoid } else { &[] }) {
            return Decision::Refuse(Refusal::NoUpstream);
        }
        let engine = service.engine().is_some();
        let until = request.queue_expiry(now, needs.last_event_at, engine);
        let wait = service.estimated_wait(now, team, (demand, standing), fair_share);
        if now + wait >= until {
            return Decision::Refuse(late(wait));
        }
        let wait = service.pool.shortest_wait(now, avoid, software);
        if now + wait >= until {
            let pause = service.pool.shortest_pause(now, avoid, software);
            return Decision::Unavailable { pause, wait };
        }
        Decision::Wait(until)
    }

    /// Returns what would happen to a request that arrived now; `None` if its service is unknown.
    pub fn plan(&self, request: &Request) -> Option<Plan> {
        let (now, needs) = (self.now(), Needs::default());
        let (team, demand) = (request.team(), demand(request));
        let standing = needs.standing(request);
        self.with_service(&request.service, |service| {
            let decision = self.decide(service, now, request, &needs, standing);
            let fair_share = service.fair_share(now);
            let wait = service.estimated_wait(now, team, (demand, standing), fair_share);
            let retry_after = match &decision {
                Decision::Start(_) | Decision::Wait(_) => None,
                Decision::Refuse(_) => Some(wait.max(super::MIN_RETRY_AFTER)),
                Decision::Unavailable { wait, .. } => Some(*wait),
            };
            let prompt = request.prompt.as_ref();
            let interval = self.report_interval();
            Plan {
                service: request.service.clone(),
                decision,
                retry_after,
                served: service.accounts.team(now, team).served,
                fair_share,
                wait,
                balance: service.balance(now, team, demand),
                candidates: service.candidates(now, &self.domain, prompt, interval),
            }
        })
    }
}
