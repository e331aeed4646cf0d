//! The state of an engine.

use std::{
    cell::{RefCell, RefMut},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep_until;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, Notify};

use super::{batch, cache, report, stats, weights, Fencing, Options, CRASH_EXIT_CODE};
use crate::{history, http};

/// Maximum delay of a step for which the next steps compensate. After a longer delay, the schedule
/// restarts.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

/// Maximum number of KV caches kept, both of ended requests and imported ones.
const MAX_KV_CACHES: usize = 256;

/// Time after the leaving signal within which new requests do not count as late, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;

/// What a crash does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Exit the process.
    #[serde(default)]
    pub exit: bool,
    /// Time without a listener, in milliseconds.
    #[serde(default)]
    pub down_ms: u64,
}

/// KV cache of a request, as exported to another engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Kv {
    /// Hash of the prompt.
    pub(super) prompt: u64,
    /// Index of the next token.
    pub(super) next: u64,
}

/// The body of a request to generate tokens.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Generate {
    pub(super) request_id: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) resume_from: u64,
}

/// An order to load models and to unload all others.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    pub(super) fence: u64,
    #[serde(default)]
    pub(super) models: Vec<String>,
    #[serde(default)]
    pub(super) role: String,
}

pub(super) struct State {
    pub(super) name: String,
    pub(super) options: Options,
    pub(super) history: history::Writer,
    batch: batch::Batch,
    pub(super) cache: cache::Cache,
    pub(super) load: report::Load,
    kv: IndexMap<String, Kv>,
    pub(super) stats: stats::Stats,
    pub(super) role: String,
    /// Factor of the step duration, and the time at which it ends.
    slowdown: (f64, Option<Instant>),
    /// When the engine was told that it is leaving.
    leaving: Option<Instant>,
    /// Number of the last execution.
    executions: u64,
    /// Number of the last order. A crash increments it too, which ends the loading of models.
    orders: u64,
}

/// One engine. Clones share the same state.
#[derive(Clone)]
pub struct Engine {
    state: Rc<RefCell<State>>,
    wake: Rc<Notify>,
    outage: Rc<http::Outage>,
}

impl Engine {
    pub(super) fn new(name: String, options: Options, history: history::Writer) -> Self {
        let cache = cache::Cache::new(options.cache_blocks, options.event_lag, options.event_gap);
        let state = State {
            name,
            batch: batch::Batch::default(),
            cache,
            load: report::Load::new(options.load_lag),
            kv: IndexMap::new(),
            stats: stats::Stats::default(),
            role: String::new(),
            slowdown: (1.0, None),
            leaving: None,
            executions: 0,
            orders: 0,
            options,
            history,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            wake: Rc::default(),
            outage: Rc::default(),
        }
    }

    pub(super) fn outage(&self) -> Rc<http::Outage> {
        Rc::clone(&self.outage)
    }

    pub(super) fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Runs the steps of the batch, forever.
    pub(super) async fn run_steps(self) {
        let mut due = Instant::now();
        loop {
            let step = self.begin_step();
            let Some(step) = step else {
                self.wake.notified().await;
                due = Instant::now();
                continue;
            };
            let now = Instant::now();
            if now.saturating_duration_since(due) > MAX_CATCH_UP {
                due = now;
            }
            due += step;
            sleep_until(due.into()).await;
            self.state().finish_step(step);
        }
    }

    /// Begins a step and returns its duration, or nothing if the batch is empty.
    fn begin_step(&self) -> Option<Duration> {
        let mut state = self.state();
        let crashes = state.admit();
        if crashes {
            let crash = state.options.crash;
            drop(state);
            self.crash(crash);
            return None;
        }
        state.record_load();
        if state.batch.running.is_empty() {
            return None;
        }
        let chunk = state.options.prefill_chunk;
        let prefill = state.batch.plan_prefill(chunk);
        state.stats.prefill_tokens += prefill;
        let running = state.batch.running.len();
        let factor = state.slowdown_factor();
        Some(state.options.timing.step(running, prefill).mul_f64(factor))
    }

