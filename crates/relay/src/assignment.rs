//! Assigns new streams to software, and derives where a stream began that no router remembers.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    assignment::Assignment,
    origin::{Origin, Software, Source},
    pool::Entry,
    service::Service,
};
use tsw_route::{table::Kind, Name};

use crate::{request::Request, router::Router};

/// Difference of two deadlines that is within the delay of requests on their way.
const DEADLINE_TOLERANCE: Span = Span::from_millis(200);

/// Maximum number of teams whose longest wait is kept.
const MAX_TEAMS: usize = 4_096;

/// Why the software of a stream does not follow from what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NotDerived {
    /// The route has several services, the shares of which may have changed since.
    SeveralServices,
    /// The list of upstreams is not known for the time in which the stream may have begun.
    ListUnknown,
    /// Upstreams of several versions, or without one, may have begun the stream, depending on when it began.
    Ambiguous,
    /// The client does not name the attempt that began the stream.
    Unnamed,
    /// This router has run for so long that others would have a record.
    Unrecorded,
}

impl NotDerived {
    const fn cause(self) -> &'static str {
        match self {
            Self::SeveralServices => "several services",
            Self::ListUnknown => "the list is not known for long enough",
            Self::Ambiguous => "it depends on when the stream began",
            Self::Unnamed => "the client names no attempt",
            Self::Unrecorded => "no router has a record",
        }
    }
}

/// The assignment of each service.
pub(crate) type Assignments = IndexMap<Name, Assignment>;

impl Router {
    /// Records the listed upstreams.
    pub(crate) fn record_assignments(&self, entries: &[Entry]) {
        let now = self.now();
        let mut assignments = self.assignments.borrow_mut();
        for entry in entries {
            if !assignments.contains_key(&entry.service) {
                assignments.insert(entry.service.clone(), Assignment::default());
            }
        }
        for (service, assignment) in assignments.iter_mut() {
            let listed = entries.iter().filter(|entry| entry.service == *service);
            assignment.record(now, listed);
        }
    }

    /// Records that an upstream may have accepted streams until a time before the start.
    pub fn record_past_upstream(&self, until: Timestamp, entry: &Entry) {
        let mut assignments = self.assignments.borrow_mut();
        let assignment = assignments.entry(entry.service.clone()).or_default();
        assignment.record_past(until, entry);
    }

    /// Records that an upstream of an unknown service and software may have accepted streams until a time
    /// before the start.
    pub fn record_unknown_upstream(&self, until: Timestamp) {
        for assignment in self.assignments.borrow_mut().values_mut() {
            assignment.record_unknown(until);
        }
    }

    /// Records that a listed upstream has accepted streams since a time before the start.
    pub fn record_early_upstream(&self, since: Timestamp, entry: &Entry) {
        let mut assignments = self.assignments.borrow_mut();
        let assignment = assignments.entry(entry.service.clone()).or_default();
        assignment.record_since(since, entry);
    }

    /// Returns the software at which a new stream has to begin; `None` if it may begin anywhere, as other
    /// requests may, or if every listed run of that software has ended.
    pub(crate) fn assigned_software(&self, request: &Request) -> Option<Software> {
        let is_resumable = request.route.kind == Kind::Stream { resumable: true };
        if !is_resumable || request.is_resume() {
            return None;
        }
        let assignments = self.assignments.borrow();
        let assignment = assignments.get(&request.service)?;
        let software = assignment.assigned(request.key())?;
        let runs = |service: &mut Service| service.pool.has_run(software);
        let has_run = self.with_service(&request.service, runs) == Some(true);
        has_run.then(|| software.clone())
    }

    /// Records for how long the client of a stream waits.
    pub(crate) fn record_wait(&self, request: &Request) {
        let wait = request.deadline.since(request.arrived);
        let mut waits = self.longest_waits.borrow_mut();
        if let Some(longest) = waits.get_mut(request.team()) {
            *longest = wait.max(*longest);
        } else if waits.len() < MAX_TEAMS {
            waits.insert(request.team().into(), wait);
        }
    }

    /// Binds a request that resumes a stream to the software that follows from the identifier of the
    /// stream, if any does.
    pub fn bind_derived(&self, request: &mut Request) {
        match self.derived_origin(request) {
            Ok((origin, source)) => self.bind(request, origin, source),
            Err(not_derived) => emit(
                Event::OriginNotDerived,
                &[("request", &request.id), ("cause", &not_derived.cause())],
            ),
        }
    }

    /// Returns where the stream that a request resumes began, if that follows from its identifier or if
    /// there is only one software.
    fn derived_origin(&self, request: &Request) -> Result<(Origin, Source), NotDerived> {
        if request.route.services.len() > 1 {
            return Err(NotDerived::SeveralServices);
        }
        let key = request.resumed_key().unwrap_or(request.key());
        let age = Timestamp::ZERO + self.oldest_age(request);
        let since = Timestamp::ZERO + request.arrived.since(age);
        if !self.software.borrow().is_known(self.now(), since) {
            return Err(NotDerived::ListUnknown);
        }
        let assignments = self.assignments.borrow();
        let assignment = assignments.get(&request.service);
        let derived = assignment.and_then(|assignment| assignment.derive(since, key));
        let (software, is_only) = derived.ok_or(NotDerived::Ambiguous)?;
        let source = if is_only {
            let history = self.software.borrow();
            let only = history.only(self.now(), self.now().since(since), &request.service);
            only.filter(|only| *only == software)
                .ok_or(NotDerived::Ambiguous)?;
            Source::OnlySoftware
        } else {
            if request.resumes.is_none() {
                return Err(NotDerived::Unnamed);
            }
            // Other routers keep records of streams that began while versions are mixed, unless all of
            // them have restarted.
            if self.uptime() >= self.origin_lifetime() {
                return Err(NotDerived::Unrecorded);
            }
            Source::Derived
        };
        let service = request.service.clone();
        let software = software.clone();
        Ok((Origin { service, software }, source))
    }

    /// Returns an upper bound of the time since the client first asked for the stream that a request
    /// resumes. The deadline of a client that tries again is that of its first attempt.
    fn oldest_age(&self, request: &Request) -> Span {
        let left = request.deadline.since(request.arrived);
        let waited = self.longest_waits.borrow().get(request.team()).copied();
        let longest = self.longest_client_time().max(waited.unwrap_or_default());
        let is_first = left + DEADLINE_TOLERANCE >= longest;
        if is_first {
            return self.origin_lifetime();
        }
        longest.saturating_sub(left)
    }
}
