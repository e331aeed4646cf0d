//! Finds what the requests that crash upstreams have in common.

use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use crate::{
    candidates::Candidates,
    detector::{CRASH_WINDOW, REFUSAL_PERIOD},
    message::{Findings, Fingerprint},
};

mod derive;
mod evidence;
mod report;
mod rule;

use evidence::{is_tried_here, Crash, InFlight};
pub(crate) use report::upstream;
use report::Report;
use rule::Rule;

/// Time after which a crash is forgotten, and a rule after its last match.
pub const MEMORY_PERIOD: Span = Span::from_secs(3_600);
/// Time after the first report of a crash at which rules are derived from it. The reports of other
/// routers arrive by then, so that all routers derive the same rules.
pub const SETTLE_TIME: Span = Span::from_millis(100);
/// Maximum number of crashes that are remembered; sets of them are kept as the bits of a `u64`.
pub const MAX_CRASHES: usize = u64::BITS as usize;
/// Maximum number of requests that are remembered of one crash.
pub const MAX_REQUESTS: usize = 32;
/// Maximum number of rules.
pub const MAX_RULES: usize = 256;
/// Input of the finder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An upstream crashed before its response to a request was whole.
    Crashed {
        /// The upstream.
        upstream: name::Upstream,
        /// The candidates of the request.
        request: Candidates,
        /// Time for which the upstream had the request.
        ran_for: Span,
    },
    /// An upstream responded to a request in full, so none of its candidates is a cause.
    Answered {
        /// The candidates of the request.
        request: Candidates,
    },
    /// A peer sent findings about causes.
    Message(Findings),
    /// Time passed. Derives rules from crashes that are older than [`SETTLE_TIME`], and removes what
    /// has expired.
    Tick,
}

/// Output of the finder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send findings to all routers.
    Broadcast(Findings),
    /// Requests with all of these candidates are refused from now on. To be logged.
    Refused(Vec<Fingerprint>),
    /// Requests with these candidates are no longer refused because of them. To be logged.
    Allowed(Vec<Fingerprint>),
}

/// Finds what the requests that crash upstreams have in common, and refuses requests that have it.
///
/// Each crash is recorded with the candidates of the requests that had no whole response yet. A candidate
/// of a request to which an upstream responds in full is not the cause and is removed. A candidate that is
/// left in [`CRASHES_TO_CONFIRM`](crate::detector::CRASHES_TO_CONFIRM) independent crashes leads to a rule: requests are refused that have it and
/// all candidates that occurred with it in each of these crashes. A request that lacks one of them is
/// sound, or narrows the rule.
///
/// Upstreams that crash at the same time may have a common cause apart from requests, such as a loss of
/// power in a failure domain. Their crashes count as one. A rule that is wrong all the same ends when a
/// request that matches it is responded to in full: one that was already running, or one of the few that
/// [`Finder::start_trial`] lets run.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// use tsw_poison::{cause::{self, Event, Finder}, Candidates, Fingerprint};
///
/// let now = Timestamp::from_micros(1);
/// let request = |number, parts: &[u64]| {
///     let parts = parts.iter().map(|id| Fingerprint::of_part(b"reviews", *id));
///     Candidates::new(b"north", Fingerprint(number), parts.collect())
/// };
/// let mut finder = Finder::default();
/// for number in 0..3 {
///     let upstream = format!("engine-{number}").parse()?;
///     let ran_for = Span::ZERO;
///     finder.handle(now, Event::Crashed { upstream, request: request(number, &[1, 2, 3]), ran_for });
/// }
/// let now = now + cause::SETTLE_TIME;
/// finder.handle(now, Event::Tick);
/// assert!(finder.refusal(now, &request(4, &[1, 2, 3])).is_some());
/// // Two of the three parts are known to be sound once a request without the third is answered.
/// assert_eq!(finder.refusal(now, &request(5, &[1, 3])), None);
/// finder.handle(now, Event::Answered { request: request(5, &[1, 3]) });
/// assert!(finder.refusal(now, &request(6, &[2, 4])).is_some());
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Finder {
    crashes: Vec<Crash>,
    rules: Vec<Rule>,
}

