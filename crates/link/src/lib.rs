//! QUIC sessions with mutual TLS between routers.
//!
//! A router opens one connection to each peer that it has messages for and sends them on one
//! unidirectional stream; the peer's messages arrive on a connection that the peer opens. All
//! sockets and tasks run on the arbiter that calls [`Link::bind`].
//!
//! - [`tls`]: certificates of the fleet and the checks of a peer.
//! - [`Link`]: sends to peers and reports what arrives.
//! - [`Notice`]: what a link reports.
//! - [`Traffic`]: byte and frame counters.

mod inbound;
mod outbound;
mod session;
pub mod tls;

pub use session::{Error, Link, Notice, Options, Traffic};
