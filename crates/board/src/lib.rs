//! The blackboard: one section for each controller.
//!
//! All controllers read every section. Only the owner of a section has the [`Pen`] to write it.
//!
//! - [`Section`] and [`Pen`]: a part of the board and the right to write it.
//! - [`Board`]: the sections of the daemon, made together with their [`Pens`].
//! - [`hosts`]: the host list.
//! - [`configuration`]: the bundle in force.
//! - [`health`]: pace of a service and its budgets.

mod board;
pub mod configuration;
pub mod health;
pub mod hosts;
mod section;

pub use board::{AllLimits, Board, Gates, Homes, Pens, Pulses, Queues, Start};
pub use section::{section, Pen, Section};
