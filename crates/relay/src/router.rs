//! The state that all requests of a router share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{watch, Notify};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{contained, emit, Event};
use tsw_flow::{
    account::{self, Work},
    budget::RetryBudget,
    origin::{Origins, SoftwareHistory},
    pool::{Entry, Usage},
    prompt::Part,
    repeat::Refusals,
    resumption::Resumptions,
    run,
    service::Service,
};
use tsw_http::pool;
use tsw_poison::{broken_connections::BrokenConnections, cause, CrashDetector, Finding, Findings};
use tsw_route::{active, table::Table, Name};

use crate::{
    assignment::{Assignments, ListState},
    memory,
    metrics::Metrics,
    origins::Running,
    past_tables::PastTables,
    prompt_keepers::KeptParts,
    protocol::Protocol,
    reservation::{StartState, Waiters},
    upstream_run::Runs,
};

/// Initial value of the clock, so that all events are later than [`Timestamp::ZERO`].
const CLOCK_START: Span = Span::from_secs(60);

/// Difference between two statements of when an upstream is warm that the delay of a heartbeat explains.
const COLD_TOLERANCE: Span = Span::from_millis(1_000);

/// Limits on the retries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Window over which requests and retries are counted.
    pub window: Span,
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed for the whole fleet beyond that.
    pub slack: f64,
}

/// Options of a router, fixed at its start.
pub struct Options {
    /// Its failure domain.
    pub domain: Name,
    /// Limits on retries.
    pub retries: RetryLimits,
    /// Header conventions used with upstreams and clients.
    pub protocol: Box<dyn Protocol>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Maximum number of bytes that all requests buffer.
    pub memory_bytes: usize,
}

/// A router's load and recent work for one service, as reported to other routers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReport {
    /// The service.
    pub service: Name,
    /// Requests and pending tokens by upstream.
    pub usage: Vec<(Name, Usage)>,
    /// Prompt parts whose prefill was started since the last report, by upstream.
    pub prefills: Vec<(Name, Vec<Part>)>,
    /// Recent work by team.
    pub teams: Vec<(Name, Work)>,
}

impl ServiceReport {
    fn is_empty(&self) -> bool {
        self.usage.is_empty() && self.teams.is_empty()
    }
}

/// The state that all requests of a router share.
pub struct Router {
    pub(crate) domain: Name,
    pub(crate) protocol: Box<dyn Protocol>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The bytes that requests buffer.
    pub memory: Rc<memory::Account>,
    pub(crate) connections: RefCell<pool::Pool>,
    pub(crate) services: RefCell<IndexMap<Name, Service>>,
    pub(crate) waiters: RefCell<Waiters>,
    pub(crate) start_states: RefCell<IndexMap<Name, StartState>>,
    current: RefCell<active::ActiveTable>,
    entries: RefCell<Vec<Entry>>,
    /// Failure domains whose upstreams get no new requests.
    evacuated: RefCell<IndexSet<Name>>,
    /// When the runs of upstreams that are cold will be warm.
    cold_runs: RefCell<run::Map<Timestamp>>,
    owned: RefCell<IndexSet<Name>>,
    pub(crate) crash_detector: RefCell<CrashDetector>,
    pub(crate) broken_connections: RefCell<BrokenConnections>,
    /// Finds what different requests that crash upstreams have in common.
    pub(crate) cause_finder: RefCell<cause::Finder>,
    /// Findings about whole requests for the other routers.
    pub(crate) findings: RefCell<Vec<Finding>>,
    /// Findings for the other routers that each are a message of their own: reports about causes, and
    /// reminders.
    pub(crate) messages_to_peers: RefCell<Vec<Findings>>,
    /// When the other routers were last reminded of what is refused.
    pub(crate) reminded_at: Cell<Timestamp>,
    /// Notified when there are findings for the other routers.
    pub findings_ready: Notify,
    /// Notified when a request arrives for a service with an upstream that states a rate.
    pub credits_needed: Notify,
    /// When the last report of each other router that has work arrived, and whether it is busy.
    peer_reports: RefCell<IndexMap<Name, (Timestamp, bool)>>,
    pub(crate) origins: RefCell<Origins>,
    pub(crate) software: RefCell<SoftwareHistory>,
    pub(crate) running: RefCell<Running>,
    pub(crate) runs: Runs,
    pub(crate) kept_parts: KeptParts,
    /// Which software gets the streams of each service.
    pub(crate) assignments: RefCell<Assignments>,
    pub(crate) list_state: ListState,
    /// Longest time for which the clients of each team waited for a stream.
    pub(crate) longest_waits: RefCell<IndexMap<Name, Span>>,
    pub(crate) resumptions: RefCell<Resumptions>,
    /// Requests that were refused by any router.
    pub refusals: RefCell<Refusals>,
    pub(crate) past_tables: RefCell<PastTables>,
    /// Longest timeout of a stream route so far.
    pub(crate) longest_stream: Cell<Span>,
    retries: RetryLimits,
    router_count: Cell<usize>,
    report_interval: Cell<Span>,
    /// Time of the last request for a slot, and an exponentially decaying count of such requests.
    recent_requests: Cell<(Timestamp, f64)>,
    started_at: Instant,
    /// Whether the requests in flight are to be answered now.
    pub(crate) stopping: watch::Sender<bool>,
}

