//! The host list.
//!
//! A change becomes visible after a lag. Addresses depend on the host that reads the list: a
//! [`Route`] can direct the connections between two failure domains through a relay.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use actix_http::StatusCode;
use actix_rt::time::Instant;
use serde::{Deserialize, Serialize};

use crate::http;

/// What runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router.
    Router,
    /// An upstream.
    Upstream,
}

/// Whether a host may receive new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It may receive new requests.
    #[default]
    Live,
    /// It must not receive new requests.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// What runs on the host.
    pub role: Role,
    /// Service of an upstream; empty for a router.
    #[serde(default)]
    pub service: String,
    /// Whether it may receive new requests.
    #[serde(default)]
    pub state: State,
    /// Address for callers of a router, or for requests to an upstream.
    pub address: String,
    /// Address for other routers; empty for an upstream.
    #[serde(default)]
    pub peer_address: String,
    /// Slots of an upstream; 0 for a router.
    #[serde(default)]
    pub slots: u32,
}

/// The host list as routers read it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// Revision of the list; the control call may specify one that is not higher than the last.
    #[serde(default)]
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<Entry>,
}

/// Replaces the addresses that hosts of one failure domain get for hosts of another one.
///
/// An address is `IP:PORT`, or only `IP` to keep the port of the entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Failure domain of the host that reads the list.
    pub from: String,
    /// Failure domain of the listed host.
    pub to: String,
    /// Name of the listed host; all hosts of the failure domain if absent.
    #[serde(default)]
    pub host: Option<String>,
    /// Replacement of the address.
    #[serde(default)]
    pub address: Option<String>,
    /// Replacement of the address for other routers.
    #[serde(default)]
    pub peer_address: Option<String>,
}

/// Counters of the host list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Reads of the list.
    pub calls: u64,
    /// Revision of the visible list.
    pub shown: u64,
    /// Revision of the newest list.
    pub newest: u64,
}

#[derive(Deserialize)]
struct RoutesCall {
    routes: Vec<Route>,
}

#[derive(Deserialize)]
struct LagCall {
    lag_ms: u64,
}

#[derive(Deserialize)]
struct StateCall {
    host: String,
    state: String,
}

/// The visible list and those that become visible later.
pub(super) struct HostList {
    lag: Duration,
    visible: List,
    /// Newer lists with the time from which they are visible, oldest first.
    pending: VecDeque<(Instant, List)>,
    routes: Vec<Route>,
    calls: u64,
}

impl HostList {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: List::default(),
            pending: VecDeque::new(),
            routes: Vec::new(),
            calls: 0,
        }
    }

    /// Makes those pending lists visible whose time has come.
    fn advance(&mut self) {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
    }

    fn newest(&self) -> &List {
        self.pending.back().map_or(&self.visible, |(_, list)| list)
    }

    fn publish(&mut self, mut list: List) -> http::HttpResponse {
        if list.revision == 0 {
            list.revision = self.newest().revision + 1;
        }
        let body = serde_json::json!({"revision": list.revision});
        // The first list is visible immediately, so that a deployment can start.
        if self.lag.is_zero() || self.newest().revision == 0 {
            self.pending.clear();
            self.visible = list;
        } else {
            self.pending.push_back((Instant::now() + self.lag, list));
        }
        http::json(StatusCode::OK, &body)
    }

    pub(super) fn read(&mut self, call: &http::Call) -> http::HttpResponse {
        self.calls += 1;
        self.advance();
        let from = call.param("from").unwrap_or_default();
        let reader = self.visible.hosts.iter().find(|entry| entry.host == from);
        let Some(domain) = reader.map(|entry| entry.domain.clone()) else {
            return http::json(StatusCode::OK, &self.visible);
        };
        let mut list = self.visible.clone();
        for entry in &mut list.hosts {
            for route in &self.routes {
                if route_applies(route, &domain, entry) {
                    replace_address(&mut entry.address, route.address.as_deref());
                    replace_address(&mut entry.peer_address, route.peer_address.as_deref());
                }
            }
        }
        http::json(StatusCode::OK, &list)
    }

    pub(super) fn control(
        &mut self,
        action: &str,
        call: &http::Call,
    ) -> Result<http::HttpResponse, http::HttpResponse> {
        self.advance();
        match action {
            "put" => return Ok(self.publish(call.json()?)),
            "state" => return self.set_state(&call.json()?),
            "lag" => self.lag = Duration::from_millis(call.json::<LagCall>()?.lag_ms),
            "routes" => self.routes = call.json::<RoutesCall>()?.routes,
            "stats" => {
                let stats = Stats {
                    calls: self.calls,
                    shown: self.visible.revision,
                    newest: self.newest().revision,
                };
                return Ok(http::json(StatusCode::OK, &stats));
            }
            _ => return Err(http::not_found(call)),
        }
        Ok(http::ok())
    }

    fn set_state(&mut self, change: &StateCall) -> Result<http::HttpResponse, http::HttpResponse> {
        let mut list = self.newest().clone();
        list.revision = 0;
        let hosts = &mut list.hosts;
        let Some(index) = hosts.iter().position(|entry| entry.host == change.host) else {
            return Err(http::error_response(StatusCode::NOT_FOUND, &"no such host"));
        };
        match change.state.as_str() {
            "live" => hosts[index].state = State::Live,
            "leaving" => hosts[index].state = State::Leaving,
            "gone" => drop(hosts.remove(index)),
            _ => {
                let text = "state must be live, leaving or gone";
                return Err(http::error_response(StatusCode::BAD_REQUEST, &text));
            }
        }
        Ok(self.publish(list))
    }
}

fn route_applies(route: &Route, domain: &str, entry: &Entry) -> bool {
    let host = route.host.as_ref();
    route.from == domain && route.to == entry.domain && host.is_none_or(|host| *host == entry.host)
}

fn replace_address(address: &mut String, replacement: Option<&str>) {
    let Some(replacement) = replacement else {
        return;
    };
    if address.is_empty() {
        return;
    }
    *address = match (replacement.parse(), address.parse::<SocketAddr>()) {
        (Ok(ip), Ok(old)) => SocketAddr::new(ip, old.port()).to_string(),
        _ => replacement.to_owned(),
    };
}
