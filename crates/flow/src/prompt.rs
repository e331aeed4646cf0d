//! Size and shareable parts of the prompt of a request.

use std::fmt;

/// A part of a prompt. Prompts that begin with the same parts share their cache entries.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part {
    /// Identifier, equal for equal parts.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size and parts of a prompt, as known before the request runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u64,
    /// Estimated number of generated tokens.
    pub expected_tokens: u64,
    /// Parts in order. The last one is private to the request or its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the parts that may be shared with other requests: all but the last.
    ///
    /// ```
    /// use tsw_flow::prompt::{Part, Prompt};
    /// let parts = vec![Part { id: 1, tokens: 500 }, Part { id: 9, tokens: 20 }];
    /// let prompt = Prompt { tokens: 520, expected_tokens: 10, parts };
    /// assert_eq!(prompt.shared_parts().len(), 1);
    /// ```
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identifiers of the shared parts for log lines, in hexadecimal digits.
    ///
    /// ```
    /// use tsw_flow::prompt::{Part, Prompt};
    /// let parts = [10, 11, 12].map(|id| Part { id, tokens: 20 });
    /// let prompt = Prompt { tokens: 60, expected_tokens: 10, parts: parts.to_vec() };
    /// assert_eq!(prompt.display_shared().to_string(), "a,b");
    /// ```
    #[must_use]
    pub fn display_shared(&self) -> impl fmt::Display + '_ {
        SharedParts(self.shared_parts())
    }

    /// Returns the work of a request in tokens. Prompt tokens count once and generated tokens twice,
    /// as in the operators' limit of the service.
    #[must_use]
    pub const fn work(&self) -> u64 {
        self.tokens + 2 * self.expected_tokens
    }
}

/// Formats the identifiers of prompt parts.
struct SharedParts<'a>(&'a [Part]);

impl fmt::Display for SharedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{:x}", part.id)?;
        }
        Ok(())
    }
}
