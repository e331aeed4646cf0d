//! Runs of upstreams that have ended although the host list still names them.
//!
//! The host list lags, so an upstream may return under its name and with other software before its entry says so. The
//! list states no start of a run. So the software of an upstream that has crashed is unknown until the list names
//! another version or address of it, or still names the same ones long after the upstream has responded again.
//!
//! A service that went back to an older list (see [`tsw_member::sequence`]) names earlier runs again. What it states of
//! an upstream otherwise than before counts as an ended run, and becomes right only when the entry is written again.

use std::sync::Arc;

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use crate::hosts::{List, Upstream, Version};

/// Time from the first response of an upstream that has returned to the read of a host list that is taken to name
/// the version which responds.
pub const LISTED_WITHIN: Span = Span::from_secs(30);
/// Maximum number of ended runs that are remembered.
const MAX_ENDED: usize = 4_096;

/// What is known of the software of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Software {
    /// It is of the version that the host list states.
    Listed(Version),
    /// It is of the version that the engine stated in its response, which the process that sends it knows best.
    Stated(Arc<str>),
    /// It may be of any version.
    Unknown,
}

impl Software {
    /// Returns whether a stream that this software began may go on at another one.
    #[must_use]
    pub fn may_continue_at(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => false,
            _ => self.version() == other.version(),
        }
    }

    /// Returns whether an engine may state this software in its response, of which the host list says `listed`.
    #[must_use]
    pub fn may_be_stated_by(&self, listed: &Self) -> bool {
        let is_unlisted = *listed == Self::Listed(Version::default());
        self.may_continue_at(listed) || (matches!(self, Self::Stated(_)) && is_unlisted)
    }

    fn version(&self) -> Option<&str> {
        match self {
            Self::Listed(version) => version.0.as_deref(),
            Self::Stated(version) => Some(version),
            Self::Unknown => None,
        }
    }
}

/// A run that has ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    /// Revision of the host list that names the run.
    revision: u64,
    /// When that was found.
    found: Timestamp,
    /// When the upstream first responded to a request that was sent afterwards.
    responded: Option<Timestamp>,
    /// Whether the entry was read after one that is probably later, so that it does not become right by its age.
    is_older: bool,
    /// Whether other routers are told. A version that an upstream states otherwise than the list may only show that the
    /// list is behind, until one that was read afterwards says the same.
    is_told: bool,
}

impl Ended {
    const fn new(found: Timestamp, revision: u64) -> Self {
        Self {
            revision,
            found,
            responded: None,
            is_older: false,
            is_told: true,
        }
    }
}

/// What shows that an upstream runs what the host list names, so that ends which were found before are of earlier runs.
#[derive(Clone, Copy, Debug)]
struct Named {
    /// When the read of the list began, or the response was sent or arrived.
    at: Timestamp,
    /// Revision of the list that names the run for the first time. Routers with this list may have seen its end. `None` if
    /// a response shows it, which no end that was found before can be about.
    revision: Option<u64>,
}

impl Named {
    fn is_after(&self, found: Timestamp, revision: u64) -> bool {
        found < self.at && self.revision.is_none_or(|named| revision < named)
    }
}

/// The upstreams whose listed run has ended.
#[derive(Clone, Debug, Default)]
pub struct EndedRuns {
    ended: IndexMap<name::Upstream, Ended>,
    named: IndexMap<name::Upstream, Named>,
}

impl EndedRuns {
    /// Records that the run of an upstream has ended, as seen by a router whose host list has a revision, and returns
    /// whether this is new. A router with an older list than this one may have seen the end of the run that this one's
    /// list names. Without versions in the list there is nothing to confuse, so nothing is recorded.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_board::{hosts::List, runs::EndedRuns};
    /// let mut runs = EndedRuns::default();
    /// assert!(!runs.record_ended(Timestamp::ZERO, &List::default(), &"e1".parse()?, 1));
    /// # Ok::<(), tsw_base::name::Error>(())
    /// ```
    pub fn record_ended(
        &mut self,
        now: Timestamp,
        list: &List,
        upstream: &name::Upstream,
        mut revision: u64,
    ) -> bool {
        if !states_versions(list) {
            return false;
        }
        let mut is_older = false;
        if let Some(ended) = self.ended.get_mut(upstream) {
            revision = ended.revision.max(revision);
            is_older = ended.is_older;
            if ended.responded.is_none() {
                ended.revision = revision;
                return !std::mem::replace(&mut ended.is_told, true);
            }
        }
        let ended = Ended {
            is_older,
            ..Ended::new(now, revision)
        };
        self.insert(upstream, ended);
        true
    }

