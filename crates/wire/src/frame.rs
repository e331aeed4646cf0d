//! Frame encoding: a big-endian `u32` body length followed by a postcard body.

use std::io;

use bytes::{BufMut, BytesMut};

use crate::message;

/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 4;

/// Maximum length of a body in bytes. The largest messages are a bundle and a forwarded call, of
/// 1 MB each.
pub const MAX_BODY_BYTES: usize = 1_250_000;

/// Errors of encoding and decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the frame body has {bytes} bytes; at most {MAX_BODY_BYTES} are allowed")]
    TooLarge {
        /// Length of the body.
        bytes: usize,
    },
    /// The frame has no body.
    #[error("the frame body is empty")]
    Empty,
    /// The body is not a valid message.
    #[error("the frame body is not a valid message: {0}")]
    InvalidMessage(#[from] postcard::Error),
    /// The body continues after the message.
    #[error("the frame body has {bytes} excess bytes after the message")]
    TrailingBytes {
        /// Number of excess bytes.
        bytes: usize,
    },
}

/// Appends a message to `buffer` as a frame. On error, `buffer` is left unchanged.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the body exceeds [`MAX_BODY_BYTES`].
///
/// ```
/// use bytes::BytesMut;
/// use tsw_wire::{frame, message};
///
/// let fetch = message::Message::Fetch(message::Fetch { bundle: 7, hosts: 0 });
/// let mut buffer = BytesMut::new();
/// frame::encode(&fetch, &mut buffer)?;
/// let (header, body) = buffer.split_at(frame::HEADER_BYTES);
/// assert_eq!(frame::body_length(header.try_into().unwrap())?, body.len());
/// assert_eq!(frame::decode(body)?, fetch);
/// # Ok::<(), frame::Error>(())
/// ```
pub fn encode(message: &message::Message, buffer: &mut BytesMut) -> Result<(), Error> {
    let start = buffer.len();
    buffer.put_u32(0);
    let result = append_body(message, buffer);
    match result {
        Ok(bytes) => {
            let header = u32::try_from(bytes).unwrap_or(u32::MAX).to_be_bytes();
            buffer[start..start + HEADER_BYTES].copy_from_slice(&header);
            Ok(())
        }
        Err(error) => {
            buffer.truncate(start);
            Err(error)
        }
    }
}

fn append_body(message: &message::Message, buffer: &mut BytesMut) -> Result<usize, Error> {
    let start = buffer.len();
    postcard::to_io(message, Writer(buffer))?;
    let bytes = buffer.len() - start;
    if bytes > MAX_BODY_BYTES {
        return Err(Error::TooLarge { bytes });
    }
    Ok(bytes)
}

struct Writer<'a>(&'a mut BytesMut);

impl io::Write for Writer<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the length of the body from a frame header.
///
/// # Errors
///
/// Returns an error if the length is 0 or exceeds [`MAX_BODY_BYTES`].
pub fn body_length(header: [u8; HEADER_BYTES]) -> Result<usize, Error> {
    let bytes = u32::from_be_bytes(header) as usize;
    match bytes {
        0 => Err(Error::Empty),
        _ if bytes > MAX_BODY_BYTES => Err(Error::TooLarge { bytes }),
        _ => Ok(bytes),
    }
}

/// Decodes a message from a frame body.
///
/// # Errors
///
/// Returns an error if the body is not exactly one message.
pub fn decode(body: &[u8]) -> Result<message::Message, Error> {
    let (message, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Error::TrailingBytes { bytes: rest.len() })
    }
}
