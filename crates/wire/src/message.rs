//! All messages between routers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tsw_base::{host, name};
use tsw_grant::message as grant;
use tsw_share::message as share;

/// Protocol version. Routers with different versions refuse each other's sessions.
pub const VERSION: u16 = 1;

/// A message between routers.
///
/// The order of the variants is part of the protocol. New variants must be added at the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Identification of the sender, the first message of a session.
    Hello(Hello),
    /// A probe.
    Ping(tsw_member::Ping),
    /// The answer to a probe.
    Ack(tsw_member::Ack),
    /// Numbers of waiting requests. Sent by an entry router to a home.
    Demand(grant::Demand),
    /// Permission to use a slot. Sent by a home to an entry router.
    Grant(grant::Grant),
    /// State reports of grants. Sent by an entry router to a home.
    Release(grant::Release),
    /// All grants in use. Sent by an entry router to a home.
    Holdings(grant::Holdings),
    /// Service that teams received. Sent by a home to the other homes of the service.
    Served(share::Served),
    /// Request for a newer bundle or host list.
    Fetch(Fetch),
    /// A configuration bundle.
    Bundle(Bundle),
    /// The upstreams that are leaving.
    Hosts(Hosts),
    /// Intent to run a call. Sent by an owner to a witness.
    Intent(tsw_once::Intent),
    /// Reply to an intent or an outcome. Sent by a witness to an owner.
    WitnessReply(tsw_once::WitnessReply),
    /// Request to refuse later intents of a key. Sent by a survivor to a witness.
    Seal(tsw_once::Seal),
    /// Reply to a seal: what the witness knows about a key. Sent by a witness to a survivor.
    Sealed(tsw_once::Sealed),
    /// Final response for a key. Sent by an owner to a witness.
    Outcome(tsw_once::Outcome),
    /// A call. Sent by an entry router to the owner of its permit.
    Forward(tsw_once::Forward),
    /// Reply to a forwarded call. Sent by an owner to an entry router.
    Answer(tsw_once::Answer),
    /// Findings about requests that crash upstreams.
    Findings(tsw_poison::Findings),
    /// A signed head of an audit log's hash chain.
    Head(tsw_audit::Head),
}

/// Identifies the router that opened a session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// Identity of the sender. The host must match the sender's certificate.
    pub id: host::Id,
    /// Failure domain of the sender.
    pub domain: name::Domain,
}

/// Requests the bundle and the host list if they are newer than those of the sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Revision of the sender's bundle, or 0 if it has none.
    pub bundle: u64,
    /// Revision of the sender's host list.
    pub hosts: u64,
}

/// The sender's bundle in the form that the configuration service stores.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bundle {
    /// Revision, or 0 if the sender has no bundle.
    pub revision: u64,
    /// Content. The receiver validates it again.
    pub content: Arc<[u8]>,
}

/// Upstreams that are leaving according to the sender's host list. Addresses are not sent, because
/// the platform tells each host which addresses it should use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hosts {
    /// Revision of the host list.
    pub revision: u64,
    /// Upstreams that are leaving.
    pub leaving: Vec<name::Upstream>,
}
