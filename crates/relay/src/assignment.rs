//! Assigns new streams to software.

use std::{cell::Cell, time::Duration};

use indexmap::IndexMap;
use tokio::{sync::watch, time};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    assignment::Assignment, expiry::Expiry, history::Step, origin::Software, pool::Entry,
    registry::Position, service::Service,
};
use tsw_route::{table::Kind, Name};

use crate::{request::Request, router::Router};

/// Number of upstreams of a software that must be known to run so that streams are bound to it. As many confirm that to
/// a router that derives a version.
pub(crate) const MIN_RUNS: usize = 2;

/// Pause of the process after which the list of upstreams has to be read before streams are assigned by it.
const MAX_PAUSE: Span = Span::from_millis(500);
/// Maximum time for which a stream waits for that.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// Whether the list of upstreams is followed, or was missed during a pause of the process or while it was cut off.
#[derive(Debug)]
pub(crate) struct ListState {
    /// When the process last ran, if that is recorded.
    ran_at: Cell<Option<Timestamp>>,
    is_current: watch::Sender<bool>,
    expiry: Cell<Expiry>,
    /// Whether the list had expired when that was last logged.
    was_expired: Cell<bool>,
}

impl Default for ListState {
    fn default() -> Self {
        Self {
            ran_at: Cell::new(None),
            is_current: watch::Sender::new(true),
            expiry: Cell::default(),
            was_expired: Cell::default(),
        }
    }
}

/// The assignment of each service.
pub(crate) type Assignments = IndexMap<Name, Assignment>;

