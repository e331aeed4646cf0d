//! Streams whose route is moved to another service before clients resume them.

#[path = "support/versions.rs"]
mod versions;

use std::time::Duration;

use serde_json::{json, Value};
use tsw_fake::{
    store::Store,
    worker::{Behaviour, Worker},
};
use versions::{
    fleet::{self, configuration, versioned_entry, Call, Router, HOST},
    resume_named, wait_history, wait_listed, wait_metric,
};

/// Streams that begin at the service `model`.
const STREAMS: usize = 10;

/// Routers before two upstreams of each of the services `model` and `other`.
struct Fleet {
    store: Store,
    models: Vec<Worker>,
    others: Vec<Worker>,
    routers: Vec<Router>,
}

/// Returns a configuration whose stream route goes to a service.
fn routed(version: u64, service: &str) -> Value {
    let mut configuration = configuration(version);
    let services = configuration["services"].as_array_mut().expect("services");
    let mut other = services[1].clone();
    other["name"] = "other".into();
    services.push(other);
    configuration["routes"][3]["service"] = service.into();
    configuration
}

/// Returns a configuration whose stream route has two services with these weights.
fn split([model, other]: [u32; 2]) -> Value {
    let mut split = routed(1, "model");
    let weights = [("model", model), ("other", other)];
    split["routes"][3]["trafficSplit"] = weights
        .map(|(service, weight)| json!({"service": service, "weight": weight}))
        .to_vec()
        .into();
    split
}

async fn serve(store: &Store, service: &str, version: &str) -> Vec<Worker> {
    let mut workers = Vec::new();
    for number in 0..2 {
        let slow = Behaviour::SlowStream(40, Duration::from_millis(50));
        let worker = Worker::bind(slow).await.expect("an upstream");
        let entry = versioned_entry(service, &worker, ("ready", 1), Some(version));
        store.set(&format!("servers/{service}{number}"), Some(&entry));
        workers.push(worker);
    }
    workers
}

impl Fleet {
    /// Starts two routers and begins streams at the first one.
    async fn start(configuration: &Value) -> Self {
        Self::start_with(configuration, "other").await
    }

    /// The same with another second service.
    async fn start_with(configuration: &Value, other: &str) -> Self {
        let store = Store::bind().await.expect("a store");
        store.set("op/config", Some(configuration.to_string().as_bytes()));
        let models = serve(&store, "model", "v1").await;
        let others = serve(&store, other, "v2").await;
        let mut fleet = Self {
            store,
            models,
            others,
            routers: Vec::new(),
        };
        fleet.start_routers().await;
        let address = fleet.routers[0].client;
        for number in 0..STREAMS {
            let call = Call::prompt("/draft/1", &format!("a{number}"));
            actix_rt::spawn(async move { drop(call.send_to(address).await) });
        }
        let begun = || ran(&fleet.models, "a") + ran(&fleet.others, "a") == STREAMS;
        fleet::wait_until("the streams", begun).await;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        fleet
    }

    async fn start_routers(&mut self) {
        let mut seeds = Vec::new();
        for number in 0..2 {
            let router = Router::start(&format!("r{number}"), self.store.address(), &seeds);
            seeds.push(router.gossip);
            self.routers.push(router);
        }
        for router in &self.routers {
            router.wait_ready().await;
            wait_listed(router, 2).await;
            wait_metric(router, "relay_upstreams", |found| found == 4.0).await;
            wait_history(router).await;
        }
    }

