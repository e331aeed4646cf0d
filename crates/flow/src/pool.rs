//! The upstreams of a service, and which of them serves a request best.

mod engine;

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::{Span, Tick};
use tsw_route::{table::Engine, Name};

use crate::{
    directory::Directory,
    prompt::{Part, Prompt},
};

/// Added to the cost of a plain upstream in another failure domain, in requests.
const FAR: f64 = 0.3;
/// Part by which each result moves the failure rate of an upstream.
const RATE_STEP: f64 = 0.25;
/// Time in which the failure rate of an upstream that gets no requests halves, in seconds.
const RATE_HALF_S: f64 = 2.0;
/// Failure rate from which an upstream gets a request only if no other may have it.
const RATE_AVOID: f64 = 0.45;
/// Shortest and longest time for which an upstream that cannot be reached gets no request.
const DOWN_LEAST: Span = Span::from_millis(250);
const DOWN_MOST: Span = Span::from_millis(4_000);

/// Most different reads that are kept for the other routers between two messages to them: a router
/// with 100 requests a second states its work every 1.2 s at 95 routers.
const MAX_READ: usize = 256;

/// What the platform says of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of this run of the upstream.
    pub id: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Its start. An upstream that starts again under its name knows nothing of before.
    pub born: u64,
    /// Counts what it says of itself since its start.
    pub seq: u64,
}

/// Use of an upstream by one router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Use {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Tokens of prompts that are sent and have not produced an event.
    pub unread: u64,
}

#[derive(Clone, Debug)]
struct Upstream {
    entry: Entry,
    own: Use,
    others: Use,
    held: Directory,
    failures: f64,
    rated: Tick,
    down: Span,
    down_until: Tick,
}

impl Upstream {
    fn new(entry: Entry, engine: Option<Engine>) -> Self {
        Self {
            entry,
            own: Use::default(),
            others: Use::default(),
            held: Directory::new(engine.map_or(0, |engine| engine.kv_capacity_tokens)),
            failures: 0.0,
            rated: Tick::ZERO,
            down: Span::ZERO,
            down_until: Tick::ZERO,
        }
    }

    fn choice(&self, unread: u64, fetch: Option<SocketAddr>) -> Choice {
        Choice {
            id: self.entry.id.clone(),
            address: self.entry.address,
            unread,
            fetch,
        }
    }

    fn requests(&self) -> u32 {
        self.own.requests + self.others.requests
    }

    fn unread(&self) -> u64 {
        self.own.unread + self.others.unread
    }

    fn failure_rate(&self, now: Tick) -> f64 {
        let silent = now.since(self.rated).as_secs_f64();
        self.failures * 0.5f64.powf(silent / RATE_HALF_S)
    }

    fn rate(&mut self, now: Tick, failed: bool) {
        let rate = self.failure_rate(now);
        let result = if failed { 1.0 } else { 0.0 };
        self.failures = rate + RATE_STEP * (result - rate);
        self.rated = now;
    }
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the upstream.
    pub id: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Tokens of the prompt that it probably has to read.
    pub unread: u64,
    /// Engine from which it can fetch a part of the prompt that it does not hold.
    pub fetch: Option<SocketAddr>,
}

/// What a choice must respect.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Failure domain of this router.
    pub domain: &'a str,
    /// Prompt of the request, for engines.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that failed this request.
    pub avoid: &'a [Name],
    /// Most unread tokens that may wait at an engine, this request included. An engine on which
    /// nothing waits takes any request.
    pub most_unread: u64,
    /// Whether engines can fetch parts of prompts from each other.
    pub can_fetch: bool,
    /// Requests that may wait at a plain upstream beyond its slots.
    pub spare: u32,
    /// Longest age of what other routers told.
    pub statement_age: Span,
}

/// The upstreams of a service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    upstreams: IndexMap<Name, Upstream>,
    /// Upstreams that this router owns, see [`crate::owner`].
    owned: IndexSet<Name>,
    /// Shared parts that engines were told to read since the last message to other routers.
    read: IndexSet<(Name, Vec<Part>)>,
    others: IndexMap<Name, Vec<(Name, Use)>>,
}

impl Pool {
    /// Takes the list of upstreams that the platform states now.
    pub fn set_entries(&mut self, entries: Vec<Entry>, engine: Option<Engine>) {
        let mut former = std::mem::take(&mut self.upstreams);
        for entry in entries {
            let kept = former.swap_remove(&entry.id);
            let same = kept.filter(|kept| {
                kept.entry.born == entry.born && kept.entry.address == entry.address
            });
            let upstream = match same {
                Some(kept) => Upstream { entry, ..kept },
                None => Upstream::new(entry, engine),
            };
            self.upstreams.insert(upstream.entry.id.clone(), upstream);
        }
        self.sum_others();
    }

    /// Takes the upstreams that this router owns; those of other services are ignored.
    pub fn set_owned(&mut self, owned: &IndexSet<Name>) {
        let names = self.upstreams.keys();
        self.owned = names
            .filter(|name| owned.contains(*name))
            .cloned()
            .collect();
    }

