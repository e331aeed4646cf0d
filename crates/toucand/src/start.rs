//! Start, periodic work and end of the router.

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
    accept, load, non_idempotent, order, peers,
    plan::{Error, Plan},
    platform,
    router::{Phase, Router},
    state, task,
};

/// Period of the reads of the host list.
const HOSTS_PERIOD: Duration = Duration::from_millis(1_000);
/// Reads of the host list at the start before the process gives up.
const HOSTS_ATTEMPTS: u32 = 5;
const HOSTS_RETRY: Duration = Duration::from_millis(500);
/// Time that peers have to answer a router that starts.
const PEERS_WAIT: Duration = Duration::from_millis(1_000);
/// Peers that a router that starts asks for a bundle.
const PEERS_ASKED: usize = 5;
/// Longest pending watch of the configuration service.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a read of the configuration service, so that a stale service is not read in a loop.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Period of membership and tables, which need it at least every 50 ms.
const TICK: Duration = Duration::from_millis(50);
/// Period of scheduling while requests wait or run.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Time after the last request in which late messages and responses still leave.
const LINGER: Duration = Duration::from_millis(500);
/// Time without a request after which the connections of callers are closed at the end. Each request
/// until then is answered, and asked to close its connection.
const QUIET: Duration = Duration::from_millis(1_500);

thread_local! {
    static ROUTER: OnceCell<Rc<Router>> = const { OnceCell::new() };
}

/// Returns the router of this thread. The first call makes it and starts its tasks.
///
/// # Errors
///
/// Returns why the router cannot be made.
pub fn on_this_thread(plan: &Arc<Plan>) -> Result<Rc<Router>, Error> {
    ROUTER.with(|cell| {
        if let Some(router) = cell.get() {
            return Ok(router.clone());
        }
        let router = Router::new(plan.clone(), start_task)?;
        actix_rt::spawn(run(router.clone()));
        Ok(cell.get_or_init(|| router).clone())
    })
}

fn start_task(router: Rc<Router>, task: task::Task) {
    match task {
        task::Task::Run(run) => {
            actix_rt::spawn(non_idempotent::run(router, run));
        }
        task::Task::Order { upstream, order } => {
            actix_rt::spawn(order::send(router, upstream, order));
        }
        task::Task::ReadHosts => router.hosts_wanted.notify_one(),
        task::Task::ReadLoads => {
            actix_rt::spawn(load::read(router));
        }
        task::Task::Stop => router.plan().stop.notify_one(),
    }
}

async fn run(router: Rc<Router>) {
    let result = begin(&router).await;
    let result = match result {
        Ok(()) => {
            drain(&router).await;
            Ok(())
        }
        Err(error) => Err(error),
    };
    // The main thread may have ended already.
    let _ = router.plan().end.send(result);
}

async fn begin(router: &Rc<Router>) -> Result<(), Error> {
    let callers = router.plan().callers.lock();
    if let Some(listener) = callers.ok().and_then(|mut callers| callers.take()) {
        actix_rt::spawn(accept::run(router.clone(), listener));
    }
    let link = peers::listen(router)?;
    router.act(|state, _| state.out.connect(link));
    first_hosts(router).await?;
    actix_rt::spawn(tick(router.clone()));
    actix_rt::spawn(tick_busy(router.clone()));
    actix_rt::spawn(read_hosts(router.clone()));
    actix_rt::spawn(watch_bundle(router.clone()));
    let stop = router.plan().stop.notified();
    tokio::select! {
        () = ready(router) => {}
        () = stop => return Ok(()),
    }
    router.plan().stop.notified().await;
    Ok(())
}

async fn first_hosts(router: &Rc<Router>) -> Result<(), Error> {
    for attempt in 1.. {
        match read_hosts_once(router).await {
            Ok(()) => break,
            Err(error) if attempt >= HOSTS_ATTEMPTS => return Err(error.into()),
            Err(error) => emit(Event::PlatformDown, &[("cause", &error)]),
        }
        time::sleep(HOSTS_RETRY).await;
    }
    Ok(())
}

/// Loads the bundle: from peers first, which may know a newer one than a stale service.
async fn ready(router: &Rc<Router>) {
    let asked = router.act(|state, _| {
        let peers = state.board.fleet.peers();
        let mut hosts: Vec<_> = peers.map(|(id, _, _)| id.host.clone()).collect();
        hosts.sort_by_key(|host| {
            let salt = state.out.me().incarnation.get();
            tsw_member::rendezvous::weight(salt, host.as_str())
        });
        hosts.truncate(PEERS_ASKED);
        for host in &hosts {
            let fetch = Fetch {
                bundle: 0,
                hosts: 0,
            };
            state.out.send(host, Message::Fetch(fetch));
        }
        hosts.len()
    });
    let until = Instant::now() + PEERS_WAIT;
    read_bundle(router, Duration::ZERO).await;
    while Instant::now() < until && router.look(|state| state.bundle_answers) < asked {
        time::sleep(Duration::from_millis(10)).await;
    }
    while router.rules().is_none() {
        time::sleep(Duration::from_millis(50)).await;
        router.refresh_rules();
    }
    router.set_phase(Phase::Ready);
    let revision = router.look(|state| state.board.configuration.revision());
    emit(Event::Ready, &[("revision", &revision)]);
}

