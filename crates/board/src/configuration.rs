//! The active configuration bundle.

use std::sync::Arc;

use indexmap::IndexMap;
use tsw_base::name;
use tsw_config::{adopt, bundle};

/// The active configuration bundle, with an index of its tokens.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    active: adopt::ActiveBundle,
    teams: Arc<IndexMap<String, name::Team>>,
}

impl Configuration {
    /// Returns the active bundle, if there is one.
    #[must_use]
    pub fn bundle(&self) -> Option<&Arc<bundle::Bundle>> {
        self.active.current()
    }

    /// Returns the revision of the active bundle; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.active.revision()
    }

    /// Returns the teams, indexed by the digests of their tokens.
    #[must_use]
    pub const fn teams(&self) -> &Arc<IndexMap<String, name::Team>> {
        &self.teams
    }

    /// Offers a validated bundle, which replaces the active one if it is adopted.
    ///
    /// ```
    /// use tsw_board::configuration::Configuration;
    /// use tsw_config::{adopt, bundle};
    ///
    /// let mut configuration = Configuration::default();
    /// let bundle = bundle::Bundle::parse(br#"{"revision":3,"services":{},"teams":{}}"#)?;
    /// assert_eq!(configuration.offer(bundle), adopt::Outcome::Adopted);
    /// assert_eq!(configuration.revision(), 3);
    /// # Ok::<(), bundle::Error>(())
    /// ```
    pub fn offer(&mut self, bundle: bundle::Bundle) -> adopt::Outcome {
        let verdict = self.active.offer(bundle);
        if let (adopt::Outcome::Adopted, Some(bundle)) = (&verdict, self.active.current()) {
            let teams = bundle.teams.values();
            let tokens = teams.flat_map(|team| {
                let tokens = team.tokens.iter();
                tokens.map(|token| (token.clone(), team.team.clone()))
            });
            self.teams = Arc::new(tokens.collect());
        }
        verdict
    }
}
