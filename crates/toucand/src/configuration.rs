//! Controller of the active configuration bundle.

use std::sync::Arc;

use tsw_board::{configuration::Configuration, Board, WriteToken};
use tsw_config::{adopt, bundle};
use tsw_event::{emit, Event};
use tsw_wire::message::Bundle;

/// Writes the configuration section of the blackboard.
#[derive(Debug)]
pub struct Controller {
    token: WriteToken<Configuration>,
    content: Arc<[u8]>,
    last_rejection: Option<(u64, String)>,
}

impl Controller {
    /// Creates the controller with the write token of its section.
    #[must_use]
    pub fn new(token: WriteToken<Configuration>) -> Self {
        Self {
            token,
            content: Arc::from([]),
            last_rejection: None,
        }
    }

    /// Returns the active bundle as a message for a peer; revision 0 if there is none.
    #[must_use]
    pub fn bundle_message(&self, board: &Board) -> Bundle {
        Bundle {
            revision: board.configuration.revision(),
            content: self.content.clone(),
        }
    }

    /// Parses a bundle that was read from `source` and activates it if its revision is newer. Returns
    /// whether it was activated.
    pub fn offer(
        &mut self,
        board: &mut Board,
        content: &[u8],
        source: &dyn std::fmt::Display,
    ) -> bool {
        let bundle = match bundle::Bundle::parse(content) {
            Ok(bundle) => bundle,
            Err(error) => {
                self.reject(board, source, &error.to_string());
                return false;
            }
        };
        let revision = bundle.revision;
        match board.configuration.write(&self.token).offer(bundle) {
            adopt::Outcome::Adopted => {
                self.content = Arc::from(content);
                emit(
                    Event::BundleAdopted,
                    &[("revision", &revision), ("source", source)],
                );
                true
            }
            adopt::Outcome::Unchanged => false,
            adopt::Outcome::Older { current } => {
                emit(
                    Event::BundleOlder,
                    &[
                        ("revision", &revision),
                        ("current", &current),
                        ("source", source),
                    ],
                );
                false
            }
            adopt::Outcome::Conflict { current, offered } => {
                emit(
                    Event::BundleConflict,
                    &[
                        ("revision", &revision),
                        ("current", &current),
                        ("offered", &offered),
                        ("source", source),
                    ],
                );
                false
            }
        }
    }

    /// Logs a rejected bundle once, although every read returns it again.
    fn reject(&mut self, board: &Board, source: &dyn std::fmt::Display, cause: &str) {
        let revision = board.configuration.revision();
        let reported = Some((revision, cause.to_owned()));
        if self.last_rejection != reported {
            emit(
                Event::BundleRejected,
                &[
                    ("current", &revision),
                    ("source", source),
                    ("cause", &cause),
                ],
            );
            self.last_rejection = reported;
        }
    }
}
