//! What callers and the launcher record, as JSON lines.

use std::{
    cell::RefCell,
    fs, io,
    io::{BufRead as _, Write as _},
    path::Path,
    rc::Rc,
};

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The response is complete.
    Complete,
    /// The request was not run.
    NotRun,
    /// The response broke off and the router said so.
    Cut,
    /// Whether the request ran is unknown.
    Unknown,
    /// The connection could not be made; nothing was sent.
    Unsent,
    /// The connection ended without a final answer.
    None,
}

impl Outcome {
    /// Reads the value of the header `toucan-outcome` or of the end event.
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

/// One attempt of an operation: one HTTP call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Number of the operation; attempts of one operation share it.
    pub operation: u64,
    /// Identity of the attempt, sent as `toucan-request-id`.
    pub id: String,
    /// Team of the caller.
    pub team: String,
    /// Service called.
    pub service: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Idempotency key, for a call that may run once only.
    #[serde(default)]
    pub key: String,
    /// Host name of the router.
    pub router: String,
    /// Tokens asked for.
    pub asked: u64,
    /// Time of sending, in microseconds since 1970.
    pub sent_us: u64,
    /// Time of the first byte of the answer, or 0.
    pub first_us: u64,
    /// Time of the end.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// HTTP status, or 0.
    pub status: u16,
    /// Code or message of a refusal.
    #[serde(default)]
    pub reason: String,
    /// Tokens received.
    pub tokens: u64,
    /// Whether every token arrived once, in order, with the text that the request leads to.
    pub intact: bool,
}

/// What the launcher did or saw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A caller began an operation.
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
    /// A router stopped running, for whatever reason.
    Gone {
        /// The router.
        router: String,
        /// Time.
        time_us: u64,
    },
    /// A fault was injected.
    Fault {
        /// What was done.
        what: String,
        /// Time.
        time_us: u64,
    },
    /// The host list began to show an upstream as leaving, or as live again.
    Leaving {
        /// The upstream.
        upstream: String,
        /// Whether it is leaving.
        leaving: bool,
        /// Time.
        time_us: u64,
    },
    /// A router reported the revision of the configuration in force.
    Revision {
        /// The router.
        router: String,
        /// The revision.
        revision: u64,
        /// Time.
        time_us: u64,
    },
    /// The load changed phase; measures use the time.
    Phase {
        /// Name of the phase.
        name: String,
        /// Time.
        time_us: u64,
    },
}

/// Keeps events in memory and appends them to a file.
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
    /// Returns why the file cannot be created.
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
            // The events in memory are those that are checked; the file is for later reading.
            let _ = self.file.borrow_mut().write_all(&line);
        }
        self.events.borrow_mut().push(event);
    }

    /// Writes what is buffered and returns all events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let _ = self.file.borrow_mut().flush();
        self.events.borrow().clone()
    }
}

/// Reads the JSON lines of a file that have the form of `T`; other lines are passed over.
///
/// # Errors
///
/// Returns why the file cannot be read.
pub fn read<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let mut found = Vec::new();
    for line in io::BufReader::new(fs::File::open(path)?).lines() {
        if let Ok(value) = serde_json::from_str(&line?) {
            found.push(value);
        }
    }
    Ok(found)
}
