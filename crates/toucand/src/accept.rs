//! The listener for callers.
//!
//! It is separate from the operators' HTTP server because a graceful stop closes it first: new
//! connections are refused and their callers use another router, while requests on open connections
//! are still served.

use std::{convert::Infallible, net::TcpListener, rc::Rc, time::Duration};

use actix_http::{HttpMessage as _, HttpService, KeepAlive, Request};
use actix_rt::time;
use actix_service::{Service, ServiceFactory};
use tsw_event::{contained, emit, Event};

use crate::{
    call, caller,
    reply::{self, Outcome, Reply},
    router::Router,
};

/// Pause after `accept` fails, for example because no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of callers until the router closes the listener.
pub async fn run(router: Rc<Router>, listener: TcpListener) {
    let handler = router.clone();
    // A caller that closes its sending side has abandoned the request, so half-closed connections
    // are dropped.
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(Duration::from_secs(60)))
        .client_request_timeout(Duration::from_secs(10))
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .finish(move |request: Request| handle(handler.clone(), request))
        .tcp_auto_h2c();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let listener = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    let listener = match listener {
        Ok(listener) => listener,
        Err(error) => return emit(Event::AcceptFailed, &[("cause", &error)]),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = router.close_callers.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = service.call(stream);
                let guard = ConnectionGuard::new(&router);
                actix_rt::spawn(async move {
                    // Ignored: the error affects only this connection, and its caller sees it too.
                    let _ = contained::run(serving).await;
                    drop(guard);
                });
            }
            Err(error) => {
                emit(Event::AcceptFailed, &[("cause", &error)]);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers a request. After a panic of its task, the request may have run.
async fn handle(router: Rc<Router>, request: Request) -> Result<Reply, Infallible> {
    let id = call::request_id(request.headers()).ok().flatten();
    let handled = contained::run(caller::handle(router, request)).await;
    handled.unwrap_or_else(|error| {
        let id = id.unwrap_or_default();
        Ok(reply::failed(
            Outcome::Unknown,
            "panicked",
            &error.to_string(),
            &id,
        ))
    })
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<Router>);

impl ConnectionGuard {
    fn new(router: &Rc<Router>) -> Self {
        router.connections.set(router.connections.get() + 1);
        Self(router.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
