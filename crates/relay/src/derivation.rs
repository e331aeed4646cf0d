//! Derives where a stream began that no router remembers.
//!
//! A list of upstreams describes the present, and a stream began in the past. A version is derived only if
//! every router that can have begun the stream assigned it to that version. That takes a list that is known for the
//! whole time, up to the request that resumes the stream, and runs of the version that lasted all the while: a router
//! that takes every run of the assigned version for ended begins streams anywhere.

use std::rc::Rc;

use indexmap::IndexSet;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    origin::{Origin, Software, Source},
    pool::Choice,
    service::Service,
};
use tsw_route::Name;

use crate::{assignment::MIN_RUNS, request::Request, router::Router};

/// Difference of two deadlines that is within the delay of requests on their way.
const DEADLINE_TOLERANCE: Span = Span::from_millis(200);

/// Maximum number of teams whose longest wait is kept.
const MAX_TEAMS: usize = 4_096;

/// Why the software of a stream does not follow from what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotDerived {
    /// The route has several services, the shares of which may have changed since.
    SeveralServices,
    /// The route went to another service when the stream may have begun, or it is not known where.
    RouteChanged,
    /// The list of upstreams is not known for the time in which the stream may have begun.
    ListUnknown,
    /// There may be changes of the list that this router does not know yet.
    ListOutdated,
    /// Upstreams of several versions, or without one, may have begun the stream, depending on when it began.
    Ambiguous,
    /// The client does not name the attempt that began the stream.
    Unnamed,
    /// This router has run for so long that others would have a record.
    Unrecorded,
    /// Too few upstreams confirm that they still run what their entries say.
    Unconfirmed,
    /// Upstreams keep the prompt of the stream, but none of the derived version.
    Contradicted,
}

impl NotDerived {
    const fn cause(self) -> &'static str {
        match self {
            Self::SeveralServices => "several services",
            Self::RouteChanged => "its route may have changed",
            Self::ListUnknown => "the list is not known for long enough",
            Self::ListOutdated => "the list may be outdated",
            Self::Ambiguous => "it depends on when the stream began",
            Self::Unnamed => "the client names no attempt",
            Self::Unrecorded => "no router has a record",
            Self::Unconfirmed => "too few upstreams confirm their runs",
            Self::Contradicted => "only upstreams of other versions keep its prompt",
        }
    }
}

/// What has to confirm a derived origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A few runs of the software.
    Sufficient,
    /// All listed runs of the software, since no other router has answered. One that returned with other software before its entry said so may
    /// have begun the stream, and only other routers may have seen that.
    AllRuns,
}

/// Where a stream began, provided that these runs last.
struct Derived {
    origin: Origin,
    source: Source,
    /// Listed runs of the software that can confirm that they were there when the stream began.
    runs: Vec<Choice>,
}

impl Router {
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

    /// Returns whether the origin of the stream that a request resumes follows from the list as it is known, so
    /// that it pays to read what has changed since.
    pub fn may_derive(&self, request: &Request) -> bool {
        let derived = self.derive(request, Timestamp::ZERO);
        derived
            .map_err(|cause| self.reject_derivation(request, cause))
            .is_ok()
    }

    /// Binds a request that resumes a stream to the software that follows from the identifier of the stream, or that
    /// is the only one, if upstreams confirm that they run it. The caller has read the changes of the list up to a
    /// time after the arrival of the request.
    pub async fn bind_derived(self: &Rc<Self>, request: &mut Request, evidence: Evidence) {
        let derived = match self.derive(request, request.arrived) {
            Ok(derived) => derived,
            Err(cause) => return self.reject_derivation(request, cause),
        };
        let Derived {
            origin,
            source,
            runs,
        } = derived;
        let needed = match (source, evidence) {
            (Source::OnlySoftware, Evidence::AllRuns) => runs.len(),
            (Source::OnlySoftware, Evidence::Sufficient) => runs.len().min(MIN_RUNS),
            (_, Evidence::AllRuns) => runs.len().max(MIN_RUNS),
            (_, Evidence::Sufficient) => MIN_RUNS,
        };
        let service = &origin.service;
        if !self.confirm_runs(service, &runs, needed, request).await {
            return self.reject_derivation(request, NotDerived::Unconfirmed);
        }
        // Later, routers have read the list for longer than streams can be resumed.
        let is_recent = self.uptime() < self.origin_lifetime();
        if is_recent && self.is_contradicted(request, &origin).await {
            return self.reject_derivation(request, NotDerived::Contradicted);
        }
        self.bind(request, origin, source);
    }

    /// Records why no origin is derived for a request.
    pub fn reject_derivation(&self, request: &Request, cause: NotDerived) {
        emit(
            Event::OriginNotDerived,
            &[("request", &request.id), ("cause", &cause.cause())],
        );
    }

    /// Returns where the stream that a request resumes began, if that follows from its identifier or if
    /// there is only one software. The changes of the list have to be known up to a time.
    fn derive(&self, request: &Request, until: Timestamp) -> Result<Derived, NotDerived> {
        if request.route.services.len() > 1 {
            return Err(NotDerived::SeveralServices);
        }
        let key = request.resumed_key().unwrap_or(request.key());
        let age = Timestamp::ZERO + self.oldest_age(request);
        let since = Timestamp::ZERO + request.arrived.since(age);
        if !self.is_route_unchanged(request, since) {
            return Err(NotDerived::RouteChanged);
        }
        if !self.software.borrow().is_known(self.now(), since) {
            return Err(NotDerived::ListUnknown);
        }
        let assignments = self.assignments.borrow();
        let assignment = assignments.get(&request.service);
        let assignment = assignment.ok_or(NotDerived::Ambiguous)?;
        let derived = assignment.derive(since, until, key);
        let (software, is_only) = derived.ok_or(NotDerived::Ambiguous)?;
        let runs = self.runs(&request.service, software);
        let origin = Origin {
            service: request.service.clone(),
            software: software.clone(),
        };
        if is_only {
            let history = self.software.borrow();
            let only = history.only(self.now(), self.now().since(since), &request.service);
            only.filter(|only| *only == software)
                .ok_or(NotDerived::Ambiguous)?;
            return Ok(Derived {
                origin,
                source: Source::OnlySoftware,
                runs,
            });
        }
        if request.resumes.is_none() {
            return Err(NotDerived::Unnamed);
        }
        // Other routers keep records of streams that began while versions are mixed, unless all of them have
        // restarted.
        if self.uptime() >= self.origin_lifetime() {
            return Err(NotDerived::Unrecorded);
        }
        let lasting: IndexSet<(&Name, u64)> = assignment.runs(since, software).collect();
        let lasts = |run: &Choice| lasting.contains(&(&run.id, run.started_at));
        Ok(Derived {
            origin,
            source: Source::Derived,
            runs: runs.into_iter().filter(lasts).collect(),
        })
    }

    /// Returns the listed upstreams that run a software, as far as is known.
    fn runs(&self, service: &Name, software: &Software) -> Vec<Choice> {
        let runs = |service: &mut Service| service.pool.runs_of(software).collect();
        self.with_service(service, runs).unwrap_or_default()
    }

    /// Returns an upper bound of the time since the client first asked for the stream that a request
    /// resumes. The deadline of a client that tries again is that of its first attempt.
    pub(crate) fn oldest_age(&self, request: &Request) -> Span {
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
