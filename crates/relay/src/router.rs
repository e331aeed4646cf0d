//! The state that all requests of a router share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::{Span, Tick};
use tsw_flow::{
    account::{self, Work},
    budget::RetryBudget,
    pool::{Entry, Usage},
    prompt::Part,
    service::Service,
};
use tsw_http::pool;
use tsw_poison::{breaks::Breaks, CrashDetector, Finding};
use tsw_route::{active, table::Table, Name};

use crate::{
    dialect::Dialect,
    metrics::Metrics,
    wait::{Pumped, Waiters},
};

/// Value of the clock at the start, so that all events are later than [`Tick::ZERO`].
const CLOCK_START: Span = Span::from_secs(1);

/// What the operators of the fleet promise about attempts beyond the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Window over which they are counted.
    pub window: Span,
    /// Extra attempts for each request.
    pub ratio: f64,
    /// Extra attempts of the whole fleet beyond that.
    pub slack: f64,
}

/// What a router is told at its start.
pub struct Options {
    /// Its failure domain.
    pub domain: Name,
    /// Bounds of extra attempts.
    pub retries: Retries,
    /// How upstreams are spoken to.
    pub dialect: Box<dyn Dialect>,
    /// Counters.
    pub metrics: Metrics,
}

/// What one router does for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Activity {
    /// The service.
    pub service: Name,
    /// Use of upstreams.
    pub uses: Vec<(Name, Usage)>,
    /// Shared parts that upstreams were told to read since the last statement.
    pub read: Vec<(Name, Vec<Part>)>,
    /// Work of teams lately.
    pub teams: Vec<(Name, Work)>,
}

impl Activity {
    fn is_empty(&self) -> bool {
        self.uses.is_empty() && self.teams.is_empty()
    }
}

/// The state that all requests of a router share.
pub struct Router {
    pub(crate) domain: Name,
    pub(crate) dialect: Box<dyn Dialect>,
    /// Counters.
    pub metrics: Metrics,
    pub(crate) connections: RefCell<pool::Pool>,
    pub(crate) services: RefCell<IndexMap<Name, Service>>,
    pub(crate) waiters: RefCell<Waiters>,
    pub(crate) pumped: RefCell<IndexMap<Name, Pumped>>,
    current: RefCell<active::ActiveTable>,
    entries: RefCell<Vec<Entry>>,
    owned: RefCell<IndexSet<Name>>,
    pub(crate) watch: RefCell<CrashDetector>,
    pub(crate) breaks: RefCell<Breaks>,
    pub(crate) findings: RefCell<Vec<Finding>>,
    /// When each other router that has work stated it last, and whether it has much.
    stated: RefCell<IndexMap<Name, (Tick, bool)>>,
    retries: Retries,
    routers: Cell<usize>,
    statement_period: Cell<Span>,
    /// Requests for places, forgotten exponentially, and when the last one came.
    asked: Cell<(Tick, f64)>,
    start: Instant,
}

