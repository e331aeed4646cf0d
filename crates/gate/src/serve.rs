//! Start, signals and the end of the process.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    signal::unix::{signal, Signal, SignalKind},
    sync::watch,
    time,
};
use tsw_base::time::Span;
use tsw_config::{gateway, settings};
use tsw_event::{emit, Event};
use tsw_flow::registry::Registry;
use tsw_http::connection;
use tsw_member::roster::{Member, Roster};
use tsw_platform::dialect::Dialect;
use tsw_relay::{
    metrics::Metrics,
    router::{Options, RetryLimits, Router},
};

use crate::{
    client,
    gate::{Gate, Phase},
    gossip, own, peer,
    read::{self, Subject},
    reuse::Reuse,
    stored::Stored,
};

/// Period at which waiting requests are tried again and settings are compared.
const TICK: Duration = Duration::from_millis(20);
/// Ticks between two looks at the settings file.
const SETTINGS_TICKS: u32 = 50;
/// Time after the request to stop in which clients that still hold the address are served.
const LINGER_LEAST: Duration = Duration::from_millis(2_000);
/// Part of the grace time after which no further request is taken.
const LINGER_PART: f64 = 0.5;
/// Time before the end of the grace time at which the process ends by itself.
const MARGIN: Duration = Duration::from_millis(300);
/// Pause after a connection could not be accepted, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why the process cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] tsw_event::setup::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; correct listen.{key}")]
    Bind {
        /// The setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The signal handlers cannot be set.
    #[error("cannot handle signals: {0}")]
    Signal(#[from] io::Error),
    /// The metrics cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The signals that a process handles. They are set up before anything else, since an unhandled
/// one ends the process.
pub struct Signals {
    stop: Signal,
    reload: Signal,
    _pipe: Signal,
}

impl Signals {
    /// Sets up the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses one.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            stop: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
            _pipe: signal(SignalKind::pipe())?,
        })
    }
}

/// Runs a router with the settings in a file until it has stopped gracefully.
///
/// # Errors
///
/// Returns why it cannot start.
pub async fn run(path: PathBuf) -> Result<(), Error> {
    let mut signals = Signals::new()?;
    let settings = gateway::Settings::load(&path)?;
    tsw_event::setup::init_bounded(&settings.log, settings.processor)?;
    let listen = settings.listen.clone();
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    let gate = gate(settings)?;
    let clients = bind("client", listen.client).await?;
    let mut calls = Vec::new();
    for (key, address) in [
        ("ready", listen.ready),
        ("locate", listen.locate),
        ("control", listen.control),
        ("metrics", listen.metrics),
    ] {
        calls.push(bind(key, address).await?);
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
            ("host", &gate.settings.borrow().host),
            ("client", &listen.client),
        ],
    );
    let front = actix_rt::spawn(accept_clients(gate.clone(), clients));
    for listener in calls {
        let gate = gate.clone();
        actix_rt::spawn(async move { accept(gate, &listener, own::serve).await });
    }
    actix_rt::spawn(gossip::hear(gate.clone(), socket.clone()));
    actix_rt::spawn(gossip::tell_members(gate.clone(), socket.clone()));
    actix_rt::spawn(gossip::tell_activities(gate.clone(), socket));
    actix_rt::spawn(peer::run(gate.clone()));
    actix_rt::spawn(read::run(gate.clone(), Subject::Configuration));
    actix_rt::spawn(read::run(gate.clone(), Subject::Upstreams));
    actix_rt::spawn(tick(gate.clone(), path.clone()));
    loop {
        tokio::select! {
            _ = signals.stop.recv() => break,
            _ = signals.reload.recv() => reload(&gate, &path),
        }
    }
    drain(&gate, grace, front).await;
    emit(Event::Stopped, &[]);
    tsw_event::bounded::flush();
    Ok(())
}

