//! Permits and the idempotency keys made of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tsw_base::{host, name, time};

/// Names the only router that may run the calls whose keys start with it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Permit {
    /// The router that issued it and alone may run its keys.
    pub owner: host::Id,
    /// The peers that must all accept an intent before the owner runs a key. At most
    /// [`MAX_WITNESSES`].
    pub witnesses: Vec<host::Id>,
    /// The team that may use it.
    pub team: name::Team,
    /// The service that it is for.
    pub service: name::Service,
    /// Issue number, increasing within the owner's incarnation.
    pub number: u64,
    /// End of its lifetime, from the start of the owner's clock. Only the owner can compare it.
    pub expires: time::Span,
    /// HMAC-SHA-256 over the other fields.
    pub tag: [u8; 32],
}

/// Most witnesses of a permit.
pub const MAX_WITNESSES: usize = 2;

/// Longest suffix of a key, in bytes.
pub const MAX_SUFFIX: usize = 64;

/// An idempotency key: a permit and a suffix of the caller's choice.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    /// The permit.
    pub permit: Permit,
    /// Tells the keys of one permit apart.
    pub suffix: Arc<str>,
}
