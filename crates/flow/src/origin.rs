//! What is known of where a stream began, so that it goes on only at the same software version.
//!
//! Upstreams of one service may run several software versions side by side. The events that two of
//! them write for the same request do not fit together, and the upstreams do not check that. A
//! stream is therefore resumed only where its [`Origin`] is known and matches.

use std::fmt;

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;
use xxhash_rust::xxh3;

use crate::pool::Entry;

/// Maximum number of streams that are remembered, the oldest of which are dropped first.
const MAX_STREAMS: usize = 16_384;

/// Maximum time for which the list of upstreams may be incomplete.
const MAX_UNKNOWN: Span = Span::from_millis(2_000);

/// The software that writes the events of a stream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Software {
    /// A stated version.
    Version(Name),
    /// One run of an upstream that states no version. No other run is known to be equal.
    Process {
        /// Name of the upstream.
        upstream: Name,
        /// Start of the run.
        started_at: u64,
    },
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => f.write_str(version),
            Self::Process {
                upstream,
                started_at,
            } => write!(f, "{upstream}@{started_at}"),
        }
    }
}

impl Software {
    /// Returns the software of an upstream whose run is unknown. It equals that of no listed run.
    #[must_use]
    pub fn unknown(upstream: &Name) -> Self {
        Self::Process {
            upstream: upstream.clone(),
            started_at: u64::MAX,
        }
    }

    /// Returns whether this is [`Software::unknown`].
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Process { started_at, .. } if *started_at == u64::MAX)
    }

    /// Returns the software of an upstream.
    #[must_use]
    pub fn of(entry: &Entry) -> Self {
        match &entry.version {
            Some(version) => Self::Version(version.clone()),
            None => Self::Process {
                upstream: entry.id.clone(),
                started_at: entry.started_at,
            },
        }
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Origin {
    /// Service that runs it.
    pub service: Name,
    /// Software of the upstream that sent its first event.
    pub software: Software,
}

/// Identifies a stream by the attempt that brought its first event.
///
/// Clients choose the identifiers of attempts, so the team is a part of the key: no team can change
/// what is known of the streams of another one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of a stream of a team.
    ///
    /// ```
    /// use tsw_flow::origin::Key;
    /// assert_ne!(Key::new("counter", "a1"), Key::new("desk", "a1"));
    /// ```
    #[must_use]
    pub fn new(team: &str, attempt: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(
            attempt.as_bytes(),
            xxh3::xxh3_64(team.as_bytes()),
        ))
    }
}

/// How the origin of a stream that a client resumes is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It was recorded at this router.
    Record,
    /// Another router has recorded it.
    Peer,
    /// Every upstream that can have begun the stream ran the same software.
    OnlySoftware,
    /// It follows from the identifier of the stream.
    Derived,
}

impl Source {
    /// Returns the name of the source in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Peer => "peer",
            Self::OnlySoftware => "only-software",
            Self::Derived => "derived",
        }
    }
}

/// What is remembered of a stream.
#[derive(Clone, Debug)]
struct Stream {
    /// `None` if two streams with the same key began at different software.
    origin: Option<Origin>,
    at: Timestamp,
}

/// The origins of recent streams of this router, and of those that peers passed on.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    /// By key, in order of the last record.
    streams: IndexMap<Key, Stream>,
}