impl Router {
    /// Creates a router without a configuration.
    #[must_use]
    pub fn new(options: Options) -> Rc<Self> {
        Rc::new(Self {
            domain: options.domain,
            protocol: options.protocol,
            metrics: options.metrics,
            memory: memory::Account::new(options.memory_bytes),
            connections: RefCell::default(),
            services: RefCell::default(),
            waiters: RefCell::default(),
            start_states: RefCell::default(),
            current: RefCell::default(),
            entries: RefCell::default(),
            evacuated: RefCell::default(),
            cold_runs: RefCell::default(),
            owned: RefCell::default(),
            crash_detector: RefCell::new(CrashDetector::without_isolation()),
            broken_connections: RefCell::default(),
            cause_finder: RefCell::default(),
            findings: RefCell::default(),
            messages_to_peers: RefCell::default(),
            reminded_at: Cell::default(),
            findings_ready: Notify::new(),
            credits_needed: Notify::new(),
            peer_reports: RefCell::default(),
            origins: RefCell::default(),
            software: RefCell::default(),
            running: RefCell::default(),
            runs: Runs::default(),
            kept_parts: KeptParts::default(),
            assignments: RefCell::default(),
            list_state: ListState::default(),
            longest_waits: RefCell::default(),
            resumptions: RefCell::default(),
            refusals: RefCell::default(),
            past_tables: RefCell::default(),
            longest_stream: Cell::default(),
            retries: options.retries,
            router_count: Cell::new(1),
            report_interval: Cell::default(),
            recent_requests: Cell::default(),
            started_at: Instant::now(),
            stopping: watch::Sender::new(false),
        })
    }

