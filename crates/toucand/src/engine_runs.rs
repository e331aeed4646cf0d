//! Controller of the runs of engines that have ended although the host list still names them.

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_board::{hosts::List, runs::EndedRuns, Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_member::sequence::Decision;
use tsw_poison::{EndedRun, Fingerprint};
use tsw_wire::message::Message;

use crate::{crash_detector, turn::Turn};

/// Time for which the end of a run is remembered whose engine is not listed.
const UNLISTED_PERIOD: Span = Span::from_secs(60);
/// Maximum number of these runs.
const MAX_UNLISTED: usize = 4_096;

/// The end of a run that a peer has seen, of an engine that the host list does not name yet.
#[derive(Clone, Copy, Debug)]
struct Unlisted {
    run: EndedRun,
    received: Timestamp,
}

/// Writes the section about ended runs.
#[derive(Debug)]
pub struct Controller {
    token: WriteToken<EndedRuns>,
    unlisted: IndexMap<Fingerprint, Unlisted>,
}

fn log(upstream: &name::Upstream, revision: u64, source: &str) {
    emit(
        Event::UpstreamRunEnded,
        &[
            ("upstream", upstream),
            ("revision", &revision),
            ("source", &source),
        ],
    );
}

/// Returns when the end of a run was found of which a peer told at a time.
fn found_at(received: Timestamp, run: &EndedRun) -> Timestamp {
    received.before(run.age)
}

impl Controller {
    /// Creates the controller with the write token of its section.
    #[must_use]
    pub fn new(token: WriteToken<EndedRuns>) -> Self {
        Self {
            token,
            unlisted: IndexMap::new(),
        }
    }

    /// Records that the listed run of an engine has ended, and tells the peers.
    pub fn record_ended(&self, turn: &mut Turn<'_>, upstream: &name::Upstream) {
        let board = &mut *turn.board;
        let revision = board.hosts.revision;
        let runs = board.ended_runs.write(&self.token);
        if runs.record_ended(turn.now, &board.hosts, upstream, revision) {
            log(upstream, revision, "seen");
            Self::broadcast(turn, upstream, revision);
        }
    }

    /// Applies that a peer has seen the run of an engine end, or remembers it until the engine is listed: the peer is not
    /// going to tell it again.
    pub fn receive(&mut self, turn: &mut Turn<'_>, run: &EndedRun) {
        let mut listed = turn.board.hosts.upstreams.keys();
        let Some(upstream) = listed.find(|name| run.is_of(name)).cloned() else {
            self.remember_unlisted(turn.now, run);
            return;
        };
        let (board, revision) = (&mut *turn.board, run.started_at);
        let runs = board.ended_runs.write(&self.token);
        if runs.record_told(&board.hosts, &upstream, revision, found_at(turn.now, run)) {
            log(&upstream, revision, "told");
        }
    }

    fn remember_unlisted(&mut self, now: Timestamp, run: &EndedRun) {
        let known = self.unlisted.shift_remove(&run.upstream());
        let mut run = *run;
        if let Some(known) = known {
            run.started_at = run.started_at.max(known.run.started_at);
        }
        let received = now;
        self.unlisted
            .insert(run.upstream(), Unlisted { run, received });
        if self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.shift_remove_index(0);
        }
    }

    /// Applies what peers have seen of engines that a host list is the first one to name. An entry of a later list than
    /// the peer's may name a later run. Of the first list of this router that is unknown.
    fn apply_unlisted(&mut self, turn: &mut Turn<'_>, list: &List) {
        self.unlisted
            .retain(|_, unlisted| turn.now.since(unlisted.received) < UNLISTED_PERIOD);
        if self.unlisted.is_empty() {
            return;
        }
        let board = &mut *turn.board;
        let runs = board.ended_runs.write(&self.token);
        let is_first = board.hosts.upstreams.is_empty();
        for name in list.upstreams.keys() {
            if board.hosts.upstreams.contains_key(name) {
                continue;
            }
            let fingerprint = EndedRun::new(name, 0).upstream();
            let Some(Unlisted { run, received }) = self.unlisted.shift_remove(&fingerprint) else {
                continue;
            };
            let revision = run.started_at;
            let is_named = is_first || list.revision <= revision;
            if is_named && runs.record_told(list, name, revision, found_at(received, &run)) {
                log(name, revision, "told");
            }
        }
    }

    /// Records that an engine responds to a request that was sent at a time.
    pub fn record_response(&self, turn: &mut Turn<'_>, upstream: &name::Upstream, sent: Timestamp) {
        let runs = turn.board.ended_runs.write(&self.token);
        runs.record_response(turn.now, upstream, sent);
    }

    /// Records the version that an engine states in its response to a request that was sent at a time. If it is another
    /// one than the host list names, the peers are told once another read of the list says the same: theirs may be later.
    pub fn record_stated(
        &self,
        turn: &mut Turn<'_>,
        upstream: &name::Upstream,
        sent: Timestamp,
        version: &str,
    ) {
        let board = &mut *turn.board;
        let runs = board.ended_runs.write(&self.token);
        if runs.record_stated(turn.now, &board.hosts, upstream, sent, version) {
            log(upstream, board.hosts.revision, "seen");
        }
    }

    fn broadcast(turn: &mut Turn<'_>, upstream: &name::Upstream, revision: u64) {
        let findings = EndedRun::new(upstream, revision).findings();
        crash_detector::broadcast(turn, &findings);
    }

    /// Processes a host list on which a decision was taken, before it replaces the one in use. The read of it began
    /// at a time.
    pub fn adopt(
        &mut self,
        turn: &mut Turn<'_>,
        list: &List,
        decision: Decision,
        read_at: Timestamp,
    ) {
        let board = &mut *turn.board;
        let runs = board.ended_runs.write(&self.token);
        match decision {
            Decision::Ignored { .. } => return,
            Decision::Current => {}
            Decision::Follows => {
                runs.adopt(&board.hosts, list);
                runs.record_named(read_at, &board.hosts, list);
            }
            Decision::MayFollow => runs.adopt_unordered(turn.now, &board.hosts, list),
            Decision::WentBack => runs.adopt_earlier(turn.now, &board.hosts, list),
        }
        runs.confirm(read_at);
        for upstream in runs.confirm_stated(list, read_at) {
            Self::broadcast(turn, &upstream, list.revision);
        }
        self.apply_unlisted(turn, list);
    }

    /// Returns the runs that have ended as the first messages of a session to a peer, which may have started since.
    #[must_use]
    pub fn session_messages(board: &Board, now: Timestamp) -> Vec<Message> {
        let told = board.ended_runs.told();
        let runs = told.map(|(upstream, revision, found)| {
            let run = EndedRun::new(upstream, revision).with_age(now.since(found));
            run.findings()
        });
        runs.map(Message::Findings).collect()
    }
}
