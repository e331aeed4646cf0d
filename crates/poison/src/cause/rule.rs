//! Rules: which requests are refused.

use std::collections::VecDeque;

use tsw_base::time::Timestamp;

use crate::{candidates::Candidates, message::Fingerprint};

/// Number of teams whose requests match a rule from which on it applies to all teams.
const TEAMS_TO_APPLY_TO_ALL: usize = 2;

/// Candidates of which one is the cause of crashes. Requests that have all of them are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Rule {
    pub(super) causes: Vec<Fingerprint>,
    /// Teams whose requests crashed upstreams.
    pub(super) teams: Vec<Fingerprint>,
    pub(super) until: Timestamp,
    /// From when on one request each that matches may run at this router, to find out whether the rule is
    /// wrong.
    pub(super) trials: VecDeque<Timestamp>,
}

impl Rule {
    pub(super) fn matches(&self, request: &Candidates) -> bool {
        request.contains_all(&self.causes)
    }

    /// Returns whether the rule applies to a team. One team must not be able to cause the refusal of
    /// another team's requests.
    pub(super) fn applies_to(&self, team: Fingerprint) -> bool {
        self.teams.len() >= TEAMS_TO_APPLY_TO_ALL || self.teams.contains(&team)
    }

    pub(super) fn add_team(&mut self, team: Fingerprint) -> bool {
        let is_new = !self.applies_to(team);
        if is_new {
            self.teams.push(team);
        }
        is_new
    }

    pub(super) fn has_trial(&self, now: Timestamp) -> bool {
        self.trials.front().is_some_and(|at| *at <= now)
    }
}
