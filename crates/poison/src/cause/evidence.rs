//! Crashes of upstreams, and how many of them are independent evidence against a cause.

use tsw_base::time::{Span, Timestamp};

use super::{Rule, SETTLE_TIME};
use crate::{candidates::Candidates, detector::COMMON_CRASH_SPREAD, message::Fingerprint};

/// A request that had no whole response when its upstream crashed.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) candidates: Candidates,
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

    /// Returns the latest request with one of the causes, which most likely is at fault if any is.
    fn latest_with(&self, causes: &[Fingerprint]) -> Option<&InFlight> {
        let requests = self.requests.iter().filter(|request| {
            let mut causes = causes.iter();
            causes.any(|cause| request.candidates.contains(*cause))
        });
        requests.max_by_key(|request| request.sent)
    }
}

/// Returns whether this router tries one of the requests that match a rule: it sent the one with the smallest
/// candidates in the latest of some crashes, and in those at the same time. All routers that know the same
/// crashes find the same one. Times would not do, since reports arrive late.
pub(super) fn is_tried_here<'a>(
    crashes: impl DoubleEndedIterator<Item = &'a Crash>,
    rule: &'a Rule,
) -> bool {
    let explained = crashes.filter(|crash| crash.is_explained_by(rule));
    let mut crashes = explained.rev().peekable();
    let latest = crashes.peek().map(|crash| crash.at).unwrap_or_default();
    let common = crashes.take_while(|crash| crash.at + COMMON_CRASH_SPREAD >= latest);
    let requests = common.flat_map(|crash| crash.matching(rule));
    let first = requests.min_by(|a, b| a.candidates.causes.cmp(&b.candidates.causes));
    first.is_some_and(|request| request.sent_here)
}

/// Returns how many of some crashes, in the order of their times, are independent evidence against causes.
///
/// A crash is independent of an earlier one if the request was sent after that one, or if it is too late to
/// have the same cause apart from requests.
pub(super) fn count_independent<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    causes: &[Fingerprint],
) -> usize {
    let mut count = 0;
    let mut last: Option<(Timestamp, bool)> = None;
    for crash in crashes {
        let Some(request) = crash.latest_with(causes) else {
            continue;
        };
        let is_independent = last.is_none_or(|(at, seen_here)| {
            // Reports of other routers arrive late.
            let delay = if seen_here && request.sent_here {
                Span::ZERO
            } else {
                SETTLE_TIME
            };
            request.sent >= at + delay || crash.at >= at + COMMON_CRASH_SPREAD
        });
        if is_independent {
            count += 1;
            last = Some((crash.at, request.sent_here));
        }
    }
    count
}
