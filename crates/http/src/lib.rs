//! HTTP/1.1 for both sides of a router: heads, bodies and connections.
//!
//! A router passes messages on, so it needs three things that general clients and servers hide:
//! whether a body without a length ended or was reset, whether bytes arrived after a complete
//! message, and when exactly the other side closed its connection. `httparse` parses the heads.
//!
//! - [`field`]: header fields as they arrived.
//! - [`head`]: heads of requests and responses.
//! - [`body`]: the framing of bodies.
//! - [`connection`]: a TCP connection with its read buffer.
//! - [`exchange`]: one request and its response on a connection to an upstream.
//! - [`pool`]: idle connections to upstreams.

pub mod body;
pub mod connection;
pub mod exchange;
pub mod field;
pub mod head;
pub mod pool;
