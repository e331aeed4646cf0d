//! A plain service that takes bookings and counts each execution.
//!
//! It does not deduplicate. A `POST` or `PUT` to any path is a booking: it is recorded when it
//! begins, runs for the service time, and goes on when the client disconnects. A `GET` of any path
//! returns past bookings, with `?key=KEY` those of one key. `#crash` in a body makes each worker
//! crash that begins to run it.
//!
//! Control calls, for one worker with `?name=NAME`, else for all of the process:
//!
//! - `POST /control/slow` `{"factor":10,"for_ms":5000}`: longer service time.
//! - `POST /control/time` `{"service_ms":N}`: another service time.
//! - `POST /control/crash` `{"down_ms":3000,"exit":false}`: drop all calls in flight and refuse
//!   connections for a time, or exit. Past bookings are kept, as they stand for what happened.
//! - `POST /control/leave` `{"leaving":true}`: starts from now on are recorded as late.
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
    /// Time that a booking takes.
    pub service_time: Duration,
    /// Bookings that run at a time; others wait inside the worker.
    pub slots: usize,
    /// What a crash does when the control call does not say it.
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
    /// Wall-clock time of the start in microseconds since 1970.
    pub start_us: u64,
    /// Wall-clock time of the end; 0 while it runs and after a crash.
    pub end_us: u64,
    /// Digest of the body, in hexadecimal.
    pub digest: String,
}

/// Counters of a worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Executions that began.
    pub started: u64,
    /// Executions that ended.
    pub ended: u64,
    /// Executions that run now.
    pub running: usize,
    /// Keys, or request identifiers without a key, that were executed more than once.
    pub repeated: u64,
    /// Crashes.
    pub crashes: u64,
    /// Executions that began more than 3 s after the worker was told that it is leaving.
    pub late: u64,
}

/// Time after the leaving signal in which new requests are not yet late, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;

struct State {
    name: String,
    options: Options,
    history: history::Writer,
    bookings: Vec<Booking>,
    /// Executions by key, or request identifier of a request without a key.
    counts: IndexMap<String, u64>,
    stats: Stats,
    /// Changes with each crash, so that an execution from before it does not end afterwards.
    generation: u64,
    slow: (f64, Option<Instant>),
    leaving: Option<Instant>,
}

/// One worker. Clones share the same state.
#[derive(Clone)]
pub struct Worker {
    state: Rc<RefCell<State>>,
    free: Rc<Notify>,
    outage: Rc<http::Outage>,
}

/// Ends a call that was in flight at a crash. Its connection is closed by then, so the answer
/// reaches nobody.
async fn gone() -> http::Reply {
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    http::fault(StatusCode::SERVICE_UNAVAILABLE, &"the worker crashed")
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
    /// Returns why an address cannot be listened on.
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
            Box::pin(async move { command(&workers, &call).unwrap_or_else(|reply| reply) })
        });
        let control = http::Server::bind(control, handler).await?;
        Ok(Self { addresses, control })
    }

    /// Returns name and address of each worker.
    #[must_use]
    pub fn addresses(&self) -> &[(String, SocketAddr)] {
        &self.addresses
    }

    /// Returns the address for tests.
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
            counts: IndexMap::new(),
            stats: Stats::default(),
            generation: 0,
            slow: (1.0, None),
            leaving: None,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            free: Rc::default(),
            outage: Rc::default(),
        }
    }

    fn handler(&self) -> http::Handler {
        let worker = self.clone();
        Rc::new(move |call| {
            let worker = worker.clone();
            Box::pin(async move { worker.route(call).await })
        })
    }

    async fn route(self, call: http::Call) -> http::Reply {
        match call.method {
            Method::GET => {
                let key = call.param("key");
                let state = self.state.borrow();
                let matches =
                    |booking: &&Booking| key.as_ref().is_none_or(|key| *key == booking.request.key);
                let found: Vec<_> = state.bookings.iter().filter(matches).collect();
                http::json(StatusCode::OK, &serde_json::json!({"bookings": found}))
            }
            Method::POST | Method::PUT => {
                // A task of its own, so that a disconnect does not stop the execution.
                let task = actix_rt::spawn(self.execute(call));
                task.await
                    .unwrap_or_else(|error| http::fault(StatusCode::INTERNAL_SERVER_ERROR, &error))
            }
            _ => http::missing(&call),
        }
    }

    async fn execute(self, call: http::Call) -> http::Reply {
        let generation = self.state.borrow().generation;
        while self.state.borrow().full() {
            self.free.notified().await;
        }
        if self.state.borrow().generation != generation {
            return gone().await;
        }
        let (index, time) = self.state.borrow_mut().begin(&call);
        if call.body.windows(6).any(|part| part == b"#crash") {
            let crash = self.state.borrow().options.crash;
            self.crash(crash);
        }
        actix_rt::time::sleep(time).await;
        if self.state.borrow().generation != generation {
            return gone().await;
        }
        let booking = self.state.borrow_mut().end(index);
        self.free.notify_one();
        http::json(StatusCode::OK, &booking)
    }

    /// Drops all calls in flight, and exits or closes the listener for a time.
    pub fn crash(&self, crash: Crash) {
        self.state.borrow_mut().fail();
        if crash.exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.outage
            .begin(Some(Duration::from_millis(crash.down_ms)));
        self.free.notify_waiters();
    }
}