    /// Writes a configuration and waits until all routers have adopted it.
    async fn reconfigure(&self, mut configuration: Value) {
        let added = json!({
            "name": "added", "hostname": HOST, "pathPrefix": "/added/", "kind": "idempotent",
            "timeoutMs": 5_000, "targetLatencyMs": 800, "priority": 1, "service": "desk",
            "maxAttempts": 1, "public": false,
        });
        configuration["routes"]
            .as_array_mut()
            .expect("routes")
            .push(added);
        self.store
            .set("op/config", Some(configuration.to_string().as_bytes()));
        let mut probe = Call::valid("GET", "/added/", "probe");
        probe.head.fields.remove("Authorization");
        for router in &self.routers {
            // Without a key, the answer is 404 until the route is known.
            while probe.send(router).await.status != 401 {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Resumes all streams at a router, and returns how many went on at the services `model` and `other`.
    async fn resume(&self, router: &Router) -> (usize, usize) {
        for worker in self.models.iter().chain(&self.others) {
            worker.set_default(Behaviour::Stream(4));
        }
        for number in 0..STREAMS {
            resume_named(router, &format!("r{number}"), &format!("a{number}")).await;
        }
        (ran(&self.models, "r"), ran(&self.others, "r"))
    }
}

/// Returns the number of requests that upstreams received whose identifiers begin with a text.
fn ran(workers: &[Worker], start: &str) -> usize {
    let arrivals = workers.iter().flat_map(Worker::arrivals);
    let ids = arrivals.map(|arrival| arrival.head.fields.text("Attempt-Id").map(str::to_owned));
    ids.flatten().filter(|id| id.starts_with(start)).count()
}

/// Guards against streams that go on at another service than the one that began them: the router that began them ends,
/// and their route was moved.
#[actix_rt::test]
async fn streams_of_a_router_that_ended_are_not_resumed_at_another_service() {
    let mut fleet = Fleet::start(&routed(1, "model")).await;
    fleet.reconfigure(routed(2, "other")).await;
    fleet.routers.remove(0);
    let (_, joined) = fleet.resume(&fleet.routers[0]).await;
    assert_eq!(joined, 0, "of {STREAMS} streams");
}

/// Guards against streams that go on at another service than the one that began them, after their route was moved and
/// all routers have started anew.
#[actix_rt::test]
async fn streams_are_not_resumed_at_another_service_after_all_routers_have_started_anew() {
    let mut fleet = Fleet::start(&routed(1, "model")).await;
    fleet.reconfigure(routed(2, "other")).await;
    fleet.routers.clear();
    fleet.start_routers().await;
    let (_, joined) = fleet.resume(&fleet.routers[0]).await;
    assert_eq!(joined, 0, "of {STREAMS} streams");
}

/// Guards against streams that go on at another service than the one that began them, after a route that had two has
/// kept one of them, and all routers have started anew.
#[actix_rt::test]
async fn streams_are_not_resumed_at_the_service_that_a_split_route_has_kept() {
    let mut fleet = Fleet::start(&split([1_000_000, 1])).await;
    fleet.reconfigure(routed(2, "other")).await;
    fleet.routers.clear();
    fleet.start_routers().await;
    let (_, joined) = fleet.resume(&fleet.routers[0]).await;
    assert_eq!(joined, 0, "of {STREAMS} streams");
}

/// Guards against refusing streams whose service is proven, because another route was changed before all routers started
/// anew.
#[actix_rt::test]
async fn streams_whose_route_stays_go_on_after_a_new_configuration() {
    let mut fleet = Fleet::start(&routed(1, "model")).await;
    let mut changed = routed(2, "model");
    changed["routes"][3]["timeoutMs"] = 12_000.into();
    changed["routes"][4]["service"] = "other".into();
    fleet.reconfigure(changed).await;
    fleet.routers.clear();
    fleet.start_routers().await;
    assert_eq!(fleet.resume(&fleet.routers[0]).await, (STREAMS, 0));
}

/// Guards against refusing streams that began at the service that a route with two services has kept, after all routers
/// have started anew.
#[actix_rt::test]
async fn streams_of_the_service_that_a_split_route_has_kept_go_on() {
    let mut fleet = Fleet::start(&split([1, 1_000_000])).await;
    fleet.reconfigure(routed(2, "other")).await;
    fleet.routers.clear();
    fleet.start_routers().await;
    assert_eq!(fleet.resume(&fleet.routers[0]).await, (0, STREAMS));
}

/// Writes a configuration of which the store does not show what it replaced, and starts all routers anew.
async fn replace_unseen(fleet: &mut Fleet, configuration: Value) {
    fleet.store.compact();
    fleet.reconfigure(configuration).await;
    fleet.routers.clear();
    fleet.start_routers().await;
}

/// Guards against refusing all streams after a new configuration and the loss of all routers, where the store does not keep
/// the one before: no other service can have run them.
#[actix_rt::test]
async fn streams_of_the_only_service_with_engines_go_on_after_an_unknown_configuration() {
    let mut fleet = Fleet::start_with(&configuration(1), "desk").await;
    replace_unseen(&mut fleet, configuration(2)).await;
    assert_eq!(fleet.resume(&fleet.routers[0]).await, (STREAMS, 0));
}

/// Guards against streams that go on at another service than the one that began them, if the store does not keep the
/// configuration that sent them there.
#[actix_rt::test]
async fn streams_are_not_resumed_at_another_service_after_an_unknown_configuration() {
    let mut fleet = Fleet::start(&routed(1, "model")).await;
    replace_unseen(&mut fleet, routed(2, "other")).await;
    assert_eq!(fleet.resume(&fleet.routers[0]).await.1, 0);
}
