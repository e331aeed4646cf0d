//! Finds violations of the guarantees in recorded histories.
//!
//! The rules read only what callers, upstreams, routers and the launcher recorded.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;

use crate::{
    history::{Attempt, Event, Outcome},
    records::Records,
};

/// An upstream that is leaving must get no new work this long after the host list says so.
pub const LEAVING_GRACE_US: u64 = 3_000_000;

/// One execution at an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Run {
    /// Identity of the request.
    pub id: String,
    /// Idempotency key, if any.
    pub key: String,
    /// Team that the router named, if any.
    pub team: String,
    /// The upstream.
    pub upstream: String,
    /// Arrival at the upstream, in microseconds since 1970.
    pub arrived_us: u64,
    /// Start, in microseconds since 1970.
    pub start_us: u64,
    /// End, or the end of the history when the run did not end.
    pub end_us: u64,
    /// First token of the run; above 0 for a resumed request.
    pub first: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Whether the run came to its end.
    pub ended: bool,
}

/// Numbers of violations and their descriptions.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Findings {
    /// Operations without a final answer, or with an incomplete answer that was called complete.
    pub lost: u64,
    /// Calls that may run once only and ran more often.
    pub duplicated: u64,
    /// Requests answered "not run" that ran.
    pub false_not_run: u64,
    /// Requests that a planned stop interrupted.
    pub cut_by_planned_stop: u64,
    /// Steps back to an older configuration.
    pub config_reverts: u64,
    /// Requests sent to an upstream that has been leaving for too long.
    pub late_dispatch: u64,
    /// Runs that no router recorded, and audit logs that do not pass verification.
    pub audit_faults: u64,
    /// Operations checked.
    pub operations: u64,
    /// Operations whose final answer was "unknown".
    pub unknown: u64,
    /// One line for each violation.
    pub details: Vec<String>,
}

impl Findings {
    /// Returns whether no rule is broken.
    #[must_use]
    pub fn clean(&self) -> bool {
        self.details.is_empty()
    }

    fn note(&mut self, rule: fn(&mut Self) -> &mut u64, text: String) {
        *rule(self) += 1;
        self.details.push(text);
    }
}

/// Applies all rules. Rules about audit lines need `records` that are not empty.
#[must_use]
pub fn check(events: &[Event], runs: &[Run], records: &Records) -> Findings {
    let mut findings = Findings::default();
    let attempts: Vec<&Attempt> = events
        .iter()
        .filter_map(|event| match event {
            Event::Attempt(attempt) => Some(attempt),
            _ => None,
        })
        .collect();
    lost(events, &attempts, &mut findings);
    duplicated(runs, &attempts, &mut findings);
    not_run(runs, &attempts, &mut findings);
    planned_stop(events, &attempts, &mut findings);
    reverts(events, &mut findings);
    late(events, runs, &mut findings);
    audit(runs, records, &mut findings);
    findings
}

fn lost(events: &[Event], attempts: &[&Attempt], findings: &mut Findings) {
    let mut last: BTreeMap<u64, Option<&Attempt>> = BTreeMap::new();
    for event in events {
        if let Event::Begin { operation, .. } = event {
            last.insert(*operation, None);
        }
    }
    for attempt in attempts {
        last.insert(attempt.operation, Some(attempt));
        let complete = attempt.outcome == Outcome::Complete;
        if complete && !(attempt.intact && attempt.tokens == attempt.asked) {
            findings.note(
                |f| &mut f.lost,
                format!(
                    "lost: {} by {} was called complete with {} of {} tokens, intact: {}",
                    attempt.id, attempt.router, attempt.tokens, attempt.asked, attempt.intact
                ),
            );
        }
    }
    findings.operations = last.len() as u64;
    for (operation, attempt) in last {
        match attempt.map(|a| a.outcome) {
            None => findings.note(
                |f| &mut f.lost,
                format!("lost: operation {operation} has no answer"),
            ),
            Some(Outcome::None) => findings.note(
                |f| &mut f.lost,
                format!("lost: operation {operation} ended without a final answer"),
            ),
            Some(Outcome::Unknown) => findings.unknown += 1,
            Some(_) => {}
        }
    }
}

fn duplicated(runs: &[Run], attempts: &[&Attempt], findings: &mut Findings) {
    let once: HashMap<&str, &str> = attempts
        .iter()
        .filter(|a| !a.repeatable)
        .map(|a| (a.id.as_str(), a.key.as_str()))
        .collect();
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs {
        // An upstream may know the key, the request's identity, or both.
        let key = match once.get(run.id.as_str()) {
            Some(key) if !key.is_empty() => *key,
            _ => run.key.as_str(),
        };
        if !key.is_empty() {
            *counts.entry(key).or_default() += 1;
        }
    }
    for (key, count) in counts.into_iter().filter(|(_, count)| *count > 1) {
        findings.note(
            |f| &mut f.duplicated,
            format!("duplicated: key {key} ran {count} times"),
        );
    }
}

