//! The states of a key in the owner's table: intent sent, running, done.

use tsw_base::{host, time::Timestamp};

use crate::{
    message::{Digest, Response},
    permit,
};

/// Proof that a key may be run now. It cannot be cloned and is created exactly once for each key
/// that runs, so the key cannot be dispatched twice.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a key whose `Run` is dropped never finishes and stays in the table"]
pub struct Run {
    key: permit::Key,
}

impl Run {
    /// Returns the key to run.
    #[must_use]
    pub const fn key(&self) -> &permit::Key {
        &self.key
    }
}

/// A key in state `S`, with the calls that wait for its response.
#[derive(Debug)]
pub(crate) struct Entry<S> {
    pub(crate) key: permit::Key,
    pub(crate) digest: Digest,
    pub(crate) waiters: Vec<u64>,
    pub(crate) state: S,
}

/// The intent was sent to the witnesses, and not all of them have accepted it yet.
#[derive(Debug)]
pub(crate) struct IntentSent {
    pub(crate) awaiting: Vec<host::Id>,
    pub(crate) deadline: Timestamp,
    pub(crate) resend_at: Timestamp,
}

/// All witnesses accepted the intent; the call may have reached an upstream.
#[derive(Debug)]
pub(crate) struct Running;

/// The final response is known.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) response: Response,
    pub(crate) unacknowledged: Vec<host::Id>,
    pub(crate) sends: u32,
    pub(crate) resend_at: Timestamp,
    pub(crate) retain_until: Timestamp,
}

/// An entry in any of its states, as the table stores it.
#[derive(Debug)]
pub(crate) enum AnyEntry {
    IntentSent(Entry<IntentSent>),
    Running(Entry<Running>),
    Done(Entry<Done>),
}

/// Result of [`Entry::accept`].
#[derive(Debug)]
pub(crate) enum AcceptResult {
    Waiting(Entry<IntentSent>),
    Ready(Entry<Running>, Run),
}

impl<S> Entry<S> {
    fn with_state<T>(self, state: T) -> Entry<T> {
        Entry {
            key: self.key,
            digest: self.digest,
            waiters: self.waiters,
            state,
        }
    }

    fn done(self, response: Response, retain_until: Timestamp) -> Entry<Done> {
        let unacknowledged = self.key.permit.witnesses.clone();
        self.with_state(Done {
            response,
            unacknowledged,
            sends: 0,
            resend_at: Timestamp::ZERO,
            retain_until,
        })
    }
}

impl Entry<IntentSent> {
    /// Records that a witness accepted the intent. Creates the [`Run`] once all have accepted.
    /// `witness` is `None` when the key is added: a permit without witnesses can run at once.
    pub(crate) fn accept(mut self, witness: Option<&host::Id>) -> AcceptResult {
        self.state.awaiting.retain(|id| Some(id) != witness);
        if self.state.awaiting.is_empty() {
            let run = Run {
                key: self.key.clone(),
            };
            AcceptResult::Ready(self.with_state(Running), run)
        } else {
            AcceptResult::Waiting(self)
        }
    }

    /// Ends a key as not run; its call was never sent to an upstream.
    pub(crate) fn refuse(self, code: &str, retain_until: Timestamp) -> Entry<Done> {
        self.done(Response::not_run(code), retain_until)
    }
}

impl Entry<Running> {
    /// Ends a key with the response of its run.
    pub(crate) fn finish(
        self,
        run: Run,
        response: Response,
        retain_until: Timestamp,
    ) -> Entry<Done> {
        drop(run);
        self.done(response, retain_until)
    }
}
