//! Finds out whether an upstream still runs the process that its entry describes.
//!
//! An entry may be older than the process: the upstream crashed and returned with other software, and has not
//! renewed its entry. The upstream states the start of its run itself. It is asked before it gets a stream that
//! may go on elsewhere, on each new connection, if the platform's store was unavailable lately or this router has just
//! started, and if a connection to it broke.

mod response_end;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::{future, stream, StreamExt as _};
use indexmap::{IndexMap, IndexSet};
use tokio::{sync::watch, time};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{contained, emit, Event};
use tsw_flow::{origin::Software, pool::Choice, service::Service};
use tsw_http::{connection::Connection, exchange::Exchange, head};
use tsw_route::Name;

use crate::{attempt::CONNECT_TIMEOUT, request::Request, router::Router};
pub(crate) use response_end::ResponseEnd;

/// Time limit of the question.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of the question while a stream has begun to run at the upstream.
const LATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an answer holds.
const LIFETIME: Span = Span::from_secs(2);
/// Status of a question that was refused.
const TOO_MANY_REQUESTS: u16 = 429;
/// Maximum length of an answer in bytes. It lists some details of each request that the upstream runs, or of the prompt parts that it keeps.
const MAX_ANSWER_BYTES: usize = 1 << 18;

/// Maximum number of upstreams that a request asks at the same time.
const MAX_ASKED: usize = 4;
/// Maximum time for which a request waits until enough of them have confirmed their runs.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(1);

/// Maximum number of upstreams that are remembered because connections to them broke.
const MAX_BROKEN: usize = 4_096;

/// What is known of the runs of upstreams beside their entries.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    /// Whether all entries may be older than the processes.
    may_be_outdated: Cell<bool>,
    /// Upstreams to which connections broke, so that they may have restarted since.
    broken: RefCell<IndexSet<Name>>,
    /// Start of the run that each upstream has confirmed, and when it did.
    confirmed: RefCell<IndexMap<Name, (u64, Timestamp)>>,
    /// When upstreams of unknown software were asked lately.
    asked: RefCell<IndexMap<Name, Timestamp>>,
    /// The latest question to each run, by name and start, for requests whose origin is derived.
    questions: RefCell<IndexMap<(Name, u64), Question>>,
    /// Start of the run that each upstream has stated last, if it states one, and when that was found out first.
    stated: RefCell<IndexMap<Name, (Option<u64>, Timestamp)>>,
}

impl Runs {
    fn is_broken(&self, id: &Name) -> bool {
        self.broken.borrow().contains(id)
    }

    fn is_confirmed(&self, now: Timestamp, choice: &Choice) -> bool {
        let confirmed = self.confirmed.borrow();
        confirmed.get(&choice.id).is_some_and(|(started_at, at)| {
            *started_at == choice.started_at && now.since(*at) <= LIFETIME
        })
    }

    /// Returns whether the chosen run was confirmed at a time or later.
    fn is_confirmed_since(&self, since: Timestamp, choice: &Choice) -> bool {
        let confirmed = self.confirmed.borrow();
        let confirmed = confirmed.get(&choice.id);
        confirmed.is_some_and(|(started_at, at)| *started_at == choice.started_at && *at >= since)
    }

    fn confirm(&self, now: Timestamp, choice: &Choice) {
        let mut confirmed = self.confirmed.borrow_mut();
        confirmed.retain(|_, (_, at)| now.since(*at) <= LIFETIME);
        confirmed.insert(choice.id.clone(), (choice.started_at, now));
        self.broken.borrow_mut().swap_remove(&choice.id);
    }

    /// Returns whether an upstream of unknown software was not asked lately, and records that it is asked now.
    fn may_ask_again(&self, now: Timestamp, id: &Name) -> bool {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|_, at| now.since(*at) <= LIFETIME);
        let may_ask = !asked.contains_key(id);
        asked.entry(id.clone()).or_insert(now);
        may_ask
    }

    /// Records that a connection to an upstream broke.
    pub(crate) fn record_broken(&self, id: &Name) {
        self.confirmed.borrow_mut().swap_remove(id);
        let mut broken = self.broken.borrow_mut();
        if broken.len() >= MAX_BROKEN {
            broken.shift_remove_index(0);
        }
        broken.insert(id.clone());
    }
}

/// Whether an upstream runs what its entry says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Confirmation {
    /// It does, as far as can be found out.
    Given,
    /// What is known of it has changed, so that another choice has to be made.
    Changed,
    /// It does not answer, after a connection to it broke.
    Silent,
    /// It does not answer.
    Missing,
}

