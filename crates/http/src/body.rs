//! The framing of bodies.

use bytes::{Buf, Bytes, BytesMut};

/// Longest line with the size of a chunk, extensions included.
const MAX_SIZE_LINE: usize = 256;
/// Most bytes of trailer fields, which are dropped.
const MAX_TRAILER: usize = 8_192;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Length {
    /// After this many bytes.
    Exact(u64),
    /// After the last chunk.
    Chunked,
    /// When the sender closes the connection.
    UntilClose,
}

/// Why a body cannot be read further.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The size of a chunk is malformed.
    #[error("malformed chunk")]
    Chunk,
    /// The connection ended before the body did.
    #[error("the body is truncated")]
    Truncated,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Exact(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
    Done,
}

/// Finds the data of a body in the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder(State);

impl Decoder {
    /// Makes a decoder for a body.
    #[must_use]
    pub const fn new(length: Length) -> Self {
        Self(match length {
            Length::Exact(0) => State::Done,
            Length::Exact(bytes) => State::Exact(bytes),
            Length::Chunked => State::Size,
            Length::UntilClose => State::UntilClose,
        })
    }

    /// Returns whether the whole body was taken.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Takes the next data from the front of a buffer; `None` if more bytes are needed or the body
    /// is done.
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
                State::UntilClose => return Ok(data(buffer, u64::MAX)),
                State::Exact(left) => {
                    let taken = data(buffer, left);
                    let rest = left - taken.as_ref().map_or(0, |bytes| bytes.len() as u64);
                    self.0 = if rest == 0 {
                        State::Done
                    } else {
                        State::Exact(rest)
                    };
                    return Ok(taken);
                }
                State::Chunk(left) => {
                    let taken = data(buffer, left);
                    let rest = left - taken.as_ref().map_or(0, |bytes| bytes.len() as u64);
                    self.0 = if rest == 0 {
                        State::ChunkEnd
                    } else {
                        State::Chunk(rest)
                    };
                    return Ok(taken);
                }
                State::Size => {
                    let Some(line) = line(buffer, MAX_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    self.0 = match chunk_size(&line)? {
                        0 => State::Trailer(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = line(buffer, MAX_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(Error::Chunk);
                    }
                    self.0 = State::Size;
                }
                State::Trailer(bytes) => {
                    let Some(line) = line(buffer, MAX_TRAILER)? else {
                        return Ok(None);
                    };
                    let bytes = bytes + line.len();
                    if bytes > MAX_TRAILER {
                        return Err(Error::Chunk);
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

    /// Notes that the sender closed its side in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the body should have gone on.
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

fn data(buffer: &mut BytesMut, most: u64) -> Option<Bytes> {
    let length = usize::try_from(most)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}

fn line(buffer: &mut BytesMut, most: usize) -> Result<Option<Bytes>, Error> {
    let end = buffer.windows(2).position(|bytes| bytes == b"\r\n");
    match end {
        Some(end) if end <= most => {
            let line = buffer.split_to(end).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= most => Ok(None),
        _ => Err(Error::Chunk),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = line[..end.unwrap_or(line.len())].trim_ascii();
    let valid = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::Chunk)
}
