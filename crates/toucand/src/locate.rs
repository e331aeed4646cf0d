//! Addresses and permits for callers.

use std::rc::Rc;

use actix_http::{HttpMessage as _, Method, Request, StatusCode};
use serde::Serialize;
use tsw_base::name;

use crate::{
    call,
    refusal::Refusal,
    reply::{self, Reply},
    router::Router,
};

/// Longest time for which an answer with a permit is kept: its witnesses may be gone later.
const MAX_PERMIT_KEEP_MS: u64 = 5_000;

#[derive(Serialize)]
struct Located {
    addresses: Vec<Place>,
    keep_ms: u64,
    permit: Option<String>,
}

/// An address for callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Host name.
    pub host: name::Host,
    /// Failure domain.
    pub domain: name::Domain,
    /// Address.
    pub address: String,
}

/// Answers a request for addresses.
///
/// # Errors
///
/// Returns why there is no answer.
pub fn handle(router: &Rc<Router>, request: &Request) -> Result<Reply, Refusal> {
    if *request.method() != Method::GET {
        return Err(Refusal::Method);
    }
    // An answer without a permit would be kept for a while, so there is none before or after work.
    router.check_accepting()?;
    let query = request.uri().query().unwrap_or_default();
    let service = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="))
        .ok_or(Refusal::Service)?;
    let rules = router.rules().ok_or(Refusal::Starting)?;
    let service = rules.bundle.services.get(service).ok_or(Refusal::Service)?;
    // A caller without a credential learns the addresses but gets no permit.
    let permit = if request.headers().contains_key("authorization") {
        let team = call::team(request.headers(), &rules)?;
        (!service.repeatable)
            .then(|| router.permit(&team, &service.service))
            .flatten()
    } else {
        None
    };
    let keep_ms = router.settings().tuning.keep_ms;
    let located = Located {
        addresses: router.places(),
        keep_ms: if service.repeatable {
            keep_ms
        } else {
            keep_ms.min(MAX_PERMIT_KEEP_MS)
        },
        permit,
    };
    Ok(reply::json(StatusCode::OK, &located))
}

impl Router {
    /// Returns the addresses for callers: one of each failure domain first, this router's own
    /// domain in front.
    #[must_use]
    pub fn places(&self) -> Vec<Place> {
        /// Most addresses in an answer.
        const PLACES: usize = 6;
        self.read_state(|state| {
            let hosts = &state.board.hosts;
            let takers = state.board.fleet.available_hosts();
            let mut places: Vec<Place> = takers
                .filter_map(|(host, domain)| {
                    let listed = hosts.routers.get(host).filter(|listed| !listed.leaving)?;
                    Some(Place {
                        host: host.clone(),
                        domain: domain.clone(),
                        address: listed.address.to_string(),
                    })
                })
                .collect();
            let me = &self.id().host;
            let own = &self.settings().domain;
            let salt = self.id().incarnation.get();
            places.sort_by_key(|place| {
                let weight = tsw_member::rendezvous::weight(salt, place.host.as_str());
                (place.host != *me, place.domain != *own, weight)
            });
            spread(places, PLACES)
        })
    }
}

/// Orders places so that each round holds one of each failure domain, and keeps the first `most`.
fn spread(places: Vec<Place>, most: usize) -> Vec<Place> {
    let mut rounds: Vec<(usize, usize, Place)> = Vec::new();
    for (index, place) in places.into_iter().enumerate() {
        let same = rounds.iter().filter(|(_, _, p)| p.domain == place.domain);
        rounds.push((same.count(), index, place));
    }
    rounds.sort_by_key(|(round, index, _)| (*round, *index));
    let places = rounds.into_iter().map(|(_, _, place)| place);
    places.take(most).collect()
}
