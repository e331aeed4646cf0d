//! Payloads of the messages between owners, witnesses, survivors and the routers that forward
//! calls.
//!
//! They are encoded with postcard, which writes no names: the order and types of fields and
//! variants are part of the format.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tsw_base::{host, time};

use crate::permit;

/// SHA-256 digest of the method, path, content type and body of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Digest(pub [u8; 32]);

/// How a call ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum End {
    /// The response of the upstream is complete.
    Complete,
    /// No byte of the call reached an upstream, and none ever will for this key.
    NotRun,
    /// The call may have been run.
    Unknown,
}

/// The final response of a key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Response {
    /// How the call ended.
    pub end: End,
    /// HTTP status for the caller.
    pub status: u16,
    /// Machine-readable reason; empty for a complete call.
    pub code: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body for the caller.
    pub body: Arc<[u8]>,
}

/// Owner to witness: the owner intends to run a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// The key.
    pub key: permit::Key,
    /// Digest of the request.
    pub digest: Digest,
}

/// Witness to owner: the reply to an [`Intent`] or an [`Outcome`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WitnessReply {
    /// The key.
    pub key: permit::Key,
    /// The witness that answers.
    pub witness: host::Id,
    /// Whether the witness recorded the intent or the outcome.
    pub verdict: Verdict,
}

/// How a witness handled an [`Intent`] or an [`Outcome`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// The intent is recorded.
    Accepted,
    /// The final response is recorded.
    Recorded,
    /// The key is sealed; it must not run.
    Sealed,
    /// The permit names another incarnation of this host; the key must not run.
    Restarted,
    /// The permit is so old that its records may have been dropped; the key must not run.
    Forgotten,
    /// The table is full; the key must not run.
    Full,
}

/// Survivor to witness: a request to refuse later intents for a key and to return its record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seal {
    /// Number that identifies the call at the survivor; copied into [`Sealed`].
    pub ticket: u64,
    /// The key.
    pub key: permit::Key,
    /// Digest of the request.
    pub digest: Digest,
}

/// Witness to survivor: the reply to a [`Seal`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sealed {
    /// Copied from the [`Seal`].
    pub ticket: u64,
    /// The witness that answers.
    pub witness: host::Id,
    /// What the witness knows of the key.
    pub finding: Finding,
}

/// What a witness knows of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Finding {
    /// The witness held no intent and will refuse later ones: the call was not run and never will
    /// be.
    Sealed,
    /// The witness holds the final response.
    Done(Response),
    /// The witness holds an intent without a response.
    Intended,
    /// The witness holds an intent or a response for a different request under the same key.
    Conflict,
    /// The witness restarted, dropped its records or has no room for a seal.
    Unknown,
}

/// Owner to witness: the final response of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// The key.
    pub key: permit::Key,
    /// Digest of the request.
    pub digest: Digest,
    /// The response.
    pub response: Response,
}

/// Entry router (the one that the caller is connected to) to owner: a call under a permit of that
/// owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forward {
    /// Number that the entry router chose for the call; copied into [`Answer`].
    pub ticket: u64,
    /// The key.
    pub key: permit::Key,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path relative to the base path of the service, with the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Time left until the deadline of the call.
    pub remaining: time::Span,
    /// Cost hint in tokens; 0 when absent.
    pub cost_hint: u32,
    /// The caller's request identifier.
    pub request_id: Arc<str>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// Owner to entry router: the state or the result of a forwarded call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Copied from the [`Forward`].
    pub ticket: u64,
    /// The state or the result.
    pub reply: Reply,
}

/// An owner's reply to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The owner accepted the call; the final response follows.
    Pending,
    /// The final response, of this call or of an earlier call with the same key.
    Final(Response),
    /// The key was already used for a different request; this request was not run.
    Conflict,
    /// This process is not the owner named by the permit.
    NotOwner,
}
