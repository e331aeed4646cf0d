//! Upstreams that come and go while a router reads neither the store nor another router.

#[path = "support/versions.rs"]
mod versions;

use std::{sync::Arc, time::Duration};

use futures_util::future;
use tsw_fake::worker::Behaviour;
use tsw_load::{
    delay::Timer,
    relay::{Link, Relay},
};
use versions::{
    fleet::{Call, Router},
    now_ms, resume_named, wait_history, wait_metric, Fleet,
};

/// Number of streams that begin at the router in touch.
const STREAMS: usize = 30;
/// Number of upstreams of the version that comes and goes.
const UNSEEN: usize = 3;
/// Times for which a router is cut off from the store. It finds that after 0.9 to 1.5 s.
const CUTS_MS: [u64; 3] = [1_000, 2_000, 3_000];

/// Two routers that do not know each other, the second one of which reads the store through a link.
struct Site {
    fleet: Fleet,
    link: Arc<Link>,
}

impl Site {
    async fn start(versions: &[&'static str]) -> Self {
        let mut fleet = Fleet::start(&[], 0).await;
        let born = now_ms() - 30_000;
        for (number, version) in versions.iter().enumerate() {
            fleet.add_engine(version).await;
            fleet.list_run("model", number, born, 1);
        }
        let relay = Relay::start(Timer::start(), 1).expect("a relay");
        fleet.relays.push(relay.clone());
        let link = Link::new(Duration::ZERO);
        let store = fleet.store.address();
        let through = relay.tcp(store, link.clone(), link.clone());
        for (name, store) in [("r1", store), ("r2", through.expect("an address"))] {
            let router = Router::start(name, store, &[]);
            router.wait_ready().await;
            fleet.routers.push(router);
        }
        fleet.wait_accepting(versions.len()).await;
        for router in &fleet.routers {
            wait_history(router).await;
        }
        Self { fleet, link }
    }

    /// Cuts the second router off from the store for a time in which upstreams of version v2 join, begin streams and are
    /// removed, and the first router is killed. Returns how many of these streams the second one joins, of how many, and how
    /// many it refuses. The store may discard its history meanwhile.
    async fn joined(mut self, cut: Duration, discards: bool) -> (usize, usize, usize) {
        let listed = self.fleet.engines.len();
        self.link.set_cut(true);
        let until = tokio::time::Instant::now() + cut;
        for number in listed..listed + UNSEEN {
            self.fleet.add_engine("v2").await;
            self.fleet.list_run("model", number, now_ms(), 1);
        }
        let upstreams = (listed + UNSEEN) as f64;
        let name = "relay_upstreams";
        wait_metric(&self.fleet.routers[0], name, |found| found == upstreams).await;
        let ids: Vec<String> = (0..STREAMS).map(|number| format!("a{number}")).collect();
        for id in &ids {
            let (address, call) = (self.fleet.routers[0].client, Call::prompt("/draft/1", id));
            actix_rt::spawn(async move { drop(call.send_to(address).await) });
        }
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        let began = |id: &&String| self.fleet.version_of(id) == Some("v2");
        let began: Vec<&String> = ids.iter().filter(began).collect();
        for number in listed..listed + UNSEEN {
            self.fleet.engines[number]
                .1
                .crash_for(Duration::from_secs(60));
            self.fleet.store.set(&format!("servers/m{number}"), None);
        }
        if discards {
            self.fleet.store.compact();
        }
        drop(self.fleet.routers.remove(0));
        for (_, engine) in &self.fleet.engines {
            engine.set_default(Behaviour::Stream(4));
        }
        tokio::time::sleep_until(until).await;
        self.link.reset();
        self.link.set_cut(false);
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        let router = &self.fleet.routers[0];
        let resumes = began.iter().map(|id| async move {
            let resumed = format!("r{id}");
            let response = resume_named(router, &resumed, id).await;
            (resumed, response.status)
        });
        let resumed = future::join_all(resumes).await;
        let joined = resumed
            .iter()
            .filter(|(id, _)| self.fleet.version_of(id).is_some());
        let refused = resumed.iter().filter(|(_, status)| *status != 200);
        (joined.count(), began.len(), refused.count())
    }
}

/// Plays cuts of several lengths, and returns the outcome of each: joined streams, of how many, and refused ones.
async fn play(versions: &[&'static str], discards: bool) -> Vec<(u64, (usize, usize, usize))> {
    let mut outcomes = Vec::new();
    for cut_ms in CUTS_MS {
        let site = Site::start(versions).await;
        let outcome = site.joined(Duration::from_millis(cut_ms), discards).await;
        assert!(outcome.1 >= 5, "only {} streams began there", outcome.1);
        outcomes.push((cut_ms, outcome));
    }
    outcomes
}

/// Guards against taking the only listed version for that of streams which upstreams of another one began: these came and
/// went while a router was cut off from the store, and the list that it reads afterwards does not show them.
#[actix_rt::test]
async fn nothing_is_derived_from_a_list_that_hides_what_came_and_went() {
    let outcomes = play(&["v1"; 4], true).await;
    let joined = outcomes.iter().filter(|(_, (joined, ..))| *joined > 0);
    assert_eq!(joined.count(), 0, "joined, of, refused: {outcomes:?}");
}

/// Guards against deriving one of the listed versions for streams of a version that came and went between two reads.
#[actix_rt::test]
async fn nothing_is_derived_beside_a_version_that_came_and_went_between_two_reads() {
    let outcomes = play(&["v1", "v1", "v1", "v3", "v3", "v3"], false).await;
    let joined = outcomes.iter().filter(|(_, (joined, ..))| *joined > 0);
    assert_eq!(joined.count(), 0, "joined, of, refused: {outcomes:?}");
}

/// Guards against refusing the streams of a router that is killed after the store has discarded its history: the list shows
/// all changes since the one before, and only one version.
#[actix_rt::test]
async fn streams_go_on_after_a_list_that_shows_all_changes() {
    let mut site = Site::start(&["v1"; 4]).await;
    site.fleet.add_engine("v1").await;
    site.fleet.list_run("model", 4, now_ms(), 1);
    site.fleet.store.compact();
    site.fleet.wait_accepting(5).await;
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("a{number}")).collect();
    for id in &ids {
        let (address, call) = (site.fleet.routers[0].client, Call::prompt("/draft/1", id));
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    }
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    drop(site.fleet.routers.remove(0));
    for (_, engine) in &site.fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    let router = &site.fleet.routers[0];
    let resumes = ids.iter().map(|id| async move {
        let resumed = format!("r{id}");
        resume_named(router, &resumed, id).await.status
    });
    let statuses = future::join_all(resumes).await;
    let went_on = statuses.iter().filter(|status| **status == 200);
    assert_eq!(went_on.count(), STREAMS, "{statuses:?}");
}
