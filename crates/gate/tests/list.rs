//! Lists of upstreams that routers read from the store and from each other.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tsw_base::time::Timestamp;
use tsw_flow::{
    pool::Entry,
    registry::{Position, Registry},
};
use tsw_gate::{
    list::{Item, List},
    store_copy::{KnownRevisions, StoreCopy},
};
use tsw_route::Name;

const NOW: Timestamp = Timestamp::ZERO;
const KEYS: u64 = 5;
const ROUTERS: usize = 3;

fn entry(key: &Name, started_at: u64, seq: u64) -> Entry {
    Entry {
        id: key.clone(),
        service: "engines".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 6,
        leaving: false,
        started_at,
        seq,
        version: None,
    }
}

fn name(key: u64) -> Name {
    format!("i-{key}").into()
}

/// A change of the store: an entry, or its removal.
#[derive(Clone, Debug)]
struct Write {
    key: Name,
    revision: u64,
    entry: Option<Entry>,
}

impl Write {
    fn item(&self) -> Item {
        let content = self.entry.as_ref().map(|entry| {
            let text = format!("{},{}", entry.started_at, entry.seq);
            text.into()
        });
        Item {
            key: self.key.clone(),
            revision: self.revision,
            entry: self.entry.clone().map(Some),
            content,
        }
    }
}

/// The store, with its whole history.
#[derive(Debug, Default)]
struct Store(Vec<Write>);

impl Store {
    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    fn keys(&self, revision: u64) -> Vec<Name> {
        self.items(revision).into_keys().collect()
    }

    fn items(&self, revision: u64) -> BTreeMap<Name, Write> {
        let mut items = BTreeMap::new();
        for write in self.0.iter().filter(|write| write.revision <= revision) {
            if write.entry.is_some() {
                items.insert(write.key.clone(), write.clone());
            } else {
                items.remove(&write.key);
            }
        }
        items
    }

    /// Writes an entry of a later run, or removes it if it is listed.
    fn change(&mut self, key: u64, is_removed: bool) {
        let (key, revision) = (name(key), self.revision() + 1);
        let is_listed = self.keys(revision).contains(&key);
        if is_removed && !is_listed {
            return;
        }
        let entry = (!is_removed).then(|| entry(&key, revision, 1));
        self.0.push(Write {
            key,
            revision,
            entry,
        });
    }
}

/// A response that is on its way.
#[derive(Clone, Debug)]
struct Read {
    items: Vec<Item>,
    revision: u64,
    complete: bool,
}

#[derive(Debug, Default)]
struct Router {
    registry: Registry,
    copy: StoreCopy,
    /// Revision after which it watches the store; `None` if it has to list.
    watched: Option<u64>,
    /// Revision of the latest whole list that the store has sent.
    listed_at: u64,
}

impl Router {
    fn revision(&self) -> u64 {
        self.registry.position().revision
    }

    fn known(&self) -> KnownRevisions {
        KnownRevisions {
            revision: self.revision(),
            ..KnownRevisions::default()
        }
    }

    /// Returns the response of the store to the next read of this router.
    fn read(&self, store: &Store) -> Read {
        let revision = store.revision();
        let writes: Vec<Write> = match self.watched {
            None => store.items(revision).into_values().collect(),
            Some(after) => {
                let later = store.0.iter().filter(|write| write.revision > after);
                later.cloned().collect()
            }
        };
        Read {
            items: writes.iter().map(Write::item).collect(),
            revision,
            complete: self.watched.is_none(),
        }
    }

    /// Returns the response to a read of another router.
    fn answer(&self, known: &KnownRevisions) -> Read {
        let delta = self.copy.since(known, self.revision());
        let item = |(key, revision, content): (String, u64, Option<Vec<u8>>)| {
            let key: Name = key.as_str().into();
            let entry = content.as_ref().map(|content| {
                let text = std::str::from_utf8(content).expect("UTF-8");
                let (started_at, seq) = text.split_once(',').expect("two numbers");
                let number = |text: &str| text.parse().expect("a number");
                Some(entry(&key, number(started_at), number(seq)))
            });
            Item {
                key,
                revision,
                entry,
                content: content.map(Into::into),
            }
        };
        Read {
            items: delta.entries.into_iter().map(item).collect(),
            revision: delta.revision,
            complete: delta.complete,
        }
    }

    fn apply(&mut self, read: Read) {
        let position = Position {
            era: None,
            revision: read.revision,
        };
        let keys: Vec<Name> = read.items.iter().map(|item| item.key.clone()).collect();
        let mut list = List {
            registry: &mut self.registry,
            copy: &mut self.copy,
        };
        for item in read.items {
            list.set(NOW, position, item);
        }
        if read.complete {
            list.retain(NOW, position, &keys);
        }
        self.registry.advance(read.revision);
    }

    /// Reads the history of the store from before the latest list.
    fn read_history(&mut self, store: &Store, length: u64) {
        let after = self.listed_at.saturating_sub(length);
        let is_past = |write: &&Write| write.revision > after && write.revision <= self.listed_at;
        let past = store.0.iter().filter(is_past);
        let past = past.map(|write| (write.key.clone(), write.revision, write.item().content));
        self.copy.record_history(after, self.listed_at, past);
    }

    /// Applies a response of the store to its watch.
    fn apply_watched(&mut self, read: Read) {
        if read.complete {
            self.listed_at = read.revision;
        }
        self.watched = Some(read.revision);
        self.apply(read);
    }

