//! Settings of the daemon, files of teams and services, and the bundle made of them.
//!
//! - [`settings`]: the YAML settings of one router process.
//! - [`team`] and [`service`]: the files that operators keep beside each service's code.
//! - [`bundle`]: all teams and services under one revision, as the configuration service holds it.
//! - [`adopt`]: the rule that decides which bundle is in force.

pub mod adopt;
pub mod bundle;
pub mod service;
pub mod settings;
pub mod team;
