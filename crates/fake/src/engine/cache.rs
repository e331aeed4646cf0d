//! Cache of prompt prefixes in limited memory, and the events that it publishes.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Bytes of a prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of a prompt in one block.
pub const BLOCK_BYTES: usize = 64;

/// Events that are kept for readers.
pub const KEPT_EVENTS: usize = 1_024;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The block is cached.
    Stored,
    /// The block is not cached any more.
    Evicted,
}

/// A change of the cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Number of the event; a missing number is a lost event.
    pub seq: u64,
    /// What happened.
    pub kind: Kind,
    /// Hash of the prefix up to the end of the block, in hexadecimal.
    pub block: String,
}

/// Returns the hash of each whole block of a prompt, in order. A hash covers the prefix up to the
/// end of its block.
#[must_use]
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            hash = xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// The cached blocks, least recently used first.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    blocks: IndexMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Instant, Event)>,
    seq: u64,
    lag: Duration,
    gap: u64,
}

impl Cache {
    /// Returns an empty cache of `limit` blocks. Events show after `lag`; one of `gap` is lost.
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

    /// Looks up a prompt and stores its blocks. Returns the prompt tokens that were not cached.
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
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after number `after` that already show.
    #[must_use]
    pub fn events(&self, after: u64, now: Instant) -> Vec<Event> {
        let shown = self.events.iter().take_while(|(at, _)| *at <= now);
        shown
            .map(|(_, event)| event)
            .filter(|event| event.seq > after)
            .cloned()
            .collect()
    }

    /// Empties the cache without events, as a crash does. Numbers of events go on.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Returns the cached blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether nothing is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
