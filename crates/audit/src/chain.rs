//! The hash chain of audit lines that one router process writes.

use tsw_base::{
    host,
    time::{Span, Timestamp},
};

use crate::{
    head::{Head, Receipt},
    key::Signer,
    line::{self, Fields, Line},
    Error,
};

/// Number of new lines after which a head is due.
pub const HEAD_LINES: u64 = 256;

/// Time since the last head after which another is due, if there are new lines.
pub const HEAD_PERIOD: Span = Span::from_secs(1);

/// The hash chain of audit lines that one router process writes.
///
/// Only the number and hash of the last line are kept; the caller stores the lines.
///
/// ```
/// use serde_json::json;
/// use tsw_audit::{Chain, Fields, Signer};
/// use tsw_base::{host, time::Timestamp};
///
/// let id = host::Id {
///     host: "r1".parse().unwrap(),
///     incarnation: host::Incarnation::new(1, 0),
/// };
/// let mut chain = Chain::new(id, Signer::from_bytes(&[7; 32]));
/// let fields: Fields = json!({ "team": "counter" }).as_object().cloned().unwrap();
/// let line = chain.append(1_000, "rejected", fields)?;
/// assert_eq!(line.seq, 1);
/// let head = chain.due_head(Timestamp::from_micros(2_000_000)).unwrap();
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
    lines_since_head: u64,
    signed_at: Timestamp,
}

impl Chain {
    /// Creates the empty chain of a router process.
    #[must_use]
    pub fn new(id: host::Id, signer: Signer) -> Self {
        let name = id.to_string();
        let hash = line::genesis_hash(&name);
        Self {
            id,
            signer,
            name,
            seq: 0,
            hash,
            lines_since_head: 0,
            signed_at: Timestamp::ZERO,
        }
    }

    /// Creates the next line of the chain and returns it; the caller exports it.
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
        // A line with a peer's head does not count, or idle routers would exchange heads for ever.
        if event != line::HEAD_EVENT {
            self.lines_since_head += 1;
        }
        Ok(line)
    }

    /// Appends a line with the head of a peer's chain. The caller must first check that the head
    /// came from that peer.
    ///
    /// # Errors
    ///
    /// None in practice: the fields of a head always have a canonical form.
    pub fn append_peer_head(&mut self, unix_millis: u64, head: &Head) -> Result<Line, Error> {
        self.append(unix_millis, line::HEAD_EVENT, head.to_fields())
    }

    /// Returns a signed head if one is due: after [`HEAD_LINES`] new lines, or after
    /// [`HEAD_PERIOD`] if there is a new line.
    pub fn due_head(&mut self, now: Timestamp) -> Option<Head> {
        let due = self.lines_since_head >= HEAD_LINES
            || (self.lines_since_head > 0 && now.since(self.signed_at) >= HEAD_PERIOD);
        due.then(|| self.sign_head(now))
    }

    /// Returns a signed head of the last line, whether or not one is due. A router calls this when
    /// its process ends.
    pub fn sign_head(&mut self, now: Timestamp) -> Head {
        self.lines_since_head = 0;
        self.signed_at = now;
        Head::sign(&self.signer, &self.id, self.seq, &self.hash)
    }

    /// Returns a signed receipt for a line of this chain. Whether the line belongs to it is not
    /// checked.
    #[must_use]
    pub fn receipt(&self, line: &Line) -> Receipt {
        Receipt::sign(&self.signer, &self.id, line.seq, &line.hash)
    }
}
