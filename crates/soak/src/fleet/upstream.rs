//! The upstreams of a fleet, with their entries in the store.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use eyre::Result;
use futures_util::future;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use tokio::time;
use tsw_fake::worker::Worker;
use tsw_load::relay::Link;

use super::Fleet;
use crate::{
    fault::{Plan, Starts},
    history::{ReceivedRequest, Run, Stated},
    store::HEARTBEAT_INTERVAL,
};

/// Normal delay of the links to and from an upstream. It is long enough that a request is in
/// progress for most of the time.
pub const LINK_DELAY: Duration = Duration::from_millis(20);
/// Time between the entry of an upstream that starts again and its first connection.
const REGISTERED_BEFORE: Duration = Duration::from_millis(300);

/// An upstream with the links to and from it.
pub(super) struct Upstream {
    pub number: usize,
    pub id: String,
    pub service: &'static str,
    /// Version of its software.
    pub version: Cell<u32>,
    /// Start of its current run, as its entry and its report state it.
    born: Cell<SystemTime>,
    /// Draws the starts.
    start_rng: RefCell<Pcg64Mcg>,
    /// Whether it has crashed and is not back yet.
    is_down: Cell<bool>,
    pub worker: Worker,
    address: SocketAddr,
    pub inbound: Arc<Link>,
    pub outbound: Arc<Link>,
    pub state: Cell<&'static str>,
    /// What it states in its responses.
    pub statements: RefCell<Vec<Stated>>,
    sequence: Cell<u64>,
    pub next_heartbeat: Cell<Instant>,
}

impl Upstream {
    /// Lets its responses state what it states now.
    pub fn update_fields(&self) {
        let statements = self.statements.borrow();
        let fields = statements.iter().map(|stated| match stated {
            Stated::Rate(per_s) => format!("Server-Limit: {per_s}\r\n"),
            Stated::Leaving => "Server-Leaving: 1\r\n".to_owned(),
            Stated::Pause(length) => format!("Retry-After: {}\r\n", length.as_secs_f64()),
        });
        self.worker.set_fields(&fields.collect::<String>());
    }

    /// Counts a heartbeat that changes nothing in the store.
    pub fn count_heartbeat(&self) {
        self.sequence.set(self.sequence.get() + 1);
    }

    /// Sets the start of its run after an earlier run with the start `before`.
    fn set_born(&self, starts: Starts, before: Option<SystemTime>) {
        let rng = &mut self.start_rng.borrow_mut();
        self.born.set(starts.stated(rng, SystemTime::now(), before));
        self.worker.set_born(u64::try_from(self.born_ms()).ok());
    }

    fn born_ms(&self) -> u128 {
        let born = self.born.get().duration_since(UNIX_EPOCH);
        born.unwrap_or_default().as_millis()
    }
}

impl Fleet {
    pub(super) async fn start_upstream(
        &self,
        service: &'static str,
        version: u32,
    ) -> Result<Rc<Upstream>> {
        let number = self.upstream_count.get();
        self.upstream_count.set(number + 1);
        let worker = Worker::bind(self.settings.plan.behaviour(
            self.settings.seed,
            number,
            service,
        ))
        .await?;
        worker.set_version(Some(&version_name(version)));
        let (inbound, outbound) = (Link::new(LINK_DELAY), Link::new(LINK_DELAY));
        let address = if self.settings.plan.has_relays() {
            self.relay
                .tcp(worker.address(), inbound.clone(), outbound.clone())?
        } else {
            worker.address()
        };
        let upstream = Upstream {
            number,
            id: format!("u{number}"),
            service,
            version: Cell::new(version),
            born: Cell::new(SystemTime::now()),
            start_rng: RefCell::new(Starts::rng(self.settings.seed, number)),
            is_down: Cell::new(false),
            worker,
            address,
            inbound,
            outbound,
            state: Cell::new("ready"),
            statements: RefCell::default(),
            sequence: Cell::new(0),
            next_heartbeat: Cell::new(Instant::now() + HEARTBEAT_INTERVAL),
        };
        upstream.set_born(self.settings.starts, None);
        if self.store.is_up() || !self.settings.plan.has_platform_writes() {
            self.write_entry(&upstream);
        } else {
            upstream.count_heartbeat();
        }
        self.record_run(&upstream);
        Ok(Rc::new(upstream))
    }

