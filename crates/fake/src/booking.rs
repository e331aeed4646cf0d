//! A booking service that counts each execution.
//!
//! It does not deduplicate requests. A `POST` or `PUT` to any path is a booking: it is recorded
//! when it starts, takes the service time, and continues if the client disconnects. A `GET` of any
//! path returns past bookings, with `?key=KEY` only those of one key. A body that contains `#crash`
//! crashes each worker that starts to execute it.
//!
//! Control calls, for one worker with `?name=NAME`, otherwise for all workers of the process:
//!
//! - `POST /control/slow` `{"factor":10,"for_ms":5000}`: multiply the service time; without
//!   `for_ms` until the next call.
//! - `POST /control/time` `{"service_ms":N}`: set the service time.
//! - `POST /control/crash` `{"down_ms":3000,"exit":false}`: drop all calls in flight and refuse
//!   connections for a time, or exit the process. Past bookings are kept, so that a test can still
//!   read what was executed.
//! - `POST /control/leave` `{"leaving":true}`: mark the worker as leaving: the history then
//!   records the time since this call for each start, and executions that start more than 3 s later
//!   are counted as late.
//! - `GET /control/stats`: counters by worker name.
//! - `GET /control/bookings`: all executions.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3;

use crate::{
    engine::{Crash, CRASH_EXIT_CODE},
    history, http,
};

/// Settings of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of a booking.
    pub service_time: Duration,
    /// Maximum number of concurrent bookings; others wait inside the worker.
    pub slots: usize,
    /// What a crash does if the control call does not specify it.
    pub crash: Crash,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(50),
            slots: 8,
            crash: Crash {
                exit: false,
                down_ms: 2_000,
            },
        }
    }
}

/// One execution of a booking.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Booking {
    /// Name of the worker.
    pub worker: String,
    /// Number of the execution at this worker.
    pub number: u64,
    /// The request.
    #[serde(flatten)]
    pub request: history::Request,
    /// Wall-clock time of the start in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Wall-clock time of the end; 0 while it is running and if a crash ended it.
    pub end_us: u64,
    /// Digest of the body, in hexadecimal.
    pub digest: String,
}

/// Counters of a worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Executions that started.
    pub started: u64,
    /// Executions that ended.
    pub ended: u64,
    /// Executions that are running now.
    pub running: usize,
    /// Keys, or request identifiers without a key, that were executed more than once.
    pub repeated: u64,
    /// Crashes.
    pub crashes: u64,
    /// Executions that started more than 3 s after the worker was told that it is leaving.
    pub late: u64,
}

/// Time after the leaving signal within which new executions do not count as late, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;

struct State {
    name: String,
    options: Options,
    history: history::Writer,
    bookings: Vec<Booking>,
    /// Executions by key, or by request identifier for requests without a key.
    execution_counts: IndexMap<String, u64>,
    stats: Stats,
    /// Incremented at each crash, so that executions from before the crash do not finish after it.
    generation: u64,
    /// Factor of the service time, and the time at which it ends.
    slowdown: (f64, Option<Instant>),
    /// When the worker was told that it is leaving.
    leaving: Option<Instant>,
}

/// One worker. Clones share the same state.
#[derive(Clone)]
pub struct Worker {
    state: Rc<RefCell<State>>,
    /// Notified when a slot becomes free or the worker crashes.
    slot_freed: Rc<Notify>,
    outage: Rc<http::Outage>,
}

/// Responds to a call that was in flight at a crash. Its connection is closed by the time the
/// response is ready, so the response is never sent.
async fn crashed_response() -> http::HttpResponse {
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    http::error_response(StatusCode::SERVICE_UNAVAILABLE, &"the worker crashed")
}

/// Several workers of one process, with one control listener.
pub struct Fleet {
    addresses: Vec<(String, SocketAddr)>,
    control: http::Server,
}

