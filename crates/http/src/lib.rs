//! HTTP/1.1 towards clients and upstreams: heads, bodies and connections.
//!
//! A router forwards messages, so it needs three things that general-purpose HTTP libraries hide:
//! whether a body without a stated length ended or was reset, whether bytes arrived after a complete
//! message, and when exactly the peer closed its connection. `httparse` parses the heads.
//!
//! - [`field`]: header fields in the order and case in which they arrived.
//! - [`head`]: heads of requests and responses.
//! - [`body`]: the framing of bodies.
//! - [`connection`]: a TCP connection with its read buffer.
//! - [`exchange`]: one request and its response on a connection to an upstream.
//! - [`pool`]: a pool of idle keep-alive connections to upstreams.

pub mod body;
pub mod connection;
pub mod exchange;
pub mod field;
pub mod head;
pub mod pool;
