//! What is known of the prompt of a request before it runs.

/// A part of a prompt. Requests that begin with the same parts share them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part {
    /// Identifies the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What is known of the prompt of a request before it runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that will probably be generated.
    pub expected: u64,
    /// The parts in their order. The last one belongs to the request or its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    ///
    /// ```
    /// use tsw_flow::prompt::{Part, Prompt};
    /// let parts = vec![Part { id: 1, tokens: 500 }, Part { id: 9, tokens: 20 }];
    /// let prompt = Prompt { tokens: 520, expected: 10, parts };
    /// assert_eq!(prompt.shared_parts().len(), 1);
    /// ```
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the work of a request in tokens: each token read once and each generated token
    /// twice, as the operators' limit of the service counts them.
    #[must_use]
    pub const fn work(&self) -> u64 {
        self.tokens + 2 * self.expected
    }
}
