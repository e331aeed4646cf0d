//! Findings about causes.
//!
//! Messages are encoded by position, so routers of older versions can read no new kind of message. They
//! ignore that a request is cleared which they do not suspect. A report is therefore a list of such
//! findings: first a tagged fingerprint that tells the kind of the report, then the teams and
//! candidates.

use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use super::Rule;
use crate::{
    candidates::{Candidates, Tag, MAX_PARTS},
    message::{Finding, Findings, Fingerprint, Verdict},
};

/// Maximum number of candidates in a report: the parts of a prompt and the request itself.
const MAX_CAUSES: usize = MAX_PARTS + 1;

/// What a peer found out about causes.
pub(super) enum Report {
    /// An upstream crashed before its response to a request was whole.
    Crash {
        upstream: Fingerprint,
        request: Candidates,
        ran_for: Span,
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
    pub(super) fn parse(findings: &Findings) -> Option<Self> {
        let all = || findings.findings.iter().map(|finding| finding.fingerprint);
        let with_tag = |tag| all().filter(move |found| found.has_tag(tag));
        let mut causes: Vec<Fingerprint> = with_tag(Tag::Cause).collect();
        causes.sort_unstable();
        causes.truncate(MAX_CAUSES);
        let teams: Vec<Fingerprint> = with_tag(Tag::Team).collect();
        let first = all().next()?;
        if causes.is_empty() {
            None
        } else if first.has_tag(Tag::Answered) {
            Some(Self::Answered(causes))
        } else if first.has_tag(Tag::Upstream) {
            Some(Self::Crash {
                upstream: first,
                request: Candidates::from_causes(*teams.first()?, causes),
                // Routers of older versions do not state it.
                ran_for: with_tag(Tag::RanFor).next().map_or(Span::ZERO, tagged_span),
            })
        } else if first.has_tag(Tag::Remaining) && !teams.is_empty() {
            Some(Self::Rule {
                causes,
                teams,
                remaining: tagged_span(first),
            })
        } else {
            None
        }
    }
}

/// Returns the fingerprint by which crashes of the same upstream are recognized.
pub(crate) fn upstream(name: &name::Upstream) -> Fingerprint {
    Fingerprint::of_parts(&[name.as_str().as_bytes()], b"").with_tag(Tag::Upstream)
}

fn findings<'a>(
    kind: Fingerprint,
    teams: &'a [Fingerprint],
    causes: &'a [Fingerprint],
) -> Findings {
    let fingerprints = std::iter::once(&kind).chain(teams).chain(causes);
    let findings = fingerprints.map(|fingerprint| Finding {
        fingerprint: *fingerprint,
        verdict: Verdict::Cleared,
    });
    Findings {
        findings: findings.collect(),
    }
}

fn tagged_span(fingerprint: Fingerprint) -> Span {
    Span::from_micros(u64::try_from(fingerprint.untagged()).unwrap_or(u64::MAX))
}

fn span(tag: Tag, span: Span) -> Fingerprint {
    Fingerprint(u128::from(span.as_micros())).with_tag(tag)
}

pub(super) fn crash(upstream: Fingerprint, request: &Candidates, ran_for: Span) -> Findings {
    let mut report = findings(upstream, &[request.team], &request.causes);
    if ran_for > Span::ZERO {
        report.findings.push(Finding {
            fingerprint: span(Tag::RanFor, ran_for),
            verdict: Verdict::Cleared,
        });
    }
    report
}

pub(super) fn rule(rule: &Rule, now: Timestamp) -> Findings {
    let kind = span(Tag::Remaining, rule.until.since(now));
    findings(kind, &rule.teams, &rule.causes)
}

pub(super) fn answered(causes: &[Fingerprint]) -> Findings {
    findings(Fingerprint(0).with_tag(Tag::Answered), &[], causes)
}
