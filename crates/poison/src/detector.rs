//! Detects requests that crash upstreams.

use indexmap::{IndexMap, IndexSet};
use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use crate::message::{Finding, Findings, Fingerprint, Verdict};

/// Time for which a confirmed request is refused.
pub const REFUSAL_PERIOD: Span = Span::from_secs(600);

/// Time after its last crash at which a suspect is forgotten.
pub const SUSPICION_PERIOD: Span = Span::from_secs(600);

/// Time within which crashes of the same upstream count as one, because several routers may report
/// the same crash.
pub const CRASH_WINDOW: Span = Span::from_secs(2);

/// Time within which upstreams crash that have a common cause apart from requests.
pub(crate) const COMMON_CRASH_SPREAD: Span = Span::from_millis(500);

/// Time after a crash in which responses that the upstream sent before the crash may still arrive.
pub const SETTLE_TIME: Span = Span::from_millis(50);

/// Number of crashes that confirm a suspect even if other requests ran on the same upstream each
/// time.
pub const CRASHES_TO_CONFIRM: u32 = 3;

/// Maximum number of requests that are remembered.
pub const MAX_RECORDS: usize = 4_096;

/// Input of the detector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A request was sent to an upstream.
    Started {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// A request ended without a crash of its upstream.
    Ended {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: name::Upstream,
        /// Whether the upstream responded in full.
        completed: bool,
    },
    /// An upstream sent data in response to some request.
    Responded {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// An upstream crashed. Must come before the [`Event::Ended`] of its requests, so that all
    /// requests that were in flight are known.
    Crashed {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// A peer sent its findings.
    Message(Findings),
    /// Time passed. Removes expired records; needed about once a second.
    Tick,
}

/// Output of the detector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send findings to all routers.
    Broadcast(Findings),
    /// A request is refused from now on. To be logged.
    Confirmed(Fingerprint),
}

/// How a router treats a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Treatment {
    /// It is scheduled as usual.
    Normal,
    /// It runs alone on an upstream.
    Solo,
    /// It is refused as not run.
    Refused {
        /// Remaining time for which it is refused.
        remaining: Span,
    },
}

/// A request that runs on an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    fingerprint: Fingerprint,
    started: Timestamp,
}

#[derive(Clone, Debug)]
enum Record {
    Suspect {
        upstream: name::Upstream,
        at: Timestamp,
        crashes: u32,
        observed_here: bool,
    },
    Confirmed {
        until: Timestamp,
    },
}

impl Record {
    fn expires_at(&self) -> Timestamp {
        match self {
            Self::Suspect { at, .. } => *at + SUSPICION_PERIOD,
            Self::Confirmed { until } => *until,
        }
    }
}

/// Detects requests that crash upstreams.
///
/// A request that was in flight when an upstream crashed becomes a suspect and, unless the detector
/// is made by [`CrashDetector::without_isolation`], runs alone. If it is involved in further
/// crashes it is confirmed and refused for [`REFUSAL_PERIOD`].
///
/// ```
/// use tsw_base::time::Timestamp;
/// use tsw_poison::{detector, Fingerprint, CrashDetector};
///
/// let (now, fingerprint) = (Timestamp::from_micros(1), Fingerprint(7));
/// let upstream: tsw_base::name::Upstream = "engine-1".parse()?;
/// let mut detector = CrashDetector::default();
/// detector.handle(now, detector::Event::Started { fingerprint, upstream: upstream.clone() });
/// detector.handle(now, detector::Event::Crashed { upstream });
/// assert_eq!(detector.treatment(now, fingerprint), detector::Treatment::Solo);
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    without_isolation: bool,
    running: IndexMap<name::Upstream, Vec<Run>>,
    records: IndexMap<Fingerprint, Record>,
}

impl CrashDetector {
    /// Creates a detector for a router that runs suspects together with other requests.
    ///
    /// Without isolation, being the only suspect in two crashes proves little, so a request is
    /// confirmed only after [`CRASHES_TO_CONFIRM`] crashes.
    #[must_use]
    pub fn without_isolation() -> Self {
        Self {
            without_isolation: true,
            ..Self::default()
        }
    }

    /// Returns how to treat a request.
    #[must_use]
    pub fn treatment(&self, now: Timestamp, fingerprint: Fingerprint) -> Treatment {
        match self.records.get(&fingerprint) {
            Some(record) if record.expires_at() <= now => Treatment::Normal,
            Some(Record::Confirmed { until }) => Treatment::Refused {
                remaining: until.since(now),
            },
            Some(Record::Suspect { .. }) if !self.without_isolation => Treatment::Solo,
            Some(Record::Suspect { .. }) => Treatment::Normal,
            None => Treatment::Normal,
        }
    }

