//! Finds out whether a response that ends with its connection is whole.
//!
//! The operating system closes the connections of a killed process as the process itself would at the end of
//! such a response. Before the end is passed on, the upstream is therefore asked for the start of its run. Of one
//! that states none it is only found out whether it still accepts connections.

use std::time::Duration;

use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_flow::pool::Choice;
use tsw_http::connection::Connection;
use tsw_route::Name;

use super::{is_other, Runs, MAX_BROKEN, TIMEOUT};
use crate::{attempt::CONNECT_TIMEOUT, crash_detector, router::Router};

/// Time limit of finding out, after which the response counts as cut. Sound upstreams may be silent for a second
/// or so.
const LIMIT: Duration = Duration::from_secs(3);
/// Pause after the first question without an answer, in which the operating system closes the listener of a killed
/// process; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Time for which an upstream that stated no start is not asked again.
const NO_START_LIFETIME: Span = Span::from_secs(30);

/// What is known of the upstream of a response that ended with its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseEnd {
    /// Its run goes on, so that the response is whole.
    Whole,
    /// Nothing accepts connections at its address.
    Down,
    /// It has started again.
    Restarted,
    /// It does not answer.
    Silent,
}

impl Runs {
    /// Records the start that an upstream states, or that it states none.
    pub(super) fn record_stated(&self, now: Timestamp, id: &Name, started_at: Option<u64>) {
        let mut stated = self.stated.borrow_mut();
        let known = stated.get(id).map(|(known, _)| *known);
        let is_known = known == Some(started_at) && started_at.is_some();
        if is_known || started_at.is_none() && known.flatten().is_some() {
            return;
        }
        stated.shift_remove(id);
        if stated.len() >= MAX_BROKEN {
            stated.shift_remove_index(0);
        }
        stated.insert(id.clone(), (started_at, now));
    }

    /// Returns whether an upstream states the start of its run, if that is known.
    fn states_start(&self, now: Timestamp, id: &Name) -> Option<bool> {
        let stated = self.stated.borrow();
        let (known, since) = stated.get(id)?;
        (known.is_some() || now.since(*since) <= NO_START_LIFETIME).then_some(known.is_some())
    }

    /// Returns whether an upstream has last stated another start than that of a run.
    pub(super) fn states_other(&self, choice: &Choice) -> bool {
        let stated = self.stated.borrow();
        let stated = stated
            .get(&choice.id)
            .and_then(|(started_at, _)| *started_at);
        stated.is_some_and(|started_at| is_other(started_at, choice))
    }

    /// Returns whether a run may have begun after a request was sent to the upstream. Its entry may be older than
    /// the run that got the request.
    fn may_have_begun_since(&self, sent: Timestamp, choice: &Choice, started_at: u64) -> bool {
        let stated = self.stated.borrow();
        let was_known = stated
            .get(&choice.id)
            .is_some_and(|(known, since)| *known == Some(started_at) && *since <= sent);
        is_other(started_at, choice) && !was_known
    }
}

impl Router {
    /// Finds out whether the run of an upstream goes on after its response to a request sent at `sent` ended with
    /// the connection. If it does not, its entry is no longer relied on.
    pub(crate) async fn check_response_end(
        &self,
        service: &Name,
        choice: &Choice,
        sent: Timestamp,
    ) -> ResponseEnd {
        let end = time::timeout(LIMIT, self.find_response_end(service, choice, sent)).await;
        let end = end.unwrap_or(ResponseEnd::Silent);
        match end {
            ResponseEnd::Down => self.record_ended_run(service, &choice.id, choice.started_at),
            ResponseEnd::Restarted => self.record_other_run(service, choice),
            ResponseEnd::Whole | ResponseEnd::Silent => {}
        }
        end
    }

    async fn find_response_end(
        &self,
        service: &Name,
        choice: &Choice,
        sent: Timestamp,
    ) -> ResponseEnd {
        let states_start = self.runs.states_start(self.now(), &choice.id);
        let limit = match states_start {
            Some(true) => Some(LIMIT),
            // It may take the question for a request, which waits for a slot.
            None => Some(TIMEOUT),
            Some(false) => None,
        };
        let mut pause = FIRST_PAUSE;
        loop {
            let answer = match limit {
                Some(limit) => {
                    let question = self.ask_run_without_limit(service, choice);
                    time::timeout(limit, question).await.ok().flatten()
                }
                None => None,
            };
            match answer {
                Some(Some(started_at))
                    if self.runs.may_have_begun_since(sent, choice, started_at) =>
                {
                    return ResponseEnd::Restarted;
                }
                Some(_) => return ResponseEnd::Whole,
                None => time::sleep(pause).await,
            }
            pause *= 2;
            match Connection::open(choice.address, CONNECT_TIMEOUT).await {
                Ok(connection) => {
                    self.keep_checked(service, choice.address, connection);
                    if states_start != Some(true) {
                        self.runs.record_stated(self.now(), &choice.id, None);
                        return ResponseEnd::Whole;
                    }
                }
                Err(error) if crash_detector::is_down(&error) => return ResponseEnd::Down,
                Err(_) => {}
            }
        }
    }
}
