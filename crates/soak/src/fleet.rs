//! The router processes, the stand-ins and the proxies between them.

use std::{
    cell::{Cell, RefCell},
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path as FilePath, PathBuf},
    rc::Rc,
    sync::{
        atomic::{AtomicU8, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use eyre::{Context as _, Result};
use rustix::process::Signal;
use serde_json::{json, Value};
use tokio::time;
use tsw_fake::{
    store::{Mode, Store},
    worker::{Behaviour, Worker},
};
use tsw_load::{
    delay::Timer,
    process::Process,
    relay::{Link, Relay},
};

use crate::{
    client::HOST,
    fault::{Fault, STREAM_EVENTS},
    history::{Disturbance, History, Kind, ReceivedRequest, KEY, MAX_ATTEMPTS, TEAM},
};

/// Gossip port of all routers; each router has its own loopback address.
const GOSSIP_PORT: u16 = 7_400;
/// Normal delay of the links to and from an upstream. It is long enough that a request is in
/// progress for most of the time.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// Time limit for the graceful stop of a router, in seconds.
const GRACE_S: u64 = 8;
/// Time after a restart within which a router serves again.
const ROUTER_START: Duration = Duration::from_secs(2);
/// Time for which a replaced upstream is listed as draining.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time between the removal of a replaced upstream from the list and its end.
const REMOVED_TIME: Duration = Duration::from_secs(1);

/// An upstream with the links to and from it.
pub struct Upstream {
    number: usize,
    id: String,
    service: &'static str,
    worker: Worker,
    address: SocketAddr,
    inbound: Arc<Link>,
    outbound: Arc<Link>,
}

/// A router with its link to the store.
pub struct Router {
    name: String,
    /// Address for clients.
    pub address: SocketAddr,
    settings: PathBuf,
    store_link: Arc<Link>,
    process: RefCell<Option<Process>>,
}

/// Routers, upstreams and their store, with the proxies between them.
pub struct Fleet {
    store: Store,
    relay: Relay,
    upstreams: RefCell<Vec<Rc<Upstream>>>,
    /// The routers.
    pub routers: Vec<Router>,
    program: PathBuf,
    directory: PathBuf,
    history: Rc<RefCell<History>>,
    configuration_version: Cell<u64>,
    /// Number of upstreams started so far.
    upstream_count: Cell<usize>,
    /// Descriptions of routers that exited unexpectedly or failed to stop gracefully.
    pub failed_exits: RefCell<Vec<String>>,
}

fn configuration(version: u64) -> Value {
    let route = |kind: Kind, name: &str, service: &str, attempts: usize| {
        json!({
            "name": kind.name(), "hostname": HOST, "pathPrefix": format!("/{}/", kind.name()),
            "kind": name, "timeoutMs": 15_000, "targetLatencyMs": 800, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": false,
            "resumable": kind == Kind::ResumableStream, "gapAimMs": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route(Kind::Idempotent, "idempotent", "desk", MAX_ATTEMPTS),
            route(Kind::NonIdempotent, "non_idempotent", "desk", 1),
            route(Kind::ResumableStream, "streaming", "model", MAX_ATTEMPTS),
            route(Kind::Stream, "streaming", "model", 1),
        ],
        "services": [
            {"name": "desk", "healthPath": "/health", "maxConnections": 100},
            {"name": "model", "healthPath": "/health", "maxConnections": 100,
             "engine": {"slots": 8, "kvCapacityTokens": 100_000}},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000, "tokensPerS": 300_000},
        "tenants": [{"name": TEAM, "apiKeys": [KEY], "priority": 1}],
    })
}

/// Returns a loopback address that no other router uses. It contains the process id, so that
/// routers of other test processes have other addresses.
fn unique_loopback_address() -> Ipv4Addr {
    static NEXT_ROUTER: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let router = NEXT_ROUTER.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high | 0x40, low, router)
}

/// Returns free ports of an address. All of them are bound at the same time, so that no port is
/// returned twice.
fn free_ports<const N: usize>(address: Ipv4Addr) -> Result<[SocketAddr; N]> {
    let listeners: Vec<TcpListener> = (0..N)
        .map(|_| TcpListener::bind((address, 0)))
        .collect::<Result<_, _>>()?;
    let mut addresses = [SocketAddr::from((address, 0)); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}

impl Fleet {
    /// Starts a store, upstreams of both services and routers of `program`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store, an upstream or a router cannot be started.
    pub async fn start(
        program: &FilePath,
        directory: &FilePath,
        (routers, upstreams): (usize, usize),
        seed: u64,
    ) -> Result<Rc<Self>> {
        let store = Store::bind().await?;
        let relay = Relay::start(Timer::start(), seed)?;
        let mut fleet = Self {
            store,
            relay,
            upstreams: RefCell::default(),
            routers: Vec::new(),
            program: program.to_owned(),
            directory: directory.to_owned(),
            history: Rc::default(),
            configuration_version: Cell::new(0),
            upstream_count: Cell::new(0),
            failed_exits: RefCell::default(),
        };
        fleet.publish_configuration();
        for number in 0..upstreams {
            let service = if number % 2 == 0 { "desk" } else { "model" };
            let upstream = fleet.start_upstream(service).await?;
            fleet.upstreams.borrow_mut().push(upstream);
        }
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..routers {
            let router = fleet.prepare_router(number, &seeds)?;
            let address = SocketAddr::from((router.address.ip(), GOSSIP_PORT));
            seeds.push(address);
            fleet.routers.push(router);
        }
        fleet.history.borrow_mut().router_disturbances = vec![Vec::new(); routers];
        let fleet = Rc::new(fleet);
        (0..routers).try_for_each(|number| fleet.start_router(number))?;
        Ok(fleet)
    }

    /// Returns the history of requests.
    #[must_use]
    pub const fn history(&self) -> &Rc<RefCell<History>> {
        &self.history
    }

    fn publish_configuration(&self) {
        self.configuration_version
            .set(self.configuration_version.get() + 1);
        let text = configuration(self.configuration_version.get()).to_string();
        self.store.set("op/config", Some(text.as_bytes()));
    }

    async fn start_upstream(&self, service: &'static str) -> Result<Rc<Upstream>> {
        let number = self.upstream_count.get();
        self.upstream_count.set(number + 1);
        let worker = Worker::bind(normal_behaviour(service)).await?;
        let (inbound, outbound) = (Link::new(LINK_DELAY), Link::new(LINK_DELAY));
        let address = self
            .relay
            .tcp(worker.address(), inbound.clone(), outbound.clone())?;
        let upstream = Upstream {
            number,
            id: format!("u{number}"),
            service,
            worker,
            address,
            inbound,
            outbound,
        };
        self.publish_entry(&upstream, "ready", 1);
        Ok(Rc::new(upstream))
    }

    /// Publishes the entry of an upstream in the store.
    fn publish_entry(&self, upstream: &Upstream, state: &str, sequence: u64) {
        let entry = json!({
            "service": upstream.service, "address": upstream.address.to_string(),
            "zone": "north", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
            "born": 1_000, "seqNo": sequence,
        });
        let key = format!("servers/{}", upstream.id);
        self.store.set(&key, Some(entry.to_string().as_bytes()));
    }

    /// Writes the settings of a router; [`Fleet::start_router`] starts it.
    fn prepare_router(&self, number: usize, seeds: &[SocketAddr]) -> Result<Router> {
        let name = format!("r{number}");
        let address = unique_loopback_address();
        let gossip = SocketAddr::from((address, GOSSIP_PORT));
        let [client, ready, locate, control, metrics] = free_ports(address)?;
        let link = Link::new(Duration::ZERO);
        let store = self
            .relay
            .tcp(self.store.address(), link.clone(), link.clone())?;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "interface: platform\nhost: {name}\ndomain: north\n\
             listen: {{client: \"{client}\", ready: \"{ready}\", locate: \"{locate}\", \
             control: \"{control}\", gossip: \"{gossip}\", metrics: \"{metrics}\"}}\n\
             descriptors: 1000\nseeds: {}\nstore: \"{store}\"\n\
             bounds: {{retry_ratio: 0.2, retry_window_s: 10, retry_slack: 50, keep_s: 5, grace_s: {GRACE_S}}}\n",
            json!(seeds)
        );
        let settings = self.directory.join(format!("{name}.yaml"));
        fs::write(&settings, text).wrap_err_with(|| settings.display().to_string())?;
        Ok(Router {
            name,
            address: client,
            settings,
            store_link: link,
            process: RefCell::default(),
        })
    }

    /// Starts a router unless it is running.
    fn start_router(&self, number: usize) -> Result<()> {
        let router = &self.routers[number];
        let mut process = router.process.borrow_mut();
        if process.is_none() {
            let arguments = ["--config".to_owned(), router.settings.display().to_string()];
            let started = Process::start(&router.name, &self.program, &arguments, &self.directory);
            *process = Some(started?);
        }
        Ok(())
    }

    /// Injects a fault and returns when it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the fault cannot be injected.
    pub async fn inject(self: Rc<Self>, fault: Fault, duration: Duration) -> Result<()> {
        let start = Instant::now();
        match fault {
            Fault::Kill(router) => self.kill(router, duration).await?,
            Fault::Pause(router) => {
                self.signal(router, Signal::STOP)?;
                time::sleep(duration).await;
                self.signal(router, Signal::CONT)?;
                self.record_router_disturbance(router, start, false);
            }
            Fault::Terminate(router) => self.terminate(router).await?,
            Fault::Reload(router) => {
                self.signal(router, Signal::HUP)?;
                self.record_router_disturbance(router, start, true);
            }
            Fault::DelayUpstream(number, delay) => {
                let upstream = self.current_upstream(number);
                upstream.inbound.set_delay(delay);
                upstream.outbound.set_delay(delay);
                time::sleep(duration).await;
                upstream.inbound.set_delay(LINK_DELAY);
                upstream.outbound.set_delay(LINK_DELAY);
                self.record_upstream_fault(&upstream, start);
            }
            Fault::BlockToUpstream(number) => {
                let upstream = self.current_upstream(number);
                block(&upstream.inbound, duration).await;
                self.record_upstream_fault(&upstream, start);
            }
            Fault::BlockFromUpstream(number) => {
                let upstream = self.current_upstream(number);
                block(&upstream.outbound, duration).await;
                self.record_upstream_fault(&upstream, start);
            }
            Fault::ResetUpstream(number) => {
                let upstream = self.current_upstream(number);
                upstream.inbound.reset();
                self.record_upstream_fault(&upstream, start);
            }
            Fault::ChangeBehaviour(number, behaviour) => {
                let upstream = self.current_upstream(number);
                upstream.worker.set_default(behaviour);
                time::sleep(duration).await;
                upstream
                    .worker
                    .set_default(normal_behaviour(upstream.service));
                self.record_upstream_fault(&upstream, start);
            }
            Fault::ReplaceUpstream(number) => self.replace_upstream(number).await?,
            Fault::StoreBusy => self.change_store_mode(Mode::Busy, duration).await,
            Fault::StoreSilent => self.change_store_mode(Mode::Silent, duration).await,
            Fault::BlockStore(router) => {
                block(&self.routers[router].store_link, duration).await;
            }
            Fault::CompactStore => self.store.compact(),
            Fault::PublishConfiguration => self.publish_configuration(),
        }
        Ok(())
    }

    /// Returns the upstream that has this index now; a replacement takes the index of the old one.
    fn current_upstream(&self, number: usize) -> Rc<Upstream> {
        self.upstreams.borrow()[number].clone()
    }

    async fn change_store_mode(&self, mode: Mode, duration: Duration) {
        self.store.set_mode(mode);
        time::sleep(duration).await;
        self.store.set_mode(Mode::Up);
    }

    fn record_upstream_fault(&self, upstream: &Upstream, start: Instant) {
        let mut history = self.history.borrow_mut();
        let disturbances = history
            .upstream_disturbances
            .entry(upstream.number)
            .or_default();
        disturbances.push(Disturbance {
            start,
            end: Instant::now(),
            planned: false,
        });
    }

    fn record_router_disturbance(&self, router: usize, start: Instant, planned: bool) {
        self.history.borrow_mut().router_disturbances[router].push(Disturbance {
            start,
            end: Instant::now() + ROUTER_START,
            planned,
        });
    }

    /// Sends a signal to a router if it is running.
    fn signal(&self, router: usize, signal: Signal) -> Result<()> {
        match &*self.routers[router].process.borrow() {
            Some(process) => Ok(process.signal(signal)?),
            None => Ok(()),
        }
    }

    async fn kill(&self, router: usize, duration: Duration) -> Result<()> {
        let start = Instant::now();
        let process = self.routers[router].process.take();
        let Some(mut process) = process else {
            return Ok(());
        };
        process.kill().await?;
        time::sleep(duration).await;
        self.start_router(router)?;
        self.record_router_disturbance(router, start, false);
        Ok(())
    }

    async fn terminate(&self, router: usize) -> Result<()> {
        let start = Instant::now();
        let process = self.routers[router].process.take();
        let Some(mut process) = process else {
            return Ok(());
        };
        process.terminate()?;
        // Resumes a process that another fault has paused, which would delay its stop.
        process.signal(Signal::CONT)?;
        let limit = Duration::from_secs(GRACE_S) + ROUTER_START;
        let ended = process.wait(limit).await;
        if !ended.is_some_and(|status| status.success()) {
            let text = format!(
                "{}: planned stop ended with {ended:?}",
                self.routers[router].name
            );
            self.failed_exits.borrow_mut().push(text);
        }
        self.start_router(router)?;
        self.record_router_disturbance(router, start, true);
        Ok(())
    }

    async fn replace_upstream(&self, number: usize) -> Result<()> {
        let old = self.current_upstream(number);
        let new = self.start_upstream(old.service).await?;
        // A concurrent fault may have replaced this upstream already.
        if !Rc::ptr_eq(&old, &self.current_upstream(number)) {
            return Ok(());
        }
        self.upstreams.borrow_mut()[number] = new;
        self.publish_entry(&old, "draining", 2);
        time::sleep(DRAIN_TIME).await;
        self.store.set(&format!("servers/{}", old.id), None);
        time::sleep(REMOVED_TIME).await;
        self.record_arrivals(&old);
        Ok(())
    }

    /// Adds the requests that an upstream received to the history.
    fn record_arrivals(&self, upstream: &Upstream) {
        let arrivals = upstream.worker.arrivals().into_iter();
        let received = arrivals.map(|arrival| ReceivedRequest {
            upstream: upstream.number,
            arrival,
        });
        self.history.borrow_mut().received.extend(received);
    }

    /// Kills the routers and adds the requests that all upstreams received to the history.
    pub async fn stop(&self) {
        for router in &self.routers {
            let process = router.process.take();
            let Some(mut process) = process else { continue };
            if let Err(error) = process.ensure_running() {
                self.failed_exits.borrow_mut().push(error.to_string());
            }
            if let Err(error) = process.kill().await {
                self.failed_exits.borrow_mut().push(error.to_string());
            }
        }
        for upstream in self.upstreams.borrow().iter() {
            self.record_arrivals(upstream);
        }
    }
}

async fn block(link: &Link, duration: Duration) {
    link.set_cut(true);
    time::sleep(duration).await;
    link.set_cut(false);
}

fn normal_behaviour(service: &str) -> Behaviour {
    match service {
        "model" => Behaviour::Stream(STREAM_EVENTS),
        _ => Behaviour::Plain,
    }
}
