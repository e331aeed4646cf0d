//! The processes, the stand-ins and the proxies between them.

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
    fault::{Fault, EVENTS},
    ledger::{Kind, Ledger, Run, Span, ATTEMPTS, KEY, TEAM},
};

/// Port for gossip; each router has a loopback address of its own.
const GOSSIP_PORT: u16 = 7_400;
/// Usual delay of the ways to and from an upstream, so that a request is in progress for most of the
/// time.
const DELAY: Duration = Duration::from_millis(20);
/// Time that a router has for a planned stop, in seconds.
const GRACE_S: u64 = 8;
/// Time after a restart until a router serves again.
const START: Duration = Duration::from_secs(2);
/// Time for which a leaving upstream serves, and that until it ends.
const DRAIN: Duration = Duration::from_millis(2_500);
const LINGER: Duration = Duration::from_secs(1);

/// An upstream with the ways to and from it.
pub struct Upstream {
    number: usize,
    id: String,
    service: &'static str,
    worker: Worker,
    address: SocketAddr,
    to: Arc<Link>,
    from: Arc<Link>,
}

/// A router with its way to the store.
pub struct Router {
    name: String,
    /// Address for clients.
    pub address: SocketAddr,
    settings: PathBuf,
    store: Arc<Link>,
    process: RefCell<Option<Process>>,
}

/// Routers, upstreams and their store.
pub struct Fleet {
    store: Store,
    relay: Relay,
    upstreams: RefCell<Vec<Rc<Upstream>>>,
    /// The routers.
    pub routers: Vec<Router>,
    program: PathBuf,
    directory: PathBuf,
    ledger: Rc<RefCell<Ledger>>,
    version: Cell<u64>,
    started: Cell<usize>,
    /// Routers that ended in a way that they should not.
    pub exits: RefCell<Vec<String>>,
}

