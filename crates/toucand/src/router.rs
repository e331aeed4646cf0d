//! The router process and access to its state.

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
    time::{Span, Timestamp},
};
use tsw_config::settings;
use tsw_event::{contained, emit, Event};
use tsw_wire::message::Message;

use crate::{
    call::{Call, Rules},
    clock::{self, Clock},
    context::Context,
    metrics::{self, Metrics},
    recent,
    refusal::Refusal,
    reply::Outcome,
    state::State,
    task,
};

/// Lifecycle phase of the router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The bundle or the host list is not loaded yet.
    Starting,
    /// It accepts requests.
    Ready,
    /// It finishes the requests in flight and accepts no new ones.
    Draining,
}

/// Keep-alive time of idle connections to upstreams, below the 5 s after which common servers close
/// them.
const UPSTREAM_KEEP_ALIVE: Duration = Duration::from_secs(3);

fn client() -> awc::Client {
    let connector = awc::Connector::new()
        .limit(0)
        .timeout(Duration::from_secs(1))
        .conn_keep_alive(UPSTREAM_KEEP_ALIVE);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Maximum number of messages from this router to itself that are delivered after one update. The rest
/// waits for the next update, so that controllers which keep answering each other cannot block the
/// process.
const MAX_LOCAL_MESSAGES: usize = 1_024;

/// Spawns a task on the router's thread. A function pointer is used because the tasks' modules depend
/// on this one.
pub type TaskSpawner = fn(Rc<Router>, task::Task);

/// The router of this process. All its tasks run on one thread.
pub struct Router {
    context: Arc<Context>,
    spawner: TaskSpawner,
    id: host::Id,
    clock: Clock,
    /// HTTP client for upstreams and the platform.
    pub client: awc::Client,
    /// Metrics.
    pub metrics: Metrics,
    state: RefCell<State>,
    phase: Cell<Phase>,
    rules: RefCell<Option<Rules>>,
    recent: RefCell<recent::RingBuffer>,
    generated_ids: Cell<u64>,
    in_flight: Cell<u64>,
    pub(crate) connections: Cell<u64>,
    pub(crate) last_request: Cell<Timestamp>,
    /// Requests that the listener for callers closes.
    pub close_callers: Notify,
    /// Wakes the task that reads the host list.
    pub wake_hosts_reader: Notify,
    /// Wakes the scheduling timer.
    pub wake_scheduling: Notify,
    pub(crate) audit_lines: RefCell<HashMap<Box<str>, tsw_audit::Line>>,
    weak_self: Weak<Self>,
}

impl Router {
    /// Creates the router of this thread. `spawner` spawns the tasks that result from state updates.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(context: Arc<Context>, spawner: TaskSpawner) -> Result<Rc<Self>, metrics::Error> {
        let settings = &context.settings;
        let id = host::Id {
            host: settings.host.clone(),
            incarnation: host::Incarnation::new(clock::unix_micros() / 1_000, rand::random())
                .after(context.earlier),
        };
        let metrics = Metrics::new()?;
        let clock = Clock::start();
        let state = State::new(&context, &id);
        Ok(Rc::new_cyclic(|weak_self| Self {
            id,
            clock,
            client: client(),
            metrics,
            state: RefCell::new(state),
            phase: Cell::new(Phase::Starting),
            rules: RefCell::default(),
            recent: RefCell::default(),
            generated_ids: Cell::new(0),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            last_request: Cell::new(Timestamp::ZERO),
            close_callers: Notify::new(),
            wake_hosts_reader: Notify::new(),
            wake_scheduling: Notify::new(),
            audit_lines: RefCell::default(),
            weak_self: weak_self.clone(),
            spawner,
            context,
        }))
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &settings::Settings {
        &self.context.settings
    }

    /// Returns the startup parameters.
    #[must_use]
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Returns the host and incarnation of this process.
    #[must_use]
    pub const fn id(&self) -> &host::Id {
        &self.id
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Calls `update` with the state, then delivers the messages of this router to itself and spawns
    /// the resulting tasks. `update` must not call this function again, since the state is borrowed.
    pub fn update_state<R>(&self, update: impl FnOnce(&mut State, Timestamp) -> R) -> R {
        let now = self.now();
        let ends_on_panic = contained::suspend();
        let mut state = self.state.borrow_mut();
        let result = update(&mut state, now);
        for _ in 0..MAX_LOCAL_MESSAGES {
            let Some(message) = state.out.next_local() else {
                break;
            };
            let me = self.id.clone();
            state.receive(now, &me, message);
        }
        let tasks = state.out.take_tasks();
        drop((state, ends_on_panic));
        for task in tasks {
            if let Some(router) = self.weak_self.upgrade() {
                (self.spawner)(router, task);
            }
        }
        result
    }

    /// Calls `read` with the state.
    pub fn read_state<R>(&self, read: impl FnOnce(&State) -> R) -> R {
        read(&self.state.borrow())
    }

    /// Handles a message of a peer.
    pub fn receive(&self, from: &host::Id, message: Message) {
        self.update_state(|state, now| state.receive(now, from, message));
        self.refresh_rules();
    }

    /// Returns the lifecycle phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns whether the router is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.phase.get() == Phase::Draining
    }

    /// Sets the lifecycle phase. A draining router does not change its phase any more.
    pub fn set_phase(&self, phase: Phase) {
        if !self.is_draining() {
            self.phase.set(phase);
        }
    }

    /// Checks that the router accepts requests.
    ///
    /// # Errors
    ///
    /// Returns why it does not.
    pub fn check_accepting(&self) -> Result<(), Refusal> {
        match self.phase.get() {
            Phase::Ready => Ok(()),
            Phase::Starting => Err(Refusal::Starting),
            Phase::Draining => Err(Refusal::Draining),
        }
    }

    /// Returns the rules that calls are checked against, or `None` before the first bundle.
    #[must_use]
    pub fn rules(&self) -> Option<Rules> {
        self.rules.borrow().clone()
    }

    /// Updates the rules that calls are checked against if the active bundle has changed.
    pub fn refresh_rules(&self) {
        let revision = self.read_state(|state| state.board.configuration.revision());
        let known = self.rules.borrow().as_ref().map(|r| r.bundle.revision);
        if revision == 0 || known == Some(revision) {
            return;
        }
        let rules = self.read_state(|state| {
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

    /// Generates an identifier for a request without one.
    #[must_use]
    pub fn new_request_id(&self) -> Arc<str> {
        self.generated_ids.set(self.generated_ids.get() + 1);
        let number = self.generated_ids.get();
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
    pub fn record_event(
        &self,
        event: Event,
        request_id: &Arc<str>,
        fields: &[tsw_event::Field<'_>],
    ) {
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

    /// Records the outcome and duration of a request in the metrics.
    pub fn record_outcome(&self, call: &Call, outcome: Outcome) {
        let service = call.service.as_str();
        let labels = [service, outcome.as_str()];
        self.metrics.requests.with_label_values(&labels).inc();
        let took = self.now().since(call.arrived).as_secs_f64();
        self.metrics
            .duration
            .with_label_values(&[service])
            .observe(took);
    }

    /// Records a request that was refused before it was parsed into a call.
    pub fn record_refused_request(&self, request_id: &Arc<str>, refusal: &Refusal) {
        self.metrics
            .refusals
            .with_label_values(&[refusal.code()])
            .inc();
        self.record_event(
            Event::Refused,
            request_id,
            &[("code", &refusal.code()), ("cause", refusal)],
        );
        let fields = [("request", &**request_id), ("code", refusal.code())];
        self.audit("refused", request_id, &fields);
    }

    /// Records a call that was refused.
    pub fn record_refusal(&self, call: &Call, refusal: &Refusal) {
        self.record_outcome(call, Outcome::NotRun);
        self.record_refused_request(&call.request_id, refusal);
    }

    /// Records the end of a call that was run.
    pub fn record_end(
        &self,
        call: &Call,
        outcome: Outcome,
        event: Event,
        code: &str,
        detail: &str,
    ) {
        self.record_outcome(call, outcome);
        let took = self.now().since(call.arrived).as_millis();
        self.record_event(
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

/// Counts a request as in flight until it is dropped, so that draining waits for it.
pub struct InFlightGuard {
    router: Option<Rc<Router>>,
}

impl InFlightGuard {
    /// Starts to count a request as in flight.
    #[must_use]
    pub fn start(router: &Rc<Router>) -> Self {
        router.in_flight.set(router.in_flight.get() + 1);
        router.metrics.in_flight.inc();
        Self {
            router: Some(router.clone()),
        }
    }

    /// Stops counting the request before the guard is dropped.
    pub fn end(&mut self) {
        if let Some(router) = self.router.take() {
            router.in_flight.set(router.in_flight.get() - 1);
            router.metrics.in_flight.dec();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end();
    }
}
