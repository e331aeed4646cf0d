//! Requests that crash the upstreams that run them.
//!
//! - [`message`]: payload of [`Suspect`].

pub mod message;

pub use message::{Finding, Fingerprint, Suspect, Verdict};
