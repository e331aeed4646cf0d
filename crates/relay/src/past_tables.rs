//! Remembers the configurations before the active one, under which streams may have begun that clients resume.

use std::{collections::VecDeque, rc::Rc};

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::{
    table::{Route, Table},
    Name,
};

use crate::{request::Request, router::Router};

/// Maximum delay with which routers learn of a new configuration.
const MAX_DELAY: Span = Span::from_secs(5);
/// Maximum number of configurations that are remembered.
const MAX_TABLES: usize = 64;

/// The configurations before the active one.
#[derive(Debug, Default)]
pub(crate) struct PastTables {
    /// When each of them was replaced, the oldest first.
    replaced: VecDeque<(Timestamp, Rc<Table>)>,
    /// Time until which a configuration may have been active that is not known.
    unknown_until: Option<Timestamp>,
    /// When a stream route was last moved to or from each service.
    moved: IndexMap<Name, Timestamp>,
}

impl PastTables {
    /// Drops what no stream can have begun under.
    fn forget(&mut self, now: Timestamp, lifetime: Span) {
        let is_old = |at: Timestamp| now.since(at) > lifetime + MAX_DELAY;
        self.moved.retain(|_, at| !is_old(*at));
        let oldest = |tables: &VecDeque<(Timestamp, _)>| tables.front().map(|(at, _)| *at);
        while oldest(&self.replaced).is_some_and(is_old) {
            self.replaced.pop_front();
        }
        while self.replaced.len() > MAX_TABLES {
            let dropped = self.replaced.pop_front();
            self.unknown_until = self.unknown_until.max(dropped.map(|(at, _)| at));
        }
    }

    /// Records the services of stream routes that two successive tables send elsewhere.
    fn record_moved(&mut self, at: Timestamp, before: &Table, after: &Table) {
        for (table, other) in [(before, after), (after, before)] {
            for route in table.routes().filter(|route| route.kind.is_stream()) {
                let counterpart = other.route(&route.host, &route.prefix);
                let Some(counterpart) =
                    counterpart.filter(|other| other.services != route.services)
                else {
                    continue;
                };
                let services = route.services.iter().chain(&counterpart.services);
                let services = services.map(|(service, _)| (service.clone(), at));
                self.moved.extend(services);
            }
        }
    }
}

impl Router {
    /// Records that a table took the place of another one, or of none that is known.
    pub(crate) fn record_replaced_table(&self, before: Option<Rc<Table>>, after: &Table) {
        let (now, lifetime) = (self.now(), self.origin_lifetime());
        let mut past = self.past_tables.borrow_mut();
        match before {
            Some(before) => {
                past.record_moved(now, &before, after);
                past.replaced.push_back((now, before));
            }
            None => past.unknown_until = Some(now),
        }
        past.forget(now, lifetime);
    }

    /// Records the tables, the oldest first, that were active before the first one of this router.
    pub fn record_past_tables(&self, tables: Vec<Table>) {
        let (now, lifetime) = (self.now(), self.origin_lifetime());
        let mut past = self.past_tables.borrow_mut();
        let at = past.unknown_until.take().unwrap_or(now);
        for table in tables.into_iter().rev() {
            past.replaced.push_front((at, table.into()));
        }
        past.forget(now, lifetime);
    }

    /// Returns whether a stream route was moved to or from a service since streams began that clients may resume.
    #[must_use]
    pub fn has_moved_routes(&self, service: &Name) -> bool {
        let now = self.now();
        let past = self.past_tables.borrow();
        let moved = past.moved.get(service);
        moved.is_some_and(|at| now.since(*at) <= self.origin_lifetime() + MAX_DELAY)
    }

    /// Returns whether a configuration that is not known may have sent the streams of a route to another service than that of a
    /// request: one with upstreams that is not known to be plain. Streams of engines do not run at plain services.
    fn may_stream_elsewhere(&self, past: &PastTables, request: &Request) -> bool {
        let active = self.table();
        let tables = past.replaced.iter().map(|(_, table)| table).chain(&active);
        let mut streams: IndexMap<&Name, bool> = IndexMap::new();
        for table in tables {
            for (name, service) in &table.services {
                *streams.entry(name).or_default() |= service.engine.is_some();
            }
            let routes = table.routes().filter(|route| route.kind.is_stream());
            for (name, _) in routes.flat_map(|route| &route.services) {
                streams.insert(name, true);
            }
        }
        let service = active
            .as_ref()
            .and_then(|table| table.services.get(&request.service));
        let has_engines = service.is_some_and(|service| service.engine.is_some());
        let software = self.software.borrow();
        let mut others = software.services().filter(|name| **name != request.service);
        !has_engines || others.any(|name| streams.get(name) != Some(&false))
    }

    /// Returns whether all configurations that any router can have used since a time send a request to its service.
    pub(crate) fn is_route_unchanged(&self, request: &Request, since: Timestamp) -> bool {
        let past = self.past_tables.borrow();
        let matters = |at: Timestamp| at + MAX_DELAY >= since;
        if past.unknown_until.is_some_and(matters) && self.may_stream_elsewhere(&past, request) {
            return false;
        }
        let path = request.target.split(|byte| *byte == b'?').next();
        let Some(path) = path.and_then(|path| std::str::from_utf8(path).ok()) else {
            return false;
        };
        let goes_there = |route: &Route| {
            let mut services = route.services.iter();
            // The identifier of a stream selects its service.
            let selected = request.resumed_key().and_then(|key| route.service(key.0));
            selected.map_or_else(
                || services.all(|(service, _)| *service == request.service),
                |selected| *selected == request.service,
            )
        };
        let mut tables = past.replaced.iter().filter(|(at, _)| matters(*at));
        tables.all(|(_, table)| {
            let route = table.route(&request.route.host, path);
            // A stream begins only on a route for streams.
            route.is_none_or(|route| !route.kind.is_stream() || goes_there(route))
        })
    }
}
