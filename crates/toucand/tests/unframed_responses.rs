//! Responses without a length or chunks, which end when their upstream closes the connection, with a router
//! process.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Call, Site};
use tsw_fake::worker::{Behaviour, Worker};

/// Longer than the part of a plain response that is held back until it is complete.
const LONG_BYTES: usize = 2 << 20;

/// Returns the engine that gets the first attempt of a prompt, and the one that gets the next.
async fn in_order(site: &Site) -> (&Worker, &Worker) {
    // An engine that has the prompt is chosen again.
    Call::prompt("/draft/1", "a0").send(&site.router).await;
    let [one, two] = &site.models;
    if one.arrivals().is_empty() {
        (two, one)
    } else {
        (one, two)
    }
}

/// Adds a second upstream of plain requests.
async fn add_desk(site: &Site, behaviour: Behaviour) -> Worker {
    let desk = Worker::bind(behaviour).await.expect("an upstream");
    let entry = fleet::entry("desk", &desk, "ready", 1);
    site.store.set("servers/d2", Some(&entry));
    site.wait_metric("relay_upstreams 4").await;
    desk
}

/// Guards against a stream that looks complete between two events, since an upstream that is killed closes its
/// connections like one that has sent all.
#[actix_rt::test]
async fn stream_whose_upstream_crashes_between_events_does_not_look_complete() {
    let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
    let (model, _) = in_order(&site).await;
    model.set_default(Behaviour::UnframedCrashStream(2));
    let response = Call::prompt("/note/1", "a1").send(&site.router).await;
    assert_eq!((response.status, response.events()), (200, vec![0, 1]));
    assert!(!response.whole, "a cut stream looks complete");
}

/// Guards against the same where the rest of the stream could have come from another upstream.
#[actix_rt::test]
async fn stream_whose_upstream_crashes_between_events_goes_on_elsewhere() {
    for next in [Behaviour::Stream(4), Behaviour::UnframedStream(4)] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
        let (first_model, next_model) = in_order(&site).await;
        first_model.set_default(Behaviour::UnframedCrashStream(2));
        next_model.set_default(next);
        let response = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert_eq!(response.events(), [0, 1, 2, 3], "{next:?}");
        assert!(response.whole, "{next:?}: cut");
        assert_eq!(next_model.arrivals().len(), 1, "{next:?}");
    }
}

/// Guards against the same at the upstream that continues a stream, whichever way the first one frames it.
#[actix_rt::test]
async fn stream_whose_next_upstream_crashes_between_events_does_not_look_complete() {
    for first in [
        Behaviour::ResetStream(2),
        Behaviour::UnframedCutStream(2),
        Behaviour::UnframedCrashStream(2),
    ] {
        let site = Site::start(Behaviour::Plain, Behaviour::Stream(4)).await;
        let (first_model, next_model) = in_order(&site).await;
        first_model.set_default(first);
        next_model.set_default(Behaviour::UnframedCrashStream(3));
        let response = Call::prompt("/draft/1", "a1").send(&site.router).await;
        assert_eq!(response.events(), [0, 1, 2], "{first:?}");
        assert!(!response.whole, "{first:?}: a cut stream looks complete");
    }
}

/// Guards against a plain response whose upstream crashes in the middle of it and that looks complete, and
/// against running a request twice because of it that may run once.
#[actix_rt::test]
async fn plain_response_whose_upstream_crashes_in_its_middle_is_no_success() {
    let site = Site::start(Behaviour::UnframedCrash(9), Behaviour::Plain).await;
    let call = Call::valid("POST", "/book/1", "a1").body("truck");
    let response = call.send(&site.router).await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(site.desk.arrivals().len(), 1);
}

/// Guards against the same where the request may be run again.
#[actix_rt::test]
async fn request_whose_upstream_crashes_in_the_middle_of_its_response_is_run_elsewhere() {
    let site = Site::start(Behaviour::UnframedCrash(9), Behaviour::Plain).await;
    let _other = add_desk(&site, Behaviour::Unframed).await;
    for number in 0.. {
        let id = format!("a{number}");
        let call = Call::valid("GET", "/lookup/1", &id);
        let response = call.send(&site.router).await;
        assert_eq!(response.text(), format!("answer to {id}"), "{response:?}");
        assert_eq!(response.status, 200);
        if site.desk.crashes() > 0 {
            break;
        }
    }
}

/// Guards against a response that is too long to be held back, is passed on while it arrives, and looks
/// complete although its upstream crashed in the middle of it.
#[actix_rt::test]
async fn long_response_whose_upstream_crashes_in_its_middle_does_not_look_complete() {
    for (method, target) in [("GET", "/lookup/1"), ("POST", "/book/1")] {
        let cut = Behaviour::UnframedCrash(LONG_BYTES);
        let site = Site::start(cut, Behaviour::Plain).await;
        let call = Call::valid(method, target, "a1").body("truck");
        let response = call.send(&site.router).await;
        assert_eq!(response.status, 200, "{target}");
        assert!(!response.whole, "{target}: a cut response looks complete");
        assert_eq!(site.desk.arrivals().len(), 1, "{target}");
    }
}
