//! The audit log: hash-chained lines and signed heads.
//!
//! - [`head`]: signed heads, sent to peers as [`Head`].

pub mod head;

pub use head::Head;
