//! What an entry router knows about one home.

use std::collections::HashSet;

use super::{lane, time, Id, Report, VecDeque};

/// One home of the service.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub number: lane::Peer,
    /// The latest grant that arrived.
    pub seen: Option<Id>,
    /// Numbers of the grants that arrived lately, and the smallest that is still told apart.
    arrived: VecDeque<(time::Tick, u64)>,
    numbers: HashSet<u64>,
    oldest: u64,
    /// Reports to send.
    pub reports: Vec<Report>,
    /// When the recent demand messages were sent.
    sent: VecDeque<(u64, time::Tick)>,
}

impl Peer {
    pub fn new(number: lane::Peer) -> Self {
        Self {
            number,
            seen: None,
            arrived: VecDeque::new(),
            numbers: HashSet::new(),
            oldest: 0,
            reports: Vec::new(),
            sent: VecDeque::new(),
        }
    }

    /// Notes the arrival of a grant; returns false for one that arrived before, or that is too old
    /// to tell.
    pub fn see(&mut self, now: time::Tick, id: Id, ttl: time::Span) -> bool {
        while let Some((at, number)) = self.arrived.front().copied() {
            if now.since(at) <= ttl * 2 {
                break;
            }
            self.arrived.pop_front();
            self.numbers.remove(&number);
            self.oldest = self.oldest.max(number + 1);
        }
        if id.number < self.oldest || !self.numbers.insert(id.number) {
            return false;
        }
        self.arrived.push_back((now, id.number));
        if self.seen.is_none_or(|seen| seen.number < id.number) {
            self.seen = Some(id);
        }
        true
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
