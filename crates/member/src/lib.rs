//! Membership of the router fleet: the host list combined with probes between routers.
//!
//! Membership steers load and the choice of homes. No safety rule depends on it.
//!
//! - [`view`]: [`View`], the state machine; events in, commands out.
//! - [`event`]: the events and commands.
//! - [`choice`]: homes, configuration readers and witnesses that follow from a view.
//! - [`rendezvous`]: the hash that makes these choices.
//! - [`message`]: payloads of [`Ping`], [`Ack`] and [`Update`].
//! - [`timing`]: periods and limits.

pub mod choice;
pub mod event;
mod gossip;
pub mod message;
mod probe;
pub mod rendezvous;
pub mod timing;
pub mod view;

pub use event::{Change, Command, Event, Listed};
pub use message::{Ack, Ping, State, Update};
pub use timing::Timing;
pub use view::View;
