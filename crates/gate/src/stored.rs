//! What the platform's store holds, as this router knows it, and the part of it that a peer lacks.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_route::Name;

/// Removals that are remembered for peers. A peer that lacks more of them gets a complete list.
const MAX_REMOVED: usize = 256;

/// What a router knows of the store already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// Version of the configuration in force.
    pub version: u64,
    /// Revision up to which the upstreams are known.
    pub revision: u64,
}

impl Known {
    /// Returns the query of a read by a router that knows this much.
    ///
    /// ```
    /// use tsw_gate::stored::Known;
    /// let known = Known { version: 4, revision: 90 };
    /// assert_eq!(Known::from_query(&known.query()), known);
    /// assert_eq!(Known::from_query("version=x"), Known::default());
    /// ```
    #[must_use]
    pub fn query(&self) -> String {
        format!("version={}&revision={}", self.version, self.revision)
    }

    /// Reads the query of a read. What is missing or malformed counts as not known.
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

/// What a router tells a peer about the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Knowledge {
    /// Bytes of the configuration in force; empty if the peer has it or none is known.
    pub configuration: Vec<u8>,
    /// Revision up to which the upstreams are known.
    pub revision: u64,
    /// Whether `entries` are all that are listed.
    pub complete: bool,
    /// Entries of upstreams: name, revision and content; `None` if the entry was removed.
    pub entries: Vec<(String, u64, Option<Vec<u8>>)>,
}

/// What the store holds, as this router knows it.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    version: u64,
    configuration: Bytes,
    entries: IndexMap<Name, (u64, Bytes)>,
    /// Removed entries and the revision at which they were gone.
    removed: IndexMap<Name, u64>,
    /// Removals up to this revision may be missing in `removed`.
    forgotten: u64,
}

impl Stored {
    /// Takes the configuration in force.
    pub fn set_configuration(&mut self, version: u64, bytes: Bytes) {
        self.version = version;
        self.configuration = bytes;
    }

    /// Takes the content of an entry; `None` if it was removed.
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

    /// Takes an entry in which only the heartbeat changed. Peers that know the entry are not told of
    /// it: in a large fleet nearly all changes are heartbeats.
    pub fn beat(&mut self, key: &Name, content: Option<&Bytes>) {
        if let (Some((_, known)), Some(bytes)) = (self.entries.get_mut(key), content) {
            *known = bytes.clone();
        }
    }

    fn remove(&mut self, key: Name, revision: u64) {
        self.removed.shift_remove(&key);
        self.removed.insert(key, revision);
        while self.removed.len() > MAX_REMOVED {
            let Some((_, gone)) = self.removed.shift_remove_index(0) else {
                break;
            };
            self.forgotten = self.forgotten.max(gone);
        }
    }

    /// Notes that a list of entries was complete at a revision; others were removed before it.
    pub fn complete(&mut self, revision: u64, keys: &[Name]) {
        let missing = self
            .entries
            .iter()
            .filter(|(key, (known, _))| *known <= revision && !keys.contains(key));
        let missing: Vec<Name> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.set_entry(key, revision, None);
        }
    }

    /// Returns what a peer lacks, given the revision up to which this router knows the upstreams.
    ///
    /// ```
    /// use tsw_gate::stored::{Known, Stored};
    /// let mut stored = Stored::default();
    /// stored.set_entry("i-1".into(), 5, Some("one".into()));
    /// stored.set_entry("i-2".into(), 9, Some("two".into()));
    /// let lacks = stored.since(&Known { version: 0, revision: 6 }, 9);
    /// assert_eq!(lacks.entries, [("i-2".to_owned(), 9, Some(b"two".to_vec()))]);
    /// ```
    #[must_use]
    pub fn since(&self, known: &Known, revision: u64) -> Knowledge {
        // A router that starts knows nothing, also not what a removal refers to.
        let complete = known.revision == 0 || known.revision < self.forgotten;
        let after = if complete { 0 } else { known.revision };
        let entries = self
            .entries
            .iter()
            .filter(|(_, (changed, _))| *changed > after)
            .map(|(key, (changed, bytes))| (key.to_string(), *changed, Some(bytes.to_vec())));
        let removed = self
            .removed
            .iter()
            .filter(|(_, gone)| !complete && **gone > after)
            .map(|(key, gone)| (key.to_string(), *gone, None));
        let configuration = if self.version > known.version {
            self.configuration.to_vec()
        } else {
            Vec::new()
        };
        Knowledge {
            configuration,
            revision,
            complete,
            entries: entries.chain(removed).collect(),
        }
    }
}
