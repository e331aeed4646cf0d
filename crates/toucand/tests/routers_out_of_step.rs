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

use bytes::BytesMut;
use futures_util::future;
use indexmap::IndexMap;
use tsw_fake::{
    store::{Mode, Store},
    worker::Behaviour,
};
use tsw_http::{connection::Connection, exchange::Exchange};
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

/// Routers and upstreams of `v1`.
struct Site {
    /// The last router is the one that gets out of step.
    fleet: Fleet,
    /// What the last router reads.
    own_store: Store,
    /// Between all routers.
    link: Arc<Link>,
    /// Streams that clients have begun, with the latest event that each client received.
    streams: Rc<RefCell<IndexMap<String, u64>>>,
}

impl Site {
    /// Starts routers, and waits until all know that there was no other version before.
    async fn start(routers: usize) -> Self {
        let mut fleet = Fleet::start(&["v1"; UPSTREAMS], 0).await;
        let own_store = Store::bind_copy(&fleet.store.copy()).await;
        let own_store = own_store.expect("a store");
        let relay = Relay::start(Timer::start(), 1).expect("a relay");
        let link = Link::new(Duration::ZERO);
        let mut seeds = Vec::new();
        for number in 1..=routers {
            let store = if number == routers {
                own_store.address()
            } else {
                fleet.store.address()
            };
            let host = format!("r{number}");
            let (router, seed) = start_relayed(&host, store, &seeds, (&relay, &link));
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

    /// Begins streams at the first router, and waits until clients have received events of some at a version.
    async fn begin(&self, version: &str) {
        for number in 0..STREAMS {
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
                Ok::<(), tsw_http::exchange::Error>(())
            });
        }
        let end = Instant::now() + fleet::TIMEOUT;
        while self.begun(version).len() < MIN_BEGUN {
            assert!(Instant::now() < end, "no stream began at {version}");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
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
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.last()?.parse().ok()
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
