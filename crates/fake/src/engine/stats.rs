//! Counters of an engine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests in the batch now.
    pub running: usize,
    /// Requests waiting inside the engine now.
    pub waiting: usize,
    /// Maximum number of requests that were in the batch at the same time.
    pub running_peak: usize,
    /// Requests whose execution started.
    pub started: u64,
    /// Requests whose execution completed.
    pub ended: u64,
    /// Requests that were cancelled during their execution.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests that arrived more than 3 s after the engine was told that it is leaving.
    pub late: u64,
    /// Tokens that were sent.
    pub tokens: u64,
    /// Prompt tokens that were processed (prefill).
    pub prefill_tokens: u64,
    /// Total duration of all steps, in microseconds.
    pub busy_us: u64,
    /// Sum of the duration times the number of requests over all steps, in microseconds.
    pub slot_us: u64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Fencing token of the last order that was carried out; 0 after a crash.
    pub fence: u64,
    /// Orders that were refused.
    pub orders_refused: u64,
    /// Models of the last order.
    pub models: Vec<String>,
    /// Models of the last order that are loaded.
    pub loaded: Vec<String>,
    /// Requests that the weight store refused.
    pub weights_refused: u64,
    /// Counters by team.
    pub teams: IndexMap<String, TeamStats>,
}

/// Counters of a team at one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamStats {
    /// Requests whose execution started.
    pub started: u64,
    /// Requests whose execution completed.
    pub ended: u64,
    /// Tokens that were sent.
    pub tokens: u64,
    /// Sum of the duration times the number of requests over all steps, in microseconds.
    pub slot_us: u64,
}
