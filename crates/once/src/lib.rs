//! Runs each non-idempotent call at most once.
//!
//! A caller first gets a permit from a router, its owner, and derives an idempotency key from it.
//! The owner runs the key only after every witness of the permit, a peer, has accepted its intent.
//! If the owner fails, another router, the survivor, asks the witnesses to seal the key. A witness
//! that sealed a key refuses later intents for it, so the survivor can answer that the call was not
//! run.
//!
//! - [`permit`]: permits, idempotency keys, [`permit::Issuer`] and [`permit::Signer`].
//! - [`owner`]: the owner's table; dispatches a key after all witnesses accepted it.
//! - [`witness`]: a witness's table; accepts an intent or seals a key, never both.
//! - [`survivor`]: calls that are forwarded to their owner, and decided by the witnesses if it
//!   fails.
//! - [`entry`]: the states of a key at its owner, and [`entry::Run`], the proof that it may be run.
//! - [`message`]: payloads of the messages between these roles.
//! - [`quota`]: limits of the tables.
//! - [`response`]: final responses that this crate generates.
//!
//! Safety does not depend on clocks, membership or pauses. The owner's clock alone decides whether
//! a permit has expired.
//!
//! # Examples
//!
//! An owner runs a call after both witnesses of its permit accepted the intent:
//!
//! ```
//! use std::collections::{HashMap, VecDeque};
//! use tsw_base::{host, time::{Span, Timestamp}};
//! use tsw_once::{owner, permit, witness, Digest, End, Limits, Reply, Response};
//!
//! let incarnation = host::Incarnation::new(1, 0);
//! let id = |host: &str| host::Id { host: host.parse().unwrap(), incarnation };
//! let (now, keep) = (Timestamp::ZERO, Span::from_secs(7_200));
//! let mut owner = owner::Table::new(id("r1"), owner::Timing::default(), Limits::default());
//! let witness = |host| (id(host), witness::Table::new(id(host), keep, Limits::default()));
//! let mut witnesses = HashMap::from(["r2", "r3"].map(witness));
//!
//! // The caller gets a permit and derives a key. A key must be verified before a table handles it.
//! let signer = permit::Signer::new([7; 32]);
//! let mut issuer = permit::Issuer::new(signer.clone(), id("r1"), Span::from_secs(300));
//! let (team, service) = ("counter".parse()?, "pickups".parse()?);
//! let permit = issuer.issue(now, 1_000, &team, &service, vec![id("r2"), id("r3")]);
//! let key: permit::Key = format!("{permit}.first").parse()?;
//! signer.verify(&key, &team, &service)?;
//!
//! let call = owner::Event::Call { ticket: 1, key, digest: Digest([1; 32]) };
//! let mut commands = VecDeque::from(owner.handle(now, call));
//! let mut replies = Vec::new();
//! while let Some(command) = commands.pop_front() {
//!     let from = id("r1");
//!     let (to, event) = match command {
//!         owner::Command::Intent { to, intent } => (to, witness::Event::Intent { from, intent }),
//!         owner::Command::Outcome { to, outcome } => (to, witness::Event::Outcome { from, outcome }),
//!         owner::Command::Dispatch { run } => {
//!             // Send the call to the upstream here. No other `Dispatch` follows for this key.
//!             let (code, content_type, body) = ("".into(), "".into(), (*b"booked").into());
//!             let end = End::Complete;
//!             let response = Response { end, status: 200, code, content_type, body };
//!             commands.extend(owner.handle(now, owner::Event::Finished { run, response }));
//!             continue;
//!         }
//!         owner::Command::Reply { reply, .. } => {
//!             replies.push(reply);
//!             continue;
//!         }
//!     };
//!     for command in witnesses.get_mut(&to).unwrap().handle(now, event) {
//!         let witness::Command::WitnessReply { reply, .. } = command else { continue };
//!         commands.extend(owner.handle(now, owner::Event::WitnessReply { from: to.clone(), reply }));
//!     }
//! }
//! assert_eq!(replies[0], Reply::Pending);
//! assert!(matches!(&replies[1], Reply::Final(response) if response.end == End::Complete));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! Another router receives a call whose owner has failed. A witness without a record of the key
//! seals it, which makes "not run" certain:
//!
//! ```
//! use tsw_base::{host, time::{Span, Timestamp}};
//! use tsw_once::{permit, survivor, witness, Digest, Limits, Reply, Response};
//!
//! let incarnation = host::Incarnation::new(1, 0);
//! let id = |host: &str| host::Id { host: host.parse().unwrap(), incarnation };
//! let (now, keep) = (Timestamp::ZERO, Span::from_secs(7_200));
//! let mut witness = witness::Table::new(id("r2"), keep, Limits::default());
//! let mut survivor = survivor::Table::new(survivor::Timing::default());
//!
//! let signer = permit::Signer::new([7; 32]);
//! let mut issuer = permit::Issuer::new(signer, id("r1"), Span::from_secs(300));
//! let (team, service) = ("counter".parse()?, "pickups".parse()?);
//! let permit = issuer.issue(now, 1_000, &team, &service, vec![id("r2")]);
//! let key: permit::Key = format!("{permit}.second").parse()?;
//!
//! let (digest, deadline) = (Digest([1; 32]), now + Span::from_secs(5));
//! let call = survivor::Event::Call { ticket: 2, key, digest, deadline };
//! let commands = survivor.handle(now, call);
//! assert_eq!(commands, [survivor::Command::Forward { to: id("r1"), ticket: 2 }]);
//!
//! // Membership reports that the owner's process ended.
//! let mut replies = Vec::new();
//! for command in survivor.handle(now, survivor::Event::ProcessEnded { id: id("r1") }) {
//!     let survivor::Command::Seal { seal, .. } = command else { continue };
//!     for command in witness.handle(now, witness::Event::Seal { from: id("r4"), seal }) {
//!         let witness::Command::Sealed { sealed, .. } = command else { continue };
//!         replies.extend(survivor.handle(now, survivor::Event::Sealed { from: id("r2"), sealed }));
//!     }
//! }
//! let reply = Reply::Final(Response::not_run("sealed"));
//! assert_eq!(replies, [survivor::Command::Reply { ticket: 2, reply }]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod entry;
pub mod message;
pub mod owner;
pub mod permit;
pub mod quota;
pub mod response;
pub mod survivor;
pub mod witness;

pub use entry::Run;
pub use message::{
    Answer, Digest, End, Finding, Forward, Intent, Outcome, Reply, Response, Seal, Sealed, Verdict,
    WitnessReply,
};
pub use permit::{Key, Permit};
pub use quota::Limits;
