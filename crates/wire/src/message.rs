//! Every message between routers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tsw_base::{host, name};
use tsw_grant::message as grant;
use tsw_share::message as share;

/// Version of the protocol. Routers of different versions refuse each other's sessions.
pub const VERSION: u16 = 1;

/// A message between routers.
///
/// The order of the variants is part of the protocol; new ones are added at the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// The first frame of a session.
    Hello(Hello),
    /// A probe.
    Ping(tsw_member::Ping),
    /// The answer to a probe.
    Ack(tsw_member::Ack),
    /// Waiting requests. Entry router to home.
    Demand(grant::Demand),
    /// Permission to use a slot. Home to entry router.
    Grant(grant::Grant),
    /// What became of grants. Entry router to home.
    Release(grant::Release),
    /// All grants in use. Entry router to home.
    Holdings(grant::Holdings),
    /// Service that teams received. Home to the other homes of the service.
    Served(share::Served),
    /// A request for a newer bundle or host list.
    Fetch(Fetch),
    /// A bundle.
    Bundle(Bundle),
    /// States of hosts.
    Hosts(Hosts),
    /// An intent. Owner to witness.
    Note(tsw_once::Note),
    /// What became of an intent. Witness to owner.
    Noted(tsw_once::Noted),
    /// A request to refuse a later intent. Survivor to witness.
    Seal(tsw_once::Seal),
    /// What is known of a key. Witness to survivor.
    Sealed(tsw_once::Sealed),
    /// The final response of a key. Owner to witness.
    Outcome(tsw_once::Outcome),
    /// A call. Entry router to the owner of its permit.
    Forward(tsw_once::Forward),
    /// News of a forwarded call. Owner to entry router.
    Answer(tsw_once::Answer),
    /// Findings about requests that crash upstreams.
    Suspect(tsw_poison::Findings),
    /// A signed chain head.
    Head(tsw_audit::Head),
}

/// Identifies the sender of a session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// The sender. Its host must match its certificate.
    pub id: host::Id,
    /// Failure domain of the sender.
    pub domain: name::Domain,
}

/// Asks for what is newer than the sender's state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Revision of the sender's bundle; 0 if it has none.
    pub bundle: u64,
    /// Revision of the sender's host list.
    pub hosts: u64,
}

/// The sender's bundle, in the form in which the configuration service holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bundle {
    /// Its revision; 0 if the sender has none.
    pub revision: u64,
    /// Its content, checked again by the receiver.
    pub content: Arc<[u8]>,
}

/// Which hosts are leaving according to the sender's host list. Addresses are not sent, because
/// the platform gives each host its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hosts {
    /// Revision of the host list.
    pub revision: u64,
    /// Upstreams that are leaving.
    pub leaving: Vec<name::Upstream>,
}
