//! Settings of the daemon, team and service files, and the bundle built from these files.
//!
//! - [`settings`]: the YAML settings of one router process.
//! - [`gateway`]: the YAML settings of a router on the users' platform.
//! - [`team`] and [`service`]: the files that operators maintain next to each service's code.
//! - [`collect`]: finds those files in a directory.
//! - [`check`]: checks them together and reports every [`fault`].
//! - [`bundle`]: all teams and services under one revision, as stored in the configuration service.
//! - [`adopt`]: the rule that decides which bundle is active.
//!
//! # Example
//!
//! Builds a bundle from files, serializes it, and offers it to a receiver.
//!
//! ```
//! use tsw_config::{adopt, check, collect, Bundle};
//!
//! // `collect::walk` reads such files from a directory tree.
//! let file = |path: &str, kind, text: &str| collect::File {
//!     path: path.into(),
//!     kind,
//!     text: text.to_owned(),
//! };
//! let service = "service: pickups\nkind: plain\nrepeatable: false\nslots: 2\n";
//! let team = "team: counter\ntokens: []\nshares:\n  pickups: 0.5\n";
//! let set = check::FileSet::read(&[
//!     file("pickups.service.yaml", collect::Kind::Service, service),
//!     file("counter.team.yaml", collect::Kind::Team, team),
//! ]);
//! assert!(set.faults().is_empty());
//! let bytes = set.bundle(3)?.to_bytes()?;
//!
//! // A receiver parses and checks the bytes before it offers the bundle.
//! let mut active = adopt::ActiveBundle::default();
//! assert_eq!(active.offer(Bundle::parse(&bytes)?), adopt::Outcome::Adopted);
//! assert_eq!(active.offer(set.bundle(2)?), adopt::Outcome::Older { current: 3 });
//! let current = active.current().expect("a bundle was adopted");
//! assert_eq!(current.teams["counter"].shares["pickups"].as_ppm(), 500_000);
//!
//! // The settings of a process are not part of the bundle.
//! let tuning = tsw_config::settings::Tuning::default();
//! assert_eq!(tuning.grant_ttl().as_millis(), 1_000);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod adopt;
pub mod bundle;
pub mod check;
pub mod collect;
mod document;
pub mod fault;
pub mod gateway;
pub mod service;
pub mod settings;
pub mod team;

pub use bundle::Bundle;
pub use settings::Settings;
