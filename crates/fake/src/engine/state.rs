//! One engine.

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

/// Largest delay of a step that the next steps make up for.
const CATCH_UP: Duration = Duration::from_millis(50);

/// Requests whose KV cache is kept after they ended.
const KEPT_KV: usize = 256;

/// Time after the leaving signal in which new requests are not yet late, in milliseconds.
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

/// Progress of a request, as exported to another engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Kv {
    pub(super) prompt: u64,
    pub(super) next: u64,
}

/// A request to generate.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Generate {
    pub(super) request_id: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) resume_from: u64,
}

/// An order to hold models.
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
    slow: (f64, Option<Instant>),
    leaving: Option<Instant>,
    runs: u64,
    /// Changes with each order and crash, which end the loading of models.
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
            slow: (1.0, None),
            leaving: None,
            runs: 0,
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

    /// Runs the steps, forever.
    pub(super) async fn drive(self) {
        let mut due = Instant::now();
        loop {
            let step = self.begin();
            let Some(step) = step else {
                self.wake.notified().await;
                due = Instant::now();
                continue;
            };
            let now = Instant::now();
            if now.saturating_duration_since(due) > CATCH_UP {
                due = now;
            }
            due += step;
            sleep_until(due.into()).await;
            self.state().end(step);
        }
    }

    /// Begins a step and returns its length, or nothing when there is nothing to run.
    fn begin(&self) -> Option<Duration> {
        let mut state = self.state();
        let killer = state.admit();
        if killer {
            let crash = state.options.crash;
            drop(state);
            self.crash(crash);
            return None;
        }
        state.sample();
        if state.batch.running.is_empty() {
            return None;
        }
        let chunk = state.options.prefill_chunk;
        let prefill = state.batch.plan(chunk);
        state.stats.prefill_tokens += prefill;
        let running = state.batch.running.len();
        let factor = state.factor();
        Some(state.options.timing.step(running, prefill).mul_f64(factor))
    }

    /// Takes a request in. Returns its run number and the receiver of its lines.
    pub(super) fn submit(
        &self,
        body: Generate,
        mut request: history::Request,
    ) -> (u64, mpsc::UnboundedReceiver<batch::Item>) {
        let (sink, lines) = mpsc::unbounded_channel();
        if request.request_id.is_empty() {
            request.request_id.clone_from(&body.request_id);
        }
        let mut state = self.state();
        state.runs += 1;
        let number = state.runs;
        let total = batch::total(&body.prompt, body.max_tokens);
        let imported = state.kv.get(&body.request_id).is_some_and(|kv| {
            kv.prompt == fingerprint(&body.prompt) && kv.next >= body.resume_from
        });
        state.batch.waiting.push_back(batch::Run {
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
            sink,
        });
        if state.leaving_ms().is_some_and(|ms| ms > LEAVING_GRACE_MS) {
            state.stats.late += 1;
        }
        state.sample();
        drop(state);
        self.wake.notify_one();
        (number, lines)
    }

    /// Cancels a run; one that has ended is left alone.
    pub(super) fn cancel(&self, number: u64) {
        self.state().cancel(|run| run.number == number);
    }

    /// Cancels all runs of a request and returns how many there were.
    pub(super) fn cancel_request(&self, id: &str) -> usize {
        self.state().cancel(|run| run.id == id)
    }

    /// Carries an order out, or returns the newer fencing token.
    pub(super) fn order(&self, order: Order) -> Result<(), u64> {
        let mut state = self.state();
        state.order(order)?;
        let number = state.orders;
        match state.options.weights.clone() {
            Some(base) => {
                actix_rt::spawn(weights::load(self.clone(), base, number));
            }
            None => state.stats.loaded = state.stats.models.clone(),
        }
        Ok(())
    }

    /// Drops all streams and all memory, and exits or closes the listener for a time.
    pub fn crash(&self, crash: Crash) {
        self.state().fail();
        if crash.exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.outage
            .begin(Some(Duration::from_millis(crash.down_ms)));
    }

    /// Makes steps `factor` times longer, for a time or for good.
    pub fn slow(&self, factor: f64, time: Option<Duration>) {
        let until = time.map(|time| Instant::now() + time);
        self.state().slow = (factor, until);
    }

    /// Records that the engine was told that it is leaving, or that it is not leaving any more.
    pub fn leave(&self, leaving: bool) {
        let mut state = self.state();
        state.leaving = leaving.then(Instant::now);
        if leaving {
            let line = state.line(history::Event::Leave, None);
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
        while let Some(mut run) = self.batch.admit(self.options.batch_limit) {
            let now = Instant::now();
            let uncached = self.cache.admit(&run.prompt, now);
            run.prefill = if run.imported {
                0
            } else {
                uncached + run.first
            };
            let mut line = self.line(history::Event::Start, Some(&run));
            line.queued_us = now.duration_since(run.arrived).as_micros() as u64;
            line.leaving_ms = self.leaving_ms();
            self.history.write(&line);
            self.stats.started += 1;
            self.team(&run.request.team).started += 1;
            let killer = run.prompt.contains("#crash");
            self.batch.running.push(run);
            if killer {
                return true;
            }
        }
        let running = self.batch.running.len();
        self.stats.running_peak = self.stats.running_peak.max(running);
        false
    }

    fn end(&mut self, step: Duration) {
        let step_us = step.as_micros() as u64;
        self.stats.busy_us += step_us;
        let requests = self.batch.running.iter().map(|run| &run.request);
        let teams: Vec<_> = requests.map(|request| request.team.clone()).collect();
        for team in &teams {
            self.stats.slot_us += step_us;
            self.team(team).slot_us += step_us;
        }
        let done = self.batch.advance();
        for run in done {
            run.finish();
            self.settle(history::Event::End, &run);
        }
        self.sample();
    }

    /// Counts and records the end of a run that had started.
    fn settle(&mut self, event: history::Event, run: &batch::Run) {
        let line = self.line(event, Some(run));
        self.history.write(&line);
        let ended = u64::from(event == history::Event::End);
        self.stats.ended += ended;
        self.stats.cancelled += u64::from(event == history::Event::Cancel);
        self.stats.tokens += run.delivered();
        let team = self.team(&run.request.team);
        team.ended += ended;
        team.tokens += run.delivered();
        self.keep(run);
    }

    fn keep(&mut self, run: &batch::Run) {
        let kv = Kv {
            prompt: fingerprint(&run.prompt),
            next: run.next,
        };
        self.import(run.id.clone(), kv);
    }

    pub(super) fn import(&mut self, id: String, kv: Kv) {
        self.kv.insert(id, kv);
        if self.kv.len() > KEPT_KV {
            self.kv.shift_remove_index(0);
        }
    }

    pub(super) fn export(&self, id: &str) -> Option<Kv> {
        let mut running = self.batch.running.iter();
        match running.find(|run| run.id == id) {
            Some(run) => Some(Kv {
                prompt: fingerprint(&run.prompt),
                next: run.next,
            }),
            None => self.kv.get(id).cloned(),
        }
    }

    fn cancel(&mut self, matches: impl Fn(&batch::Run) -> bool) -> usize {
        let removed = self.batch.remove(matches);
        for (started, run) in &removed {
            if *started {
                self.settle(history::Event::Cancel, run);
            }
        }
        self.sample();
        removed.len()
    }

    fn fail(&mut self) {
        self.stats.crashes += 1;
        let removed = self.batch.remove(|_| true);
        let line = self.line(history::Event::Crash, None);
        self.history.write(&line);
        for (started, run) in &removed {
            run.fail();
            if *started {
                self.settle(history::Event::Crash, run);
            }
        }
        self.cache.clear();
        self.kv.clear();
        self.stats.fence = 0;
        self.stats.models.clear();
        self.stats.loaded.clear();
        self.orders += 1;
        self.sample();
    }

    /// Returns the first model of order number `order` that is not loaded, while it is the last.
    pub(super) fn next_model(&self, order: u64) -> Option<String> {
        let stats = &self.stats;
        let mut open = stats.models.iter().filter(|m| !stats.loaded.contains(m));
        open.next().filter(|_| order == self.orders).cloned()
    }

    /// Notes that a model was loaded for order number `order`.
    pub(super) fn loaded(&mut self, order: u64, model: String) {
        if order == self.orders {
            self.stats.loaded.push(model);
        }
    }

    fn order(&mut self, order: Order) -> Result<(), u64> {
        let known = self.stats.fence;
        if order.fence < known && self.options.fencing == Fencing::Checked {
            self.stats.orders_refused += 1;
            return Err(known);
        }
        self.stats.fence = order.fence;
        self.stats.models = order.models;
        let models = &self.stats.models;
        self.stats.loaded.retain(|model| models.contains(model));
        self.orders += 1;
        self.role = order.role;
        Ok(())
    }

    fn line(&self, event: history::Event, run: Option<&batch::Run>) -> history::Line {
        history::Line {
            time_us: history::now_us(),
            upstream: self.name.clone(),
            event,
            run: run.map_or(0, |run| run.number),
            request: run.map(|run| run.request.clone()).unwrap_or_default(),
            first: run.map_or(0, |run| run.first),
            tokens: run.map_or(0, batch::Run::delivered),
            queued_us: 0,
            leaving_ms: None,
            digest: String::new(),
        }
    }

    fn team(&mut self, team: &str) -> &mut stats::Team {
        self.stats.teams.entry(team.to_owned()).or_default()
    }

    fn sample(&mut self) {
        let (running, waiting) = (self.batch.running.len(), self.batch.waiting.len());
        self.load.record(Instant::now(), running, waiting);
    }

    fn factor(&mut self) -> f64 {
        if self.slow.1.is_some_and(|until| Instant::now() >= until) {
            self.slow = (1.0, None);
        }
        self.slow.0
    }

    pub(super) fn leaving_ms(&self) -> Option<u64> {
        let since = self.leaving?;
        u64::try_from(since.elapsed().as_millis()).ok()
    }
}