    fn keys(&mut self) -> Vec<Name> {
        let entries = self.registry.entries(NOW).into_iter();
        let mut keys: Vec<Name> = entries.map(|entry| entry.id).collect();
        keys.sort_unstable();
        keys
    }
}

/// Guards against an upstream that stays in use at a router that reads from one which has started after the upstream left.
#[test]
fn removals_from_before_the_first_list_of_a_router_reach_those_that_read_from_it() {
    let mut store = Store::default();
    store.change(1, false);
    store.change(2, false);
    let mut running = Router::default();
    running.apply_watched(running.read(&store));
    store.change(2, true);
    let mut started = Router::default();
    started.apply_watched(started.read(&store));
    running.apply(started.answer(&running.known()));
    assert_eq!(running.revision(), 3);
    assert_eq!(running.keys(), store.keys(3));
}

/// Guards against an upstream that is used again after it left, at a router that gets an earlier response late, and at those
/// that read from it.
#[test]
fn response_that_arrives_late_brings_no_removed_entry_back() {
    let mut store = Store::default();
    store.change(1, false);
    let mut router = Router::default();
    router.apply_watched(router.read(&store));
    store.change(2, false);
    let late = router.read(&store);
    let mut reader = Router::default();
    reader.apply_watched(reader.read(&store));
    store.change(2, true);
    // Another read of the router overtakes the response.
    router.apply(router.read(&store));
    router.apply_watched(late);
    assert_eq!(router.keys(), store.keys(3));
    reader.apply(router.answer(&reader.known()));
    assert_eq!(reader.keys(), store.keys(3));
}

/// Guards against a missed change that lasts: a list that is read again shows all changes, also those from before the position.
#[test]
fn whole_list_shows_changes_that_were_missed() {
    let mut store = Store::default();
    store.change(1, false);
    store.change(2, false);
    let mut router = Router::default();
    router.apply_watched(router.read(&store));
    store.change(3, false);
    store.change(2, true);
    router.registry.advance(store.revision());
    router.watched = None;
    router.apply_watched(router.read(&store));
    assert_eq!(router.keys(), store.keys(4));
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store writes or removes an entry.
    Change(u64, bool),
    /// The store answers the watch of a router; the response arrives at a later step.
    Watch(usize),
    /// A response of the store arrives, if one is on its way.
    Arrive(usize),
    /// A router reads the changes since its position, besides its watch.
    Check(usize),
    /// A router reads from another one that is ahead.
    ReadPeer(usize, usize),
    /// A router is killed and starts again.
    Restart(usize),
    /// A router reads so many changes from before its latest list.
    History(usize, u64),
    /// The store has discarded the history that the watch of a router needs.
    Compact(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    prop_oneof![
        4 => (0..KEYS, any::<bool>()).prop_map(|(key, is_removed)| Step::Change(key, is_removed)),
        2 => router.clone().prop_map(Step::Watch),
        2 => router.clone().prop_map(Step::Arrive),
        1 => router.clone().prop_map(Step::Check),
        3 => (router.clone(), router.clone()).prop_map(|(to, from)| Step::ReadPeer(to, from)),
        1 => router.clone().prop_map(Step::Restart),
        1 => (router.clone(), 0..6u64).prop_map(|(router, length)| Step::History(router, length)),
        1 => router.prop_map(Step::Compact),
    ]
}

proptest! {
    /// Guards against a position that passes changes which a router has not applied, whatever it reads them through.
    #[test]
    fn routers_at_the_revision_of_the_store_list_what_the_store_lists(steps in prop::collection::vec(step(), 1..60)) {
        let mut store = Store::default();
        let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::default()).collect();
        let mut on_the_way: Vec<Option<Read>> = vec![None; ROUTERS];
        for step in steps {
            match step {
                Step::Change(key, is_removed) => store.change(key, is_removed),
                Step::Watch(router) => {
                    if on_the_way[router].is_none() {
                        on_the_way[router] = Some(routers[router].read(&store));
                    }
                }
                Step::Arrive(router) => {
                    if let Some(read) = on_the_way[router].take() {
                        routers[router].apply_watched(read);
                    }
                }
                Step::Check(router) if routers[router].watched.is_some() => {
                    let after = routers[router].revision();
                    let at_position = Router { watched: Some(after), ..Router::default() };
                    routers[router].apply(at_position.read(&store));
                }
                Step::ReadPeer(to, from) if routers[from].revision() > routers[to].revision() => {
                    let answer = routers[from].answer(&routers[to].known());
                    routers[to].apply(answer);
                }
                Step::Restart(router) => {
                    routers[router] = Router::default();
                    on_the_way[router] = None;
                }
                Step::History(router, length) => routers[router].read_history(&store, length),
                Step::Compact(router) => {
                    routers[router].watched = None;
                    on_the_way[router] = None;
                }
                Step::Check(_) | Step::ReadPeer(..) => {}
            }
            for router in &mut routers {
                let revision = router.revision();
                prop_assert_eq!(router.keys(), store.keys(revision), "at {}", revision);
                let mut listed = StoreCopy::default();
                let keys = store.keys(revision).into_iter();
                keys.for_each(|key| listed.set_entry(key, revision, Some("listed".into())));
                prop_assert_eq!(router.copy.digest(revision), listed.digest(revision));
            }
        }
    }
}
