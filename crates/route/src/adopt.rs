//! The rule that decides which version is in force.

use std::rc::Rc;

use crate::table::Table;

/// The table in force, if one was offered since the process started.
#[derive(Clone, Debug, Default)]
pub struct Current(Option<Rc<Table>>);

impl Current {
    /// Takes a table unless one of the same or a higher version is in force, and returns whether
    /// it is in force now.
    pub fn offer(&mut self, table: Table) -> bool {
        let newer = table.version > self.version();
        if newer {
            self.0 = Some(Rc::new(table));
        }
        newer
    }

    /// Returns the version in force, or 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.0.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Rc<Table>> {
        self.0.as_ref()
    }
}
