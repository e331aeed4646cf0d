//! The life of a key at its owner: noting, running, done.

use tsw_base::{host, time::Tick};

use crate::{
    message::{Digest, Response},
    permit,
};

/// The authority to run a key. Exactly one is made for each key that runs.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a key whose run is dropped stays in the table for good"]
pub struct Run {
    key: permit::Key,
}

impl Run {
    /// Returns the key.
    #[must_use]
    pub const fn key(&self) -> &permit::Key {
        &self.key
    }
}

/// A key in state `S`.
#[derive(Debug)]
pub(crate) struct Life<S> {
    pub(crate) key: permit::Key,
    pub(crate) digest: Digest,
    pub(crate) waiters: Vec<u64>,
    pub(crate) state: S,
}

/// Witnesses are asked to accept the intent.
#[derive(Debug)]
pub(crate) struct Noting {
    pub(crate) missing: Vec<host::Id>,
    pub(crate) until: Tick,
    pub(crate) resend: Tick,
}

/// All witnesses accepted; the key may have reached an upstream.
#[derive(Debug)]
pub(crate) struct Running;

/// The final response is known.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) response: Response,
    pub(crate) unacknowledged: Vec<host::Id>,
    pub(crate) sends: u32,
    pub(crate) resend: Tick,
    pub(crate) keep: Tick,
}

/// Any state of a key.
#[derive(Debug)]
pub(crate) enum Stage {
    Noting(Life<Noting>),
    Running(Life<Running>),
    Done(Life<Done>),
}

/// What an acceptance leads to.
#[derive(Debug)]
pub(crate) enum Step {
    Wait(Life<Noting>),
    Ready(Life<Running>, Run),
}

impl<S> Life<S> {
    fn with<T>(self, state: T) -> Life<T> {
        Life {
            key: self.key,
            digest: self.digest,
            waiters: self.waiters,
            state,
        }
    }

    fn done(self, response: Response, keep: Tick) -> Life<Done> {
        let unacknowledged = self.key.permit.witnesses.clone();
        self.with(Done {
            response,
            unacknowledged,
            sends: 0,
            resend: Tick::ZERO,
            keep,
        })
    }
}

impl Life<Noting> {
    /// Counts the acceptance of a witness. Only the last of them makes a [`Run`].
    pub(crate) fn accept(mut self, witness: Option<&host::Id>) -> Step {
        self.state.missing.retain(|id| Some(id) != witness);
        if self.state.missing.is_empty() {
            let run = Run {
                key: self.key.clone(),
            };
            Step::Ready(self.with(Running), run)
        } else {
            Step::Wait(self)
        }
    }

    /// Ends the life of a key that no upstream has seen.
    pub(crate) fn refuse(self, code: &str, keep: Tick) -> Life<Done> {
        self.done(Response::not_run(code), keep)
    }
}

impl Life<Running> {
    /// Ends the life of a key with the response to its run.
    pub(crate) fn finish(self, run: Run, response: Response, keep: Tick) -> Life<Done> {
        drop(run);
        self.done(response, keep)
    }
}
