//! The router process: its state, and how tasks reach it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

use tokio::sync::Notify;
use tsw_base::{
    host,
    time::{Span, Tick},
};
use tsw_config::settings;
use tsw_event::{emit, Event};
use tsw_wire::message::Message;

use crate::{
    call::{Call, Rules},
    clock::{self, Clock},
    metrics::{self, Metrics},
    plan::Plan,
    recent,
    refusal::Refusal,
    reply::Outcome,
    state::State,
    task,
};

/// Whether the router takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Bundle or host list are not loaded yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes its work.
    Draining,
}

/// Time for which an idle connection to an upstream is kept. Common servers close theirs after 5 s.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

fn client() -> awc::Client {
    let connector = awc::Connector::new()
        .limit(0)
        .timeout(Duration::from_secs(1))
        .conn_keep_alive(KEEP_ALIVE);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Messages of this router to itself that are delivered after one decision. The rest waits for the
/// next one, so that two controllers that keep answering each other do not stop the process.
const LOCAL_MESSAGES: usize = 1_024;

/// Starts a task on the router's thread. The tasks call the router, so it does not know them.
pub type Starter = fn(Rc<Router>, task::Task);

/// The router process. All its tasks run on one thread.
pub struct Router {
    plan: Arc<Plan>,
    starter: Starter,
    id: host::Id,
    clock: Clock,
    /// Client for upstreams and platform.
    pub client: awc::Client,
    /// Metrics.
    pub metrics: Metrics,
    state: RefCell<State>,
    phase: Cell<Phase>,
    rules: RefCell<Option<Rules>>,
    recent: RefCell<recent::RingBuffer>,
    requests: Cell<u64>,
    in_flight: Cell<u64>,
    pub(crate) connections: Cell<u64>,
    pub(crate) last_request: Cell<Tick>,
    /// Asks the callers' listener to close.
    pub close_callers: Notify,
    /// Wakes the reader of the host list.
    pub hosts_wanted: Notify,
    /// Wakes the timer of the scheduling.
    pub ticks_wanted: Notify,
    pub(crate) lines: RefCell<HashMap<Box<str>, tsw_audit::Line>>,
    this: Weak<Self>,
}

impl Router {
    /// Makes the router of this thread. `starter` starts the tasks that follow from decisions.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(plan: Arc<Plan>, starter: Starter) -> Result<Rc<Self>, metrics::Error> {
        let settings = &plan.settings;
        let id = host::Id {
            host: settings.host.clone(),
            incarnation: host::Incarnation::new(clock::unix_micros() / 1_000, rand::random()),
        };
        let metrics = Metrics::new()?;
        let clock = Clock::start();
        let state = State::new(&plan, &id);
        Ok(Rc::new_cyclic(|this| Self {
            id,
            clock,
            client: client(),
            metrics,
            state: RefCell::new(state),
            phase: Cell::new(Phase::Starting),
            rules: RefCell::default(),
            recent: RefCell::default(),
            requests: Cell::new(0),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            last_request: Cell::new(Tick::ZERO),
            close_callers: Notify::new(),
            hosts_wanted: Notify::new(),
            ticks_wanted: Notify::new(),
            lines: RefCell::default(),
            this: this.clone(),
            starter,
            plan,
        }))
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &settings::Settings {
        &self.plan.settings
    }

    /// Returns what the process was started with.
    #[must_use]
    pub const fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns the identity of this process.
    #[must_use]
    pub const fn id(&self) -> &host::Id {
        &self.id
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Makes a decision: gives the state to `decide`, delivers the messages of this router to
    /// itself and starts the tasks that follow. `decide` must not call it again.
    pub fn act<R>(&self, decide: impl FnOnce(&mut State, Tick) -> R) -> R {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let result = decide(&mut state, now);
        for _ in 0..LOCAL_MESSAGES {
            let Some(message) = state.out.next_local() else {
                break;
            };
            let me = self.id.clone();
            state.receive(now, &me, message);
        }
        let tasks = state.out.take_tasks();
        drop(state);
        for task in tasks {
            if let Some(router) = self.this.upgrade() {
                (self.starter)(router, task);
            }
        }
        result
    }

    /// Reads the state.
    pub fn look<R>(&self, read: impl FnOnce(&State) -> R) -> R {
        read(&self.state.borrow())
    }

    /// Takes a message of a peer.
    pub fn receive(&self, from: &host::Id, message: Message) {
        self.act(|state, now| state.receive(now, from, message));
        self.refresh_rules();
    }

    /// Returns whether the router takes work.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns whether the router finishes its work.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.phase.get() == Phase::Draining
    }

    /// Sets whether the router takes work. A draining router stays so.
    pub fn set_phase(&self, phase: Phase) {
        if !self.is_draining() {
            self.phase.set(phase);
        }
    }

    /// Checks that the router takes new work.
    ///
    /// # Errors
    ///
    /// Returns why it does not.
    pub fn check_open(&self) -> Result<(), Refusal> {
        match self.phase.get() {
            Phase::Ready => Ok(()),
            Phase::Starting => Err(Refusal::Starting),
            Phase::Draining => Err(Refusal::Draining),
        }
    }

    /// Returns what calls are checked against, once there is a bundle.
    #[must_use]
    pub fn rules(&self) -> Option<Rules> {
        self.rules.borrow().clone()
    }

    /// Brings what calls are checked against in step with the bundle in force.
    pub fn refresh_rules(&self) {
        let revision = self.look(|state| state.board.configuration.revision());
        let known = self.rules.borrow().as_ref().map(|r| r.bundle.revision);
        if revision == 0 || known == Some(revision) {
            return;
        }
        let rules = self.look(|state| {
            let configuration = &state.board.configuration;
            configuration.bundle().map(|bundle| Rules {
                bundle: bundle.clone(),
                teams: configuration.teams().clone(),
                body_bytes: self.settings().tuning.body_bytes,
            })
        });
        *self.rules.borrow_mut() = rules;
        self.metrics
            .bundle
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Returns an identifier for a request whose caller gave none.
    #[must_use]
    pub fn new_request_id(&self) -> Arc<str> {
        self.requests.set(self.requests.get() + 1);
        let number = self.requests.get();
        Arc::from(format!("{}-{}-{number}", self.id.host, self.id.incarnation))
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Returns the recent decisions about a request.
    #[must_use]
    pub fn explain(&self, request_id: &str) -> Vec<recent::Entry> {
        self.recent.borrow().find(request_id)
    }

    /// Logs a decision about a request and keeps it for `/v1/explain/ID`.
    pub fn note(&self, event: Event, request_id: &Arc<str>, fields: &[tsw_event::Field<'_>]) {
        use std::fmt::Write as _;
        let mut all: Vec<tsw_event::Field<'_>> = Vec::with_capacity(fields.len() + 1);
        all.push(("request", request_id));
        all.extend_from_slice(fields);
        emit(event, &all);
        let mut detail = String::new();
        for (key, value) in fields {
            let _ = write!(detail, "{key}={value} ");
        }
        detail.truncate(detail.trim_end().len());
        let time = clock::unix_micros();
        let mut recent = self.recent.borrow_mut();
        recent.push(time, request_id, event, detail);
    }

    /// Counts the end of a request.
    pub fn count(&self, call: &Call, outcome: Outcome) {
        let service = call.service.as_str();
        let labels = [service, outcome.as_str()];
        self.metrics.requests.with_label_values(&labels).inc();
        let took = self.now().since(call.arrived).as_secs_f64();
        self.metrics
            .duration
            .with_label_values(&[service])
            .observe(took);
    }

    /// Notes a request that was refused before it became a call.
    pub fn rejected(&self, request_id: &Arc<str>, refusal: &Refusal) {
        self.metrics
            .refusals
            .with_label_values(&[refusal.code()])
            .inc();
        self.note(
            Event::Refused,
            request_id,
            &[("code", &refusal.code()), ("cause", refusal)],
        );
        let fields = [("request", &**request_id), ("code", refusal.code())];
        self.audit("refused", request_id, &fields);
    }

    /// Notes a call that was refused.
    pub fn refused(&self, call: &Call, refusal: &Refusal) {
        self.count(call, Outcome::NotRun);
        self.rejected(&call.request_id, refusal);
    }

    /// Notes the end of a call that was run.
    pub fn ended(&self, call: &Call, outcome: Outcome, event: Event, code: &str, detail: &str) {
        self.count(call, outcome);
        let took = self.now().since(call.arrived).as_millis();
        self.note(
            event,
            &call.request_id,
            &[
                ("team", &call.team),
                ("service", &call.service),
                ("code", &code),
                ("detail", &detail),
                ("took_ms", &took),
            ],
        );
        let fields = [
            ("request", &*call.request_id),
            ("team", call.team.as_str()),
            ("service", call.service.as_str()),
            ("code", code),
        ];
        self.audit(outcome.as_str(), &call.request_id, &fields);
    }

    /// Returns the time since the arrival of a call.
    #[must_use]
    pub fn age(&self, call: &Call) -> Span {
        self.now().since(call.arrived)
    }
}

/// Counts a request as in flight while it lives, so that a planned stop waits for it.
pub struct Flight {
    router: Option<Rc<Router>>,
}

impl Flight {
    /// Counts a request.
    #[must_use]
    pub fn start(router: &Rc<Router>) -> Self {
        router.in_flight.set(router.in_flight.get() + 1);
        router.metrics.in_flight.inc();
        Self {
            router: Some(router.clone()),
        }
    }

    /// Ends the count early.
    pub fn end(&mut self) {
        if let Some(router) = self.router.take() {
            router.in_flight.set(router.in_flight.get() - 1);
            router.metrics.in_flight.dec();
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end();
    }
}
