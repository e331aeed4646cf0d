//! The audit log: what was run, rejected or interrupted, in a form that can be checked years later.
//!
//! - [`chain`]: [`Chain`], written by one router process.
//! - [`line`](mod@line): [`Line`], hashed with the line before it.
//! - [`head`]: [`Head`], a signed statement that peers write into their chains; [`Receipt`], one for
//!   a caller.
//! - [`key`]: [`Signer`] and [`Keys`].
//! - [`verify`]: finds the first missing, changed, reordered or forged line.
//! - [`canonical`]: the JSON text that is hashed.
//!
//! A signature covers all lines up to a head. Lines after the last head that reached a peer, at most
//! a second or 256 lines, are protected only by receipts.

pub mod canonical;
pub mod chain;
pub mod error;
pub mod head;
pub mod key;
pub mod line;
pub mod verify;

pub use chain::Chain;
pub use error::Error;
pub use head::{Head, Receipt};
pub use key::{Keys, Signer};
pub use line::{Fields, Line};
pub use verify::{Fault, Kind, Summary};
