//! The router processes, the stand-ins and the proxies between them.

mod injection;
mod peers;
mod upstream;

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
use serde_json::{json, Value};
use tokio::{task, time};
use tsw_load::{
    delay::Timer,
    process::Process,
    relay::{Link, Relay},
};

use crate::{
    client::{HOST, SHORT_ROUTE, SHORT_TIMEOUT_MS},
    history::{self, History, Kind, KEY, MAX_ATTEMPTS, TEAM},
    run::Settings,
    store::{Store, HEARTBEAT_INTERVAL},
};
use peers::PeerRelay;
use upstream::Upstream;

/// Gossip port of all routers; each router has its own loopback address.
const GOSSIP_PORT: u16 = 7_400;
/// Time limit for the graceful stop of a router, in seconds.
const GRACE_S: u64 = 8;
/// Interval at which due heartbeats are sent and expired entries are removed.
const TEND_INTERVAL: Duration = Duration::from_millis(50);

/// A router with its links to the store and to other routers.
pub struct Router {
    name: String,
    /// Address for clients.
    pub address: SocketAddr,
    settings: PathBuf,
    store_link: Arc<Link>,
    /// The relays through which the others reach it, if the plan has them.
    peer_relay: Option<PeerRelay>,
    process: RefCell<Option<Process>>,
}

impl Router {
    /// Returns the address to which other routers send gossip.
    fn gossip(&self) -> SocketAddr {
        let own = SocketAddr::from((self.address.ip(), GOSSIP_PORT));
        let relay = self.peer_relay.as_ref();
        relay.map_or(own, |relay| relay.gossip)
    }
}

/// Routers, upstreams and their store, with the proxies between them.
pub struct Fleet {
    settings: Settings,
    store: Store,
    relay: Relay,
    upstreams: RefCell<Vec<Rc<Upstream>>>,
    /// Replaced upstreams that still send heartbeats.
    draining: RefCell<Vec<Rc<Upstream>>>,
    /// Replaced upstreams that remain until the end of the run.
    retired: RefCell<Vec<Rc<Upstream>>>,
    /// The routers.
    pub routers: Vec<Router>,
    /// Indices of the routers at which most clients resume streams now.
    pub preferred_routers: Rc<RefCell<Vec<usize>>>,
    programs: Vec<PathBuf>,
    directory: PathBuf,
    history: Rc<RefCell<History>>,
    /// Number of upstreams started so far.
    upstream_count: Cell<usize>,
    /// Descriptions of routers that exited unexpectedly or failed to stop gracefully.
    pub failed_exits: RefCell<Vec<String>>,
}

