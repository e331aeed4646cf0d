//! Derives rules from crashes.

use std::cmp::Reverse;

use indexmap::IndexMap;
use tsw_base::time::Timestamp;

use super::{
    evidence::{count_independent, is_tried_here, Crash},
    Finder, Rule,
};
use crate::{
    detector::{CRASHES_TO_CONFIRM, REFUSAL_PERIOD},
    message::Fingerprint,
};

impl Finder {
    /// Returns the crashes in which each candidate occurs, as bits. The crashes that a rule explains are no
    /// evidence against other candidates if there is more evidence for the rule: a crash without them.
    fn occurrences(&self) -> IndexMap<Fingerprint, u64> {
        let mut occurrences: IndexMap<Fingerprint, u64> = IndexMap::new();
        for (bit, crash) in self.crashes.iter().enumerate() {
            let requests = crash.requests.iter();
            for cause in requests.flat_map(|request| &request.candidates.causes) {
                *occurrences.entry(*cause).or_default() |= 1 << bit;
            }
        }
        for rule in &self.rules {
            let crashes = self.crashes.iter().enumerate();
            let explained = crashes.filter(|(_, crash)| crash.is_explained_by(rule));
            let explained = explained.fold(0, |bits, (bit, _)| bits | 1 << bit);
            for (cause, found) in &mut occurrences {
                if !rule.causes.contains(cause) && explained & !*found != 0 {
                    *found &= !explained;
                }
            }
        }
        occurrences
    }

    /// Returns the rule that explains a crash and most others, if there are enough.
    pub(super) fn derive_rule(&self, now: Timestamp, index: usize) -> Option<Rule> {
        let occurrences = self.occurrences();
        let mut sets: Vec<u64> = occurrences.values().copied().collect();
        sets.sort_unstable();
        sets.dedup();
        sets.retain(|set| set & (1 << index) != 0 && set.count_ones() >= CRASHES_TO_CONFIRM);
        let companions = |set: u64| -> Vec<Fingerprint> {
            let all = occurrences.iter().filter(|(_, found)| *found & set == set);
            all.map(|(cause, _)| *cause).collect()
        };
        let crashes = |set: u64| {
            let crashes = self.crashes.iter().enumerate();
            crashes.filter_map(move |(bit, crash)| (set & (1 << bit) != 0).then_some(crash))
        };
        // Of rules that explain as many crashes, the one with the most candidates refuses the fewest
        // requests.
        let mut rules: Vec<(u64, Vec<Fingerprint>)> =
            sets.into_iter().map(|set| (set, companions(set))).collect();
        rules.sort_by_key(|(set, causes)| Reverse((set.count_ones(), causes.len())));
        let (set, causes) = rules.into_iter().find_map(|(set, causes)| {
            let causes = narrow(&causes, &self.crashes[index]);
            let independent = count_independent(crashes(set), &causes);
            (independent >= CRASHES_TO_CONFIRM as usize).then_some((set, causes))
        })?;
        let mut rule = Rule {
            causes,
            teams: Vec::new(),
            until: now + REFUSAL_PERIOD,
            trials: None,
        };
        for crash in crashes(set) {
            let teams = crash.teams_matching(&rule);
            if let [team] = teams[..] {
                rule.add_team(team);
            }
        }
        let latest = &self.crashes[index];
        if rule.teams.is_empty() {
            rule.teams = latest.teams_matching(&rule);
        }
        let is_tried_here = is_tried_here(crashes(set), &rule);
        rule.decide_trials(now, is_tried_here);
        Some(rule)
    }
}

/// Returns those of `causes`, which occur in each of several crashes, that a request of the latest crash
/// has. They may be those of different requests that were in flight in each of these crashes, so that
/// no request has them all.
fn narrow(causes: &[Fingerprint], latest: &Crash) -> Vec<Fingerprint> {
    let of_requests = latest.requests.iter().map(|request| {
        let causes = causes.iter().copied();
        let causes = causes.filter(|cause| request.candidates.contains(*cause));
        causes.collect::<Vec<Fingerprint>>()
    });
    // If another request is at fault, the next crash shows it: this one is no longer in flight then.
    of_requests.max_by_key(Vec::len).unwrap_or_default()
}
