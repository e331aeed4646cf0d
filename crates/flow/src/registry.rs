//! The upstreams listed by the platform, kept through its outages.

mod position;

pub use position::{EraChange, Position};

use std::cmp::Ordering;

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

use crate::{history::History, pool::Entry, run};

/// Time after an outage of the platform for which entries that expired during it are kept. Upstreams
/// that are alive are listed again within about two seconds; the rest covers the delay of a read.
const GRACE_PERIOD: Span = Span::from_millis(2_300);

/// Time after a restore of the store for which it may list an upstream that left before: an entry
/// expires after three missed heartbeats, which are sent about every 1.2 s.
const EXPIRY_PERIOD: Span = Span::from_millis(5_000);

/// Effect of new content of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// None: the content is older than what is known.
    Stale,
    /// Only the upstream's heartbeat.
    Heartbeat,
    /// The data of the upstream changed, or whether it is listed.
    Content,
    /// Listed beside the entry that is known, of which it is unknown whether it follows.
    Pending,
    /// Listed, but not used: the upstream left before the store was restored from a copy, or before a delayed heartbeat
    /// listed it again.
    Withheld,
}

#[derive(Clone, Debug)]
struct Listed {
    /// `None` if the content names no usable upstream.
    entry: Option<Entry>,
    position: Position,
    /// Whether the entry was removed, but is kept because of an outage of the platform.
    removed: bool,
    /// Whether the upstream left and is not known to be alive since, although a restored store or a delayed heartbeat
    /// lists it. It is not used until the entry must have expired.
    withheld: bool,
    /// An entry of another run that was written last. It may be a delayed heartbeat.
    pending: Option<Pending>,
}

/// An entry of which it is not known whether its run follows the listed one.
#[derive(Clone, Debug)]
struct Pending {
    entry: Entry,
    /// Time from which the entry is known to be the last one.
    since: Timestamp,
    /// Whether its run was listed before.
    is_past: bool,
}

/// What an entry says of the order of runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    /// It follows what is listed.
    Later,
    /// It is older than what is listed.
    Older,
    /// The store's order and other evidence disagree.
    Unknown,
}

impl Listed {
    /// Returns whether `entry`, of the same run as this one, `known`, is older although it was read at `position`.
    fn has_later_heartbeat(&self, known: &Entry, entry: &Entry, position: Position) -> bool {
        // A copy of the store may hold an entry from before the upstream announced its departure. A
        // peer passes on what it knew before a restore as revision 0.
        let restored = position.era != self.position.era || self.position.revision == 0;
        match known.seq.cmp(&entry.seq) {
            Ordering::Greater => restored || known.follows(entry),
            Ordering::Equal => restored && known.leaving && !entry.leaving,
            Ordering::Less => false,
        }
    }
}

/// A run that is no longer listed.
#[derive(Clone, Debug)]
struct Past {
    /// Its last known entry.
    entry: Entry,
    /// Era in which another run was listed in its place, or its entry was removed.
    era: Option<u64>,
}

impl Past {
    /// Returns whether an entry of this run is not later than the last known one. A run that goes on sends further
    /// heartbeats.
    fn precludes(&self, entry: &Entry) -> bool {
        match entry.seq.cmp(&self.entry.seq) {
            Ordering::Less => self.entry.follows(entry),
            Ordering::Equal => self.entry == *entry || self.entry.leaving && !entry.leaving,
            Ordering::Greater => false,
        }
    }
}

/// The upstreams listed by the platform, by the key of their entry.
///
/// Upstreams whose entry disappears during an outage of the platform stay in use until shortly after
/// the outage, when those that are alive are listed again.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    listed: IndexMap<Name, Listed>,
    /// Runs that are not listed any more.
    past: run::Map<Past>,
    position: Position,
    down: bool,
    down_since: Timestamp,
    /// End of the grace period after an outage, during which removed entries are kept.
    grace_end: Timestamp,
    /// End of the grace period after a restore of the store, whose copy lacks recent upstreams.
    restore_grace_end: Timestamp,
    /// Time from which entries of upstreams that left have expired, which the store lists again.
    expiry_end: Timestamp,
    /// Start of the time in which this router could not read the platform, even if others could.
    unread_since: Option<Timestamp>,
}

