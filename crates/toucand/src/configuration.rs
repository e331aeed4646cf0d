//! Controller of the bundle in force.

use std::sync::Arc;

use tsw_board::{configuration::Configuration, Board, WriteToken};
use tsw_config::{adopt, bundle};
use tsw_event::{emit, Event};
use tsw_wire::message::Bundle;

/// Owner of the section about the bundle.
#[derive(Debug)]
pub struct Controller {
    pen: WriteToken<Configuration>,
    content: Arc<[u8]>,
    rejected: Option<(u64, String)>,
}

impl Controller {
    /// Takes the pen.
    #[must_use]
    pub fn new(pen: WriteToken<Configuration>) -> Self {
        Self {
            pen,
            content: Arc::from([]),
            rejected: None,
        }
    }

    /// Returns the bundle in force for a peer; revision 0 if there is none.
    #[must_use]
    pub fn message(&self, board: &Board) -> Bundle {
        Bundle {
            revision: board.configuration.revision(),
            content: self.content.clone(),
        }
    }

    /// Offers a bundle as it was read from `source`. Returns whether it is in force now.
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
        match board.configuration.write(&self.pen).offer(bundle) {
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

    /// Reports a refused bundle once; readers see it again with every read.
    fn reject(&mut self, board: &Board, source: &dyn std::fmt::Display, cause: &str) {
        let revision = board.configuration.revision();
        let reported = Some((revision, cause.to_owned()));
        if self.rejected != reported {
            emit(
                Event::BundleRejected,
                &[
                    ("current", &revision),
                    ("source", source),
                    ("cause", &cause),
                ],
            );
            self.rejected = reported;
        }
    }
}
