//! Starts the HTTP servers and runs the process until it stops.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use actix_http::{error::DispatchError, HttpService, KeepAlive, Request};
use actix_rt::net::TcpStream;
use actix_server::Server;
use actix_service::boxed::{self, BoxServiceFactory};
use tokio::sync::{mpsc, Notify};
use tsw_base::host;
use tsw_config::settings;
use tsw_event::{emit, Event};
use tsw_gate::signals::Signals;

use crate::{
    context::{self, Context},
    keys, operator,
    router::Router,
    start,
};

/// Why the process cannot start or had to end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] tsw_event::setup::Error),
    /// A key cannot be used.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// Binding a listener failed.
    #[error("cannot listen on {address}: {source}; correct listen.{key}")]
    Bind {
        /// Name of the setting below `listen`.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The router cannot start.
    #[error(transparent)]
    Start(#[from] context::Error),
    /// The HTTP server ended unexpectedly.
    #[error("the HTTP server ended: {0}")]
    Server(io::Error),
}

/// Creates the router on this thread. An error ends the process.
fn start_router(context: &Arc<Context>) -> Option<Rc<Router>> {
    match start::thread_router(context) {
        Ok(router) => Some(router),
        Err(error) => {
            // Ignored: the main thread may have ended already.
            let _ = context.end.send(Err(error));
            None
        }
    }
}

/// Returns the factory of the operators' HTTP service, which creates the router on the server's
/// worker thread.
fn operator_service(
    context: Arc<Context>,
) -> impl Fn() -> BoxServiceFactory<(), TcpStream, (), DispatchError, ()> + Clone + Send {
    move || {
        let router = start_router(&context);
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(Duration::from_secs(60)))
            .client_request_timeout(Duration::from_secs(10))
            .finish(move |request: Request| {
                let router = router.clone();
                async move {
                    match router {
                        Some(router) => operator::handle(router, request).await,
                        // The process is about to end.
                        None => std::future::pending().await,
                    }
                }
            });
        boxed::factory(service.tcp_auto_h2c())
    }
}

/// Runs a router with the given settings until it has stopped gracefully. Its peers consider it newer than the run
/// `earlier` of this host. Returns the run that the next process has to follow, if this one stopped because of it. The
/// settings are read only at the start, so that a hangup has no effect.
///
/// # Errors
///
/// Returns why it cannot start.
pub async fn run(
    settings: settings::Settings,
    mut signals: Signals,
    earlier: Option<host::Incarnation>,
) -> Result<Option<host::Incarnation>, Error> {
    let keys = keys::Keys::load(&settings)?;
    let listen = settings.listen.clone();
    let bind = |key, address| {
        move |source| Error::Bind {
            key,
            address,
            source,
        }
    };
    let callers = TcpListener::bind(listen.caller).map_err(bind("caller", listen.caller))?;
    let (end, mut ended) = mpsc::unbounded_channel();
    let context = Arc::new(Context {
        settings,
        keys,
        callers: Mutex::new(Some(callers)),
        earlier,
        superseded: Mutex::default(),
        stop: Notify::new(),
        end,
    });
    // One worker only: each worker would create a router of its own.
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .bind(
            "operators",
            listen.operator,
            operator_service(context.clone()),
        )
        .map_err(bind("operator", listen.operator))?
        .run();
    let handle = server.handle();
    emit(
        Event::Started,
        &[
            ("host", &context.settings.host),
            ("caller", &listen.caller),
            ("operator", &listen.operator),
            ("peer", &listen.peer),
        ],
    );
    let mut server = std::pin::pin!(server);
    let result = loop {
        tokio::select! {
            result = ended.recv() => break result.unwrap_or(Ok(())).map_err(Error::from),
            result = &mut server => {
                let gone = io::Error::from(io::ErrorKind::UnexpectedEof);
                return Err(Error::Server(result.err().unwrap_or(gone)));
            }
            _ = signals.stop.recv() => context.stop.notify_one(),
        }
    };
    let stopping = async {
        handle.stop(false).await;
    };
    let stopped = async { tokio::join!(stopping, server) };
    // The process ends in any case; this gives the server time to close its connections.
    let _ = tokio::time::timeout(Duration::from_secs(2), stopped).await;
    result?;
    let superseded = context.superseded.lock();
    Ok(superseded.ok().and_then(|superseded| *superseded))
}