/// A question to an upstream whether a run goes on.
#[derive(Clone, Debug)]
struct Question {
    at: Timestamp,
    answer: watch::Receiver<Option<bool>>,
}

/// An answer of an upstream.
enum Answer {
    /// Start of its run, in milliseconds since 1970, if it states one.
    Start(Option<u64>),
    /// No answer in time.
    Missing,
}

impl Router {
    /// Sets whether the entries of upstreams may be older than their processes.
    pub fn set_entries_may_be_outdated(&self, may_be_outdated: bool) {
        self.runs.may_be_outdated.set(may_be_outdated);
    }

    /// Finds out whether the chosen upstream runs what its entry says. If it does not, this and the other
    /// routers no longer rely on the entry.
    pub(crate) async fn confirm_run(&self, service: &Name, choice: &Choice) -> Confirmation {
        let (now, address) = (self.now(), choice.address);
        let has_connection = {
            let connections = self.connections.borrow();
            if connections.has_closed(address, Instant::now()) {
                self.runs.record_broken(&choice.id);
            }
            connections.has_idle(address, Instant::now())
        };
        let is_broken = self.runs.is_broken(&choice.id);
        // What answers on a new connection may be another process than on those before. A connection may also have been
        // opened to another run than the one that is listed now.
        let is_asked = is_broken
            || !has_connection
            || self.runs.states_other(choice)
            || self.runs.may_be_outdated.get() && !self.runs.is_confirmed(now, choice);
        let is_unknown = choice.software.is_unknown();
        if is_unknown {
            let may_become_known = |service: &mut Service| service.pool.may_become_known(choice);
            let may_become_known = self.with_service(service, may_become_known) == Some(true);
            if !may_become_known || !self.runs.may_ask_again(now, &choice.id) {
                return Confirmation::Given;
            }
        } else if !is_asked {
            return Confirmation::Given;
        }
        match self.ask_run(service, choice).await {
            Answer::Start(Some(started_at)) if is_other(started_at, choice) => {
                self.record_other_run(service, choice);
                if is_unknown {
                    Confirmation::Given
                } else {
                    Confirmation::Changed
                }
            }
            Answer::Start(Some(started_at))
                if started_at == choice.started_at && self.record_stated_run(service, choice) =>
            {
                Confirmation::Changed
            }
            _ if is_unknown => Confirmation::Given,
            Answer::Start(_) => {
                self.runs.confirm(self.now(), choice);
                Confirmation::Given
            }
            Answer::Missing => {
                emit(Event::RunUnknown, &[("upstream", &choice.id)]);
                if is_broken {
                    Confirmation::Silent
                } else {
                    Confirmation::Missing
                }
            }
        }
    }

    /// Asks the chosen upstream, which has not answered in time, while a stream waits for its first event there.
    pub(crate) fn ask_on(self: &Rc<Self>, service: &Name, choice: &Choice) {
        if !self.runs.may_ask_again(self.now(), &choice.id) {
            return;
        }
        let (router, service, choice) = (self.clone(), service.clone(), choice.clone());
        actix_rt::spawn(contained::run(async move {
            let question = router.ask_run_without_limit(&service, &choice);
            let answer = time::timeout(LATE_TIMEOUT, question).await;
            match answer.ok().flatten() {
                Some(Some(started_at)) if is_other(started_at, &choice) => {
                    router.record_other_run(&service, &choice);
                }
                Some(_) => router.runs.confirm(router.now(), &choice),
                None => {}
            }
        }));
    }

    /// Returns the software of a stream that is sent at a time to the chosen upstream, which had not answered before. It is
    /// unknown unless the upstream has confirmed its run since.
    pub(crate) fn confirmed_software(&self, sent: Timestamp, choice: &Choice) -> Software {
        if self.runs.is_confirmed_since(sent, choice) {
            choice.software.clone()
        } else {
            Software::unknown(&choice.id)
        }
    }

    /// Finds out whether as many of these runs as needed go on at a time after the arrival of a request.
    pub(crate) async fn confirm_runs(
        self: &Rc<Self>,
        service: &Name,
        runs: &[Choice],
        needed: usize,
        request: &Request,
    ) -> bool {
        // Different requests ask different upstreams first.
        let first = request.key().0 as usize % runs.len().max(1);
        let (last, first) = runs.split_at(first);
        let goes_on = |run| self.goes_on(service, run, request.arrived);
        let answers = stream::iter(first.iter().chain(last)).map(goes_on);
        let confirmed = answers.buffer_unordered(MAX_ASKED);
        let confirmed = confirmed.filter(|goes_on| future::ready(*goes_on));
        let confirmed = confirmed.take(needed).count();
        needed > 0 && time::timeout(CONFIRMATION_LIMIT, confirmed).await == Ok(needed)
    }

