//! Finds out whether an upstream still runs the process that its entry describes.
//!
//! For a while after the platform's store was unavailable, or after the start of this router, an entry may be
//! older than the process: the upstream crashed and returned with other software, and has not renewed its entry.
//! The upstream states the start of its run itself, and is asked before it gets a stream that may go on
//! elsewhere.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use indexmap::IndexMap;
use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::pool::Choice;
use tsw_http::{connection::Connection, exchange::Exchange};
use tsw_route::Name;

use crate::{attempt::CONNECT_TIMEOUT, router::Router};

/// Time limit of the question.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an answer holds.
const LIFETIME: Span = Span::from_secs(2);
/// Maximum length of an answer in bytes. It lists some details of each request that the upstream runs.
const MAX_ANSWER_BYTES: usize = 1 << 18;

/// What is known of the runs of upstreams beside their entries.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    /// Whether entries may be older than the processes.
    may_be_outdated: Cell<bool>,
    /// Start of the run that each upstream has confirmed, and when it did.
    confirmed: RefCell<IndexMap<Name, (u64, Timestamp)>>,
}

impl Runs {
    fn is_confirmed(&self, now: Timestamp, choice: &Choice) -> bool {
        let confirmed = self.confirmed.borrow();
        confirmed.get(&choice.id).is_some_and(|(started_at, at)| {
            *started_at == choice.started_at && now.since(*at) <= LIFETIME
        })
    }

    fn confirm(&self, now: Timestamp, choice: &Choice) {
        let mut confirmed = self.confirmed.borrow_mut();
        confirmed.retain(|_, (_, at)| now.since(*at) <= LIFETIME);
        confirmed.insert(choice.id.clone(), (choice.started_at, now));
    }

    /// Forgets what an upstream has confirmed, since a connection to it broke.
    pub(crate) fn forget(&self, id: &Name) {
        self.confirmed.borrow_mut().swap_remove(id);
    }
}

impl Router {
    /// Sets whether the entries of upstreams may be older than their processes.
    pub fn set_entries_may_be_outdated(&self, may_be_outdated: bool) {
        self.runs.may_be_outdated.set(may_be_outdated);
    }

    /// Returns whether the chosen upstream runs what its entry says, as far as can be found out. If it does
    /// not, the run of the entry has ended, and this and the other routers no longer rely on it.
    pub(crate) async fn confirms_run(&self, service: &Name, choice: &Choice) -> bool {
        let now = self.now();
        if !self.runs.may_be_outdated.get()
            || choice.software.is_unknown()
            || self.runs.is_confirmed(now, choice)
        {
            return true;
        }
        let answer = time::timeout(TIMEOUT, self.ask_run(service, choice)).await;
        match answer.ok().flatten() {
            Some(started_at) if started_at > choice.started_at => {
                self.record_ended_run(service, &choice.id, choice.started_at);
                false
            }
            Some(_) => {
                self.runs.confirm(self.now(), choice);
                true
            }
            // The attempt itself shows whether the upstream can be used.
            None => {
                emit(Event::RunUnknown, &[("upstream", &choice.id)]);
                true
            }
        }
    }

    /// Asks an upstream for the start of its run.
    async fn ask_run(&self, service: &Name, choice: &Choice) -> Option<u64> {
        let pooled = {
            let mut connections = self.connections.borrow_mut();
            connections.take(choice.address, Instant::now(), "")
        };
        let connection = match pooled {
            Some(connection) => connection,
            None => Connection::open(choice.address, CONNECT_TIMEOUT)
                .await
                .ok()?,
        };
        let question = self.protocol.run_question(choice);
        let mut exchange = Exchange::open(connection, &question, Bytes::new())
            .await
            .ok()?;
        let mut answer = BytesMut::new();
        while let Some(data) = exchange.data().await.ok()? {
            answer.extend_from_slice(&data);
            if answer.len() > MAX_ANSWER_BYTES {
                return None;
            }
        }
        let started_at = (exchange.head().status == 200).then(|| self.protocol.run_start(&answer));
        if let Some(reusable) = exchange.finish() {
            self.keep_connection(service, choice.address, reusable);
        }
        started_at.flatten()
    }
}