impl Router {
    /// Makes a router that knows no configuration.
    #[must_use]
    pub fn new(options: Options) -> Rc<Self> {
        Rc::new(Self {
            domain: options.domain,
            dialect: options.dialect,
            metrics: options.metrics,
            connections: RefCell::default(),
            services: RefCell::default(),
            waiters: RefCell::default(),
            pumped: RefCell::default(),
            current: RefCell::default(),
            entries: RefCell::default(),
            owned: RefCell::default(),
            watch: RefCell::new(CrashDetector::without_isolation()),
            breaks: RefCell::default(),
            findings: RefCell::default(),
            stated: RefCell::default(),
            retries: options.retries,
            routers: Cell::new(1),
            statement_period: Cell::default(),
            asked: Cell::default(),
            start: Instant::now(),
        })
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Tick {
        let elapsed = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Tick::ZERO + CLOCK_START + Span::from_micros(elapsed)
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> Option<Rc<Table>> {
        self.current.borrow().table().cloned()
    }

    /// Offers a table and returns whether it is in force now.
    pub fn offer(self: &Rc<Self>, table: Table) -> bool {
        let adopted = self.current.borrow_mut().replace_if_newer(table);
        if adopted {
            self.configure();
        }
        adopted
    }

    /// Takes the upstreams that the platform states now, and those of them that this router owns.
    pub fn set_entries(self: &Rc<Self>, entries: Vec<Entry>, owned: IndexSet<Name>) {
        *self.entries.borrow_mut() = entries;
        *self.owned.borrow_mut() = owned;
        self.configure();
    }

    fn configure(self: &Rc<Self>) {
        let Some(table) = self.table() else { return };
        {
            let mut services = self.services.borrow_mut();
            // A service that a later version drops may still run requests.
            for (name, stated) in &table.services {
                let service = services.entry(name.clone()).or_insert_with(|| {
                    let Retries {
                        window,
                        ratio,
                        slack,
                    } = self.retries;
                    Service::new(RetryBudget::new(window, ratio, slack))
                });
                service.configure(stated, &table.limits);
            }
            let entries = self.entries.borrow();
            for (name, service) in services.iter_mut() {
                let own = entries.iter().filter(|entry| entry.service == *name);
                service
                    .pool
                    .set_entries(own.cloned().collect(), service.engine());
                service.pool.set_owned(&self.owned.borrow());
            }
        }
        let services = self.services.borrow();
        let takers: usize = services
            .values()
            .map(|service| service.pool.accepting_count())
            .sum();
        self.metrics.upstreams.set(takers as i64);
        drop(services);
        self.pump_all();
    }

    /// Takes the number of routers that run, this one included.
    pub fn set_routers(&self, routers: usize) {
        self.routers.set(routers.max(1));
    }

    /// Returns the number of routers that run.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.routers.get()
    }

    /// Returns the requests for places that this router got lately, as they are forgotten.
    #[must_use]
    pub fn asked(&self) -> f64 {
        let (at, requests) = self.asked.get();
        requests * (-self.now().since(at).as_secs_f64() / account::DECAY_S).exp()
    }

    pub(crate) fn note_asked(&self) {
        self.asked.set((self.now(), self.asked() + 1.0));
    }

    /// Takes the period at which the routers that clients use state their work.
    pub fn set_statement_period(&self, period: Span) {
        self.statement_period.set(period);
    }

    /// Returns the period at which the routers that clients use state their work.
    #[must_use]
    pub fn statement_period(&self) -> Span {
        self.statement_period.get()
    }

    /// Takes what another router did for each service, and whether that is much; nothing when it ended.
    pub fn set_others(self: &Rc<Self>, router: &Name, activities: &[Activity], busy: bool) {
        let now = self.now();
        if activities.is_empty() {
            self.stated.borrow_mut().swap_remove(router);
        } else {
            let mut stated = self.stated.borrow_mut();
            stated.insert(router.clone(), (now, busy));
        }
        for (name, service) in self.services.borrow_mut().iter_mut() {
            let found = activities.iter().find(|activity| activity.service == *name);
            if let Some(found) = found {
                service.pool.add_prefills(&found.read);
            }
            let (uses, teams) = match found {
                Some(found) => (found.uses.clone(), found.teams.clone()),
                None => Default::default(),
            };
            service.pool.set_peer_report(router, uses);
            service.accounts.set_peer_report(now, router, teams);
        }
        self.pump_all();
    }

    /// Forgets what other routers stated unless `keep` holds for the router and the age of its
    /// statement, and returns those that are forgotten.
    pub fn retain_others(self: &Rc<Self>, keep: impl Fn(&str, Span) -> bool) -> Vec<Name> {
        let now = self.now();
        let stated = self.stated.borrow();
        let over = stated
            .iter()
            .filter(|(router, (at, _))| !keep(router, now.since(*at)));
        let over: Vec<Name> = over.map(|(router, _)| router.clone()).collect();
        drop(stated);
        over.iter()
            .for_each(|router| self.set_others(router, &[], false));
        over
    }

    /// Returns the age of the oldest statement of another router that has much to do.
    #[must_use]
    pub fn oldest_statement(&self) -> Span {
        let now = self.now();
        let stated = self.stated.borrow();
        let ages = stated.values().filter(|(_, busy)| *busy);
        let ages = ages.map(|(at, _)| now.since(*at));
        ages.max().unwrap_or(Span::ZERO)
    }

    /// Returns what this router does for each service, for the other routers.
    pub fn activities(&self) -> Vec<Activity> {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let activities = services.iter_mut().map(|(name, service)| Activity {
            service: name.clone(),
            uses: service
                .pool
                .own_usage()
                .map(|(id, used)| (id.clone(), used))
                .collect(),
            read: service.pool.take_prefills(),
            teams: service.accounts.take_report(now).collect(),
        });
        activities.filter(|activity| !activity.is_empty()).collect()
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let services = self.services.borrow();
        services.values().map(|service| service.queue.len()).sum()
    }

    /// Closes idle connections whose time is over.
    pub fn expire_connections(&self) {
        self.connections.borrow_mut().expire(Instant::now());
    }

    pub(crate) fn with_service<R>(
        &self,
        name: &Name,
        change: impl FnOnce(&mut Service) -> R,
    ) -> Option<R> {
        self.services.borrow_mut().get_mut(name).map(change)
    }
}
