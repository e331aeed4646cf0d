//! Applies what was read of the list of upstreams.

use bytes::Bytes;
use tsw_base::time::Timestamp;
use tsw_flow::{
    pool::Entry,
    registry::{Change, Position, Registry},
};
use tsw_route::Name;

use crate::store_copy::StoreCopy;

/// The content of one key that was read from the store or from another router.
#[derive(Clone, Debug)]
pub struct Item {
    /// Name of the entry.
    pub key: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// `None` if it was removed, `Some(None)` if its content names no usable upstream.
    pub entry: Option<Option<Entry>>,
    /// Content for other routers; `None` if it was removed.
    pub content: Option<Bytes>,
}

/// What a read shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Each change since a position.
    Changes,
    /// The present content of the entries that changed since a position.
    Difference,
    /// The present content of all entries.
    Whole,
}

impl Kind {
    /// Returns whether entries may have come and gone unseen between a position that is known and that of a read. `read` yields the
    /// key of each item that was read, of the configuration as well, its revision and whether it is listed.
    ///
    /// ```
    /// use tsw_flow::registry::{Position, Registry};
    /// use tsw_gate::list::Kind;
    /// let mut registry = Registry::default();
    /// registry.advance(5);
    /// let position = Position { era: None, revision: 6 };
    /// // The change with revision 6 is a removal, or of an entry that was removed since.
    /// assert!(Kind::Whole.hides_changes(&registry, position, [(&"i-1".into(), 4, true)]));
    /// assert!(!Kind::Whole.hides_changes(&registry, position, [(&"i-1".into(), 6, true)]));
    /// ```
    #[must_use]
    pub fn hides_changes<'a>(
        self,
        registry: &Registry,
        position: Position,
        read: impl IntoIterator<Item = (&'a Name, u64, bool)>,
    ) -> bool {
        let known = registry.position();
        if known.revision == 0 || position <= known {
            return false;
        }
        // What was written between the latest read and the copy from which the store was restored is not shown.
        if known.era != position.era {
            return true;
        }
        let mut read = read
            .into_iter()
            .filter(|(_, revision, _)| *revision > known.revision);
        match self {
            Self::Changes => false,
            // Each entry may have changed several times.
            Self::Difference => read.next().is_some(),
            Self::Whole => {
                let shown = read.filter(|(_, revision, _)| *revision <= position.revision);
                (shown.count() as u64) < position.revision - known.revision
            }
        }
    }
}

/// The list of upstreams, and the copy of its content for other routers.
pub struct List<'a> {
    /// The upstreams.
    pub registry: &'a mut Registry,
    /// The content.
    pub copy: &'a mut StoreCopy,
}

impl List<'_> {
    /// Applies the content of one key from a read up to a position, and returns its effect.
    pub fn set(&mut self, now: Timestamp, position: Position, item: Item) -> Change {
        let Item {
            key,
            revision,
            entry,
            content,
        } = item;
        // A read that was overtaken by a later one does not show that the entry was removed meanwhile.
        if position < self.registry.position() && self.registry.has_removed(&key, revision) {
            return Change::Stale;
        }
        let change = self.registry.set(now, &key, revision, entry);
        match change {
            Change::Stale => {}
            Change::Heartbeat => self.copy.set_heartbeat(&key, revision, content.as_ref()),
            Change::Content | Change::Pending | Change::Withheld => {
                self.copy.set_entry(key, revision, content);
            }
        }
        change
    }

    /// Removes the entries that are missing from a whole list as of a position.
    pub fn retain(&mut self, now: Timestamp, position: Position, keys: &[Name]) {
        self.copy.apply_list(position.revision, keys);
        self.registry.apply_list(now, position.revision, keys);
    }
}
