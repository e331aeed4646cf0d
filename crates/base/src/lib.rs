//! Basic types shared by the other crates: names, time, and the identity of a router process.
//!
//! - [`name`]: validated names of hosts, failure domains, teams, services and upstreams.
//! - [`stated`]: limits of numbers that another party states.
//! - [`time`]: monotonic timestamps and durations, both in microseconds.
//! - [`host`]: the identity of one run of a router process.
//!
//! ```
//! use tsw_base::{name, time};
//!
//! let team: name::Team = "counter".parse()?;
//! assert_eq!(team.as_str(), "counter");
//! let deadline = time::Timestamp::from_micros(5) + time::Span::from_millis(2);
//! assert_eq!(deadline.as_micros(), 2_005);
//! # Ok::<(), name::Error>(())
//! ```

pub mod host;
pub mod name;
pub mod stated;
pub mod time;
