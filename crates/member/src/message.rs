//! Payloads of the membership messages between routers.

use serde::{Deserialize, Serialize};
use tsw_base::{host, name};

/// The state of a host from the view of a router.
///
/// The variants are in order of precedence: among updates with the same incarnation and
/// refutation, a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// It runs and accepts new work.
    Alive,
    /// It runs and finishes its work, but accepts no new work.
    Leaving,
    /// It did not answer probes and has not yet refuted the suspicion.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
}

/// A member update: the state of one host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Update {
    /// The router process that the update describes.
    pub id: host::Id,
    /// Failure domain of the host.
    pub domain: name::Domain,
    /// Number of refutations by that process. Only the process itself increments it.
    pub refutation: u32,
    /// State of the process.
    pub state: State,
}

/// A probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// Number that the [`Ack`] repeats.
    pub nonce: u64,
    /// Revision of the active bundle of the sender.
    pub bundle: u64,
    /// Revision of the sender's host list.
    pub hosts: u64,
    /// The sender's update about itself.
    pub sender: Update,
    /// Recent member updates about other hosts, and one about the receiver if the sender considers it
    /// suspect or dead.
    pub updates: Vec<Update>,
}

/// The answer to a [`Ping`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// Nonce of the [`Ping`].
    pub nonce: u64,
    /// Revision of the active bundle of the sender.
    pub bundle: u64,
    /// Revision of the sender's host list.
    pub hosts: u64,
    /// The sender's update about itself.
    pub sender: Update,
    /// Recent member updates about other hosts.
    pub updates: Vec<Update>,
}