fn gate(settings: gateway::Settings) -> Result<Rc<Gate>, Error> {
    let bounds = &settings.bounds;
    let router = Router::new(Options {
        domain: settings.domain.as_str().into(),
        retries: RetryLimits {
            window: Span::from_micros((bounds.retry_window_s * 1e6) as u64),
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
        },
        protocol: Box::new(Dialect),
        metrics: Metrics::new()?,
    });
    let me = Member {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation: rand::random(),
        heartbeat: 0,
        client: settings.listen.client,
        gossip: settings.listen.gossip,
        control: settings.listen.control,
        processor: (settings.processor * 1_000.0) as u32,
        ready: false,
        reads_store: false,
        read_for_ms: 0,
        version: 0,
        revision: 0,
    };
    Ok(Rc::new(Gate {
        roster: RefCell::new(Roster::new(me, settings.gossip_seeds())),
        audience: RefCell::default(),
        settings: RefCell::new(settings),
        router,
        registry: RefCell::new(Registry::default()),
        stored: RefCell::new(Stored::default()),
        read_since: Cell::default(),
        phase: watch::Sender::new(Phase::Serving),
        in_flight: Cell::new(0),
        clients: Cell::new(0),
        reuse: Reuse::default(),
    }))
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = connection::listen(address).await;
    bound.map_err(|source| Error::Bind {
        key,
        address,
        source,
    })
}

fn spawn<F>(gate: &Rc<Gate>, stream: TcpStream, serve: fn(Rc<Gate>, TcpStream) -> F)
where
    F: Future<Output = io::Result<()>> + 'static,
{
    let served = serve(gate.clone(), stream);
    // A connection that breaks is reported with the request that it carried.
    actix_rt::spawn(async move { drop(served.await) });
}

/// Accepts connections of clients until the router closes. Those that are in the queue of the
/// listener then are accepted as well: closing it would reset them, with the requests on them.
async fn accept_clients(gate: Rc<Gate>, listener: TcpListener) {
    let mut phase = gate.phase.subscribe();
    let accepts = accept(gate.clone(), &listener, client::serve);
    tokio::select! {
        () = accepts => {}
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    match queued(listener) {
        Ok(streams) => streams
            .into_iter()
            .for_each(|stream| spawn(&gate, stream, client::serve)),
        Err(error) => emit(Event::AcceptFailed, &[("cause", &error)]),
    }
}

/// Returns the connections in the queue of a listener and closes it.
///
/// # Errors
///
/// Returns an error if the listener cannot be used without the runtime.
fn queued(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        streams.push(TcpStream::from_std(stream)?);
    }
    Ok(streams)
}

async fn accept<F>(gate: Rc<Gate>, listener: &TcpListener, serve: fn(Rc<Gate>, TcpStream) -> F)
where
    F: Future<Output = io::Result<()>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(&gate, stream, serve),
            Err(error) => {
                emit(Event::AcceptFailed, &[("cause", &error)]);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn tick(gate: Rc<Gate>, path: PathBuf) {
    let mut text = std::fs::read_to_string(&path).ok();
    for count in 1u32.. {
        time::sleep(TICK).await;
        if gate.router.queued_requests() > 0 {
            gate.router.dispatch_all_queued();
        }
        if count.is_multiple_of(SETTINGS_TICKS) {
            gate.router.expire_connections();
            let found = std::fs::read_to_string(&path).ok();
            if found.is_some() && found != text {
                reload(&gate, &path);
                text = found;
            }
        }
    }
}

/// Takes changed settings. What the process listens on stays until its next start.
fn reload(gate: &Gate, path: &Path) {
    match gateway::Settings::load(path) {
        Ok(settings) => {
            let mut roster = gate.roster.borrow_mut();
            roster.set_seeds(settings.gossip_seeds());
            *gate.settings.borrow_mut() = settings;
            emit(Event::SettingsReloaded, &[]);
        }
        Err(error) => emit(Event::SettingsRejected, &[("cause", &error)]),
    }
}

/// Answers what is in flight and what clients send that still hold the address.
async fn drain(gate: &Gate, grace: Duration, front: actix_rt::task::JoinHandle<()>) {
    let began = Instant::now();
    gate.phase.send_replace(Phase::Draining);
    emit(Event::Draining, &[("in_flight", &gate.in_flight.get())]);
    let linger = LINGER_LEAST.min(grace.mul_f64(LINGER_PART));
    time::sleep(linger).await;
    gate.phase.send_replace(Phase::Closing);
    if let Err(error) = front.await {
        emit(Event::AcceptFailed, &[("cause", &error)]);
    }
    // Connections whose request has arrived take it up before the requests are counted.
    time::sleep(TICK).await;
    let end = grace.saturating_sub(MARGIN);
    while gate.in_flight.get() > 0 && began.elapsed() < end {
        time::sleep(TICK).await;
    }
    if gate.in_flight.get() > 0 {
        emit(Event::DrainOverdue, &[("in_flight", &gate.in_flight.get())]);
    }
}
