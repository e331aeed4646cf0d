//! Work that follows from a decision and needs I/O.

use tsw_base::name;

/// Work that follows from a decision and needs I/O.
#[derive(Debug)]
pub enum Task {
    /// Run a non-idempotent call as the owner of its key.
    Run(tsw_once::Run),
    /// Send an order to an engine.
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
    /// Stop gracefully.
    Stop,
}
