//! A copy of the content of the platform's store, and the difference between it and a peer's copy.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tsw_route::Name;
use xxhash_rust::xxh3;

/// Maximum number of changes kept for peers. A peer that lacks older ones receives a complete list.
const MAX_CHANGES: usize = 1_024;

/// The revisions of the store content that a router has already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownRevisions {
    /// Version of the active configuration.
    pub version: u64,
    /// Store revision up to which the entries of upstreams are known.
    pub revision: u64,
    /// Era of that revision; `None` if unknown.
    pub era: Option<u64>,
}

impl KnownRevisions {
    /// Returns the query of a read by a router with these revisions.
    ///
    /// ```
    /// use tsw_gate::store_copy::KnownRevisions;
    /// let known = KnownRevisions { version: 4, revision: 90, era: Some(2) };
    /// assert_eq!(KnownRevisions::from_query(&known.query()), known);
    /// assert_eq!(KnownRevisions::from_query("version=x"), KnownRevisions::default());
    /// ```
    #[must_use]
    pub fn query(&self) -> String {
        let era = self.era.map(|era| format!("&era={era}"));
        let era = era.unwrap_or_default();
        format!("version={}&revision={}{era}", self.version, self.revision)
    }

    /// Parses the query of a read. A number that is missing or malformed counts as 0, an era as
    /// unknown.
    #[must_use]
    pub fn from_query(query: &str) -> Self {
        let number = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            let found = parts.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse().ok())
        };
        Self {
            version: number("version").unwrap_or(0),
            revision: number("revision").unwrap_or(0),
            era: number("era"),
        }
    }
}

/// A digest of the keys of the entries up to a revision, in any order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Digest {
    /// Number of the entries.
    pub entries: usize,
    /// Combined hash of their keys.
    pub hash: u64,
}

impl Digest {
    fn add(&mut self, key: &Name) {
        self.entries += 1;
        self.hash ^= xxh3::xxh3_64(key.as_bytes());
    }

    fn remove(&mut self, key: &Name) {
        self.entries = self.entries.saturating_sub(1);
        self.hash ^= xxh3::xxh3_64(key.as_bytes());
    }

    /// Returns the text of a header field.
    ///
    /// ```
    /// use tsw_gate::store_copy::Digest;
    /// let digest = Digest { entries: 3, hash: 0x1f };
    /// assert_eq!(Digest::parse(&digest.to_field()), Some(digest));
    /// assert_eq!(Digest::parse("3"), None);
    /// ```
    #[must_use]
    pub fn to_field(self) -> String {
        format!("{},{:x}", self.entries, self.hash)
    }

    /// Parses the text of a header field.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (entries, hash) = text.split_once(',')?;
        Some(Self {
            entries: entries.parse().ok()?,
            hash: u64::from_str_radix(hash, 16).ok()?,
        })
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
    /// All listed entries of upstreams, or their changes in order: name, revision and content; `None` if the entry was removed.
    pub entries: Vec<(String, u64, Option<Vec<u8>>)>,
    /// Era of the revisions. It follows the other fields in the encoding, where routers that do not
    /// know it ignore it.
    #[serde(skip)]
    pub era: Option<u64>,
    /// Digest of the sender's list at `revision`, which the response states in a header field.
    #[serde(skip)]
    pub digest: Option<Digest>,
    /// Whether `entries` shows each change, not only the present content of what has changed. Earlier builds send the latter.
    #[serde(skip)]
    pub shows_changes: bool,
    /// Whether the sender has read the store after it was asked for that.
    #[serde(skip)]
    pub is_read: bool,
    /// Evacuated failure domains; `None` if none was ever known to be evacuated. They follow the era.
    #[serde(skip)]
    pub evacuated: Option<Evacuated>,
}

/// The evacuated failure domains as of a point in the store's history.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuated {
    /// Era of the store.
    pub era: Option<u64>,
    /// Revision of the store.
    pub revision: u64,
    /// Names of the domains.
    pub domains: Vec<String>,
}

