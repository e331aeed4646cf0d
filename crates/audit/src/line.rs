//! One line of a chain.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tsw_base::host;

use crate::{canonical, Error};

/// Fields of a line, by name.
pub type Fields = Map<String, Value>;

/// Event of a line that holds a peer's [`Head`](crate::Head).
pub const HEAD_EVENT: &str = "head";

/// Bytes of the canonical text of a typical line.
const TEXT_BYTES: usize = 512;

/// One line of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The chain: host and incarnation as text.
    pub chain: String,
    /// Number of the line, from 1.
    pub seq: u64,
    /// Wall-clock time in milliseconds since 1970.
    pub time: u64,
    /// Hash of the line before, in hexadecimal; [`genesis`] for the first.
    pub prev: String,
    /// What happened.
    pub event: String,
    /// Details.
    pub fields: Fields,
    /// Hash of this line, in hexadecimal.
    pub hash: String,
}

impl Line {
    /// Returns the hash that the content of the line leads to.
    ///
    /// # Errors
    ///
    /// Returns an error for fields without a canonical form.
    pub fn digest(&self) -> Result<String, Error> {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.prev.as_bytes());
        hasher.update(self.canonical(false)?.as_bytes());
        Ok(hasher.finalize().to_hex().to_string())
    }

    /// Returns the line as canonical JSON, without a line end.
    ///
    /// # Errors
    ///
    /// Returns an error for fields without a canonical form.
    pub fn to_json(&self) -> Result<String, Error> {
        self.canonical(true)
    }

    /// Returns the canonical text of the line, with or without its hash. The members are written in
    /// the order of their keys without a copy of the line, because each request writes two lines.
    fn canonical(&self, with_hash: bool) -> Result<String, Error> {
        let mut out = String::with_capacity(TEXT_BYTES);
        out.push_str("{\"chain\":");
        canonical::write_text(&self.chain, &mut out)?;
        out.push_str(",\"event\":");
        canonical::write_text(&self.event, &mut out)?;
        out.push_str(",\"fields\":");
        canonical::write_object(&self.fields, 1, &mut out)?;
        if with_hash {
            out.push_str(",\"hash\":");
            canonical::write_text(&self.hash, &mut out)?;
        }
        out.push_str(",\"prev\":");
        canonical::write_text(&self.prev, &mut out)?;
        out.push_str(&format!(",\"seq\":{},\"time\":{}}}", self.seq, self.time));
        Ok(out)
    }

    /// Reads a line.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Form`] for anything but a line.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(text)?)
    }
}

/// Returns what the first line of a chain has as the hash of the line before.
#[must_use]
pub fn genesis(chain: &str) -> String {
    blake3::hash(chain.as_bytes()).to_hex().to_string()
}

/// Reads the name of a chain.
///
/// # Errors
///
/// Returns [`Error::Chain`] for anything but `HOST@INCARNATION`.
///
/// ```
/// use tsw_audit::line;
///
/// let id = line::chain_id("r1@20007")?;
/// assert_eq!(id.to_string(), "r1@20007");
/// # Ok::<(), tsw_audit::Error>(())
/// ```
pub fn chain_id(text: &str) -> Result<host::Id, Error> {
    let wrong = || Error::Chain(text.to_owned());
    let (host, number) = text.split_once('@').ok_or_else(wrong)?;
    let number = u64::from_str_radix(number, 16).map_err(|_| wrong())?;
    Ok(host::Id {
        host: host.parse().map_err(|_| wrong())?,
        incarnation: host::Incarnation::new(number >> 16, (number & 0xffff) as u16),
    })
}
