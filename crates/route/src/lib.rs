//! Which service, team and limits a request gets: the routing table in force.
//!
//! - [`table`]: routes, services and teams of one version, and the look-ups on them.
//! - [`adopt`]: the rule that decides which version is in force.
//!
//! # Example
//!
//! ```
//! use tsw_route::{adopt, table};
//!
//! let mut table = table::Table::default();
//! table.version = 3;
//! let team = table::Team { name: "counter".into(), priority: None };
//! table.add_key("secret", &team.into());
//! let mut current = adopt::Current::default();
//! assert!(current.offer(table.clone()));
//! table.version = 2;
//! assert!(!current.offer(table), "an older version is never applied");
//! assert_eq!(&*current.table().unwrap().team("secret").unwrap().name, "counter");
//! ```

pub mod adopt;
pub mod table;

use std::sync::Arc;

/// A name that an operator chose: a service, a team, a failure domain or an upstream. Cloning it
/// copies a pointer.
pub type Name = Arc<str>;
