//! One line of a chain.

use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
use tsw_base::host;

use crate::{canonical, Error};

/// Fields of a line, by name.
pub type Fields = Map<String, Value>;

/// Event of a line that holds a peer's [`Head`](crate::Head).
pub const HEAD_EVENT: &str = "head";

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
        let content = json!({
            "chain": self.chain,
            "seq": self.seq,
            "time": self.time,
            "prev": self.prev,
            "event": self.event,
            "fields": self.fields,
        });
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.prev.as_bytes());
        hasher.update(canonical::text(&content)?.as_bytes());
        Ok(hasher.finalize().to_hex().to_string())
    }

    /// Returns the line as canonical JSON, without a line end.
    ///
    /// # Errors
    ///
    /// Returns an error for fields without a canonical form.
    pub fn to_json(&self) -> Result<String, Error> {
        canonical::text(&serde_json::to_value(self)?)
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