    /// Queues a request. Returns its execution number and the receiver of its lines.
    pub(super) fn submit(
        &self,
        body: Generate,
        mut request: history::Request,
    ) -> (u64, mpsc::UnboundedReceiver<batch::LineResult>) {
        let (sender, lines) = mpsc::unbounded_channel();
        if request.request_id.is_empty() {
            request.request_id.clone_from(&body.request_id);
        }
        let mut state = self.state();
        state.executions += 1;
        let number = state.executions;
        let total = batch::response_tokens(&body.prompt, body.max_tokens);
        let imported = state.kv.get(&body.request_id).is_some_and(|kv| {
            kv.prompt == fingerprint(&body.prompt) && kv.next >= body.resume_from
        });
        state.batch.waiting.push_back(batch::Execution {
            number,
            id: body.request_id,
            request,
            prompt: body.prompt,
            first: body.resume_from,
            next: body.resume_from,
            total: total.max(body.resume_from),
            prefill: 0,
            imported,
            arrived: Instant::now(),
            sender,
        });
        if state.leaving_ms().is_some_and(|ms| ms > LEAVING_GRACE_MS) {
            state.stats.late += 1;
        }
        state.record_load();
        drop(state);
        self.wake.notify_one();
        (number, lines)
    }

    /// Cancels an execution; has no effect if it has ended.
    pub(super) fn cancel(&self, number: u64) {
        self.state().cancel(|execution| execution.number == number);
    }

    /// Cancels all executions of a request and returns their number.
    pub(super) fn cancel_request(&self, id: &str) -> usize {
        self.state().cancel(|execution| execution.id == id)
    }

    /// Carries out an order. The error is the newer fencing token if the order is refused.
    pub(super) fn order(&self, order: Order) -> Result<(), u64> {
        let mut state = self.state();
        state.apply_order(order)?;
        let number = state.orders;
        match state.options.weights.clone() {
            Some(base) => {
                actix_rt::spawn(weights::load(self.clone(), base, number));
            }
            None => state.stats.loaded = state.stats.models.clone(),
        }
        Ok(())
    }

    /// Drops all streams and caches, and exits the process or closes the listener for a time.
    pub fn crash(&self, crash: Crash) {
        self.state().record_crash();
        if crash.exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.outage
            .begin(Some(Duration::from_millis(crash.down_ms)));
    }

    /// Multiplies the duration of steps by `factor`, for a time or until the next call.
    pub fn slow(&self, factor: f64, duration: Option<Duration>) {
        let until = duration.map(|duration| Instant::now() + duration);
        self.state().slowdown = (factor, until);
    }

