//! Router processes with the platform interface, and fakes of the platform's store and upstreams.

#![allow(dead_code)] // Each test file uses only some items.

pub mod address;

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use serde_json::{json, Value};
use tsw_fake::{
    store::Store,
    worker::{Behaviour, Worker},
};
use tsw_http::{body, connection::Connection, exchange::Exchange, field::Fields, head};

/// Timeout of everything that a test waits for. A busy machine may need seconds.
pub const TIMEOUT: Duration = Duration::from_secs(20);
pub const HOST: &str = "desk.example";
/// Gossip port of all routers, each of which has its own loopback address.
pub const GOSSIP_PORT: u16 = 7_400;
pub const KEY: &str = "counter-key";

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = std::time::Instant::now() + TIMEOUT;
    while !holds() {
        assert!(std::time::Instant::now() < end, "timed out: {what}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns distinct free ports of an address. All are bound at the same time, so no two are equal.
fn free<const N: usize>(address: Ipv4Addr) -> [SocketAddr; N] {
    let bind = |()| TcpListener::bind((address, 0)).expect("a free port");
    let listeners = [(); N].map(bind);
    listeners.map(|listener| listener.local_addr().expect("bound"))
}

/// Returns a configuration with one route of each kind, each with its own path prefix.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, more: Value| {
        let mut route = json!({
            "name": name, "hostname": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 15_000, "targetLatencyMs": 800, "priority": 1, "service": service,
            "maxAttempts": 2, "public": false,
        });
        for (key, value) in more.as_object().expect("fields") {
            route[key] = value.clone();
        }
        route
    };
    json!({
        "version": version,
        "routes": [
            route("lookup", "idempotent", "desk", json!({})),
            route("book", "non_idempotent", "desk", json!({"maxAttempts": 1})),
            route("open", "idempotent", "desk", json!({"public": true})),
            route("draft", "streaming", "model", json!({"resumable": true, "gapAimMs": 300})),
            route("note", "streaming", "model", json!({"resumable": false, "gapAimMs": 300})),
        ],
        "services": [
            {"name": "desk", "healthPath": "/health", "maxConnections": 100},
            {"name": "model", "healthPath": "/health", "maxConnections": 100,
             "engine": {"slots": 8, "kvCapacityTokens": 100_000}},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000, "tokensPerS": 300_000},
        "tenants": [{"name": "counter", "apiKeys": [KEY], "priority": 1}],
    })
}

/// Returns an entry with the version of the upstream's software, or `v1` if it has none.
pub fn entry(service: &str, worker: &Worker, state: &str, seq: u64) -> Vec<u8> {
    let version = worker.version().unwrap_or_else(|| "v1".to_owned());
    versioned_entry(service, worker, (state, seq), Some(&version))
}

/// Returns an entry that states this version, or none.
pub fn versioned_entry(
    service: &str,
    worker: &Worker,
    (state, seq): (&str, u64),
    version: Option<&str>,
) -> Vec<u8> {
    let mut entry = json!({
        "service": service, "address": worker.address().to_string(), "zone": "north",
        "slots": 8, "state": state, "coldRemainingMs": 0, "born": 1_000, "seqNo": seq,
    });
    if let Some(version) = version {
        entry["version"] = Value::from(version);
    }
    entry.to_string().into_bytes()
}

/// Limits of a router process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// File descriptors; few make the router close client connections after each response.
    pub descriptors: usize,
    /// Memory in megabytes; `None` for the default of the process.
    pub memory_mb: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            descriptors: 20,
            memory_mb: None,
        }
    }
}

