//! Non-idempotent calls run at most once.
//!
//! - [`permit`]: permits, idempotency keys, [`permit::Issuer`] and [`permit::Signer`].
//! - [`owner`]: the owner's table; asks all witnesses before it dispatches a key.
//! - [`witness`]: a witness's table; accepts an intent or seals a key, never both.
//! - [`survivor`]: calls forwarded to another owner, decided by witnesses when it is gone.
//! - [`life`]: the states of a key and [`life::Run`], the authority to run it.
//! - [`message`]: payloads of the messages between them.
//! - [`quota`]: bounds of the tables.
//! - [`response`]: responses made here.
//!
//! Safety does not depend on clocks, membership or pauses. The owner's clock alone decides whether a
//! permit has expired.

pub mod life;
pub mod message;
pub mod owner;
pub mod permit;
pub mod quota;
pub mod response;
pub mod survivor;
pub mod witness;

pub use life::Run;
pub use message::{
    Answer, Digest, End, Finding, Forward, Note, Noted, Outcome, Reply, Response, Seal, Sealed,
    Verdict,
};
pub use permit::{Key, Permit};
pub use quota::Limits;