impl StoreDelta {
    /// Encodes the content for a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the content cannot be encoded.
    ///
    /// ```
    /// use tsw_gate::store_copy::StoreDelta;
    /// let delta = StoreDelta { revision: 4, era: Some(2), ..StoreDelta::default() };
    /// assert_eq!(StoreDelta::decode(&delta.encode()?)?, delta);
    /// # Ok::<(), postcard::Error>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_extend(&self.era, postcard::to_allocvec(self)?)?;
        match &self.evacuated {
            Some(evacuated) => postcard::to_extend(evacuated, bytes),
            None => Ok(bytes),
        }
    }

    /// Decodes the content sent by a peer. The era is unknown if the peer does not state it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut delta, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            let (era, rest) = postcard::take_from_bytes(rest)?;
            delta.era = era;
            if !rest.is_empty() {
                delta.evacuated = Some(postcard::from_bytes(rest)?);
            }
        }
        Ok(delta)
    }
}

/// A router's copy of the content of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    version: u64,
    configuration: Bytes,
    /// Era of the revisions of entries.
    era: Option<u64>,
    /// Whether the store was restored from a copy since the process started.
    restored: bool,
    entries: IndexMap<Name, (u64, Bytes)>,
    /// Digest of all entries.
    total: Digest,
    /// Latest revision of an entry.
    latest: u64,
    /// The latest changes of entries, in their order. Heartbeats are none.
    changes: VecDeque<Change>,
    /// Changes up to this revision may be missing from `changes`.
    pruned_up_to: u64,
}

/// A change of an entry.
#[derive(Clone, Debug)]
struct Change {
    key: Name,
    revision: u64,
    /// `None` if the entry was removed.
    content: Option<Bytes>,
}

impl StoreCopy {
    /// Stores the active configuration.
    pub fn set_configuration(&mut self, version: u64, bytes: Bytes) {
        self.version = version;
        self.configuration = bytes;
    }

    /// Enters a later era. The entries stay, but their revisions are not comparable to those of the
    /// new era: peers of an older one receive a complete list.
    pub fn enter_era(&mut self, era: Option<u64>) {
        self.restored |= self.era.is_some();
        self.era = era;
        for (revision, _) in self.entries.values_mut() {
            *revision = 0;
        }
        self.latest = 0;
        self.changes.clear();
        self.pruned_up_to = 0;
    }

    /// Stores the content of an entry, or its removal if `content` is `None`.
    pub fn set_entry(&mut self, key: Name, revision: u64, content: Option<Bytes>) {
        self.latest = self.latest.max(revision);
        match &content {
            Some(bytes) => {
                let known = self.entries.insert(key.clone(), (revision, bytes.clone()));
                if known.is_none() {
                    self.total.add(&key);
                }
            }
            None => {
                if self.entries.swap_remove(&key).is_some() {
                    self.total.remove(&key);
                }
            }
        }
        self.changes.push_back(Change {
            key,
            revision,
            content,
        });
        self.prune();
    }

    /// Stores an entry in which only the heartbeat changed. Its revision stays, so that peers that
    /// have the entry do not receive it again: in a large fleet nearly all changes are heartbeats.
    ///
    /// The first heartbeat after a restore of the store gives the entry a revision of the new era.
    /// Peers that have listed the copy may know older content of it.
    pub fn set_heartbeat(&mut self, key: &Name, revision: u64, content: Option<&Bytes>) {
        if let (Some((changed, known)), Some(bytes)) = (self.entries.get_mut(key), content) {
            *known = bytes.clone();
            if *changed == 0 {
                *changed = revision;
                self.latest = self.latest.max(revision);
                self.changes.push_back(Change {
                    key: key.clone(),
                    revision,
                    content: Some(bytes.clone()),
                });
                self.prune();
            }
        }
    }

    /// Records a history that shows all changes after a revision, up to a whole list. Has no effect if another whole list followed.
    ///
    /// ```
    /// use tsw_gate::store_copy::{KnownRevisions, StoreCopy};
    /// let mut copy = StoreCopy::default();
    /// copy.set_entry("i-1".into(), 5, Some("one".into()));
    /// copy.apply_list(9, &["i-1".into()]);
    /// let known = KnownRevisions { revision: 6, ..KnownRevisions::default() };
    /// assert!(copy.since(&known, 9).complete);
    /// copy.record_history(4, 9, [("i-1".into(), 5, Some("one".into())), ("i-2".into(), 8, None)]);
    /// assert_eq!(copy.since(&known, 9).entries, [("i-2".to_owned(), 8, None)]);
    /// ```
    pub fn record_history(
        &mut self,
        after: u64,
        listed_at: u64,
        history: impl IntoIterator<Item = (Name, u64, Option<Bytes>)>,
    ) {
        if self.pruned_up_to != listed_at {
            return;
        }
        let history = history.into_iter().map(|(key, revision, content)| Change {
            key,
            revision,
            content,
        });
        let later = std::mem::take(&mut self.changes);
        self.changes = history.chain(later).collect();
        self.pruned_up_to = after;
        self.prune();
    }

