//! Streams that are resumed at a router which missed that upstreams of another version joined: it was cut off or stood
//! still meanwhile.

#[path = "support/versions.rs"]
mod versions;

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use bytes::BytesMut;
use futures_util::future;
use indexmap::IndexMap;
use rustix::process::Signal;
use tsw_fake::{
    store::{Mode, Store},
    worker::Behaviour,
};
use tsw_http::{
    connection::Connection,
    exchange::{self, Exchange},
};
use tsw_load::{
    delay::Timer,
    relay::{Link, Relay},
};
use versions::{
    fleet::{self, Call, Router},
    resume_after, start_relayed, wait_history, wait_listed, wait_metric, Fleet,
};

/// Plays of each test; each shows the fault only if gossip is sent at certain moments.
const ROUNDS: usize = 3;
/// Upstreams of each version.
const UPSTREAMS: usize = 4;
/// Streams that are sent to a router.
const STREAMS: usize = 24;
/// Streams of a version that have to have begun.
const MIN_BEGUN: usize = 4;
/// Events of each stream that is resumed.
const EVENTS: u64 = 40;

/// What became of streams that broke.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    began: usize,
    /// Went on at another version.
    joined: usize,
    went_on: usize,
    /// Got no response, or not all of it.
    refused: usize,
}

impl Outcome {
    fn add(&mut self, other: Self) {
        self.began += other.began;
        self.joined += other.joined;
        self.went_on += other.went_on;
        self.refused += other.refused;
    }

    fn assert_none_joined(self) {
        println!("{self:?}");
        assert!(self.began >= MIN_BEGUN, "{self:?}");
        assert_eq!(self.joined, 0, "{self:?}");
    }
}

/// What the last router reads.
#[derive(Clone, Copy)]
enum Reads {
    OwnStore,
    StoreOfOthers,
}

/// Routers and upstreams of `v1`.
struct Site {
    /// The last router is the one that gets out of step.
    fleet: Fleet,
    /// A store that only the last router reads. Changes of the list are not written to it.
    own_store: Store,
    /// Between all routers.
    link: Arc<Link>,
    /// Streams that clients have begun, with the latest event that each client received.
    streams: Rc<RefCell<IndexMap<String, u64>>>,
}

impl Site {
    /// Starts routers, the last of which has a store of its own, and waits until all know that there was no other
    /// version before.
    async fn start(routers: usize) -> Self {
        Self::start_with(routers, Reads::OwnStore).await
    }

    /// Like [`Site::start`], with what the last router reads.
    async fn start_with(routers: usize, reads: Reads) -> Self {
        let mut fleet = Fleet::start(&["v1"; UPSTREAMS], 0).await;
        let own_store = Store::bind_copy(&fleet.store.copy()).await;
        let own_store = own_store.expect("a store");
        let relay = Relay::start(Timer::start(), 1).expect("a relay");
        fleet.relays.push(relay.clone());
        let link = Link::new(Duration::ZERO);
        let mut seeds = Vec::new();
        for number in 1..=routers {
            let store = match reads {
                Reads::OwnStore if number == routers => &own_store,
                _ => &fleet.store,
            };
            let host = format!("r{number}");
            let (router, seed) = start_relayed(&host, store.address(), &seeds, (&relay, &link));
            seeds.push(seed);
            fleet.routers.push(router);
        }
        for router in &fleet.routers {
            router.wait_ready().await;
            wait_listed(router, routers).await;
            wait_history(router).await;
        }
        fleet.wait_accepting(UPSTREAMS).await;
        Self {
            fleet,
            own_store,
            link,
            streams: Rc::default(),
        }
    }

    fn last(&self) -> &Router {
        self.fleet.routers.last().expect("a router")
    }

    /// Lists upstreams of `v2` in the store of the other routers, and waits until the first router knows them.
    async fn join_v2(&mut self) {
        for number in UPSTREAMS..2 * UPSTREAMS {
            self.fleet.list(number, "ready", 60, 1);
        }
        let all = 2.0 * UPSTREAMS as f64;
        let first = &self.fleet.routers[0];
        wait_metric(first, "relay_upstreams", |found| found == all).await;
    }

    /// Starts upstreams of `v2` that are not listed yet.
    async fn prepare_v2(&mut self) {
        for _ in 0..UPSTREAMS {
            self.fleet.add_engine("v2").await;
        }
    }

