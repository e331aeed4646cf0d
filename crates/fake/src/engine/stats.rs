//! Counters of an engine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests in the batch now.
    pub running: usize,
    /// Requests that wait inside the engine now.
    pub waiting: usize,
    /// Most requests that were in the batch in one step.
    pub running_peak: usize,
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub ended: u64,
    /// Requests that were cancelled while they ran.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests that arrived more than 3 s after the engine was told that it is leaving.
    pub late: u64,
    /// Tokens that were delivered.
    pub tokens: u64,
    /// Prompt tokens that were processed.
    pub prefill_tokens: u64,
    /// Time in which steps ran, in microseconds.
    pub busy_us: u64,
    /// Sum over steps of length x requests, in microseconds.
    pub slot_us: u64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Fencing token of the last order that was carried out.
    pub fence: u64,
    /// Orders that were refused.
    pub orders_refused: u64,
    /// Models that the last order named.
    pub models: Vec<String>,
    /// Models of the last order that are loaded.
    pub loaded: Vec<String>,
    /// Reads that the weight store refused.
    pub weights_refused: u64,
    /// Counters by team.
    pub teams: IndexMap<String, Team>,
}

/// Counters of a team at one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub ended: u64,
    /// Tokens that were delivered.
    pub tokens: u64,
    /// Sum over steps of length x requests, in microseconds.
    pub slot_us: u64,
}
