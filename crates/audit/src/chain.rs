//! The chain that one router process writes.

use tsw_base::{
    host,
    time::{Span, Tick},
};

use crate::{
    head::{Head, Receipt},
    key::Signer,
    line::{self, Fields, Line},
    Error,
};

/// Lines after which a head is due.
pub const HEAD_LINES: u64 = 256;

/// Time after which a head is due, if there are new lines.
pub const HEAD_PERIOD: Span = Span::from_secs(1);

/// The chain that one router process writes.
///
/// ```
/// use serde_json::json;
/// use tsw_audit::{Chain, Fields, Signer};
/// use tsw_base::{host, time::Tick};
///
/// let id = host::Id {
///     host: "r1".parse().unwrap(),
///     incarnation: host::Incarnation::new(1, 0),
/// };
/// let mut chain = Chain::new(id, Signer::from_bytes(&[7; 32]));
/// let fields: Fields = json!({ "team": "counter" }).as_object().cloned().unwrap();
/// let line = chain.append(1_000, "rejected", fields)?;
/// assert_eq!(line.seq, 1);
/// let head = chain.head(Tick::from_micros(2_000_000)).unwrap();
/// assert_eq!(head.hash, line.hash);
/// # Ok::<(), tsw_audit::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Chain {
    id: host::Id,
    signer: Signer,
    name: String,
    seq: u64,
    hash: String,
    unsigned: u64,
    signed_at: Tick,
}

impl Chain {
    /// Starts the chain of a router process.
    #[must_use]
    pub fn new(id: host::Id, signer: Signer) -> Self {
        let name = id.to_string();
        let hash = line::genesis(&name);
        Self {
            id,
            signer,
            name,
            seq: 0,
            hash,
            unsigned: 0,
            signed_at: Tick::ZERO,
        }
    }

    /// Appends a line; the caller exports it.
    ///
    /// # Errors
    ///
    /// Returns an error for fields without a canonical form; the chain is then unchanged.
    pub fn append(&mut self, unix_millis: u64, event: &str, fields: Fields) -> Result<Line, Error> {
        let mut line = Line {
            chain: self.name.clone(),
            seq: self.seq + 1,
            time: unix_millis,
            prev: self.hash.clone(),
            event: event.to_owned(),
            fields,
            hash: String::new(),
        };
        line.hash = line.digest()?;
        self.seq = line.seq;
        self.hash.clone_from(&line.hash);
        // A peer's head alone makes no head due, or idle routers would exchange heads for ever.
        if event != line::HEAD_EVENT {
            self.unsigned += 1;
        }
        Ok(line)
    }

    /// Appends the head of a peer's chain. The caller checks first that it came from that peer.
    ///
    /// # Errors
    ///
    /// None for heads that a peer can send.
    pub fn witness(&mut self, unix_millis: u64, head: &Head) -> Result<Line, Error> {
        self.append(unix_millis, line::HEAD_EVENT, head.to_fields())
    }

    /// Returns a signed head if one is due: after [`HEAD_LINES`] lines or [`HEAD_PERIOD`].
    pub fn head(&mut self, now: Tick) -> Option<Head> {
        let due = self.unsigned >= HEAD_LINES
            || (self.unsigned > 0 && now.since(self.signed_at) >= HEAD_PERIOD);
        due.then(|| self.sign(now))
    }

    /// Returns a signed head of the last line, due or not; for the end of the process.
    pub fn sign(&mut self, now: Tick) -> Head {
        self.unsigned = 0;
        self.signed_at = now;
        Head::sign(&self.signer, &self.id, self.seq, &self.hash)
    }

    /// Returns a signed receipt for a line of this chain.
    #[must_use]
    pub fn receipt(&self, line: &Line) -> Receipt {
        Receipt::sign(&self.signer, &self.id, line.seq, &line.hash)
    }
}
