//! One team floods a router process on loopback with requests.

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

/// Concurrent clients of the flooding team.
const CLIENTS: usize = 40;
/// Total number of requests of the flooding team.
const REQUESTS: usize = 4_000;
/// Body of a request of the flooding team: a long prompt.
const BODY: &str = include_str!("support/fleet.rs");

/// Starts a router with a low token rate limit and two teams, and the store and engine that it
/// uses.
async fn site() -> (Store, Worker, Router) {
    let store = Store::bind().await.expect("a store");
    let model = Worker::bind(Behaviour::Stream(3)).await.expect("an engine");
    let mut config = configuration(1);
    config["limits"]["tokensPerS"] = json!(20_000);
    config["tenants"] = json!([
        {"name": "counter", "apiKeys": [fleet::KEY], "priority": 1},
        {"name": "quiet", "apiKeys": ["quiet-key"], "priority": 1},
    ]);
    store.set("op/config", Some(config.to_string().as_bytes()));
    store.set("servers/m1", Some(&entry("model", &model, "ready", 1)));
    let router = Router::start("r1", store.address(), &[]);
    router.wait_ready().await;
    router.set_descriptors(4_000).await;
    (store, model, router)
}

/// Guards against a router that accepts no connections, cuts off requests or refuses a team within
/// its share while another team retries at once on a new connection after each refusal.
#[actix_rt::test]
async fn flood_of_one_team_does_not_affect_other_teams() {
    let (_store, _model, router) = site().await;
    let remaining = Rc::new(Cell::new(REQUESTS));
    let refused = Rc::new(Cell::new(0));
    let refused_over_share = Rc::new(Cell::new(0));
    let closed = Rc::new(Cell::new(0));
    let flood: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (remaining, address) = (remaining.clone(), router.client);
            let (refused, closed) = (refused.clone(), closed.clone());
            let refused_over_share = refused_over_share.clone();
            actix_rt::spawn(async move {
                while remaining.get() > 0 {
                    remaining.set(remaining.get() - 1);
                    let id = format!("f{}", remaining.get());
                    let mut call = Call::prompt("/note/1", &id);
                    call.head.fields.remove("Content-Length");
                    let response = call.body(BODY).send_to(address).await;
                    let response =
                        response.expect("connection failed or closed without a response");
                    match response.status {
                        200 => assert!(response.whole),
                        429 | 503 => {
                            refused.set(refused.get() + 1);
                            let over_share = usize::from(response.status == 429);
                            refused_over_share.set(refused_over_share.get() + over_share);
                            if response.fields.contains_token("connection", "close") {
                                closed.set(closed.get() + 1);
                            }
                            let after = response.fields.text("Retry-After").expect("a time");
                            let after: f64 = after.parse().expect("a number");
                            assert!(after > 0.0);
                        }
                        other => panic!("response {other}: {}", response.text()),
                    }
                }
            })
        })
        .collect();
    let mut served = 0;
    while remaining.get() > 0 {
        served += 1;
        let mut call = Call::prompt("/note/1", &format!("q{served}"));
        call.head.fields.remove("Authorization");
        call.head.fields.push("Authorization", "Token quiet-key");
        let response = call.send(&router).await;
        assert_eq!(response.status, 200, "a team within its share was refused");
        actix_rt::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    for client in flood {
        let ended = actix_rt::time::timeout(TIMEOUT, client).await;
        ended
            .expect("the client did not finish in time")
            .expect("a client failed");
    }
    assert!(served > 0, "the quiet team sent no request");
    assert!(
        refused_over_share.get() > REQUESTS / 2,
        "too few requests were refused with status 429 for a flood"
    );
    let kept = refused.get() - closed.get();
    assert!(
        kept < refused.get() / 2,
        "{kept} connections were kept after a single use"
    );
}

/// Guards against refusals that close connections which their clients reuse.
#[actix_rt::test]
async fn refusals_keep_reused_connections_open() {
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
                    let mut exchange = exchange.expect("a response");
                    while exchange.data().await.expect("a body").is_some() {}
                    refused.set(
                        refused.get() + usize::from(matches!(exchange.head().status, 429 | 503)),
                    );
                    let kept = exchange.finish();
                    connection = kept.expect("the router closed the connection").connection;
                }
            })
        })
        .collect();
    for client in flood {
        let ended = actix_rt::time::timeout(TIMEOUT * 2, client).await;
        ended
            .expect("the client did not finish in time")
            .expect("a client failed");
    }
    assert!(
        refused.get() > 400,
        "only {refused:?} refusals, too few for a flood"
    );
}
