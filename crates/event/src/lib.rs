//! Numbered log events and the set-up of the log.
//!
//! - [`Event`]: every event with its number, level and name. `docs/events.md` is the catalogue.
//! - [`emit`]: writes an event with its fields.
//! - [`setup`]: text or JSON lines, to standard output or to a file.

mod catalogue;
mod emit;
pub mod setup;

pub use catalogue::Event;
pub use emit::{emit, Field};
