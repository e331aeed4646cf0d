//! Controller of the host list and of the membership view.

use std::fmt::Display;

use indexmap::IndexMap;
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_board::{
    hosts::{List, Upstream},
    Board, WriteToken,
};
use tsw_event::{emit, Event};
use tsw_member::{
    event,
    sequence::{self, Decision, Sequence},
    View,
};
use tsw_wire::message::{Fetch, Hosts, Message};

use crate::{task, turn::Turn};

/// Time for which peers are told that an upstream has left whose entry was removed. A peer that stood still or was cut
/// off for longer does not learn of it.
const REMOVED_PERIOD: Span = Span::from_secs(60);
/// Maximum number of removed upstreams that are remembered.
const MAX_REMOVED: usize = 4_096;

/// A peer's report that an upstream is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingReport {
    /// Revision of the peer's host list.
    revision: u64,
    received: Timestamp,
    /// This router's reads since then that stated a lower revision.
    contradiction: Option<Contradiction>,
}

/// Reads that contradict a report.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    /// When the first of them began.
    since: Timestamp,
    reads: u32,
}

impl LeavingReport {
    /// Counts a read that states a lower revision, and returns whether such reads are known to come from a service that
    /// has gone back. A single one may come from a replica that is behind, at whatever age of the report.
    fn contradict(&mut self, read_at: Timestamp) -> bool {
        if read_at < self.received {
            return false;
        }
        let reads = self.contradiction.get_or_insert(Contradiction {
            since: read_at,
            reads: 0,
        });
        reads.reads += 1;
        let span = read_at.since(reads.since);
        reads.reads >= sequence::WENT_BACK_READS && span >= sequence::WENT_BACK_SPAN
    }
}

/// Writes the sections about hosts and the fleet.
#[derive(Debug)]
pub struct Controller {
    hosts: WriteToken<List>,
    fleet: WriteToken<View>,
    /// Upstreams that are leaving according to peers with a newer host list.
    leaving: IndexMap<name::Upstream, LeavingReport>,
    /// Upstreams whose entries were removed, in order of the time at which that was read.
    removed: IndexMap<name::Upstream, Timestamp>,
    reads: Sequence,
    changes: u64,
}

/// What a membership event requires of the other controllers.
#[must_use]
#[derive(Debug, Default)]
pub struct Effect {
    /// Incarnations of peers that were declared dead.
    pub dead: Vec<host::Id>,
    /// Whether a peer has a newer bundle or host list.
    pub behind: bool,
}

impl Controller {
    /// Creates the controller with the write tokens of its sections.
    #[must_use]
    pub fn new(hosts: WriteToken<List>, fleet: WriteToken<View>) -> Self {
        Self {
            hosts,
            fleet,
            leaving: IndexMap::new(),
            removed: IndexMap::new(),
            reads: Sequence::default(),
            changes: 0,
        }
    }

    /// Returns a counter that is incremented with every change of the upstreams.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether an upstream is leaving and must get no new requests.
    #[must_use]
    pub fn is_leaving(&self, name: &name::Upstream, upstream: &Upstream) -> bool {
        upstream.leaving || self.leaving.contains_key(name)
    }

    /// Passes an event to the membership view and executes the resulting commands.
    pub fn handle(&mut self, turn: &mut Turn<'_>, event: event::Event) -> Effect {
        let mut effect = Effect::default();
        for command in turn.board.fleet.write(&self.fleet).handle(turn.now, event) {
            match command {
                event::Command::Ping { to, ping } => turn.out.send(&to, Message::Ping(ping)),
                event::Command::Ack { to, ack } => turn.out.send(&to, Message::Ack(ack)),
                event::Command::Changed(change) => {
                    let state = format!("{:?}", change.state).to_lowercase();
                    emit(
                        Event::MemberChanged,
                        &[("peer", &change.id), ("state", &state)],
                    );
                    if change.state == tsw_member::State::Dead {
                        if let Some(link) = turn.out.link() {
                            link.reset(&change.id.host);
                        }
                        effect.dead.push(change.id);
                    }
                }
                event::Command::Superseded { by } => {
                    emit(Event::Superseded, &[("by", &by)]);
                    turn.out.start(task::Task::Restart { earlier: by });
                }
                event::Command::FetchNewer { peer, .. } => {
                    effect.behind = true;
                    let fetch = Fetch {
                        bundle: turn.board.configuration.revision(),
                        hosts: turn.board.hosts.revision,
                    };
                    turn.out.send(&peer, Message::Fetch(fetch));
                }
            }
        }
        effect
    }

    /// Decides whether a host list replaces the one in use, by a read of the platform that began at a time.
    pub fn decide(&mut self, board: &Board, list: &List, read_at: Timestamp) -> Decision {
        let known = board.hosts.revision;
        let is_same = *list == *board.hosts;
        let decision = self.reads.decide(read_at, list.revision, is_same);
        let stated: [(&str, &dyn Display); 2] = [("revision", &list.revision), ("known", &known)];
        match decision {
            Decision::Ignored { is_new: true } => emit(Event::HostsIgnored, &stated),
            Decision::WentBack => emit(Event::HostsWentBack, &stated),
            _ => {}
        }
        decision
    }