impl Registry {
    /// Returns the point in the store's history up to which all changes are known.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Returns the entry known under a key and the position of its last change.
    #[must_use]
    pub fn entry(&self, key: &Name) -> Option<(&Entry, Position)> {
        let listed = self.listed.get(key)?;
        listed.entry.as_ref().map(|entry| (entry, listed.position))
    }

    /// Returns whether an entry that was there at a revision of the present era was removed since: it is not listed, though
    /// all changes up to a later revision are known.
    #[must_use]
    pub fn has_removed(&self, key: &Name, revision: u64) -> bool {
        revision <= self.position.revision && !self.listed.contains_key(key)
    }

    /// Returns whether the run of an entry is listed and accepts new requests. One that is only kept after an outage is not listed.
    #[must_use]
    pub fn is_accepting(&self, entry: &Entry) -> bool {
        let listed = self.listed.get(&entry.id).filter(|listed| !listed.removed);
        let listed = listed.and_then(|listed| listed.entry.as_ref());
        listed.is_some_and(|listed| listed.is_same_run(entry) && !listed.leaving)
    }

    /// Enters the era of content that is about to be applied. Revisions passed to the other methods
    /// are of this era.
    ///
    /// The copy from which the store was restored lacks upstreams that are alive, until they are
    /// listed again. A restore therefore starts a grace period even if no outage was noticed.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_flow::registry::{EraChange, Registry};
    /// let mut registry = Registry::default();
    /// assert_eq!(registry.enter_era(Timestamp::ZERO, Some(1)), EraChange::First);
    /// assert_eq!(registry.enter_era(Timestamp::ZERO, Some(2)), EraChange::Restored);
    /// assert_eq!(registry.enter_era(Timestamp::ZERO, Some(1)), EraChange::Older);
    /// ```
    pub fn enter_era(&mut self, now: Timestamp, era: Option<u64>) -> EraChange {
        let before = self.position.era;
        if era == before {
            return EraChange::Same;
        }
        if era < before {
            return EraChange::Older;
        }
        self.position = Position { era, revision: 0 };
        if before.is_none() {
            return EraChange::First;
        }
        self.restore_grace_end = now + GRACE_PERIOD;
        self.expiry_end = now + EXPIRY_PERIOD;
        EraChange::Restored
    }

    /// Records that this router cannot read the platform, although others may.
    pub fn record_read_failure(&mut self, now: Timestamp) {
        self.unread_since.get_or_insert(now);
    }

    /// Records that the platform cannot be read.
    pub fn record_platform_failure(&mut self, now: Timestamp) {
        self.record_read_failure(now);
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
        let unread_since = self.unread_since.take();
        if unread_since.is_some() {
            let pending = self.listed.values_mut();
            let pending = pending.filter_map(|listed| listed.pending.as_mut());
            pending.for_each(|pending| pending.since = now);
        }
        // The store may not have removed expired entries meanwhile.
        if unread_since.is_some_and(|since| since < self.expiry_end) {
            self.expiry_end = now + EXPIRY_PERIOD;
        }
    }

