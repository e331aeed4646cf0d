//! State that the controllers of the daemon share: a blackboard of sections with one owner each.
//!
//! All controllers can read every section. Only the owner of a section holds its [`WriteToken`] and
//! can write it.
//!
//! - [`Section`] and [`WriteToken`]: a part of the board, and the token that is required to write it.
//! - [`Board`]: the sections of the daemon, created together with their [`WriteTokens`].
//! - [`hosts`]: the host list.
//! - [`runs`]: runs of upstreams that have ended although the host list names them.
//! - [`configuration`]: the active configuration bundle.
//! - [`health`]: token latency of a service and its budgets for hedges and retries.
//!
//! # Example
//!
//! A program defines its own sections. Two controllers read the whole board, and each writes the
//! section whose token it holds.
//!
//! ```
//! use tsw_admit::{AdmissionControl, Refusal};
//! use tsw_base::{name::Team, time::Timestamp};
//! use tsw_board::{section, WriteToken, Section};
//! use tsw_health::AttemptBudget;
//!
//! struct Board {
//!     admission: Section<AdmissionControl>,
//!     retries: Section<AttemptBudget>,
//! }
//!
//! struct AdmissionController(WriteToken<AdmissionControl>);
//!
//! impl AdmissionController {
//!     fn admit(&self, board: &mut Board, team: &Team) -> Result<(), Refusal> {
//!         let deadline = Timestamp::from_micros(5_000_000);
//!         board.admission.write(&self.0).admit(Timestamp::ZERO, team, 1_000, deadline)
//!     }
//! }
//!
//! struct RetryController(WriteToken<AttemptBudget>);
//!
//! impl RetryController {
//!     /// Returns whether to retry: no request of the team waits and the budget allows it.
//!     fn allow(&self, board: &mut Board, team: &Team) -> bool {
//!         board.admission.waiting(team) == 0 && board.retries.write(&self.0).try_acquire()
//!     }
//! }
//!
//! let (admission, admission_token) = section(AdmissionControl::new(256, 16_000_000));
//! let (retries, retries_token) = section(AttemptBudget::new(10, 1));
//! let mut board = Board { admission, retries };
//! let (admission, retries) = (AdmissionController(admission_token), RetryController(retries_token));
//!
//! let team: Team = "north".parse()?;
//! assert!(retries.allow(&mut board, &team));
//! assert_eq!(admission.admit(&mut board, &team), Ok(()));
//! assert!(!retries.allow(&mut board, &team));
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

mod board;
pub mod configuration;
pub mod health;
pub mod hosts;
pub mod runs;
mod section;

pub use board::{
    AdmissionByService, Board, HealthByService, Homes, InitialState, LimitsByService, Queues,
    WriteTokens,
};
pub use section::{section, Section, WriteToken};
