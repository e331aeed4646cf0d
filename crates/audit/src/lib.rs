//! The audit log: what was run, rejected or interrupted, in a form that can be checked years later.
//!
//! - [`chain`]: [`Chain`], written by one router process.
//! - [`line`](mod@line): [`Line`], hashed with the line before it.
//! - [`head`]: [`Head`], a signed statement that peers write into their chains; [`Receipt`], one for
//!   a caller.
//! - [`key`]: [`Signer`] and [`Keys`].
//! - [`verify`]: finds the first missing, changed, reordered or forged line.
//! - [`canonical`]: the JSON text that is hashed.
//!
//! A signature covers all lines up to a head. Lines after the last head that reached a peer, at most
//! a second or 256 lines, are protected only by receipts.
//!
//! # Example
//!
//! Two routers write chains, a peer records the head of the other, and an auditor checks the log.
//!
//! ```
//! use serde_json::json;
//! use tsw_audit::{verify, Chain, Fields, Keys, Kind, Receipt, Signer};
//! use tsw_base::{host, time::Tick};
//!
//! let mut keys = Keys::default();
//! let mut start = |name: &str, secret: [u8; 32]| {
//!     let id = host::Id { host: name.parse().unwrap(), incarnation: host::Incarnation::new(1, 0) };
//!     let signer = Signer::from_bytes(&secret);
//!     keys.insert(id.host.clone(), signer.public());
//!     Chain::new(id, signer)
//! };
//! let (mut first, mut second) = (start("r1", [1; 32]), start("r2", [2; 32]));
//!
//! // A request was run. The embedder exports the line and gives the receipt to the caller.
//! let fields = Fields::from_iter([("team".to_owned(), json!("counter"))]);
//! let line = first.append(1_700_000_000_000, "completed", fields)?;
//! let receipt = first.receipt(&line).to_string();
//! let mut log = vec![line.to_json()?];
//!
//! // A head is due after a second. It goes to peers, which write it down if it came from the host
//! // of the chain.
//! let head = first.head(Tick::from_micros(1_000_000)).expect("there is a new line");
//! assert_eq!(head.chain.host.as_str(), "r1");
//! log.push(second.witness(1_700_000_001_000, &head)?.to_json()?);
//!
//! // Years later.
//! let receipts: [Receipt; 1] = [receipt.parse()?];
//! let summary = verify::log(log.iter().map(String::as_str), &receipts, &keys)?;
//! assert_eq!((summary.lines, summary.heads, summary.receipts), (2, 1, 1));
//!
//! log[0] = log[0].replace("completed", "rejected");
//! let fault = verify::log(log.iter().map(String::as_str), &receipts, &keys).unwrap_err();
//! assert_eq!((fault.kind, fault.seq, fault.at), (Kind::Changed, 1, 1));
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
pub use key::{Keys, Signer};
pub use line::{Fields, Line};
pub use verify::{Fault, Kind, Summary};
