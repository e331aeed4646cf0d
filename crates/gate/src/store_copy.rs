//! A copy of the content of the platform's store, and the difference between it and a peer's copy.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_route::Name;

/// Maximum number of removals kept for peers. A peer that lacks older ones receives a complete
/// list.
const MAX_REMOVED: usize = 256;

/// The revisions of the store content that a router has already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownRevisions {
    /// Version of the active configuration.
    pub version: u64,
    /// Store revision up to which the entries of upstreams are known.
    pub revision: u64,
}

impl KnownRevisions {
    /// Returns the query of a read by a router with these revisions.
    ///
    /// ```
    /// use tsw_gate::store_copy::KnownRevisions;
    /// let known = KnownRevisions { version: 4, revision: 90 };
    /// assert_eq!(KnownRevisions::from_query(&known.query()), known);
    /// assert_eq!(KnownRevisions::from_query("version=x"), KnownRevisions::default());
    /// ```
    #[must_use]
    pub fn query(&self) -> String {
        format!("version={}&revision={}", self.version, self.revision)
    }

    /// Parses the query of a read. A number that is missing or malformed counts as 0.
    #[must_use]
    pub fn from_query(query: &str) -> Self {
        let number = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            let found = parts.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
        };
        Self {
            version: number("version"),
            revision: number("revision"),
        }
    }
}

/// The store content that a peer lacks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreDelta {
    /// Encoded active configuration; empty if the peer has it or none is known.
    pub configuration: Vec<u8>,
    /// Store revision up to which the entries of upstreams are known.
    pub revision: u64,
    /// Whether `entries` holds all listed entries.
    pub complete: bool,
    /// Entries of upstreams: name, revision and content; `None` if the entry was removed.
    pub entries: Vec<(String, u64, Option<Vec<u8>>)>,
}

/// A router's copy of the content of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    version: u64,
    configuration: Bytes,
    entries: IndexMap<Name, (u64, Bytes)>,
    /// Removed entries and the revision of each removal, the oldest first.
    removed: IndexMap<Name, u64>,
    /// Removals up to this revision may be missing from `removed`.
    pruned_up_to: u64,
}

impl StoreCopy {
    /// Stores the active configuration.
    pub fn set_configuration(&mut self, version: u64, bytes: Bytes) {
        self.version = version;
        self.configuration = bytes;
    }

    /// Stores the content of an entry, or its removal if `content` is `None`.
    pub fn set_entry(&mut self, key: Name, revision: u64, content: Option<Bytes>) {
        match content {
            Some(bytes) => {
                self.removed.swap_remove(&key);
                self.entries.insert(key, (revision, bytes));
            }
            None => {
                self.entries.swap_remove(&key);
                self.remove(key, revision);
            }
        }
    }

    /// Stores an entry in which only the heartbeat changed. Its revision stays, so that peers that
    /// have the entry do not receive it again: in a large fleet nearly all changes are heartbeats.
    pub fn set_heartbeat(&mut self, key: &Name, content: Option<&Bytes>) {
        if let (Some((_, known)), Some(bytes)) = (self.entries.get_mut(key), content) {
            *known = bytes.clone();
        }
    }

    fn remove(&mut self, key: Name, revision: u64) {
        self.removed.shift_remove(&key);
        self.removed.insert(key, revision);
        while self.removed.len() > MAX_REMOVED {
            let Some((_, removed_at)) = self.removed.shift_remove_index(0) else {
                break;
            };
            self.pruned_up_to = self.pruned_up_to.max(removed_at);
        }
    }

    /// Removes the entries that are missing from a complete list as of `revision`.
    pub fn apply_list(&mut self, revision: u64, keys: &[Name]) {
        let missing = self
            .entries
            .iter()
            .filter(|(key, (known, _))| *known <= revision && !keys.contains(key));
        let missing: Vec<Name> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.set_entry(key, revision, None);
        }
    }

    /// Returns the content that a peer lacks; `revision` is the one up to which this router knows
    /// the upstreams.
    ///
    /// ```
    /// use tsw_gate::store_copy::{KnownRevisions, StoreCopy};
    /// let mut copy = StoreCopy::default();
    /// copy.set_entry("i-1".into(), 5, Some("one".into()));
    /// copy.set_entry("i-2".into(), 9, Some("two".into()));
    /// let lacks = copy.since(&KnownRevisions { version: 0, revision: 6 }, 9);
    /// assert_eq!(lacks.entries, [("i-2".to_owned(), 9, Some(b"two".to_vec()))]);
    /// ```
    #[must_use]
    pub fn since(&self, known: &KnownRevisions, revision: u64) -> StoreDelta {
        // A router that has just started knows no entry to which a removal could refer.
        let complete = known.revision == 0 || known.revision < self.pruned_up_to;
        let after = if complete { 0 } else { known.revision };
        let entries = self
            .entries
            .iter()
            .filter(|(_, (changed, _))| *changed > after)
            .map(|(key, (changed, bytes))| (key.to_string(), *changed, Some(bytes.to_vec())));
        let removed = self
            .removed
            .iter()
            .filter(|(_, removed_at)| !complete && **removed_at > after)
            .map(|(key, removed_at)| (key.to_string(), *removed_at, None));
        let configuration = if self.version > known.version {
            self.configuration.to_vec()
        } else {
            Vec::new()
        };
        StoreDelta {
            configuration,
            revision,
            complete,
            entries: entries.chain(removed).collect(),
        }
    }
}
