//! What recent changes of the platform's list of upstreams prove about the time before a router
//! started.
//!
//! The changes carry no times. Two sources of time remain:
//!
//! - An upstream numbers its heartbeats. If two changes show the same run, at least the time of the heartbeats in between has
//!   passed between them, and since all changes before. This dates changes, and needs no clock.
//! - An entry that was written with the first heartbeat of its run was written soon after the start of the run, which it
//!   states as a time of day. The clock of an upstream, or that of this router, may be off. Starts therefore count only if
//!   they have the order of the changes, and they date a change only beyond the time by which all clocks may be off alike.
//!   A store that is away keeps the entry back. The number of the heartbeat with which it is created tells for how long, if
//!   the upstream counts those that were not accepted. Where heartbeats are changes, they limit what starts may tell.

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::Span;
use tsw_route::Name;

use crate::{pool::Entry, run};

/// Maximum time from the start of a run until the store accepts its first heartbeat, and difference
/// between the clocks of two machines.
const MAX_DELAY: Span = Span::from_secs(3);
/// Number of upstreams that must confirm a time, if so many are listed. An entry may come from another
/// writer.
const WITNESSES: usize = 3;
/// Usual interval of heartbeats. They are sent more often while none is accepted.
const HEARTBEAT: Span = Span::from_millis(1_200);
/// Maximum number of heartbeats that a store may not have accepted. With a larger number, an entry was listed before, and
/// writes are missing.
const MAX_HELD_BACK: u64 = 50;
/// Heartbeats after which a run is taken to be the one whose entry an earlier, unknown change left:
/// an entry expires after three missed ones.
const ESTABLISHED_SEQ: u64 = 4;
/// Highest number of the first heartbeat of a run.
const FIRST_SEQ: u64 = 1;
/// Minimum time between two heartbeats, which are sent about every 1.2 s.
const MIN_HEARTBEAT: Span = Span::from_millis(1_000);

/// A change of the list.
#[derive(Clone, Debug)]
pub struct Change {
    /// Key of the entry.
    pub key: Name,
    /// Revision of the change.
    pub revision: u64,
    /// Revision at which the key was created; `None` if unknown.
    pub created: Option<u64>,
    /// New content: `None` if the key was removed, `Some(None)` if it names no usable upstream.
    pub content: Option<Option<Entry>>,
}

/// An entry that was listed before the start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Past {
    /// Key of the entry.
    pub key: Name,
    /// The newest content.
    pub entry: Entry,
    /// Lower bound of the time since it was last listed.
    pub age: Span,
}

/// A change of the upstreams that accept requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Lower bound of the time since then.
    pub age: Span,
    /// The entry that accepted requests until then.
    pub ended: Option<Entry>,
    /// The entry that accepts requests since then.
    pub began: Option<Entry>,
    /// Whether an entry of unknown content may have accepted requests until then.
    pub ended_unknown: bool,
}

/// What the changes between two revisions prove.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// Upstreams that were removed, in the order of their removal.
    pub departed: Vec<Past>,
    /// Entries that were replaced by another run, service or software version, or by content that
    /// names no usable upstream.
    pub replaced: Vec<Past>,
    /// The newest content of each other entry.
    pub latest: Vec<Past>,
    /// Entries that announced their departure, with the time since then.
    pub left: Vec<Past>,
    /// The changes of the entries that accept requests, the oldest first.
    pub steps: Vec<Step>,
    /// Entries of unknown content, with the time since they were replaced or removed.
    pub unknown: Vec<Span>,
    /// Whether the changes show no sign that earlier ones were lost.
    pub is_whole: bool,
    /// Lower bound of the time for which all listed entries are known. It relies on the stated starts of runs.
    pub known_for: Span,
}