    /// Applies the content of one key and returns its effect. `None` means that the key was removed,
    /// `Some(None)` that its content names no usable upstream.
    ///
    /// Changes of an older revision are ignored, as are heartbeats that were delayed and written
    /// after a later one of the same upstream, or that come from a copy of the store. Where it is
    /// unknown which of two runs follows the other, both entries are kept until one of them is renewed.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_flow::{pool::Entry, registry::Registry};
    /// let entry = Entry {
    ///     id: "i-1".into(), service: "desk".into(), address: "10.0.0.9:80".parse().unwrap(),
    ///     domain: "north".into(), slots: 6, leaving: false, started_at: 0, seq: 0, version: None,
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
        let position = Position {
            revision,
            ..self.position
        };
        let offered = content.as_ref().and_then(Option::as_ref);
        let is_late = offered.is_some_and(|entry| self.is_late(key, entry));
        if is_late {
            self.expiry_end = self.expiry_end.max(now + EXPIRY_PERIOD);
        }
        let withheld = is_late || offered.is_some_and(|entry| self.is_withheld(now, key, entry));
        let order = offered.map(|entry| self.order(key, entry, position));
        let is_past = offered.is_some_and(|entry| self.past_run(key, entry).is_some());
        let known = self.listed.get_mut(key);
        if known
            .as_ref()
            .is_some_and(|known| position <= known.position)
        {
            return Change::Stale;
        }
        let Some(entry) = content else {
            self.remove(now, key, position);
            return Change::Content;
        };
        let mut change = Change::Content;
        if let (Some(known), Some(entry)) = (known, &entry) {
            if order == Some(Order::Unknown) {
                known.position = position;
                known.removed = false;
                known.pending = Some(Pending {
                    entry: entry.clone(),
                    since: now,
                    is_past,
                });
                return Change::Pending;
            }
            if order == Some(Order::Older) {
                known.position = position;
                let was_removed = std::mem::take(&mut known.removed);
                // A removal was already passed on to peers.
                return if was_removed {
                    Change::Content
                } else {
                    Change::Stale
                };
            }
            let same = known.entry.as_ref().is_some_and(|known| {
                let seq = entry.seq;
                let expected = Entry {
                    seq,
                    ..known.clone()
                };
                expected == *entry
            });
            if same && !known.removed && !known.withheld && known.pending.is_none() {
                change = Change::Heartbeat;
            }
        }
        if withheld {
            change = Change::Withheld;
        } else if let Some(entry) = &entry {
            self.past.remove(key, entry.started_at);
        }
        let listed = Listed {
            entry,
            position,
            removed: false,
            withheld,
            pending: None,
        };
        if let Some(replaced) = self.listed.insert(key.clone(), listed) {
            self.record_replaced(key, replaced);
        }
        change
    }

    /// Records which runs are no longer listed after an entry was replaced.
    fn record_replaced(&mut self, key: &Name, replaced: Listed) {
        let Listed {
            entry,
            position,
            pending,
            ..
        } = replaced;
        let entries = entry
            .into_iter()
            .chain(pending.map(|pending| pending.entry));
        for entry in entries {
            let listed = self.listed.get(key);
            let listed = listed.and_then(|listed| listed.entry.as_ref());
            if !listed.is_some_and(|listed| listed.is_same_run(&entry)) {
                self.record_past(key, entry, position.era);
            }
        }
    }

    /// Returns the order of an entry read at a position and what is listed under its key.
    ///
    /// The store's order is that of the writes, which may be delayed. That of the starts holds unless a clock was set
    /// back. A run that another one has followed goes on only if it sends further heartbeats, of which this router may
    /// have missed some.
    fn order(&self, key: &Name, entry: &Entry, position: Position) -> Order {
        let Some(listed) = self.listed.get(key) else {
            return Order::Later;
        };
        let Some(known) = &listed.entry else {
            return Order::Later;
        };
        if known.is_same_run(entry) {
            let is_older = listed.has_later_heartbeat(known, entry, position);
            return if is_older { Order::Older } else { Order::Later };
        }
        let pending = listed.pending.as_ref().map(|pending| &pending.entry);
        if let Some(pending) = pending.filter(|pending| pending.is_same_run(entry)) {
            return match pending.seq.cmp(&entry.seq) {
                Ordering::Less => Order::Later,
                Ordering::Equal => Order::Unknown,
                Ordering::Greater => Order::Older,
            };
        }
        match self.past_run(key, entry) {
            Some(past) if past.precludes(entry) => Order::Older,
            Some(_) => Order::Unknown,
            None => match entry.started_at.cmp(&known.started_at) {
                Ordering::Greater => Order::Later,
                Ordering::Equal if entry.seq > known.seq => Order::Later,
                Ordering::Equal | Ordering::Less => Order::Unknown,
            },
        }
    }

    /// Returns whether an entry that is not listed may be a delayed heartbeat, written after its removal in this era.
    fn is_late(&self, key: &Name, entry: &Entry) -> bool {
        let past = self.past_run(key, entry);
        let past = past.filter(|past| past.era == self.position.era);
        !self.listed.contains_key(key) && past.is_some_and(|past| past.precludes(entry))
    }

    /// Returns the run of an entry if it is known and no longer listed.
    fn past_run(&self, key: &Name, entry: &Entry) -> Option<&Past> {
        let past = self.past.get(key, entry.started_at);
        past.filter(|past| past.entry.is_same_run(entry))
    }

    /// Returns whether an entry is of a run that ended before the latest restore, and no heartbeat
    /// has shown since that the upstream is alive.
    fn is_withheld(&self, now: Timestamp, key: &Name, entry: &Entry) -> bool {
        let era = self.position.era;
        let past = self.past_run(key, entry).filter(|_| !self.is_expired(now));
        let left = past.is_some_and(|past| past.era != era);
        let known = self.listed.get(key);
        let beats = known.is_some_and(|known| {
            let seq = known.entry.as_ref().map(|entry| entry.seq);
            !known.withheld || known.position.era == era && seq < Some(entry.seq)
        });
        left && !beats
    }

    /// Records that the run of an entry is not listed any more in an era.
    fn record_past(&mut self, key: &Name, mut entry: Entry, era: Option<u64>) {
        // The entry may be a delayed heartbeat.
        if let Some(past) = self.past_run(key, &entry) {
            if past.entry.seq > entry.seq {
                entry = past.entry.clone();
            }
        }
        let started_at = entry.started_at;
        // Restarts of listed upstreams are forgotten before departures.
        let is_kept = |name: &Name| !self.listed.contains_key(name);
        self.past
            .insert(key, started_at, Past { entry, era }, is_kept);
    }

    /// Records what the store's history of the present era tells of the time before the start:
    /// upstreams that left, and content that a delayed heartbeat has replaced in the list.
    pub fn record_history(&mut self, now: Timestamp, era: Option<u64>, history: &History) {
        if era != self.position.era {
            return;
        }
        for past in history.departed.iter().chain(&history.replaced) {
            let listed = self.listed.get(&past.key);
            let listed = listed.and_then(|listed| listed.entry.as_ref());
            let is_listed = listed.is_some_and(|listed| listed.is_same_run(&past.entry));
            let key = &past.key;
            // What this process has seen is later.
            if !is_listed && self.past_run(key, &past.entry).is_none() {
                self.record_past(key, past.entry.clone(), era);
            }
        }
        for past in &history.latest {
            let listed = self.listed.get_mut(&past.key);
            let listed = listed.filter(|listed| listed.position.era == era && !listed.removed);
            let Some(listed) = listed else { continue };
            let Some(known) = &mut listed.entry else {
                continue;
            };
            if known.is_same_run(&past.entry) {
                if known.seq < past.entry.seq {
                    *known = past.entry.clone();
                }
            } else if past.entry.started_at > known.started_at {
                // The content that the list shows may be a delayed heartbeat.
                let entry = std::mem::replace(known, past.entry.clone());
                listed.pending = Some(Pending {
                    entry,
                    since: now,
                    is_past: false,
                });
            }
        }
    }

    /// Returns whether the store has had the time to remove entries that its copy listed.
    fn is_expired(&self, now: Timestamp) -> bool {
        let known_until = self.unread_since.unwrap_or(now);
        known_until >= self.expiry_end
    }

    fn is_in_grace(&self, now: Timestamp) -> bool {
        self.down || now < self.grace_end.max(self.restore_grace_end)
    }

    fn remove(&mut self, now: Timestamp, key: &Name, position: Position) {
        let keep = self.is_in_grace(now);
        if let Some(listed) = self.listed.get_mut(key) {
            listed.position = position;
            // An upstream that announced its departure does not come back.
            let leaving = listed.entry.as_ref().is_none_or(|entry| entry.leaving);
            listed.removed = true;
            if !keep || leaving || listed.withheld {
                if let Some(listed) = self.listed.swap_remove(key) {
                    self.record_replaced(key, listed);
                }
            }
        }
    }

    /// Applies a complete list of keys read at `revision`: keys that are not in it are removed.
    pub fn apply_list(&mut self, now: Timestamp, revision: u64, keys: &[Name]) {
        let position = Position {
            revision,
            ..self.position
        };
        let keys: IndexSet<&Name> = keys.iter().collect();
        let missing = self.listed.iter().filter(|(key, listed)| {
            listed.position <= position && !listed.removed && !keys.contains(key)
        });
        let missing: Vec<Name> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.remove(now, &key, position);
        }
        self.advance(revision);
    }

    /// Records that all changes up to `revision` are known.
    pub fn advance(&mut self, revision: u64) {
        self.position.revision = self.position.revision.max(revision);
    }

    /// Returns the upstreams, and drops expired entries once the grace period is over.
    pub fn entries(&mut self, now: Timestamp) -> Vec<Entry> {
        if !self.is_in_grace(now) {
            let removed = self.listed.iter().filter(|(_, listed)| listed.removed);
            let removed: Vec<Name> = removed.map(|(key, _)| key.clone()).collect();
            for key in removed {
                if let Some(listed) = self.listed.swap_remove(&key) {
                    self.record_replaced(&key, listed);
                }
            }
        }
        if self.is_expired(now) {
            for (key, listed) in &mut self.listed {
                if std::mem::take(&mut listed.withheld) {
                    if let Some(entry) = &listed.entry {
                        self.past.remove(key, entry.started_at);
                    }
                }
            }
        }
        self.settle_pending(now);
        let used = self.listed.values().filter(|listed| !listed.withheld);
        let entries = used.filter_map(|listed| {
            let mut entry = listed.entry.clone()?;
            let pending = listed.pending.as_ref();
            let announces = |pending: &Pending| pending.is_past && pending.entry.leaving;
            entry.leaving |= pending.is_some_and(announces);
            Some(entry)
        });
        entries.collect()
    }

    /// Returns which of the upstreams, by name, the store does not list. They stay in use for the grace period after an outage.
    #[must_use]
    pub fn kept(&self) -> IndexSet<Name> {
        let kept = self.listed.values().filter(|listed| listed.removed);
        let entries = kept.filter_map(|listed| listed.entry.as_ref());
        entries.map(|entry| entry.id.clone()).collect()
    }

    /// Returns the listed runs that may have ended, since an entry of another run was written later.
    pub fn doubtful_runs(&self) -> impl Iterator<Item = (&Name, u64)> + Clone {
        let listed = self.listed.values();
        let doubtful = listed.filter(|listed| listed.pending.is_some());
        let entries = doubtful.filter_map(|listed| listed.entry.as_ref());
        entries.map(|entry| (&entry.id, entry.started_at))
    }

    /// Lists the runs that were written last if the ones before have sent no heartbeat for as long as an entry takes to
    /// expire.
    fn settle_pending(&mut self, now: Timestamp) {
        if self.unread_since.is_some() {
            return;
        }
        let is_settled = |listed: &Listed| {
            let pending = listed.pending.as_ref();
            pending.is_some_and(|pending| now.since(pending.since) >= EXPIRY_PERIOD)
        };
        let settled = self.listed.iter().filter(|(_, listed)| is_settled(listed));
        let settled: Vec<Name> = settled.map(|(key, _)| key.clone()).collect();
        for key in settled {
            let Some(listed) = self.listed.get_mut(&key) else {
                continue;
            };
            let Some(pending) = listed.pending.take() else {
                continue;
            };
            let era = listed.position.era;
            self.past.remove(&key, pending.entry.started_at);
            if let Some(ended) = listed.entry.replace(pending.entry) {
                self.record_past(&key, ended, era);
            }
        }
    }
}