    /// Adopts a host list on which a decision was taken. The read of it began at a time.
    pub fn adopt(
        &mut self,
        turn: &mut Turn<'_>,
        list: List,
        decision: Decision,
        read_at: Timestamp,
    ) -> Effect {
        match decision {
            Decision::Ignored { .. } => return Effect::default(),
            Decision::Current => {
                self.expire_reports(read_at, list.revision);
                return Effect::default();
            }
            Decision::WentBack => {
                for (_, report) in self.leaving.drain(..) {
                    self.reads.discard(report.revision);
                }
            }
            Decision::Follows | Decision::MayFollow => {}
        }
        self.changes += 1;
        log_changes(&turn.board.hosts, &list);
        self.record_removed(turn, &list, decision);
        let (routers, upstreams) = (list.routers.len(), list.upstreams.len());
        emit(
            Event::HostsAdopted,
            &[
                ("revision", &list.revision),
                ("routers", &routers),
                ("upstreams", &upstreams),
            ],
        );
        if let Some(link) = turn.out.link() {
            for host in turn.board.hosts.routers.keys() {
                if !list.routers.contains_key(host) {
                    link.set_address(host, None);
                }
            }
            for (host, router) in &list.routers {
                if *host != turn.out.me().host {
                    link.set_address(host, Some(router.peer_address));
                }
            }
        }
        self.expire_reports(read_at, list.revision);
        // A router that has announced its departure cannot take it back, and an older copy may name one of an earlier run.
        let announces = decision != Decision::WentBack;
        let me = &turn.out.me().host;
        let listed = list
            .routers
            .iter()
            .map(|(host, router)| event::ListedRouter {
                host: host.clone(),
                domain: router.domain.clone(),
                leaving: router.leaving && (announces || host != me),
            });
        let event = event::Event::Hosts {
            revision: list.revision,
            hosts: listed.collect(),
        };
        *turn.board.hosts.write(&self.hosts) = list;
        self.handle(turn, event)
    }

    /// Records which entries a list no longer has, before it replaces the one in use. An older list does not show that
    /// an upstream has left.
    fn record_removed(&mut self, turn: &Turn<'_>, list: &List, decision: Decision) {
        if decision == Decision::WentBack {
            self.removed.clear();
            return;
        }
        for name in turn.board.hosts.upstreams.keys() {
            if !list.upstreams.contains_key(name) {
                self.removed.shift_remove(name);
                self.removed.insert(name.clone(), turn.now);
            }
        }
        self.removed.retain(|name, removed| {
            turn.now.since(*removed) < REMOVED_PERIOD && !list.upstreams.contains_key(name)
        });
        let excess = self.removed.len().saturating_sub(MAX_REMOVED);
        self.removed.drain(..excess);
    }

    /// Returns a message for a peer whose host list is older, with the upstreams that are leaving and those that left
    /// lately: the peer may not have read an entry that said so.
    #[must_use]
    pub fn hosts_message(&self, board: &Board, now: Timestamp) -> Hosts {
        let upstreams = board.hosts.upstreams.iter();
        let leaving = upstreams.filter(|(_, upstream)| upstream.leaving);
        let leaving = leaving.map(|(name, _)| name);
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, removed)| now.since(**removed) < REMOVED_PERIOD);
        let removed = removed.map(|(name, _)| name);
        Hosts {
            revision: board.hosts.revision,
            leaving: leaving.chain(removed).cloned().collect(),
        }
    }

    /// Records the leaving upstreams reported by a peer whose host list is newer.
    pub fn merge_leaving(&mut self, now: Timestamp, hosts: Hosts) {
        if !self.reads.is_later(hosts.revision) {
            return;
        }
        let report = LeavingReport {
            revision: hosts.revision,
            received: now,
            contradiction: None,
        };
        for name in hosts.leaving {
            if let Some(known) = self.leaving.get_mut(&name) {
                known.revision = known.revision.max(report.revision);
            } else {
                self.leaving.insert(name, report);
                self.changes += 1;
            }
        }
    }

    /// Drops the reports of peers that a list which this router reads replaces. One that is of a higher revision than
    /// all reads of some seconds was of a service that has gone back since.
    fn expire_reports(&mut self, read_at: Timestamp, revision: u64) {
        let before = self.leaving.len();
        let reads = &mut self.reads;
        self.leaving.retain(|_, report| {
            if report.revision <= revision {
                return false;
            }
            let is_contradicted = report.contradict(read_at);
            if is_contradicted {
                reads.discard(report.revision);
            }
            !is_contradicted
        });
        self.changes += u64::from(self.leaving.len() != before);
    }
}

fn log_changes(before: &List, after: &List) {
    for (name, upstream) in &after.upstreams {
        let was = before.upstreams.get(name);
        if was.is_none() {
            emit(
                Event::UpstreamAdded,
                &[("upstream", name), ("service", &upstream.service)],
            );
        }
        if upstream.leaving && !was.is_some_and(|was| was.leaving) {
            emit(Event::UpstreamLeaving, &[("upstream", name)]);
        }
    }
    for name in before.upstreams.keys() {
        if !after.upstreams.contains_key(name) {
            emit(Event::UpstreamGone, &[("upstream", name)]);
        }
    }
}
