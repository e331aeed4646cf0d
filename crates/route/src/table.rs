//! Routes, services and teams of one version.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

use crate::Name;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another upstream may continue it after its last event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether the request may run again after it may have run.
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

/// A route: the requests of one host below one path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Name,
    /// Host of the requests, without a port.
    pub host: Name,
    /// Start of the path, with a slash at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// The services that run the requests and their weights.
    pub services: Vec<(Name, u32)>,
    /// Most upstreams that may run one request.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Latency objective of the answer or of the first event.
    pub objective: Duration,
    /// Longest pause between events that is in time, for streams.
    pub gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Returns the service for a number drawn at random.
    ///
    /// ```
    /// # use tsw_route::table::{Kind, Route};
    /// # use std::time::Duration;
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), prefix: "/".into(), kind: Kind::Idempotent,
    ///     services: vec![("a".into(), 90), ("b".into(), 10)], attempts: 1,
    ///     timeout: Duration::from_secs(1), objective: Duration::from_millis(100), gap: None,
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
        let mut left = draw % total.max(1);
        let drawn = self.services.iter().find(|(_, weight)| {
            let weight = u64::from(*weight);
            let found = left < weight;
            left = left.saturating_sub(weight);
            found
        });
        drawn.map(|(service, _)| service)
    }
}

/// A team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name.
    pub name: Name,
    /// Rank of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// How to use the upstreams of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Most connections to one upstream from the whole fleet.
    pub connections: u32,
    /// Requests that one engine runs at once; `None` for plain services.
    pub engine: Option<Engine>,
}

/// Limits of the model engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that running requests and cached parts may occupy together.
    pub memory_tokens: u64,
    /// Whether one engine can fetch parts of prompts from another.
    pub fetches: bool,
}

/// What clients may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most bytes in the head of a request.
    pub head_bytes: usize,
    /// Most bytes in the body of a request.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
    /// Work that all engines do in a second: tokens read plus twice the tokens generated.
    pub tokens_per_s: Option<u64>,
}

impl Default for Limits {
    /// The limits before a configuration is known; common values of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
            tokens_per_s: None,
        }
    }
}

/// Routes, services and teams of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// What clients may send.
    pub limits: Limits,
    /// Whether requests carry keys.
    pub has_teams: bool,
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

    /// Gives a team a key.
    pub fn add_key(&mut self, key: &str, team: &Rc<Team>) {
        self.keys.insert(key.into(), team.clone());
    }

    /// Returns the route with the longest prefix that begins the path. A port after the host is
    /// ignored, and the case of the host does not matter.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }
}
