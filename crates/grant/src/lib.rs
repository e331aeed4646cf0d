//! Slots, demand and grants.
//!
//! - [`home`]: decides which waiting request gets each free slot.
//! - [`message`]: what entry routers and homes tell each other.

pub mod home;
pub mod message;
