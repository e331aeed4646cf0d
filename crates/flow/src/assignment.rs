//! Assigns the streams of a service to one of the software versions that serve it.
//!
//! The assignment is a function of the identifier of a stream and of the listed upstreams that accept new
//! streams. A router that remembers no streams, as after a restart, can therefore derive where one began: it goes back
//! through the changes of the list to the time at which the stream may have begun, and the version is derived if
//! each list in between assigns the stream to it.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::{Span, Timestamp};
use tsw_member::rendezvous;
use tsw_route::Name;

use crate::{
    origin::{Key, Software},
    pool::Entry,
};

/// Time within which all routers that begin streams know of a change. See [`expiry`](crate::expiry).
pub const LAG: Span = Span::from_millis(1_500);
/// Minimum number of upstreams of a software that streams are assigned to. With fewer, a stream would
/// have no second choice.
const MIN_UPSTREAMS: u32 = 2;
/// Maximum number of changes that are remembered. Nothing is derived from before the oldest one.
const MAX_CHANGES: usize = 4_096;
/// Time for which changes are remembered.
const MAX_AGE: Span = Span::from_secs(60);

/// A run of an upstream that accepts new streams.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Run {
    upstream: Name,
    started_at: u64,
    software: Software,
}

impl Run {
    fn of(entry: &Entry) -> Self {
        Self {
            upstream: entry.id.clone(),
            started_at: entry.started_at,
            software: Software::of(entry),
        }
    }
}

/// A change of the upstreams that accept new streams.
#[derive(Clone, Debug)]
struct Change {
    /// Latest time at which it can have happened.
    at: Timestamp,
    ended: Option<Run>,
    began: Option<Run>,
    /// What it ended beside a known run.
    unknown: Unknown,
    /// Whether all routers have seen it after the changes before it. Those of one list may have any order.
    is_ordered: bool,
}

/// A run of unknown software that a change ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unknown {
    /// There was none.
    No,
    /// It left. It is presumed to be of the same software as another one.
    Left,
    /// Another run of the same upstream took its place, often with other software.
    Replaced,
}

/// How many upstreams of each software accept new streams.
type Counts<'a> = IndexMap<&'a Software, u32>;

/// The upstreams of a service that accept new streams, and how they changed recently.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// use tsw_flow::{assignment::Assignment, origin::{Key, Software}, pool::Entry};
/// let entry = |id: &str, version: &str| Entry {
///     id: id.into(), service: "engines".into(), address: "10.0.0.9:80".parse().unwrap(),
///     domain: "north".into(), slots: 6, leaving: false, started_at: 0, seq: 0,
///     version: Some(version.into()),
/// };
/// let at = |seconds| Timestamp::ZERO + Span::from_secs(seconds);
/// let entries = [entry("e1", "v1"), entry("e2", "v1"), entry("e3", "v2"), entry("e4", "v2")];
/// let mut assignment = Assignment::default();
/// assignment.record(at(1), &entries);
/// assignment.record_complete(at(10));
/// let key = Key::new("counter", "a1");
/// let assigned = assignment.assigned(key);
/// assert!(assigned.is_some());
/// assert_eq!(assignment.derive(at(5), at(10), key), assigned.map(|software| (software, false)));
/// // Another router may know a change of which this one has not heard yet.
/// assert_eq!(assignment.derive(at(5), at(11), key), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// The present runs; `None` before the first list.
    runs: Option<IndexSet<Run>>,
    /// Number of the present runs of each software.
    counts: IndexMap<Software, u32>,
    /// Runs that came and went since the latest list that was recorded.
    passed: Vec<Run>,
    /// The changes, the oldest first.
    changes: VecDeque<Change>,
    /// Number of changes that a history covers, or will cover.
    past: usize,
    /// The runs of the list up to which a history is read.
    marked: Option<IndexSet<Run>>,
    /// Time of the latest change that was dropped, if any was.
    forgotten_until: Option<Timestamp>,
    /// Time up to which all changes are known.
    complete_until: Timestamp,
}