impl Finder {
    /// Returns whether there is neither a crash nor a rule, so that no request needs to be checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.rules.is_empty()
    }

    /// Returns whether there are crashes from which rules are still to be derived, so that
    /// [`Event::Tick`] is needed soon.
    #[must_use]
    pub fn is_settling(&self) -> bool {
        self.crashes.iter().any(|crash| !crash.settled)
    }

    /// Returns the rules by which a request is refused.
    fn matching<'a>(
        &'a self,
        now: Timestamp,
        request: &'a Candidates,
    ) -> impl Iterator<Item = &'a Rule> {
        self.rules.iter().filter(move |rule| {
            rule.until > now && rule.applies_to(request.team) && rule.matches(request)
        })
    }

    /// Returns the remaining time for which a request is refused, or `None` if it is not.
    #[must_use]
    pub fn refusal(&self, now: Timestamp, request: &Candidates) -> Option<Span> {
        let remaining = self
            .matching(now, request)
            .map(|rule| rule.until.since(now));
        remaining.max()
    }

    /// Returns whether a request may run although it is refused, to find out whether the rules are wrong. It
    /// must not be repeated if its upstream fails. Returns true once for each trial that is due.
    pub fn start_trial(&mut self, now: Timestamp, request: &Candidates) -> bool {
        if !self.matching(now, request).all(|rule| rule.has_trial(now)) {
            return false;
        }
        let mut found = false;
        for rule in &mut self.rules {
            let applies = rule.applies_to(request.team) && rule.matches(request);
            if rule.until > now && applies {
                rule.trials.iter_mut().for_each(|trials| {
                    trials.pop_front();
                });
                found = true;
            }
        }
        found
    }

    /// Returns the rules by which a request is refused as findings, to remind other routers.
    #[must_use]
    pub fn reminder(&self, now: Timestamp, request: &Candidates) -> Vec<Findings> {
        let rules = self.matching(now, request);
        rules.map(|rule| report::rule(rule, now)).collect()
    }

    /// Returns the rules in force as findings, for a router that may lack them.
    #[must_use]
    pub fn rules(&self, now: Timestamp) -> Vec<Findings> {
        let active = self.rules.iter().filter(|rule| rule.until > now);
        active.map(|rule| report::rule(rule, now)).collect()
    }

    /// Processes an event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Crashed {
                upstream,
                request,
                ran_for,
            } => {
                let upstream = report::upstream(&upstream);
                commands.push(Command::Broadcast(report::crash(
                    upstream, &request, ran_for,
                )));
                let request = InFlight {
                    candidates: request,
                    sent: now.before(ran_for),
                    sent_here: true,
                };
                self.record_crash(now, upstream, request);
            }
            Event::Answered { request } => {
                let cleared = self.clear(&request.causes, &mut commands);
                if !cleared.is_empty() {
                    commands.push(Command::Broadcast(report::answered(&cleared)));
                }
            }
            Event::Message(findings) => match Report::parse(&findings) {
                Some(Report::Crash {
                    upstream,
                    request,
                    ran_for,
                }) => {
                    let request = InFlight {
                        candidates: request,
                        sent: now.before(ran_for),
                        sent_here: false,
                    };
                    self.record_crash(now, upstream, request);
                }
                Some(Report::Answered(causes)) => {
                    self.clear(&causes, &mut commands);
                }
                Some(Report::Rule {
                    causes,
                    teams,
                    remaining,
                }) => {
                    let until = now + remaining.min(REFUSAL_PERIOD);
                    let rule = Rule {
                        causes,
                        teams,
                        until,
                        trials: None,
                    };
                    self.add_rule(rule, now, &mut commands);
                }
                None => {}
            },
            Event::Tick => {
                self.settle_crashes(now, &mut commands);
                self.crashes
                    .retain(|crash| now.since(crash.at) < MEMORY_PERIOD);
                self.rules.retain(|rule| rule.until + MEMORY_PERIOD > now);
            }
        }
        commands
    }

    /// Removes candidates that are no cause, and returns those that were candidates so far.
    fn clear(&mut self, causes: &[Fingerprint], commands: &mut Vec<Command>) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        let mut retain = |list: &mut Vec<Fingerprint>| {
            list.retain(|cause| {
                let keep = !causes.contains(cause);
                if !keep && !cleared.contains(cause) {
                    cleared.push(*cause);
                }
                keep
            });
            !list.is_empty()
        };
        for crash in &mut self.crashes {
            crash
                .requests
                .retain_mut(|request| retain(&mut request.candidates.causes));
        }
        self.crashes.retain(|crash| !crash.requests.is_empty());
        self.rules.retain_mut(|rule| {
            let before = rule.causes.clone();
            let keep = retain(&mut rule.causes);
            if !keep {
                commands.push(Command::Allowed(before));
            }
            keep
        });
        cleared
    }

    fn record_crash(&mut self, now: Timestamp, upstream: Fingerprint, request: InFlight) {
        let known = self.crashes.iter().position(|crash| {
            // Several routers report the same crash.
            crash.upstream == upstream && now.since(crash.at) <= CRASH_WINDOW
        });
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash {
                upstream,
                at: now,
                settled: false,
                requests: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let requests = &mut self.crashes[index].requests;
        let mut known = requests.iter();
        let is_known = known.any(|known| known.candidates == request.candidates);
        if requests.len() < MAX_REQUESTS && !is_known {
            requests.push(request);
        }
    }

    /// Draws the conclusions from the crashes whose reports have arrived.
    fn settle_crashes(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        for index in 0..self.crashes.len() {
            let crash = &mut self.crashes[index];
            if crash.settled || now.since(crash.at) < SETTLE_TIME {
                continue;
            }
            crash.settled = true;
            if self.renew_rules(now, index, commands) {
                continue;
            }
            if let Some(rule) = self.derive_rule(now, index) {
                self.adopt_rule(now, rule, commands);
            }
        }
    }

    /// Extends the rules that explain a crash: requests that match them were sent before they were
    /// known, after they had expired, or by a team to which they did not apply. Returns whether there
    /// are any.
    fn renew_rules(&mut self, now: Timestamp, index: usize, commands: &mut Vec<Command>) -> bool {
        let crash = &self.crashes[index];
        let mut is_explained = false;
        for rule in &mut self.rules {
            let teams = crash.teams_matching(rule);
            if teams.is_empty() {
                continue;
            }
            is_explained = true;
            // A peer may have derived it from the same crashes a moment earlier.
            let is_tried_here = is_tried_here(self.crashes.iter(), rule);
            rule.decide_trials(now, is_tried_here);
            let had_expired = rule.until <= now;
            rule.until = now + REFUSAL_PERIOD;
            // Requests of other teams were in flight beside those of a team to which the rule applies.
            let is_known_team = teams.iter().any(|team| rule.applies_to(*team));
            if !is_known_team {
                rule.teams.extend(teams);
            }
            if had_expired || !is_known_team {
                commands.push(Command::Refused(rule.causes.clone()));
                if crash.is_observed_here() {
                    commands.push(Command::Broadcast(report::rule(rule, now)));
                }
            }
        }
        is_explained
    }

    /// Adds a rule that was derived here, and broadcasts it if one of its crashes was observed here.
    fn adopt_rule(&mut self, now: Timestamp, rule: Rule, commands: &mut Vec<Command>) {
        let findings = report::rule(&rule, now);
        let is_observed_here = self
            .crashes
            .iter()
            .any(|crash| crash.is_observed_here() && crash.is_explained_by(&rule));
        self.remove_superseded(&rule, commands);
        self.add_rule(rule, now, commands);
        if is_observed_here {
            commands.push(Command::Broadcast(findings));
        }
    }

    /// Removes the rules that explain only a part of the crashes that a new rule explains. They are due to
    /// sound requests that were in flight in several of these crashes.
    fn remove_superseded(&mut self, new: &Rule, commands: &mut Vec<Command>) {
        let explained = |rule: &Rule| -> Vec<usize> {
            let crashes = self.crashes.iter().enumerate();
            let crashes = crashes.filter(|(_, crash)| crash.is_explained_by(rule));
            crashes.map(|(index, _)| index).collect()
        };
        let by_new = explained(new);
        let is_superseded = |rule: &Rule| {
            let by_rule = explained(rule);
            let is_part = by_rule.iter().all(|index| by_new.contains(index));
            !by_rule.is_empty() && is_part && by_rule.len() < by_new.len()
        };
        let (superseded, kept) = std::mem::take(&mut self.rules)
            .into_iter()
            .partition::<Vec<Rule>, _>(|rule| is_superseded(rule));
        self.rules = kept;
        let allowed = superseded
            .into_iter()
            .filter(|rule| !is_subset(&new.causes, &rule.causes));
        commands.extend(allowed.map(|rule| Command::Allowed(rule.causes)));
    }

    /// Adds a rule. If it refuses a part of what a known rule refuses, that one is extended instead. Rules
    /// that refuse a part of what it refuses are removed.
    fn add_rule(&mut self, mut rule: Rule, now: Timestamp, commands: &mut Vec<Command>) {
        let mut rules = self.rules.iter_mut();
        // A peer may not know yet that some candidates of its rule were cleared.
        if let Some(known) = rules.find(|known| is_subset(&known.causes, &rule.causes)) {
            let had_expired = known.until <= now;
            known.until = known.until.max(rule.until);
            if known.trials.is_none() {
                known.trials = rule.trials;
            }
            let mut has_new_team = false;
            for team in &rule.teams {
                has_new_team |= known.add_team(*team);
            }
            if (had_expired && known.until > now) || has_new_team {
                commands.push(Command::Refused(known.causes.clone()));
            }
            return;
        }
        self.rules.retain(|old| {
            let is_narrower = is_subset(&rule.causes, &old.causes);
            if is_narrower {
                for team in &old.teams {
                    rule.add_team(*team);
                }
            }
            !is_narrower
        });
        if self.rules.len() >= MAX_RULES {
            let rules = self.rules.iter().enumerate();
            let oldest = rules.min_by_key(|(_, rule)| rule.until);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.rules.swap_remove(index);
            }
        }
        commands.push(Command::Refused(rule.causes.clone()));
        self.rules.push(rule);
    }
}

fn is_subset(causes: &[Fingerprint], of: &[Fingerprint]) -> bool {
    causes.iter().all(|cause| of.contains(cause))
}

/// Formats fingerprints for log lines, separated by commas.
#[must_use]
pub fn display(fingerprints: &[Fingerprint]) -> String {
    let texts = fingerprints.iter().map(|found| format!("{:032x}", found.0));
    texts.collect::<Vec<String>>().join(",")
}
