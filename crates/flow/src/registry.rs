//! Which upstreams the platform lists, also after it was away.

use indexmap::IndexMap;
use tsw_base::time::{Span, Tick};
use tsw_route::Name;

use crate::pool::Entry;

/// Time after the return of the platform in which entries that lapsed meanwhile come back. They
/// are back within about two seconds; the rest covers the delay of a read.
const RETURN: Span = Span::from_millis(2_300);

/// What a key's new content changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing: it is older than what is known.
    Stale,
    /// Only the upstream's heartbeat.
    Heartbeat,
    /// What is known of the upstream, or whether it is listed.
    Content,
}

#[derive(Clone, Debug)]
struct Listed {
    entry: Option<Entry>,
    revision: u64,
    lapsed: bool,
}

/// The upstreams that the platform lists, by the key of their entry.
///
/// Upstreams whose entry disappeared while the platform was away stay in use until shortly after
/// its return, when those that are alive are listed again.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    listed: IndexMap<Name, Listed>,
    revision: u64,
    away: bool,
    away_since: Tick,
    settled: Tick,
}

impl Registry {
    /// Returns the revision of the platform up to which all changes are known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that the platform cannot be read.
    pub fn lost(&mut self, now: Tick) {
        if !std::mem::replace(&mut self.away, true) {
            self.away_since = now;
        }
    }

    /// Notes that another router has read the platform without a break since `since`. If the
    /// platform was not away but only out of this router's reach, no entry lapsed for that: one
    /// that disappears belongs to an upstream that left.
    pub fn was_read(&mut self, since: Tick) {
        if !self.away && since <= self.away_since {
            self.settled = Tick::ZERO;
        }
    }

    /// Notes that the platform was read.
    pub fn regained(&mut self, now: Tick) {
        if std::mem::take(&mut self.away) {
            self.settled = now + RETURN;
        }
    }

    /// Takes the content of one key: `None` if it was removed, and an entry without content if it
    /// names no upstream to use. Returns what that changes.
    ///
    /// Changes of an older revision do not count, nor do heartbeats that were delayed on their way
    /// and written after a later one of the same upstream.
    ///
    /// ```
    /// use tsw_base::time::Tick;
    /// use tsw_flow::{pool::Entry, registry::Registry};
    /// let entry = Entry {
    ///     id: "i-1".into(), service: "desk".into(), address: "10.0.0.9:80".parse().unwrap(),
    ///     domain: "north".into(), slots: 6, leaving: false, born: 0, seq: 0,
    /// };
    /// let mut registry = Registry::default();
    /// registry.set(Tick::ZERO, &"i-1".into(), 5, Some(Some(entry)));
    /// registry.set(Tick::ZERO, &"i-1".into(), 4, None);
    /// assert_eq!(registry.entries(Tick::ZERO).len(), 1);
    /// ```
    pub fn set(
        &mut self,
        now: Tick,
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
            let newest = known.entry.as_ref().map(|entry| (entry.born, entry.seq));
            if newest > Some((entry.born, entry.seq)) {
                known.revision = revision;
                known.lapsed = false;
                return Change::Stale;
            }
            let same = known.entry.as_ref().is_some_and(|known| {
                let seq = entry.seq;
                let beaten = Entry {
                    seq,
                    ..known.clone()
                };
                beaten == *entry
            });
            if same && !known.lapsed {
                change = Change::Heartbeat;
            }
        }
        let listed = Listed {
            entry,
            revision,
            lapsed: false,
        };
        self.listed.insert(key.clone(), listed);
        change
    }

    fn remove(&mut self, now: Tick, key: &Name, revision: u64) {
        let keep = self.away || now < self.settled;
        if let Some(listed) = self.listed.get_mut(key) {
            listed.revision = revision;
            // An upstream that said that it leaves is gone.
            let leaving = listed.entry.as_ref().is_none_or(|entry| entry.leaving);
            listed.lapsed = true;
            if !keep || leaving {
                self.listed.swap_remove(key);
            }
        }
    }

    /// Takes the keys of a complete list that was read at `revision`; other keys are removed.
    pub fn complete(&mut self, now: Tick, revision: u64, keys: &[Name]) {
        let missing = self.listed.iter().filter(|(key, listed)| {
            listed.revision <= revision && !listed.lapsed && !keys.contains(key)
        });
        let missing: Vec<Name> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.remove(now, &key, revision);
        }
        self.advance(revision);
    }

    /// Notes that all changes up to `revision` are known.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the upstreams, without those that have not come back in time.
    pub fn entries(&mut self, now: Tick) -> Vec<Entry> {
        if !self.away && now >= self.settled {
            self.listed.retain(|_, listed| !listed.lapsed);
        }
        let entries = self
            .listed
            .values()
            .filter_map(|listed| listed.entry.clone());
        entries.collect()
    }
}
