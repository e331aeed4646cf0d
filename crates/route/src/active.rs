//! The active routing table. Older versions never replace newer ones.

use std::rc::Rc;

use crate::table::Table;

/// Holds the active table, or none until the process receives its first one.
#[derive(Clone, Debug, Default)]
pub struct ActiveTable(Option<Rc<Table>>);

impl ActiveTable {
    /// Makes `table` the active one if its version is higher than the active version. Returns
    /// whether it was replaced.
    pub fn replace_if_newer(&mut self, table: Table) -> bool {
        let newer = table.version > self.version();
        if newer {
            self.0 = Some(Rc::new(table));
        }
        newer
    }

    /// Returns the version of the active table, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.0.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the active table.
    #[must_use]
    pub fn table(&self) -> Option<&Rc<Table>> {
        self.0.as_ref()
    }
}
