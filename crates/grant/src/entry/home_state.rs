//! State that an entry router keeps for each home.

use std::collections::HashSet;

use super::{class_queue, time, Id, Report, VecDeque};

/// Messages exchanged with one home of the service.
#[derive(Clone, Debug)]
pub(super) struct HomeState {
    pub number: class_queue::HomeNumber,
    /// The received grant with the highest number.
    pub latest_grant: Option<Id>,
    /// Arrival times and numbers of recent grants, in order of arrival.
    recent_grants: VecDeque<(time::Timestamp, u64)>,
    /// The numbers in `recent_grants`.
    recent_numbers: HashSet<u64>,
    /// Grants with lower numbers are ignored, since duplicates among them are no longer detected.
    min_number: u64,
    /// Reports waiting to be sent.
    pub reports: Vec<Report>,
    /// Sequence numbers and sending times of recent demand messages.
    demand_times: VecDeque<(u64, time::Timestamp)>,
}

impl HomeState {
    pub fn new(number: class_queue::HomeNumber) -> Self {
        Self {
            number,
            latest_grant: None,
            recent_grants: VecDeque::new(),
            recent_numbers: HashSet::new(),
            min_number: 0,
            reports: Vec::new(),
            demand_times: VecDeque::new(),
        }
    }

    /// Records the arrival of a grant. Returns false for a duplicate, and for a grant too old to be
    /// distinguished from one.
    pub fn record_grant(&mut self, now: time::Timestamp, id: Id, ttl: time::Span) -> bool {
        while let Some((at, number)) = self.recent_grants.front().copied() {
            if now.since(at) <= ttl * 2 {
                break;
            }
            self.recent_grants.pop_front();
            self.recent_numbers.remove(&number);
            self.min_number = self.min_number.max(number + 1);
        }
        if id.number < self.min_number || !self.recent_numbers.insert(id.number) {
            return false;
        }
        self.recent_grants.push_back((now, id.number));
        if self
            .latest_grant
            .is_none_or(|latest| latest.number < id.number)
        {
            self.latest_grant = Some(id);
        }
        true
    }

    /// Returns whether the demand message `seq` was sent at most `ttl` ago.
    pub fn is_demand_recent(&self, now: time::Timestamp, seq: u64, ttl: time::Span) -> bool {
        let index = self
            .demand_times
            .binary_search_by_key(&seq, |(seq, _)| *seq);
        index.is_ok_and(|index| now.since(self.demand_times[index].1) <= ttl)
    }

    /// Records that the demand message `seq` is sent now.
    pub fn record_demand(&mut self, now: time::Timestamp, seq: u64, ttl: time::Span) {
        let old = |at: time::Timestamp| now.since(at) > ttl;
        while self.demand_times.front().is_some_and(|(_, at)| old(*at)) {
            self.demand_times.pop_front();
        }
        self.demand_times.push_back((seq, now));
    }
}
