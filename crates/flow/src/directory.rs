//! Which parts of prompts an engine holds.

use indexmap::IndexMap;

use crate::prompt::Part;

/// The parts that an engine holds as far as this router's own requests tell, the least recently
/// used first.
///
/// Parts are known from the requests that were sent there: an engine that reads a prompt holds its
/// parts until other parts need the memory. A restart of the engine empties it.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    parts: IndexMap<u64, u64>,
    tokens: u64,
    capacity: u64,
}

impl Directory {
    /// Makes an empty directory of an engine with a capacity in tokens.
    ///
    /// ```
    /// use tsw_flow::{directory::Directory, prompt::Part};
    /// let mut held = Directory::new(1_000);
    /// let (a, b) = (Part { id: 1, tokens: 600 }, Part { id: 2, tokens: 600 });
    /// held.add(&[a]);
    /// assert_eq!(held.prefix(&[a, b]), 600);
    /// held.add(&[b]);
    /// assert_eq!(held.prefix(&[a, b]), 0, "the second part took the place of the first");
    /// ```
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            parts: IndexMap::new(),
            tokens: 0,
            capacity,
        }
    }

    /// Notes that the engine reads these parts now.
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

    /// Returns the tokens at the start of a prompt that need not be read again.
    #[must_use]
    pub fn prefix(&self, parts: &[Part]) -> u64 {
        let held = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }
}
