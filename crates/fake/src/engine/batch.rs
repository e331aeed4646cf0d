//! A request inside the engine, and the batch.

use std::{collections::VecDeque, time::Instant};

use bytes::Bytes;
use tokio::sync::mpsc;
use xxhash_rust::xxh3;

use crate::history;

/// The engine crashed while the request was in flight.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the engine crashed")]
pub(super) struct Crashed;

/// A line of a response, or the reason why the stream breaks.
pub(super) type Item = Result<Bytes, Crashed>;

/// A request inside the engine.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) number: u64,
    /// Identifier that the sender chose for cancellation and export.
    pub(super) id: String,
    pub(super) request: history::Request,
    pub(super) prompt: String,
    /// Index of the first token to deliver.
    pub(super) first: u64,
    /// Index of the next token.
    pub(super) next: u64,
    /// Tokens of the whole response.
    pub(super) total: u64,
    /// Prompt tokens that are still to be processed.
    pub(super) prefill: u64,
    /// Whether an import made the processing of the prompt unnecessary.
    pub(super) imported: bool,
    pub(super) arrived: Instant,
    pub(super) sink: mpsc::UnboundedSender<Item>,
}

impl Run {
    pub(super) fn delivered(&self) -> u64 {
        self.next - self.first
    }

    pub(super) fn emit(&mut self) {
        let text = token(&self.prompt, self.next);
        let line = format!("{{\"i\":{},\"t\":\"{text}\"}}\n", self.next);
        self.next += 1;
        let _ = self.sink.send(Ok(Bytes::from(line)));
    }

    pub(super) fn fail(&self) {
        let _ = self.sink.send(Err(Crashed));
    }

    pub(super) fn finish(&self) {
        let line = format!("{{\"end\":true,\"tokens\":{}}}\n", self.total);
        let _ = self.sink.send(Ok(Bytes::from(line)));
    }
}

/// Requests that run and that wait.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) running: Vec<Run>,
    pub(super) waiting: VecDeque<Run>,
    /// Prompt tokens that the current step processes, by run number.
    planned: Vec<(u64, u64)>,
}

impl Batch {
    /// Takes the oldest waiting request if the batch has room for it.
    pub(super) fn admit(&mut self, limit: usize) -> Option<Run> {
        if self.running.len() >= limit {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Divides the prompt tokens of one step among the requests, oldest first. Returns their sum.
    pub(super) fn plan(&mut self, chunk: u64) -> u64 {
        let mut left = chunk;
        self.planned.clear();
        for run in self.running.iter().filter(|run| run.prefill > 0) {
            let tokens = run.prefill.min(left);
            left -= tokens;
            self.planned.push((run.number, tokens));
        }
        chunk - left
    }

    /// Ends a step: delivers a token of each request whose prompt has been processed, and returns
    /// the requests that are complete.
    pub(super) fn advance(&mut self) -> Vec<Run> {
        let planned = std::mem::take(&mut self.planned);
        for run in &mut self.running {
            if let Some((_, tokens)) = planned.iter().find(|(number, _)| *number == run.number) {
                run.prefill -= tokens;
            }
            if run.prefill == 0 && run.next < run.total {
                run.emit();
            }
        }
        self.running
            .extract_if(.., |run| run.prefill == 0 && run.next >= run.total)
            .collect()
    }

    /// Removes the requests that `matches`; the flag tells those that were running.
    pub(super) fn remove(&mut self, matches: impl Fn(&Run) -> bool) -> Vec<(bool, Run)> {
        let running = self.running.extract_if(.., |run| matches(run));
        let mut removed: Vec<_> = running.map(|run| (true, run)).collect();
        let waiting = std::mem::take(&mut self.waiting);
        for run in waiting {
            if matches(&run) {
                removed.push((false, run));
            } else {
                self.waiting.push_back(run);
            }
        }
        removed
    }
}

/// Returns the token of a response to `prompt` at `index`. It is the same at each engine, so callers
/// can check each token that they receive.
///
/// ```
/// use tsw_fake::engine;
///
/// assert_eq!(engine::token("hello", 0).len(), 6);
/// assert_ne!(engine::token("hello", 0), engine::token("hello", 1));
/// ```
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), index);
    format!("{:05x} ", hash & 0xf_ffff)
}

/// Returns the number of tokens of a response: `#tokens=N` in the prompt goes before `max_tokens`.
///
/// ```
/// use tsw_fake::engine;
///
/// assert_eq!(engine::total("a prompt", 40), 40);
/// assert_eq!(engine::total("a prompt #tokens=7", 40), 7);
/// ```
#[must_use]
pub fn total(prompt: &str, max_tokens: u64) -> u64 {
    let mark = prompt.split_once("#tokens=").map(|(_, rest)| rest);
    let digits = mark.map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_digit());
        &rest[..end.unwrap_or(rest.len())]
    });
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(max_tokens)
}
