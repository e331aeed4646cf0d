//! The JSON lines that upstreams record for the checker.

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

/// What happened at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// A request began to run.
    Start,
    /// A request ran to its end.
    End,
    /// A request was cancelled, or its client disconnected.
    Cancel,
    /// The upstream crashed. One line for each request in flight, or one without a request.
    Crash,
    /// The upstream was told that it is leaving.
    Leave,
}

/// One line of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Wall-clock time in microseconds since 1970.
    pub time_us: u64,
    /// Name of the upstream.
    pub upstream: String,
    /// What happened.
    pub event: Event,
    /// Number of the execution at this upstream; pairs a start with its end.
    #[serde(default)]
    pub run: u64,
    /// The request.
    #[serde(flatten)]
    pub request: Request,
    /// Index of the first token that the run is to deliver.
    #[serde(default)]
    pub first: u64,
    /// Tokens that the run has delivered so far.
    #[serde(default)]
    pub tokens: u64,
    /// For a start: time that the request waited inside the upstream, in microseconds.
    #[serde(default)]
    pub queued_us: u64,
    /// For a start: milliseconds since the upstream was told that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
    /// Digest of the request body, for plain services.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub digest: String,
}

/// How a router names a request to its upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// From the header `toucan-request-id`, or else from the body.
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
    /// Returns the key, or the request identifier of a request without a key.
    #[must_use]
    pub fn identity(&self) -> &str {
        match self.key.as_str() {
            "" => &self.request_id,
            key => key,
        }
    }

    /// Reads the headers that routers forward.
    #[must_use]
    pub fn of(call: &http::Call) -> Self {
        let text = |key| call.header(key).unwrap_or_default();
        Self {
            request_id: text("toucan-request-id"),
            key: text("toucan-key"),
            team: text("toucan-team"),
        }
    }
}

/// Returns the wall-clock time in microseconds since 1970.
#[must_use]
pub fn now_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Why a history cannot be written.
#[derive(Debug, thiserror::Error)]
#[error("cannot open history {}: {source}; give a writable file with --history", path.display())]
pub struct Error {
    /// The file.
    pub path: PathBuf,
    /// The cause.
    pub source: io::Error,
}

/// Appends lines to a file, or drops them when there is none.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    file: Option<Rc<RefCell<fs::File>>>,
}

impl Writer {
    /// Opens a file for appending.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be opened.
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

    /// Appends a line. Each line is written at once, so a killed process loses none.
    pub fn write(&self, line: &Line) {
        let Some(file) = &self.file else { return };
        let mut bytes = serde_json::to_vec(line).unwrap_or_default();
        bytes.push(b'\n');
        if let Err(error) = file.borrow_mut().write_all(&bytes) {
            log::error!("cannot write the history: {error}");
        }
    }
}
