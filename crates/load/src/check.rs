//! Checks recorded histories for violations of the guarantees.
//!
//! The rules read only what callers, upstreams, routers and the launcher recorded.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;

use crate::{
    audit_log::AuditLog,
    history::{Attempt, Event, Outcome},
};

/// Time for which an upstream may still get new requests after the host list shows it as leaving.
pub const LEAVING_GRACE_US: u64 = 3_000_000;

/// One execution of a request at an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Idempotency key, if any.
    pub key: String,
    /// Team that the router sent with the request, if any.
    pub team: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Arrival at the upstream, in microseconds since 1970.
    pub arrived_us: u64,
    /// Start, in microseconds since 1970.
    pub start_us: u64,
    /// End, in microseconds since 1970; the end of the history when the run did not end.
    pub end_us: u64,
    /// Index of the first token of the run; above 0 for a resumed request.
    pub first_token: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Whether the run completed, rather than being cancelled or lost in a crash.
    pub ended: bool,
}

/// Number of violations of each rule, with a description of each violation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Findings {
    /// Operations without a final outcome, and truncated or wrong responses reported as complete.
    pub lost: u64,
    /// Idempotency keys of non-repeatable requests that ran more than once.
    pub duplicated: u64,
    /// Requests reported as "not run" that ran.
    pub false_not_run: u64,
    /// Requests that a graceful stop of a router interrupted.
    pub cut_by_planned_stop: u64,
    /// Changes of a router back to an older configuration revision.
    pub config_reverts: u64,
    /// Requests that started at an upstream more than [`LEAVING_GRACE_US`] after it was leaving.
    pub late_dispatch: u64,
    /// Runs without a dispatch in the audit log, and audit logs that fail verification.
    pub audit_faults: u64,
    /// Operations checked.
    pub operations: u64,
    /// Operations whose final outcome was "unknown".
    pub unknown: u64,
    /// Descriptions of the violations, one line each.
    pub details: Vec<String>,
}

impl Findings {
    /// Returns whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.details.is_empty()
    }

    fn add(&mut self, counter: fn(&mut Self) -> &mut u64, detail: String) {
        *counter(self) += 1;
        self.details.push(detail);
    }
}

/// Applies all rules. When `audit` has no records, the runs are not compared with it.
#[must_use]
pub fn check(events: &[Event], runs: &[Run], audit: &AuditLog) -> Findings {
    let mut findings = Findings::default();
    let attempts: Vec<&Attempt> = events
        .iter()
        .filter_map(|event| match event {
            Event::Attempt(attempt) => Some(attempt),
            _ => None,
        })
        .collect();
    check_lost(events, &attempts, &mut findings);
    check_duplicates(runs, &attempts, &mut findings);
    check_not_run(runs, &attempts, &mut findings);
    check_planned_stops(events, &attempts, &mut findings);
    check_config_reverts(events, &mut findings);
    check_late_dispatch(events, runs, &mut findings);
    check_audit_log(runs, audit, &mut findings);
    findings
}

fn check_lost(events: &[Event], attempts: &[&Attempt], findings: &mut Findings) {
    let mut last_attempts: BTreeMap<u64, Option<&Attempt>> = BTreeMap::new();
    for event in events {
        if let Event::Begin { operation, .. } = event {
            last_attempts.insert(*operation, None);
        }
    }
    for attempt in attempts {
        last_attempts.insert(attempt.operation, Some(attempt));
        let complete = attempt.outcome == Outcome::Complete;
        if complete && !(attempt.intact && attempt.tokens == attempt.asked) {
            findings.add(
                |f| &mut f.lost,
                format!(
                    "lost: {} by {} was reported complete with {} of {} tokens, intact: {}",
                    attempt.id, attempt.router, attempt.tokens, attempt.asked, attempt.intact
                ),
            );
        }
    }
    findings.operations = last_attempts.len() as u64;
    for (operation, attempt) in last_attempts {
        match attempt.map(|a| a.outcome) {
            None => findings.add(
                |f| &mut f.lost,
                format!("lost: operation {operation} has no attempt"),
            ),
            Some(Outcome::None) => findings.add(
                |f| &mut f.lost,
                format!("lost: operation {operation} ended without a final outcome"),
            ),
            Some(Outcome::Unknown) => findings.unknown += 1,
            Some(_) => {}
        }
    }
}