    /// Returns the refused requests as findings, for a router that may not know them.
    #[must_use]
    pub fn confirmed(&self, now: Timestamp) -> Findings {
        let findings = self.records.iter().filter_map(|(fingerprint, record)| {
            let Record::Confirmed { until } = record else {
                return None;
            };
            let remaining = until.since(now);
            (remaining > Span::ZERO).then_some(Finding {
                fingerprint: *fingerprint,
                verdict: Verdict::Confirmed { remaining },
            })
        });
        Findings {
            findings: findings.collect(),
        }
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Processes an event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Started {
                fingerprint,
                upstream,
            } => self.running.entry(upstream).or_default().push(Run {
                fingerprint,
                started: now,
            }),
            Event::Ended {
                fingerprint,
                upstream,
                completed,
            } => {
                self.remove_running(&upstream, fingerprint);
                if completed {
                    self.clear(fingerprint, &mut commands);
                }
            }
            Event::Responded { upstream } => self.clear_refuted(now, &upstream, &mut commands),
            Event::Crashed { upstream } => {
                let in_flight = self.running.swap_remove(&upstream).unwrap_or_default();
                // Of several equal requests the latest counts.
                let in_flight = in_flight.into_iter();
                let in_flight = in_flight.map(|run| (run.fingerprint, Some(run.started)));
                self.crash(now, &upstream, &in_flight.collect(), true, &mut commands);
            }
            Event::Message(message) => self.apply_findings(now, message, &mut commands),
            Event::Tick => self.records.retain(|_, record| record.expires_at() > now),
        }
        commands
    }

    /// Clears the suspects of a supposed crash of an upstream that continues to respond to other
    /// requests.
    fn clear_refuted(
        &mut self,
        now: Timestamp,
        upstream: &name::Upstream,
        commands: &mut Vec<Command>,
    ) {
        let refuted = self.records.iter().filter(|(_, record)| {
            let Record::Suspect {
                upstream: crashed,
                at,
                ..
            } = record
            else {
                return false;
            };
            let since = now.since(*at);
            crashed == upstream && (SETTLE_TIME..CRASH_WINDOW).contains(&since)
        });
        let refuted: Vec<Fingerprint> = refuted.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in refuted {
            self.clear(fingerprint, commands);
        }
    }

    fn remove_running(&mut self, upstream: &name::Upstream, fingerprint: Fingerprint) {
        if let Some(running) = self.running.get_mut(upstream) {
            if let Some(index) = running
                .iter()
                .position(|run| run.fingerprint == fingerprint)
            {
                running.swap_remove(index);
            }
            if running.is_empty() {
                self.running.swap_remove(upstream);
            }
        }
    }

    fn clear(&mut self, fingerprint: Fingerprint, commands: &mut Vec<Command>) {
        if let Some(Record::Suspect { .. }) = self.records.get(&fingerprint) {
            self.records.swap_remove(&fingerprint);
            commands.push(broadcast(vec![Finding {
                fingerprint,
                verdict: Verdict::Cleared,
            }]));
        }
    }

    /// Processes a crash, observed here or by a peer, with the requests that were in flight.
    ///
    /// A suspect of an earlier crash is confirmed if it is the only such suspect in this crash. If
    /// there are several they remain suspects and run alone, which shows which of them is at fault.
    fn crash(
        &mut self,
        now: Timestamp,
        upstream: &name::Upstream,
        in_flight: &IndexMap<Fingerprint, Option<Timestamp>>,
        observed_here: bool,
        commands: &mut Vec<Command>,
    ) {
        let repeated: IndexSet<Fingerprint> = in_flight
            .iter()
            .filter(|(fingerprint, started)| {
                self.is_repeat_crash(now, upstream, **fingerprint, **started)
            })
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let mut findings = Vec::new();
        for (fingerprint, started) in in_flight {
            let crashes =
                self.crash_count(*fingerprint) + u32::from(repeated.contains(fingerprint));
            let only_suspect =
                !self.without_isolation && repeated.len() == 1 && repeated.contains(fingerprint);
            let reported = observed_here || self.is_observed_here(*fingerprint);
            let verdict = if only_suspect || crashes >= CRASHES_TO_CONFIRM {
                self.confirm(now, *fingerprint, REFUSAL_PERIOD, commands);
                Verdict::Confirmed {
                    remaining: REFUSAL_PERIOD,
                }
            } else {
                let run = Run {
                    fingerprint: *fingerprint,
                    started: started.unwrap_or(now),
                };
                self.suspect(now, upstream, run, crashes, reported);
                Verdict::Suspected {
                    upstream: upstream.clone(),
                }
            };
            // A router that knows of the crashes only from findings does not broadcast them; the
            // routers that observed the crashes do.
            let confirmed = matches!(verdict, Verdict::Confirmed { .. });
            if observed_here || (confirmed && reported) {
                findings.push(Finding {
                    fingerprint: *fingerprint,
                    verdict,
                });
            }
        }
        if !findings.is_empty() {
            commands.push(broadcast(findings));
        }
    }

    /// Returns whether a request is already a suspect because of an earlier, different crash. Upstreams that
    /// crash while copies of it run on each may have a common cause apart from it. `started` is known only
    /// of crashes observed here.
    fn is_repeat_crash(
        &self,
        now: Timestamp,
        crashed: &name::Upstream,
        fingerprint: Fingerprint,
        started: Option<Timestamp>,
    ) -> bool {
        match self.records.get(&fingerprint) {
            Some(Record::Suspect { upstream, at, .. }) => {
                let is_other = upstream != crashed || now.since(*at) > CRASH_WINDOW;
                let is_later = started.is_none_or(|started| started >= *at);
                is_other && (is_later || now.since(*at) >= COMMON_CRASH_SPREAD)
            }
            _ => false,
        }
    }

    fn crash_count(&self, fingerprint: Fingerprint) -> u32 {
        match self.records.get(&fingerprint) {
            Some(Record::Suspect { crashes, .. }) => *crashes,
            Some(Record::Confirmed { .. }) => CRASHES_TO_CONFIRM,
            None => 1,
        }
    }

    /// Returns whether this router observed a crash of a suspect itself.
    fn is_observed_here(&self, fingerprint: Fingerprint) -> bool {
        matches!(
            self.records.get(&fingerprint),
            Some(Record::Suspect {
                observed_here: true,
                ..
            })
        )
    }

    fn suspect(
        &mut self,
        now: Timestamp,
        upstream: &name::Upstream,
        run: Run,
        crashes: u32,
        observed_here: bool,
    ) {
        let Run {
            fingerprint,
            started,
        } = run;
        let mut record = Record::Suspect {
            upstream: upstream.clone(),
            at: now,
            crashes,
            observed_here,
        };
        if !self.is_repeat_crash(now, upstream, fingerprint, Some(started)) {
            if let Some(Record::Suspect { at: first, .. }) = self.records.get(&fingerprint) {
                // Another report of the same crash does not extend its window.
                record = Record::Suspect {
                    upstream: upstream.clone(),
                    at: *first,
                    crashes,
                    observed_here,
                };
            }
        }
        self.insert(fingerprint, record);
    }

    fn confirm(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        remaining: Span,
        commands: &mut Vec<Command>,
    ) {
        let until = now + remaining.min(REFUSAL_PERIOD);
        let old = self.records.get(&fingerprint);
        if !matches!(old, Some(Record::Confirmed { .. })) {
            commands.push(Command::Confirmed(fingerprint));
        }
        let until = old.map_or(until, |old| match old {
            Record::Confirmed { until: old } => until.max(*old),
            Record::Suspect { .. } => until,
        });
        self.insert(fingerprint, Record::Confirmed { until });
    }

    /// Stores the record of a request. If the table is full it evicts the record that expires
    /// first, suspects before confirmed requests.
    fn insert(&mut self, fingerprint: Fingerprint, record: Record) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let oldest = self.records.iter().enumerate().min_by_key(|(_, (_, old))| {
                let confirmed = matches!(old, Record::Confirmed { .. });
                (confirmed, old.expires_at())
            });
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.records.swap_remove_index(index);
            }
        }
        self.records.insert(fingerprint, record);
    }

    fn apply_findings(&mut self, now: Timestamp, message: Findings, commands: &mut Vec<Command>) {
        let mut crashes: IndexMap<name::Upstream, IndexMap<Fingerprint, Option<Timestamp>>> =
            IndexMap::new();
        for finding in message.findings {
            let fingerprint = finding.fingerprint;
            match finding.verdict {
                Verdict::Suspected { upstream } => {
                    crashes
                        .entry(upstream)
                        .or_default()
                        .insert(fingerprint, None);
                }
                Verdict::Confirmed { remaining } => {
                    self.confirm(now, fingerprint, remaining, commands);
                }
                Verdict::Cleared => {
                    if let Some(Record::Suspect { .. }) = self.records.get(&fingerprint) {
                        self.records.swap_remove(&fingerprint);
                    }
                }
            }
        }
        for (upstream, in_flight) in crashes {
            self.crash(now, &upstream, &in_flight, false, commands);
        }
    }
}

fn broadcast(findings: Vec<Finding>) -> Command {
    Command::Broadcast(Findings { findings })
}
