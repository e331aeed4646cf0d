//! Signals to a router process of the project's own interface.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustix::process::{kill_process, Pid, Signal};
use support::{events, Engine, EngineLog, Router, Upstream, TOKEN};

/// Guards against a hangup that ends the process, and with it the streams in flight.
#[actix_rt::test]
async fn hangup_cuts_no_stream() {
    let journal = Rc::new(RefCell::new(EngineLog::default()));
    let slow = Engine {
        gap: Duration::from_millis(50),
        break_after: None,
    };
    let engine = support::engine(0, slow, journal.clone()).await;
    let router = Router::start(&[Upstream::engine(engine)]).await;
    let request = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish()
        .post(router.call_url("reviews"))
        .bearer_auth(TOKEN);
    let reading = actix_rt::spawn(async move {
        let sent = request.send_body("{\"prompt\":\"x\",\"max_tokens\":20}");
        let mut response = sent.await.expect("a response");
        response.body().await.expect("a whole body")
    });
    while journal.borrow().started.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let id = i32::try_from(router.process.id()).expect("an id");
    kill_process(Pid::from_raw(id).expect("an id"), Signal::HUP).expect("sent");
    let body = reading.await.expect("no panic");
    let events = events(&body);
    assert_eq!(events.indices, (0..20).collect::<Vec<u64>>());
    assert!(events.end.is_some(), "the stream was cut");
}
