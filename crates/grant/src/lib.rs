//! Slots, demand and grants.
//!
//! - [`message`]: what entry routers and homes tell each other.

pub mod message;
