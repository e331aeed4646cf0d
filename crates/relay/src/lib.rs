//! The lifecycle of a request: reserve a slot at an upstream, send, forward the response, retry.
//!
//! This crate knows neither the interface for clients nor the header conventions of upstreams: the
//! caller builds a [`request::Request`], and a [`protocol::Protocol`] writes and reads the headers.
//!
//! 1. [`run`]: runs one request from its admission to its final response. Its submodules forward the
//!    response of an upstream, or send a final response when no upstream has responded.
//! 2. [`reservation`]: waits until an upstream has a free slot, and reserves it.
//! 3. [`attempt`]: sends the request to an upstream and reads the head of the response.
//! 4. [`event`]: splits a stream into events.
//! 5. [`crash_detector`]: detects requests that crash upstreams.
//! 6. [`timing`]: measures when the events of a stream were forwarded.
//! 7. [`responder`]: writes the response to the client.
//! 8. [`origins`]: remembers at which software streams began; [`assignment`]: assigns new ones to software;
//!    [`derivation`]: derives where they began if no router remembers it; `past_tables`: remembers earlier
//!    configurations for it; `prompt_keepers`: finds out whether upstreams that keep a prompt contradict it.
//! 9. [`statements`]: applies what upstreams state about themselves in their responses; [`credits`]: credits
//!    for requests to upstreams that state the request rate that they take.
//! 10. `upstream_run`: finds out whether an upstream still runs the process that its entry describes.
//!
//! [`router`] is the state that all requests share; [`local_response`] lists the responses that the
//! router generates itself; [`metrics`] holds counters and histograms;
//! [`memory`] is the account of what all requests buffer.

pub mod assignment;
pub mod attempt;
pub mod crash_detector;
pub mod credits;
pub mod derivation;
pub mod event;
pub mod local_response;
pub mod memory;
pub mod metrics;
pub mod origins;
mod past_tables;
mod prompt_keepers;
pub mod protocol;
pub mod request;
pub mod reservation;
pub mod responder;
pub mod router;
pub mod run;
pub mod statements;
pub mod timing;
mod upstream_run;