/// Collects changes in order of their revision.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    /// Revision before the first change.
    after: u64,
    /// Revision from which on all listed entries are known.
    complete_from: u64,
    /// The newest content of each key by run and heartbeat; `None` if it was removed.
    keys: IndexMap<Name, Option<Entry>>,
    /// The first entries of runs.
    starts: Vec<Written>,
    /// The first entries of runs of which a store that was away has not accepted the first heartbeats.
    held_back: Vec<Written>,
    /// Upstreams that have sent a heartbeat which is a change although nothing else has changed.
    renewed: IndexSet<Name>,
    /// Upstreams that are listed or changed.
    upstreams: IndexSet<Name>,
    /// Revisions and numbers of the heartbeats of each run, by name and start. Both rise.
    heartbeats: IndexMap<(Name, u64), Vec<(u64, u64)>>,
    /// Removed entries by the revision of the removal.
    departed: Vec<(u64, Name, Entry)>,
    replaced: Vec<(u64, Name, Entry)>,
    /// Runs that were replaced or removed.
    ended: run::Map<Entry>,
    /// Entries of other runs than the known ones of their keys, which may be delayed heartbeats.
    pending: IndexMap<Name, Entry>,
    left: Vec<(u64, Name, Entry)>,
    /// Revisions of changes that replaced or removed content which the changes do not show.
    unknown: Vec<u64>,
    /// Revisions at which entries began or ended to accept requests.
    steps: Vec<(u64, Turn)>,
}

/// When an entry was written with the first heartbeat of its run that was accepted, in milliseconds since the Unix epoch by
/// the clock of its upstream.
#[derive(Clone, Copy, Debug)]
struct Written {
    revision: u64,
    earliest: u64,
    /// Apart from a delay of the heartbeat.
    latest: u64,
}

/// The entries of a key that accepted requests before and after a change.
#[derive(Clone, Debug)]
enum Turn {
    Known(Option<Entry>, Option<Entry>),
    FromUnknown(Option<Entry>),
}

impl Reader {
    /// Creates a reader of the changes after a revision.
    #[must_use]
    pub fn new(after: u64) -> Self {
        Self {
            after,
            complete_from: after,
            ..Self::default()
        }
    }

    /// Reads the next change.
    pub fn read(&mut self, change: Change) {
        let revision = change.revision;
        let is_created = change.created == Some(revision);
        let is_first = !self.keys.contains_key(&change.key);
        let is_established = match &change.content {
            Some(Some(entry)) => entry.seq >= ESTABLISHED_SEQ,
            Some(None) | None => false,
        };
        // The unknown content before it may have been of another software.
        if is_first && !is_created && !is_established {
            self.unknown.push(revision);
        }
        self.record_start(&change);
        self.record_heartbeat(&change);
        let Change { key, content, .. } = change;
        self.record_step(revision, &key, content.as_ref(), is_created, is_established);
        if let Some(Some(entry)) = &content {
            if self.is_outdated(&key, entry) {
                let known = self.keys.get(&key).and_then(Option::as_ref);
                if known.is_some_and(|known| self.is_doubtful(&key, known, entry)) {
                    self.complete_from = self.complete_from.max(revision);
                    self.pending.insert(key, entry.clone());
                }
                return;
            }
        }
        self.pending.swap_remove(&key);
        let known = self.keys.entry(key.clone()).or_default();
        match content {
            Some(Some(entry)) => {
                let old = known.replace(entry.clone());
                if old.as_ref().is_some_and(|old| old.is_renewed_by(&entry)) {
                    self.renewed.insert(key.clone());
                }
                let was_leaving = old.as_ref().is_some_and(|old| old.leaving);
                if entry.leaving && !was_leaving {
                    self.left.push((revision, key.clone(), entry.clone()));
                }
                let old = old.filter(|old| !old.is_same_run(&entry));
                if let Some(old) = &old {
                    self.ended
                        .insert(&key, old.started_at, old.clone(), |_| true);
                }
                self.replaced.extend(old.map(|old| (revision, key, old)));
            }
            Some(None) => {
                let old = known.take();
                self.replaced.extend(old.map(|old| (revision, key, old)));
            }
            None => {
                let old = known.take();
                if let Some(old) = &old {
                    self.ended
                        .insert(&key, old.started_at, old.clone(), |_| true);
                }
                self.departed.extend(old.map(|old| (revision, key, old)));
            }
        }
    }

