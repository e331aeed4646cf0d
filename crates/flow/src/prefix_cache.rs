//! A router's model of the prompt parts cached by an engine.

use indexmap::IndexMap;

use crate::prompt::Part;

/// Estimate of the prompt parts in the KV cache of an engine, the least recently used first.
///
/// It is derived from the requests sent to the engine by this router and, for shared parts, by other
/// routers. An engine that processes a prompt is assumed to cache its parts until they are evicted
/// to make room for others. A restarted engine gets a new, empty estimate.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: IndexMap<u64, u64>,
    tokens: u64,
    capacity: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    ///
    /// ```
    /// use tsw_flow::{prefix_cache::PrefixCache, prompt::Part};
    /// let mut cache = PrefixCache::new(1_000);
    /// let (a, b) = (Part { id: 1, tokens: 600 }, Part { id: 2, tokens: 600 });
    /// cache.add(&[a]);
    /// assert_eq!(cache.cached_prefix(&[a, b]), 600);
    /// cache.add(&[b]);
    /// assert_eq!(cache.cached_prefix(&[a, b]), 0, "the second part evicted the first");
    /// ```
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            parts: IndexMap::new(),
            tokens: 0,
            capacity,
        }
    }

    /// Records that the engine processes these parts now, and evicts the least recently used ones
    /// beyond the capacity.
    pub fn add(&mut self, parts: &[Part]) {
        for part in parts {
            if let Some(tokens) = self.parts.shift_remove(&part.id) {
                self.tokens -= tokens;
            }
            self.parts.insert(part.id, part.tokens);
            self.tokens += part.tokens;
        }
        while self.tokens > self.capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else {
                break;
            };
            self.tokens -= tokens;
        }
    }

    /// Returns the number of tokens at the start of a prompt that are cached.
    #[must_use]
    pub fn cached_prefix(&self, parts: &[Part]) -> u64 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }
}