impl Origins {
    /// Records the origin of a stream. A second origin for the same key makes it unknown, unless the first one was of unknown
    /// software that has become known.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_flow::origin::{Key, Origin, Origins, Software};
    /// let origin = |version: &str| Origin {
    ///     service: "engines".into(),
    ///     software: Software::Version(version.into()),
    /// };
    /// let (now, lifetime, key) = (Timestamp::ZERO, Span::from_secs(20), Key::new("counter", "a1"));
    /// let mut origins = Origins::default();
    /// origins.record(now, lifetime, key, origin("v1"));
    /// assert_eq!(origins.get(now, lifetime, key), Some(&origin("v1")));
    /// origins.record(now, lifetime, key, origin("v2"));
    /// assert_eq!(origins.get(now, lifetime, key), None);
    /// ```
    pub fn record(&mut self, now: Timestamp, lifetime: Span, key: Key, origin: Origin) {
        let known = self.streams.shift_remove(&key);
        let known = known.filter(|known| now.since(known.at) <= lifetime);
        let becomes_known =
            |known: &Origin| known.software.is_unknown() && known.service == origin.service;
        let origin = match known.map(|known| known.origin) {
            Some(Some(known)) if known == origin || becomes_known(&known) => Some(origin),
            Some(_) => None,
            None => Some(origin),
        };
        self.streams.insert(key, Stream { origin, at: now });
        if self.streams.len() > MAX_STREAMS {
            let expired = |(_, stream): &(&Key, &Stream)| now.since(stream.at) > lifetime;
            let expired = self.streams.iter().take_while(expired).count();
            // Each removal moves all streams that remain.
            drop(self.streams.drain(..expired.max(MAX_STREAMS / 8)));
        }
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the origin of a stream that was recorded within `lifetime`.
    #[must_use]
    pub fn get(&self, now: Timestamp, lifetime: Span, key: Key) -> Option<&Origin> {
        let stream = self.streams.get(&key)?;
        let is_recent = now.since(stream.at) <= lifetime;
        stream.origin.as_ref().filter(|_| is_recent)
    }
}

/// The software that served each service recently.
///
/// If all upstreams that can have begun a stream run the same version, its origin needs no record.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// When each software of a service was last listed.
    listed: IndexMap<Name, IndexMap<Software, Timestamp>>,
    /// Start of the time for which the listed software is known without a gap.
    known_since: Option<Timestamp>,
    /// Last time at which the list was complete.
    known_until: Timestamp,
}

impl SoftwareHistory {
    /// Records that the list of upstreams is complete from `since` on. Upstreams that left between
    /// then and the present must have been recorded before.
    pub fn set_known_since(&mut self, since: Timestamp) {
        let known = self.known_since.unwrap_or(since);
        self.known_since = Some(known.min(since));
    }

    /// Records that the list of upstreams is complete at a time. After a longer time without such a
    /// record, upstreams may have come and left unseen.
    pub fn set_complete(&mut self, now: Timestamp) {
        if self.known_since.is_none() || now.since(self.known_until) > MAX_UNKNOWN {
            self.known_since = Some(now);
        }
        self.known_until = now;
    }

    /// Records that an upstream was listed at a time, whether or not it was leaving. What was last
    /// listed more than `lifetime` before is dropped when other software appears.
    pub fn record(&mut self, at: Timestamp, lifetime: Span, entry: &Entry) {
        self.record_software(at, lifetime, &entry.service, Software::of(entry));
    }

    /// Like [`SoftwareHistory::record`], for software that serves without being listed.
    pub fn record_software(
        &mut self,
        at: Timestamp,
        lifetime: Span,
        service: &Name,
        software: Software,
    ) {
        let known = self.listed.get_mut(service);
        if let Some(last) = known.and_then(|service| service.get_mut(&software)) {
            *last = at.max(*last);
            return;
        }
        self.listed.retain(|_, service| {
            service.retain(|_, last| at.since(*last) <= lifetime);
            !service.is_empty()
        });
        let service = self.listed.entry(service.clone()).or_default();
        service.insert(software, at);
    }

    /// Returns the software of all streams of a service that began within `lifetime`, if there is
    /// only one that can have written them.
    #[must_use]
    pub fn only(&self, now: Timestamp, lifetime: Span, service: &Name) -> Option<&Software> {
        let is_covered = |since: Timestamp| now.since(since) >= lifetime;
        self.known_since.filter(|since| is_covered(*since))?;
        if now.since(self.known_until) > MAX_UNKNOWN {
            return None;
        }
        let mut recent = self.recent(now, lifetime, service);
        let only = recent.next()?;
        recent.next().is_none().then_some(only)
    }

    /// Returns the services of which upstreams were listed recently.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.listed.keys()
    }

    /// Returns whether the listed software is known without a gap from a time on.
    #[must_use]
    pub fn is_known(&self, now: Timestamp, since: Timestamp) -> bool {
        let is_current = now.since(self.known_until) <= MAX_UNKNOWN;
        is_current && self.known_since.is_some_and(|known| known <= since)
    }

    /// Returns whether streams of a service may have begun at different software within `lifetime`.
    #[must_use]
    pub fn is_mixed(&self, now: Timestamp, lifetime: Span, service: &Name) -> bool {
        self.recent(now, lifetime, service).nth(1).is_some()
    }

    fn recent(
        &self,
        now: Timestamp,
        lifetime: Span,
        service: &Name,
    ) -> impl Iterator<Item = &Software> {
        let listed = self.listed.get(service).into_iter().flatten();
        let recent = listed.filter(move |(_, at)| now.since(**at) <= lifetime);
        recent.map(|(software, _)| software)
    }
}