impl Assignment {
    /// Records the upstreams of the service that are listed at a time.
    ///
    /// Nothing else that a router knows of them may be recorded: what it assigns must follow from the list,
    /// which other routers can read as well.
    pub fn record<'a>(&mut self, now: Timestamp, entries: impl IntoIterator<Item = &'a Entry>) {
        let accepting = entries.into_iter().filter(|entry| !entry.leaving);
        let runs: IndexSet<Run> = accepting.map(Run::of).collect();
        let passed = self.passed.drain(..).map(|run| Change {
            at: now,
            ended: Some(run.clone()),
            began: Some(run),
            unknown: Unknown::No,
            is_ordered: false,
        });
        self.changes.extend(passed);
        if self.runs.as_ref() == Some(&runs) {
            return self.forget(now);
        }
        self.counts.clear();
        for run in &runs {
            *self.counts.entry(run.software.clone()).or_default() += 1;
        }
        if let Some(before) = self.runs.take() {
            let began = runs.difference(&before).cloned();
            let mut began: IndexMap<Name, Run> =
                began.map(|run| (run.upstream.clone(), run)).collect();
            let change = |ended, began| Change {
                at: now,
                ended,
                began,
                unknown: Unknown::No,
                is_ordered: false,
            };
            for ended in before.difference(&runs) {
                let began = began.swap_remove(&ended.upstream);
                self.changes.push_back(change(Some(ended.clone()), began));
            }
            let began = began.into_values().map(|run| change(None, Some(run)));
            self.changes.extend(began);
        }
        self.runs = Some(runs);
        self.forget(now);
    }

    /// Records that changes before a time are not known.
    pub fn record_hidden(&mut self, before: Timestamp) {
        self.forgotten_until = self.forgotten_until.max(Some(before));
    }

    /// Records a run that accepted new streams for some time between the latest list and the next one to be recorded, and is not
    /// on the latter.
    pub fn record_passed(&mut self, entry: &Entry) {
        let run = Run::of(entry);
        let is_listed = self.runs.as_ref().is_some_and(|runs| runs.contains(&run));
        if !is_listed {
            self.passed.push(run);
        }
    }

    /// Drops changes that are too old to matter, or too many.
    fn forget(&mut self, now: Timestamp) {
        let is_old = |change: &Change| now.since(change.at) > MAX_AGE;
        while self.changes.len() > MAX_CHANGES || self.changes.front().is_some_and(is_old) {
            let dropped = self.changes.pop_front();
            self.forgotten_until = dropped.map(|change| change.at);
            self.past = self.past.saturating_sub(1);
        }
    }

    /// Records that all changes up to a time are known.
    pub fn record_complete(&mut self, until: Timestamp) {
        self.complete_until = self.complete_until.max(until);
    }

    /// Marks the present list as the one up to which a history is read.
    pub fn mark_list(&mut self) {
        self.past = self.changes.len();
        self.marked.clone_from(&self.runs);
    }

    /// Replaces the changes before the marked list, of which a history shows all since a time. Its changes are recorded
    /// next, in their order.
    pub fn replace_past(&mut self, known_since: Timestamp) {
        let replaced = self.changes.drain(..std::mem::take(&mut self.past));
        let replaced = replaced.map(|change| change.at);
        let missing = replaced.filter(|at| *at <= known_since).max();
        self.forgotten_until = self.forgotten_until.max(missing);
    }

    /// Records a change before the marked list that happened after all others that were recorded so, at a time at the
    /// latest: an upstream of the service ended or began to accept streams. Both are given if an entry was replaced.
    pub fn record_past(&mut self, at: Timestamp, ended: Option<&Entry>, began: Option<&Entry>) {
        self.insert_past(Change {
            at,
            ended: ended.map(Run::of),
            began: began.map(Run::of),
            unknown: Unknown::No,
            is_ordered: true,
        });
    }

    /// Like [`Assignment::record_past`], where the entry that ended to accept streams, and its service, are unknown. It
    /// may have been replaced by an entry of the service.
    pub fn record_past_unknown(&mut self, at: Timestamp, replaced_by: Option<&Entry>) {
        self.insert_past(Change {
            at,
            ended: None,
            began: replaced_by.map(Run::of),
            unknown: replaced_by.map_or(Unknown::Left, |_| Unknown::Replaced),
            is_ordered: true,
        });
    }

    /// Records that the marked list followed all changes that were recorded before it. It may show the delayed heartbeat
    /// of a run that ended in these changes, so that it differs from their result.
    pub fn finish_past(&mut self, at: Timestamp) {
        let Some(marked) = self.marked.take() else {
            return;
        };
        let mut last: IndexMap<Name, Option<Run>> = IndexMap::new();
        for change in self.changes.iter().take(self.past) {
            if let Some(ended) = &change.ended {
                last.insert(ended.upstream.clone(), None);
            }
            if let Some(began) = &change.began {
                last.insert(began.upstream.clone(), Some(began.clone()));
            }
        }
        for (upstream, run) in last {
            let listed = marked.iter().find(|listed| listed.upstream == upstream);
            if listed != run.as_ref() {
                self.insert_past(Change {
                    at,
                    ended: run,
                    began: listed.cloned(),
                    unknown: Unknown::No,
                    is_ordered: false,
                });
            }
        }
    }

    fn insert_past(&mut self, change: Change) {
        self.changes.insert(self.past, change);
        self.past += 1;
    }

    /// Returns the software to which a new stream is assigned; `None` if any upstream may begin it,
    /// since no software has several or one of them states no version.
    #[must_use]
    pub fn assigned(&self, key: Key) -> Option<&Software> {
        let counts = self.counts();
        has_only_versions(counts.keys().copied()).then_some(())?;
        let counted = counts.iter().filter(|(_, count)| **count >= MIN_UPSTREAMS);
        let scored = counted.map(|(software, count)| (score(key, software, *count), *software));
        let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        best.map(|(_, software)| software)
    }

    /// Returns the software of a stream that began between two times, and whether it is the only one of that time;
    /// `None` if it depends on when the stream began, or if not all changes of that time are known.
    #[must_use]
    pub fn derive(
        &self,
        since: Timestamp,
        until: Timestamp,
        key: Key,
    ) -> Option<(&Software, bool)> {
        let is_forgotten = self.forgotten_until.is_some_and(|at| at + LAG >= since);
        if self.complete_until < until || is_forgotten {
            return None;
        }
        let mut counts = self.counts();
        let changes: Vec<&Change> = self.changes_since(since).collect();
        let ended = changes.iter().filter_map(|change| change.ended.as_ref());
        let ended = ended.map(|run| &run.software);
        let software: IndexSet<&Software> = counts.keys().copied().chain(ended).collect();
        let is_replaced = |change: &&Change| change.unknown == Unknown::Replaced;
        if !has_only_versions(software.iter().copied()) || changes.iter().any(is_replaced) {
            return None;
        }
        if software.len() <= 1 {
            return software.into_iter().next().map(|only| (only, true));
        }
        let derived = self.assigned(key)?;
        let mut unknown = 0;
        // Changes in any order are taken together.
        let is_together = |a: &&Change, b: &&Change| !a.is_ordered && !b.is_ordered && a.at == b.at;
        for changes in changes.chunk_by(is_together) {
            let began = changes.iter().filter_map(|change| change.began.as_ref());
            let ended = changes.iter().filter_map(|change| change.ended.as_ref());
            let left = changes
                .iter()
                .filter(|change| change.unknown == Unknown::Left);
            unknown += left.count() as u32;
            let mut lowest = counts.get(derived).copied().unwrap_or_default();
            for run in ended {
                *counts.entry(&run.software).or_default() += 1;
            }
            let highest = counts.clone();
            for run in began {
                let count = counts.entry(&run.software).or_default();
                *count = count.saturating_sub(1);
                if run.software == *derived {
                    lowest = lowest.saturating_sub(1);
                }
            }
            let highest =
                |other: &Software| highest.get(other).map_or(unknown, |count| count + unknown);
            if !wins(key, derived, lowest, &software, highest) {
                return None;
            }
        }
        Some((derived, false))
    }

    /// Returns the runs of a software that every router has listed at all times since one, by name and start.
    pub fn runs<'a>(
        &'a self,
        since: Timestamp,
        software: &'a Software,
    ) -> impl Iterator<Item = (&'a Name, u64)> {
        let began = self.changes_since(since);
        let began: IndexSet<&Run> = began.filter_map(|change| change.began.as_ref()).collect();
        let runs = self.runs.iter().flatten();
        let runs = runs.filter(move |run| run.software == *software && !began.contains(run));
        runs.map(|run| (&run.upstream, run.started_at))
    }

    /// Returns the changes that some router may not have known at a time, the latest first.
    fn changes_since(&self, since: Timestamp) -> impl Iterator<Item = &Change> {
        let changes = self.changes.iter().rev();
        changes.take_while(move |change| change.at + LAG >= since)
    }

    fn counts(&self) -> Counts<'_> {
        let counts = self.counts.iter();
        counts.map(|(software, count)| (software, *count)).collect()
    }
}

