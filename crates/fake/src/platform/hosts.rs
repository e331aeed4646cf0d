//! The host list.
//!
//! A change shows after the lag. Addresses depend on the asking host: a [`Route`] can put a relay
//! between two failure domains.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use actix_http::StatusCode;
use actix_rt::time::Instant;
use serde::{Deserialize, Serialize};

use crate::http;

/// What a host runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router.
    Router,
    /// An upstream.
    Upstream,
}

/// Whether a host may get new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It may.
    #[default]
    Live,
    /// It may not.
    Leaving,
}

/// A host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// What it runs.
    pub role: Role,
    /// Service of an upstream; empty for a router.
    #[serde(default)]
    pub service: String,
    /// Whether it may get new work.
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

/// The list as routers read it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// Number of the list; the next list has a higher one unless the control call says otherwise.
    #[serde(default)]
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<Entry>,
}

/// Address that hosts of one failure domain use for hosts of another.
///
/// An address is `IP:PORT`, or only `IP` to keep the port of the entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Failure domain of the asking host.
    pub from: String,
    /// Failure domain of the listed host.
    pub to: String,
    /// Only this listed host; all of the failure domain when absent.
    #[serde(default)]
    pub host: Option<String>,
    /// Replaces the address.
    #[serde(default)]
    pub address: Option<String>,
    /// Replaces the address for other routers.
    #[serde(default)]
    pub peer_address: Option<String>,
}

/// Counters of the host list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Reads of the list.
    pub calls: u64,
    /// Number of the list that readers see.
    pub shown: u64,
    /// Number of the newest list.
    pub newest: u64,
}

#[derive(Deserialize)]
struct Routes {
    routes: Vec<Route>,
}

#[derive(Deserialize)]
struct Lag {
    lag_ms: u64,
}

#[derive(Deserialize)]
struct Move {
    host: String,
    state: String,
}

/// The lists that are shown and that are to be shown.
pub(super) struct Book {
    lag: Duration,
    shown: List,
    later: VecDeque<(Instant, List)>,
    routes: Vec<Route>,
    calls: u64,
}

impl Book {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            shown: List::default(),
            later: VecDeque::new(),
            routes: Vec::new(),
            calls: 0,
        }
    }

    fn advance(&mut self) {
        let now = Instant::now();
        while self.later.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, list)) = self.later.pop_front() {
                self.shown = list;
            }
        }
    }

    fn newest(&self) -> &List {
        self.later.back().map_or(&self.shown, |(_, list)| list)
    }

    fn push(&mut self, mut list: List) -> http::Reply {
        if list.revision == 0 {
            list.revision = self.newest().revision + 1;
        }
        let body = serde_json::json!({"revision": list.revision});
        // The first list shows at once, so that a deployment can start.
        if self.lag.is_zero() || self.newest().revision == 0 {
            self.later.clear();
            self.shown = list;
        } else {
            self.later.push_back((Instant::now() + self.lag, list));
        }
        http::json(StatusCode::OK, &body)
    }

    pub(super) fn read(&mut self, call: &http::Call) -> http::Reply {
        self.calls += 1;
        self.advance();
        let from = call.param("from").unwrap_or_default();
        let asker = self.shown.hosts.iter().find(|entry| entry.host == from);
        let Some(domain) = asker.map(|entry| entry.domain.clone()) else {
            return http::json(StatusCode::OK, &self.shown);
        };
        let mut list = self.shown.clone();
        for entry in &mut list.hosts {
            for route in &self.routes {
                if applies(route, &domain, entry) {
                    replace(&mut entry.address, route.address.as_deref());
                    replace(&mut entry.peer_address, route.peer_address.as_deref());
                }
            }
        }
        http::json(StatusCode::OK, &list)
    }

    pub(super) fn control(
        &mut self,
        verb: &str,
        call: &http::Call,
    ) -> Result<http::Reply, http::Reply> {
        self.advance();
        match verb {
            "put" => return Ok(self.push(call.json()?)),
            "state" => return self.set_state(&call.json()?),
            "lag" => self.lag = Duration::from_millis(call.json::<Lag>()?.lag_ms),
            "routes" => self.routes = call.json::<Routes>()?.routes,
            "stats" => {
                let stats = Stats {
                    calls: self.calls,
                    shown: self.shown.revision,
                    newest: self.newest().revision,
                };
                return Ok(http::json(StatusCode::OK, &stats));
            }
            _ => return Err(http::missing(call)),
        }
        Ok(http::done())
    }

    fn set_state(&mut self, change: &Move) -> Result<http::Reply, http::Reply> {
        let mut list = self.newest().clone();
        list.revision = 0;
        let hosts = &mut list.hosts;
        let Some(index) = hosts.iter().position(|entry| entry.host == change.host) else {
            return Err(http::fault(StatusCode::NOT_FOUND, &"no such host"));
        };
        match change.state.as_str() {
            "live" => hosts[index].state = State::Live,
            "leaving" => hosts[index].state = State::Leaving,
            "gone" => drop(hosts.remove(index)),
            _ => {
                let text = "state must be live, leaving or gone";
                return Err(http::fault(StatusCode::BAD_REQUEST, &text));
            }
        }
        Ok(self.push(list))
    }
}

fn applies(route: &Route, domain: &str, entry: &Entry) -> bool {
    let host = route.host.as_ref();
    route.from == domain && route.to == entry.domain && host.is_none_or(|host| *host == entry.host)
}

fn replace(address: &mut String, by: Option<&str>) {
    let Some(by) = by else { return };
    if address.is_empty() {
        return;
    }
    *address = match (by.parse(), address.parse::<SocketAddr>()) {
        (Ok(ip), Ok(old)) => SocketAddr::new(ip, old.port()).to_string(),
        _ => by.to_owned(),
    };
}
