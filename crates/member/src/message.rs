//! Payloads of the messages between routers that carry membership.

use serde::{Deserialize, Serialize};
use tsw_base::{host, name};

/// What a router believes about a host.
///
/// The order is that of precedence between statements of the same incarnation and refutation: a
/// later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// It runs and takes new work.
    Alive,
    /// It runs and finishes its work, but takes no new work.
    Leaving,
    /// It did not answer probes and has not yet refuted the suspicion.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
}

/// A statement about one host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Update {
    /// The run of the router process that the statement is about.
    pub id: host::Id,
    /// Failure domain of the host.
    pub domain: name::Domain,
    /// Number of refutations by that run. Only the run itself raises it.
    pub refutation: u32,
    /// The stated state.
    pub state: State,
}

/// A probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// Returned by the [`Ack`].
    pub nonce: u64,
    /// Revision of the bundle that the sender has in force.
    pub bundle: u64,
    /// Revision of the sender's host list.
    pub hosts: u64,
    /// The sender's statement about itself.
    pub sender: Update,
    /// Recent statements about other hosts, and the sender's view of the receiver unless alive.
    pub updates: Vec<Update>,
}

/// The answer to a [`Ping`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The number in the [`Ping`].
    pub nonce: u64,
    /// Revision of the bundle that the sender has in force.
    pub bundle: u64,
    /// Revision of the sender's host list.
    pub hosts: u64,
    /// The sender's statement about itself.
    pub sender: Update,
    /// Recent statements about other hosts.
    pub updates: Vec<Update>,
}