    /// Returns the current time of the router's monotonic clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        Timestamp::ZERO + CLOCK_START + Span::from_micros(elapsed)
    }

    /// Returns the time since the router was created.
    #[must_use]
    pub fn uptime(&self) -> Span {
        self.now().since(Timestamp::ZERO + CLOCK_START)
    }

    /// Ends all requests in flight with a final response, or cuts a response that has begun.
    pub fn end_requests(&self) {
        self.stopping.send_replace(true);
    }

    /// Returns the active table.
    #[must_use]
    pub fn table(&self) -> Option<Rc<Table>> {
        self.current.borrow().table().cloned()
    }

    /// Activates a table if it is newer than the active one, and returns whether it did.
    pub fn replace_table_if_newer(self: &Rc<Self>, table: Table) -> bool {
        let before = self.table();
        let adopted = self.current.borrow_mut().replace_if_newer(table);
        if adopted {
            if let Some(table) = self.table() {
                self.record_stream_timeouts(&table);
                self.record_replaced_table(before, &table);
            }
            self.configure();
        }
        adopted
    }

    /// Sets the upstreams that may be used, those of them that the platform does not list any more, and those that this router
    /// owns.
    pub fn set_entries(
        self: &Rc<Self>,
        entries: Vec<Entry>,
        kept: &IndexSet<Name>,
        owned: IndexSet<Name>,
    ) {
        // Other routers can read only what is listed.
        let listed = entries.iter().filter(|entry| !kept.contains(&entry.id));
        self.record_assignments(listed);
        *self.entries.borrow_mut() = entries;
        *self.owned.borrow_mut() = owned;
        self.configure();
    }

    /// Sets the listed runs that may have ended, since an entry of another run was written later.
    pub fn set_doubtful_runs<'a>(&self, runs: impl Iterator<Item = (&'a Name, u64)> + Clone) {
        for service in self.services.borrow_mut().values_mut() {
            service.pool.set_doubtful_runs(runs.clone());
        }
    }

    /// Sets the failure domains whose upstreams get no new requests. Requests that run there go on.
    pub fn set_evacuated(self: &Rc<Self>, domains: IndexSet<Name>) {
        *self.evacuated.borrow_mut() = domains;
        self.configure();
    }

    /// Records that a run of an upstream is cold for `left`, and returns whether that is longer than known before.
    pub fn record_cold(&self, entry: &Entry, left: Span) -> bool {
        let now = self.now();
        let warm_at = now + left;
        let mut cold_runs = self.cold_runs.borrow_mut();
        cold_runs.retain(|warm_at| now < *warm_at);
        let known = cold_runs.get(&entry.id, entry.started_at).copied();
        cold_runs.insert(&entry.id, entry.started_at, warm_at, |_| true);
        known.is_none_or(|known| warm_at.since(known) > COLD_TOLERANCE)
    }

    /// Limits the rates of the upstreams of a service that are cold.
    fn apply_cold_runs(&self, name: &Name, service: &mut Service) {
        let (now, cold_runs) = (self.now(), self.cold_runs.borrow());
        if cold_runs.is_empty() {
            return;
        }
        let entries = self.entries.borrow();
        for entry in entries.iter().filter(|entry| entry.service == *name) {
            let warm_at = cold_runs.get(&entry.id, entry.started_at).copied();
            let Some(warm_at) = warm_at.filter(|warm_at| now < *warm_at) else {
                continue;
            };
            if service.record_cold(now, &entry.id, entry.started_at, warm_at) {
                emit(
                    Event::UpstreamCold,
                    &[
                        ("upstream", &entry.id),
                        ("service", name),
                        ("left_ms", &warm_at.since(now).as_millis()),
                    ],
                );
            }
        }
    }

    fn configure(self: &Rc<Self>) {
        let Some(table) = self.table() else { return };
        {
            let mut services = self.services.borrow_mut();
            // Services missing from the new table are kept, since they may still run requests.
            for (name, config) in &table.services {
                let service = services.entry(name.clone()).or_insert_with(|| {
                    let RetryLimits {
                        window,
                        ratio,
                        slack,
                    } = self.retries;
                    Service::new(RetryBudget::new(window, ratio, slack))
                });
                service.configure(config, &table.limits);
            }
            let (entries, evacuated) = (self.entries.borrow(), self.evacuated.borrow());
            for (name, service) in services.iter_mut() {
                let own = entries.iter().filter(|entry| entry.service == *name);
                let own = own.map(|entry| Entry {
                    leaving: entry.leaving || evacuated.contains(&entry.domain),
                    ..entry.clone()
                });
                service.pool.set_entries(own.collect(), service.engine());
                service.pool.set_owned(&self.owned.borrow());
                self.apply_cold_runs(name, service);
            }
        }
        self.count_upstreams();
        self.start_all_queued();
    }

    /// Updates the metrics of the upstreams that accept requests, and of those that state a rate.
    pub(crate) fn count_upstreams(&self) {
        let now = self.now();
        let services = self.services.borrow();
        let accepting: usize = services
            .values()
            .map(|service| service.pool.accepting_count())
            .sum();
        self.metrics.upstreams.set(accepting as i64);
        let limited: usize = services
            .values()
            .map(|service| service.pool.limited_count(now))
            .sum();
        self.metrics.limited.set(limited as i64);
    }

    /// Sets the number of running routers, including this one.
    pub fn set_router_count(&self, routers: usize) {
        self.router_count.set(routers.max(1));
    }

    /// Returns the number of running routers, including this one.
    #[must_use]
    pub fn router_count(&self) -> usize {
        self.router_count.get()
    }

    /// Returns the exponentially decaying count of requests for slots at this router.
    #[must_use]
    pub fn recent_requests(&self) -> f64 {
        let (at, requests) = self.recent_requests.get();
        requests * (-self.now().since(at).as_secs_f64() / account::DECAY_S).exp()
    }

    pub(crate) fn record_slot_request(&self) {
        self.recent_requests
            .set((self.now(), self.recent_requests() + 1.0));
    }

    /// Sets the interval at which the client routers send their reports.
    pub fn set_report_interval(&self, interval: Span) {
        self.report_interval.set(interval);
    }

    /// Returns the interval at which the client routers send their reports.
    #[must_use]
    pub fn report_interval(&self) -> Span {
        self.report_interval.get()
    }

    /// Applies the report of another router and whether that router is busy. An empty report removes
    /// the router.
    pub fn set_peer_report(self: &Rc<Self>, router: &Name, reports: &[ServiceReport], busy: bool) {
        let now = self.now();
        if reports.is_empty() {
            self.peer_reports.borrow_mut().swap_remove(router);
        } else {
            let mut peer_reports = self.peer_reports.borrow_mut();
            peer_reports.insert(router.clone(), (now, busy));
        }
        for (name, service) in self.services.borrow_mut().iter_mut() {
            let found = reports.iter().find(|report| report.service == *name);
            if let Some(found) = found {
                service.pool.add_prefills(&found.prefills);
            }
            let (usage, teams) = match found {
                Some(found) => (found.usage.clone(), found.teams.clone()),
                None => Default::default(),
            };
            service.pool.set_peer_report(router, usage);
            service.accounts.set_peer_report(now, router, teams);
        }
        self.start_all_queued();
    }

    /// Removes the reports of other routers unless `keep` returns true for the router and the age of
    /// its report, and returns the routers whose reports were removed.
    pub fn retain_peer_reports(self: &Rc<Self>, keep: impl Fn(&str, Span) -> bool) -> Vec<Name> {
        let now = self.now();
        let peer_reports = self.peer_reports.borrow();
        let expired = peer_reports
            .iter()
            .filter(|(router, (at, _))| !keep(router, now.since(*at)));
        let expired: Vec<Name> = expired.map(|(router, _)| router.clone()).collect();
        drop(peer_reports);
        expired
            .iter()
            .for_each(|router| self.set_peer_report(router, &[], false));
        expired
    }

    /// Returns the age of the oldest report among the other routers that are busy.
    #[must_use]
    pub fn oldest_report_age(&self) -> Span {
        let now = self.now();
        let peer_reports = self.peer_reports.borrow();
        let ages = peer_reports.values().filter(|(_, busy)| *busy);
        let ages = ages.map(|(at, _)| now.since(*at));
        ages.max().unwrap_or(Span::ZERO)
    }

    /// Returns this router's report for each service, and takes the prefills and team work recorded
    /// for it.
    pub fn take_reports(&self) -> Vec<ServiceReport> {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let reports = services.iter_mut().map(|(name, service)| ServiceReport {
            service: name.clone(),
            usage: service
                .pool
                .own_usage()
                .map(|(id, used)| (id.clone(), used))
                .collect(),
            prefills: service.pool.take_prefills(),
            teams: service.accounts.take_report(now).collect(),
        });
        reports.filter(|report| !report.is_empty()).collect()
    }

    /// Returns whether any service runs on engines with few slots.
    #[must_use]
    pub fn has_few_slots(&self) -> bool {
        let services = self.services.borrow();
        services.values().any(Service::has_few_slots)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        let services = self.services.borrow();
        services.values().map(|service| service.queue.len()).sum()
    }

    /// Closes connections whose idle timeout has passed.
    pub fn expire_connections(&self) {
        self.connections.borrow_mut().expire(Instant::now());
    }

    /// Counts the outcome of a stream that a client resumes.
    pub(crate) fn count_resume_outcome(&self, service: &Name, outcome: &str) {
        let outcomes = &self.metrics.resume_outcomes;
        outcomes.with_label_values(&[&**service, outcome]).inc();
    }

    pub(crate) fn with_service<R>(
        &self,
        name: &Name,
        action: impl FnOnce(&mut Service) -> R,
    ) -> Option<R> {
        let _ends_on_panic = contained::suspend();
        self.services.borrow_mut().get_mut(name).map(action)
    }
}
