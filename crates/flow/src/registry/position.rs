//! Points in the history of the platform's store, which starts anew in each era.

/// A point in the history of the platform's store.
///
/// Revisions go back when the store is restored from a copy, and are assigned again. They are
/// comparable only within one era, so the era precedes the revision in the order.
///
/// ```
/// use tsw_flow::registry::Position;
/// let before = Position { era: Some(1), revision: 90 };
/// let after = Position { era: Some(2), revision: 40 };
/// assert!(before < after);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of restores of the store; `None` if unknown.
    pub era: Option<u64>,
    /// Revision of the store.
    pub revision: u64,
}

/// Relation of the era of new content to the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// The eras are the same.
    Same,
    /// The era was unknown before.
    First,
    /// The store was restored from a copy.
    Restored,
    /// The content is from before the latest restore and must not be applied.
    Older,
}
