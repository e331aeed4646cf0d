//! Ring buffer of recent decisions, served by `/v1/explain/ID`.

use std::{collections::VecDeque, sync::Arc};

use serde::Serialize;
use tsw_event::Event;

/// Maximum number of decisions kept.
const CAPACITY: usize = 8_192;

/// A logged decision about a request.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Wall-clock time in microseconds since 1970.
    pub time_us: u64,
    /// Identifier of the request.
    #[serde(skip)]
    pub request_id: Arc<str>,
    /// Number of the log event.
    pub number: u16,
    /// Name of the log event.
    pub event: &'static str,
    /// Fields of the log event, as `key=value` pairs.
    pub detail: String,
}

/// Ring buffer of the most recent decisions.
#[derive(Debug, Default)]
pub struct RingBuffer {
    entries: VecDeque<Entry>,
}

impl RingBuffer {
    /// Adds a decision, evicting the oldest one if the buffer is full.
    pub fn push(&mut self, time_us: u64, request_id: &Arc<str>, event: Event, detail: String) {
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            time_us,
            request_id: request_id.clone(),
            number: event.number(),
            event: event.name(),
            detail,
        });
    }

    /// Returns the decisions about a request, oldest first.
    #[must_use]
    pub fn find(&self, request_id: &str) -> Vec<Entry> {
        let entries = self.entries.iter();
        let found = entries.filter(|entry| &*entry.request_id == request_id);
        found.cloned().collect()
    }
}
