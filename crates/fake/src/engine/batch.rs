//! The requests inside an engine, and the batch of those that are executed together.

use std::{collections::VecDeque, time::Instant};

use bytes::Bytes;
use tokio::sync::mpsc;
use xxhash_rust::xxh3;

use crate::history;

/// Ends the stream of a request that was in flight when the engine crashed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the engine crashed")]
pub(super) struct Crashed;

/// A line of a response, or the error that ends its stream early.
pub(super) type LineResult = Result<Bytes, Crashed>;

/// A request inside the engine, executed or waiting.
#[derive(Debug)]
pub(super) struct Execution {
    pub(super) number: u64,
    /// Identifier from the body, used for cancellation and export.
    pub(super) id: String,
    pub(super) request: history::Request,
    pub(super) prompt: String,
    /// Index of the first token to send.
    pub(super) first: u64,
    /// Index of the next token to send.
    pub(super) next: u64,
    /// Number of tokens of the complete response, including those before `first`.
    pub(super) total: u64,
    /// Number of prompt tokens that have not been processed yet.
    pub(super) prefill: u64,
    /// Whether an imported KV cache makes prefill unnecessary.
    pub(super) imported: bool,
    pub(super) arrived: Instant,
    pub(super) sender: mpsc::UnboundedSender<LineResult>,
}

impl Execution {
    /// Returns the number of tokens sent so far.
    pub(super) fn sent_tokens(&self) -> u64 {
        self.next - self.first
    }

    pub(super) fn send_token(&mut self) {
        let text = token(&self.prompt, self.next);
        let line = format!("{{\"i\":{},\"t\":\"{text}\"}}\n", self.next);
        self.next += 1;
        let _ = self.sender.send(Ok(Bytes::from(line)));
    }

    pub(super) fn send_crash(&self) {
        let _ = self.sender.send(Err(Crashed));
    }

    pub(super) fn send_end(&self) {
        let line = format!("{{\"end\":true,\"tokens\":{}}}\n", self.total);
        let _ = self.sender.send(Ok(Bytes::from(line)));
    }
}

/// The requests in the batch and those waiting for it.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) running: Vec<Execution>,
    pub(super) waiting: VecDeque<Execution>,
    /// Number of prompt tokens that the current step processes, by execution number.
    planned_prefill: Vec<(u64, u64)>,
}

impl Batch {
    /// Removes the oldest waiting request from the queue if the batch has room for it.
    pub(super) fn admit(&mut self, limit: usize) -> Option<Execution> {
        if self.running.len() >= limit {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Assigns the prompt tokens of one step to the requests, oldest first. Returns their total.
    pub(super) fn plan_prefill(&mut self, chunk: u64) -> u64 {
        let mut remaining = chunk;
        self.planned_prefill.clear();
        for execution in self
            .running
            .iter()
            .filter(|execution| execution.prefill > 0)
        {
            let tokens = execution.prefill.min(remaining);
            remaining -= tokens;
            self.planned_prefill.push((execution.number, tokens));
        }
        chunk - remaining
    }

    /// Finishes a step: sends a token of each request whose prompt has been processed. Returns the
    /// requests that are complete.
    pub(super) fn advance(&mut self) -> Vec<Execution> {
        let planned = std::mem::take(&mut self.planned_prefill);
        for execution in &mut self.running {
            if let Some((_, tokens)) = planned
                .iter()
                .find(|(number, _)| *number == execution.number)
            {
                execution.prefill -= tokens;
            }
            if execution.prefill == 0 && execution.next < execution.total {
                execution.send_token();
            }
        }
        self.running
            .extract_if(.., |execution| {
                execution.prefill == 0 && execution.next >= execution.total
            })
            .collect()
    }

    /// Removes the requests for which `matches` is true. The flag of a request is true if it was
    /// running.
    pub(super) fn remove(
        &mut self,
        matches: impl Fn(&Execution) -> bool,
    ) -> Vec<(bool, Execution)> {
        let running = self.running.extract_if(.., |execution| matches(execution));
        let mut removed: Vec<_> = running.map(|execution| (true, execution)).collect();
        let waiting = std::mem::take(&mut self.waiting);
        for execution in waiting {
            if matches(&execution) {
                removed.push((false, execution));
            } else {
                self.waiting.push_back(execution);
            }
        }
        removed
    }
}

/// Returns the token at `index` of the response to `prompt`. It is the same at each engine, so that
/// callers can check each token that they receive.
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

/// Returns the number of tokens of the response to `prompt`: `#tokens=N` in the prompt overrides
/// `max_tokens`.
///
/// ```
/// use tsw_fake::engine;
///
/// assert_eq!(engine::response_tokens("a prompt", 40), 40);
/// assert_eq!(engine::response_tokens("a prompt #tokens=7", 40), 7);
/// ```
#[must_use]
pub fn response_tokens(prompt: &str, max_tokens: u64) -> u64 {
    let marker = prompt.split_once("#tokens=").map(|(_, rest)| rest);
    let digits = marker.map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_digit());
        &rest[..end.unwrap_or(rest.len())]
    });
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(max_tokens)
}
