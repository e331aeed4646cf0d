//! The error type of this crate.

/// Why a line, head, receipt or key cannot be created, parsed or verified.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A field holds a number that is not an integer.
    #[error("a field holds a number that is not an integer")]
    NotInteger,
    /// A field is nested more deeply than [`MAX_DEPTH`](crate::canonical::MAX_DEPTH).
    #[error("a field is nested too deeply")]
    TooDeep,
    /// The text is not JSON, or not that of a line.
    #[error("the record is not JSON of the expected form: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The text is not a receipt: the parts or their number are wrong.
    #[error("the text is not a receipt")]
    InvalidReceipt,
    /// The text is not the identifier of a chain.
    #[error("{0:?} does not name a chain; expected HOST@INCARNATION")]
    InvalidChainId(String),
    /// The text is not an Ed25519 private key in PEM form.
    #[error("the record key is not an Ed25519 private key in PEM form")]
    InvalidPrivateKey,
    /// The signature is malformed or does not match the public key of the host.
    #[error("the signature does not match the public key of host {0}")]
    InvalidSignature(String),
    /// The verifier has no public key of the host.
    #[error("no public key of host {0} is known")]
    UnknownHost(String),
}
