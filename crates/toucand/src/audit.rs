//! Controller of the audit log: appends lines and exchanges chain heads with peers.

use tsw_audit::{Chain, Head, Line};
use tsw_base::host;
use tsw_board::{Board, WriteToken};
use tsw_event::{emit, Event};
use tsw_wire::message::Message;

use crate::{clock, outbox::Outbox, turn::Turn};

/// Number of peers that receive each chain head.
const WITNESS_COUNT: usize = 2;
/// Index of the witness selection for chain heads; permits use the lower indices.
const HEAD_WITNESS_SELECTION: u64 = 4;

/// Writes the audit section of the blackboard.
#[derive(Debug)]
pub struct Controller {
    token: WriteToken<Chain>,
}

fn emit_line(line: Result<Line, tsw_audit::Error>) -> Option<Line> {
    let line = line.ok()?;
    let text = line.to_json().ok()?;
    emit(Event::Audit, &[("line", &text)]);
    Some(line)
}

impl Controller {
    /// Creates the controller with the write token of its section.
    #[must_use]
    pub const fn new(token: WriteToken<Chain>) -> Self {
        Self { token }
    }

    /// Appends a line to the chain and writes it to the log.
    pub fn record(&self, board: &mut Board, event: &str, fields: &[(&str, &str)]) -> Option<Line> {
        let fields = fields
            .iter()
            .map(|(key, value)| ((*key).to_owned(), (*value).into()))
            .collect();
        let millis = clock::unix_micros() / 1_000;
        emit_line(board.audit.write(&self.token).append(millis, event, fields))
    }

    /// Records a peer's chain head in this router's chain.
    pub fn record_peer_head(&self, board: &mut Board, from: &host::Id, head: &Head) {
        if head.chain != *from {
            emit(
                Event::HeadRefused,
                &[("peer", from), ("chain", &head.chain)],
            );
            return;
        }
        let millis = clock::unix_micros() / 1_000;
        emit_line(
            board
                .audit
                .write(&self.token)
                .append_peer_head(millis, head),
        );
    }

    /// Signs and sends the chain head to witnesses when it is due.
    pub fn tick(&self, turn: &mut Turn<'_>) {
        if let Some(head) = turn.board.audit.write(&self.token).due_head(turn.now) {
            send_head(turn.board, turn.out, &head);
        }
    }

    /// Signs and sends the final chain head to witnesses.
    pub fn send_final_head(&self, turn: &mut Turn<'_>) {
        let head = turn.board.audit.write(&self.token).sign_head(turn.now);
        send_head(turn.board, turn.out, &head);
    }
}

/// Sends a head to its witnesses. The same witnesses are used while they are alive: a session to a
/// peer closes after a few idle seconds, so changing witnesses would open a session for each head.
fn send_head(board: &Board, out: &mut Outbox, head: &Head) {
    let witnesses = board.fleet.witnesses(WITNESS_COUNT, HEAD_WITNESS_SELECTION);
    if witnesses.is_empty() {
        return;
    }
    for witness in &witnesses {
        out.send(&witness.host, Message::Head(head.clone()));
    }
    emit(Event::HeadSent, &[("seq", &head.seq)]);
}