fn configuration(settings: &Settings, version: usize) -> Value {
    let plan = settings.plan;
    let route = |kind: Kind, name: &str, service: &str, attempts: usize| {
        json!({
            "name": kind.name(), "hostname": HOST, "pathPrefix": format!("/{}/", kind.name()),
            "kind": name, "timeoutMs": plan.timeout_ms(), "targetLatencyMs": 800, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": false,
            "resumable": kind == Kind::ResumableStream, "gapAimMs": 300,
        })
    };
    let mut routes = vec![
        route(Kind::Idempotent, "idempotent", "desk", MAX_ATTEMPTS),
        route(Kind::NonIdempotent, "non_idempotent", "desk", 1),
        route(Kind::ResumableStream, "streaming", "model", MAX_ATTEMPTS),
        route(Kind::Stream, "streaming", "model", 1),
    ];
    if settings.has_short_route {
        let mut short = route(Kind::ResumableStream, "streaming", "model", MAX_ATTEMPTS);
        short["name"] = SHORT_ROUTE.into();
        short["pathPrefix"] = format!("/{SHORT_ROUTE}/").into();
        short["timeoutMs"] = SHORT_TIMEOUT_MS.into();
        routes.push(short);
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "healthPath": "/health", "maxConnections": 100},
            {"name": "model", "healthPath": "/health", "maxConnections": 100,
             "engine": {"slots": plan.slots(), "kvCapacityTokens": 100_000}},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000, "tokensPerS": 300_000},
        "tenants": [{"name": TEAM, "apiKeys": [KEY, history::key(version)], "priority": 1}],
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
    /// Starts a store, the upstreams of a plan and its routers of these programs, which take turns.
    ///
    /// # Errors
    ///
    /// Returns an error if the store, an upstream or a router cannot be started.
    pub async fn start(
        programs: &[&FilePath],
        directory: &FilePath,
        settings: Settings,
    ) -> Result<Rc<Self>> {
        let Settings { plan, seed, .. } = settings;
        let store = Store::bind(plan.has_platform_writes()).await?;
        let relay = Relay::start(Timer::start(), seed)?;
        let mut fleet = Self {
            settings,
            store,
            relay,
            upstreams: RefCell::default(),
            draining: RefCell::default(),
            retired: RefCell::default(),
            routers: Vec::new(),
            preferred_routers: Rc::default(),
            programs: programs.iter().map(|&program| program.into()).collect(),
            directory: directory.to_owned(),
            history: Rc::default(),
            upstream_count: Cell::new(0),
            failed_exits: RefCell::default(),
        };
        fleet.history.borrow_mut().plan = plan;
        fleet.publish_configuration();
        for index in 0..plan.upstreams() {
            let upstream = fleet.start_upstream(plan.service(index), 1).await?;
            fleet.upstreams.borrow_mut().push(upstream);
        }
        let routers = plan.routers();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..routers {
            let router = fleet.prepare_router(number, &seeds)?;
            seeds.push(router.gossip());
            fleet.routers.push(router);
        }
        fleet.history.borrow_mut().router_disturbances = vec![Vec::new(); routers];
        fleet.history.borrow_mut().router_starts = vec![Vec::new(); routers];
        let fleet = Rc::new(fleet);
        (0..routers).try_for_each(|number| fleet.start_router(number))?;
        let tended = Rc::downgrade(&fleet);
        task::spawn_local(async move {
            while let Some(fleet) = tended.upgrade() {
                fleet.tend();
                drop(fleet);
                time::sleep(TEND_INTERVAL).await;
            }
        });
        Ok(fleet)
    }

    /// Returns the history of requests.
    #[must_use]
    pub const fn history(&self) -> &Rc<RefCell<History>> {
        &self.history
    }

    /// Publishes a newer configuration.
    fn publish_configuration(&self) {
        self.history
            .borrow_mut()
            .configurations
            .push(Instant::now());
        self.write_configuration();
    }

    /// Writes the newest configuration.
    fn write_configuration(&self) {
        let version = self.history.borrow().configurations.len();
        let text = configuration(&self.settings, version).to_string();
        self.store.write_configuration(&text);
    }

    /// Sends due heartbeats, and lets the store remove expired entries and make copies.
    fn tend(&self) {
        let now = Instant::now();
        let (upstreams, draining) = (self.upstreams.borrow(), self.draining.borrow());
        for upstream in upstreams.iter().chain(draining.iter()) {
            if now < upstream.next_heartbeat.get() || upstream.worker.is_frozen() {
                continue;
            }
            upstream.next_heartbeat.set(now + HEARTBEAT_INTERVAL);
            if self.store.is_up() {
                self.send_heartbeat(upstream);
            } else if self.settings.plan.has_platform_writes() {
                upstream.count_heartbeat();
            }
        }
        self.store.tend();
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
        let peer_relay = if self.settings.plan.has_router_relays() {
            // All routers use the same gossip port, so that the relay needs an address of its own.
            let listen = SocketAddr::from((unique_loopback_address(), GOSSIP_PORT));
            Some(PeerRelay::start(&self.relay, listen, gossip, control)?)
        } else {
            None
        };
        let advertised = peer_relay.as_ref().map_or_else(String::new, |relay| {
            let PeerRelay {
                control, gossip, ..
            } = relay;
            format!("advertise: {{control: \"{control}\", gossip: \"{gossip}\"}}\n")
        });
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "interface: platform\nhost: {name}\ndomain: north\n\
             listen: {{client: \"{client}\", ready: \"{ready}\", locate: \"{locate}\", \
             control: \"{control}\", gossip: \"{gossip}\", metrics: \"{metrics}\"}}\n\
             {advertised}descriptors: 1000\nseeds: {}\nstore: \"{store}\"\n\
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
            peer_relay,
            process: RefCell::default(),
        })
    }

    /// Starts a router unless it is running.
    fn start_router(&self, number: usize) -> Result<()> {
        let router = &self.routers[number];
        let mut process = router.process.borrow_mut();
        if process.is_none() {
            let arguments = ["--config".to_owned(), router.settings.display().to_string()];
            let program = &self.programs[number % self.programs.len()];
            let started = Process::start(&router.name, program, &arguments, &self.directory);
            *process = Some(started?);
            self.history.borrow_mut().router_starts[number].push(Instant::now());
        }
        Ok(())
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
        let (upstreams, retired) = (self.upstreams.borrow(), self.retired.borrow());
        for upstream in upstreams.iter().chain(retired.iter()) {
            self.record_arrivals(upstream);
        }
    }
}
