//! Numbered log events and initialization of the log.
//!
//! - [`Event`]: all events with their numbers, levels and names. `docs/events.md` describes them.
//! - [`emit`]: logs an event with its fields.
//! - [`bounded`]: a non-blocking, rate-limited log.
//! - [`contained`]: futures whose panics end only themselves.
//! - [`setup`]: initializes the log: text or JSON lines, to standard output or a file.
//!
//! # Example
//!
//! Logs an event to a file. The log can be initialized only once per process.
//!
//! ```
//! use tsw_config::settings::{Format, Level, Log};
//! use tsw_event::{emit, setup, Event};
//!
//! let file = std::env::temp_dir().join(format!("tsw-event-{}.log", std::process::id()));
//! let log = Log { format: Format::Text, level: Level::Info, file: Some(file.clone()) };
//! setup::init(&log)?;
//!
//! emit(Event::Ready, &[("revision", &7), ("host", &"r1")]);
//!
//! let text = std::fs::read_to_string(&file)?;
//! std::fs::remove_file(&file)?;
//! assert!(text.ends_with(" INFO 102 ready revision=7 host=r1\n"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod bounded;
mod catalogue;
pub mod contained;
mod emit;
pub mod setup;

pub use catalogue::Event;
pub use emit::{emit, Field};