    /// Takes what another router uses; an empty list when it ended.
    pub fn set_others(&mut self, router: &Name, uses: Vec<(Name, Use)>) {
        for (id, used) in &uses {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.others.requests += used.requests;
                upstream.others.unread += used.unread;
            }
        }
        let former = if uses.is_empty() {
            self.others.swap_remove(router)
        } else {
            self.others.insert(router.clone(), uses)
        };
        for (id, used) in former.unwrap_or_default() {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.others.requests -= used.requests;
                upstream.others.unread -= used.unread;
            }
        }
    }

    fn sum_others(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.others = Use::default();
        }
        for (id, used) in self.others.values().flatten() {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.others.requests += used.requests;
                upstream.others.unread += used.unread;
            }
        }
    }

    /// Returns what this router uses.
    pub fn own(&self) -> impl Iterator<Item = (&Name, Use)> {
        let used = self
            .upstreams
            .iter()
            .map(|(id, upstream)| (id, upstream.own));
        used.filter(|(_, used)| *used != Use::default())
    }

    /// Returns the number of upstreams that take requests.
    #[must_use]
    pub fn takers(&self) -> usize {
        let takers = self.upstreams.values();
        takers.filter(|upstream| !upstream.entry.leaving).count()
    }

    /// Returns the requests that all upstreams that take requests may run at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let takers = self.upstreams.values();
        let takers = takers.filter(|upstream| !upstream.entry.leaving);
        takers.map(|upstream| upstream.entry.slots).sum()
    }

    /// Chooses the upstream that serves a request best, or `None` if none has room for it.
    #[must_use]
    pub fn choose(&self, now: Tick, ask: &Ask<'_>) -> Option<Choice> {
        let usable = |upstream: &&Upstream| {
            !upstream.entry.leaving && !ask.avoid.contains(&upstream.entry.id)
        };
        let sound = |upstream: &&Upstream| {
            upstream.down_until <= now && upstream.failure_rate(now) < RATE_AVOID
        };
        let usable: Vec<&Upstream> = self.upstreams.values().filter(usable).collect();
        let sound: Vec<&Upstream> = usable.iter().copied().filter(sound).collect();
        let candidates = if sound.is_empty() { usable } else { sound };
        match ask.prompt {
            Some(prompt) => engine::choose(now, &candidates, &self.owned, ask, prompt),
            None => choose_plain(now, &candidates, ask),
        }
    }

    /// Notes that a request is sent to an upstream.
    pub fn begin(&mut self, choice: &Choice, prompt: Option<&Prompt>) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.own.requests += 1;
            upstream.own.unread += choice.unread;
            if let Some(prompt) = prompt {
                upstream.held.add(&prompt.parts);
                let shared = prompt.shared_parts();
                if !shared.is_empty() && self.read.len() < MAX_READ {
                    self.read.insert((choice.id.clone(), shared.to_vec()));
                }
            }
        }
    }

    /// Returns which shared parts engines were told to read since the last call.
    pub fn take_read(&mut self) -> Vec<(Name, Vec<Part>)> {
        std::mem::take(&mut self.read).into_iter().collect()
    }

    /// Notes which shared parts another router told engines to read.
    pub fn add_read(&mut self, read: &[(Name, Vec<Part>)]) {
        for (id, parts) in read {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.held.add(parts);
            }
        }
    }

    /// Notes that an engine has read a prompt, or that it no longer has to.
    pub fn read(&mut self, choice: &Choice) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.own.unread = upstream.own.unread.saturating_sub(choice.unread);
        }
    }

    /// Notes that a request no longer runs at an upstream.
    pub fn end(&mut self, choice: &Choice) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.own.requests = upstream.own.requests.saturating_sub(1);
        }
    }

    /// Notes that an upstream answered in full.
    pub fn answered(&mut self, now: Tick, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.rate(now, false);
            upstream.down = Span::ZERO;
            upstream.down_until = Tick::ZERO;
        }
    }

    /// Notes that an upstream failed a request.
    pub fn failed(&mut self, now: Tick, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.rate(now, true);
        }
    }

    /// Notes that an upstream could not be reached; it gets no request for a time that doubles
    /// with each failure in a row.
    pub fn unreachable(&mut self, now: Tick, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.rate(now, true);
            // Requests that failed together count as one failure.
            if upstream.down_until <= now {
                let doubled = Span::from_micros(upstream.down.as_micros() * 2);
                upstream.down = doubled.max(DOWN_LEAST).min(DOWN_MOST);
                upstream.down_until = now + upstream.down;
            }
        }
    }
}

fn choose_plain(now: Tick, candidates: &[&Upstream], ask: &Ask<'_>) -> Option<Choice> {
    let fits = candidates.iter().filter_map(|upstream| {
        if upstream.requests() >= upstream.entry.slots + ask.spare {
            return None;
        }
        let far = if &*upstream.entry.domain == ask.domain {
            0.0
        } else {
            FAR
        };
        let slots = f64::from(upstream.entry.slots.max(1));
        let cost = (f64::from(upstream.requests()) + far) / slots;
        Some((cost + 4.0 * upstream.failure_rate(now), *upstream))
    });
    let best = fits.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, upstream)| upstream.choice(0, None))
}