    /// Sets whether the engine has been told that it is leaving.
    pub fn leave(&self, leaving: bool) {
        let mut state = self.state();
        state.leaving = leaving.then(Instant::now);
        if leaving {
            let line = state.history_line(history::Event::Leave, None);
            state.history.write(&line);
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> stats::Stats {
        let state = self.state();
        let mut stats = state.stats.clone();
        stats.running = state.batch.running.len();
        stats.waiting = state.batch.waiting.len();
        stats.cache_blocks = state.cache.len();
        stats
    }
}

fn fingerprint(prompt: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(prompt.as_bytes())
}

impl State {
    /// Moves waiting requests into the batch. Returns whether one of them crashes the engine.
    fn admit(&mut self) -> bool {
        while let Some(mut execution) = self.batch.admit(self.options.batch_limit) {
            let now = Instant::now();
            let uncached = self.cache.admit(&execution.prompt, now);
            execution.prefill = if execution.imported {
                0
            } else {
                uncached + execution.first
            };
            let mut line = self.history_line(history::Event::Start, Some(&execution));
            line.queued_us = now.duration_since(execution.arrived).as_micros() as u64;
            line.leaving_ms = self.leaving_ms();
            self.history.write(&line);
            self.stats.started += 1;
            self.team_stats(&execution.request.team).started += 1;
            let crashes = execution.prompt.contains("#crash");
            self.batch.running.push(execution);
            if crashes {
                return true;
            }
        }
        let running = self.batch.running.len();
        self.stats.running_peak = self.stats.running_peak.max(running);
        false
    }

    /// Finishes a step that took the duration `step`.
    fn finish_step(&mut self, step: Duration) {
        let step_us = step.as_micros() as u64;
        self.stats.busy_us += step_us;
        let requests = self
            .batch
            .running
            .iter()
            .map(|execution| &execution.request);
        let teams: Vec<_> = requests.map(|request| request.team.clone()).collect();
        for team in &teams {
            self.stats.slot_us += step_us;
            self.team_stats(team).slot_us += step_us;
        }
        let done = self.batch.advance();
        for execution in done {
            execution.send_end();
            self.record_end(history::Event::End, &execution);
        }
        self.record_load();
    }

    /// Records the end of an execution that had started.
    fn record_end(&mut self, event: history::Event, execution: &batch::Execution) {
        let line = self.history_line(event, Some(execution));
        self.history.write(&line);
        let ended = u64::from(event == history::Event::End);
        self.stats.ended += ended;
        self.stats.cancelled += u64::from(event == history::Event::Cancel);
        self.stats.tokens += execution.sent_tokens();
        let team = self.team_stats(&execution.request.team);
        team.ended += ended;
        team.tokens += execution.sent_tokens();
        self.keep_kv(execution);
    }

    fn keep_kv(&mut self, execution: &batch::Execution) {
        let kv = Kv {
            prompt: fingerprint(&execution.prompt),
            next: execution.next,
        };
        self.import_kv(execution.id.clone(), kv);
    }

    pub(super) fn import_kv(&mut self, id: String, kv: Kv) {
        self.kv.insert(id, kv);
        if self.kv.len() > MAX_KV_CACHES {
            self.kv.shift_remove_index(0);
        }
    }

    pub(super) fn export_kv(&self, id: &str) -> Option<Kv> {
        let mut running = self.batch.running.iter();
        match running.find(|execution| execution.id == id) {
            Some(execution) => Some(Kv {
                prompt: fingerprint(&execution.prompt),
                next: execution.next,
            }),
            None => self.kv.get(id).cloned(),
        }
    }

    fn cancel(&mut self, matches: impl Fn(&batch::Execution) -> bool) -> usize {
        let removed = self.batch.remove(matches);
        for (started, execution) in &removed {
            if *started {
                self.record_end(history::Event::Cancel, execution);
            }
        }
        self.record_load();
        removed.len()
    }

    fn record_crash(&mut self) {
        self.stats.crashes += 1;
        let removed = self.batch.remove(|_| true);
        let line = self.history_line(history::Event::Crash, None);
        self.history.write(&line);
        for (started, execution) in &removed {
            execution.send_crash();
            if *started {
                self.record_end(history::Event::Crash, execution);
            }
        }
        self.cache.clear();
        self.kv.clear();
        self.stats.fence = 0;
        self.stats.models.clear();
        self.stats.loaded.clear();
        self.orders += 1;
        self.record_load();
    }

    /// Returns the first model of order number `order` that is not loaded, or nothing if the order
    /// is not the last one.
    pub(super) fn next_model(&self, order: u64) -> Option<String> {
        let stats = &self.stats;
        let mut missing = stats.models.iter().filter(|m| !stats.loaded.contains(m));
        missing.next().filter(|_| order == self.orders).cloned()
    }

    /// Records that a model was loaded, if order number `order` is the last one.
    pub(super) fn record_loaded(&mut self, order: u64, model: String) {
        if order == self.orders {
            self.stats.loaded.push(model);
        }
    }

    fn apply_order(&mut self, order: Order) -> Result<(), u64> {
        let current = self.stats.fence;
        if order.fence < current && self.options.fencing == Fencing::Checked {
            self.stats.orders_refused += 1;
            return Err(current);
        }
        self.stats.fence = order.fence;
        self.stats.models = order.models;
        let models = &self.stats.models;
        self.stats.loaded.retain(|model| models.contains(model));
        self.orders += 1;
        self.role = order.role;
        Ok(())
    }

    fn history_line(
        &self,
        event: history::Event,
        execution: Option<&batch::Execution>,
    ) -> history::Line {
        history::Line {
            time_us: history::now_us(),
            upstream: self.name.clone(),
            event,
            run: execution.map_or(0, |execution| execution.number),
            request: execution
                .map(|execution| execution.request.clone())
                .unwrap_or_default(),
            first: execution.map_or(0, |execution| execution.first),
            tokens: execution.map_or(0, batch::Execution::sent_tokens),
            queued_us: 0,
            leaving_ms: None,
            digest: String::new(),
        }
    }

    fn team_stats(&mut self, team: &str) -> &mut stats::TeamStats {
        self.stats.teams.entry(team.to_owned()).or_default()
    }

    fn record_load(&mut self) {
        let (running, waiting) = (self.batch.running.len(), self.batch.waiting.len());
        self.load.record(Instant::now(), running, waiting);
    }

    fn slowdown_factor(&mut self) -> f64 {
        if self.slowdown.1.is_some_and(|until| Instant::now() >= until) {
            self.slowdown = (1.0, None);
        }
        self.slowdown.0
    }

    pub(super) fn leaving_ms(&self) -> Option<u64> {
        let since = self.leaving?;
        u64::try_from(since.elapsed().as_millis()).ok()
    }
}
