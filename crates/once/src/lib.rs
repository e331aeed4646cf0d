//! Non-idempotent calls run at most once.
//!
//! - [`permit`]: permits and idempotency keys.
//! - [`message`]: payloads of the messages between owners, witnesses and survivors.

pub mod message;
pub mod permit;

pub use message::{
    Answer, Digest, End, Finding, Forward, Note, Noted, Outcome, Reply, Response, Seal, Sealed,
    Verdict,
};
pub use permit::{Key, Permit};
