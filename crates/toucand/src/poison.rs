//! Controller of the requests that crash upstreams.

use tsw_base::{name, time::Tick};
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_member::State;
use tsw_poison::{Command, CrashDetector, Fingerprint, Treatment, Verdict};
use tsw_wire::message::Message;

use crate::{call::Call, turn::Turn};

/// Owner of the section about requests that crash upstreams.
#[derive(Debug)]
pub struct Controller {
    pen: WriteToken<CrashDetector>,
}

/// Returns the fingerprint of a call.
#[must_use]
pub fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::of(&call.team, &call.service, &call.path, &call.body)
}

impl Controller {
    /// Takes the pen.
    #[must_use]
    pub const fn new(pen: WriteToken<CrashDetector>) -> Self {
        Self { pen }
    }

    /// Returns how a call is to be treated. Costs nothing while no request is suspected.
    #[must_use]
    pub fn treatment(board: &Board, now: Tick, call: &Call) -> Treatment {
        if board.poison.is_empty() {
            return Treatment::Normal;
        }
        board.poison.treatment(now, fingerprint(call))
    }

    /// Gives an event to the watch and carries out what follows.
    pub fn handle(&self, turn: &mut Turn<'_>, event: tsw_poison::Event) {
        for command in turn.board.poison.write(&self.pen).handle(turn.now, event) {
            match command {
                Command::Broadcast(suspect) => {
                    log(&suspect);
                    let peers = turn.board.fleet.peers();
                    let peers = peers.filter(|(_, _, state)| *state != State::Dead);
                    let hosts: Vec<name::Host> = peers.map(|(id, _, _)| id.host.clone()).collect();
                    for host in hosts {
                        turn.out.send(&host, Message::Suspect(suspect.clone()));
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

fn log(suspect: &tsw_poison::Findings) {
    for finding in &suspect.findings {
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
