//! The link to peers: handles its notices and provides the first messages of a session.

use std::{rc::Rc, time::Duration};

use tsw_event::{emit, Event};
use tsw_link::{Error, Link, LinkEvent, Options};
use tsw_member::event;
use tsw_wire::message::{Hello, VERSION};

use crate::{crash_detector, engine_runs, router::Router};

/// Opens the link and listens for peers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the certificates are not valid.
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
    let session_router = Rc::downgrade(router);
    let notice_router = Rc::downgrade(router);
    Link::bind(
        settings.listen.peer,
        &router.context().keys.identity,
        hello,
        options,
        Box::new(move |peer| {
            let router = session_router.upgrade();
            router.map_or_else(Vec::new, |router| {
                router.update_state(|state, now| {
                    let (mut turn, control) = state.split(now);
                    let mut messages = control.scheduling.session_messages(&mut turn, peer);
                    messages.extend(crash_detector::Controller::session_messages(
                        turn.board, now,
                    ));
                    messages.extend(engine_runs::Controller::session_messages(turn.board, now));
                    messages
                })
            })
        }),
        Box::new(move |event| {
            if let Some(router) = notice_router.upgrade() {
                handle(&router, event);
            }
        }),
    )
}

/// Handles a notice of the link. An overflow may be reported while the state is borrowed for an update,
/// so it is only logged; the first messages of the next session restore the peer's state.
fn handle(router: &Router, notice: LinkEvent) {
    match notice {
        LinkEvent::Opened { peer } => emit(Event::PeerUp, &[("peer", &peer), ("by", &"us")]),
        LinkEvent::Accepted { hello, .. } => {
            emit(Event::PeerUp, &[("peer", &hello.id), ("by", &"peer")]);
            let (id, domain) = (hello.id, hello.domain);
            router.update_state(|state, now| {
                state.handle_membership(now, event::Event::Hello { id, domain })
            });
        }
        LinkEvent::Closed { peer, cause } => {
            emit(Event::PeerDown, &[("peer", &peer), ("cause", &cause)]);
            let event = event::Event::SessionFailed { host: peer };
            router.update_state(|state, now| state.handle_membership(now, event));
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