/// A router process. Dropping it kills the process.
pub struct Router {
    pub client: SocketAddr,
    pub ready: SocketAddr,
    pub locate: SocketAddr,
    pub control: SocketAddr,
    pub gossip: SocketAddr,
    pub metrics: SocketAddr,
    pub process: Child,
    pub settings: PathBuf,
    _directory: tempfile::TempDir,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Router {
    /// Starts a router with the store at `store` and the gossip seeds `seeds`.
    ///
    /// All routers use the same gossip port.
    pub fn start(host: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self::start_limited(host, store, seeds, Limits::default())
    }

    /// Like [`Router::start`], with limits of the process.
    pub fn start_limited(
        host: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        limits: Limits,
    ) -> Self {
        Self::start_advertised(host, store, seeds, limits, |_, _| None)
    }

    /// Like [`Router::start_limited`], with the control and gossip addresses that it advertises for its own ones.
    pub fn start_advertised(
        host: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        limits: Limits,
        advertise: impl FnOnce(SocketAddr, SocketAddr) -> Option<(SocketAddr, SocketAddr)>,
    ) -> Self {
        // A process spawned at the same time would inherit the bound sockets until it calls exec.
        static STARTS: Mutex<()> = Mutex::new(());
        let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
        let address = address::unique_loopback();
        let gossip = SocketAddr::from((address, GOSSIP_PORT));
        let directory = tempfile::tempdir().expect("a directory");
        let [client, ready, locate, control, metrics] = free(address);
        let settings = directory.path().join("router.yaml");
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let advertise = advertise(control, gossip).map(|(control, gossip)| {
            format!("advertise: {{control: \"{control}\", gossip: \"{gossip}\"}}\n")
        });
        let advertise = advertise.unwrap_or_default();
        let text = format!(
            "interface: platform\nhost: {host}\ndomain: north\n\
             listen: {{client: \"{client}\", ready: \"{ready}\", locate: \"{locate}\", \
             control: \"{control}\", gossip: \"{gossip}\", metrics: \"{metrics}\"}}\n\
             {advertise}descriptors: {}\nseeds: {}\nstore: \"{store}\"\n\
             bounds: {{retry_ratio: 0.2, retry_window_s: 10, retry_slack: 50, keep_s: 5, grace_s: 8}}\n",
            limits.descriptors,
            json!(seeds)
        );
        fs::write(&settings, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_toucand"));
        command.arg("--config").arg(&settings);
        if let Some(megabytes) = limits.memory_mb {
            command.env("TOUCAN_MEMORY_MB", megabytes.to_string());
        }
        let process = command.spawn().expect("a process");
        Self {
            client,
            ready,
            locate,
            control,
            gossip,
            metrics,
            process,
            settings,
            _directory: directory,
        }
    }

    /// Waits until the router reports that it is ready.
    pub async fn wait_ready(&self) {
        let end = std::time::Instant::now() + TIMEOUT;
        while self
            .get(self.ready, "/api/ready")
            .await
            .map(|response| response.status)
            != Some(200)
        {
            assert!(std::time::Instant::now() < end, "the router is not ready");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a GET request to one of the router's own listeners.
    pub async fn get(&self, address: SocketAddr, target: &str) -> Option<Response> {
        let mut call = Call::new("GET", target);
        call.head.fields.push("Connection", "close");
        call.send_to(address).await.ok()
    }

    /// Returns the peak resident memory of the process, in kB.
    pub fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(path).expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.expect("a line").trim().trim_end_matches(" kB");
        number.parse().expect("a number")
    }

    /// Returns the number of open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        fs::read_dir(path).expect("a running process").count()
    }

    /// Changes the descriptor limit in the settings, so that the router does not close connections
    /// because of it. Returns when the router has applied the change.
    pub async fn set_descriptors(&self, descriptors: usize) {
        let settings = fs::read_to_string(&self.settings).expect("settings");
        let stated = format!("descriptors: {descriptors}");
        let settings = settings.replace("descriptors: 20", &stated);
        fs::write(&self.settings, settings).expect("written");
        self.signal(rustix::process::Signal::HUP);
        // With the old limit, this many open connections make the router close each after its response.
        let mut open = Vec::new();
        for _ in 0..20 {
            open.push(Connection::open(self.client, TIMEOUT).await.expect("open"));
        }
        let end = std::time::Instant::now() + TIMEOUT;
        let probe = Call::valid("GET", "/nowhere/", "probe");
        while probe
            .send(self)
            .await
            .fields
            .contains_token("connection", "close")
        {
            assert!(
                std::time::Instant::now() < end,
                "the settings were not applied"
            );
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.process.id()).expect("an id");
        let id = rustix::process::Pid::from_raw(id).expect("an id");
        rustix::process::kill_process(id, signal).expect("sent");
    }
}

/// A response as received by a client.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub fields: Fields,
    pub body: Bytes,
    /// Whether the body arrived completely, with an explicit end.
    pub whole: bool,
}

impl Response {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("UTF-8")
    }

    /// Returns the event identifiers of a streamed response.
    pub fn events(&self) -> Vec<u64> {
        let lines = self.text().lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().expect("a number")).collect()
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub head: head::Request,
    pub body: Bytes,
}

impl Call {
    pub fn new(method: &'static str, target: &str) -> Self {
        let mut fields = Fields::default();
        fields.push("Host", HOST);
        Self {
            head: head::Request {
                method: Bytes::from_static(method.as_bytes()),
                target: Bytes::copy_from_slice(target.as_bytes()),
                http10: false,
                fields,
            },
            body: Bytes::new(),
        }
    }

    /// Creates a valid request of the team `counter`.
    pub fn valid(method: &'static str, target: &str, id: &str) -> Self {
        let mut call = Self::new(method, target);
        let fields = &mut call.head.fields;
        fields.push("Attempt-Id", id.to_owned());
        fields.push("Deadline-Ms", "15000");
        fields.push("Authorization", format!("Token {KEY}"));
        call
    }