    /// Returns whether an entry is an earlier heartbeat than the known one, or is or may be one of a run that another one
    /// has followed.
    fn is_outdated(&self, key: &Name, entry: &Entry) -> bool {
        let Some(Some(known)) = self.keys.get(key) else {
            return false;
        };
        if known.is_same_run(entry) {
            return known.follows(entry);
        }
        let is_renewed = |pending: &Entry| pending.is_same_run(entry) && pending.seq < entry.seq;
        let goes_on = self.pending.get(key).is_some_and(is_renewed);
        !goes_on && (self.has_ended(key, entry) || entry.started_at <= known.started_at)
    }

    fn has_ended(&self, key: &Name, entry: &Entry) -> bool {
        let ended = self.ended.get(key, entry.started_at);
        ended.is_some_and(|ended| ended.is_same_run(entry))
    }

    /// Returns whether the store's order of two runs and that of their starts disagree.
    fn is_doubtful(&self, key: &Name, known: &Entry, entry: &Entry) -> bool {
        let is_earlier = entry.started_at < known.started_at;
        !(known.is_same_run(entry) || is_earlier && self.has_ended(key, entry))
    }

    /// Records whether a change begins or ends a run that accepts requests.
    fn record_step(
        &mut self,
        revision: u64,
        key: &Name,
        content: Option<&Option<Entry>>,
        is_created: bool,
        is_established: bool,
    ) {
        let accepting = |entry: &Entry| (!entry.leaving).then(|| entry.clone());
        let new = content.and_then(Option::as_ref);
        let began = new.and_then(accepting);
        let turn = match self.keys.get(key) {
            Some(_) if new.is_some_and(|entry| self.is_outdated(key, entry)) => return,
            Some(known) => Turn::Known(known.as_ref().and_then(accepting), began),
            None if is_created => Turn::Known(None, began),
            None if is_established => {
                // An entry that announces its departure accepted requests before.
                let before = new.map(|entry| Entry {
                    leaving: false,
                    ..entry.clone()
                });
                Turn::Known(before, began)
            }
            None => Turn::FromUnknown(began),
        };
        let is_same = matches!(&turn, Turn::Known(before, after) if match (before, after) {
            (Some(before), Some(after)) => before.is_same_run(after),
            (None, None) => true,
            _ => false,
        });
        if !is_same {
            self.steps.push((revision, turn));
        }
    }

    /// Records the start of a run whose entry still is that of the first heartbeat that was accepted. Entries of the list
    /// that have not changed since may be older than the changes.
    pub fn record_start(&mut self, change: &Change) {
        self.upstreams.insert(change.key.clone());
        let Some(Some(entry)) = &change.content else {
            return;
        };
        let latest = self.starts.iter().map(|written| written.earliest).max();
        // The entry of another writer may state any time.
        let is_in_order = latest
            .is_some_and(|latest| entry.started_at.saturating_add(MAX_DELAY.as_millis()) >= latest);
        let is_created = change.created == Some(change.revision);
        let intervals = entry.seq.saturating_sub(FIRST_SEQ);
        let held_back = intervals.saturating_mul(HEARTBEAT.as_millis());
        let written = Written {
            revision: change.revision,
            earliest: entry.started_at,
            latest: entry.started_at.saturating_add(held_back),
        };
        match entry.seq {
            _ if entry.started_at == 0 => {}
            FIRST_SEQ if is_created || is_in_order => self.starts.push(written),
            // An entry that was removed before may have been missing for any time.
            seq if seq > FIRST_SEQ && is_created && !self.keys.contains_key(&change.key) => {
                if intervals <= MAX_HELD_BACK {
                    self.held_back.push(written);
                } else {
                    self.complete_from = self.complete_from.max(change.revision);
                }
            }
            _ => {}
        }
    }

