//! What an entry router knows about one home.

use super::{lane, time, Id, Report, VecDeque};

/// One home of the service.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub number: lane::Peer,
    /// The latest grant that arrived.
    pub seen: Option<Id>,
    /// Reports to send.
    pub reports: Vec<Report>,
    /// When the recent demand messages were sent.
    sent: VecDeque<(u64, time::Tick)>,
}

impl Peer {
    pub const fn new(number: lane::Peer) -> Self {
        Self {
            number,
            seen: None,
            reports: Vec::new(),
            sent: VecDeque::new(),
        }
    }

    /// Notes the arrival of a grant; returns false for one that arrived before.
    pub fn see(&mut self, id: Id) -> bool {
        let new = self.seen.is_none_or(|seen| seen.number < id.number);
        if new {
            self.seen = Some(id);
        }
        new
    }

    /// Returns whether the demand message `seq` was sent at most `ttl` ago.
    pub fn answers(&self, now: time::Tick, seq: u64, ttl: time::Span) -> bool {
        let place = self.sent.binary_search_by_key(&seq, |(seq, _)| *seq);
        place.is_ok_and(|place| now.since(self.sent[place].1) <= ttl)
    }

    /// Notes that the demand message `seq` is sent now.
    pub fn sent(&mut self, now: time::Tick, seq: u64, ttl: time::Span) {
        let old = |at: time::Tick| now.since(at) > ttl;
        while self.sent.front().is_some_and(|(_, at)| old(*at)) {
            self.sent.pop_front();
        }
        self.sent.push_back((seq, now));
    }
}
