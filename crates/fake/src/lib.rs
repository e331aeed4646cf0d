//! Stand-ins for the platform and the upstreams, for tests only.
//!
//! - [`platform`]: configuration service, host list and weight store behind one listener.
//! - [`engine`]: model engines with continuous batching.
//! - [`booking`]: a plain service that counts each execution.
//! - [`history`]: the JSON lines that upstreams record for the checker.
//! - [`http`]: the listener that they share, which can refuse connections for a time.
//! - [`store`]: the store of the users' platform, which routers only read.
//! - [`worker`]: an upstream of the users' platform that answers as a test says.
//! - [`names`]: names and addresses of several upstreams in one process.
//!
//! Everything here runs on one thread, inside an `actix_rt` system. Each stand-in has a control
//! listener next to its ordinary one; the modules list the calls that it answers.

pub mod booking;
pub mod engine;
pub mod history;
pub mod http;
pub mod names;
pub mod platform;
pub mod store;
pub mod worker;
