//! The upstreams of a service and the selection of one for a request.

mod candidate;
mod ended;
mod engine;
mod limit;
mod pause;
mod plain;
mod speed;

pub use candidate::Candidate;
pub use limit::{Question, Statement};
pub use speed::Load;

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::{Span, Timestamp};
use tsw_route::{table::Engine, Name};

use crate::{
    origin::Software,
    prefix_cache::PrefixCache,
    prompt::{Part, Prompt},
    run,
};

/// Smoothing factor of the failure rate: the weight of each new result.
const FAILURE_RATE_SMOOTHING: f64 = 0.25;
/// Half-life of the failure rate of an upstream that gets no requests, in seconds.
const FAILURE_RATE_HALF_LIFE_S: f64 = 2.0;
/// Failure rate from which an upstream is only used if no healthy one is eligible.
const UNHEALTHY_FAILURE_RATE: f64 = 0.45;
/// Shortest and longest backoff for which an unreachable upstream gets no request.
const MIN_BACKOFF: Span = Span::from_millis(250);
const MAX_BACKOFF: Span = Span::from_millis(4_000);

/// Maximum number of distinct prefills kept for the next report to the other routers. In a fleet of
/// 95 routers, a router with 100 requests per second reports every 1.2 s.
const MAX_PREFILLS: usize = 256;

/// Maximum difference between two heartbeats of one run that a delay of the older one explains. Larger numbers are
/// another writer's.
const MAX_DELAYED_HEARTBEATS: u64 = 500;

/// Entry of an upstream as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of the upstream instance.
    pub id: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Start of the present run, which identifies it among those of the upstream, see [`crate::run`]. An upstream that
    /// restarted under the same name has lost its state.
    pub started_at: u64,
    /// Sequence number of the heartbeat since the start.
    pub seq: u64,
    /// Version of its software; `None` if it states none.
    pub version: Option<Name>,
}

impl Entry {
    /// Returns whether another entry is of the same run. Runs that state the same start differ if anything else does
    /// that stays the same during a run.
    pub(crate) fn is_same_run(&self, other: &Self) -> bool {
        let identity = |entry: &Self| (entry.started_at, entry.address);
        identity(self) == identity(other)
            && (&self.service, &self.version) == (&other.service, &other.version)
    }

    /// Returns whether another entry differs from this one only in its heartbeat, which is a later one.
    pub(crate) fn is_renewed_by(&self, later: &Self) -> bool {
        let renewed = Self {
            seq: later.seq,
            ..self.clone()
        };
        self.seq < later.seq && renewed == *later
    }

    /// Returns whether this is a later heartbeat than another one of the same run, which a delay may have kept back.
    pub(crate) fn follows(&self, other: &Self) -> bool {
        other.seq < self.seq && self.seq - other.seq <= MAX_DELAYED_HEARTBEATS
    }
}

/// Usage of an upstream by one or more routers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests that run or wait at the upstream.
    pub requests: u32,
    /// Tokens of prompts that were sent and have not produced a first event yet.
    pub pending_tokens: u64,
}

#[derive(Clone, Debug)]
struct Upstream {
    entry: Entry,
    /// Usage by this router.
    own: Usage,
    /// Sum of the usage reported by the other routers.
    peers: Usage,
    /// Estimate of the prompt parts that the engine has cached.
    cache: PrefixCache,
    /// Failure rate at the time `rated_at`.
    failure_rate: f64,
    rated_at: Timestamp,
    /// Current backoff; zero after a complete response.
    backoff: Span,
    unavailable_until: Timestamp,
    /// What it last stated about its load.
    stated: Option<speed::StatedLoad>,
    /// Pauses between the events of its streams.
    pauses: speed::Pauses,
}

impl Upstream {
    fn new(entry: Entry, engine: Option<Engine>) -> Self {
        Self {
            entry,
            own: Usage::default(),
            peers: Usage::default(),
            cache: PrefixCache::new(engine.map_or(0, |engine| engine.kv_capacity_tokens)),
            failure_rate: 0.0,
            rated_at: Timestamp::ZERO,
            backoff: Span::ZERO,
            unavailable_until: Timestamp::ZERO,
            stated: None,
            pauses: speed::Pauses::default(),
        }
    }

