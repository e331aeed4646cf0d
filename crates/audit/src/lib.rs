//! The audit log: a tamper-evident record of the requests that were run, rejected or interrupted,
//! which can still be verified years later.
//!
//! - [`chain`]: [`Chain`], the hash chain that one router process writes.
//! - [`line`](mod@line): [`Line`], whose hash includes the hash of the previous line.
//! - [`head`]: [`Head`], a signed statement of the last line, which peers record in their chains;
//!   [`Receipt`], a signed statement of a single line, for a caller.
//! - [`key`]: [`Signer`] and [`PublicKeys`], the private key of a host and the public keys of all.
//! - [`verify`](mod@verify): finds the first missing, changed, reordered or forged line of a log.
//! - [`canonical`]: the JSON text that is hashed.
//!
//! The signature of a head covers all lines of the chain up to it. The lines after the last head
//! that reached a peer, at most a second's worth or 256, are protected only by receipts.
//!
//! # Example
//!
//! Two routers write chains, the second records a head of the first, and an auditor verifies the
//! log.
//!
//! ```
//! use serde_json::json;
//! use tsw_audit::{verify, Chain, Fields, FaultKind, PublicKeys, Receipt, Signer};
//! use tsw_base::{host, time::Timestamp};
//!
//! let mut keys = PublicKeys::default();
//! let mut start = |name: &str, secret: [u8; 32]| {
//!     let id = host::Id { host: name.parse().unwrap(), incarnation: host::Incarnation::new(1, 0) };
//!     let signer = Signer::from_bytes(&secret);
//!     keys.insert(id.host.clone(), signer.public_key());
//!     Chain::new(id, signer)
//! };
//! let (mut first, mut second) = (start("r1", [1; 32]), start("r2", [2; 32]));
//!
//! // A request was run. The router exports the line and gives the receipt to the caller.
//! let fields = Fields::from_iter([("team".to_owned(), json!("counter"))]);
//! let line = first.append(1_700_000_000_000, "completed", fields)?;
//! let receipt = first.receipt(&line).to_string();
//! let mut log = vec![line.to_json()?];
//!
//! // A head is due after a second. The router sends it to peers, which record it if it came from the
//! // host of the chain.
//! let head = first.due_head(Timestamp::from_micros(1_000_000)).expect("there is a new line");
//! assert_eq!(head.chain.host.as_str(), "r1");
//! log.push(second.append_peer_head(1_700_000_001_000, &head)?.to_json()?);
//!
//! // Later, an auditor verifies the exported lines.
//! let receipts: [Receipt; 1] = [receipt.parse()?];
//! let summary = verify::log(log.iter().map(String::as_str), &receipts, &keys)?;
//! assert_eq!((summary.lines, summary.heads, summary.receipts), (2, 1, 1));
//!
//! log[0] = log[0].replace("completed", "rejected");
//! let fault = verify::log(log.iter().map(String::as_str), &receipts, &keys).unwrap_err();
//! assert_eq!((fault.kind, fault.seq, fault.input_line), (FaultKind::Changed, 1, 1));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod canonical;
pub mod chain;
pub mod error;
pub mod head;
pub mod key;
pub mod line;
pub mod verify;

pub use chain::Chain;
pub use error::Error;
pub use head::{Head, Receipt};
pub use key::{PublicKeys, Signer};
pub use line::{Fields, Line};
pub use verify::{Fault, FaultKind, Summary};