impl State {
    fn full(&self) -> bool {
        self.stats.running >= self.options.slots
    }

    fn begin(&mut self, call: &http::Call) -> (usize, Duration) {
        let number = self.bookings.len() as u64 + 1;
        let booking = Booking {
            worker: self.name.clone(),
            number,
            request: history::Request::of(call),
            start_us: history::now_us(),
            end_us: 0,
            digest: format!("{:016x}", xxh3::xxh3_64(&call.body)),
        };
        let line = self.line(history::Event::Start, Some(&booking));
        self.history.write(&line);
        let identity = booking.request.identity().to_owned();
        if !identity.is_empty() {
            let count = self.counts.entry(identity).or_default();
            *count += 1;
            self.stats.repeated += u64::from(*count == 2);
        }
        self.stats.started += 1;
        self.stats.running += 1;
        if self.leaving_ms().is_some_and(|ms| ms > LEAVING_GRACE_MS) {
            self.stats.late += 1;
        }
        self.bookings.push(booking);
        let time = self.options.service_time.mul_f64(self.factor());
        (self.bookings.len() - 1, time)
    }

    fn end(&mut self, index: usize) -> Booking {
        self.bookings[index].end_us = history::now_us();
        self.stats.ended += 1;
        self.stats.running -= 1;
        let booking = self.bookings[index].clone();
        let line = self.line(history::Event::End, Some(&booking));
        self.history.write(&line);
        booking
    }

    fn fail(&mut self) {
        self.generation += 1;
        self.stats.crashes += 1;
        let line = self.line(history::Event::Crash, None);
        self.history.write(&line);
        // Only executions of this generation count as running, so each is recorded once.
        let open = self.bookings.iter().rev().filter(|b| b.end_us == 0);
        let open: Vec<_> = open.take(self.stats.running).cloned().collect();
        for booking in &open {
            let line = self.line(history::Event::Crash, Some(booking));
            self.history.write(&line);
        }
        self.stats.running = 0;
    }

    fn line(&self, event: history::Event, booking: Option<&Booking>) -> history::Line {
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

    fn factor(&self) -> f64 {
        match self.slow.1 {
            Some(until) if Instant::now() >= until => 1.0,
            _ => self.slow.0,
        }
    }

    fn leaving_ms(&self) -> Option<u64> {
        u64::try_from(self.leaving?.elapsed().as_millis()).ok()
    }
}

#[derive(Deserialize)]
struct Slow {
    factor: f64,
    #[serde(default)]
    for_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Time {
    service_ms: u64,
}

#[derive(Deserialize)]
struct Leave {
    #[serde(default)]
    leaving: Option<bool>,
}

fn command(
    workers: &IndexMap<String, Worker>,
    call: &http::Call,
) -> Result<http::Reply, http::Reply> {
    let chosen = call.select(workers)?;
    let each = |action: &dyn Fn(&mut State)| {
        let states = chosen.values().map(|worker| &worker.state);
        states.for_each(|state| action(&mut state.borrow_mut()));
    };
    match call.path.as_str() {
        "/control/slow" => {
            let slow: Slow = call.json()?;
            let until = slow.for_ms.map(Duration::from_millis);
            let until = until.map(|time| Instant::now() + time);
            each(&|state| state.slow = (slow.factor.max(0.0), until));
        }
        "/control/time" => {
            let time = Duration::from_millis(call.json::<Time>()?.service_ms);
            each(&|state| state.options.service_time = time);
        }
        "/control/crash" => {
            let crash: Option<Crash> = match call.body.is_empty() {
                true => None,
                false => Some(call.json()?),
            };
            for worker in chosen.values() {
                let usual = worker.state.borrow().options.crash;
                worker.crash(crash.unwrap_or(usual));
            }
        }
        "/control/leave" => {
            let leaving = call.json::<Leave>()?.leaving.unwrap_or(true);
            each(&|state| {
                state.leaving = leaving.then(Instant::now);
                if leaving {
                    let line = state.line(history::Event::Leave, None);
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
        _ => return Err(http::missing(call)),
    }
    Ok(http::done())
}