impl Fleet {
    /// Starts workers inside the current `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn bind(
        names: &[(String, SocketAddr)],
        control: SocketAddr,
        options: Options,
        history: history::Writer,
    ) -> Result<Self, http::Error> {
        let mut workers = IndexMap::new();
        let mut addresses = Vec::new();
        for (name, address) in names {
            let worker = Worker::new(name.clone(), options, history.clone());
            let handler = worker.handler();
            let server = http::Server::bind(*address, Rc::clone(&handler)).await?;
            addresses.push((name.clone(), server.address()));
            actix_rt::spawn(Rc::clone(&worker.outage).supervise(server, handler));
            workers.insert(name.clone(), worker);
        }
        let workers = Rc::new(workers);
        let handler: http::Handler = Rc::new(move |call| {
            let workers = Rc::clone(&workers);
            Box::pin(
                async move { handle_control(&workers, &call).unwrap_or_else(|response| response) },
            )
        });
        let control = http::Server::bind(control, handler).await?;
        Ok(Self { addresses, control })
    }

    /// Returns the name and the address of each worker.
    #[must_use]
    pub fn addresses(&self) -> &[(String, SocketAddr)] {
        &self.addresses
    }

    /// Returns the address for control calls.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }
}

impl Worker {
    fn new(name: String, options: Options, history: history::Writer) -> Self {
        let state = State {
            name,
            options,
            history,
            bookings: Vec::new(),
            execution_counts: IndexMap::new(),
            stats: Stats::default(),
            generation: 0,
            slowdown: (1.0, None),
            leaving: None,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            slot_freed: Rc::default(),
            outage: Rc::default(),
        }
    }

    fn handler(&self) -> http::Handler {
        let worker = self.clone();
        Rc::new(move |call| {
            let worker = worker.clone();
            Box::pin(async move { worker.handle(call).await })
        })
    }

    async fn handle(self, call: http::Call) -> http::HttpResponse {
        match call.method {
            Method::GET => {
                let key = call.param("key");
                let state = self.state.borrow();
                let matches =
                    |booking: &&Booking| key.as_ref().is_none_or(|key| *key == booking.request.key);
                let bookings: Vec<_> = state.bookings.iter().filter(matches).collect();
                http::json(StatusCode::OK, &serde_json::json!({"bookings": bookings}))
            }
            Method::POST | Method::PUT => {
                // A separate task continues if the client disconnects.
                let task = actix_rt::spawn(self.execute(call));
                task.await.unwrap_or_else(|error| {
                    http::error_response(StatusCode::INTERNAL_SERVER_ERROR, &error)
                })
            }
            _ => http::not_found(&call),
        }
    }

    async fn execute(self, call: http::Call) -> http::HttpResponse {
        let generation = self.state.borrow().generation;
        while self.state.borrow().is_full() {
            self.slot_freed.notified().await;
        }
        if self.state.borrow().generation != generation {
            return crashed_response().await;
        }
        let (index, duration) = self.state.borrow_mut().start(&call);
        if call.body.windows(6).any(|part| part == b"#crash") {
            let crash = self.state.borrow().options.crash;
            self.crash(crash);
        }
        actix_rt::time::sleep(duration).await;
        if self.state.borrow().generation != generation {
            return crashed_response().await;
        }
        let booking = self.state.borrow_mut().finish(index);
        self.slot_freed.notify_one();
        http::json(StatusCode::OK, &booking)
    }

    /// Drops all calls in flight, and exits the process or closes the listener for a time.
    pub fn crash(&self, crash: Crash) {
        self.state.borrow_mut().record_crash();
        if crash.exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.outage
            .begin(Some(Duration::from_millis(crash.down_ms)));
        self.slot_freed.notify_waiters();
    }
}

impl State {
    fn is_full(&self) -> bool {
        self.stats.running >= self.options.slots
    }

    /// Records the start of an execution. Returns its index and its duration.
    fn start(&mut self, call: &http::Call) -> (usize, Duration) {
        let number = self.bookings.len() as u64 + 1;
        let booking = Booking {
            worker: self.name.clone(),
            number,
            request: history::Request::from_headers(call),
            start_us: history::now_us(),
            end_us: 0,
            digest: format!("{:016x}", xxh3::xxh3_64(&call.body)),
        };
        let line = self.history_line(history::Event::Start, Some(&booking));
        self.history.write(&line);
        let identity = booking.request.identity().to_owned();
        if !identity.is_empty() {
            let count = self.execution_counts.entry(identity).or_default();
            *count += 1;
            self.stats.repeated += u64::from(*count == 2);
        }
        self.stats.started += 1;
        self.stats.running += 1;
        if self.leaving_ms().is_some_and(|ms| ms > LEAVING_GRACE_MS) {
            self.stats.late += 1;
        }
        self.bookings.push(booking);
        let duration = self.options.service_time.mul_f64(self.slowdown_factor());
        (self.bookings.len() - 1, duration)
    }