    /// Dates the entries that were held back. If the starts of other runs show that one was held back for longer than its
    /// number tells, the store may have lost writes before it.
    fn settle_held_back(&mut self) {
        for written in std::mem::take(&mut self.held_back) {
            let written_by = written.latest.saturating_add(MAX_DELAY.as_millis());
            let is_before = |start: &Written| start.revision < written.revision;
            let mut before = self.starts.iter().filter(|start| is_before(start));
            if before.any(|start| start.earliest > written_by) {
                self.complete_from = self.complete_from.max(written.revision);
            } else {
                self.starts.push(written);
            }
        }
    }

    /// Records the number of a heartbeat, unless it was delayed or is of a later run that states the same start.
    fn record_heartbeat(&mut self, change: &Change) {
        if let Some(Some(entry)) = &change.content {
            let run = (change.key.clone(), entry.started_at);
            let heartbeats = self.heartbeats.entry(run).or_default();
            if heartbeats.last().is_none_or(|(_, seq)| *seq < entry.seq) {
                heartbeats.push((change.revision, entry.seq));
            }
        }
    }

    /// Returns what the changes up to `up_to` prove at the time `now_ms`, in milliseconds since the Unix
    /// epoch.
    ///
    /// ```
    /// use tsw_flow::{history::{Change, Reader}, pool::Entry};
    /// let entry = |started_at| Entry {
    ///     id: "i-1".into(), service: "desk".into(), address: "10.0.0.9:80".parse().unwrap(),
    ///     domain: "north".into(), slots: 6, leaving: false, started_at, seq: 1, version: None,
    /// };
    /// let mut reader = Reader::new(20);
    /// let created = Change {
    ///     key: "i-1".into(), revision: 21, created: Some(21), content: Some(Some(entry(50_000))),
    /// };
    /// reader.read(created);
    /// reader.read(Change { key: "i-1".into(), revision: 22, created: None, content: None });
    /// let history = reader.finish(22, 60_000);
    /// assert_eq!(history.departed[0].entry, entry(50_000));
    /// assert_eq!(history.known_for.as_millis(), 7_000);
    /// ```
    #[must_use]
    pub fn finish(mut self, up_to: u64, now_ms: u64) -> History {
        self.settle_held_back();
        if self.starts_disagree(now_ms) {
            self.starts.clear();
        }
        let past = |(revision, key, entry)| Past {
            age: self.age(revision, now_ms),
            key,
            entry,
        };
        let departed = self.departed.iter().cloned().map(past).collect();
        let replaced = self.replaced.iter().cloned().map(past).collect();
        let latest = self.keys.iter().filter_map(|(key, known)| {
            let entry = known.clone()?;
            Some((up_to, key.clone(), entry))
        });
        History {
            departed,
            replaced,
            latest: latest.map(past).collect(),
            left: self.left.iter().cloned().map(past).collect(),
            unknown: self
                .unknown
                .iter()
                .map(|revision| self.age(*revision, now_ms))
                .collect(),
            steps: self
                .steps
                .iter()
                .map(|step| self.step(step, now_ms))
                .collect(),
            is_whole: self.complete_from == self.after,
            known_for: self.covered(now_ms),
        }
    }

    fn step(&self, (revision, turn): &(u64, Turn), now_ms: u64) -> Step {
        let (ended, began, ended_unknown) = match turn.clone() {
            Turn::Known(ended, began) => (ended, began, false),
            Turn::FromUnknown(began) => (None, began, true),
        };
        Step {
            age: self.age(*revision, now_ms),
            ended,
            began,
            ended_unknown,
        }
    }

    /// Returns a lower bound of the time since a revision.
    fn age(&self, revision: u64, now_ms: u64) -> Span {
        let by_starts = self.ages_by_starts(revision, now_ms);
        // Only the clocks of fewer upstreams tell the time of the last changes.
        let needed = WITNESSES.min(by_starts.len());
        let by_starts = self.limited(revision, confirmed(needed, by_starts));
        self.age_by_heartbeats(revision).max(by_starts)
    }

