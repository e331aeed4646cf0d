//! Assigns new streams to software.

use indexmap::IndexMap;
use tsw_base::time::Timestamp;
use tsw_flow::{assignment::Assignment, origin::Software, pool::Entry, service::Service};
use tsw_route::{table::Kind, Name};

use crate::{request::Request, router::Router};

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
}
