//! Messages between routers and their frames.
//!
//! - [`message`]: all messages. Most payloads are defined in the crates that handle them.
//! - [`frame`]: encoding of a message as a `u32` length followed by a postcard body.
//!
//! # Example
//!
//! Sends messages over an ordered byte stream. `tsw-link` does the same over QUIC.
//!
//! ```
//! use bytes::{Buf, BytesMut};
//! use tsw_base::host;
//! use tsw_wire::{frame, message::{Fetch, Hello, VERSION}, Message};
//!
//! // The first frame identifies the sender. The receiver checks it against the certificate.
//! let id = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(1, 0) };
//! let hello = Hello { version: VERSION, id, domain: "north".parse()? };
//! let sent = [Message::Hello(hello), Message::Fetch(Fetch { bundle: 7, hosts: 12 })];
//! let mut stream = BytesMut::new();
//! for message in &sent {
//!     frame::encode(message, &mut stream)?;
//! }
//!
//! // The receiver closes the session on any error of `body_length` or `decode`.
//! let mut received = Vec::new();
//! while stream.len() >= frame::HEADER_BYTES {
//!     let length = frame::body_length(stream[..frame::HEADER_BYTES].try_into()?)?;
//!     if stream.len() < frame::HEADER_BYTES + length {
//!         break; // the frame is incomplete
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