    /// Records what a peer tells of the end of a run, which was found at a time, and returns whether this is new. What is
    /// told again changes nothing if the list has named another run since, or the upstream has responded.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_board::{hosts::List, runs::EndedRuns};
    /// let (mut runs, now) = (EndedRuns::default(), Timestamp::ZERO);
    /// assert!(!runs.record_told(&List::default(), &"e1".parse()?, 1, now));
    /// # Ok::<(), tsw_base::name::Error>(())
    /// ```
    pub fn record_told(
        &mut self,
        list: &List,
        upstream: &name::Upstream,
        revision: u64,
        found: Timestamp,
    ) -> bool {
        let named = self.named.get(upstream);
        if named.is_some_and(|named| named.is_after(found, revision)) {
            return false;
        }
        if let Some(ended) = self.ended.get_mut(upstream) {
            if ended.responded.is_some_and(|responded| found < responded) {
                ended.revision = ended.revision.max(revision);
                return false;
            }
        }
        self.record_ended(found, list, upstream, revision)
    }

    fn insert(&mut self, name: &name::Upstream, ended: Ended) {
        self.ended.shift_remove(name);
        self.ended.insert(name.clone(), ended);
        if self.ended.len() > MAX_ENDED {
            self.ended.shift_remove_index(0);
        }
    }

    /// Records that an upstream responds to a request that was sent at a time.
    pub fn record_response(&mut self, now: Timestamp, upstream: &name::Upstream, sent: Timestamp) {
        if let Some(ended) = self.ended.get_mut(upstream) {
            if sent > ended.found && ended.responded.is_none() {
                ended.responded = Some(now);
            }
        }
    }

    /// Records the version that an upstream states in its response to a request that was sent at a time. Returns whether
    /// this shows that the run has ended which the host list names.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_board::{hosts::List, runs::EndedRuns};
    /// let (mut runs, now) = (EndedRuns::default(), Timestamp::ZERO);
    /// assert!(!runs.record_stated(now, &List::default(), &"e1".parse()?, now, "v1"));
    /// # Ok::<(), tsw_base::name::Error>(())
    /// ```
    pub fn record_stated(
        &mut self,
        now: Timestamp,
        list: &List,
        upstream: &name::Upstream,
        sent: Timestamp,
        version: &str,
    ) -> bool {
        let listed = list.upstreams.get(upstream);
        let Some(listed) = listed.and_then(|listed| listed.version.0.as_deref()) else {
            return false;
        };
        let ended = self.ended.get(upstream);
        if listed != version {
            if ended.is_some() {
                return false;
            }
            let ended = Ended {
                is_told: false,
                ..Ended::new(now, list.revision)
            };
            self.insert(upstream, ended);
            return true;
        }
        if ended.is_some_and(|ended| sent > ended.found) {
            self.ended.shift_remove(upstream);
            let named = Named {
                at: sent,
                revision: None,
            };
            self.named.insert(upstream.clone(), named);
        }
        false
    }

    /// Returns the upstreams that stated another version than the host list before a time, at which the read of the same
    /// or a later list began that still names the run before. Other routers have to be told of them.
    pub fn confirm_stated(&mut self, list: &List, read_at: Timestamp) -> Vec<name::Upstream> {
        let mut confirmed = Vec::new();
        for (name, ended) in &mut self.ended {
            if !ended.is_told && ended.found < read_at {
                ended.is_told = true;
                ended.revision = ended.revision.max(list.revision);
                confirmed.push(name.clone());
            }
        }
        confirmed
    }

    /// Processes a host list that replaces another one. An entry with another version or address names a later run,
    /// unless the router that found the end of the run had read it before.
    pub fn adopt(&mut self, before: &List, after: &List) {
        self.ended.retain(|name, ended| {
            let listed = after.upstreams.get(name);
            listed.is_some_and(|listed| {
                let is_same = is_same(before, name, listed);
                // The entry has been written since, so that its age counts again.
                ended.is_older &= is_same;
                is_same || after.revision <= ended.revision
            })
        });
    }

