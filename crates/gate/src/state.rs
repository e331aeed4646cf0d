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
    history::History,
    owner::{self, Node},
    pool::Entry,
    registry::{Change, EraChange, Position, Registry},
};
use tsw_member::{
    audience::Audience,
    roster::{Member, Roster},
};
use tsw_platform::{
    configuration,
    store::{Item, Items},
    upstream,
};
use tsw_relay::router::Router;
use tsw_route::{table::Limits, Name};

use crate::{
    arrival::{Arrivals, Eviction, Wait},
    connection_reuse::ReuseTracker,
    credit_exchange::ReadyRouters,
    list::{self, List},
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
        let position = |peer: &Member| Position {
            era: peer.era,
            revision: peer.revision,
        };
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

    /// Applies upstreams read from the store or a peer, and returns whether they are of the current
    /// era or a later one. A whole list also removes the upstreams that it lacks.
    pub fn apply_upstreams(&self, items: &[Item], position: Position, kind: list::Kind) -> bool {
        if !self.enter_era(position) {
            return false;
        }
        if self.hides_changes(items, position, kind) {
            let known = self.registry.borrow().position().revision;
            emit(
                Event::ChangesHidden,
                &[("known", &known), ("revision", &position.revision)],
            );
            self.router.record_hidden_changes();
        }
        let accepting = self.apply_items(items, position);
        if kind == list::Kind::Whole {
            self.apply_list(items, position);
        }
        self.registry.borrow_mut().advance(position.revision);
        // Other routers may have read the list in between.
        let registry = self.registry.borrow();
        let passed = accepting
            .iter()
            .filter(|entry| !registry.is_accepting(entry));
        self.router.record_passed_runs(passed);
        drop(registry);
        self.apply_entries();
        true
    }

    fn hides_changes(&self, items: &[Item], position: Position, kind: list::Kind) -> bool {
        let read = items.iter().filter_map(|item| {
            let key: Name = item.key.strip_prefix(upstream::PREFIX)?.into();
            Some((key, item.revision, item.value.is_some()))
        });
        let read: Vec<(Name, u64, bool)> = read.collect();
        let read = read
            .iter()
            .map(|(key, revision, is_listed)| (key, *revision, *is_listed));
        kind.hides_changes(&self.registry.borrow(), position, read)
    }

    /// Applies what the store's history tells of the time before the start.
    pub fn apply_history(&self, era: Option<u64>, history: &History) {
        if self.registry.borrow().position().era != era {
            return;
        }
        let now = self.router.now();
        let mut registry = self.registry.borrow_mut();
        registry.record_history(now, era, history);
        drop(registry);
        let before = |age: Span| Timestamp::ZERO + now.since(Timestamp::ZERO + age);
        let History {
            departed,
            replaced,
            latest,
            steps,
            known_for,
            ..
        } = history;
        for past in departed.iter().chain(replaced).chain(latest) {
            self.router.record_software(before(past.age), &past.entry);
        }
        self.router.record_history(now, before(*known_for), steps);
        if *known_for > Span::ZERO {
            let known_ms = i64::try_from(known_for.as_millis()).unwrap_or(i64::MAX);
            self.router.metrics.history_ms.set(known_ms);
            self.router.set_software_complete();
            self.router.set_software_known_since(before(*known_for));
        }
        self.apply_entries();
    }

    /// Records the removals up to a list that the store's history shows, for other routers.
    pub fn record_removals(&self, after: u64, history: &Items, listed_at: u64) {
        let removals = history.items.iter().filter_map(|item| {
            let key: Name = item.key.strip_prefix(upstream::PREFIX)?.into();
            let is_before = item.value.is_none() && item.revision <= listed_at;
            is_before.then_some((key, item.revision))
        });
        if self.registry.borrow().position().era == history.position.era {
            let mut store_copy = self.store_copy.borrow_mut();
            store_copy.record_removals(after, listed_at, removals);
        }
    }

    fn enter_era(&self, position: Position) -> bool {
        let now = self.router.now();
        let mut registry = self.registry.borrow_mut();
        let before = registry.position();
        let change = registry.enter_era(now, position.era);
        let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
            ("from", &before.era.unwrap_or(0)),
            ("to", &position.era.unwrap_or(0)),
            ("known", &before.revision),
            ("revision", &position.revision),
        ];
        match change {
            EraChange::Same => {}
            EraChange::First => self.store_copy.borrow_mut().enter_era(position.era),
            EraChange::Restored => {
                self.store_copy.borrow_mut().enter_era(position.era);
                emit(Event::StoreRestored, fields);
                // The copy lacks what was written since, as if it had not been read meanwhile.
                self.read_since.set(self.read_since.get().map(|_| now));
            }
            EraChange::Older => emit(Event::StoreOutdated, fields),
        }
        change != EraChange::Older
    }

    /// Applies entries of upstreams from a read up to a position, and returns the changed ones that accept new requests.
    fn apply_items(&self, items: &[Item], position: Position) -> Vec<Entry> {
        let now = self.router.now();
        let mut accepting = Vec::new();
        let mut registry = self.registry.borrow_mut();
        let mut store_copy = self.store_copy.borrow_mut();
        for item in items {
            let Some(id) = item.key.strip_prefix(upstream::PREFIX) else {
                continue;
            };
            let key: Name = id.into();
            let entry = item
                .value
                .as_ref()
                .map(|bytes| match upstream::decode(id, bytes) {
                    Ok(entry) => Some(entry),
                    Err(error) => {
                        emit(Event::EntryRejected, &[("entry", &id), ("cause", &error)]);
                        None
                    }
                });
            // Peers need to know only that such an entry is listed.
            let is_unusable = matches!(entry, Some(None));
            let content = item.value.clone();
            let content = content.map(|bytes| if is_unusable { Bytes::new() } else { bytes });
            let before = registry
                .entry(&key)
                .map(|(entry, known)| (entry.clone(), known));
            let offered = entry.clone().flatten();
            let mut list = List {
                registry: &mut registry,
                copy: &mut store_copy,
            };
            let item_read = list::Item {
                key: key.clone(),
                revision: item.revision,
                entry,
                content: content.clone(),
            };
            let change = list.set(now, position, item_read);
            if let Some(entry) = &offered {
                // Even an entry that is ignored shows which software served until recently.
                self.router.record_software(now, entry);
            }
            // Heartbeats are not passed on to peers, unless one states that the upstream has become cold again.
            let is_colder = change != Change::Stale && self.record_cold(item, offered.as_ref());
            log_change(change, item.revision, before, offered.as_ref());
            if change == Change::Heartbeat && is_colder {
                store_copy.set_entry(key, item.revision, content);
            }
            let changed = offered.filter(|_| change == Change::Content);
            accepting.extend(changed.filter(|entry| !entry.leaving));
        }
        accepting
    }

    /// Records for how long the upstream of an entry is cold, and returns whether that is longer than known before.
    fn record_cold(&self, item: &Item, entry: Option<&Entry>) -> bool {
        let (Some(entry), Some(bytes)) = (entry, &item.value) else {
            return false;
        };
        let left = upstream::decode_cold(bytes);
        left > Span::ZERO && self.router.record_cold(entry, left)
    }

    /// Removes the entries that are missing from a complete list as of a position.
    fn apply_list(&self, items: &[Item], position: Position) {
        let keys: Vec<Name> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(upstream::PREFIX))
            .map(Name::from)
            .collect();
        let mut list = List {
            registry: &mut self.registry.borrow_mut(),
            copy: &mut self.store_copy.borrow_mut(),
        };
        list.retain(self.router.now(), position, &keys);
    }

    /// Passes the currently listed upstreams to the services.
    pub fn apply_entries(&self) {
        let now = self.router.now();
        let entries = self.registry.borrow_mut().entries(now);
        let kept = self.registry.borrow().kept();
        let mut roster = self.roster.borrow_mut();
        roster.me.ready = self.is_ready();
        let routers = roster.client_routers(now).into_iter().map(|member| Node {
            domain: member.domain.as_str().into(),
            name: member.host.as_str().into(),
        });
        let upstreams = entries.iter().map(|entry| Node {
            domain: entry.domain.clone(),
            name: entry.id.clone(),
        });
        let routers: Vec<Node> = routers.collect();
        let upstreams: Vec<Node> = upstreams.collect();
        let owned = owner::owned(&roster.me.host, &routers, &upstreams);
        drop(roster);
        for entry in &entries {
            self.router.record_software(now, entry);
        }
        self.router.set_entries(entries, &kept, owned);
        self.router
            .set_doubtful_runs(self.registry.borrow().doubtful_runs());
    }
}

