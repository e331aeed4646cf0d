//! Finds the requests that crash upstreams.

use indexmap::{IndexMap, IndexSet};
use tsw_base::{
    name,
    time::{Span, Tick},
};

use crate::message::{Finding, Fingerprint, Suspect, Verdict};

/// Time for which a confirmed request is refused.
pub const REFUSAL: Span = Span::from_secs(600);

/// Time after which a suspect that did not run again is forgotten.
pub const SUSPICION: Span = Span::from_secs(600);

/// Time within which crashes of the same upstream count as one, because several routers report it.
pub const CRASH_WINDOW: Span = Span::from_secs(2);

/// Time after a crash in which answers may still arrive that the upstream gave before it.
pub const SETTLED: Span = Span::from_millis(50);

/// Crashes after which a suspect is confirmed even though others ran beside it each time.
pub const MAX_CRASHES: u32 = 3;

/// Most requests that are remembered.
pub const RECORDS: usize = 4_096;

/// What the watch reacts to.
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
        /// Whether the upstream answered in full.
        completed: bool,
    },
    /// An upstream passed on something of any request.
    Answered {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// An upstream crashed. To be given before its requests end, so that all of them are known.
    Crashed {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// A peer sent its findings.
    Message(Suspect),
    /// Time passed. Needed about every second.
    Tick,
}

/// What the watch asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send findings to all routers.
    Broadcast(Suspect),
    /// A request is refused from now on; for the log.
    Confirmed(Fingerprint),
}

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Treatment {
    /// As any other.
    Normal,
    /// It runs alone on an upstream.
    Solo,
    /// It is refused as not run.
    Refused {
        /// Time for which it is still refused.
        remaining: Span,
    },
}

#[derive(Clone, Debug)]
enum Record {
    Suspect {
        upstream: name::Upstream,
        at: Tick,
        crashes: u32,
        mine: bool,
    },
    Confirmed {
        until: Tick,
    },
}

impl Record {
    fn end(&self) -> Tick {
        match self {
            Self::Suspect { at, .. } => *at + SUSPICION,
            Self::Confirmed { until } => *until,
        }
    }
}

/// Finds the requests that crash upstreams.
///
/// ```
/// use tsw_base::time::Tick;
/// use tsw_poison::{watch, Fingerprint, Watch};
///
/// let (now, fingerprint) = (Tick::from_micros(1), Fingerprint(7));
/// let upstream: tsw_base::name::Upstream = "engine-1".parse()?;
/// let mut watch = Watch::default();
/// watch.handle(now, watch::Event::Started { fingerprint, upstream: upstream.clone() });
/// watch.handle(now, watch::Event::Crashed { upstream });
/// assert_eq!(watch.treatment(now, fingerprint), watch::Treatment::Solo);
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Watch {
    beside_others: bool,
    running: IndexMap<name::Upstream, Vec<Fingerprint>>,
    records: IndexMap<Fingerprint, Record>,
}

impl Watch {
    /// Makes a watch for a router that runs suspects beside other requests. That a request is the
    /// only suspect of two crashes proves little there, so only [`MAX_CRASHES`] confirm it.
    #[must_use]
    pub fn beside_others() -> Self {
        Self {
            beside_others: true,
            ..Self::default()
        }
    }

