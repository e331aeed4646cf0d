//! The shared state of a router on the users' platform.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use tokio::sync::watch;
use tsw_base::time::Tick;
use tsw_config::gateway;
use tsw_event::{emit, Event};
use tsw_flow::{
    owner::{self, Node},
    registry::{Change, Registry},
};
use tsw_member::{audience::Audience, roster::Roster};
use tsw_platform::{configuration, store::Item, upstream};
use tsw_relay::router::Router;
use tsw_route::Name;

use crate::{reuse::Reuse, stored::Stored};

/// Routers up to which each one watches the store.
const SMALL_FLEET: usize = 8;
/// Routers that watch the store in a larger fleet. The loss of several at once leaves some that
/// have seen the last change.
const READERS: usize = 6;

/// Part of the descriptors that connections of clients may take before they are closed after each
/// answer. Upstreams and idle connections to them need about as many.
const CLIENT_PART: f64 = 0.4;

/// Phase of the life of a process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Was told to stop; answers each request, and asks clients to connect elsewhere.
    Draining,
    /// Takes no further request.
    Closing,
}

/// The shared state of a router on the users' platform.
pub struct Gate {
    /// Settings in use.
    pub settings: RefCell<gateway::Settings>,
    /// Requests and upstreams.
    pub router: Rc<Router>,
    /// The other routers.
    pub roster: RefCell<Roster>,
    /// Those that hear what this one does.
    pub audience: RefCell<Audience>,
    /// The upstreams that the platform lists.
    pub registry: RefCell<Registry>,
    /// What the store holds, for peers.
    pub stored: RefCell<Stored>,
    /// Time since when the store was read without a break.
    pub read_since: Cell<Option<Tick>>,
    /// Phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Requests that were read and not answered.
    pub in_flight: Cell<usize>,
    /// Open connections of clients.
    pub clients: Cell<usize>,
    /// Whether clients use them again.
    pub reuse: Reuse,
}

impl Gate {
    /// Returns whether clients may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.router.table().is_some()
    }

    /// Notes whether the upstreams could be read from the store.
    ///
    /// Entries that disappear while neither this router nor a peer reads the store are not taken
    /// for upstreams that ended.
    pub fn set_reads_store(&self, reads: bool) {
        let now = self.router.now();
        self.roster.borrow_mut().me.reads_store = reads;
        let since = self.read_since.get().filter(|_| reads);
        self.read_since.set(reads.then(|| since.unwrap_or(now)));
        let peer_reads = self.roster.borrow().live(now).any(|peer| peer.reads_store);
        let mut registry = self.registry.borrow_mut();
        if reads {
            registry.platform_read(now);
        } else if !peer_reads {
            registry.platform_lost(now);
        }
    }

    /// Returns whether clients are to connect anew for their next request: because the router stops,
    /// or because idle connections take the descriptors that others need.
    #[must_use]
    pub fn closes_after_answer(&self) -> bool {
        let most = self.settings.borrow().descriptors as f64 * CLIENT_PART;
        *self.phase.borrow() != Phase::Serving || self.clients.get() as f64 > most
    }

    /// Returns whether some routers watch the store for all.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.router.router_count() > SMALL_FLEET
    }

    /// Returns whether this router watches the store all the time.
    ///
    /// In small fleets all routers do. In larger ones some do for all, so that the calls do not grow
    /// with the fleet; the others read them, and the store now and then.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        !self.is_large()
            || self
                .roster
                .borrow()
                .is_store_reader(self.router.now(), READERS)
    }

    /// Applies what depends on the time and tells the roster about this router.
    pub fn tick(&self) {
        let now = self.router.now();
        self.compare_reads();
        if !self.is_reader() {
            // A router that reads now and then cannot tell what happened in between.
            self.read_since.set(None);
        }
        self.apply_entries();
        let mut roster = self.roster.borrow_mut();
        let read_since = self.read_since.get();
        roster.me.read_for_ms = read_since.map_or(0, |since| now.since(since).as_millis());
        roster.me.ready = self.is_ready();
        roster.me.version = self.router.table().map_or(0, |table| table.version);
        roster.me.revision = self.registry.borrow().revision();
        self.router.set_router_count(1 + roster.live(now).count());
    }

    /// Learns from the other routers whether the store was away, or only out of reach.
    fn compare_reads(&self) {
        let now = self.router.now();
        let roster = self.roster.borrow();
        let longest = roster.live(now).map(|peer| peer.read_for_ms).max();
        if let Some(read_for_ms) = longest.filter(|read_for_ms| *read_for_ms > 0) {
            let since = now.as_micros().saturating_sub(read_for_ms * 1_000);
            self.registry
                .borrow_mut()
                .peer_read(Tick::from_micros(since));
        }
    }

    /// Offers a configuration and returns whether it is in force now.
    pub fn offer(&self, bytes: &Bytes, source: &str) -> bool {
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
        let adopted = self.router.replace_table_if_newer(table);
        if adopted {
            let mut stored = self.stored.borrow_mut();
            stored.set_configuration(version, bytes.clone());
            emit(
                Event::ConfigurationAdopted,
                &[("version", &version), ("source", &source)],
            );
        }
        adopted
    }

    /// Takes changed entries of upstreams.
    pub fn set_items(&self, items: &[Item]) {
        let now = self.router.now();
        let mut registry = self.registry.borrow_mut();
        let mut stored = self.stored.borrow_mut();
        for item in items {
            let Some(id) = item.key.strip_prefix(upstream::PREFIX) else {
                continue;
            };
            let key: Name = id.into();
            let content = item
                .value
                .as_ref()
                .map(|bytes| match upstream::decode(id, bytes) {
                    Ok(entry) => Some(entry),
                    Err(error) => {
                        emit(Event::EntryRejected, &[("entry", &id), ("cause", &error)]);
                        None
                    }
                });
            match registry.set(now, &key, item.revision, content) {
                Change::Stale => {}
                Change::Heartbeat => stored.beat(&key, item.value.as_ref()),
                Change::Content => stored.set_entry(key, item.revision, item.value.clone()),
            }
        }
    }

    /// Notes that a list of entries was complete at a revision.
    pub fn complete(&self, items: &[Item], revision: u64) {
        let keys: Vec<Name> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(upstream::PREFIX))
            .map(Name::from)
            .collect();
        self.stored.borrow_mut().complete(revision, &keys);
        let now = self.router.now();
        self.registry.borrow_mut().apply_list(now, revision, &keys);
    }

    /// Gives the upstreams that are listed now to the services.
    pub fn apply_entries(&self) {
        let now = self.router.now();
        let entries = self.registry.borrow_mut().entries(now);
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
        self.router.set_entries(entries, owned);
    }
}
