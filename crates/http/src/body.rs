//! Message body framing.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a chunk-size line, including chunk extensions.
const MAX_CHUNK_SIZE_LINE: usize = 256;
/// Maximum number of bytes of trailer fields, which are discarded.
const MAX_TRAILER_BYTES: usize = 8_192;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Length {
    /// After this many bytes.
    Exact(u64),
    /// After the last chunk.
    Chunked,
    /// When the sender closes the connection.
    UntilClose,
}

/// Why a body cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The chunked framing or the trailer section is malformed or too long.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The connection ended before the body did.
    #[error("the body is truncated")]
    Truncated,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Exact(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
    Done,
}

/// Extracts the data of a body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder(State);

impl Decoder {
    /// Creates a decoder for a body.
    #[must_use]
    pub const fn new(length: Length) -> Self {
        Self(match length {
            Length::Exact(0) => State::Done,
            Length::Exact(bytes) => State::Exact(bytes),
            Length::Chunked => State::ChunkSize,
            Length::UntilClose => State::UntilClose,
        })
    }

    /// Returns whether the whole body was decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Takes the next data from the front of a buffer; `None` if more bytes are needed or the body
    /// is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is malformed.
    ///
    /// ```
    /// use tsw_http::body;
    /// let mut buffer = bytes::BytesMut::from(&b"2\r\nhi\r\n0\r\n\r\n"[..]);
    /// let mut decoder = body::Decoder::new(body::Length::Chunked);
    /// assert_eq!(decoder.take(&mut buffer)?.as_deref(), Some(&b"hi"[..]));
    /// assert_eq!(decoder.take(&mut buffer)?, None);
    /// assert!(decoder.is_done());
    /// # Ok::<(), body::Error>(())
    /// ```
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
        loop {
            match self.0 {
                State::Done => return Ok(None),
                State::UntilClose => return Ok(take_data(buffer, u64::MAX)),
                State::Exact(left) => {
                    let taken = take_data(buffer, left);
                    let remaining = left - taken.as_ref().map_or(0, |bytes| bytes.len() as u64);
                    self.0 = if remaining == 0 {
                        State::Done
                    } else {
                        State::Exact(remaining)
                    };
                    return Ok(taken);
                }
                State::ChunkData(left) => {
                    let taken = take_data(buffer, left);
                    let remaining = left - taken.as_ref().map_or(0, |bytes| bytes.len() as u64);
                    self.0 = if remaining == 0 {
                        State::ChunkEnd
                    } else {
                        State::ChunkData(remaining)
                    };
                    return Ok(taken);
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    self.0 = match chunk_size(&line)? {
                        0 => State::Trailer(0),
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(Error::MalformedChunk);
                    }
                    self.0 = State::ChunkSize;
                }
                State::Trailer(bytes) => {
                    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES)? else {
                        return Ok(None);
                    };
                    let bytes = bytes + line.len();
                    if bytes > MAX_TRAILER_BYTES {
                        return Err(Error::MalformedChunk);
                    }
                    self.0 = if line.is_empty() {
                        State::Done
                    } else {
                        State::Trailer(bytes)
                    };
                }
            }
        }
    }

    /// Records that the sender closed its side of the connection without a reset.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is incomplete.
    pub fn close(&mut self) -> Result<(), Error> {
        match self.0 {
            State::Done | State::UntilClose => {
                self.0 = State::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }
}

fn take_data(buffer: &mut BytesMut, max: u64) -> Option<Bytes> {
    let length = usize::try_from(max).unwrap_or(usize::MAX).min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}

fn take_line(buffer: &mut BytesMut, max: usize) -> Result<Option<Bytes>, Error> {
    let end = buffer.windows(2).position(|bytes| bytes == b"\r\n");
    match end {
        Some(end) if end <= max => {
            let line = buffer.split_to(end).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= max => Ok(None),
        _ => Err(Error::MalformedChunk),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = line[..end.unwrap_or(line.len())].trim_ascii();
    let valid = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::MalformedChunk)
}
