//! Decisions about requests between their arrival and their final answer.
//!
//! All of them are pure: they take the time as a [`tsw_base::time::Tick`] and hold no sockets.
//!
//! - [`account`]: the work that each team received lately from the whole fleet.
//! - [`prompt`]: what is known of the prompt of a request before it runs.
//! - [`directory`]: which parts of prompts an engine holds.
//! - [`pool`]: the upstreams of a service, and which of them serves a request best.
//! - [`owner`]: which upstreams a router sends to first.
//! - [`registry`]: which upstreams the platform lists, also after it was away.
//! - [`queue`]: who waits, in which order, and who is refused.
//! - [`budget`]: bounds the attempts beyond the first.
//! - [`verdict`]: what follows from the result of an attempt.
//! - [`service`]: the state of one service, made of the parts above.

pub mod account;
pub mod budget;
pub mod directory;
pub mod owner;
pub mod pool;
pub mod prompt;
pub mod queue;
pub mod registry;
pub mod service;
pub mod verdict;
