//! Splits a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes. An event usually holds only a few tokens.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of its `id` field.
    pub id: Option<Bytes>,
}

impl Event {
    /// Returns whether it holds only comments, which servers send to keep the connection open.
    ///
    /// ```
    /// let mut splitter = tsw_relay::event::Splitter::default();
    /// splitter.add(b": still here\n\nid: 3\ndata: a\n\n").unwrap();
    /// let comment = |event: Option<tsw_relay::event::Event>| event.map(|event| event.is_comment());
    /// assert_eq!(comment(splitter.take()), Some(true));
    /// assert_eq!(comment(splitter.take()), Some(false));
    /// ```
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.trim_ascii().is_empty() || line.starts_with(b":"))
    }
}

/// The stream holds an event that exceeds the maximum length.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the data of a stream and splits it into events, so that an event that is cut off is never
/// forwarded in part.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Returns the number of bytes that are buffered.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Adds data to the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffered data exceeds the maximum length of an event.
    pub fn add(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Takes the next complete event.
    ///
    /// ```
    /// let mut splitter = tsw_relay::event::Splitter::default();
    /// splitter.add(b"id: 3\ndata: a\n\nid: 4\nda").unwrap();
    /// let event = splitter.take().expect("a complete event");
    /// assert_eq!(event.id.as_deref(), Some(&b"3"[..]));
    /// assert_eq!(splitter.take(), None, "the second event is incomplete");
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn take(&mut self) -> Option<Event> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = bytes.split(|byte| *byte == b'\n').find_map(|line| {
            let value = line.strip_prefix(b"id:")?.trim_ascii();
            Some(bytes.slice_ref(value))
        });
        Some(Event { bytes, id })
    }

    /// Returns whether the buffer holds no data.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the data that remains after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the length of the first complete event, including the empty line that ends it.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|bytes| bytes == b"\n\n");
    let crlf = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    match (lf.map(|at| at + 2), crlf.map(|at| at + 4)) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (found, None) | (None, found) => found,
    }
}
