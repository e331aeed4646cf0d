//! Tasks that controllers start to perform I/O.

use tsw_base::{host, name};

/// Asynchronous work started by a decision.
#[derive(Debug)]
pub enum Task {
    /// Run a non-idempotent call as the owner of its key.
    Run(tsw_once::Run),
    /// Send a placement order to an engine.
    Order {
        /// The engine.
        upstream: name::Upstream,
        /// The order.
        order: tsw_place::Order,
    },
    /// Read the host list now.
    ReadHosts,
    /// Ask the engines that this router schedules for their load.
    ReadLoads,
    /// Drain and stop the router, and start it again as a later run than this one.
    Restart {
        /// The run that its peers know.
        earlier: host::Incarnation,
    },
}
