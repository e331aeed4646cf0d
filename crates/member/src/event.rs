//! What a view reacts to and what it asks for.

use tsw_base::{host, name};

use crate::message::{Ack, Ping, State};

/// A router in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of the host.
    pub host: name::Host,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What a view reacts to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The routers of a host list. A revision that is not higher than the last is ignored.
    Hosts {
        /// Revision of the list.
        revision: u64,
        /// The routers in the list.
        hosts: Vec<Listed>,
    },
    /// A peer opened a session; its certificate proved the host name.
    Hello {
        /// The peer.
        id: host::Id,
        /// Its failure domain.
        domain: name::Domain,
    },
    /// The session with a peer failed. The peer is probed at once.
    Broken {
        /// The peer.
        host: name::Host,
    },
    /// A probe arrived.
    Ping {
        /// The peer, as the session's certificate names it.
        from: name::Host,
        /// The probe.
        ping: Ping,
    },
    /// The answer to a probe arrived.
    Ack {
        /// The peer, as the session's certificate names it.
        from: name::Host,
        /// The answer.
        ack: Ack,
    },
    /// This router has another bundle in force.
    Bundle {
        /// Its revision.
        revision: u64,
    },
    /// This router takes no new work from now on.
    Leave,
    /// Time passed. Needed at least every 50 ms.
    Tick,
}

/// What a view asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send a probe.
    Ping {
        /// The receiver.
        to: name::Host,
        /// The probe.
        ping: Ping,
    },
    /// Answer a probe.
    Ack {
        /// The receiver.
        to: name::Host,
        /// The answer.
        ack: Ack,
    },
    /// The state of a peer changed.
    Changed(Change),
    /// The fleet knows a later incarnation of this host, so this run is not heard. It happens after
    /// the host's clock was set back; the process has to take a later incarnation by a restart.
    Superseded {
        /// The later incarnation.
        by: host::Incarnation,
    },
    /// A peer has a newer bundle or host list: fetch it there.
    Behind {
        /// The peer.
        peer: name::Host,
        /// Revision of its bundle.
        bundle: u64,
        /// Revision of its host list.
        hosts: u64,
    },
}

/// A change of a peer's state. A restart is two changes: the old run is dead, the new one alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The run of the peer's process.
    pub id: host::Id,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its state from now on.
    pub state: State,
}