    fn choice(&self, uncached_tokens: u64, fetch_from: Option<SocketAddr>) -> Choice {
        Choice {
            id: self.entry.id.clone(),
            address: self.entry.address,
            started_at: self.entry.started_at,
            software: Software::of(&self.entry),
            uncached_tokens,
            fetch_from,
        }
    }

    fn requests(&self) -> u32 {
        self.own.requests + self.peers.requests
    }

    fn pending_tokens(&self) -> u64 {
        self.own.pending_tokens + self.peers.pending_tokens
    }

    fn failure_rate(&self, now: Timestamp) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let elapsed = now.since(self.rated_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(elapsed / FAILURE_RATE_HALF_LIFE_S)
    }

    fn record_result(&mut self, now: Timestamp, failed: bool) {
        let rate = self.failure_rate(now);
        let result = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + FAILURE_RATE_SMOOTHING * (result - rate);
        self.rated_at = now;
    }
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the upstream.
    pub id: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Start of its present run.
    pub started_at: u64,
    /// Its software.
    pub software: Software,
    /// Prompt tokens that it has to process, as estimated from its cached parts.
    pub uncached_tokens: u64,
    /// Address of the engine from which to fetch cached prompt parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
}

/// Constraints on the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Failure domain of this router.
    pub domain: &'a str,
    /// Prompt of the request; `None` for plain services.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams to exclude because they failed this request.
    pub avoid: &'a [Name],
    /// Software that continues a stream; `None` if nothing of the response exists yet.
    pub software: Option<&'a Software>,
    /// Maximum number of prompt tokens pending at an engine, this request included. An engine without
    /// pending tokens accepts any request.
    pub max_pending_tokens: u64,
    /// Whether engines can fetch cached prompt parts from each other.
    pub can_fetch: bool,
    /// Requests that may wait at a plain upstream beyond its slots.
    pub extra_slots: u32,
    /// Maximum age of the reports of other routers.
    pub report_age: Span,
}

/// The upstreams of a service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    upstreams: IndexMap<Name, Upstream>,
    /// Upstreams that this router owns, see [`crate::owner`].
    owned: IndexSet<Name>,
    /// Shared parts sent to engines since the last report to the other routers.
    prefills: IndexSet<(Name, Vec<Part>)>,
    /// Last report of each other router.
    peer_reports: IndexMap<Name, Vec<(Name, Usage)>>,
    /// Runs that stated that they leave.
    leaving: run::Map<()>,
    /// Runs that have ended, and when that was found out.
    ended: run::Map<Timestamp>,
    /// Listed runs whose upstreams state another run.
    others: run::Map<()>,
    /// Listed runs that may have ended.
    doubtful: run::Map<()>,
    /// Runs that asked for a pause, with its end.
    pauses: run::Map<Timestamp>,
    /// Rates that upstreams state.
    limits: IndexMap<Name, limit::Limit>,
    /// Rates that runs stated before another one was listed.
    former_limits: run::Map<limit::Limit>,
    /// Upstreams that stated a rate that cannot be used, with the start of the run that did.
    unusable_rates: IndexMap<Name, u64>,
    /// Typical pause between the events of a stream.
    typical: speed::Typical,
}

impl Pool {
    /// Replaces the list of upstreams. The state of an upstream is kept unless it restarted or its
    /// address changed.
    pub fn set_entries(&mut self, entries: Vec<Entry>, engine: Option<Engine>) {
        let mut previous = std::mem::take(&mut self.upstreams);
        for mut entry in entries {
            let kept = previous.swap_remove(&entry.id);
            let is_new = kept
                .as_ref()
                .is_some_and(|kept| !kept.entry.is_same_run(&entry));
            let before = kept.as_ref().map(|kept| kept.entry.started_at);
            if is_new && before == Some(entry.started_at) {
                self.forget_equal_start(&entry);
            }
            if is_new {
                self.restore_limit(&entry.id, entry.started_at);
            }
            entry.leaving |= self.leaving.get(&entry.id, entry.started_at).is_some();
            let same = kept.filter(|_| !is_new);
            let upstream = match same {
                Some(kept) => Upstream { entry, ..kept },
                None => Upstream::new(entry, engine),
            };
            self.upstreams.insert(upstream.entry.id.clone(), upstream);
        }
        let upstreams = &self.upstreams;
        self.others.retain_present(|id, started_at| {
            let listed = upstreams.get(id);
            listed.is_some_and(|upstream| upstream.entry.started_at == started_at)
        });
        self.sum_peer_reports();
    }

