//! Reads the answer to a call and checks every token of it.

use serde::Deserialize;
use xxhash_rust::xxh3;

use crate::history::Outcome;

/// A token as engines send it.
#[derive(Deserialize)]
struct Token {
    i: u64,
    t: String,
}

/// The last event of a stream.
#[derive(Deserialize)]
struct End {
    outcome: String,
}

/// Reads a stream of events piece by piece.
#[derive(Debug)]
pub struct Reader {
    prompt: String,
    buffer: Vec<u8>,
    next: u64,
    intact: bool,
    outcome: Option<Outcome>,
}

impl Reader {
    /// Returns a reader of the answer to `prompt`.
    ///
    /// ```
    /// use tsw_load::{answer, history};
    ///
    /// let mut reader = answer::Reader::new("hello");
    /// let line = answer::token("hello", 0);
    /// reader.push(format!("data: {line}\n\n").as_bytes());
    /// reader.push(b"event: end\ndata: {\"outcome\":\"complete\"}\n\n");
    /// assert_eq!(reader.outcome(), Some(history::Outcome::Complete));
    /// assert!(reader.intact());
    /// ```
    #[must_use]
    pub fn new(prompt: &str) -> Self {
        Self {
            prompt: prompt.to_owned(),
            buffer: Vec::new(),
            next: 0,
            intact: true,
            outcome: None,
        }
    }

    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(len) = find(&self.buffer[from..], b"\n\n") {
            let event = self.buffer[from..from + len].to_vec();
            self.event(&String::from_utf8_lossy(&event));
            from += len + 2;
        }
        self.buffer.drain(..from);
    }

    fn event(&mut self, text: &str) {
        let field = |name| text.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data:").unwrap_or_default().trim_start();
        match field("event:").map(str::trim) {
            Some("end") => {
                let end = serde_json::from_str::<End>(data).ok();
                self.outcome = end.and_then(|end| Outcome::parse(&end.outcome));
            }
            // The end line of an engine is no token.
            None if data.starts_with("{\"end\"") => {}
            None => self.token(data),
            Some(_) => {}
        }
    }

    fn token(&mut self, data: &str) {
        let right = serde_json::from_str::<Token>(data)
            .is_ok_and(|token| token.i == self.next && token.t == text(&self.prompt, self.next));
        self.intact &= right && self.outcome.is_none();
        self.next += 1;
    }

    /// Returns the outcome in the end event, if it has arrived.
    #[must_use]
    pub const fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Returns the number of tokens so far.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.next
    }

    /// Returns whether each token arrived once, in order and with the right text.
    #[must_use]
    pub const fn intact(&self) -> bool {
        self.intact
    }
}

fn find(text: &[u8], what: &[u8]) -> Option<usize> {
    text.windows(what.len()).position(|window| window == what)
}

/// Returns the text of a token as the stand-in engine makes it.
fn text(prompt: &str, index: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), index);
    format!("{:05x} ", hash & 0xf_ffff)
}

/// Returns the line of a token as the stand-in engine makes it.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    format!("{{\"i\":{index},\"t\":\"{}\"}}", text(prompt, index))
}
