//! Startup, periodic tasks and shutdown of the router.

use std::{
    cell::OnceCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::time;
use rand::Rng;
use tsw_event::{emit, Event};
use tsw_wire::message::{Fetch, Message};

use crate::{
    accept,
    context::{Context, Error},
    load, non_idempotent, order, peers, platform,
    router::{Phase, Router},
    state, task,
};

/// Mean period between reads of the host list.
const HOSTS_PERIOD: Duration = Duration::from_millis(1_000);
/// Failed reads of the host list at startup after which the process exits.
const HOSTS_ATTEMPTS: u32 = 5;
const HOSTS_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time that a starting router waits for bundles from peers.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of peers that a starting router asks for a bundle.
const MAX_PEERS_ASKED: usize = 5;
/// Wait time of a long poll of the configuration service.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);
/// Pause after a long poll, since a stale configuration service may respond at once every time.
const LONG_POLL_PAUSE: Duration = Duration::from_millis(200);
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Tick period of membership and permit tables, which need a tick at least every 50 ms.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Tick period of scheduling while requests are queued or running.
const SCHEDULING_TICK_PERIOD: Duration = Duration::from_millis(10);
/// Time after the last request during which remaining messages and responses are still sent.
const LINGER: Duration = Duration::from_millis(500);
/// Time without a request after which a draining router closes the remaining connections of callers.
/// Requests that arrive earlier get a response that asks the caller to close its connection.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

thread_local! {
    static ROUTER: OnceCell<Rc<Router>> = const { OnceCell::new() };
}

/// Returns the router of this thread. The first call creates it and starts its tasks.
///
/// # Errors
///
/// Returns why the router cannot be created.
pub fn thread_router(context: &Arc<Context>) -> Result<Rc<Router>, Error> {
    ROUTER.with(|cell| {
        if let Some(router) = cell.get() {
            return Ok(router.clone());
        }
        let router = Router::new(context.clone(), spawn_task)?;
        actix_rt::spawn(run(router.clone()));
        Ok(cell.get_or_init(|| router).clone())
    })
}

fn spawn_task(router: Rc<Router>, task: task::Task) {
    match task {
        task::Task::Run(run) => {
            actix_rt::spawn(non_idempotent::run(router, run));
        }
        task::Task::Order { upstream, order } => {
            actix_rt::spawn(order::send(router, upstream, order));
        }
        task::Task::ReadHosts => router.wake_hosts_reader.notify_one(),
        task::Task::ReadLoads => {
            actix_rt::spawn(load::read(router));
        }
        task::Task::Restart { earlier } => {
            let context = router.context();
            if let Ok(mut superseded) = context.superseded.lock() {
                *superseded = (*superseded).max(Some(earlier));
            }
            context.stop.notify_one();
        }
    }
}

async fn run(router: Rc<Router>) {
    let result = start_and_wait(&router).await;
    let result = match result {
        Ok(()) => {
            drain(&router).await;
            Ok(())
        }
        Err(error) => Err(error),
    };
    // The main thread may have ended already.
    let _ = router.context().end.send(result);
}

async fn start_and_wait(router: &Rc<Router>) -> Result<(), Error> {
    let callers = router.context().callers.lock();
    if let Some(listener) = callers.ok().and_then(|mut callers| callers.take()) {
        actix_rt::spawn(accept::run(router.clone(), listener));
    }
    let link = peers::listen(router)?;
    router.update_state(|state, _| state.out.connect(link));
    tokio::select! {
        biased;
        // What it starts below is not needed any more.
        () = router.context().stop.notified() => return Ok(()),
        loaded = load_initial_hosts(router) => loaded?,
    }
    actix_rt::spawn(tick(router.clone()));
    actix_rt::spawn(tick_scheduling(router.clone()));
    actix_rt::spawn(read_hosts(router.clone()));
    actix_rt::spawn(watch_bundle(router.clone()));
    let stop = router.context().stop.notified();
    tokio::select! {
        () = become_ready(router) => {}
        () = stop => return Ok(()),
    }
    router.context().stop.notified().await;
    Ok(())
}

async fn load_initial_hosts(router: &Rc<Router>) -> Result<(), Error> {
    for attempt in 1.. {
        match read_hosts_once(router).await {
            Ok(()) => break,
            Err(error) if attempt >= HOSTS_ATTEMPTS => return Err(error.into()),
            Err(error) => emit(Event::PlatformDown, &[("cause", &error)]),
        }
        time::sleep(HOSTS_RETRY_PAUSE).await;
    }
    Ok(())
}

/// Loads the bundle and marks the router as ready. Peers are asked as well, since they may have a newer
/// bundle than a stale configuration service.
async fn become_ready(router: &Rc<Router>) {
    let asked = router.update_state(|state, _| {
        let peers = state.board.fleet.peers();
        let mut hosts: Vec<_> = peers.map(|(id, _, _)| id.host.clone()).collect();
        hosts.sort_by_key(|host| {
            let salt = state.out.me().incarnation.get();
            tsw_member::rendezvous::weight(salt, host.as_str())
        });
        hosts.truncate(MAX_PEERS_ASKED);
        for host in &hosts {
            let fetch = Fetch {
                bundle: 0,
                hosts: 0,
            };
            state.out.send(host, Message::Fetch(fetch));
        }
        hosts.len()
    });
    let until = Instant::now() + PEER_ANSWER_TIMEOUT;
    read_bundle(router, Duration::ZERO).await;
    while Instant::now() < until && router.read_state(|state| state.bundle_answers) < asked {
        time::sleep(Duration::from_millis(10)).await;
    }
    while router.rules().is_none() {
        time::sleep(Duration::from_millis(50)).await;
        router.refresh_rules();
    }
    router.set_phase(Phase::Ready);
    let revision = router.read_state(|state| state.board.configuration.revision());
    emit(Event::Ready, &[("revision", &revision)]);
}

async fn read_hosts_once(router: &Router) -> Result<(), platform::Error> {
    let settings = router.settings();
    let base = &settings.platform.hosts;
    let read_at = router.now();
    let (list, errors) = platform::fetch_hosts(&router.client, base, &settings.host).await?;
    let new = router.read_state(|state| list != *state.board.hosts);
    if new {
        for error in errors {
            emit(Event::HostsRejected, &[("cause", &error)]);
        }
    }
    router.update_state(|state, now| state.adopt_hosts(now, list, read_at));
    let in_use = router.read_state(|state| state.board.hosts.revision);
    router
        .metrics
        .hosts
        .set(i64::try_from(in_use).unwrap_or(i64::MAX));
    Ok(())
}

/// Logs when a service of the platform becomes unreachable or reachable again.
struct Reachability {
    service: &'static str,
    up: bool,
}

impl Reachability {
    fn record<T>(&mut self, result: Result<T, platform::Error>) -> Option<T> {
        let up = result.is_ok();
        match &result {
            Err(error) if self.up => {
                emit(
                    Event::PlatformDown,
                    &[("service", &self.service), ("cause", error)],
                );
            }
            Ok(_) if !self.up => emit(Event::PlatformUp, &[("service", &self.service)]),
            _ => {}
        }
        self.up = up;
        result.ok()
    }
}

async fn read_hosts(router: Rc<Router>) {
    let mut reachability = Reachability {
        service: "hosts",
        up: true,
    };
    loop {
        // Jitter keeps the routers of a fleet from reading at the same time.
        let period = HOSTS_PERIOD.mul_f64(rand::thread_rng().gen_range(0.8..1.2));
        let wanted = router.wake_hosts_reader.notified();
        if time::timeout(period, wanted).await.is_ok() {
            time::sleep(Duration::from_millis(100)).await;
        }
        reachability.record(read_hosts_once(&router).await);
    }
}

/// Reads the bundle once; if `wait` is not zero, waits for a revision above the active one.
async fn read_bundle(router: &Router, wait: Duration) -> Option<()> {
    let base = &router.settings().platform.config;
    let revision = router.read_state(|state| state.board.configuration.revision());
    let result = platform::fetch_bundle(&router.client, base, revision, wait).await;
    match result {
        Ok(Some(content)) => {
            router.update_state(|state, now| {
                state.offer_bundle(now, &content, &"configuration service")
            });
            router.refresh_rules();
            Some(())
        }
        Ok(None) => Some(()),
        Err(error) => {
            emit(Event::PlatformDown, &[("cause", &error)]);
            None
        }
    }
}

async fn watch_bundle(router: Rc<Router>) {
    let mut reachability = Reachability {
        service: "config",
        up: true,
    };
    loop {
        let (reader, revision) = router.read_state(|state| {
            let revision = state.board.configuration.revision();
            (state.board.fleet.is_reader(), revision)
        });
        // Without a bundle every router reads the service, in case no peer has a bundle either.
        if !reader && revision > 0 {
            time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let wait = if revision > 0 {
            LONG_POLL_WAIT
        } else {
            Duration::ZERO
        };
        let base = &router.settings().platform.config;
        let result = platform::fetch_bundle(&router.client, base, revision, wait).await;
        let failed = result.is_err();
        if let Some(Some(content)) = reachability.record(result) {
            router.update_state(|state, now| {
                state.offer_bundle(now, &content, &"configuration service")
            });
            router.refresh_rules();
        }
        let pause = if failed { RETRY_PAUSE } else { LONG_POLL_PAUSE };
        time::sleep(pause).await;
    }
}

async fn tick(router: Rc<Router>) {
    let mut interval = time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        router.update_state(|state, now| state.tick(now));
        router.refresh_rules();
    }
}

/// Ticks scheduling at a short period while requests are queued or running, and not otherwise.
async fn tick_scheduling(router: Rc<Router>) {
    loop {
        if router.read_state(state::State::is_busy) {
            time::sleep(SCHEDULING_TICK_PERIOD).await;
            router.update_state(|state, now| state.tick_scheduling(now));
        } else {
            let wanted = router.wake_scheduling.notified();
            let _ = time::timeout(TICK_PERIOD, wanted).await;
        }
    }
}

/// Returns whether no caller connection is open, or no request arrived for `CALLER_IDLE_TIMEOUT`.
fn callers_idle(router: &Router) -> bool {
    let idle = router.now().since(router.last_request.get());
    router.connections.get() == 0 || idle.as_duration() >= CALLER_IDLE_TIMEOUT
}

/// Leaves the fleet and finishes the requests in flight.
async fn drain(router: &Rc<Router>) {
    router.set_phase(Phase::Draining);
    emit(Event::Draining, &[("in_flight", &router.in_flight())]);
    router.update_state(|state, now| state.leave(now));
    let limit = Duration::from_millis(router.settings().tuning.drain_ms);
    let until = Instant::now() + limit;
    router.close_callers.notify_one();
    while (router.in_flight() > 0 || !callers_idle(router)) && Instant::now() < until {
        time::sleep(Duration::from_millis(20)).await;
    }
    if router.in_flight() > 0 {
        emit(Event::DrainOverdue, &[("in_flight", &router.in_flight())]);
    }
    router.update_state(|state, now| {
        let (mut turn, control) = state.split(now);
        control.audit.send_final_head(&mut turn);
    });
    time::sleep(LINGER).await;
    let link = router.read_state(|state| state.out.link().cloned());
    if let Some(link) = link {
        link.close(LINGER).await;
    }
    emit(Event::Stopped, &[]);
}