fn check_duplicates(runs: &[Run], attempts: &[&Attempt], findings: &mut Findings) {
    let keys_by_id: HashMap<&str, &str> = attempts
        .iter()
        .filter(|a| !a.repeatable)
        .map(|a| (a.id.as_str(), a.key.as_str()))
        .collect();
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs {
        // An upstream may record the key, the request id, or both.
        let key = match keys_by_id.get(run.id.as_str()) {
            Some(key) if !key.is_empty() => *key,
            _ => run.key.as_str(),
        };
        if !key.is_empty() {
            *counts.entry(key).or_default() += 1;
        }
    }
    for (key, count) in counts.into_iter().filter(|(_, count)| *count > 1) {
        findings.add(
            |f| &mut f.duplicated,
            format!("duplicated: key {key} ran {count} times"),
        );
    }
}

fn check_not_run(runs: &[Run], attempts: &[&Attempt], findings: &mut Findings) {
    let ids: HashSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
    let keys: HashSet<&str> = runs.iter().map(|r| r.key.as_str()).collect();
    for attempt in attempts.iter().filter(|a| a.outcome == Outcome::NotRun) {
        // Callers never reuse a key after "not run", so any run with the key is a violation.
        let key_ran = !attempt.key.is_empty() && keys.contains(attempt.key.as_str());
        if key_ran || ids.contains(attempt.id.as_str()) {
            findings.add(
                |f| &mut f.false_not_run,
                format!(
                    "false not-run: {} by {} ran (key {:?}, reason {:?})",
                    attempt.id, attempt.router, attempt.key, attempt.reason
                ),
            );
        }
    }
}

fn check_planned_stops(events: &[Event], attempts: &[&Attempt], findings: &mut Findings) {
    for (index, event) in events.iter().enumerate() {
        let Event::Stop { router, time_us } = event else {
            continue;
        };
        let exited_us = events[index..].iter().find_map(|event| match event {
            Event::Gone {
                router: r,
                time_us: t,
            } if r == router => Some(*t),
            _ => None,
        });
        let exited_us = exited_us.unwrap_or(u64::MAX);
        let interrupted = attempts.iter().filter(|a| {
            let overlaps = a.sent_us < exited_us && a.ended_us >= *time_us;
            let cut = matches!(a.outcome, Outcome::Cut | Outcome::None);
            a.router == *router && overlaps && cut
        });
        for attempt in interrupted {
            findings.add(
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

fn check_config_reverts(events: &[Event], findings: &mut Findings) {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for event in events {
        let Event::Revision {
            router, revision, ..
        } = event
        else {
            continue;
        };
        let newest = highest.entry(router).or_default();
        if revision < newest {
            findings.add(
                |f| &mut f.config_reverts,
                format!("config revert: {router} went from revision {newest} to {revision}"),
            );
        }
        *newest = (*newest).max(*revision);
    }
}

fn check_late_dispatch(events: &[Event], runs: &[Run], findings: &mut Findings) {
    let mut leaving_periods: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for event in events {
        let Event::Leaving {
            upstream,
            leaving,
            time_us,
        } = event
        else {
            continue;
        };
        let periods = leaving_periods.entry(upstream).or_default();
        match (leaving, periods.last_mut()) {
            (true, _) => periods.push((*time_us, u64::MAX)),
            (false, Some(last)) => last.1 = *time_us,
            (false, None) => {}
        }
    }
    for run in runs {
        let periods = leaving_periods.get(run.upstream.as_str());
        let too_late = |(from, to): &&(u64, u64)| {
            run.start_us > from.saturating_add(LEAVING_GRACE_US) && run.start_us < *to
        };
        if let Some((from, _)) = periods.and_then(|periods| periods.iter().find(too_late)) {
            findings.add(
                |f| &mut f.late_dispatch,
                format!(
                    "late dispatch: {} to {} {} ms after the host list showed it as leaving",
                    run.id,
                    run.upstream,
                    (run.start_us - from) / 1_000
                ),
            );
        }
    }
}

fn check_audit_log(runs: &[Run], audit: &AuditLog, findings: &mut Findings) {
    for fault in &audit.faults {
        findings.add(|f| &mut f.audit_faults, format!("audit: {fault}"));
    }
    if audit.records.is_empty() {
        return;
    }
    let requests_with = |event: &str| -> HashSet<&str> {
        let lines = audit.records.iter().filter(|r| r.event == event);
        lines.map(|r| r.request.as_str()).collect()
    };
    let (dispatched, refused) = (requests_with("dispatched"), requests_with("refused"));
    for run in runs.iter().filter(|run| !run.id.is_empty()) {
        let id = run.id.as_str();
        if !dispatched.contains(id) {
            findings.add(
                |f| &mut f.audit_faults,
                format!(
                    "audit: no router recorded a dispatch for the run of {id} at {}",
                    run.upstream
                ),
            );
        }
        if refused.contains(id) {
            findings.add(
                |f| &mut f.false_not_run,
                format!("false not-run: the audit log records {id} as refused, but it ran"),
            );
        }
    }
}