    /// Finds out whether a run goes on, and accepts requests, at a time after `since`. Requests that arrived before it
    /// was asked share the answer.
    async fn goes_on(self: &Rc<Self>, service: &Name, run: &Choice, since: Timestamp) -> bool {
        let mut answer = self.question(service, run, since);
        let answer = answer.wait_for(Option::is_some).await;
        answer.is_ok_and(|answer| *answer == Some(true))
    }

    fn question(
        self: &Rc<Self>,
        service: &Name,
        run: &Choice,
        since: Timestamp,
    ) -> watch::Receiver<Option<bool>> {
        let mut questions = self.runs.questions.borrow_mut();
        let key = (run.id.clone(), run.started_at);
        if let Some(question) = questions.get(&key).filter(|asked| asked.at >= since) {
            return question.answer.clone();
        }
        let (sender, answer) = watch::channel(None);
        let question = Question {
            at: self.now(),
            answer: answer.clone(),
        };
        if questions.len() >= MAX_BROKEN {
            questions.shift_remove_index(0);
        }
        questions.insert(key, question);
        let (router, service, run) = (self.clone(), service.clone(), run.clone());
        // It goes on if the client of the request that asked leaves.
        actix_rt::spawn(contained::run(async move {
            sender.send_replace(Some(router.find_running(&service, &run).await));
        }));
        answer
    }

    async fn find_running(&self, service: &Name, run: &Choice) -> bool {
        match self.ask_run(service, run).await {
            Answer::Start(Some(started_at)) if is_other(started_at, run) => {
                self.record_other_run(service, run);
                false
            }
            Answer::Start(_) => {
                let leaves = |service: &mut Service| service.pool.stated_leaving(run);
                self.with_service(service, leaves) == Some(false)
            }
            Answer::Missing => {
                emit(Event::RunUnknown, &[("upstream", &run.id)]);
                false
            }
        }
    }

    /// Asks an upstream for the start of its run.
    async fn ask_run(&self, service: &Name, choice: &Choice) -> Answer {
        let answer = time::timeout(TIMEOUT, self.ask_run_without_limit(service, choice)).await;
        answer.ok().flatten().map_or(Answer::Missing, Answer::Start)
    }

    /// Returns the start that an upstream states, which may be none, or nothing if it does not answer.
    async fn ask_run_without_limit(&self, service: &Name, choice: &Choice) -> Option<Option<u64>> {
        let question = self.protocol.run_question(choice);
        let (head, answer) = self.ask(service, choice, &question).await?;
        // An upstream that has no report says so, one that fails says nothing of its run.
        if head.status >= 500 || head.status == TOO_MANY_REQUESTS {
            return None;
        }
        let is_report = head.status == 200;
        let started_at = is_report
            .then(|| self.protocol.run_start(&answer))
            .flatten();
        let is_chosen = !started_at.is_some_and(|started_at| is_other(started_at, choice));
        if is_chosen && self.protocol.states_leaving(&head) {
            self.with_service(service, |service| service.pool.record_leaving(choice));
        }
        self.runs.record_stated(self.now(), &choice.id, started_at);
        Some(started_at)
    }

    /// Sends a question to an upstream, and returns its answer if that is whole and not too long.
    pub(crate) async fn ask(
        &self,
        service: &Name,
        choice: &Choice,
        question: &head::Request,
    ) -> Option<(head::Response, Bytes)> {
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
        let mut exchange = Exchange::open(connection, question, Bytes::new())
            .await
            .ok()?;
        let mut answer = BytesMut::new();
        while let Some(data) = exchange.data().await.ok()? {
            answer.extend_from_slice(&data);
            if answer.len() > MAX_ANSWER_BYTES {
                return None;
            }
        }
        let head = exchange.head().clone();
        // A server that fails may also leave its connection in a wrong state.
        let is_kept = head.status < 500 && head.status != TOO_MANY_REQUESTS;
        if let Some(reusable) = exchange.finish().filter(|_| is_kept) {
            self.keep_connection(service, choice.address, reusable);
        }
        Some((head, answer.freeze()))
    }
}

/// Returns whether a stated start is that of another run than the listed one. Some entries state none.
///
/// The question follows the choice from the list, so the listed run is not what answers, whichever start is later.
fn is_other(started_at: u64, listed: &Choice) -> bool {
    listed.started_at > 0 && started_at != listed.started_at
}