async fn read_hosts_once(router: &Router) -> Result<(), platform::Error> {
    let settings = router.settings();
    let base = &settings.platform.hosts;
    let (list, faults) = platform::hosts(&router.client, base, &settings.host).await?;
    let new = router.look(|state| list != *state.board.hosts);
    if new {
        for fault in faults {
            emit(Event::HostsRejected, &[("cause", &fault)]);
        }
        router
            .metrics
            .hosts
            .set(i64::try_from(list.revision).unwrap_or(i64::MAX));
        router.act(|state, now| state.hosts(now, list));
    }
    Ok(())
}

/// Reports when a service of the platform stops and starts to answer.
struct Reach {
    service: &'static str,
    up: bool,
}

impl Reach {
    fn note<T>(&mut self, result: Result<T, platform::Error>) -> Option<T> {
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
    let mut reach = Reach {
        service: "hosts",
        up: true,
    };
    loop {
        // The spread keeps the routers of a fleet from reading at the same time.
        let period = HOSTS_PERIOD.mul_f64(rand::thread_rng().gen_range(0.8..1.2));
        let wanted = router.hosts_wanted.notified();
        if time::timeout(period, wanted).await.is_ok() {
            time::sleep(Duration::from_millis(100)).await;
        }
        reach.note(read_hosts_once(&router).await);
    }
}

/// Reads the bundle, after the revision in force if `wait` is not zero.
async fn read_bundle(router: &Router, wait: Duration) -> Option<()> {
    let base = &router.settings().platform.config;
    let revision = router.look(|state| state.board.configuration.revision());
    let result = platform::bundle(&router.client, base, revision, wait).await;
    match result {
        Ok(Some(content)) => {
            router.act(|state, now| state.bundle(now, &content, &"configuration service"));
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
    let mut reach = Reach {
        service: "config",
        up: true,
    };
    loop {
        let (reader, revision) = router.look(|state| {
            let revision = state.board.configuration.revision();
            (state.board.fleet.is_reader(), revision)
        });
        // Without a bundle every router reads, in case no peer has one either.
        if !reader && revision > 0 {
            time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let wait = if revision > 0 {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let base = &router.settings().platform.config;
        let result = platform::bundle(&router.client, base, revision, wait).await;
        let failed = result.is_err();
        if let Some(Some(content)) = reach.note(result) {
            router.act(|state, now| state.bundle(now, &content, &"configuration service"));
            router.refresh_rules();
        }
        let pause = if failed { RETRY_PAUSE } else { WATCH_PAUSE };
        time::sleep(pause).await;
    }
}

async fn tick(router: Rc<Router>) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        router.act(|state, now| state.tick(now));
        router.refresh_rules();
    }
}

/// Ticks the scheduling at a short period while it is in use, and not at all otherwise.
async fn tick_busy(router: Rc<Router>) {
    loop {
        if router.look(state::State::is_busy) {
            time::sleep(BUSY_TICK).await;
            router.act(|state, now| state.tick_fast(now));
        } else {
            let wanted = router.ticks_wanted.notified();
            let _ = time::timeout(TICK, wanted).await;
        }
    }
}

/// Returns whether callers have left: no connection is open, or none was used for a while.
fn is_quiet(router: &Router) -> bool {
    let silence = router.now().since(router.last_request.get());
    router.connections.get() == 0 || silence.as_duration() >= QUIET
}

/// Finishes the requests in flight and leaves the fleet.
async fn drain(router: &Rc<Router>) {
    router.set_phase(Phase::Draining);
    emit(Event::Draining, &[("in_flight", &router.in_flight())]);
    router.act(|state, now| state.leave(now));
    let limit = Duration::from_millis(router.settings().tuning.drain_ms);
    let until = Instant::now() + limit;
    router.close_callers.notify_one();
    while (router.in_flight() > 0 || !is_quiet(router)) && Instant::now() < until {
        time::sleep(Duration::from_millis(20)).await;
    }
    if router.in_flight() > 0 {
        emit(Event::DrainOverdue, &[("in_flight", &router.in_flight())]);
    }
    router.act(|state, now| {
        let (mut turn, control) = state.split(now);
        control.audit.close(&mut turn);
    });
    time::sleep(LINGER).await;
    let link = router.look(|state| state.out.link().cloned());
    if let Some(link) = link {
        link.close(LINGER).await;
    }
    emit(Event::Stopped, &[]);
}