    /// Sends a heartbeat of an upstream. It writes the entry, or only renews its lease where heartbeats
    /// are no changes.
    pub(super) fn send_heartbeat(&self, upstream: &Upstream) {
        if self.settings.plan.has_heartbeat_changes(self.settings.seed)
            || !self.store.renew(&upstream.id, &self.entry(upstream))
        {
            self.write_entry(upstream);
        } else if self.settings.plan.has_platform_writes() {
            upstream.count_heartbeat();
        }
    }

    /// Returns the fields of the entry of an upstream without its sequence number.
    fn entry(&self, upstream: &Upstream) -> Value {
        json!({
            "service": upstream.service, "address": upstream.address.to_string(),
            "zone": "north", "version": version_name(upstream.version.get()), "slots": self.settings.plan.slots(),
            "state": upstream.state.get(), "coldRemainingMs": 0, "born": upstream.born_ms(),
        })
    }

    /// Writes the entry of an upstream to the store, with the next sequence number.
    pub(super) fn write_entry(&self, upstream: &Upstream) {
        let sequence = upstream.sequence.get() + 1;
        upstream.sequence.set(sequence);
        let entry = self.entry(upstream);
        self.store.write_entry(&upstream.id, entry, sequence);
        if upstream.state.get() == "draining" {
            self.record_departure(upstream);
        }
    }

    /// Records that the store has acknowledged that an upstream leaves.
    pub(super) fn record_departure(&self, upstream: &Upstream) {
        let departures = &mut self.history.borrow_mut().departures;
        let acknowledged = departures.entry(upstream.number).or_default();
        acknowledged.push(Instant::now());
    }

    /// Lets an upstream crash. It starts again under its identifier with this software version. A plan
    /// with relays writes its entry before it accepts connections, others after `duration`.
    pub(super) async fn crash_upstream(
        &self,
        upstream: &Upstream,
        version: u32,
        duration: Duration,
    ) {
        if upstream.is_down.replace(true) {
            return;
        }
        let crashed = time::Instant::now();
        let downtime = self.settings.plan.downtime();
        upstream.worker.crash_for(downtime);
        self.end_run(upstream);
        let listening = crashed + downtime;
        let starting = listening - REGISTERED_BEFORE;
        let registered = match self.settings.plan {
            Plan::Returns | Plan::Mixed => starting.max(crashed + duration),
            Plan::Faults | Plan::Releases | Plan::Partitioned => starting,
        };
        let heartbeat = listening.max(registered);
        upstream.next_heartbeat.set(heartbeat.into_std());
        time::sleep_until(starting).await;
        upstream.worker.set_version(Some(&version_name(version)));
        upstream.version.set(version);
        upstream.set_born(self.settings.starts, Some(upstream.born.get()));
        upstream.sequence.set(0);
        let register = async {
            time::sleep_until(registered).await;
            if self.store.is_up() {
                self.send_heartbeat(upstream);
            }
        };
        let listen = async {
            time::sleep_until(listening).await;
            if upstream.state.get() == "ready" {
                self.record_run(upstream);
            }
        };
        future::join(register, listen).await;
        upstream.is_down.set(false);
    }

    /// Records that an upstream serves from now on.
    fn record_run(&self, upstream: &Upstream) {
        self.history.borrow_mut().runs.push(Run {
            upstream: upstream.number,
            service: upstream.service,
            version: version_name(upstream.version.get()),
            start: Instant::now(),
            end: None,
        });
    }

    /// Records that an upstream has crashed or begins to leave.
    pub(super) fn end_run(&self, upstream: &Upstream) {
        let runs = &mut self.history.borrow_mut().runs;
        let mut runs = runs.iter_mut().rev();
        if let Some(run) = runs.find(|run| run.upstream == upstream.number) {
            run.end.get_or_insert_with(Instant::now);
        }
    }

    /// Adds the requests that an upstream received to the history.
    pub(super) fn record_arrivals(&self, upstream: &Upstream) {
        let arrivals = upstream.worker.arrivals().into_iter();
        let received = arrivals.map(|arrival| ReceivedRequest {
            upstream: upstream.number,
            arrival,
        });
        self.history.borrow_mut().received.extend(received);
    }
}

fn version_name(version: u32) -> String {
    format!("v{version}")
}
