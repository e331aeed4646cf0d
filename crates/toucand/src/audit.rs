//! Controller of the audit log.

use tsw_audit::{Chain, Head, Line};
use tsw_base::host;
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_wire::message::Message;

use crate::{clock, outbox::Outbox, turn::Turn};

/// Peers that get each chain head.
const WITNESSES: usize = 2;
/// Number of the choice of witnesses; permits use the ones below it.
const HEADS: u64 = 4;

/// Owner of the section about the audit log.
#[derive(Debug)]
pub struct Controller {
    pen: WriteToken<Chain>,
}

fn export(line: Result<Line, tsw_audit::Error>) -> Option<Line> {
    let line = line.ok()?;
    let text = line.to_json().ok()?;
    emit(Event::Audit, &[("line", &text)]);
    Some(line)
}

impl Controller {
    /// Takes the pen.
    #[must_use]
    pub const fn new(pen: WriteToken<Chain>) -> Self {
        Self { pen }
    }

    /// Adds a line and exports it through the log.
    pub fn record(&self, board: &mut Board, event: &str, fields: &[(&str, &str)]) -> Option<Line> {
        let fields = fields
            .iter()
            .map(|(key, value)| ((*key).to_owned(), (*value).into()))
            .collect();
        let millis = clock::unix_micros() / 1_000;
        export(board.audit.write(&self.pen).append(millis, event, fields))
    }

    /// Writes a peer's chain head into the chain of this router.
    pub fn witness(&self, board: &mut Board, from: &host::Id, head: &Head) {
        if head.chain != *from {
            emit(
                Event::HeadRefused,
                &[("peer", from), ("chain", &head.chain)],
            );
            return;
        }
        let millis = clock::unix_micros() / 1_000;
        export(board.audit.write(&self.pen).append_peer_head(millis, head));
    }

    /// Sends the chain head to peers when it is due.
    pub fn tick(&self, turn: &mut Turn<'_>) {
        if let Some(head) = turn.board.audit.write(&self.pen).due_head(turn.now) {
            send(turn.board, turn.out, &head);
        }
    }

    /// Sends the last chain head to peers.
    pub fn close(&self, turn: &mut Turn<'_>) {
        let head = turn.board.audit.write(&self.pen).sign_head(turn.now);
        send(turn.board, turn.out, &head);
    }
}

/// Sends a head to its witnesses. They stay the same while they live, since a session to a peer that
/// is used less often than every few seconds would be opened anew for each head.
fn send(board: &Board, out: &mut Outbox, head: &Head) {
    let witnesses = board.fleet.witnesses(WITNESSES, HEADS);
    if witnesses.is_empty() {
        return;
    }
    for witness in &witnesses {
        out.send(&witness.host, Message::Head(head.clone()));
    }
    emit(Event::HeadSent, &[("seq", &head.seq)]);
}
