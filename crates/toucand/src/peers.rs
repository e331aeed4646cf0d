//! The link to peers: what it reports, and how sessions start.

use std::{rc::Rc, time::Duration};

use tsw_event::{emit, Event};
use tsw_link::{Error, Link, LinkEvent, Options};
use tsw_member::event;
use tsw_wire::message::{Hello, VERSION};

use crate::router::Router;

/// Listens for peers.
///
/// # Errors
///
/// Returns why the address or the certificates cannot be used.
pub fn listen(router: &Rc<Router>) -> Result<Link, Error> {
    let settings = router.settings();
    let hello = Hello {
        version: VERSION,
        id: router.id().clone(),
        domain: settings.domain.clone(),
    };
    let options = Options {
        send_interval: Duration::from_millis(settings.tuning.flush_ms),
        ..Options::default()
    };
    let greeter = Rc::downgrade(router);
    let handler = Rc::downgrade(router);
    Link::bind(
        settings.listen.peer,
        &router.plan().keys.identity,
        hello,
        options,
        Box::new(move |peer| {
            let router = greeter.upgrade();
            router.map_or_else(Vec::new, |router| {
                router.act(|state, now| {
                    let (mut turn, control) = state.split(now);
                    control.scheduling.greeting(&mut turn, peer)
                })
            })
        }),
        Box::new(move |event| {
            if let Some(router) = handler.upgrade() {
                handle(&router, event);
            }
        }),
    )
}

/// Takes what the link reports. An overflow can be reported during a decision, so it is only logged;
/// the greeting of the next session restores the peer's view.
fn handle(router: &Router, notice: LinkEvent) {
    match notice {
        LinkEvent::Opened { peer } => emit(Event::PeerUp, &[("peer", &peer), ("by", &"us")]),
        LinkEvent::Accepted { hello, .. } => {
            emit(Event::PeerUp, &[("peer", &hello.id), ("by", &"peer")]);
            let (id, domain) = (hello.id, hello.domain);
            router.act(|state, now| state.member(now, event::Event::Hello { id, domain }));
        }
        LinkEvent::Closed { peer, cause } => {
            emit(Event::PeerDown, &[("peer", &peer), ("cause", &cause)]);
            let event = event::Event::SessionFailed { host: peer };
            router.act(|state, now| state.member(now, event));
        }
        LinkEvent::Refused { address, cause } => {
            emit(
                Event::PeerRefused,
                &[("address", &address), ("cause", &cause)],
            );
        }
        LinkEvent::Malformed { peer, cause } => {
            emit(Event::FrameDropped, &[("peer", &peer), ("cause", &cause)]);
        }
        LinkEvent::QueueFull { peer, dropped } => {
            emit(
                Event::PeerQueueFull,
                &[("peer", &peer), ("dropped", &dropped)],
            );
        }
        LinkEvent::Message { from, message } => router.receive(&from, *message),
    }
}
