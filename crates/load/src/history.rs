//! The history that callers and the launcher record, as JSON lines.

use std::{
    cell::RefCell,
    fs, io,
    io::{BufRead as _, Write as _},
    path::Path,
    rc::Rc,
};

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Outcome of an attempt as its caller saw it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The response is complete.
    Complete,
    /// The request was not run.
    NotRun,
    /// The response is incomplete, and the router reported so.
    Cut,
    /// Whether the request ran is unknown.
    Unknown,
    /// The connection could not be made; nothing was sent.
    Unsent,
    /// The attempt ended without an outcome from the router.
    None,
}

impl Outcome {
    /// Parses the value of the header `toucan-outcome` or of the end event.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "complete" => Some(Self::Complete),
            "not-run" => Some(Self::NotRun),
            "cut" => Some(Self::Cut),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// One attempt of an operation: a single HTTP request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Number of the operation; attempts of one operation share it.
    pub operation: u64,
    /// Request id of the attempt, sent as `toucan-request-id`.
    pub id: String,
    /// Team of the caller.
    pub team: String,
    /// Name of the service.
    pub service: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Idempotency key; empty for a repeatable request.
    #[serde(default)]
    pub key: String,
    /// Host name of the router.
    pub router: String,
    /// Number of tokens requested.
    pub asked: u64,
    /// Time of sending, in microseconds since 1970.
    pub sent_us: u64,
    /// Time of the response head, in microseconds since 1970, or 0.
    pub first_us: u64,
    /// Time of the end, in microseconds since 1970.
    pub ended_us: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// HTTP status, or 0.
    pub status: u16,
    /// Code and message of a response that is not complete, or the error of the HTTP client.
    #[serde(default)]
    pub reason: String,
    /// Number of tokens received.
    pub tokens: u64,
    /// Whether every token arrived once, in order and with the expected text.
    pub intact: bool,
}

/// An event of a history. Times are in microseconds since 1970.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A caller started an operation.
    Begin {
        /// Number of the operation.
        operation: u64,
        /// Team of the caller.
        team: String,
        /// Time.
        time_us: u64,
    },
    /// An attempt ended.
    Attempt(Attempt),
    /// A router was asked to stop gracefully.
    Stop {
        /// The router.
        router: String,
        /// Time.
        time_us: u64,
    },
    /// A router process ended, by a kill or a graceful stop.
    Gone {
        /// The router.
        router: String,
        /// Time.
        time_us: u64,
    },
    /// A fault was injected.
    Fault {
        /// Description of the fault.
        what: String,
        /// Time.
        time_us: u64,
    },
    /// The host list shows an upstream as leaving, or as live again.
    Leaving {
        /// The upstream.
        upstream: String,
        /// Whether it is leaving.
        leaving: bool,
        /// Time.
        time_us: u64,
    },
    /// A router reported the revision of the active configuration.
    Revision {
        /// The router.
        router: String,
        /// The revision.
        revision: u64,
        /// Time.
        time_us: u64,
    },
    /// A phase of an experiment began; measurements use its time.
    Phase {
        /// Name of the phase.
        name: String,
        /// Time.
        time_us: u64,
    },
}

/// Keeps events in memory and appends them to a file. Clones share both.
#[derive(Clone, Debug)]
pub struct Recorder {
    events: Rc<RefCell<Vec<Event>>>,
    file: Rc<RefCell<io::BufWriter<fs::File>>>,
}

impl Recorder {
    /// Starts a history in a new file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = io::BufWriter::new(fs::File::create(path)?);
        Ok(Self {
            events: Rc::default(),
            file: Rc::new(RefCell::new(file)),
        })
    }

    /// Records an event.
    pub fn record(&self, event: Event) {
        if let Ok(mut line) = serde_json::to_vec(&event) {
            line.push(b'\n');
            // The checks use the events in memory; the file is kept for inspection after the run.
            let _ = self.file.borrow_mut().write_all(&line);
        }
        self.events.borrow_mut().push(event);
    }

    /// Flushes the file and returns all events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let _ = self.file.borrow_mut().flush();
        self.events.borrow().clone()
    }
}

/// Reads the JSON lines of a file that parse as `T`; other lines are skipped.
///
/// # Errors
///
/// Returns an error when the file cannot be read.
pub fn read_json_lines<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let mut values = Vec::new();
    for line in io::BufReader::new(fs::File::open(path)?).lines() {
        if let Ok(value) = serde_json::from_str(&line?) {
            values.push(value);
        }
    }
    Ok(values)
}
