//! The prefix cache of an engine, which has a limited size, and the events that it publishes.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Number of bytes of a prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Number of bytes of a prompt in one block.
pub const BLOCK_BYTES: usize = 64;

/// Maximum number of events kept for readers.
pub const MAX_EVENTS: usize = 1_024;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Kind of the event.
    pub kind: Kind,
    /// Hash of the prefix up to the end of the block, in hexadecimal.
    pub block: String,
}

/// Returns the hash of each complete block of a prompt, in order. Each hash covers the prefix up to
/// the end of its block.
#[must_use]
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            hash = xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// A cache of blocks that evicts the least recently used one.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    /// Time of the last use of each block, in ticks of `clock`.
    blocks: IndexMap<u64, u64>,
    /// Logical clock that ticks at each use of a block.
    clock: u64,
    /// Events with the time from which they are visible.
    events: VecDeque<(Instant, Event)>,
    seq: u64,
    lag: Duration,
    gap: u64,
}

impl Cache {
    /// Returns an empty cache of `limit` blocks. Events become visible after `lag`; every `gap`-th
    /// event is lost.
    #[must_use]
    pub fn new(limit: usize, lag: Duration, gap: u64) -> Self {
        Self {
            limit,
            blocks: IndexMap::new(),
            clock: 0,
            events: VecDeque::new(),
            seq: 0,
            lag,
            gap,
        }
    }

    /// Looks up a prompt and stores its blocks. Returns the number of prompt tokens that were not
    /// cached.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use tsw_fake::engine::cache::Cache;
    ///
    /// let mut cache = Cache::new(8, Duration::ZERO, 0);
    /// let prompt = "x".repeat(128);
    /// assert_eq!(cache.admit(&prompt, Instant::now()), 32);
    /// assert_eq!(cache.admit(&prompt, Instant::now()), 0);
    /// ```
    pub fn admit(&mut self, prompt: &str, now: Instant) -> u64 {
        let hashes = blocks(prompt);
        let cached = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(*hash));
        let cached_bytes = cached.count() * BLOCK_BYTES;
        for hash in hashes {
            self.touch(hash, now);
        }
        ((prompt.len() - cached_bytes) / TOKEN_BYTES) as u64
    }

    fn touch(&mut self, hash: u64, now: Instant) {
        self.clock += 1;
        if self.blocks.insert(hash, self.clock).is_some() {
            return;
        }
        self.publish(Kind::Stored, hash, now);
        if self.blocks.len() > self.limit {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            if let Some((&oldest, _)) = oldest {
                self.blocks.swap_remove(&oldest);
                self.publish(Kind::Evicted, oldest, now);
            }
        }
    }

    fn publish(&mut self, kind: Kind, block: u64, now: Instant) {
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        let event = Event {
            seq: self.seq,
            kind,
            block: format!("{block:016x}"),
        };
        self.events.push_back((now + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with a sequence number above `after`.
    #[must_use]
    pub fn events(&self, after: u64, now: Instant) -> Vec<Event> {
        let visible = self
            .events
            .iter()
            .take_while(|(visible_at, _)| *visible_at <= now);
        visible
            .map(|(_, event)| event)
            .filter(|event| event.seq > after)
            .cloned()
            .collect()
    }

    /// Clears the cache without publishing events, as a crash does. Sequence numbers continue.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Returns the number of cached blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
