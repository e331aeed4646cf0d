//! The signals that the process handles.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handlers of the signals. They are installed before anything else, since a signal without a handler ends the
/// process. Signals that arrive before they are awaited are kept.
#[derive(Debug)]
pub struct Signals {
    /// Asks the process to stop (SIGTERM).
    pub stop: Signal,
    /// Tells the process that its settings have changed (SIGHUP).
    pub reload: Signal,
    /// Handled only so that a closed pipe does not end the process.
    _pipe: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses one.
    ///
    /// # Panics
    ///
    /// Panics outside of an async runtime.
    ///
    /// ```
    /// use tsw_gate::signals::Signals;
    /// let system = actix_rt::System::new();
    /// assert!(system.block_on(async { Signals::new() }).is_ok());
    /// ```
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            stop: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
            _pipe: signal(SignalKind::pipe())?,
        })
    }
}