fn not_run(runs: &[Run], attempts: &[&Attempt], findings: &mut Findings) {
    let ids: HashSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
    let keys: HashSet<&str> = runs.iter().map(|r| r.key.as_str()).collect();
    for attempt in attempts.iter().filter(|a| a.outcome == Outcome::NotRun) {
        // Callers never reuse a key after "not run", so any run of the key is a violation.
        let by_key = !attempt.key.is_empty() && keys.contains(attempt.key.as_str());
        if by_key || ids.contains(attempt.id.as_str()) {
            findings.note(
                |f| &mut f.false_not_run,
                format!(
                    "false not-run: {} by {} ran (key {:?}, reason {:?})",
                    attempt.id, attempt.router, attempt.key, attempt.reason
                ),
            );
        }
    }
}

fn planned_stop(events: &[Event], attempts: &[&Attempt], findings: &mut Findings) {
    for (index, event) in events.iter().enumerate() {
        let Event::Stop { router, time_us } = event else {
            continue;
        };
        let gone = events[index..].iter().find_map(|event| match event {
            Event::Gone {
                router: r,
                time_us: t,
            } if r == router => Some(*t),
            _ => None,
        });
        let gone = gone.unwrap_or(u64::MAX);
        let broken = attempts.iter().filter(|a| {
            let inside = a.sent_us < gone && a.ended_us >= *time_us;
            let cut = matches!(a.outcome, Outcome::Cut | Outcome::None);
            a.router == *router && inside && cut
        });
        for attempt in broken {
            findings.note(
                |f| &mut f.cut_by_planned_stop,
                format!(
                    "cut by planned stop: {} at {router} ended {:?} after {} tokens, sent {} us \
                     after the stop began",
                    attempt.id,
                    attempt.outcome,
                    attempt.tokens,
                    attempt.sent_us as i128 - i128::from(*time_us)
                ),
            );
        }
    }
}

fn reverts(events: &[Event], findings: &mut Findings) {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for event in events {
        let Event::Revision {
            router, revision, ..
        } = event
        else {
            continue;
        };
        let before = highest.entry(router).or_default();
        if revision < before {
            findings.note(
                |f| &mut f.config_reverts,
                format!("config revert: {router} went from revision {before} to {revision}"),
            );
        }
        *before = (*before).max(*revision);
    }
}

fn late(events: &[Event], runs: &[Run], findings: &mut Findings) {
    let mut periods: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for event in events {
        let Event::Leaving {
            upstream,
            leaving,
            time_us,
        } = event
        else {
            continue;
        };
        let list = periods.entry(upstream).or_default();
        match (leaving, list.last_mut()) {
            (true, _) => list.push((*time_us, u64::MAX)),
            (false, Some(last)) => last.1 = *time_us,
            (false, None) => {}
        }
    }
    for run in runs {
        let list = periods.get(run.upstream.as_str());
        let inside = |(from, to): &&(u64, u64)| {
            run.start_us > from.saturating_add(LEAVING_GRACE_US) && run.start_us < *to
        };
        if let Some((from, _)) = list.and_then(|list| list.iter().find(inside)) {
            findings.note(
                |f| &mut f.late_dispatch,
                format!(
                    "late dispatch: {} to {} {} ms after the host list said leaving",
                    run.id,
                    run.upstream,
                    (run.start_us - from) / 1_000
                ),
            );
        }
    }
}

fn audit(runs: &[Run], records: &Records, findings: &mut Findings) {
    for fault in &records.faults {
        findings.note(|f| &mut f.audit_faults, format!("audit: {fault}"));
    }
    if records.records.is_empty() {
        return;
    }
    let with = |event: &str| -> HashSet<&str> {
        let lines = records.records.iter().filter(|r| r.event == event);
        lines.map(|r| r.request.as_str()).collect()
    };
    let (dispatched, refused) = (with("dispatched"), with("refused"));
    for run in runs.iter().filter(|run| !run.id.is_empty()) {
        let id = run.id.as_str();
        if !dispatched.contains(id) {
            findings.note(
                |f| &mut f.audit_faults,
                format!(
                    "audit: no router recorded the run of {id} at {}",
                    run.upstream
                ),
            );
        }
        if refused.contains(id) {
            findings.note(
                |f| &mut f.false_not_run,
                format!("false not-run: the audit log says that {id} was refused, and it ran"),
            );
        }
    }
}
