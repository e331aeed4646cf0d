//! Crashes of upstreams.

use tsw_base::time::Timestamp;

use super::Rule;
use crate::{candidates::Candidates, message::Fingerprint};

/// A request that had no whole response when its upstream crashed.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) candidates: Candidates,
    #[expect(dead_code, reason = "for the weighing of common crashes")]
    pub(super) sent: Timestamp,
    /// Whether this router sent it.
    pub(super) sent_here: bool,
}

/// A crash of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) upstream: Fingerprint,
    pub(super) at: Timestamp,
    /// Whether rules were derived from it.
    pub(super) settled: bool,
    pub(super) requests: Vec<InFlight>,
}

impl Crash {
    /// Returns whether this router sent one of the requests.
    pub(super) fn is_observed_here(&self) -> bool {
        self.requests.iter().any(|request| request.sent_here)
    }

    fn matching<'a>(&'a self, rule: &'a Rule) -> impl Iterator<Item = &'a InFlight> {
        let requests = self.requests.iter();
        requests.filter(|request| rule.matches(&request.candidates))
    }

    pub(super) fn is_explained_by(&self, rule: &Rule) -> bool {
        self.matching(rule).next().is_some()
    }

    /// Returns the teams of the requests that match a rule.
    pub(super) fn teams_matching(&self, rule: &Rule) -> Vec<Fingerprint> {
        let teams = self.matching(rule).map(|request| request.candidates.team);
        let mut teams: Vec<Fingerprint> = teams.collect();
        teams.sort_unstable();
        teams.dedup();
        teams
    }
}
