//! Tests of the store of the users' platform when it returns from a copy.

mod support;

use std::{net::SocketAddr, time::Duration};

use serde_json::{json, Value};
use support::{get, pause, run};
use tsw_fake::store::{Mode, Store};

/// A response: status, era and body.
type Response = (u16, Option<String>, Value);

/// Sends a call. Returns an error if no response arrives.
async fn call(address: SocketAddr, path: &str) -> Result<Response, String> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let sent = client.get(format!("http://{address}{path}")).send().await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let era = response.headers().get("Store-Era");
    let era = era.map(|era| era.to_str().expect("text").to_owned());
    let body = response.body().await.map_err(|error| error.to_string())?;
    let body = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok((response.status().as_u16(), era, body))
}

/// Returns the revision and the changes (key and revision) that a watch reports within 100 ms.
async fn watch(store: &Store, after: u64) -> (u64, Vec<(String, u64)>) {
    let path = format!("/api/kv-watch?pathPrefix=s/&after={after}&waitMs=100");
    let (status, _, body) = call(store.address(), &path).await.expect("a response");
    assert_eq!(status, 200, "{body}");
    let events = body["events"].as_array().expect("an array");
    let change = |event: &Value| {
        let key = event["key"].as_str().expect("a key");
        (
            key.to_owned(),
            event["revision"].as_u64().expect("a number"),
        )
    };
    let revision = body["asOf"].as_u64().expect("a number");
    (revision, events.iter().map(change).collect())
}

async fn status_of_watch(store: &Store, after: u64) -> u16 {
    let path = format!("/api/kv-watch?pathPrefix=s/&after={after}&waitMs=100");
    get(store.address(), &path).await.0.as_u16()
}

/// Returns a store at revision 4 and a copy of its state at revision 2.
async fn start() -> (Store, tsw_fake::store::Copy) {
    let store = Store::bind().await.expect("a free port");
    store.set("s/a", Some(b"1"));
    store.set("s/b", Some(b"1"));
    let copy = store.copy();
    store.set("s/a", Some(b"2"));
    store.set("s/c", Some(b"1"));
    (store, copy)
}

/// Guards against a store that keeps changes that it should have lost, or whose revision goes on.
#[test]
fn content_goes_back_and_revisions_are_assigned_again() {
    run(async {
        let (store, copy) = start().await;
        store.restore(&copy);
        let list = "/api/kv-range?pathPrefix=s/";
        let (_, _, body) = call(store.address(), list).await.expect("a response");
        assert_eq!(body["asOf"], 2);
        let items = body["items"].as_array().expect("an array");
        assert_eq!(items.len(), 2);
        assert_eq!(
            (&items[0]["value"], &items[0]["revision"]),
            (&json!("MQ=="), &json!(1))
        );
        store.set("s/d", Some(b"1"));
        assert_eq!(watch(&store, 2).await, (3, vec![("s/d".to_owned(), 3)]));
    });
}

/// Guards against a response that does not name the era, or a copy that brings back an old one.
#[test]
fn every_response_names_the_era() {
    run(async {
        let (store, copy) = start().await;
        let calls = [
            ("/api/kv-key?key=s/a", 200),
            ("/api/kv-key?key=none", 404),
            ("/api/kv-range?pathPrefix=s/", 200),
            ("/api/kv-watch?pathPrefix=s/&after=1&waitMs=1", 200),
            ("/api/kv-watch?pathPrefix=s/&after=9&waitMs=1", 410),
            ("/api/none", 404),
        ];
        for era in ["1", "2", "3"] {
            for (path, expected) in calls {
                let (status, found, _) = call(store.address(), path).await.expect("a response");
                assert_eq!((status, found.as_deref()), (expected, Some(era)), "{path}");
            }
            store.set_mode(Mode::Busy);
            let (status, found, _) = call(store.address(), calls[0].0).await.expect("a response");
            assert_eq!((status, found.as_deref()), (503, Some(era)));
            store.set_mode(Mode::Up);
            store.restore(&copy);
        }
        store.set_names_era(false);
        let (_, found, _) = call(store.address(), calls[0].0).await.expect("a response");
        assert_eq!(found, None);
    });
}

/// Guards against a watch that waits in silence for a revision that the store no longer has.
#[test]
fn a_watch_from_a_lost_revision_is_refused() {
    run(async {
        let (store, copy) = start().await;
        assert_eq!(status_of_watch(&store, 4).await, 200);
        store.restore(&copy);
        assert_eq!(status_of_watch(&store, 4).await, 410);
        assert_eq!(status_of_watch(&store, 3).await, 410);
        assert_eq!(status_of_watch(&store, 2).await, 200);
    });
}

/// Guards against a stand-in that hides missed changes: once its new revision has passed that of a
/// watch from before, the watch is served and does not report the changes in between.
#[test]
fn a_watch_whose_revision_was_assigned_again_misses_changes() {
    run(async {
        let (store, copy) = start().await;
        store.restore(&copy);
        for key in ["s/x", "s/y", "s/z"] {
            store.set(key, Some(b"1"));
        }
        assert_eq!(watch(&store, 4).await, (5, vec![("s/z".to_owned(), 5)]));
    });
}

/// Guards against a waiting watch that reports a change after it was lost, or that goes on in the
/// next era.
#[test]
fn waiting_watches_are_cut() {
    run(async {
        for mode in [Mode::Up, Mode::Silent] {
            let (store, copy) = start().await;
            let address = store.address();
            let path = "/api/kv-watch?pathPrefix=s/&after=4&waitMs=5000";
            let waiting = actix_rt::spawn(async move { call(address, path).await });
            pause(50).await;
            store.set_mode(mode);
            if mode == Mode::Silent {
                store.set("s/lost", Some(b"1"));
            }
            store.restore(&copy);
            store.set_mode(Mode::Up);
            let outcome = waiting.await.expect("ended");
            assert!(outcome.is_err(), "{mode:?}: {outcome:?}");
        }
    });
}

/// Guards against a copy that follows the store.
#[test]
fn a_copy_does_not_change() {
    run(async {
        let (store, copy) = start().await;
        assert_eq!((copy.revision(), store.copy().revision()), (2, 4));
        store.compact();
        store.restore(&copy);
        assert_eq!(watch(&store, 0).await.0, 2);
    });
}