    fn finish(&mut self, index: usize) -> Booking {
        self.bookings[index].end_us = history::now_us();
        self.stats.ended += 1;
        self.stats.running -= 1;
        let booking = self.bookings[index].clone();
        let line = self.history_line(history::Event::End, Some(&booking));
        self.history.write(&line);
        booking
    }

    fn record_crash(&mut self) {
        self.generation += 1;
        self.stats.crashes += 1;
        let line = self.history_line(history::Event::Crash, None);
        self.history.write(&line);
        // Executions that an earlier crash ended have no end time either. They are older than those
        // that are running now.
        let unfinished = self.bookings.iter().rev().filter(|b| b.end_us == 0);
        let running: Vec<_> = unfinished.take(self.stats.running).cloned().collect();
        for booking in &running {
            let line = self.history_line(history::Event::Crash, Some(booking));
            self.history.write(&line);
        }
        self.stats.running = 0;
    }

    fn history_line(&self, event: history::Event, booking: Option<&Booking>) -> history::Line {
        let start = event == history::Event::Start;
        history::Line {
            time_us: history::now_us(),
            upstream: self.name.clone(),
            event,
            run: booking.map_or(0, |booking| booking.number),
            request: booking.map(|b| b.request.clone()).unwrap_or_default(),
            first: 0,
            tokens: 0,
            queued_us: 0,
            leaving_ms: self.leaving_ms().filter(|_| start),
            digest: booking.map(|b| b.digest.clone()).unwrap_or_default(),
        }
    }

    fn slowdown_factor(&self) -> f64 {
        match self.slowdown.1 {
            Some(until) if Instant::now() >= until => 1.0,
            _ => self.slowdown.0,
        }
    }

    fn leaving_ms(&self) -> Option<u64> {
        u64::try_from(self.leaving?.elapsed().as_millis()).ok()
    }
}

#[derive(Deserialize)]
struct SlowCall {
    factor: f64,
    #[serde(default)]
    for_ms: Option<u64>,
}

#[derive(Deserialize)]
struct ServiceTimeCall {
    service_ms: u64,
}

#[derive(Deserialize)]
struct LeaveCall {
    #[serde(default)]
    leaving: Option<bool>,
}

fn handle_control(
    workers: &IndexMap<String, Worker>,
    call: &http::Call,
) -> Result<http::HttpResponse, http::HttpResponse> {
    let chosen = call.select(workers)?;
    let for_each = |action: &dyn Fn(&mut State)| {
        let states = chosen.values().map(|worker| &worker.state);
        states.for_each(|state| action(&mut state.borrow_mut()));
    };
    match call.path.as_str() {
        "/control/slow" => {
            let slow: SlowCall = call.json()?;
            let duration = slow.for_ms.map(Duration::from_millis);
            let until = duration.map(|duration| Instant::now() + duration);
            for_each(&|state| state.slowdown = (slow.factor.max(0.0), until));
        }
        "/control/time" => {
            let time = Duration::from_millis(call.json::<ServiceTimeCall>()?.service_ms);
            for_each(&|state| state.options.service_time = time);
        }
        "/control/crash" => {
            let crash: Option<Crash> = match call.body.is_empty() {
                true => None,
                false => Some(call.json()?),
            };
            for worker in chosen.values() {
                let default = worker.state.borrow().options.crash;
                worker.crash(crash.unwrap_or(default));
            }
        }
        "/control/leave" => {
            let leaving = call.json::<LeaveCall>()?.leaving.unwrap_or(true);
            for_each(&|state| {
                state.leaving = leaving.then(Instant::now);
                if leaving {
                    let line = state.history_line(history::Event::Leave, None);
                    state.history.write(&line);
                }
            });
        }
        "/control/stats" => {
            let stats: IndexMap<_, _> = chosen
                .iter()
                .map(|(name, worker)| (*name, worker.state.borrow().stats.clone()))
                .collect();
            return Ok(http::json(StatusCode::OK, &stats));
        }
        "/control/bookings" => {
            let states = chosen.values().map(|worker| worker.state.borrow());
            let all: Vec<Booking> = states.flat_map(|state| state.bookings.clone()).collect();
            return Ok(http::json(
                StatusCode::OK,
                &serde_json::json!({"bookings": all}),
            ));
        }
        _ => return Err(http::not_found(call)),
    }
    Ok(http::ok())
}
