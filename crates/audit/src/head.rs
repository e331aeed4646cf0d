//! Signed heads of a chain.

use serde::{Deserialize, Serialize};
use tsw_base::host;

/// A signed statement of the last line of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The chain.
    pub chain: host::Id,
    /// Number of the last line.
    pub seq: u64,
    /// Hash of the last line, in hexadecimal.
    pub hash: String,
    /// Ed25519 signature over chain, number and hash, in hexadecimal.
    pub signature: String,
}
