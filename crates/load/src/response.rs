//! Reads the streamed response to a model request and checks each token.

use serde::Deserialize;
use xxhash_rust::xxh3;

use crate::history::Outcome;

/// The JSON object of a token, as engines send it.
#[derive(Deserialize)]
struct Token {
    i: u64,
    t: String,
}

/// Data of the end event of a stream.
#[derive(Deserialize)]
struct EndEvent {
    outcome: String,
}

/// Incremental reader of a stream of server-sent events.
#[derive(Debug)]
pub struct StreamReader {
    prompt: String,
    buffer: Vec<u8>,
    next_index: u64,
    intact: bool,
    outcome: Option<Outcome>,
}

impl StreamReader {
    /// Returns a reader of the response to `prompt`.
    ///
    /// ```
    /// use tsw_load::{history, response};
    ///
    /// let mut reader = response::StreamReader::new("hello");
    /// let line = response::token_line("hello", 0);
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
            next_index: 0,
            intact: true,
            outcome: None,
        }
    }

    /// Processes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        let mut consumed = 0;
        while let Some(len) = find(&self.buffer[consumed..], b"\n\n") {
            let event = self.buffer[consumed..consumed + len].to_vec();
            self.process_event(&String::from_utf8_lossy(&event));
            consumed += len + 2;
        }
        self.buffer.drain(..consumed);
    }

    fn process_event(&mut self, text: &str) {
        let field = |name| text.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data:").unwrap_or_default().trim_start();
        match field("event:").map(str::trim) {
            Some("end") => {
                let end = serde_json::from_str::<EndEvent>(data).ok();
                self.outcome = end.and_then(|end| Outcome::parse(&end.outcome));
            }
            // The line with which an engine ends its output is not a token.
            None if data.starts_with("{\"end\"") => {}
            None => self.process_token(data),
            Some(_) => {}
        }
    }

    fn process_token(&mut self, data: &str) {
        let valid = serde_json::from_str::<Token>(data).is_ok_and(|token| {
            token.i == self.next_index && token.t == token_text(&self.prompt, self.next_index)
        });
        self.intact &= valid && self.outcome.is_none();
        self.next_index += 1;
    }

    /// Returns the outcome in the end event, if it has arrived.
    #[must_use]
    pub const fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Returns the number of tokens received so far.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.next_index
    }

    /// Returns whether each token so far arrived once, in order and with the expected text.
    #[must_use]
    pub const fn intact(&self) -> bool {
        self.intact
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Returns the text of a token, computed as the fake engine computes it.
fn token_text(prompt: &str, index: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), index);
    format!("{:05x} ", hash & 0xf_ffff)
}

/// Returns the JSON object of a token, formatted as the fake engine formats it.
#[must_use]
pub fn token_line(prompt: &str, index: u64) -> String {
    format!("{{\"i\":{index},\"t\":\"{}\"}}", token_text(prompt, index))
}