    /// Forgets the changes up to a revision, since not all of them are known.
    pub fn forget_changes(&mut self, up_to: u64) {
        self.changes.retain(|change| change.revision > up_to);
        self.pruned_up_to = self.pruned_up_to.max(up_to);
    }

    fn prune(&mut self) {
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            let dropped = dropped.map_or(0, |change| change.revision);
            self.pruned_up_to = self.pruned_up_to.max(dropped);
        }
    }

    /// Removes the entries that are missing from a complete list as of `revision`.
    pub fn apply_list(&mut self, revision: u64, keys: &[Name]) {
        let keys: IndexSet<&Name> = keys.iter().collect();
        let total = &mut self.total;
        self.entries.retain(|key, (known, _)| {
            let is_listed = *known > revision || keys.contains(key);
            if !is_listed {
                total.remove(key);
            }
            is_listed
        });
        // The list does not show what came and went before it.
        self.forget_changes(revision);
    }

    /// Returns the digest of the entries up to a revision.
    ///
    /// ```
    /// use tsw_gate::store_copy::StoreCopy;
    /// let mut copy = StoreCopy::default();
    /// copy.set_entry("i-1".into(), 5, Some("one".into()));
    /// let before = copy.digest(9);
    /// copy.set_entry("i-2".into(), 9, Some("two".into()));
    /// assert_ne!(copy.digest(9), before);
    /// ```
    #[must_use]
    pub fn digest(&self, revision: u64) -> Digest {
        if revision >= self.latest {
            return self.total;
        }
        // A list of several pages shows entries that were written while it was read.
        let mut digest = Digest::default();
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, (changed, _))| *changed <= revision);
        entries.for_each(|(key, _)| digest.add(key));
        digest
    }

    /// Returns the content that a peer lacks; `revision` is the one up to which this router knows
    /// the upstreams.
    ///
    /// ```
    /// use tsw_gate::store_copy::{KnownRevisions, StoreCopy};
    /// let mut copy = StoreCopy::default();
    /// copy.set_entry("i-1".into(), 5, Some("one".into()));
    /// copy.set_entry("i-2".into(), 9, Some("two".into()));
    /// let lacks = copy.since(&KnownRevisions { revision: 6, ..KnownRevisions::default() }, 9);
    /// assert_eq!(lacks.entries, [("i-2".to_owned(), 9, Some(b"two".to_vec()))]);
    /// ```
    #[must_use]
    pub fn since(&self, known: &KnownRevisions, revision: u64) -> StoreDelta {
        let complete = known.revision == 0
            || known.revision < self.pruned_up_to
            || !self.is_comparable(known.era);
        let entry = |(key, revision, content): (&Name, u64, Option<&Bytes>)| {
            (
                key.to_string(),
                revision,
                content.map(|bytes| bytes.to_vec()),
            )
        };
        let entries: Vec<(String, u64, Option<Vec<u8>>)> = if complete {
            let listed = self.entries.iter();
            let listed = listed.map(|(key, (changed, bytes))| (key, *changed, Some(bytes)));
            listed.map(entry).collect()
        } else {
            let later = self.changes.iter();
            let later = later.filter(|change| change.revision > known.revision);
            let later = later.map(|change| (&change.key, change.revision, change.content.as_ref()));
            later.map(entry).collect()
        };
        let configuration = if self.version > known.version {
            self.configuration.to_vec()
        } else {
            Vec::new()
        };
        StoreDelta {
            configuration,
            revision,
            complete,
            entries,
            era: self.era,
            digest: Some(self.digest(revision)),
            shows_changes: true,
            is_read: false,
            evacuated: None,
        }
    }

    /// Returns whether the revisions of a peer can be compared with those of this router. A router
    /// that does not state an era knows the revisions of the present one, unless the store was
    /// restored.
    fn is_comparable(&self, era: Option<u64>) -> bool {
        era == self.era || era.is_none() && !self.restored
    }
}
