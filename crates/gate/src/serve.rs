//! Start and graceful shutdown of the process.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    time,
};
use tsw_base::time::Span;
use tsw_config::{gateway, settings};
use tsw_event::{emit, Event};
use tsw_flow::registry::Registry;
use tsw_http::connection;
use tsw_member::roster::{Member, Roster};
use tsw_platform::protocol::PlatformProtocol;
use tsw_relay::{
    metrics::Metrics,
    router::{Options, RetryLimits, Router},
};

use crate::{
    accept,
    connection_reuse::ReuseTracker,
    credit_exchange, gossip,
    list_check::{self, ListCheck},
    list_comparison, origin_sync, peer_sync,
    signals::Signals,
    state::{Phase, State},
    store_copy::StoreCopy,
    store_watch::{self, Subject},
};

/// Interval at which queued requests are tried again; also the unit of [`SETTINGS_TICKS`].
const TICK: Duration = Duration::from_millis(20);
/// Number of ticks between two checks of the settings file for changes.
const SETTINGS_TICKS: u32 = 50;
/// Time after the stop signal for which new connections are accepted from clients that still use
/// this address.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2_000);
/// Fraction of the grace time after which no further request is accepted.
const DRAIN_ACCEPT_FRACTION: f64 = 0.5;
/// Time before the end of the grace time at which the process exits on its own.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Variable with the memory that the deployment grants the process, in megabytes.
const MEMORY_VARIABLE: &str = "TOUCAN_MEMORY_MB";
/// Memory of the process in megabytes if the deployment does not state it.
const DEFAULT_MEMORY_MB: f64 = 110.0;
/// Maximum of the stated memory in megabytes.
const MAX_MEMORY_MB: f64 = 65_536.0;
/// Part of the memory for client connections, and what one takes: its task, and the first buffer for what arrives.
const CONNECTION_MEMORY_PART: f64 = 0.25;
const CONNECTION_BYTES: f64 = 16_384.0;
/// Part of the memory that requests may buffer. The kernel's buffers of the connections count as well.
const REQUEST_MEMORY_PART: f64 = 0.35;

/// An error that prevents the start of the process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] tsw_event::setup::Error),
    /// The process cannot listen on an address.
    #[error("cannot listen on {address}: {source}; correct listen.{key}")]
    Bind {
        /// Name of the setting below `listen`.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The metrics cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs a router with the settings in the file at `path` until it has shut down gracefully.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run(path: PathBuf, mut signals: Signals) -> Result<(), Error> {
    let settings = gateway::Settings::load(&path)?;
    tsw_event::setup::init_bounded(&settings.log, settings.processor)?;
    let listen = settings.listen.clone();
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    let state = build_state(settings)?;
    let client_listener = bind("client", listen.client).await?;
    let mut endpoint_listeners = Vec::new();
    for (key, address) in [
        ("ready", listen.ready),
        ("locate", listen.locate),
        ("control", listen.control),
        ("metrics", listen.metrics),
    ] {
        endpoint_listeners.push(bind(key, address).await?);
    }
    let socket = UdpSocket::bind(listen.gossip).await;
    let socket = Rc::new(socket.map_err(|source| Error::Bind {
        key: "gossip",
        address: listen.gossip,
        source,
    })?);
    emit(
        Event::Started,
        &[
            ("host", &state.settings.borrow().host),
            ("client", &listen.client),
        ],
    );
    let client_task = actix_rt::spawn(accept::clients(state.clone(), client_listener));
    for listener in endpoint_listeners {
        actix_rt::spawn(accept::endpoints(state.clone(), listener));
    }
    actix_rt::spawn(gossip::receive(state.clone(), socket.clone()));
    actix_rt::spawn(gossip::send_members(state.clone(), socket.clone()));
    actix_rt::spawn(gossip::send_findings(state.clone(), socket.clone()));
    actix_rt::spawn(origin_sync::send_records(state.clone(), socket.clone()));
    actix_rt::spawn(credit_exchange::run(state.clone(), socket.clone()));
    actix_rt::spawn(gossip::send_activities(state.clone(), socket));
    actix_rt::spawn(peer_sync::run(state.clone()));
    actix_rt::spawn(store_watch::run(state.clone(), Subject::Configuration));
    actix_rt::spawn(store_watch::run(state.clone(), Subject::Upstreams));
    actix_rt::spawn(list_check::run_after_pauses(state.clone()));
    actix_rt::spawn(list_comparison::run(state.clone()));
    actix_rt::spawn(run_periodic_tasks(state.clone(), path.clone()));
    loop {
        tokio::select! {
            _ = signals.stop.recv() => break,
            _ = signals.reload.recv() => reload(&state, &path),
        }
    }
    drain(&state, grace, client_task).await;
    emit(Event::Stopped, &[]);
    tsw_event::bounded::flush();
    Ok(())
}

