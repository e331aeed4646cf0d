//! Slots, demand and grants.
//!
//! - [`entry`]: waiting requests at an entry router, their demand and the use of grants.
//! - [`home`]: decides which waiting request gets each free slot.
//! - [`message`]: what entry routers and homes tell each other.

pub mod entry;
pub mod home;
pub mod message;
