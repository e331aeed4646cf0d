//! Controller of the crash detector, which finds requests that crash upstreams.

use tsw_base::{name, time::Timestamp};
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_member::State;
use tsw_poison::{Command, CrashDetector, Fingerprint, Treatment, Verdict};
use tsw_wire::message::Message;

use crate::{call::Call, turn::Turn};

/// Writes the crash detector section of the blackboard.
#[derive(Debug)]
pub struct Controller {
    write_token: WriteToken<CrashDetector>,
}

/// Returns the fingerprint by which the crash detector identifies equal calls.
#[must_use]
pub fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::of(&call.team, &call.service, &call.path, &call.body)
}

impl Controller {
    /// Creates the controller with the write token of its section.
    #[must_use]
    pub const fn new(write_token: WriteToken<CrashDetector>) -> Self {
        Self { write_token }
    }

    /// Returns how a call is to be treated. The fingerprint is computed only if a request is
    /// suspected.
    #[must_use]
    pub fn treatment(board: &Board, now: Timestamp, call: &Call) -> Treatment {
        if board.crash_detector.is_empty() {
            return Treatment::Normal;
        }
        board.crash_detector.treatment(now, fingerprint(call))
    }

    /// Passes an event to the crash detector and executes the resulting commands.
    pub fn handle(&self, turn: &mut Turn<'_>, event: tsw_poison::Event) {
        for command in turn
            .board
            .crash_detector
            .write(&self.write_token)
            .handle(turn.now, event)
        {
            match command {
                Command::Broadcast(findings) => {
                    log_findings(&findings);
                    let peers = turn.board.fleet.peers();
                    let peers = peers.filter(|(_, _, state)| *state != State::Dead);
                    let hosts: Vec<name::Host> = peers.map(|(id, _, _)| id.host.clone()).collect();
                    for host in hosts {
                        turn.out.send(&host, Message::Findings(findings.clone()));
                    }
                }
                Command::Confirmed(fingerprint) => {
                    let text = format!("{:032x}", fingerprint.0);
                    emit(Event::PoisonConfirmed, &[("fingerprint", &text)]);
                }
            }
        }
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
