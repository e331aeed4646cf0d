//! The life of a request: wait for an upstream, send, relay the answer, try again, end.
//!
//! This crate knows no interface towards clients and no dialect of upstreams: a front door makes a
//! [`request::Request`], and a [`dialect::Dialect`] writes and reads the headers.
//!
//! 1. [`run`]: one request from its admission to its final answer; its parts pass a response on and
//!    write the final answer when no upstream has answered.
//! 2. [`wait`]: waits until an upstream has room, and holds the place.
//! 3. [`attempt`]: sends the request to an upstream and reads the head of the response.
//! 4. [`event`]: finds the events of a stream.
//! 5. [`suspect`]: finds requests that crash upstreams.
//! 6. [`pace`]: when the events were passed on.
//! 7. [`responder`]: writes the answer to the client.
//!
//! [`router`] is the state that all requests share; [`answer`] lists the answers that the router
//! gives itself; [`metrics`] counts.

pub mod answer;
pub mod attempt;
pub mod dialect;
pub mod event;
pub mod metrics;
pub mod pace;
pub mod request;
pub mod responder;
pub mod router;
pub mod run;
pub mod suspect;
pub mod wait;
