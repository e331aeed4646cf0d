//! The lines of a chain and their canonical JSON.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tsw_base::host;

use crate::{canonical, Error};

/// Fields of a line: values by name.
pub type Fields = Map<String, Value>;

/// Event of a line that records a peer's [`Head`](crate::Head).
pub const HEAD_EVENT: &str = "head";

/// Size of the canonical text of a typical line, used as the initial buffer capacity.
const TYPICAL_LINE_BYTES: usize = 512;

/// One line of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The chain, as `HOST@INCARNATION`.
    pub chain: String,
    /// Number of the line in its chain, from 1.
    pub seq: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub time: u64,
    /// Hash of the previous line, in hexadecimal; [`genesis_hash`] of the chain in the first line.
    pub prev: String,
    /// Name of the event.
    pub event: String,
    /// Details of the event.
    pub fields: Fields,
    /// Hash of this line, in hexadecimal.
    pub hash: String,
}

impl Line {
    /// Computes the hash of the line: BLAKE3 over the previous hash and the canonical text without
    /// `hash`.
    ///
    /// # Errors
    ///
    /// Returns an error for fields without a canonical form.
    pub fn digest(&self) -> Result<String, Error> {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.prev.as_bytes());
        hasher.update(self.canonical_text(false)?.as_bytes());
        Ok(hasher.finalize().to_hex().to_string())
    }

    /// Returns the line as canonical JSON, without a line end.
    ///
    /// # Errors
    ///
    /// Returns an error for fields without a canonical form.
    pub fn to_json(&self) -> Result<String, Error> {
        self.canonical_text(true)
    }

    /// Returns the canonical text of the line, with or without its hash.
    ///
    /// Each request writes two lines, so this writes the members directly in the order of their
    /// keys instead of converting a copy of the line into a [`Value`].
    fn canonical_text(&self, with_hash: bool) -> Result<String, Error> {
        let mut out = String::with_capacity(TYPICAL_LINE_BYTES);
        out.push_str("{\"chain\":");
        canonical::write_string(&self.chain, &mut out)?;
        out.push_str(",\"event\":");
        canonical::write_string(&self.event, &mut out)?;
        out.push_str(",\"fields\":");
        canonical::write_object(&self.fields, 1, &mut out)?;
        if with_hash {
            out.push_str(",\"hash\":");
            canonical::write_string(&self.hash, &mut out)?;
        }
        out.push_str(",\"prev\":");
        canonical::write_string(&self.prev, &mut out)?;
        out.push_str(&format!(",\"seq\":{},\"time\":{}}}", self.seq, self.time));
        Ok(out)
    }

    /// Parses a line. Its hash is not checked.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidJson`] if the text is not JSON or its members are not those of a
    /// line.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(text)?)
    }
}

/// Returns the previous hash of the first line of a chain: BLAKE3 of the chain's identifier.
#[must_use]
pub fn genesis_hash(chain: &str) -> String {
    blake3::hash(chain.as_bytes()).to_hex().to_string()
}

/// Parses the identifier of a chain, whose incarnation is in hexadecimal.
///
/// # Errors
///
/// Returns [`Error::InvalidChainId`] for anything but `HOST@INCARNATION`.
///
/// ```
/// use tsw_audit::line;
///
/// let id = line::parse_chain_id("r1@20007")?;
/// assert_eq!(id.to_string(), "r1@20007");
/// # Ok::<(), tsw_audit::Error>(())
/// ```
pub fn parse_chain_id(text: &str) -> Result<host::Id, Error> {
    let invalid = || Error::InvalidChainId(text.to_owned());
    let (host, incarnation) = text.split_once('@').ok_or_else(invalid)?;
    let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| invalid())?;
    Ok(host::Id {
        host: host.parse().map_err(|_| invalid())?,
        incarnation: host::Incarnation::new(incarnation >> 16, (incarnation & 0xffff) as u16),
    })
}
