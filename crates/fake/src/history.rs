//! The history: JSON lines in which upstreams record events for the checks of the load tool.

use std::{
    cell::RefCell,
    fs, io,
    io::Write as _,
    path::{Path, PathBuf},
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::http;

/// An event at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// The execution of a request started.
    Start,
    /// The execution of a request ended.
    End,
    /// A request was cancelled, or its caller disconnected.
    Cancel,
    /// The upstream crashed. There is one line without a request and one for each request that was
    /// being executed.
    Crash,
    /// The upstream was told that it is leaving.
    Leave,
}

/// One line of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub time_us: u64,
    /// Name of the upstream.
    pub upstream: String,
    /// The event.
    pub event: Event,
    /// Number of the execution at this upstream, which is the same for its start and its end.
    #[serde(default)]
    pub run: u64,
    /// The request.
    #[serde(flatten)]
    pub request: Request,
    /// Index of the first token to send; not zero if a stream is resumed.
    #[serde(default)]
    pub first: u64,
    /// Number of tokens sent so far.
    #[serde(default)]
    pub tokens: u64,
    /// For [`Event::Start`]: time that the request waited inside the upstream, in microseconds.
    #[serde(default)]
    pub queued_us: u64,
    /// For [`Event::Start`]: time since the upstream was told that it is leaving, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
    /// Digest of the request body; only recorded by the booking service.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub digest: String,
}

/// The identifiers that a router forwards with a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// From the header `toucan-request-id`; engines use the identifier in the body if it is
    /// missing.
    #[serde(default)]
    pub request_id: String,
    /// From the header `toucan-key`.
    #[serde(default)]
    pub key: String,
    /// From the header `toucan-team`.
    #[serde(default)]
    pub team: String,
}

impl Request {
    /// Returns the key, or the request identifier if there is no key.
    #[must_use]
    pub fn identity(&self) -> &str {
        match self.key.as_str() {
            "" => &self.request_id,
            key => key,
        }
    }

    /// Reads the identifiers from the headers of a call.
    #[must_use]
    pub fn from_headers(call: &http::Call) -> Self {
        let text = |key| call.header(key).unwrap_or_default();
        Self {
            request_id: text("toucan-request-id"),
            key: text("toucan-key"),
            team: text("toucan-team"),
        }
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// The history file cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot open history {}: {source}; give a writable file with --history", path.display())]
pub struct Error {
    /// Path of the file.
    pub path: PathBuf,
    /// The cause.
    pub source: io::Error,
}

/// Appends lines to a file, or discards them if there is no file.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    file: Option<Rc<RefCell<fs::File>>>,
}

impl Writer {
    /// Opens a file for appending; without a path, lines are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn open(path: Option<&Path>) -> Result<Self, Error> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let file = fs::OpenOptions::new().append(true).create(true).open(path);
        let file = file.map_err(|source| Error {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            file: Some(Rc::new(RefCell::new(file))),
        })
    }

    /// Appends a line. Lines are written without buffering, so that a killed process loses none.
    pub fn write(&self, line: &Line) {
        let Some(file) = &self.file else { return };
        let mut bytes = serde_json::to_vec(line).unwrap_or_default();
        bytes.push(b'\n');
        if let Err(error) = file.borrow_mut().write_all(&bytes) {
            log::error!("cannot write the history: {error}");
        }
    }
}
