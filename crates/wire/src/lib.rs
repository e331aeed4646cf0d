//! Messages between routers and their frames.
//!
//! - [`message`]: every message; the payloads belong to the crates of their areas.
//! - [`frame`]: a `u32` length followed by a postcard body.
//!
//! # Example
//!
//! A sender and a receiver on any byte stream that keeps order. `tsw-link` does the same over QUIC.
//!
//! ```
//! use bytes::{Buf, BytesMut};
//! use tsw_base::host;
//! use tsw_wire::{frame, message::{Fetch, Hello, VERSION}, Message};
//!
//! // The first frame identifies the sender. The receiver compares it with the certificate.
//! let id = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(1, 0) };
//! let hello = Hello { version: VERSION, id, domain: "north".parse()? };
//! let sent = [Message::Hello(hello), Message::Fetch(Fetch { bundle: 7, hosts: 12 })];
//! let mut stream = BytesMut::new();
//! for message in &sent {
//!     frame::encode(message, &mut stream)?;
//! }
//!
//! // The receiver ends the session on any error of `length` or `decode`.
//! let mut received = Vec::new();
//! while stream.len() >= frame::HEADER_BYTES {
//!     let length = frame::length(stream[..frame::HEADER_BYTES].try_into()?)?;
//!     if stream.len() < frame::HEADER_BYTES + length {
//!         break; // the rest of the frame is still on its way
//!     }
//!     stream.advance(frame::HEADER_BYTES);
//!     received.push(frame::decode(&stream.split_to(length))?);
//! }
//! assert_eq!(received, sent);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod frame;
pub mod message;

pub use message::Message;
