//! Messages between routers and their frames.
//!
//! - [`message`]: every message; the payloads belong to the crates of their areas.
//! - [`frame`]: a `u32` length followed by a postcard body.

pub mod frame;
pub mod message;
