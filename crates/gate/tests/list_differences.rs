//! What one router learns of the list of upstreams from the copy of another one, and from lists that are read again.

use tsw_base::time::Timestamp;
use tsw_flow::{
    pool::Entry,
    registry::{Position, Registry},
};
use tsw_gate::{
    list::{Item, Kind, List},
    store_copy::{KnownRevisions, StoreCopy, StoreDelta},
};
use tsw_route::Name;

const NOW: Timestamp = Timestamp::ZERO;

/// A run of an upstream: its start, its heartbeat and its version.
type Run = (u64, u64, &'static str);

fn entry(key: &Name, (started_at, seq, version): Run) -> Entry {
    Entry {
        id: key.clone(),
        service: "engines".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 6,
        leaving: false,
        started_at,
        seq,
        version: Some(version.into()),
    }
}

fn item(key: &str, revision: u64, run: Option<Run>) -> Item {
    let key = Name::from(key);
    Item {
        revision,
        entry: run.map(|run| Some(entry(&key, run))),
        content: run.map(|(started_at, seq, version)| {
            format!("{started_at},{seq},{version}").into_bytes().into()
        }),
        key,
    }
}

fn position(revision: u64) -> Position {
    Position {
        era: None,
        revision,
    }
}

#[derive(Debug, Default)]
struct Router {
    registry: Registry,
    copy: StoreCopy,
}

impl Router {
    /// Applies changes of the store.
    fn change(&mut self, revision: u64, items: impl IntoIterator<Item = Item>) {
        let mut list = List {
            registry: &mut self.registry,
            copy: &mut self.copy,
        };
        for item in items {
            list.set(NOW, position(revision), item);
        }
        self.registry.advance(revision);
    }

    /// Applies a whole list of the store.
    fn list(&mut self, revision: u64, items: impl IntoIterator<Item = Item>) {
        let items: Vec<Item> = items.into_iter().collect();
        let keys: Vec<Name> = items.iter().map(|item| item.key.clone()).collect();
        let mut list = List {
            registry: &mut self.registry,
            copy: &mut self.copy,
        };
        for item in items {
            list.set(NOW, position(revision), item);
        }
        list.retain(NOW, position(revision), &keys);
        self.registry.advance(revision);
    }

    fn lacks(&self, reader: &Self) -> StoreDelta {
        let known = KnownRevisions {
            revision: reader.registry.position().revision,
            ..KnownRevisions::default()
        };
        self.copy.since(&known, self.registry.position().revision)
    }

    /// Returns whether changes are hidden from this router by what another one answers.
    fn is_hidden_by(&self, source: &Self) -> bool {
        let delta = source.lacks(self);
        assert!(!delta.complete, "a whole list");
        let read: Vec<(Name, u64, bool)> = delta
            .entries
            .iter()
            .map(|(key, revision, content)| (key.as_str().into(), *revision, content.is_some()))
            .collect();
        let read = read
            .iter()
            .map(|(key, revision, is_listed)| (key, *revision, *is_listed));
        Kind::Difference.hides_changes(&self.registry, position(delta.revision), read)
    }

    /// Applies what another router answers.
    fn read(&mut self, source: &Self) {
        let delta = source.lacks(self);
        assert!(!delta.complete, "a whole list");
        let items = delta.entries.iter().map(|(key, revision, content)| {
            let run = content.as_ref().map(|content| {
                let text = std::str::from_utf8(content).expect("UTF-8");
                let mut parts = text.split(',');
                let mut number = || -> u64 {
                    let part = parts.next().expect("a number");
                    part.parse().expect("a number")
                };
                (number(), number(), "v1")
            });
            item(key, *revision, run)
        });
        self.change(delta.revision, items);
    }
}

/// Two routers that have read the first list, and follow the store or each other from then on.
fn routers() -> [Router; 2] {
    [(); 2].map(|()| {
        let mut router = Router::default();
        router.list(1, [item("i-1", 1, Some((10, 1, "v1")))]);
        router
    })
}

/// Guards against joined streams: an upstream returns under its name with another version, and again with the first one, before
/// another router is read. The answer shows the last run only.
#[test]
fn run_that_was_replaced_between_two_answers_of_a_router_is_hidden() {
    let [mut source, reader] = routers();
    source.change(2, [item("i-1", 2, Some((20, 1, "v2")))]);
    source.change(3, [item("i-1", 3, Some((30, 1, "v1")))]);
    assert!(reader.is_hidden_by(&source));
}

/// Guards against joined streams: an upstream returns under its name with another version and is removed before another router
/// is read. The answer shows the removal of an entry that is known, but of another run.
#[test]
fn run_that_was_removed_under_a_known_name_is_hidden() {
    let [mut source, reader] = routers();
    source.change(2, [item("i-1", 2, Some((20, 1, "v2")))]);
    source.change(3, [item("i-1", 3, None)]);
    assert!(reader.is_hidden_by(&source));
}

/// Guards against joined streams: an upstream joins, and returns with another version, before another router is read.
#[test]
fn run_that_was_replaced_under_an_unknown_name_is_hidden() {
    let [mut source, reader] = routers();
    source.change(2, [item("i-2", 2, Some((20, 1, "v2")))]);
    source.change(3, [item("i-2", 3, Some((30, 1, "v1")))]);
    assert!(reader.is_hidden_by(&source));
}

/// Guards against lists that are read again without end, and so refuse streams for as long: a whole list that arrives late removes
/// an entry from the copy, though its upstream was listed again since, and no later list brings it back.
#[test]
fn copy_holds_what_the_registry_lists_after_a_late_list() {
    let [mut source, mut reader] = routers();
    // The entry expires and the next heartbeat of the same run lists it again; the reader lists meanwhile.
    source.change(2, [item("i-1", 2, None)]);
    source.change(3, [item("i-1", 3, Some((10, 2, "v1")))]);
    source.change(4, [item("i-2", 4, Some((40, 1, "v1")))]);
    reader.read(&source);
    reader.list(2, []);
    assert_eq!(reader.registry.entries(NOW).len(), 2);
    for revision in 4..8 {
        let seq = revision;
        let listed = [
            item("i-1", revision, Some((10, seq, "v1"))),
            item("i-2", 4, Some((40, 1, "v1"))),
        ];
        source.list(revision, listed.clone());
        reader.list(revision, listed);
    }
    assert_eq!(reader.registry.entries(NOW).len(), 2);
    assert_eq!(reader.copy.digest(7), source.copy.digest(7));
}