fn configuration(version: u64) -> Value {
    let route = |kind: Kind, name: &str, service: &str, attempts: usize| {
        json!({
            "name": kind.name(), "hostname": HOST, "pathPrefix": format!("/{}/", kind.name()),
            "kind": name, "timeoutMs": 15_000, "targetLatencyMs": 800, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": false,
            "resumable": kind == Kind::Draft, "gapAimMs": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route(Kind::Lookup, "idempotent", "desk", ATTEMPTS),
            route(Kind::Book, "non_idempotent", "desk", 1),
            route(Kind::Draft, "streaming", "model", ATTEMPTS),
            route(Kind::Note, "streaming", "model", 1),
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

/// Returns a loopback address that no other router of any process uses.
fn own_address() -> Ipv4Addr {
    static ROUTERS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let router = ROUTERS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high | 0x40, low, router)
}

/// Returns free ports of an address. They are open at once, so that no two are the same.
fn free<const N: usize>(address: Ipv4Addr) -> Result<[SocketAddr; N]> {
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
    /// Returns what cannot be started.
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
            ledger: Rc::default(),
            version: Cell::new(0),
            started: Cell::new(0),
            exits: RefCell::default(),
        };
        fleet.publish();
        for number in 0..upstreams {
            let service = if number % 2 == 0 { "desk" } else { "model" };
            let upstream = fleet.upstream(service).await?;
            fleet.upstreams.borrow_mut().push(upstream);
        }
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..routers {
            let router = fleet.router(number, &seeds)?;
            let address = SocketAddr::from((router.address.ip(), GOSSIP_PORT));
            seeds.push(address);
            fleet.routers.push(router);
        }
        fleet.ledger.borrow_mut().routers = vec![Vec::new(); routers];
        let fleet = Rc::new(fleet);
        (0..routers).try_for_each(|number| fleet.run(number))?;
        Ok(fleet)
    }

    /// Returns what was seen.
    #[must_use]
    pub const fn ledger(&self) -> &Rc<RefCell<Ledger>> {
        &self.ledger
    }

    fn publish(&self) {
        self.version.set(self.version.get() + 1);
        let text = configuration(self.version.get()).to_string();
        self.store.set("op/config", Some(text.as_bytes()));
    }

    async fn upstream(&self, service: &'static str) -> Result<Rc<Upstream>> {
        let number = self.started.get();
        self.started.set(number + 1);
        let worker = Worker::bind(usual(service)).await?;
        let (to, from) = (Link::new(DELAY), Link::new(DELAY));
        let address = self.relay.tcp(worker.address(), to.clone(), from.clone())?;
        let upstream = Upstream {
            number,
            id: format!("u{number}"),
            service,
            worker,
            address,
            to,
            from,
        };
        self.state(&upstream, "ready", 1);
        Ok(Rc::new(upstream))
    }

    fn state(&self, upstream: &Upstream, state: &str, number: u64) {
        let entry = json!({
            "service": upstream.service, "address": upstream.address.to_string(),
            "zone": "north", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
            "born": 1_000, "seqNo": number,
        });
        let key = format!("servers/{}", upstream.id);
        self.store.set(&key, Some(entry.to_string().as_bytes()));
    }

    fn router(&self, number: usize, seeds: &[SocketAddr]) -> Result<Router> {
        let name = format!("r{number}");
        let address = own_address();
        let gossip = SocketAddr::from((address, GOSSIP_PORT));
        let [client, ready, locate, control, metrics] = free(address)?;
        let way = Link::new(Duration::ZERO);
        let store = self
            .relay
            .tcp(self.store.address(), way.clone(), way.clone())?;
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
            store: way,
            process: RefCell::default(),
        })
    }

    fn run(&self, number: usize) -> Result<()> {
        let router = &self.routers[number];
        let mut process = router.process.borrow_mut();
        if process.is_none() {
            let arguments = ["--config".to_owned(), router.settings.display().to_string()];
            let started = Process::start(&router.name, &self.program, &arguments, &self.directory);
            *process = Some(started?);
        }
        Ok(())
    }

    /// Carries out a fault and returns when it is over.
    ///
    /// # Errors
    ///
    /// Returns why the fault cannot be carried out.
    pub async fn apply(self: Rc<Self>, fault: Fault, lasts: Duration) -> Result<()> {
        let from = Instant::now();
        match fault {
            Fault::Kill(router) => self.kill(router, lasts).await?,
            Fault::Pause(router) => {
                self.signal(router, Signal::STOP)?;
                time::sleep(lasts).await;
                self.signal(router, Signal::CONT)?;
                self.disturbed(router, from, false);
            }
            Fault::Terminate(router) => self.terminate(router).await?,
            Fault::Hangup(router) => {
                self.signal(router, Signal::HUP)?;
                self.disturbed(router, from, true);
            }
            Fault::Slow(number, delay) => {
                let upstream = self.at(number);
                upstream.to.set_delay(delay);
                upstream.from.set_delay(delay);
                time::sleep(lasts).await;
                upstream.to.set_delay(DELAY);
                upstream.from.set_delay(DELAY);
                self.harmed(&upstream, from);
            }
            Fault::CutTo(number) => {
                let upstream = self.at(number);
                cut(&upstream.to, lasts).await;
                self.harmed(&upstream, from);
            }
            Fault::CutFrom(number) => {
                let upstream = self.at(number);
                cut(&upstream.from, lasts).await;
                self.harmed(&upstream, from);
            }
            Fault::Reset(number) => {
                let upstream = self.at(number);
                upstream.to.reset();
                self.harmed(&upstream, from);
            }
            Fault::Behave(number, behaviour) => {
                let upstream = self.at(number);
                upstream.worker.set_usual(behaviour);
                time::sleep(lasts).await;
                upstream.worker.set_usual(usual(upstream.service));
                self.harmed(&upstream, from);
            }
            Fault::Replace(number) => self.replace(number).await?,
            Fault::StoreBusy => self.store_mode(Mode::Busy, lasts).await,
            Fault::StoreSilent => self.store_mode(Mode::Silent, lasts).await,
            Fault::StoreCut(router) => {
                cut(&self.routers[router].store, lasts).await;
            }
            Fault::Compact => self.store.compact(),
            Fault::Publish => self.publish(),
        }
        Ok(())
    }

    fn at(&self, number: usize) -> Rc<Upstream> {
        self.upstreams.borrow()[number].clone()
    }

    async fn store_mode(&self, mode: Mode, lasts: Duration) {
        self.store.set_mode(mode);
        time::sleep(lasts).await;
        self.store.set_mode(Mode::Up);
    }

    fn harmed(&self, upstream: &Upstream, from: Instant) {
        let mut ledger = self.ledger.borrow_mut();
        let spans = ledger.upstreams.entry(upstream.number).or_default();
        spans.push(Span {
            from,
            to: Instant::now(),
            planned: false,
        });
    }

    fn disturbed(&self, router: usize, from: Instant, planned: bool) {
        self.ledger.borrow_mut().routers[router].push(Span {
            from,
            to: Instant::now() + START,
            planned,
        });
    }

    /// Sends a signal to a router, if it runs.
    fn signal(&self, router: usize, signal: Signal) -> Result<()> {
        match &*self.routers[router].process.borrow() {
            Some(process) => Ok(process.signal(signal)?),
            None => Ok(()),
        }
    }

    async fn kill(&self, router: usize, lasts: Duration) -> Result<()> {
        let from = Instant::now();
        let process = self.routers[router].process.take();
        let Some(mut process) = process else {
            return Ok(());
        };
        process.kill().await?;
        time::sleep(lasts).await;
        self.run(router)?;
        self.disturbed(router, from, false);
        Ok(())
    }

    async fn terminate(&self, router: usize) -> Result<()> {
        let from = Instant::now();
        let process = self.routers[router].process.take();
        let Some(mut process) = process else {
            return Ok(());
        };
        process.terminate()?;
        // A paused process goes on, so that the pause of another fault does not hold up the stop.
        process.signal(Signal::CONT)?;
        let limit = Duration::from_secs(GRACE_S) + START;
        let ended = process.wait(limit).await;
        if !ended.is_some_and(|status| status.success()) {
            let text = format!(
                "{}: {ended:?} after a planned stop",
                self.routers[router].name
            );
            self.exits.borrow_mut().push(text);
        }
        self.run(router)?;
        self.disturbed(router, from, true);
        Ok(())
    }

    async fn replace(&self, number: usize) -> Result<()> {
        let old = self.at(number);
        let new = self.upstream(old.service).await?;
        // Another fault may have replaced it already.
        if !Rc::ptr_eq(&old, &self.at(number)) {
            return Ok(());
        }
        self.upstreams.borrow_mut()[number] = new;
        self.state(&old, "draining", 2);
        time::sleep(DRAIN).await;
        self.store.set(&format!("servers/{}", old.id), None);
        time::sleep(LINGER).await;
        self.seen(&old);
        Ok(())
    }

    fn seen(&self, upstream: &Upstream) {
        let arrivals = upstream.worker.arrivals().into_iter();
        let runs = arrivals.map(|arrival| Run {
            upstream: upstream.number,
            arrival,
        });
        self.ledger.borrow_mut().runs.extend(runs);
    }

    /// Stops the routers and takes down what all upstreams saw.
    pub async fn stop(&self) {
        for router in &self.routers {
            let process = router.process.take();
            let Some(mut process) = process else { continue };
            if let Err(error) = process.ensure_running() {
                self.exits.borrow_mut().push(error.to_string());
            }
            if let Err(error) = process.kill().await {
                self.exits.borrow_mut().push(error.to_string());
            }
        }
        for upstream in self.upstreams.borrow().iter() {
            self.seen(upstream);
        }
    }
}

async fn cut(way: &Link, lasts: Duration) {
    way.set_cut(true);
    time::sleep(lasts).await;
    way.set_cut(false);
}

fn usual(service: &str) -> Behaviour {
    match service {
        "model" => Behaviour::Stream(EVENTS),
        _ => Behaviour::Plain,
    }
}
