//! Failure domains that the operators evacuate: their upstreams get no new requests.

use indexmap::IndexSet;
use tsw_route::Name;

use crate::registry::Position;

/// An evacuation that began or ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The failure domain.
    pub domain: Name,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
    /// Store revision of the change.
    pub revision: u64,
}

/// The failure domains that are evacuated, as of a point in the store's history.
///
/// A later statement replaces an earlier one, from whichever router it comes. Without a statement nothing changes, so
/// that an evacuation lasts through an outage of the store.
///
/// ```
/// use tsw_flow::{evacuation::{Change, Evacuations}, registry::Position};
/// let at = |revision| Position { era: Some(1), revision };
/// let begins = Change { domain: "north".into(), is_evacuated: true, revision: 7 };
/// let mut evacuations = Evacuations::default();
/// assert!(evacuations.apply(at(9), false, &[begins.clone()]));
/// assert!(evacuations.contains("north"));
/// assert!(!evacuations.apply(at(8), true, &[]), "older than what is known");
/// assert!(evacuations.apply(at(12), true, &[]));
/// assert!(!evacuations.contains("north"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    position: Position,
    domains: IndexSet<Name>,
    /// Whether any domain was ever evacuated.
    has_changed: bool,
}

impl Evacuations {
    /// Returns the point up to which all evacuations are known.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Returns the evacuated failure domains.
    #[must_use]
    pub const fn domains(&self) -> &IndexSet<Name> {
        &self.domains
    }

    /// Returns whether any failure domain was evacuated since the start.
    #[must_use]
    pub const fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Applies what the store says as of a position: all evacuations if the statement is complete, or else the changes
    /// since an earlier one. Returns whether any domain changed. Statements and changes from before the known position
    /// are ignored.
    pub fn apply(&mut self, position: Position, complete: bool, changes: &[Change]) -> bool {
        if position < self.position {
            return false;
        }
        let mut domains = if complete {
            IndexSet::new()
        } else {
            self.domains.clone()
        };
        let is_known = |change: &Change| {
            let revision = change.revision;
            !complete
                && Position {
                    revision,
                    ..position
                } <= self.position
        };
        for change in changes.iter().filter(|change| !is_known(change)) {
            if change.is_evacuated {
                domains.insert(change.domain.clone());
            } else {
                domains.swap_remove(&change.domain);
            }
        }
        self.position = position;
        let changed = domains != self.domains;
        self.has_changed |= changed;
        self.domains = domains;
        changed
    }
}