    /// Returns a lower bound of the time that the changes cover. Unless some were discarded as well, clocks that are off do
    /// no harm.
    fn covered(&self, now_ms: u64) -> Span {
        let by_starts = self.ages_by_starts(self.complete_from, now_ms);
        let by_starts = confirmed(self.needed(), by_starts);
        let by_starts = self.limited(self.complete_from, by_starts);
        self.age_by_heartbeats(self.complete_from).max(by_starts)
    }

    /// Returns the age of a revision, or the time that the heartbeats since then take if that is shorter, provided that
    /// heartbeats are changes.
    fn limited(&self, revision: u64, age: Span) -> Span {
        if self.renewed.len() < self.needed() {
            return age;
        }
        let elapsed = self.heartbeats_since(revision);
        let elapsed = elapsed.map(|intervals| intervals.saturating_mul(HEARTBEAT.as_millis()));
        age.min(Span::from_millis(nth_highest(
            self.needed(),
            elapsed.collect(),
        )))
    }

    /// Returns a lower bound of the time since a revision, from the heartbeats of the runs that were written since.
    fn age_by_heartbeats(&self, revision: u64) -> Span {
        let elapsed = self.heartbeats_since(revision).map(|intervals| {
            // The last heartbeat may have been sent early, as one that announces a departure is.
            let intervals = intervals.saturating_sub(1);
            intervals.saturating_mul(MIN_HEARTBEAT.as_millis())
        });
        confirmed(self.needed(), elapsed.collect())
    }

    /// Returns the number of intervals between the first and the last heartbeat since a revision, for each run that sent one.
    fn heartbeats_since(&self, revision: u64) -> impl Iterator<Item = u64> + '_ {
        self.heartbeats.values().filter_map(move |heartbeats| {
            let (_, last_seq) = heartbeats.last()?;
            let (_, first_seq) = heartbeats.iter().find(|(at, _)| *at >= revision)?;
            Some(last_seq - first_seq)
        })
    }

    /// Returns lower bounds of the time since a revision in milliseconds, from the starts of the runs that were written
    /// since. They are too high by as much as the clocks of the upstreams are behind the time `now_ms` of the router.
    fn ages_by_starts(&self, revision: u64, now_ms: u64) -> Vec<u64> {
        let later = self.starts.iter();
        let later = later.filter(|written| written.revision >= revision);
        let ages = later.map(|written| now_ms.saturating_sub(written.latest));
        ages.collect()
    }

    /// Returns whether starts of runs are later than the present, or have another order than their first heartbeats, by
    /// more than the delay of these.
    fn starts_disagree(&self, now_ms: u64) -> bool {
        let mut starts = self.starts.clone();
        starts.sort_unstable_by_key(|written| written.revision);
        let mut latest = 0;
        let is_out_of_order = starts.iter().any(|written| {
            latest = latest.max(written.earliest);
            written.latest.saturating_add(MAX_DELAY.as_millis()) < latest
        });
        is_out_of_order || latest > now_ms.saturating_add(MAX_DELAY.as_millis())
    }

    /// Returns the number of upstreams that must confirm a time.
    fn needed(&self) -> usize {
        WITNESSES.min(self.upstreams.len())
    }
}

/// Returns the time that so many of some times in milliseconds confirm, without the delay of a heartbeat.
fn confirmed(needed: usize, times: Vec<u64>) -> Span {
    let time = nth_highest(needed, times);
    Span::from_millis(time.saturating_sub(MAX_DELAY.as_millis()))
}

/// Returns the highest time that so many of some times reach; zero if there are fewer.
fn nth_highest(needed: usize, mut times: Vec<u64>) -> u64 {
    times.sort_unstable_by(|a, b| b.cmp(a));
    let time = needed.checked_sub(1).and_then(|index| times.get(index));
    time.copied().unwrap_or_default()
}
