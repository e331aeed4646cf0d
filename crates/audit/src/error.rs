//! Why a record cannot be made or read.

/// Why a record cannot be made or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A field holds a number that is not an integer.
    #[error("a field holds a number that is not an integer")]
    Fraction,
    /// A field is nested too deeply.
    #[error("a field is nested too deeply")]
    Deep,
    /// The text is not JSON of the expected form.
    #[error("the record is not JSON of the expected form: {0}")]
    Form(#[from] serde_json::Error),
    /// The text is not a receipt.
    #[error("the text is not a receipt")]
    Receipt,
    /// The text is not the name of a chain.
    #[error("{0:?} does not name a chain; expected HOST@INCARNATION")]
    Chain(String),
    /// The private key cannot be read.
    #[error("the record key is not an Ed25519 private key in PEM form")]
    Key,
    /// The signature is missing, malformed or wrong.
    #[error("the signature is not that of {0}")]
    Signature(String),
    /// The auditor holds no public key of the host.
    #[error("no public key of host {0} is known")]
    Unknown(String),
}