/// Logs the effect of new content of an entry. Content that was read twice is not logged.
fn log_change(
    change: Change,
    revision: u64,
    known: Option<(Entry, Position)>,
    offered: Option<&Entry>,
) {
    let is_leaving = |entry: Option<&Entry>| entry.is_some_and(|entry| entry.leaving);
    let (known, position) = known.unzip();
    let known_revision = position.map_or(0, |position| position.revision);
    let number = |entry: &Entry| (entry.started_at, entry.seq);
    match (change, &known, offered) {
        (Change::Heartbeat, ..) => {}
        (Change::Stale, Some(before), Some(entry)) if number(before) != number(entry) => emit(
            Event::EntryIgnored,
            &[
                ("upstream", &entry.id),
                ("seq", &entry.seq),
                ("leaving", &entry.leaving),
                ("revision", &revision),
                ("known_seq", &before.seq),
                ("known_revision", &known_revision),
            ],
        ),
        (Change::Pending, Some(before), Some(entry)) => emit(
            Event::EntryIgnored,
            &[
                ("upstream", &entry.id),
                ("seq", &entry.seq),
                ("leaving", &entry.leaving),
                ("revision", &revision),
                ("known_seq", &before.seq),
                ("known_revision", &known_revision),
                ("cause", &"it may be of a run before"),
            ],
        ),
        (Change::Withheld, _, Some(entry)) => emit(
            Event::EntryIgnored,
            &[
                ("upstream", &entry.id),
                ("seq", &entry.seq),
                ("leaving", &entry.leaving),
                ("revision", &revision),
                ("cause", &"left before"),
            ],
        ),
        (Change::Content, None, Some(entry)) => emit(
            Event::UpstreamAdded,
            &[
                ("upstream", &entry.id),
                ("service", &entry.service),
                ("revision", &revision),
            ],
        ),
        (Change::Content, Some(entry), None) => emit(
            Event::UpstreamGone,
            &[("upstream", &entry.id), ("revision", &revision)],
        ),
        _ => {}
    }
    if change == Change::Content && is_leaving(offered) && !is_leaving(known.as_ref()) {
        if let Some(entry) = offered {
            emit(
                Event::UpstreamLeaving,
                &[("upstream", &entry.id), ("revision", &revision)],
            );
        }
    }
}
