//! A randomized soak of router processes on the users' platform. Test only.
//!
//! Routers run as separate processes on loopback, with stand-ins for the store and the upstreams.
//! Faults come from outside: signals, proxies on the way, faulty upstreams, changes in the store.
//! What clients and upstreams see is checked against the promises of the fleet.
//!
//! - [`fault`]: what happens when; drawn from a seed.
//! - [`fleet`]: the processes, the stand-ins and the proxies between them.
//! - [`client`]: clients that keep using open connections.
//! - [`ledger`]: what clients and upstreams saw, and the promises that it must keep.
//! - [`run`]: plays a seed.

pub mod client;
pub mod fault;
pub mod fleet;
pub mod ledger;
pub mod run;
