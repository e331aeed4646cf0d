//! A flood of one team at one router, as a process on loopback. Each test names the failure that it
//! guards against.

#[path = "support/fleet.rs"]
mod fleet;

use std::{cell::Cell, rc::Rc};

use fleet::{configuration, entry, Call, Router, TIMEOUT};
use serde_json::json;
use tsw_fake::{
    store::Store,
    worker::{Behaviour, Worker},
};
use tsw_http::{connection::Connection, exchange::Exchange};

/// Clients of the flooding team that send at the same time.
const CLIENTS: usize = 40;
/// Requests of the flooding team.
const REQUESTS: usize = 4_000;
/// Body of a request of the flooding team: a long prompt.
const BODY: &str = include_str!("support/fleet.rs");

/// A router whose engine can do little work, and two teams.
async fn site() -> (Store, Worker, Router) {
    let store = Store::bind().await.expect("a store");
    let model = Worker::bind(Behaviour::Stream(3)).await.expect("an engine");
    let mut stated = configuration(1);
    stated["limits"]["tokensPerS"] = json!(20_000);
    stated["tenants"] = json!([
        {"name": "counter", "apiKeys": [fleet::KEY], "priority": 1},
        {"name": "quiet", "apiKeys": ["quiet-key"], "priority": 1},
    ]);
    store.set("op/config", Some(stated.to_string().as_bytes()));
    store.set("servers/m1", Some(&entry("model", &model, "ready", 1)));
    let router = Router::start("r1", store.address(), &[]);
    router.wait_ready().await;
    router.set_descriptors(4_000).await;
    (store, model, router)
}

/// Guards against a router that takes no connection of anyone, cuts requests or refuses a team
/// within its share while another team comes back at once, on a new connection, after each refusal.
#[actix_rt::test]
async fn flood_of_one_team_at_one_router_costs_other_teams_nothing() {
    let (_store, _model, router) = site().await;
    let left = Rc::new(Cell::new(REQUESTS));
    let refused = Rc::new(Cell::new(0));
    let closed = Rc::new(Cell::new(0));
    let flood: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (left, address) = (left.clone(), router.client);
            let (refused, closed) = (refused.clone(), closed.clone());
            actix_rt::spawn(async move {
                while left.get() > 0 {
                    left.set(left.get() - 1);
                    let id = format!("f{}", left.get());
                    let mut call = Call::prompt("/note/1", &id);
                    call.head.fields.remove("Content-Length");
                    let answer = call.body(BODY).send_to(address).await;
                    let answer = answer.expect("no connection, or cut without an answer");
                    match answer.status {
                        200 => assert!(answer.whole),
                        503 => {
                            refused.set(refused.get() + 1);
                            if answer.fields.lists("connection", "close") {
                                closed.set(closed.get() + 1);
                            }
                            let after = answer.fields.text("Retry-After").expect("a time");
                            let after: f64 = after.parse().expect("a number");
                            assert!(after > 0.0);
                        }
                        other => panic!("answer {other}: {}", answer.text()),
                    }
                }
            })
        })
        .collect();
    let mut served = 0;
    while left.get() > 0 {
        served += 1;
        let mut call = Call::prompt("/note/1", &format!("q{served}"));
        call.head.fields.remove("Authorization");
        call.head.fields.push("Authorization", "Token quiet-key");
        let answer = call.send(&router).await;
        assert_eq!(answer.status, 200, "a team within its share is refused");
        actix_rt::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    for client in flood {
        let ended = actix_rt::time::timeout(TIMEOUT, client).await;
        ended.expect("an end in time").expect("no client failed");
    }
    assert!(served > 0, "the quiet team asked nothing");
    assert!(refused.get() > REQUESTS / 2, "there was no flood");
    let kept = refused.get() - closed.get();
    assert!(
        kept < refused.get() / 2,
        "{kept} connections used once are kept"
    );
}

/// Guards against refusals that end connections which their clients use again.
#[actix_rt::test]
async fn refusals_keep_connections_that_are_used_again() {
    let (_store, _model, router) = site().await;
    let refused = Rc::new(Cell::new(0));
    let flood: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (refused, address) = (refused.clone(), router.client);
            actix_rt::spawn(async move {
                let connection = Connection::open(address, TIMEOUT).await;
                let mut connection = connection.expect("a connection");
                for number in 0..40 {
                    let call = Call::prompt("/note/1", &format!("k{client}-{number}"));
                    let exchange = Exchange::open(connection, &call.head, call.body).await;
                    let mut exchange = exchange.expect("an answer");
                    while exchange.data().await.expect("a body").is_some() {}
                    refused.set(refused.get() + usize::from(exchange.head().status == 503));
                    let kept = exchange.finish();
                    connection = kept.expect("the connection is kept").connection;
                }
            })
        })
        .collect();
    for client in flood {
        let ended = actix_rt::time::timeout(TIMEOUT * 2, client).await;
        ended.expect("an end in time").expect("no client failed");
    }
    assert!(refused.get() > 400, "{refused:?} refusals are no flood");
}
