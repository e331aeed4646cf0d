//! Controller of the detection of requests that crash upstreams, and of what they have in common.

use tsw_base::{name, time::Timestamp};
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_member::State;
use tsw_poison::{
    cause, Candidates, Command, CrashDetector, Findings, Fingerprint, Treatment, Verdict,
};
use tsw_wire::message::Message;

use crate::{call::Call, prompt, turn::Turn};

/// Writes the sections of the blackboard about requests that crash upstreams.
#[derive(Debug)]
pub struct Controller {
    detector: WriteToken<CrashDetector>,
    finder: WriteToken<cause::Finder>,
}

/// Returns the fingerprint by which the crash detector identifies equal calls.
#[must_use]
pub fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::of(&call.team, &call.service, &call.path, &call.body)
}

/// Returns the candidates of a call, or `None` if it has no prompt.
#[must_use]
pub fn candidates(call: &Call) -> Option<Candidates> {
    let parts = prompt::parts(&call.service, &call.body);
    let team = call.team.as_str().as_bytes();
    (!parts.is_empty()).then(|| Candidates::new(team, fingerprint(call), parts))
}

impl Controller {
    /// Creates the controller with the write tokens of its sections.
    #[must_use]
    pub const fn new(
        detector: WriteToken<CrashDetector>,
        finder: WriteToken<cause::Finder>,
    ) -> Self {
        Self { detector, finder }
    }

    /// Returns how a call is to be treated. Fingerprints are computed only if something is suspected.
    #[must_use]
    pub fn treatment(board: &Board, now: Timestamp, call: &Call) -> Treatment {
        if !board.cause_finder.is_empty() {
            let refusal = candidates(call).and_then(|call| board.cause_finder.refusal(now, &call));
            if let Some(remaining) = refusal {
                return Treatment::Refused { remaining };
            }
        }
        if board.crash_detector.is_empty() {
            return Treatment::Normal;
        }
        board.crash_detector.treatment(now, fingerprint(call))
    }

    /// Returns whether a call may run although it is refused because of its candidates. A call that is
    /// refused as such has no trial.
    pub fn start_trial(&self, turn: &mut Turn<'_>, call: &Call, candidates: &Candidates) -> bool {
        let (now, detector) = (turn.now, &turn.board.crash_detector);
        let treatment = detector.treatment(now, fingerprint(call));
        let is_refused = matches!(treatment, Treatment::Refused { .. });
        let finder = turn.board.cause_finder.write(&self.finder);
        !is_refused && finder.start_trial(now, candidates)
    }

    /// Returns what is refused as the first messages of a session to a peer, which may have started
    /// after it was found.
    #[must_use]
    pub fn session_messages(board: &Board, now: Timestamp) -> Vec<Message> {
        let mut messages = board.cause_finder.rules(now);
        messages.push(board.crash_detector.confirmed(now));
        messages.retain(|message| !message.findings.is_empty());
        messages.into_iter().map(Message::Findings).collect()
    }

    /// Applies the findings of a peer.
    pub fn receive(&self, turn: &mut Turn<'_>, findings: Findings) {
        let (requests, causes) = findings.split();
        self.handle(turn, tsw_poison::Event::Message(requests));
        self.handle_cause(turn, cause::Event::Message(causes));
    }

    /// Runs the timers.
    pub fn tick(&self, turn: &mut Turn<'_>) {
        if !turn.board.crash_detector.is_empty() {
            self.handle(turn, tsw_poison::Event::Tick);
        }
        if !turn.board.cause_finder.is_empty() {
            self.handle_cause(turn, cause::Event::Tick);
        }
    }

    /// Passes an event to the crash detector and executes the resulting commands.
    pub fn handle(&self, turn: &mut Turn<'_>, event: tsw_poison::Event) {
        let detector = turn.board.crash_detector.write(&self.detector);
        for command in detector.handle(turn.now, event) {
            match command {
                Command::Broadcast(findings) => {
                    log_findings(&findings);
                    broadcast(turn, &findings);
                }
                Command::Confirmed(fingerprint) => {
                    let text = format!("{:032x}", fingerprint.0);
                    emit(Event::PoisonConfirmed, &[("fingerprint", &text)]);
                }
            }
        }
    }

    /// Passes an event to the finder of causes and executes the resulting commands.
    pub fn handle_cause(&self, turn: &mut Turn<'_>, event: cause::Event) {
        let finder = turn.board.cause_finder.write(&self.finder);
        for command in finder.handle(turn.now, event) {
            match command {
                cause::Command::Broadcast(findings) => broadcast(turn, &findings),
                cause::Command::Refused(causes) => {
                    let causes = cause::display(&causes);
                    emit(Event::CauseRefused, &[("causes", &causes)]);
                }
                cause::Command::Allowed(causes) => {
                    let causes = cause::display(&causes);
                    emit(Event::CauseAllowed, &[("causes", &causes)]);
                }
            }
        }
    }
}

/// Sends findings to all peers that are not dead.
pub fn broadcast(turn: &mut Turn<'_>, findings: &Findings) {
    let peers = turn.board.fleet.peers();
    let peers = peers.filter(|(_, _, state)| *state != State::Dead);
    let hosts: Vec<name::Host> = peers.map(|(id, _, _)| id.host.clone()).collect();
    for host in hosts {
        turn.out.send(&host, Message::Findings(findings.clone()));
    }
}

fn log_findings(findings: &tsw_poison::Findings) {
    for finding in &findings.findings {
        let text = format!("{:032x}", finding.fingerprint.0);
        match &finding.verdict {
            Verdict::Suspected { upstream } => emit(
                Event::PoisonSuspected,
                &[("fingerprint", &text), ("upstream", upstream)],
            ),
            Verdict::Cleared => emit(Event::PoisonCleared, &[("fingerprint", &text)]),
            Verdict::Confirmed { .. } => {}
        }
    }
}
