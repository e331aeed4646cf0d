//! Startup parameters of the process and startup errors.

use std::{net::TcpListener, sync::Mutex};

use tokio::sync::{mpsc, Notify};
use tsw_base::host;
use tsw_config::settings;

use crate::{keys::Keys, metrics, platform};

/// Why the router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host list cannot be read; without it, no peer is known.
    #[error("cannot start without the host list: {0}")]
    Hosts(#[from] platform::Error),
    /// The link to peers cannot be opened.
    #[error(transparent)]
    Link(#[from] tsw_link::Error),
    /// The metrics cannot be registered.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Startup parameters and signals, shared between the threads of the process.
pub struct Context {
    /// Settings.
    pub settings: settings::Settings,
    /// Keys.
    pub keys: Keys,
    /// Listening socket for callers; the router takes it when it starts.
    pub callers: Mutex<Option<TcpListener>>,
    /// Run of this host that its peers knew when the process before this one ended.
    pub earlier: Option<host::Incarnation>,
    /// Run of this host that its peers consider newer than this one although it has ended.
    pub superseded: Mutex<Option<host::Incarnation>>,
    /// Requests a graceful stop of the router.
    pub stop: Notify,
    /// Reports the result of the router to the main thread.
    pub end: mpsc::UnboundedSender<Result<(), Error>>,
}
