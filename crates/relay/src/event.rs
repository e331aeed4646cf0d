//! Finds the events of a stream.

use bytes::{Bytes, BytesMut};

/// Longest event. Events hold some tokens.
const MAX_EVENT: usize = 1 << 20;

/// An event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, with the empty line at its end.
    pub bytes: Bytes,
    /// Its identifier.
    pub id: Option<Bytes>,
}

impl Event {
    /// Returns whether it says nothing but that the connection is open.
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

/// The stream holds something longer than any event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT} bytes")]
pub struct Long;

/// Collects the data of a stream and splits it into events, so that nothing is passed on of an
/// event that is cut off.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds data.
    ///
    /// # Errors
    ///
    /// Returns an error if an event grows without an end.
    pub fn add(&mut self, data: &[u8]) -> Result<(), Long> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_EVENT {
            return Err(Long);
        }
        Ok(())
    }

    /// Takes the next whole event.
    ///
    /// ```
    /// let mut splitter = tsw_relay::event::Splitter::default();
    /// splitter.add(b"id: 3\ndata: a\n\nid: 4\nda").unwrap();
    /// let event = splitter.take().expect("a whole event");
    /// assert_eq!(event.id.as_deref(), Some(&b"3"[..]));
    /// assert_eq!(splitter.take(), None, "the second event is not whole");
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn take(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = bytes.split(|byte| *byte == b'\n').find_map(|line| {
            let value = line.strip_prefix(b"id:")?.trim_ascii();
            Some(bytes.slice_ref(value))
        });
        Some(Event { bytes, id })
    }

    /// Returns whether no part of an event is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes what is left after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the length of the first event with its empty line.
fn end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|bytes| bytes == b"\n\n");
    let crlf = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    match (lf.map(|at| at + 2), crlf.map(|at| at + 4)) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (found, None) | (None, found) => found,
    }
}