    /// Begins streams at the first router, waits until clients have received events of some at a version, and returns
    /// the clients.
    async fn begin(&self, version: &str) -> Vec<JoinHandle<Result<(), exchange::Error>>> {
        let clients = (0..STREAMS).map(|number| {
            let (address, streams) = (self.fleet.routers[0].client, self.streams.clone());
            actix_rt::spawn(async move {
                let id = format!("a{number}");
                let call = Call::prompt("/draft/1", &id);
                let connection = Connection::open(address, fleet::TIMEOUT).await?;
                let mut exchange = Exchange::open(connection, &call.head, call.body).await?;
                let mut body = BytesMut::new();
                while let Some(data) = exchange.data().await? {
                    body.extend_from_slice(&data);
                    if let Some(event) = latest_event(&body) {
                        streams.borrow_mut().insert(id.clone(), event);
                    }
                }
                Ok(())
            })
        });
        let clients = clients.collect();
        let end = Instant::now() + fleet::TIMEOUT;
        while self.begun(version).len() < MIN_BEGUN {
            assert!(Instant::now() < end, "no stream began at {version}");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        clients
    }

    /// Returns the streams of which clients have received events of a version.
    fn begun(&self, version: &str) -> Vec<(String, u64)> {
        let streams = self.streams.borrow();
        let of_version = streams
            .iter()
            .filter(|(id, _)| self.fleet.version_of(id) == Some(version));
        of_version.map(|(id, event)| (id.clone(), *event)).collect()
    }

    fn crash(&self, version: &str) {
        let engines = self.fleet.engines.iter();
        let of_version = engines.filter(|(found, _)| *found == version);
        of_version.for_each(|(_, engine)| engine.crash());
    }

    /// Resumes all streams of a version at the last router, at the same time.
    async fn resume(&self, version: &str) -> Outcome {
        for (_, engine) in &self.fleet.engines {
            engine.set_default(Behaviour::Stream(EVENTS));
        }
        let begun = self.begun(version);
        let resumes = begun.iter().map(|(id, event)| async move {
            let resumed = format!("r{id}");
            let response = resume_after(self.last(), &resumed, id, *event).await;
            (resumed, response)
        });
        let mut outcome = Outcome::default();
        for (resumed, response) in future::join_all(resumes).await {
            outcome.began += 1;
            match self.fleet.version_of(&resumed) {
                Some(found) if found != version => outcome.joined += 1,
                Some(_) if response.status == 200 && response.whole => outcome.went_on += 1,
                _ => outcome.refused += 1,
            }
        }
        outcome
    }
}

/// Returns the number of the latest whole event of a stream.
fn latest_event(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (whole, _) = text.rsplit_once("\n\n")?;
    let mut ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.next_back()?.parse().ok()
}

/// Guards against joined streams at a router that is cut off from the store and from the other routers, which it takes
/// to agree for as long as they count as live: upstreams of another version joined since.
#[actix_rt::test]
async fn nothing_is_derived_while_cut_off_from_peers_and_store() {
    let mut total = Outcome::default();
    for _ in 0..ROUNDS {
        let mut site = Site::start(2).await;
        site.prepare_v2().await;
        site.link.set_cut(true);
        site.own_store.set_mode(Mode::Busy);
        site.join_v2().await;
        site.begin("v2").await;
        site.crash("v2");
        total.add(site.resume("v2").await);
    }
    total.assert_none_joined();
}

/// Guards against joined streams at a router without the store after the loss of the only other one: what that one stated
/// before it read of another version, counts as its present list for as long as it counts as live.
#[actix_rt::test]
async fn nothing_is_derived_from_what_a_killed_router_stated_before() {
    let mut total = Outcome::default();
    for _ in 0..ROUNDS {
        let mut site = Site::start(2).await;
        site.prepare_v2().await;
        site.own_store.set_mode(Mode::Busy);
        site.join_v2().await;
        site.begin("v2").await;
        site.fleet.routers.remove(0);
        total.add(site.resume("v2").await);
    }
    total.assert_none_joined();
}

/// Plays a release of which the gossip has not arrived at a router without the store, which is in touch with all others.
async fn play_late_gossip(routers: usize) -> Outcome {
    let mut total = Outcome::default();
    for _ in 0..ROUNDS {
        let mut site = Site::start(routers).await;
        site.prepare_v2().await;
        site.own_store.set_mode(Mode::Busy);
        site.join_v2().await;
        site.begin("v2").await;
        site.crash("v2");
        total.add(site.resume("v2").await);
    }
    total
}

/// Guards against joined streams at a router without the store which a router in touch has not yet told of another
/// version.
#[actix_rt::test]
async fn nothing_is_derived_before_gossip_arrives() {
    play_late_gossip(2).await.assert_none_joined();
}

/// Guards against joined streams at a router without the store: the router that began them is not among those that are
/// asked for their records.
#[actix_rt::test]
async fn nothing_is_derived_before_gossip_arrives_in_a_larger_fleet() {
    play_late_gossip(8).await.assert_none_joined();
}

/// Plays a release during a pause of the last router, in which the other one is lost.
async fn play_pause(reads: Reads, pause: Duration) -> Outcome {
    let mut site = Site::start_with(2, reads).await;
    site.prepare_v2().await;
    site.last().signal(Signal::STOP);
    let since = Instant::now();
    site.own_store.set_mode(Mode::Busy);
    site.join_v2().await;
    site.begin("v2").await;
    site.fleet.routers.remove(0);
    let resumed = site.resume("v2");
    let wake = async {
        actix_rt::time::sleep(pause.saturating_sub(since.elapsed())).await;
        site.last().signal(Signal::CONT);
    };
    future::join(resumed, wake).await.0
}

/// Guards against joined streams at a router without the store that stood still while another version joined: it goes on
/// by what the other router, which is lost meanwhile, stated before.
#[actix_rt::test]
async fn nothing_is_derived_after_a_pause_without_the_store() {
    let mut total = Outcome::default();
    for pause_ms in [1_000, 1_350, 1_700] {
        let pause = Duration::from_millis(pause_ms);
        total.add(play_pause(Reads::OwnStore, pause).await);
    }
    total.assert_none_joined();
}

/// Guards against joined streams at a router that stood still while another version joined, and reads the store again.
#[actix_rt::test]
async fn nothing_is_derived_by_the_list_from_before_a_pause() {
    let mut total = Outcome::default();
    for pause_ms in [1_000, 2_000, 3_000] {
        let pause = Duration::from_millis(pause_ms);
        total.add(play_pause(Reads::StoreOfOthers, pause).await);
    }
    total.assert_none_joined();
}

/// Time after which nothing that a router knows of its peers is from before it lost the store.
const WITHOUT_STORE: Duration = Duration::from_secs(3);
/// Time in which all streams that are sent begin if the machine is not busy.
const ALL_BEGIN: Duration = Duration::from_millis(300);

/// Guards against refused streams at a router without the store, where the router that began them is in touch and there
/// is only one version.
#[actix_rt::test]
async fn streams_go_on_without_the_store_while_a_peer_is_in_touch() {
    let site = Site::start(2).await;
    site.own_store.set_mode(Mode::Busy);
    actix_rt::time::sleep(WITHOUT_STORE).await;
    let clients = site.begin("v1").await;
    actix_rt::time::sleep(ALL_BEGIN).await;
    site.fleet.engines[..UPSTREAMS / 2]
        .iter()
        .for_each(|(_, engine)| engine.crash());
    clients.iter().for_each(JoinHandle::abort);
    let outcome = site.resume("v1").await;
    println!("{outcome:?}");
    assert_eq!(outcome.went_on, outcome.began, "{outcome:?}");
}

/// Guards against refused streams at a router without the store, where the router that began them is lost, another one is
/// in touch, and there is only one version.
#[actix_rt::test]
async fn streams_of_a_lost_router_go_on_without_the_store_while_another_peer_is_in_touch() {
    let mut site = Site::start(3).await;
    site.own_store.set_mode(Mode::Busy);
    actix_rt::time::sleep(WITHOUT_STORE).await;
    site.begin("v1").await;
    actix_rt::time::sleep(ALL_BEGIN).await;
    site.fleet.routers.remove(0);
    let outcome = site.resume("v1").await;
    println!("{outcome:?}");
    assert_eq!(outcome.went_on, outcome.began, "{outcome:?}");
}
