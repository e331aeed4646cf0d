//! Randomized soak test of router processes on the users' platform. Used by tests only.
//!
//! Routers run as separate processes on loopback, with stand-ins for the store and the upstreams.
//! Faults are injected from outside the routers: signals, proxies on the network links, faulty
//! upstreams and changes in the store. The history of requests, as clients and upstreams observed
//! it, is checked against the guarantees of the routers.
//!
//! - [`fault`]: the schedule of faults, drawn from a seed.
//! - [`fleet`]: the router processes, the stand-ins and the proxies between them.
//! - [`client`]: clients that reuse connections.
//! - [`history`]: what clients and upstreams observed, and the checks on it.
//! - [`store`]: the store, with the expiry of entries and the return from a copy.
//! - [`run`]: runs the test for one seed.

pub mod client;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod run;
pub mod store;
