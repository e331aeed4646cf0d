//! What the process starts with, and why it cannot.

use std::{net::TcpListener, sync::Mutex};

use tokio::sync::{mpsc, Notify};
use tsw_config::settings;

use crate::{keys::Keys, metrics, platform};

/// Why the router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host list cannot be read, and without it no peer is known.
    #[error("cannot start without the host list: {0}")]
    Hosts(#[from] platform::Error),
    /// The link to peers cannot be opened.
    #[error(transparent)]
    Link(#[from] tsw_link::Error),
    /// The metrics cannot be registered.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// What the process needs to start, shared between its threads.
pub struct Plan {
    /// Settings.
    pub settings: settings::Settings,
    /// Keys.
    pub keys: Keys,
    /// Listener for callers, until the router takes it.
    pub callers: Mutex<Option<TcpListener>>,
    /// Asks the router to finish its work and stop.
    pub stop: Notify,
    /// Tells the main thread that the router has ended.
    pub end: mpsc::UnboundedSender<Result<(), Error>>,
}
