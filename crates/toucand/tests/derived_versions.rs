//! Streams whose version a router derives, since no router remembers where they began.

#[path = "support/versions.rs"]
mod versions;

use std::time::Duration;

use futures_util::future;
use tsw_fake::worker::Behaviour;
use tsw_load::{
    delay::Timer,
    relay::{Link, Relay},
};
use versions::{
    fleet::{self, Call, Router},
    resume_named, wait_history, wait_metric, Fleet,
};

/// Delay of a slow link to the store, in each direction.
const STORE_DELAY: Duration = Duration::from_millis(280);

/// Guards against deriving the old version for streams that waited for a slot when the first upstream
/// of a newer version was listed, and began there.
#[actix_rt::test]
async fn streams_that_waited_when_a_version_appeared_are_not_resumed_at_another_one() {
    let mut fleet = Fleet::start(&["v1", "v1", "v1", "v2"], 1).await;
    let mut changed = fleet::configuration(3);
    for route in changed["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = 8_000.into();
    }
    fleet
        .store
        .set("op/config", Some(changed.to_string().as_bytes()));
    fleet.list(3, "draining", 1, 24);
    fleet.wait_accepting(3).await;
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let address = fleet.routers[0].client;
    let ids: Vec<String> = (0..80).map(|number| format!("a{number}")).collect();
    for id in ids.clone() {
        actix_rt::spawn(async move { drop(Call::prompt("/draft/1", &id).send_to(address).await) });
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let waited: Vec<String> = ids
        .into_iter()
        .filter(|id| fleet.version_of(id).is_none())
        .collect();
    assert!(!waited.is_empty(), "no stream waited");
    fleet.list(3, "ready", 2, 1);
    fleet.wait_accepting(4).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let began: Vec<String> = waited
        .into_iter()
        .filter(|id| fleet.version_of(id) == Some("v2"))
        .collect();
    fleet.routers.clear();
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    fleet.start_routers(1).await;
    wait_history(&fleet.routers[0]).await;
    let (mut joined, mut refused) = (0, 0);
    for id in &began {
        let resumed = format!("r{id}");
        let response = resume_named(&fleet.routers[0], &resumed, id).await;
        refused += usize::from(response.status != 200);
        joined += usize::from(fleet.version_of(&resumed) == Some("v1"));
    }
    assert_eq!(joined, 0, "of {}, {refused} refused", began.len());
}

/// Guards against streams resumed at another version than the one that began them after all routers have started
/// anew: they began while the run of one listed upstream was known to have ended.
#[actix_rt::test]
async fn streams_that_began_beside_an_ended_run_are_not_resumed_at_another_version() {
    let mut fleet = Fleet::start(&["v1", "v1", "v1", "v2", "v2"], 1).await;
    let address = fleet.routers[0].client;
    let begin = |id: &str| {
        let call = Call::prompt("/draft/1", id);
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    };
    (0..20).for_each(|number| begin(&format!("c{number}")));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.engines[0].1.crash();
    wait_metric(
        &fleet.routers[0],
        "relay_breaks_total{outcome=\"crash\"}",
        |found| found >= 1.0,
    )
    .await;
    // The streams from before the crash end meanwhile.
    actix_rt::time::sleep(Duration::from_millis(3_000)).await;
    let ids: Vec<String> = (0..40).map(|number| format!("a{number}")).collect();
    ids.iter().for_each(|id| begin(id));
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let began = ids
        .iter()
        .filter_map(|id| Some((id, fleet.version_of(id)?)));
    let began: Vec<_> = began.collect();
    assert!(began.len() >= 20, "only {} streams began", began.len());
    fleet.routers.clear();
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    fleet.start_routers(1).await;
    wait_history(&fleet.routers[0]).await;
    let (mut joined, mut refused) = (Vec::new(), 0);
    for (id, version) in &began {
        let resumed = format!("r{id}");
        let response = resume_named(&fleet.routers[0], &resumed, id).await;
        refused += usize::from(response.status != 200);
        let went_on = fleet.version_of(&resumed);
        if went_on.is_some_and(|went_on| went_on != *version) {
            joined.push((id, version, went_on));
        }
    }
    let count = began.len();
    assert!(joined.is_empty(), "of {count}: {joined:?}");
    assert_eq!(refused, 0, "of {count}, whose versions serve");
}

/// Guards against deriving the version of entries whose runs have all ended: the router that began the streams knew
/// that, and began them elsewhere.
#[actix_rt::test]
async fn nothing_is_derived_from_entries_whose_runs_have_all_ended() {
    let mut fleet = Fleet::start(&["v1", "v1", "v2", "v2"], 1).await;
    let begin = |router: &Router, id: &str| {
        let (address, call) = (router.client, Call::prompt("/draft/1", id));
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    };
    let crashes = "relay_breaks_total{outcome=\"crash\"}";
    (0..20).for_each(|number| begin(&fleet.routers[0], &format!("c{number}")));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    for (number, found) in [(0, 1.0), (1, 2.0)] {
        fleet.engines[number].1.crash();
        wait_metric(&fleet.routers[0], crashes, |count| count >= found).await;
    }
    actix_rt::time::sleep(Duration::from_millis(3_000)).await;
    for engine in &mut fleet.engines[..2] {
        engine.0 = "v3";
        engine.1.set_born(Some(versions::now_ms()));
    }
    let ids: Vec<String> = (0..40).map(|number| format!("a{number}")).collect();
    ids.iter().for_each(|id| begin(&fleet.routers[0], id));
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let began = ids
        .iter()
        .filter_map(|id| Some((id, fleet.version_of(id)?)));
    let began: Vec<_> = began.filter(|(_, version)| *version == "v2").collect();
    assert!(!began.is_empty(), "no stream began at the second version");
    fleet.routers.clear();
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    fleet.start_routers(1).await;
    wait_history(&fleet.routers[0]).await;
    // After this time a router relies on the entries that it reads.
    actix_rt::time::sleep(Duration::from_millis(5_500)).await;
    let mut joined = Vec::new();
    for (id, version) in &began {
        let resumed = format!("r{id}");
        resume_named(&fleet.routers[0], &resumed, id).await;
        let went_on = fleet.version_of(&resumed);
        joined.extend(went_on.filter(|went_on| went_on != version));
    }
    assert!(joined.is_empty(), "of {}: {joined:?}", began.len());
}

/// Guards against deriving the only version of a list that is late, for streams that another router has begun at a
/// version that was listed a moment before.
#[actix_rt::test]
async fn nothing_is_derived_from_a_list_that_is_late() {
    let mut fleet = Fleet::start(&["v1", "v1"], 0).await;
    let relay = Relay::start(Timer::start(), 1).expect("a relay");
    let link = Link::new(STORE_DELAY);
    let late = relay.tcp(fleet.store.address(), link.clone(), link);
    let late = late.expect("an address");
    // The routers do not know each other.
    for (name, store) in [("early", fleet.store.address()), ("late", late)] {
        let router = Router::start(name, store, &[]);
        router.wait_ready().await;
        fleet.routers.push(router);
    }
    fleet.wait_accepting(2).await;
    wait_history(&fleet.routers[1]).await;
    for number in [2, 3] {
        fleet.add_engine("v2").await;
        fleet.list(number, "ready", 60, 1);
    }
    wait_metric(&fleet.routers[0], "relay_upstreams", |found| found == 4.0).await;
    let ids: Vec<String> = (0..20).map(|number| format!("a{number}")).collect();
    for id in &ids {
        let (address, call) = (fleet.routers[0].client, Call::prompt("/draft/1", id));
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    }
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let began = |id: &&String| fleet.version_of(id) == Some("v2");
    let began: Vec<_> = ids.iter().filter(began).collect();
    assert!(!began.is_empty(), "no stream began at the new version");
    let resumes = began.iter().map(|id| {
        let resumed = format!("r{id}");
        let router = &fleet.routers[1];
        async move {
            resume_named(router, &resumed, id).await;
            resumed
        }
    });
    let resumed = future::join_all(resumes).await;
    let joined = |id: &&String| fleet.version_of(id) == Some("v1");
    let joined = resumed.iter().filter(joined).count();
    assert_eq!(joined, 0, "of {} streams", began.len());
}
