//! Stand-ins for the platform and the upstreams, for tests only.
//!
//! - [`platform`]: configuration service, host list and weight store behind one listener.
//! - [`engine`]: model engines with continuous batching.
//! - [`booking`]: a booking service that counts each execution.
//! - [`history`]: the JSON lines in which upstreams record events for the checks of the load tool.
//! - [`http`]: the HTTP server that the stand-ins share; it can be taken down for a time.
//! - [`store`]: the store of the users' platform, which routers only read.
//! - [`worker`]: an upstream of the users' platform whose responses are scripted by a test.
//! - [`names`]: names and addresses of several upstreams in one process.
//!
//! All stand-ins run on one thread, inside an `actix_rt` system. Those of the program `tsw-fake`
//! have a control listener next to their ordinary one; the documentation of their modules lists its
//! calls.

pub mod booking;
pub mod engine;
pub mod history;
pub mod http;
pub mod names;
pub mod platform;
pub mod store;
pub mod worker;