/// Returns whether all software is a stated version. Streams of other upstreams can go on only where they
/// began.
fn has_only_versions<'a>(mut software: impl Iterator<Item = &'a Software>) -> bool {
    software.all(|software| matches!(software, Software::Version(_)))
}

/// Returns whether a stream is assigned to a software that has at least so many upstreams, while each of the others has at
/// most so many.
fn wins(
    key: Key,
    derived: &Software,
    lowest: u32,
    software: &IndexSet<&Software>,
    highest: impl Fn(&Software) -> u32,
) -> bool {
    let mut others = software.iter().filter(|other| **other != derived);
    let score_of_derived = score(key, derived, lowest);
    let loses = |other: &&Software| {
        let count = highest(other);
        count < MIN_UPSTREAMS || score(key, other, count) < score_of_derived
    };
    lowest >= MIN_UPSTREAMS && others.all(loses)
}

/// Returns the score of a software for a stream in weighted rendezvous hashing: each software has the
/// highest score for a share of the streams that is proportional to the number of its upstreams.
fn score(key: Key, software: &Software, upstreams: u32) -> f64 {
    let hash = match software {
        Software::Version(version) => rendezvous::weight(key.0, version),
        Software::Process {
            upstream,
            started_at,
        } => rendezvous::weight(key.0.wrapping_add(*started_at), upstream),
    };
    // The 52 highest bits, as a number between 0 and 1 without either.
    let uniform = ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64;
    -f64::from(upstreams) / uniform.ln()
}