    /// Records the entries of a host list that name other runs than the list that it replaces. The read of it began at a
    /// time.
    pub fn record_named(&mut self, read_at: Timestamp, before: &List, after: &List) {
        self.named
            .retain(|name, _| after.upstreams.contains_key(name));
        for (name, upstream) in &after.upstreams {
            if before.upstreams.contains_key(name) && !is_same(before, name, upstream) {
                let named = Named {
                    at: read_at,
                    revision: Some(after.revision),
                };
                self.named.insert(name.clone(), named);
            }
        }
    }

    /// Processes a host list that replaces another one, and that may have been written before it. The entries that
    /// differ may name an earlier run than the ones before, so the software of their upstreams is unknown.
    pub fn adopt_unordered(&mut self, now: Timestamp, before: &List, after: &List) {
        self.adopt_different(now, before, after, false);
    }

    /// Processes a host list that replaces another one and is from before it, as far as is known. Entries that
    /// differ from the ones before name no run until they are written again.
    pub fn adopt_earlier(&mut self, now: Timestamp, before: &List, after: &List) {
        self.adopt_different(now, before, after, true);
    }

    fn adopt_different(&mut self, now: Timestamp, before: &List, after: &List, is_earlier: bool) {
        self.ended
            .retain(|name, _| after.upstreams.contains_key(name));
        if !states_versions(before) && !states_versions(after) {
            return;
        }
        for (name, upstream) in &after.upstreams {
            if !is_same(before, name, upstream) {
                let is_older = is_earlier && before.upstreams.contains_key(name);
                let ended = self.ended.get(name);
                let revision = ended.map_or(0, |ended| ended.revision);
                let ended = Ended {
                    is_older,
                    ..Ended::new(now, revision.max(after.revision))
                };
                self.insert(name, ended);
                self.named.swap_remove(name);
            }
        }
    }

    /// Records that the current host list is also the one that was read at a time.
    pub fn confirm(&mut self, read_at: Timestamp) {
        let named = &mut self.named;
        self.ended.retain(|name, ended| {
            let responded = ended.responded.filter(|_| !ended.is_older);
            let confirmed =
                responded.filter(|responded| read_at.since(*responded) >= LISTED_WITHIN);
            if let Some(responded) = confirmed {
                let responded = Named {
                    at: responded,
                    revision: None,
                };
                named.insert(name.clone(), responded);
            }
            confirmed.is_none()
        });
    }

    /// Returns the upstreams of which routers that may have started since have to be told, with the revision of the
    /// host list that names the ended run and the time at which its end was found. A router that starts cannot find out
    /// by itself for as long as the upstream is down, so the age of the end does not matter.
    pub fn told(&self) -> impl Iterator<Item = (&name::Upstream, u64, Timestamp)> {
        let told = self.ended.iter().filter(|(_, ended)| ended.is_told);
        told.map(|(name, ended)| (name, ended.revision, ended.found))
    }

    /// Returns what is known of the software of an upstream.
    #[must_use]
    pub fn software(&self, list: &List, upstream: &name::Upstream) -> Software {
        match list.upstreams.get(upstream) {
            Some(_) if self.ended.contains_key(upstream) => Software::Unknown,
            Some(listed) => Software::Listed(listed.version.clone()),
            None if states_versions(list) => Software::Unknown,
            None => Software::Listed(Version::default()),
        }
    }

    /// Returns whether an upstream of a service that takes new requests is known to run a software.
    #[must_use]
    pub fn is_served(&self, list: &List, service: &name::Service, software: &Software) -> bool {
        let mut listed = list.upstreams.iter();
        listed.any(|(name, listed)| {
            let serves = listed.service == *service && !listed.leaving;
            serves && software.may_be_stated_by(&self.software(list, name))
        })
    }
}

/// Returns whether a host list has the same entry of an upstream, as far as it names a run.
fn is_same(list: &List, name: &name::Upstream, upstream: &Upstream) -> bool {
    let listed = list.upstreams.get(name);
    listed.is_some_and(|listed| {
        listed.version == upstream.version && listed.address == upstream.address
    })
}

fn states_versions(list: &List) -> bool {
    let mut listed = list.upstreams.values();
    listed.any(|listed| listed.version.0.is_some())
}
