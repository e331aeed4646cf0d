//! The rule that decides which bundle is active.

use std::sync::Arc;

use crate::bundle;

/// The result of offering a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The bundle is now active.
    Adopted,
    /// The bundle is already active.
    Unchanged,
    /// The revision is lower than the active one.
    Older {
        /// The active revision.
        current: u64,
    },
    /// The bundle has the active revision but different content. The active bundle stays.
    Conflict {
        /// Digest of the active bundle.
        current: String,
        /// Digest of the bundle that was not adopted.
        offered: String,
    },
}

/// Holds the active bundle, or none before the first adoption.
#[derive(Clone, Debug, Default)]
pub struct ActiveBundle {
    current: Option<DigestedBundle>,
}

#[derive(Clone, Debug)]
struct DigestedBundle {
    bundle: Arc<bundle::Bundle>,
    digest: String,
}

impl ActiveBundle {
    /// Returns the active bundle, or `None` before the first adoption.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<bundle::Bundle>> {
        self.current.as_ref().map(|current| &current.bundle)
    }

    /// Returns the active revision, or 0 before the first adoption.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current().map_or(0, |bundle| bundle.revision)
    }

    /// Offers a bundle that passed its checks. It replaces the active one only if its revision is
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
    /// let mut active = adopt::ActiveBundle::default();
    /// assert_eq!(active.offer(with_revision(2)), adopt::Outcome::Adopted);
    /// assert_eq!(active.offer(with_revision(1)), adopt::Outcome::Older { current: 2 });
    /// assert_eq!(active.revision(), 2);
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
        self.current = Some(DigestedBundle {
            bundle: Arc::new(bundle),
            digest,
        });
        Outcome::Adopted
    }
}
