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
