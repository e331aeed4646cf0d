//! Handler of `/v1/locate`, which returns router addresses and permits to callers.

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

/// Upper bound of `keep_ms` in a response with a permit: the witnesses of the permit may be gone
/// later.
const MAX_PERMIT_KEEP_MS: u64 = 5_000;

#[derive(Serialize)]
struct LocateResponse {
    addresses: Vec<RouterAddress>,
    keep_ms: u64,
    permit: Option<String>,
}

/// The address of a router for callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RouterAddress {
    /// Host name.
    pub host: name::Host,
    /// Failure domain.
    pub domain: name::Domain,
    /// Socket address.
    pub address: String,
}

/// Handles a request for addresses and, for a non-idempotent service, a permit.
///
/// # Errors
///
/// Returns why the request is refused.
pub fn handle(router: &Rc<Router>, request: &Request) -> Result<Reply, Refusal> {
    if *request.method() != Method::GET {
        return Err(Refusal::Method);
    }
    // The caller would cache a response without a permit, so a starting or draining router refuses.
    router.check_accepting()?;
    let query = request.uri().query().unwrap_or_default();
    let service = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="))
        .ok_or(Refusal::Service)?;
    let rules = router.rules().ok_or(Refusal::Starting)?;
    let service = rules.bundle.services.get(service).ok_or(Refusal::Service)?;
    // A caller without a credential gets the addresses but no permit.
    let permit = if request.headers().contains_key("authorization") {
        let team = call::team(request.headers(), &rules)?;
        (!service.repeatable)
            .then(|| router.permit(&team, &service.service))
            .flatten()
    } else {
        None
    };
    let keep_ms = router.settings().tuning.keep_ms;
    let response = LocateResponse {
        addresses: router.caller_addresses(),
        keep_ms: if service.repeatable {
            keep_ms
        } else {
            keep_ms.min(MAX_PERMIT_KEEP_MS)
        },
        permit,
    };
    Ok(reply::json(StatusCode::OK, &response))
}

impl Router {
    /// Returns the router addresses for callers. The first ones are of different failure domains,
    /// starting with this router and its own domain.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<RouterAddress> {
        /// Maximum number of addresses in a response.
        const MAX_ADDRESSES: usize = 6;
        self.read_state(|state| {
            let hosts = &state.board.hosts;
            let available = state.board.fleet.available_hosts();
            let mut addresses: Vec<RouterAddress> = available
                .filter_map(|(host, domain)| {
                    let listed = hosts.routers.get(host).filter(|listed| !listed.leaving)?;
                    Some(RouterAddress {
                        host: host.clone(),
                        domain: domain.clone(),
                        address: listed.address.to_string(),
                    })
                })
                .collect();
            let own_host = &self.id().host;
            let own_domain = &self.settings().domain;
            let salt = self.id().incarnation.get();
            addresses.sort_by_key(|address| {
                let weight = tsw_member::rendezvous::weight(salt, address.host.as_str());
                (
                    address.host != *own_host,
                    address.domain != *own_domain,
                    weight,
                )
            });
            interleave_domains(addresses, MAX_ADDRESSES)
        })
    }
}

/// Interleaves addresses by failure domain, round-robin, and keeps the first `limit`.
fn interleave_domains(addresses: Vec<RouterAddress>, limit: usize) -> Vec<RouterAddress> {
    let mut rounds: Vec<(usize, usize, RouterAddress)> = Vec::new();
    for (index, address) in addresses.into_iter().enumerate() {
        let same_domain = rounds
            .iter()
            .filter(|(_, _, other)| other.domain == address.domain);
        rounds.push((same_domain.count(), index, address));
    }
    rounds.sort_by_key(|(round, index, _)| (*round, *index));
    let addresses = rounds.into_iter().map(|(_, _, address)| address);
    addresses.take(limit).collect()
}