    /// Forgets what is known of an earlier run that stated the same start as the one that is listed now.
    fn forget_equal_start(&mut self, entry: &Entry) {
        let (id, started_at) = (&entry.id, entry.started_at);
        self.leaving.remove(id, started_at);
        self.ended.remove(id, started_at);
        self.others.remove(id, started_at);
        self.pauses.remove(id, started_at);
    }

    /// Records that an upstream stated in a response that it leaves, and returns whether this is new.
    /// The statement holds whatever its entry says, until another run is listed.
    pub fn record_leaving(&mut self, choice: &Choice) -> bool {
        if self.stated_leaving(choice) {
            return false;
        }
        let is_listed = |name: &Name| self.upstreams.contains_key(name);
        self.leaving
            .insert(&choice.id, choice.started_at, (), is_listed);
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.entry.leaving |= upstream.entry.started_at == choice.started_at;
        }
        true
    }

    /// Returns whether the chosen run of an upstream stated that it leaves.
    #[must_use]
    pub fn stated_leaving(&self, choice: &Choice) -> bool {
        self.leaving.get(&choice.id, choice.started_at).is_some()
    }

    /// Sets the upstreams that this router owns; those of other services are ignored.
    pub fn set_owned(&mut self, owned: &IndexSet<Name>) {
        let names = self.upstreams.keys();
        self.owned = names
            .filter(|name| owned.contains(*name))
            .cloned()
            .collect();
    }

    /// Replaces the usage reported by another router. An empty report removes the router.
    pub fn set_peer_report(&mut self, router: &Name, usages: Vec<(Name, Usage)>) {
        for (id, usage) in &usages {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.peers.requests += usage.requests;
                upstream.peers.pending_tokens += usage.pending_tokens;
            }
        }
        let previous = if usages.is_empty() {
            self.peer_reports.swap_remove(router)
        } else {
            self.peer_reports.insert(router.clone(), usages)
        };
        for (id, usage) in previous.unwrap_or_default() {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.peers.requests -= usage.requests;
                upstream.peers.pending_tokens -= usage.pending_tokens;
            }
        }
    }

    fn sum_peer_reports(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.peers = Usage::default();
        }
        for (id, usage) in self.peer_reports.values().flatten() {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.peers.requests += usage.requests;
                upstream.peers.pending_tokens += usage.pending_tokens;
            }
        }
    }

    /// Returns the upstreams that this router uses, with its own requests and pending tokens.
    pub fn own_usage(&self) -> impl Iterator<Item = (&Name, Usage)> {
        let usage = self
            .upstreams
            .iter()
            .map(|(id, upstream)| (id, upstream.own));
        usage.filter(|(_, usage)| *usage != Usage::default())
    }

    /// Returns the number of upstreams that accept new requests.
    #[must_use]
    pub fn accepting_count(&self) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|upstream| !upstream.entry.leaving).count()
    }

    /// Returns whether an upstream of a software, other than `avoid`, accepts new requests.
    #[must_use]
    pub fn accepts_at(&self, software: &Software, avoid: &[Name]) -> bool {
        let accepts =
            |upstream: &Upstream| !upstream.entry.leaving && !avoid.contains(&upstream.entry.id);
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| accepts(upstream) && self.runs(upstream, software))
    }

    /// Returns whether an upstream other than `avoid` accepts new requests.
    #[must_use]
    pub fn has_accepting(&self, avoid: &[Name]) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| !upstream.entry.leaving && !avoid.contains(&upstream.entry.id))
    }

    /// Returns the sum of the slots of the upstreams that accept new requests.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        let upstreams = self.upstreams.values();
        let upstreams = upstreams.filter(|upstream| !upstream.entry.leaving);
        let slots = upstreams.map(|upstream| upstream.entry.slots);
        slots.fold(0, u32::saturating_add)
    }

    /// Returns whether any upstream may have room for a further request: without it, [`Pool::choose`] finds none.
    #[must_use]
    pub fn has_room(
        &self,
        now: Timestamp,
        is_engine: bool,
        max_pending_tokens: u64,
        extra_slots: u32,
    ) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| {
            let pending = upstream.pending_tokens();
            let (slots, requests) = (upstream.entry.slots, upstream.occupancy(now));
            if is_engine {
                requests < slots && (pending == 0 || pending <= max_pending_tokens)
            } else {
                requests < slots.saturating_add(extra_slots)
            }
        })
    }

    /// Chooses the upstream with the lowest cost for a request, or `None` if none has room for it.
    ///
    /// Unhealthy upstreams are only considered if no eligible one is healthy.
    #[must_use]
    pub fn choose(&self, now: Timestamp, constraints: &Constraints<'_>) -> Option<Choice> {
        let eligible = |upstream: &&Upstream| self.exclusion(now, upstream, constraints).is_none();
        let healthy = |upstream: &&Upstream| self.is_healthy(now, upstream);
        let eligible: Vec<&Upstream> = self.upstreams.values().filter(eligible).collect();
        let healthy: Vec<&Upstream> = eligible.iter().copied().filter(healthy).collect();
        let candidates = if healthy.is_empty() {
            eligible
        } else {
            healthy
        };
        let choice = match constraints.prompt {
            Some(prompt) => engine::choose(now, self, &candidates, constraints, prompt),
            None => plain::choose(now, &candidates, constraints),
        };
        choice.map(|choice| Choice {
            software: self.software(&self.upstreams[&choice.id].entry),
            ..choice
        })
    }

    /// Records that a request is sent to the chosen upstream.
    pub fn begin(&mut self, choice: &Choice, prompt: Option<&Prompt>) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.own.requests += 1;
            upstream.own.pending_tokens += choice.uncached_tokens;
            if let Some(prompt) = prompt {
                upstream.cache.add(&prompt.parts);
                let shared = prompt.shared_parts();
                if !shared.is_empty() && self.prefills.len() < MAX_PREFILLS {
                    self.prefills.insert((choice.id.clone(), shared.to_vec()));
                }
            }
        }
    }

    /// Returns the shared parts sent to engines since the last call, for a report to other routers.
    pub fn take_prefills(&mut self) -> Vec<(Name, Vec<Part>)> {
        std::mem::take(&mut self.prefills).into_iter().collect()
    }

    /// Records the shared parts that another router reports to have sent to engines.
    pub fn add_prefills(&mut self, prefills: &[(Name, Vec<Part>)]) {
        for (id, parts) in prefills {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.cache.add(parts);
            }
        }
    }

    /// Records that an engine has processed the prompt of a request, or no longer has to.
    pub fn record_prefill_done(&mut self, choice: &Choice) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.own.pending_tokens = upstream
                .own
                .pending_tokens
                .saturating_sub(choice.uncached_tokens);
        }
    }

    /// Records that a request no longer runs at the upstream.
    pub fn end(&mut self, choice: &Choice) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            upstream.own.requests = upstream.own.requests.saturating_sub(1);
        }
    }

    /// Records a complete response. Ends the backoff.
    pub fn record_success(&mut self, now: Timestamp, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_result(now, false);
            upstream.backoff = Span::ZERO;
            upstream.unavailable_until = Timestamp::ZERO;
        }
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Timestamp, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_result(now, true);
        }
    }

    /// Records that an upstream could not be reached. It gets no request during a backoff that doubles
    /// with each consecutive failure.
    pub fn record_unreachable(&mut self, now: Timestamp, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_result(now, true);
            // Requests that fail during the backoff count as the same failure.
            if upstream.unavailable_until <= now {
                let doubled = Span::from_micros(upstream.backoff.as_micros() * 2);
                upstream.backoff = doubled.max(MIN_BACKOFF).min(MAX_BACKOFF);
                upstream.unavailable_until = now + upstream.backoff;
            }
        }
    }
}