    /// Creates a valid request for a model engine.
    pub fn prompt(target: &str, id: &str) -> Self {
        let mut call = Self::valid("POST", target, id);
        let fields = &mut call.head.fields;
        fields.push("Model-Name", "m");
        fields.push("Token-Count", "1000,50");
        fields.push("Prompt-Prefix", "aa:400,bb:500,cc:100");
        call.body("{\"prompt\":\"...\"}")
    }

    pub fn body(mut self, body: &'static str) -> Self {
        self.head
            .fields
            .push("Content-Length", body.len().to_string());
        self.body = Bytes::from_static(body.as_bytes());
        self
    }

    pub async fn send_to(
        &self,
        address: SocketAddr,
    ) -> Result<Response, tsw_http::exchange::Error> {
        let connection = Connection::open(address, TIMEOUT).await?;
        read(Exchange::open(connection, &self.head, self.body.clone()).await?).await
    }

    /// Sends the request to a router and reads the response, even if it is incomplete.
    pub async fn send(&self, router: &Router) -> Response {
        let sent = actix_rt::time::timeout(TIMEOUT, self.send_to(router.client)).await;
        sent.expect("a response in time").expect("a response")
    }
}

/// Reads a response, even if it is incomplete.
pub async fn read(mut exchange: Exchange) -> Result<Response, tsw_http::exchange::Error> {
    let mut body = BytesMut::new();
    let whole = loop {
        match exchange.data().await {
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let framed = exchange.head().length(b"GET") != Ok(body::Length::UntilClose);
    Ok(Response {
        status: exchange.head().status,
        fields: exchange.head().fields.clone(),
        body: body.freeze(),
        whole: whole && framed,
    })
}

/// Writes the configuration and the upstream entries to a store.
pub fn publish(store: &Store, upstreams: &[(&str, &str, &Worker)]) {
    store.set("op/config", Some(configuration(1).to_string().as_bytes()));
    for (id, service, worker) in upstreams {
        let key = format!("servers/{id}");
        store.set(&key, Some(&entry(service, worker, "ready", 1)));
    }
}

/// A router with a store, one upstream of the service `desk` and two of `model`.
pub struct Site {
    pub store: Store,
    pub desk: Worker,
    pub models: [Worker; 2],
    pub router: Router,
}

impl Site {
    /// Starts all parts; the upstreams have the given behaviours.
    pub async fn start(desk: Behaviour, model: Behaviour) -> Self {
        Self::start_limited(desk, model, Limits::default()).await
    }

    /// Like [`Site::start`], with limits of the router process.
    pub async fn start_limited(desk: Behaviour, model: Behaviour, limits: Limits) -> Self {
        let store = Store::bind().await.expect("a store");
        let desk = Worker::bind(desk).await.expect("an upstream");
        let models = [
            Worker::bind(model).await.expect("an upstream"),
            Worker::bind(model).await.expect("an upstream"),
        ];
        let upstreams = [
            ("d1", "desk", &desk),
            ("m1", "model", &models[0]),
            ("m2", "model", &models[1]),
        ];
        publish(&store, &upstreams);
        let router = Router::start_limited("r1", store.address(), &[], limits);
        router.wait_ready().await;
        let site = Self {
            store,
            desk,
            models,
            router,
        };
        site.wait_upstreams().await;
        site
    }

    /// Waits until the router knows its upstreams, which it reads separately from the configuration.
    pub async fn wait_upstreams(&self) {
        self.wait_metric("relay_upstreams 3").await;
    }

    /// Waits until the metrics of the router contain a line.
    pub async fn wait_metric(&self, line: &str) {
        let end = std::time::Instant::now() + TIMEOUT;
        loop {
            let metrics = self.router.get(self.router.metrics, "/metrics").await;
            let text = metrics.expect("metrics");
            if text.text().lines().any(|found| found == line) {
                return;
            }
            assert!(
                std::time::Instant::now() < end,
                "the metrics do not contain {line:?}"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Writes a configuration to the store and waits until the router has adopted it.
    pub async fn reconfigure(&self, mut configuration: Value) {
        let path = format!("/version-{}/", configuration["version"]);
        let routes = configuration["routes"].as_array_mut().expect("routes");
        let mut added = routes[0].clone();
        added["name"] = Value::from(path.trim_matches('/'));
        added["pathPrefix"] = Value::from(&*path);
        added["public"] = Value::from(false);
        routes.push(added);
        let text = configuration.to_string();
        self.store.set("op/config", Some(text.as_bytes()));
        let mut probe = Call::valid("GET", &path, "probe");
        probe.head.fields.remove("Authorization");
        let end = std::time::Instant::now() + TIMEOUT;
        // The router refuses a request without a key once it knows the route.
        while probe.send(&self.router).await.status != 401 {
            assert!(std::time::Instant::now() < end, "no new configuration");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn model_arrivals(&self) -> usize {
        self.models.iter().map(|model| model.arrivals().len()).sum()
    }
}