impl Router {
    /// Records the listed upstreams.
    pub(crate) fn record_assignments<'a>(&self, entries: impl Iterator<Item = &'a Entry> + Clone) {
        let now = self.now();
        let mut assignments = self.assignments.borrow_mut();
        let is_first = assignments.is_empty();
        for entry in entries.clone() {
            if !assignments.contains_key(&entry.service) {
                let mut assignment = Assignment::default();
                if !is_first {
                    // The service had no upstream before.
                    assignment.record(now, []);
                }
                assignments.insert(entry.service.clone(), assignment);
            }
        }
        for (service, assignment) in assignments.iter_mut() {
            let listed = entries.clone();
            let listed = listed.filter(|entry| entry.service == *service);
            assignment.record(now, listed);
        }
    }

    /// Records that upstreams may have come and gone unseen until now: the streams that they began go on only where they are recorded.
    pub fn record_hidden_changes(&self) {
        let (now, lifetime) = (self.now(), self.origin_lifetime());
        let mut assignments = self.assignments.borrow_mut();
        let mut software = self.software.borrow_mut();
        for (service, assignment) in assignments.iter_mut() {
            assignment.record_hidden(now);
            let unknown = Software::unknown(&Name::from(""));
            software.record_software(now, lifetime, service, unknown);
        }
        self.metrics.hidden_changes.inc();
    }

    /// Records runs that accepted new streams for some time since the latest list that was recorded, and are not on the next one.
    pub fn record_passed_runs<'a>(&self, entries: impl Iterator<Item = &'a Entry>) {
        let mut assignments = self.assignments.borrow_mut();
        for entry in entries {
            let assignment = assignments.entry(entry.service.clone()).or_default();
            assignment.record_passed(entry);
        }
    }

    /// Records that the process runs, which is expected every 100 ms or so, and returns whether the list of upstreams
    /// has to be read, since it may have changed during a pause.
    pub fn record_running(&self) -> bool {
        let must_read = self.is_list_outdated();
        self.list_state.ran_at.set(Some(self.now()));
        must_read
    }

    /// Records that the list of upstreams was read, or cannot be read, after a pause.
    pub fn record_list_read(&self) {
        self.list_state.is_current.send_replace(true);
    }

    /// Returns whether the list of upstreams may have changed during a pause of the process.
    pub(crate) fn is_list_outdated(&self) -> bool {
        let ran_at = self.list_state.ran_at.get();
        if ran_at.is_some_and(|at| self.now().since(at) > MAX_PAUSE) {
            self.list_state.ran_at.set(Some(self.now()));
            self.list_state.is_current.send_replace(false);
        }
        !*self.list_state.is_current.borrow()
    }

    /// Waits until the list of upstreams was read after a pause of the process.
    pub(crate) async fn wait_list_read(&self) {
        if !self.is_list_outdated() {
            return;
        }
        let mut is_current = self.list_state.is_current.subscribe();
        let read = is_current.wait_for(|is_current| *is_current);
        if time::timeout(READ_LIMIT, read).await.is_err() {
            self.record_list_read();
        }
    }

    /// Records that the list is confirmed up to a time: no other router can have known a change until then that this one does not know.
    pub fn record_list_confirmed(&self, until: Timestamp) {
        let mut expiry = self.list_state.expiry.get();
        expiry.record_confirmed(until);
        self.list_state.expiry.set(expiry);
    }

    /// Records contact with other routers at a time, the position up to which this one knows the list, and the latest that others have stated.
    pub fn record_contact(&self, at: Timestamp, known: Position, stated: Position) {
        let mut expiry = self.list_state.expiry.get();
        expiry.record_contact(at, known, stated);
        self.list_state.expiry.set(expiry);
    }

    /// Returns whether the list had expired at a time, so that no streams may begin by it.
    pub(crate) fn is_list_expired(&self, at: Timestamp) -> bool {
        self.list_state.expiry.get().is_expired(at)
    }

    /// Logs whether the list has expired, each time that this changes.
    pub fn log_list_expiry(&self) {
        let is_expired = self.is_list_expired(self.now());
        if self.list_state.was_expired.replace(is_expired) == is_expired {
            return;
        }
        let event = if is_expired {
            Event::ListExpired
        } else {
            Event::ListRenewed
        };
        let age = self.list_state.expiry.get().age(self.now());
        emit(event, &[("age_ms", &age.as_millis())]);
    }

    /// Marks the present list as the one up to which a history is read.
    pub fn mark_list(&self) {
        let mut assignments = self.assignments.borrow_mut();
        assignments.values_mut().for_each(Assignment::mark_list);
    }

    /// Records the changes of the list before the marked one, of a history that was read at a time and shows all since
    /// another one.
    pub fn record_history(&self, read_at: Timestamp, known_since: Timestamp, steps: &[Step]) {
        let mut assignments = self.assignments.borrow_mut();
        for assignment in assignments.values_mut() {
            assignment.replace_past(known_since);
        }
        let entries = steps.iter().flat_map(|step| [&step.ended, &step.began]);
        for entry in entries.flatten() {
            assignments.entry(entry.service.clone()).or_default();
        }
        for step in steps {
            let at = Timestamp::ZERO + read_at.since(Timestamp::ZERO + step.age);
            for (service, assignment) in assignments.iter_mut() {
                let is_of = |entry: &&Entry| entry.service == *service;
                let ended = step.ended.as_ref().filter(is_of);
                let began = step.began.as_ref().filter(is_of);
                if step.ended_unknown {
                    assignment.record_past_unknown(at, began);
                } else if ended.or(began).is_some() {
                    assignment.record_past(at, ended, began);
                }
            }
        }
        let assignments = assignments.values_mut();
        assignments.for_each(|assignment| assignment.finish_past(read_at));
    }

    /// Records that all changes of the list up to a time are known.
    pub fn record_list_complete(&self, until: Timestamp) {
        let mut assignments = self.assignments.borrow_mut();
        let assignments = assignments.values_mut();
        assignments.for_each(|assignment| assignment.record_complete(until));
    }

    /// Returns the software at which a new stream has to begin; `None` if it may begin anywhere, as other
    /// requests may, or if fewer than two upstreams of that software are known to run and to accept requests.
    pub(crate) fn assigned_software(&self, request: &Request) -> Option<Software> {
        let is_resumable = request.route.kind == Kind::Stream { resumable: true };
        if !is_resumable || request.is_resume() {
            return None;
        }
        let assignments = self.assignments.borrow();
        let assignment = assignments.get(&request.service)?;
        let software = assignment.assigned(request.key())?;
        let runs = |service: &mut Service| service.pool.runs_of(software).count() >= MIN_RUNS;
        let has_runs = self.with_service(&request.service, runs) == Some(true);
        has_runs.then(|| software.clone())
    }
}
