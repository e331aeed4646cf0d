//! Payloads of the messages between owners, witnesses and survivors.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tsw_base::{host, time};

use crate::permit;

/// Digest of a request: method, path, content type and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Digest(pub [u8; 32]);

/// How a call ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum End {
    /// The upstream answered in full.
    Complete,
    /// No byte reached an upstream, and none ever will for this key.
    NotRun,
    /// It may have been run.
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
pub struct Note {
    /// The key.
    pub key: permit::Key,
    /// Digest of the request.
    pub digest: Digest,
}

/// Witness to owner: what became of an intent or an outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Noted {
    /// The key.
    pub key: permit::Key,
    /// The witness that answers.
    pub witness: host::Id,
    /// What became of it.
    pub verdict: Verdict,
}

/// A witness's answer to [`Note`] and [`Outcome`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// The intent is recorded.
    Accepted,
    /// The final response is recorded.
    Recorded,
    /// The key is sealed; it must not run.
    Sealed,
    /// The permit names another incarnation of this host; it must not run.
    Restarted,
    /// The permit is so old that its records may have been dropped; it must not run.
    Forgotten,
    /// The table is full; it must not run.
    Full,
}

/// Survivor to witness: reject a later intent for a key, and say what is known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seal {
    /// Returned by [`Sealed`].
    pub ticket: u64,
    /// The key.
    pub key: permit::Key,
    /// Digest of the request.
    pub digest: Digest,
}

/// Witness to survivor: what it knows of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sealed {
    /// The number in the [`Seal`].
    pub ticket: u64,
    /// The witness that answers.
    pub witness: host::Id,
    /// What it knows.
    pub finding: Finding,
}

/// What a witness knows of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Finding {
    /// It held no intent and will reject a later one: the call was not run and never will be.
    Sealed,
    /// It holds the final response.
    Done(Response),
    /// It holds an intent without a response.
    Intended,
    /// It holds an intent or a response for a different request under the same key.
    Conflict,
    /// It restarted, dropped its records or has no room for a seal.
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

/// Entry router to owner: a call under a permit of that owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forward {
    /// Returned by [`Answer`]; chosen by the entry router.
    pub ticket: u64,
    /// The key.
    pub key: permit::Key,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path below the service's base, with the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Time left until the deadline.
    pub remaining: time::Span,
    /// Cost hint in tokens; 0 when absent.
    pub cost_hint: u32,
    /// The caller's request identifier.
    pub request_id: Arc<str>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// Owner to entry router: news of a forwarded call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The number in the [`Forward`].
    pub ticket: u64,
    /// The news.
    pub reply: Reply,
}

/// What an owner says about a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The call is taken; the response follows.
    Pending,
    /// The final response, now or from an earlier call with the same key.
    Final(Response),
    /// The key was used for a different request; this one was not run.
    Conflict,
    /// This process is not the owner named by the permit.
    Stranger,
}
