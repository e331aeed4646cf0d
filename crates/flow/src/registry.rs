//! The upstreams listed by the platform, kept through its outages.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

use crate::pool::Entry;

/// Time after an outage of the platform for which entries that expired during it are kept. Upstreams
/// that are alive are listed again within about two seconds; the rest covers the delay of a read.
const GRACE_PERIOD: Span = Span::from_millis(2_300);

/// Effect of new content of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// None: the content is older than what is known.
    Stale,
    /// Only the upstream's heartbeat.
    Heartbeat,
    /// The data of the upstream changed, or whether it is listed.
    Content,
}

#[derive(Clone, Debug)]
struct Listed {
    /// `None` if the content names no usable upstream.
    entry: Option<Entry>,
    revision: u64,
    /// Whether the entry was removed, but is kept because of an outage of the platform.
    removed: bool,
}

/// The upstreams listed by the platform, by the key of their entry.
///
/// Upstreams whose entry disappears during an outage of the platform stay in use until shortly after
/// the outage, when those that are alive are listed again.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    listed: IndexMap<Name, Listed>,
    revision: u64,
    down: bool,
    down_since: Timestamp,
    /// End of the grace period after an outage, during which removed entries are kept.
    grace_end: Timestamp,
}

impl Registry {
    /// Returns the platform revision up to which all changes are known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry known under a key and the revision of its last change.
    #[must_use]
    pub fn entry(&self, key: &Name) -> Option<(&Entry, u64)> {
        let listed = self.listed.get(key)?;
        listed.entry.as_ref().map(|entry| (entry, listed.revision))
    }

    /// Records that the platform cannot be read.
    pub fn record_platform_failure(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.down, true) {
            self.down_since = now;
        }
    }

    /// Records that another router has read the platform without interruption since `since`.
    ///
    /// If that covers the outage seen by this router, the platform was only unreachable from here
    /// and no entry expired because of it. The grace period then ends at once: an entry that
    /// disappears belongs to an upstream that left.
    pub fn record_peer_read(&mut self, since: Timestamp) {
        if !self.down && since <= self.down_since {
            self.grace_end = Timestamp::ZERO;
        }
    }

    /// Records that the platform was read. If it was unreadable before, the grace period begins.
    pub fn record_platform_read(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.down) {
            self.grace_end = now + GRACE_PERIOD;
        }
    }

    /// Applies the content of one key and returns its effect. `None` means that the key was removed,
    /// `Some(None)` that its content names no usable upstream.
    ///
    /// Changes of an older revision are ignored, as are heartbeats that were delayed and written
    /// after a later one of the same upstream.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_flow::{pool::Entry, registry::Registry};
    /// let entry = Entry {
    ///     id: "i-1".into(), service: "desk".into(), address: "10.0.0.9:80".parse().unwrap(),
    ///     domain: "north".into(), slots: 6, leaving: false, started_at: 0, seq: 0,
    /// };
    /// let mut registry = Registry::default();
    /// registry.set(Timestamp::ZERO, &"i-1".into(), 5, Some(Some(entry)));
    /// registry.set(Timestamp::ZERO, &"i-1".into(), 4, None);
    /// assert_eq!(registry.entries(Timestamp::ZERO).len(), 1);
    /// ```
    pub fn set(
        &mut self,
        now: Timestamp,
        key: &Name,
        revision: u64,
        content: Option<Option<Entry>>,
    ) -> Change {
        let known = self.listed.get_mut(key);
        if known
            .as_ref()
            .is_some_and(|known| revision <= known.revision)
        {
            return Change::Stale;
        }
        let Some(entry) = content else {
            self.remove(now, key, revision);
            return Change::Content;
        };
        let mut change = Change::Content;
        if let (Some(known), Some(entry)) = (known, &entry) {
            let newest = known
                .entry
                .as_ref()
                .map(|entry| (entry.started_at, entry.seq));
            if newest > Some((entry.started_at, entry.seq)) {
                known.revision = revision;
                known.removed = false;
                return Change::Stale;
            }
            let same = known.entry.as_ref().is_some_and(|known| {
                let seq = entry.seq;
                let expected = Entry {
                    seq,
                    ..known.clone()
                };
                expected == *entry
            });
            if same && !known.removed {
                change = Change::Heartbeat;
            }
        }
        let listed = Listed {
            entry,
            revision,
            removed: false,
        };
        self.listed.insert(key.clone(), listed);
        change
    }

    fn remove(&mut self, now: Timestamp, key: &Name, revision: u64) {
        let keep = self.down || now < self.grace_end;
        if let Some(listed) = self.listed.get_mut(key) {
            listed.revision = revision;
            // An upstream that announced its departure does not come back.
            let leaving = listed.entry.as_ref().is_none_or(|entry| entry.leaving);
            listed.removed = true;
            if !keep || leaving {
                self.listed.swap_remove(key);
            }
        }
    }

    /// Applies a complete list of keys read at `revision`: keys that are not in it are removed.
    pub fn apply_list(&mut self, now: Timestamp, revision: u64, keys: &[Name]) {
        let missing = self.listed.iter().filter(|(key, listed)| {
            listed.revision <= revision && !listed.removed && !keys.contains(key)
        });
        let missing: Vec<Name> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.remove(now, &key, revision);
        }
        self.advance(revision);
    }

    /// Records that all changes up to `revision` are known.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the upstreams, and drops expired entries once the grace period is over.
    pub fn entries(&mut self, now: Timestamp) -> Vec<Entry> {
        if !self.down && now >= self.grace_end {
            self.listed.retain(|_, listed| !listed.removed);
        }
        let entries = self
            .listed
            .values()
            .filter_map(|listed| listed.entry.clone());
        entries.collect()
    }
}
