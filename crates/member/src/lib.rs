//! Membership of the router fleet.
//!
//! - [`message`]: payloads of [`Ping`], [`Ack`] and [`Update`].

pub mod message;

pub use message::{Ack, Ping, State, Update};
