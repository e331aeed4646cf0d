//! The routing table: maps requests to services, teams and limits.
//!
//! - [`table`]: one version of the routes, services and teams, and the lookups on them.
//! - [`active`]: holds the active table and replaces it by newer versions only.
//!
//! # Example
//!
//! ```
//! use tsw_route::{active, table};
//!
//! let mut table = table::Table::default();
//! table.version = 3;
//! let team = table::Team { name: "counter".into(), priority: None };
//! table.add_key("secret", &team.into());
//! let mut active = active::ActiveTable::default();
//! assert!(active.replace_if_newer(table.clone()));
//! table.version = 2;
//! assert!(!active.replace_if_newer(table), "an older version never replaces a newer one");
//! assert_eq!(&*active.table().unwrap().team("secret").unwrap().name, "counter");
//! ```

pub mod active;
pub mod table;

use std::sync::Arc;

/// Name of a service, team, failure domain, host, router or upstream. Reference-counted, so that
/// clones are cheap.
pub type Name = Arc<str>;
