//! Settings of the daemon, files of teams and services, and the bundle made of them.
//!
//! - [`settings`]: the YAML settings of one router process.
//! - [`team`] and [`service`]: the files that operators keep beside each service's code.
//! - [`collect`]: finds those files in a directory.
//! - [`check`]: checks them together and reports every [`fault`].
//! - [`bundle`]: all teams and services under one revision, as the configuration service holds it.
//! - [`adopt`]: the rule that decides which bundle is in force.

pub mod adopt;
pub mod bundle;
pub mod check;
pub mod collect;
mod document;
pub mod fault;
pub mod service;
pub mod settings;
pub mod team;
