//! Signed heads of a chain and signed receipts for single lines.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tsw_base::host;

use crate::{
    key::{PublicKeys, Signer},
    line::{self, Fields},
    Error,
};

/// A signed statement of the number and hash of the last line of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The chain.
    pub chain: host::Id,
    /// Number of the last line.
    pub seq: u64,
    /// Hash of the last line, in hexadecimal.
    pub hash: String,
    /// Ed25519 signature over kind, chain, number and hash, in hexadecimal.
    pub signature: String,
}

/// A signed statement that a line is part of a chain, given to the caller whose request the line
/// records.
///
/// Its text form has five parts separated by spaces: `receipt`, chain, number, hash, signature.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Receipt {
    /// The chain.
    pub chain: host::Id,
    /// Number of the line.
    pub seq: u64,
    /// Hash of the line, in hexadecimal.
    pub hash: String,
    /// Ed25519 signature over kind, chain, number and hash, in hexadecimal.
    pub signature: String,
}

/// Returns the text that is signed. It includes the kind, `head` or `receipt`, so that neither can
/// be passed off as the other.
fn signed_text(kind: &str, chain: &host::Id, seq: u64, hash: &str) -> String {
    format!("toucanswitch {kind} {chain} {seq} {hash}")
}

impl Head {
    pub(crate) fn sign(signer: &Signer, chain: &host::Id, seq: u64, hash: &str) -> Self {
        Self {
            chain: chain.clone(),
            seq,
            hash: hash.to_owned(),
            signature: signer.sign(&signed_text("head", chain, seq, hash)),
        }
    }

    /// Verifies the signature with the public key of the host that writes the chain.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownHost`] if `keys` has no key of the host, and
    /// [`Error::InvalidSignature`] if the signature does not match.
    pub fn verify(&self, keys: &PublicKeys) -> Result<(), Error> {
        let text = signed_text("head", &self.chain, self.seq, &self.hash);
        keys.verify(&self.chain.host, &text, &self.signature)
    }

    /// Returns the fields of a line that records this head in a peer's chain.
    pub(crate) fn to_fields(&self) -> Fields {
        let mut fields = Fields::new();
        fields.insert("chain".into(), json!(self.chain.to_string()));
        fields.insert("seq".into(), json!(self.seq));
        fields.insert("hash".into(), json!(self.hash));
        fields.insert("signature".into(), json!(self.signature));
        fields
    }

    /// Parses the head in the fields of a line. Returns `None` if a part is missing or malformed.
    pub(crate) fn from_fields(fields: &Fields) -> Option<Self> {
        let text = |key: &str| fields.get(key).and_then(Value::as_str);
        Some(Self {
            chain: line::parse_chain_id(text("chain")?).ok()?,
            seq: fields.get("seq")?.as_u64()?,
            hash: text("hash")?.to_owned(),
            signature: text("signature")?.to_owned(),
        })
    }
}

impl Receipt {
    pub(crate) fn sign(signer: &Signer, chain: &host::Id, seq: u64, hash: &str) -> Self {
        Self {
            chain: chain.clone(),
            seq,
            hash: hash.to_owned(),
            signature: signer.sign(&signed_text("receipt", chain, seq, hash)),
        }
    }

    /// Verifies the signature with the public key of the host that writes the chain.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownHost`] if `keys` has no key of the host, and
    /// [`Error::InvalidSignature`] if the signature does not match.
    pub fn verify(&self, keys: &PublicKeys) -> Result<(), Error> {
        let text = signed_text("receipt", &self.chain, self.seq, &self.hash);
        keys.verify(&self.chain.host, &text, &self.signature)
    }
}

impl fmt::Display for Receipt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            chain,
            seq,
            hash,
            signature,
        } = self;
        write!(f, "receipt {chain} {seq} {hash} {signature}")
    }
}

impl FromStr for Receipt {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parts: Vec<&str> = text.split(' ').collect();
        let ["receipt", chain, seq, hash, signature] = parts[..] else {
            return Err(Error::InvalidReceipt);
        };
        Ok(Self {
            chain: line::parse_chain_id(chain)?,
            seq: seq.parse().map_err(|_| Error::InvalidReceipt)?,
            hash: hash.to_owned(),
            signature: signature.to_owned(),
        })
    }
}
