//! The state that all tasks of a router process share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use tokio::sync::watch;
use tsw_base::time::{Span, Timestamp};
use tsw_config::gateway;
use tsw_event::{emit, Event};
use tsw_flow::{
    evacuation::Evacuations,
    registry::{Position, Registry},
};
use tsw_member::{
    audience::Audience,
    roster::{Member, Roster},
};
use tsw_platform::configuration;
use tsw_relay::router::Router;
use tsw_route::table::Limits;

use crate::{
    arrival::{Arrivals, Eviction, Wait},
    connection_reuse::ReuseTracker,
    credit_exchange::ReadyRouters,
    list_check::ListCheck,
    origin_sync::Queries,
    store_copy::StoreCopy,
};

/// Maximum number of routers in a fleet in which every router watches the store.
const SMALL_FLEET: usize = 8;
/// Number of store readers in a larger fleet. If several are lost at once, others still have the
/// last change.
const STORE_READERS: usize = 6;

/// Time within which upstreams renew their entries once the store is available, or are removed.
const ENTRY_RENEWAL: Span = Span::from_secs(5);

/// Fraction of the file descriptors that client connections may use before they are closed after
/// each response. Active and idle connections to upstreams need about as many.
const CLIENT_FRACTION: f64 = 0.4;

/// Fraction of the file descriptors that client connections may use at all.
const MAX_CLIENT_FRACTION: f64 = 0.7;
/// Part of the file descriptors for connections to the router's own endpoints: each router of a fleet reads from a few
/// others, and each client looks up addresses now and then.
const ENDPOINT_PART: usize = 8;
/// Minimum of both numbers, so that settings for few descriptors leave a router that works.
const MIN_CLIENTS: usize = 64;

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Was told to stop; still answers requests and asks clients to reconnect elsewhere.
    Draining,
    /// Accepts no further requests.
    Closing,
}

/// The state that all tasks of a router process share.
pub struct State {
    /// Active settings.
    pub settings: RefCell<gateway::Settings>,
    /// Handles requests and keeps the state of the upstreams.
    pub router: Rc<Router>,
    /// This router and the others in the fleet.
    pub roster: RefCell<Roster>,
    /// Selects the recipients of this router's activity reports.
    pub audience: RefCell<Audience>,
    /// The upstreams listed by the platform.
    pub registry: RefCell<Registry>,
    /// The failure domains that the operators evacuate.
    pub evacuations: RefCell<Evacuations>,
    /// Copy of the store's content, for the requests of peers.
    pub store_copy: RefCell<StoreCopy>,
    /// Whether the upstreams have to be listed again, since a change may have been missed.
    pub must_list: Cell<bool>,
    /// Start of the current uninterrupted period of successful reads of the store.
    pub read_since: Cell<Option<Timestamp>>,
    /// Number of live peers when this router or one of them last read the store.
    pub routers_at_read: Cell<usize>,
    /// Phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Number of requests that have begun to arrive and are not answered yet.
    pub in_flight: Cell<usize>,
    /// Client connections.
    pub clients: Rc<Arrivals>,
    /// Connections to the router's own endpoints.
    pub endpoint_clients: Rc<Arrivals>,
    /// Maximum number of client connections that the memory of the process allows.
    pub max_clients: usize,
    /// Tracks whether clients reuse their connections.
    pub reuse: ReuseTracker,
    /// Queries to other routers for where streams began.
    pub origin_queries: Queries,
    /// Reads the changes of the list that a request needs.
    pub list_check: ListCheck,
    /// Reads the changes of the list that another router needs, which asks others itself.
    pub store_check: ListCheck,
    /// The ready routers, and when they last changed.
    pub ready_routers: RefCell<ReadyRouters>,
}

