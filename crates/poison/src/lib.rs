//! Requests that crash the upstreams that run them.
//!
//! - [`watch`]: [`Watch`], the state machine; events in, commands out.
//! - [`fingerprint`]: what identifies a request.
//! - [`message`]: payload of [`Suspect`].

pub mod fingerprint;
pub mod message;
pub mod watch;

pub use message::{Finding, Fingerprint, Suspect, Verdict};
pub use watch::{Command, Event, Treatment, Watch};
