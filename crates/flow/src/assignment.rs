//! Assigns the streams of a service to one of the software versions that serve it.
//!
//! The assignment is a function of the identifier of a stream and of the upstreams that accept new
//! streams. Any router can therefore derive where a stream began, even if all routers have restarted
//! since and none remembers it, unless the upstreams have changed in a way that matters for it.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_member::rendezvous;
use tsw_route::Name;

use crate::{
    origin::{Key, Software},
    pool::Entry,
};

/// Time within which all routers that can read the store, or a peer, know of a change.
const LAG: Span = Span::from_millis(1_500);
/// Minimum number of upstreams of a software that streams are assigned to. With fewer, a stream would
/// have no second choice.
const MIN_UPSTREAMS: u32 = 2;
/// Maximum number of upstreams of unknown software that are remembered. More make any derivation
/// impossible.
const MAX_UNKNOWN: usize = 1_024;
/// Time for which upstreams are remembered that accept no more streams.
const MAX_AGE: Span = Span::from_secs(60);

/// The time in which a run of an upstream accepted new streams.
#[derive(Clone, Debug)]
struct Accepting {
    since: Timestamp,
    until: Timestamp,
}

/// The upstreams of a service that accept, or recently accepted, new streams.
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
/// for now in 1..=10 {
///     assignment.record(at(now), &entries);
/// }
/// let key = Key::new("counter", "a1");
/// assert!(assignment.assigned(key).is_some());
/// assert_eq!(assignment.derive(at(5), key), assignment.assigned(key).map(|software| (software, false)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// By name, start of the run, and software.
    upstreams: IndexMap<(Name, u64, Software), Accepting>,
    /// Ends of the times of upstreams whose software is unknown.
    unknown: Vec<Timestamp>,
    /// Time of the last list.
    listed_at: Timestamp,
}

impl Assignment {
    /// Records the upstreams of the service that are listed at a time.
    ///
    /// Nothing else that a router knows of them may be recorded: what it assigns must follow from the list,
    /// which other routers can read as well.
    pub fn record<'a>(&mut self, now: Timestamp, entries: impl IntoIterator<Item = &'a Entry>) {
        let before = std::mem::replace(&mut self.listed_at, now);
        for entry in entries.into_iter().filter(|entry| !entry.leaving) {
            let new = Accepting {
                since: now,
                until: now,
            };
            let known = self.upstreams.entry(run(entry)).or_insert(new.clone());
            if known.until < before {
                *known = new;
            }
            known.until = now;
        }
        let is_recent = |until: Timestamp| now.since(until) <= MAX_AGE;
        self.upstreams.retain(|_, known| is_recent(known.until));
        self.unknown.retain(|until| is_recent(*until));
    }

    /// Records that an upstream may have accepted streams until a time before the first list.
    pub fn record_past(&mut self, until: Timestamp, entry: &Entry) {
        let past = Accepting {
            since: until,
            until,
        };
        let known = self.upstreams.entry(run(entry)).or_insert(past);
        known.until = known.until.max(until);
    }

    /// Records that an upstream of unknown software may have accepted streams until a time before the
    /// first list. It is presumed to be of the same software as another upstream.
    pub fn record_unknown(&mut self, until: Timestamp) {
        if self.unknown.len() < MAX_UNKNOWN {
            self.unknown.push(until);
        }
    }

    /// Records that an upstream that is listed now has accepted streams since an earlier time.
    pub fn record_since(&mut self, since: Timestamp, entry: &Entry) {
        if let Some(known) = self.upstreams.get_mut(&run(entry)) {
            known.since = known.since.min(since);
        }
    }

    /// Returns the software to which a new stream is assigned; `None` if any upstream may begin it,
    /// since no software has several or one of them states no version.
    #[must_use]
    pub fn assigned(&self, key: Key) -> Option<&Software> {
        let counts = versions(self.count(|known| known.until == self.listed_at))?;
        let counted = counts.into_iter();
        let counted = counted.filter(|(_, count)| *count >= MIN_UPSTREAMS);
        let scored = counted.map(|(software, count)| (score(key, software, count), software));
        let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        best.map(|(_, software)| software)
    }

    /// Returns the software of a stream that began at or after `since`, a time from which all upstreams
    /// are known, and whether it is the only one of that time; `None` if it depends on when the stream
    /// began.
    #[must_use]
    pub fn derive(&self, since: Timestamp, key: Key) -> Option<(&Software, bool)> {
        let possible = versions(self.count(|known| known.until + LAG >= since))?;
        if possible.len() <= 1 {
            return possible.into_keys().next().map(|software| (software, true));
        }
        let certain = self.count(|known| self.lasts(known, since));
        let unknown = self.unknown.iter().filter(|until| **until + LAG >= since);
        let unknown = unknown.count() as u32;
        let is_assigned = |software: &&&Software| {
            let count = certain.get(*software).copied();
            count.is_some_and(|count| count >= MIN_UPSTREAMS)
        };
        let lowest = |software| {
            let count = certain.get(software).copied().unwrap_or_default();
            score(key, software, count)
        };
        let highest = |software, count| score(key, software, count + unknown);
        let mut derived = possible.keys().filter(is_assigned).filter(|software| {
            possible
                .iter()
                .filter(|(other, _)| *other != *software)
                .all(|(other, count)| lowest(software) > highest(other, *count))
        });
        derived.next().map(|software| (*software, false))
    }

    /// Returns the runs of a software that every router has listed at all times since one, by name and start.
    pub fn runs<'a>(
        &'a self,
        since: Timestamp,
        software: &'a Software,
    ) -> impl Iterator<Item = (&'a Name, u64)> {
        let runs = self.upstreams.iter();
        let runs = runs.filter(move |((.., of), known)| of == software && self.lasts(known, since));
        runs.map(|((name, started_at, _), _)| (name, *started_at))
    }

    fn lasts(&self, known: &Accepting, since: Timestamp) -> bool {
        known.until == self.listed_at && known.since + LAG <= since
    }

    fn count(&self, counts: impl Fn(&Accepting) -> bool) -> IndexMap<&Software, u32> {
        let mut count = IndexMap::new();
        let counted = self.upstreams.iter().filter(|(_, known)| counts(known));
        for ((_, _, software), _) in counted {
            *count.entry(software).or_default() += 1;
        }
        count
    }
}

fn run(entry: &Entry) -> (Name, u64, Software) {
    (entry.id.clone(), entry.started_at, Software::of(entry))
}

/// Returns the counts if all software is a stated version. Streams of other upstreams can go on only
/// where they began.
fn versions(counts: IndexMap<&Software, u32>) -> Option<IndexMap<&Software, u32>> {
    let is_version = |software: &&Software| matches!(software, Software::Version(_));
    counts.keys().all(is_version).then_some(counts)
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
