//! One version of the routes, services and teams.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

use crate::Name;

/// Whether a request may be retried, and whether its response is a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Running it more than once is harmless.
    Idempotent,
    /// Must be run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after the last event received.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether the request may be retried after an attempt that may have run it.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route matches requests by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name used in logs.
    pub name: Name,
    /// Value of the `Host` header, without the port.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Retry and streaming behaviour of the requests.
    pub kind: Kind,
    /// Services that handle the requests, with their weights in the traffic split.
    pub services: Vec<(Name, u32)>,
    /// Maximum number of attempts that may run one request.
    pub max_attempts: u32,
    /// Maximum time until the final response.
    pub timeout: Duration,
    /// Latency objective for the response or, for streams, for the first event.
    pub objective: Duration,
    /// Objective for the time between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

impl Route {
    /// Selects a service with a probability proportional to its weight, given a random number.
    ///
    /// ```
    /// # use tsw_route::table::{Kind, Route};
    /// # use std::time::Duration;
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), prefix: "/".into(), kind: Kind::Idempotent,
    ///     services: vec![("a".into(), 90), ("b".into(), 10)], max_attempts: 1,
    ///     timeout: Duration::from_secs(1), objective: Duration::from_millis(100), gap_objective: None,
    ///     priority: 1, public: false,
    /// };
    /// assert_eq!(route.service(89).map(|name| &**name), Some("a"));
    /// assert_eq!(route.service(90).map(|name| &**name), Some("b"));
    /// ```
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = draw % total.max(1);
        let selected = self.services.iter().find(|(_, weight)| {
            let weight = u64::from(*weight);
            let found = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            found
        });
        selected.map(|(service, _)| service)
    }
}

/// A team whose clients send requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name.
    pub name: Name,
    /// Priority of its requests; overrides the priority of the route. 0 is the most urgent.
    pub priority: Option<u32>,
}

/// Limits for the upstreams of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Maximum number of connections to one upstream, summed over all routers.
    pub max_connections: u32,
    /// Limits of each engine; `None` for plain services.
    pub engine: Option<Engine>,
    /// Shortest interval between requests to an upstream while it is cold, summed over all routers; `None` if
    /// upstreams take any rate from their start.
    pub cold_interval: Option<Duration>,
}

/// Limits of a model engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prompt parts.
    pub kv_capacity_tokens: u64,
    /// Whether an engine can fetch cached prompt parts from another engine.
    pub can_fetch: bool,
}

/// Maximum number of slots that counts as few.
const FEW_SLOTS: u32 = 16;

impl Engine {
    /// Returns whether it runs few requests at once, so that it matters which one gets a slot. Engines with many slots start requests at once and serve all of them more slowly.
    ///
    /// ```
    /// use tsw_route::table::Engine;
    /// let engine = |slots| Engine { slots, kv_capacity_tokens: 400_000, can_fetch: true };
    /// assert!(engine(12).has_few_slots());
    /// assert!(!engine(64).has_few_slots());
    /// ```
    #[must_use]
    pub const fn has_few_slots(&self) -> bool {
        self.slots <= FEW_SLOTS
    }
}

/// Limits on client connections and requests, and on the work of the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Work per second of all engines together: prompt tokens plus twice the generated tokens.
    pub tokens_per_s: Option<u64>,
}

impl Default for Limits {
    /// Returns the limits used before the first configuration arrives: common defaults of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_s: None,
        }
    }
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Limits on client connections and requests.
    pub limits: Limits,
    /// Whether teams are configured, so that requests must carry an API key.
    pub has_teams: bool,
    /// Routes by host, the longest prefix first.
    routes: IndexMap<Name, Vec<Rc<Route>>>,
    keys: IndexMap<Box<str>, Rc<Team>>,
}

impl Table {
    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(Rc::new(route));
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }

    /// Adds an API key that authenticates requests of `team`.
    pub fn add_key(&mut self, key: &str, team: &Rc<Team>) {
        self.keys.insert(key.into(), team.clone());
    }

    /// Returns the route of `host` with the longest prefix that matches `path`. The port and the
    /// case of `host` are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the team that an API key belongs to.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }
}