    /// Returns how a request is to be treated.
    #[must_use]
    pub fn treatment(&self, now: Tick, fingerprint: Fingerprint) -> Treatment {
        match self.records.get(&fingerprint) {
            Some(record) if record.end() <= now => Treatment::Normal,
            Some(Record::Confirmed { until }) => Treatment::Refused {
                remaining: until.since(now),
            },
            Some(Record::Suspect { .. }) if !self.beside_others => Treatment::Solo,
            Some(Record::Suspect { .. }) => Treatment::Normal,
            None => Treatment::Normal,
        }
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Started {
                fingerprint,
                upstream,
            } => self.running.entry(upstream).or_default().push(fingerprint),
            Event::Ended {
                fingerprint,
                upstream,
                completed,
            } => {
                self.end(&upstream, fingerprint);
                if completed {
                    self.clear(fingerprint, &mut commands);
                }
            }
            Event::Answered { upstream } => self.refute(now, &upstream, &mut commands),
            Event::Crashed { upstream } => {
                let hit = self.running.swap_remove(&upstream).unwrap_or_default();
                let hit: IndexSet<Fingerprint> = hit.into_iter().collect();
                self.crash(now, &upstream, &hit, true, &mut commands);
            }
            Event::Message(message) => self.receive(now, message, &mut commands),
            Event::Tick => self.records.retain(|_, record| record.end() > now),
        }
        commands
    }

    /// Clears the suspects of a crash that was none: the upstream goes on with other requests.
    fn refute(&mut self, now: Tick, upstream: &name::Upstream, commands: &mut Vec<Command>) {
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
            crashed == upstream && (SETTLED..CRASH_WINDOW).contains(&since)
        });
        let refuted: Vec<Fingerprint> = refuted.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in refuted {
            self.clear(fingerprint, commands);
        }
    }

    fn end(&mut self, upstream: &name::Upstream, fingerprint: Fingerprint) {
        if let Some(running) = self.running.get_mut(upstream) {
            if let Some(index) = running.iter().position(|other| *other == fingerprint) {
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

    /// Takes in a crash with the requests that were in flight, seen here or by a peer.
    ///
    /// A suspect of an earlier crash is confirmed if it is the only such one in this crash.
    /// Several of them stay suspects and run alone, which tells them apart.
    fn crash(
        &mut self,
        now: Tick,
        upstream: &name::Upstream,
        hit: &IndexSet<Fingerprint>,
        mine: bool,
        commands: &mut Vec<Command>,
    ) {
        let again: IndexSet<Fingerprint> = hit
            .iter()
            .filter(|fingerprint| self.is_second(now, upstream, **fingerprint))
            .copied()
            .collect();
        let mut findings = Vec::new();
        for fingerprint in hit {
            let crashes = self.crashes(*fingerprint) + u32::from(again.contains(fingerprint));
            let sole = !self.beside_others && again.len() == 1 && again.contains(fingerprint);
            let reported = mine || self.is_mine(*fingerprint);
            let verdict = if sole || crashes >= MAX_CRASHES {
                self.confirm(now, *fingerprint, REFUSAL, commands);
                Verdict::Confirmed { remaining: REFUSAL }
            } else {
                self.suspect(now, upstream, *fingerprint, crashes, reported);
                Verdict::Suspected {
                    upstream: upstream.clone(),
                }
            };
            // A router that only heard of the crashes leaves it to those that saw them to tell all.
            let confirmed = matches!(verdict, Verdict::Confirmed { .. });
            if mine || (confirmed && reported) {
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

    fn is_second(&self, now: Tick, crashed: &name::Upstream, fingerprint: Fingerprint) -> bool {
        match self.records.get(&fingerprint) {
            Some(Record::Suspect { upstream, at, .. }) => {
                upstream != crashed || now.since(*at) > CRASH_WINDOW
            }
            _ => false,
        }
    }

    fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        match self.records.get(&fingerprint) {
            Some(Record::Suspect { crashes, .. }) => *crashes,
            Some(Record::Confirmed { .. }) => MAX_CRASHES,
            None => 1,
        }
    }

    fn is_mine(&self, fingerprint: Fingerprint) -> bool {
        matches!(
            self.records.get(&fingerprint),
            Some(Record::Suspect { mine: true, .. })
        )
    }

    fn suspect(
        &mut self,
        now: Tick,
        upstream: &name::Upstream,
        fingerprint: Fingerprint,
        crashes: u32,
        mine: bool,
    ) {
        let mut record = Record::Suspect {
            upstream: upstream.clone(),
            at: now,
            crashes,
            mine,
        };
        if !self.is_second(now, upstream, fingerprint) {
            if let Some(Record::Suspect { at: first, .. }) = self.records.get(&fingerprint) {
                // Another report of the same crash does not prolong its window.
                record = Record::Suspect {
                    upstream: upstream.clone(),
                    at: *first,
                    crashes,
                    mine,
                };
            }
        }
        self.insert(fingerprint, record);
    }

    fn confirm(
        &mut self,
        now: Tick,
        fingerprint: Fingerprint,
        remaining: Span,
        commands: &mut Vec<Command>,
    ) {
        let until = now + remaining.min(REFUSAL);
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

    /// Remembers a request; the suspect that is oldest gives way when there is no room.
    fn insert(&mut self, fingerprint: Fingerprint, record: Record) {
        if self.records.len() >= RECORDS && !self.records.contains_key(&fingerprint) {
            let oldest = self.records.iter().enumerate().min_by_key(|(_, (_, old))| {
                let confirmed = matches!(old, Record::Confirmed { .. });
                (confirmed, old.end())
            });
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.records.swap_remove_index(index);
            }
        }
        self.records.insert(fingerprint, record);
    }

    fn receive(&mut self, now: Tick, message: Suspect, commands: &mut Vec<Command>) {
        let mut crashes: IndexMap<name::Upstream, IndexSet<Fingerprint>> = IndexMap::new();
        for finding in message.findings {
            let fingerprint = finding.fingerprint;
            match finding.verdict {
                Verdict::Suspected { upstream } => {
                    crashes.entry(upstream).or_default().insert(fingerprint);
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
        for (upstream, hit) in crashes {
            self.crash(now, &upstream, &hit, false, commands);
        }
    }
}

fn broadcast(findings: Vec<Finding>) -> Command {
    Command::Broadcast(Suspect { findings })
}