impl State {
    /// Returns whether clients may use this router.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.router.table().is_some()
    }

    /// Records whether the last read of the upstreams from the store succeeded.
    ///
    /// While neither this router nor a peer can read the store, a missing entry is not taken as the
    /// end of an upstream.
    pub fn set_reads_store(&self, reads: bool) {
        let now = self.router.now();
        self.roster.borrow_mut().me.reads_store = reads;
        let since = self.read_since.get().filter(|_| reads);
        self.read_since.set(reads.then(|| since.unwrap_or(now)));
        let peer_reads = self.roster.borrow().live(now).any(|peer| peer.reads_store);
        let mut registry = self.registry.borrow_mut();
        if reads {
            registry.record_platform_read(now);
        } else if peer_reads {
            registry.record_read_failure(now);
        } else {
            registry.record_platform_failure(now);
        }
    }

    /// Returns the limits on clients of the active configuration.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let table = self.router.table();
        table.map_or(Limits::default(), |table| table.limits)
    }

    /// Returns whether connections are closed after the current response: because the router is
    /// stopping, or because client connections use too many file descriptors.
    #[must_use]
    pub fn closes_after_response(&self) -> bool {
        let max_clients = self.settings.borrow().descriptors as f64 * CLIENT_FRACTION;
        *self.phase.borrow() != Phase::Serving || self.clients.count() as f64 > max_clients
    }

    /// Returns the maximum number of client connections; beyond it, those that have waited longest are closed.
    #[must_use]
    pub fn max_clients(&self) -> usize {
        let descriptors = self.settings.borrow().descriptors as f64;
        let allowed = (descriptors * MAX_CLIENT_FRACTION) as usize;
        allowed.min(self.max_clients).max(MIN_CLIENTS)
    }

    /// Waits until a connection has to be closed for others, counts that, and returns why.
    pub async fn evicted(&self, wait: &Wait) -> Eviction {
        let reason = wait.evicted().await;
        let short = match reason {
            Eviction::Connections => "connections",
            Eviction::Memory => "memory",
        };
        let evicted = &self.router.metrics.evicted;
        evicted.with_label_values(&[short]).inc();
        reason
    }

    /// Returns the maximum number of connections to the router's own endpoints.
    #[must_use]
    pub fn max_endpoint_clients(&self) -> usize {
        let descriptors = self.settings.borrow().descriptors;
        (descriptors / ENDPOINT_PART).max(MIN_CLIENTS)
    }

    /// Returns whether the fleet is so large that only some routers watch the store.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        self.router.router_count() > SMALL_FLEET
    }

    /// Returns whether this router is a store reader, that is, watches the store continuously.
    ///
    /// In small fleets all routers do. In larger ones only some do, so that the load on the store
    /// does not grow with the fleet; the others read from these, and occasionally from the store.
    #[must_use]
    pub fn is_store_reader(&self) -> bool {
        !self.is_large_fleet()
            || self
                .roster
                .borrow()
                .is_store_reader(self.router.now(), STORE_READERS)
    }

    /// Returns the other routers that learn first of changes of the store: all in a small fleet.
    pub fn store_readers(&self) -> Vec<Member> {
        let now = self.router.now();
        let roster = self.roster.borrow();
        let count = if self.is_large_fleet() {
            STORE_READERS
        } else {
            SMALL_FLEET
        };
        let readers = roster.store_readers(now, count).into_iter();
        readers.cloned().collect()
    }

    /// Applies time-dependent changes and updates this router's own member of the roster.
    pub fn tick(&self) {
        let now = self.router.now();
        self.update_outage_from_peers();
        if !self.is_store_reader() {
            // Occasional reads do not show whether the store was readable in between.
            self.read_since.set(None);
        }
        self.apply_entries();
        if self.knows_all_upstreams() {
            self.router.set_software_complete();
        }
        let mut roster = self.roster.borrow_mut();
        let read_since = self.read_since.get();
        roster.me.read_for_ms = read_since.map_or(0, |since| now.since(since).as_millis());
        let of_peers = roster.live(now).map(|peer| peer.read_for_ms);
        let read_for = of_peers.chain([roster.me.read_for_ms]).max().unwrap_or(0);
        let is_recent = self.router.uptime() < ENTRY_RENEWAL;
        self.router
            .set_entries_may_be_outdated(is_recent || Span::from_millis(read_for) < ENTRY_RENEWAL);
        roster.me.ready = self.is_ready();
        roster.me.version = self.router.table().map_or(0, |table| table.version);
        let position = self.registry.borrow().position();
        (roster.me.era, roster.me.revision) = (position.era, position.revision);
        self.router.set_router_count(1 + roster.live(now).count());
        drop(roster);
        self.record_contact();
        self.router.log_list_expiry();
    }

    /// Records when this router was last in contact with a majority, and what the others know of the list. While they know no more, streams
    /// begin here although the store does not answer: all of them follow the same list.
    fn record_contact(&self) {
        let now = self.router.now();
        let roster = self.roster.borrow();
        let majority = roster.majority_heard_at(now);
        // Those that do not read the store themselves learn of changes from any that does.
        let reader = roster.reader_heard_at().filter(|_| !self.is_store_reader());
        let heard_at = reader.map_or(majority, |reader| majority.max(reader));
        let stated = roster.live(now).map(position).max().unwrap_or_default();
        let known = self.registry.borrow().position();
        self.router.record_contact(heard_at, known, stated);
    }

    /// Returns whether no router can have read an upstream from the store that this one does not know,
    /// apart from delays.
    fn knows_all_upstreams(&self) -> bool {
        let reads = self.is_store_reader() && self.roster.borrow().me.reads_store;
        if reads {
            let routers = self.roster.borrow().live(self.router.now()).count();
            self.routers_at_read.set(routers);
        }
        let is_listed = self.registry.borrow().position().revision > 0;
        is_listed && (reads || self.knows_what_peers_know())
    }

    /// Returns whether this router has listed what any other router has, unless routers that it was in contact with
    /// at the latest read are missing.
    pub fn knows_what_peers_know(&self) -> bool {
        let now = self.router.now();
        let roster = self.roster.borrow();
        let known = self.registry.borrow().position();
        let mut peers = roster.live(now).peekable();
        let routers = roster.live(now).count();
        let is_current = peers.peek().is_some() && peers.all(|peer| position(peer) <= known);
        if is_current && roster.live(now).any(|peer| peer.reads_store) {
            self.routers_at_read.set(routers);
        }
        // While nobody reads the store, routers that are not in contact may know upstreams that this one
        // does not.
        is_current && routers >= self.routers_at_read.get() && known.revision > 0
    }

    /// Determines from the reads of the other routers whether the store was down or only
    /// unreachable from here.
    fn update_outage_from_peers(&self) {
        let now = self.router.now();
        let roster = self.roster.borrow();
        let longest = roster.live(now).map(|peer| peer.read_for_ms).max();
        if let Some(read_for_ms) = longest.filter(|read_for_ms| *read_for_ms > 0) {
            let since = now.as_micros().saturating_sub(read_for_ms * 1_000);
            self.registry
                .borrow_mut()
                .record_peer_read(Timestamp::from_micros(since));
        }
    }

    /// Decodes a configuration, adopts it if it is newer, and returns whether it was adopted.
    pub fn offer_configuration(&self, bytes: &Bytes, source: &str) -> bool {
        let table = match configuration::decode(bytes) {
            Ok(table) => table,
            Err(error) => {
                emit(
                    Event::ConfigurationRejected,
                    &[("source", &source), ("cause", &error)],
                );
                return false;
            }
        };
        let version = table.version;
        let active = self.router.table().map_or(0, |table| table.version);
        if version < active {
            emit(
                Event::ConfigurationOlder,
                &[
                    ("version", &version),
                    ("active", &active),
                    ("source", &source),
                ],
            );
        }
        let adopted = self.router.replace_table_if_newer(table);
        if adopted {
            let mut store_copy = self.store_copy.borrow_mut();
            store_copy.set_configuration(version, bytes.clone());
            emit(
                Event::ConfigurationAdopted,
                &[("version", &version), ("source", &source)],
            );
        }
        adopted
    }
}

/// Returns the point in the store's history up to which a router states that it knows the upstreams.
pub const fn position(member: &Member) -> Position {
    Position {
        era: member.era,
        revision: member.revision,
    }
}
