//! Bounds how often the record of a stream gives precedence to requests that resume it.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};

use crate::origin::Key;

/// Number of resumptions of a stream that have precedence. Clients resume a stream a few times at most.
const MAX_RESUMPTIONS: u32 = 3;
/// Maximum number of streams whose resumptions are counted, the oldest of which are dropped first.
const MAX_STREAMS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Stream {
    /// Key under which the resumptions of the stream are counted.
    counted_as: Key,
    resumptions: u32,
    at: Timestamp,
}

/// How often the recent streams of this router were resumed.
#[derive(Clone, Debug, Default)]
pub struct Resumptions {
    /// By key, in order of the last change.
    streams: IndexMap<Key, Stream>,
}

impl Resumptions {
    /// Counts a resumption of a stream that a record knows, and returns whether the record proves enough
    /// to give it precedence. What was counted more than `lifetime` before is forgotten.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_flow::{origin::Key, resumption::Resumptions};
    /// let (now, lifetime, key) = (Timestamp::ZERO, Span::from_secs(20), Key::new("counter", "a1"));
    /// let mut resumptions = Resumptions::default();
    /// let counted = [(); 4].map(|()| resumptions.count(now, lifetime, key));
    /// assert_eq!(counted, [true, true, true, false]);
    /// ```
    pub fn count(&mut self, now: Timestamp, lifetime: Span, key: Key) -> bool {
        let key = self.counted_as(now, lifetime, key);
        let known = self.recent(now, lifetime, key);
        let before = known.map_or(0, |known| known.resumptions);
        self.set(now, lifetime, key, key, before.saturating_add(1));
        before < MAX_RESUMPTIONS
    }

    /// Records that a stream goes on as `key`, so that both are counted as one.
    pub fn record_verified(&mut self, now: Timestamp, lifetime: Span, key: Key, resumed: Key) {
        let counted_as = self.counted_as(now, lifetime, resumed);
        if counted_as != key {
            self.set(now, lifetime, key, counted_as, 0);
        }
    }

    /// Records that only its client states that the stream of `key` began before. A record of it
    /// proves nothing.
    pub fn record_claimed(&mut self, now: Timestamp, lifetime: Span, key: Key) {
        self.set(now, lifetime, key, key, MAX_RESUMPTIONS);
    }

    /// Returns the number of streams whose resumptions are counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no resumption is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn recent(&self, now: Timestamp, lifetime: Span, key: Key) -> Option<&Stream> {
        let stream = self.streams.get(&key);
        stream.filter(|stream| now.since(stream.at) <= lifetime)
    }

    fn counted_as(&self, now: Timestamp, lifetime: Span, key: Key) -> Key {
        let known = self.recent(now, lifetime, key);
        known.map_or(key, |known| known.counted_as)
    }

    fn set(&mut self, now: Timestamp, lifetime: Span, key: Key, counted_as: Key, resumptions: u32) {
        self.streams.shift_remove(&key);
        let stream = Stream {
            counted_as,
            resumptions,
            at: now,
        };
        self.streams.insert(key, stream);
        if self.streams.len() > MAX_STREAMS {
            let expired = |(_, stream): &(&Key, &Stream)| now.since(stream.at) > lifetime;
            let expired = self.streams.iter().take_while(expired).count();
            // Each removal moves all streams that remain.
            drop(self.streams.drain(..expired.max(MAX_STREAMS / 8)));
        }
    }
}
