//! The blackboard: one section for each controller.
//!
//! All controllers read every section. Only the owner of a section has the [`Pen`] to write it.
//!
//! - [`Section`] and [`Pen`]: a part of the board and the right to write it.
//! - [`Board`]: the sections of the daemon, made together with their [`Pens`].
//! - [`hosts`]: the host list.
//! - [`configuration`]: the bundle in force.
//! - [`health`]: pace of a service and its budgets.
//!
//! # Example
//!
//! A program with sections of its own. Two controllers read the whole board, and each writes the one
//! section that it holds the pen of.
//!
//! ```
//! use tsw_admit::{AdmissionControl, Refusal};
//! use tsw_base::{name::Team, time::Tick};
//! use tsw_board::{section, Pen, Section};
//! use tsw_health::Budget;
//!
//! struct Board {
//!     gate: Section<AdmissionControl>,
//!     retries: Section<Budget>,
//! }
//!
//! struct Admission(Pen<AdmissionControl>);
//!
//! impl Admission {
//!     fn admit(&self, board: &mut Board, team: &Team) -> Result<(), Refusal> {
//!         let deadline = Tick::from_micros(5_000_000);
//!         board.gate.write(&self.0).admit(Tick::ZERO, team, 1_000, deadline)
//!     }
//! }
//!
//! struct Retries(Pen<Budget>);
//!
//! impl Retries {
//!     /// Allows a retry while nothing waits and the budget lasts.
//!     fn allow(&self, board: &mut Board, team: &Team) -> bool {
//!         board.gate.waiting(team) == 0 && board.retries.write(&self.0).try_withdraw()
//!     }
//! }
//!
//! let (gate, gate_pen) = section(AdmissionControl::new(256, 16_000_000));
//! let (retries, retries_pen) = section(Budget::new(10, 1));
//! let mut board = Board { gate, retries };
//! let (admission, controller) = (Admission(gate_pen), Retries(retries_pen));
//!
//! let team: Team = "north".parse()?;
//! assert!(controller.allow(&mut board, &team));
//! assert_eq!(admission.admit(&mut board, &team), Ok(()));
//! assert!(!controller.allow(&mut board, &team));
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

mod board;
pub mod configuration;
pub mod health;
pub mod hosts;
mod section;

pub use board::{AdmissionByService, AllLimits, Board, Homes, Pens, Pulses, Queues, Start};
pub use section::{section, Pen, Section};
