//! The rule that decides which bundle is in use.

use std::sync::Arc;

use crate::bundle;

/// The result of offering a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The bundle is now in use.
    Adopted,
    /// The bundle is already in use.
    Unchanged,
    /// The revision is lower than the one in use.
    Older {
        /// The revision in use.
        current: u64,
    },
    /// The bundle has the revision in use but different content. The bundle in use stays.
    Conflict {
        /// Digest of the bundle in use.
        current: String,
        /// Digest of the bundle that was not adopted.
        offered: String,
    },
}

/// Holds the bundle in use.
#[derive(Clone, Debug, Default)]
pub struct Store {
    current: Option<StoredBundle>,
}

#[derive(Clone, Debug)]
struct StoredBundle {
    bundle: Arc<bundle::Bundle>,
    digest: String,
}

impl Store {
    /// Returns the bundle in use, or `None` before the first adoption.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<bundle::Bundle>> {
        self.current.as_ref().map(|stored| &stored.bundle)
    }

    /// Returns the revision in use, or 0 before the first adoption.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current().map_or(0, |bundle| bundle.revision)
    }

    /// Offers a bundle that passed its checks. It replaces the one in use only if its revision is
    /// higher.
    ///
    /// ```
    /// use tsw_config::{adopt, bundle};
    ///
    /// let with_revision = |revision| bundle::Bundle {
    ///     revision,
    ///     services: Default::default(),
    ///     teams: Default::default(),
    /// };
    /// let mut store = adopt::Store::default();
    /// assert_eq!(store.offer(with_revision(2)), adopt::Outcome::Adopted);
    /// assert_eq!(store.offer(with_revision(1)), adopt::Outcome::Older { current: 2 });
    /// assert_eq!(store.revision(), 2);
    /// ```
    pub fn offer(&mut self, bundle: bundle::Bundle) -> Outcome {
        let digest = bundle.digest();
        if let Some(current) = &self.current {
            let revision = current.bundle.revision;
            if bundle.revision < revision {
                return Outcome::Older { current: revision };
            }
            if bundle.revision == revision && digest == current.digest {
                return Outcome::Unchanged;
            }
            if bundle.revision == revision {
                return Outcome::Conflict {
                    current: current.digest.clone(),
                    offered: digest,
                };
            }
        }
        self.current = Some(StoredBundle {
            bundle: Arc::new(bundle),
            digest,
        });
        Outcome::Adopted
    }
}
