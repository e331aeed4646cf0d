//! The rule that decides which bundle is in force.

use std::sync::Arc;

use crate::bundle;

/// What became of a bundle that was offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is in force now.
    Adopted,
    /// It is the bundle in force already.
    Same,
    /// Its revision is lower than that in force.
    Older {
        /// The revision in force.
        current: u64,
    },
    /// It has the revision in force but other content. The accepted bundle stays.
    Conflict {
        /// Digest of the bundle in force.
        current: String,
        /// Digest of the refused bundle.
        offered: String,
    },
}

/// The bundle in force.
#[derive(Clone, Debug, Default)]
pub struct Store {
    current: Option<Accepted>,
}

#[derive(Clone, Debug)]
struct Accepted {
    bundle: Arc<bundle::Bundle>,
    digest: String,
}

impl Store {
    /// Returns the bundle in force, if any was adopted.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<bundle::Bundle>> {
        self.current.as_ref().map(|accepted| &accepted.bundle)
    }

    /// Returns the revision in force, or 0 before the first adoption.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current().map_or(0, |bundle| bundle.revision)
    }

    /// Offers a bundle that passed its checks. Only a higher revision replaces the one in force.
    ///
    /// ```
    /// use tsw_config::{adopt, bundle};
    ///
    /// let numbered = |revision| bundle::Bundle {
    ///     revision,
    ///     services: Default::default(),
    ///     teams: Default::default(),
    /// };
    /// let mut store = adopt::Store::default();
    /// assert_eq!(store.offer(numbered(2)), adopt::Verdict::Adopted);
    /// assert_eq!(store.offer(numbered(1)), adopt::Verdict::Older { current: 2 });
    /// assert_eq!(store.revision(), 2);
    /// ```
    pub fn offer(&mut self, bundle: bundle::Bundle) -> Verdict {
        let digest = bundle.digest();
        if let Some(current) = &self.current {
            let revision = current.bundle.revision;
            if bundle.revision < revision {
                return Verdict::Older { current: revision };
            }
            if bundle.revision == revision && digest == current.digest {
                return Verdict::Same;
            }
            if bundle.revision == revision {
                return Verdict::Conflict {
                    current: current.digest.clone(),
                    offered: digest,
                };
            }
        }
        self.current = Some(Accepted {
            bundle: Arc::new(bundle),
            digest,
        });
        Verdict::Adopted
    }
}
