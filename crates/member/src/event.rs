//! The events that a view handles and the commands that it returns.

use tsw_base::{host, name};

use crate::message::{Ack, Ping, State};

/// A router in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRouter {
    /// Name of the host.
    pub host: name::Host,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// An input of a view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The routers of the host list in use. Which list that is has been decided (see [`crate::sequence`]).
    Hosts {
        /// Revision of the list.
        revision: u64,
        /// The routers in the list.
        hosts: Vec<ListedRouter>,
    },
    /// A peer opened a session; its certificate proved the host name.
    Hello {
        /// The peer.
        id: host::Id,
        /// Its failure domain.
        domain: name::Domain,
    },
    /// The session with a peer failed. The peer is probed at once.
    SessionFailed {
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
    /// This router put another bundle into force.
    Bundle {
        /// Its revision.
        revision: u64,
    },
    /// This router takes no new work from now on.
    Leave,
    /// A timer event. Must be delivered at least every 50 ms.
    Tick,
}

/// An action that a view requests from its caller.
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
    /// The fleet knows a later incarnation of this host, which has ended, so peers ignore this process. This happens
    /// after the host's clock was set back; the process must restart as a later incarnation than that.
    Superseded {
        /// The later incarnation.
        by: host::Incarnation,
    },
    /// Fetch the newer bundle or host list that a peer has.
    FetchNewer {
        /// The peer.
        peer: name::Host,
        /// Revision of its bundle.
        bundle: u64,
        /// Revision of its host list.
        hosts: u64,
    },
}

/// A change of a peer's state. A restart yields two changes: the old incarnation becomes dead and
/// the new one alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The peer.
    pub id: host::Id,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its new state.
    pub state: State,
}
