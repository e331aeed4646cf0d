//! Findings about causes.
//!
//! They use the [`Verdict`]s of whole requests, because messages are encoded by position: a router of
//! an older version reads them as findings about requests that it never sees. All fingerprints are
//! tagged, and the first one tells the kind of the report.

use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use super::Rule;
use crate::{
    candidates::{Candidates, MAX_PARTS},
    message::{Finding, Findings, Fingerprint, Verdict},
};

/// Maximum number of candidates in a report: the parts of a prompt and the request itself.
const MAX_CAUSES: usize = MAX_PARTS + 1;

/// What a peer found out about causes.
pub(super) enum Report {
    /// An upstream crashed before it began its response to a request.
    Crash {
        upstream: name::Upstream,
        request: Candidates,
    },
    /// Requests of these teams with all of these candidates crash upstreams.
    Rule {
        causes: Vec<Fingerprint>,
        teams: Vec<Fingerprint>,
        remaining: Span,
    },
    /// These candidates are no cause.
    Answered(Vec<Fingerprint>),
}

impl Report {
    /// Returns what findings report, or `None` if they are not about causes.
    pub(super) fn parse(findings: Findings) -> Option<Self> {
        let all = || findings.findings.iter().map(|finding| finding.fingerprint);
        let mut causes: Vec<Fingerprint> = all().filter(|found| found.is_cause()).collect();
        causes.sort_unstable();
        causes.truncate(MAX_CAUSES);
        let teams: Vec<Fingerprint> = all().filter(|found| found.is_team()).collect();
        let first = findings.findings.first()?;
        if causes.is_empty() {
            return None;
        }
        match &first.verdict {
            Verdict::Cleared if first.fingerprint == Fingerprint::ANSWERED => {
                Some(Self::Answered(causes))
            }
            Verdict::Suspected { upstream } if first.fingerprint.is_team() => Some(Self::Crash {
                upstream: upstream.clone(),
                request: Candidates::from_causes(first.fingerprint, causes),
            }),
            Verdict::Confirmed { remaining } if first.fingerprint.is_team() => Some(Self::Rule {
                causes,
                teams,
                remaining: *remaining,
            }),
            _ => None,
        }
    }
}

fn findings<'a>(
    fingerprints: impl Iterator<Item = &'a Fingerprint>,
    verdict: &Verdict,
) -> Findings {
    let findings = fingerprints.map(|fingerprint| Finding {
        fingerprint: *fingerprint,
        verdict: verdict.clone(),
    });
    Findings {
        findings: findings.collect(),
    }
}

pub(super) fn crash(upstream: &name::Upstream, request: &Candidates) -> Findings {
    let verdict = Verdict::Suspected {
        upstream: upstream.clone(),
    };
    let fingerprints = std::iter::once(&request.team).chain(&request.causes);
    findings(fingerprints, &verdict)
}

pub(super) fn rule(rule: &Rule, now: Timestamp) -> Findings {
    let verdict = Verdict::Confirmed {
        remaining: rule.until.since(now),
    };
    findings(rule.teams.iter().chain(&rule.causes), &verdict)
}

pub(super) fn answered(causes: &[Fingerprint]) -> Findings {
    let fingerprints = std::iter::once(&Fingerprint::ANSWERED).chain(causes);
    findings(fingerprints, &Verdict::Cleared)
}
