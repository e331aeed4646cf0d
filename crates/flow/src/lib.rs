//! Scheduling decisions between the arrival of a request and its final response.
//!
//! The code does no I/O and reads no clock: callers pass the time as a
//! [`tsw_base::time::Timestamp`].
//!
//! - [`account`]: recent work of each team in the whole fleet.
//! - [`prompt`]: size and shareable parts of the prompt of a request.
//! - [`prefix_cache`]: a model of the prompt parts cached by an engine.
//! - [`assignment`]: which software version gets a new stream, as a function of its identifier.
//! - [`expiry`]: until when streams may begin by a list of upstreams.
//! - [`origin`]: where streams began, so that they go on at the same software version.
//! - [`mix`]: the part of the work of each kind of requests that a team is served.
//! - [`pool`]: the upstreams of a service and the selection of one for a request.
//! - [`rate`]: divides the request rate that an upstream states among the routers.
//! - [`owner`]: which upstreams a router owns and prefers.
//! - [`evacuation`]: failure domains whose upstreams get no new requests.
//! - [`history`]: what changes of the list prove about the time before the start.
//! - [`registry`]: the upstreams listed by the platform, kept through its outages.
//! - [`queue`]: the queue of waiting requests: order and expiry.
//! - [`repeat`]: refused requests that clients send again.
//! - [`run`]: facts about runs of upstreams, which are identified by their starts.
//! - [`resumption`]: how often a recorded stream is resumed with precedence.
//! - [`budget`]: the retry budget.
//! - [`retry`]: what to do after a failed attempt.
//! - [`service`]: the state of one service, built from the modules above.

pub mod account;
pub mod assignment;
pub mod budget;
pub mod evacuation;
pub mod expiry;
pub mod history;
pub mod mix;
pub mod origin;
pub mod owner;
pub mod pool;
pub mod prefix_cache;
pub mod prompt;
pub mod queue;
pub mod rate;
pub mod registry;
pub mod repeat;
pub mod resumption;
pub mod retry;
pub mod run;
pub mod service;
