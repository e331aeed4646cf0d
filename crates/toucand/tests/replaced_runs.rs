//! Upstreams that return under their names with another version, and with the first one again, while a router is cut off from
//! the store and from the others.

#[path = "support/versions.rs"]
mod versions;

use std::{sync::Arc, time::Duration};

use futures_util::future;
use serde_json::Value;
use tsw_fake::{
    store::{Mode, Store},
    worker::Behaviour,
};
use tsw_load::{
    delay::Timer,
    relay::{Link, Relay},
};
use versions::{
    fleet::{self, Call},
    now_ms, resume_named, start_relayed, wait_history, wait_listed, Fleet,
};

const UPSTREAMS: usize = 4;
const STREAMS: usize = 24;
const ROUNDS: usize = 3;
/// Time in which routers read a change of the list, or of each other.
const READ: Duration = Duration::from_millis(350);

/// Lists a run of an upstream under a name.
fn list_as(fleet: &Fleet, name: usize, upstream: usize, born: u64) {
    let (version, engine) = &fleet.engines[upstream];
    engine.set_born(Some(born));
    let text = fleet::versioned_entry("model", engine, ("ready", 1), Some(version));
    let mut text: Value = serde_json::from_slice(&text).expect("JSON");
    text["born"] = born.into();
    let key = format!("servers/m{name}");
    fleet.store.set(&key, Some(text.to_string().as_bytes()));
}

/// Returns how many streams, of how many, the second router joins. It reads the changes from the first one.
async fn joined() -> (usize, usize) {
    let mut fleet = Fleet::start(&[], 0).await;
    let born = now_ms() - 30_000;
    for number in 0..UPSTREAMS {
        fleet.add_engine("v1").await;
        fleet.list_run("model", number, born, 1);
    }
    for _ in 0..UPSTREAMS {
        fleet.add_engine("v2").await;
    }
    let own_store = Store::bind_copy(&fleet.store.copy()).await;
    let own_store = own_store.expect("a store");
    let relay = Relay::start(Timer::start(), 1).expect("a relay");
    fleet.relays.push(relay.clone());
    let link: Arc<Link> = Link::new(Duration::ZERO);
    let mut seeds = Vec::new();
    for (host, store) in [
        ("r1", &fleet.store),
        ("r2", &own_store),
        ("r3", &fleet.store),
    ] {
        let (router, seed) = start_relayed(host, store.address(), &seeds, (&relay, &link));
        seeds.push(seed);
        fleet.routers.push(router);
    }
    for router in &fleet.routers {
        router.wait_ready().await;
        wait_listed(router, 3).await;
        wait_history(router).await;
    }
    fleet.wait_accepting(UPSTREAMS).await;

    link.set_cut(true);
    own_store.set_mode(Mode::Busy);
    for name in 0..UPSTREAMS {
        list_as(&fleet, name, UPSTREAMS + name, now_ms());
    }
    actix_rt::time::sleep(READ).await;
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("a{number}")).collect();
    for id in &ids {
        let (address, call) = (fleet.routers[2].client, Call::prompt("/draft/1", id));
        actix_rt::spawn(async move { drop(call.send_to(address).await) });
    }
    actix_rt::time::sleep(READ).await;
    let began = |id: &&String| fleet.version_of(id) == Some("v2");
    let began: Vec<String> = ids.iter().filter(began).cloned().collect();
    drop(fleet.routers.remove(2));
    for name in 0..UPSTREAMS {
        fleet.engines[UPSTREAMS + name]
            .1
            .crash_for(Duration::from_secs(60));
        list_as(&fleet, name, name, now_ms());
    }
    actix_rt::time::sleep(READ).await;
    link.set_cut(false);
    actix_rt::time::sleep(2 * READ).await;
    for (_, engine) in &fleet.engines {
        engine.set_default(Behaviour::Stream(4));
    }
    let fleet = &fleet;
    let resumes = began.iter().map(|id| async move {
        let resumed = format!("r{id}");
        resume_named(&fleet.routers[1], &resumed, id).await;
        fleet.version_of(&resumed).is_some()
    });
    let resumed = future::join_all(resumes).await;
    (
        resumed.iter().filter(|joined| **joined).count(),
        began.len(),
    )
}

/// Guards against joined streams at a router that reads from another one what it has missed: of runs that replaced each other under one
/// name, the answer shows the last one only.
#[actix_rt::test]
async fn nothing_is_derived_from_an_answer_that_hides_replaced_runs() {
    let mut outcomes = Vec::new();
    for _ in 0..ROUNDS {
        outcomes.push(joined().await);
    }
    let joined = outcomes.iter().filter(|(joined, _)| *joined > 0);
    assert_eq!(joined.count(), 0, "joined, of: {outcomes:?}");
}
