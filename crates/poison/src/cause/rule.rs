//! Rules: which requests are refused.

use std::collections::VecDeque;

use tsw_base::time::{Span, Timestamp};

use crate::{candidates::Candidates, message::Fingerprint};

/// Number of teams whose requests match a rule from which on it applies to all teams.
const TEAMS_TO_APPLY_TO_ALL: usize = 2;

/// Times after the confirmation of a rule from which on one request that matches it may run, to find out
/// whether the rule is wrong. Upstreams that crash then still count for operators as unavoidable after the
/// first one.
const TRIAL_DELAYS: [Span; 2] = [Span::from_secs(1), Span::from_secs(30)];

/// Candidates of which one is the cause of crashes. Requests that have all of them are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Rule {
    pub(super) causes: Vec<Fingerprint>,
    /// Teams whose requests crashed upstreams.
    pub(super) teams: Vec<Fingerprint>,
    pub(super) until: Timestamp,
    /// From when on one request each that matches may run at this router, to find out whether the rule is
    /// wrong. `None` until it is decided which router has the trials.
    pub(super) trials: Option<VecDeque<Timestamp>>,
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

    /// Decides whether this router has the trials, once for each rule.
    pub(super) fn decide_trials(&mut self, now: Timestamp, is_tried_here: bool) {
        let trials = || {
            let delays = TRIAL_DELAYS.iter().filter(|_| is_tried_here);
            delays.map(|delay| now + *delay).collect()
        };
        self.trials.get_or_insert_with(trials);
    }

    pub(super) fn has_trial(&self, now: Timestamp) -> bool {
        let first = self.trials.as_ref().and_then(VecDeque::front);
        first.is_some_and(|at| *at <= now)
    }
}