fn build_state(settings: gateway::Settings) -> Result<Rc<State>, Error> {
    let bounds = &settings.bounds;
    let router = Router::new(Options {
        domain: settings.domain.as_str().into(),
        retries: RetryLimits {
            window: Span::from_micros((bounds.retry_window_s * 1e6) as u64),
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
        },
        protocol: Box::new(PlatformProtocol),
        metrics: Metrics::new()?,
        memory_bytes: memory_bytes(),
    });
    let advertised = settings.advertised();
    let own_member = Member {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation: rand::random(),
        heartbeat: 0,
        client: settings.listen.client,
        gossip: advertised.gossip,
        control: advertised.control,
        processor: (settings.processor * 1_000.0) as u32,
        ready: false,
        reads_store: false,
        read_for_ms: 0,
        version: 0,
        revision: 0,
        era: None,
    };
    Ok(Rc::new(State {
        roster: RefCell::new(Roster::new(own_member, settings.gossip_seeds())),
        audience: RefCell::default(),
        settings: RefCell::new(settings),
        router,
        registry: RefCell::new(Registry::default()),
        evacuations: RefCell::default(),
        store_copy: RefCell::new(StoreCopy::default()),
        must_list: Cell::default(),
        read_since: Cell::default(),
        routers_at_read: Cell::default(),
        phase: watch::Sender::new(Phase::Serving),
        in_flight: Cell::new(0),
        clients: Rc::default(),
        endpoint_clients: Rc::default(),
        max_clients: max_clients(),
        reuse: ReuseTracker::default(),
        origin_queries: origin_sync::Queries::default(),
        list_check: ListCheck::new(list_check::Fallback::Routers),
        store_check: ListCheck::new(list_check::Fallback::None),
        ready_routers: RefCell::default(),
    }))
}

/// Returns the number of bytes that all requests may buffer.
fn memory_bytes() -> usize {
    (granted_bytes() * REQUEST_MEMORY_PART) as usize
}

/// Returns the number of client connections that the memory allows.
fn max_clients() -> usize {
    (granted_bytes() * CONNECTION_MEMORY_PART / CONNECTION_BYTES) as usize
}

/// Returns the memory that the deployment grants the process, in bytes.
fn granted_bytes() -> f64 {
    let granted = std::env::var(MEMORY_VARIABLE).ok();
    let granted = granted.and_then(|text| text.trim().parse::<f64>().ok());
    let granted = granted.filter(|megabytes| *megabytes > 0.0);
    let megabytes = granted.unwrap_or(DEFAULT_MEMORY_MB).min(MAX_MEMORY_MB);
    megabytes * 1e6
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = connection::listen(address).await;
    bound.map_err(|source| Error::Bind {
        key,
        address,
        source,
    })
}

/// Periodically starts queued requests, closes expired connections and reloads changed settings.
async fn run_periodic_tasks(state: Rc<State>, path: PathBuf) {
    let mut loaded_text = std::fs::read_to_string(&path).ok();
    for count in 1u32.. {
        time::sleep(TICK).await;
        if state.router.queued_requests() > 0 {
            state.router.start_all_queued();
        }
        if count.is_multiple_of(SETTINGS_TICKS) {
            state.router.expire_connections();
            let found = std::fs::read_to_string(&path).ok();
            if found.is_some() && found != loaded_text {
                reload(&state, &path);
                loaded_text = found;
            }
        }
    }
}

/// Reloads the settings. Changed listen addresses take effect only at the next start.
fn reload(state: &State, path: &Path) {
    match gateway::Settings::load(path) {
        Ok(settings) => {
            let mut roster = state.roster.borrow_mut();
            roster.set_seeds(settings.gossip_seeds());
            *state.settings.borrow_mut() = settings;
            emit(Event::SettingsReloaded, &[]);
        }
        Err(error) => emit(Event::SettingsRejected, &[("cause", &error)]),
    }
}

/// Serves requests in flight, and for a while those of clients that still use this address.
async fn drain(state: &State, grace: Duration, client_task: actix_rt::task::JoinHandle<()>) {
    let start = Instant::now();
    state.phase.send_replace(Phase::Draining);
    emit(Event::Draining, &[("in_flight", &state.in_flight.get())]);
    let accept_time = DRAIN_ACCEPT_TIME.min(grace.mul_f64(DRAIN_ACCEPT_FRACTION));
    time::sleep(accept_time).await;
    state.phase.send_replace(Phase::Closing);
    if let Err(error) = client_task.await {
        emit(Event::AcceptFailed, &[("cause", &error)]);
    }
    // Lets connections whose next request has arrived read it, so that it counts as in flight.
    time::sleep(TICK).await;
    let limit = grace.saturating_sub(EXIT_MARGIN);
    wait_in_flight(state, start + limit).await;
    if state.in_flight.get() > 0 {
        emit(
            Event::DrainOverdue,
            &[("in_flight", &state.in_flight.get())],
        );
        state.router.end_requests();
        // Counted from now on, since a busy process may get here late.
        wait_in_flight(state, Instant::now() + EXIT_MARGIN / 2).await;
    }
}

/// Waits until no request is in flight.
async fn wait_in_flight(state: &State, until: Instant) {
    while state.in_flight.get() > 0 && Instant::now() < until {
        time::sleep(TICK).await;
    }
}
