//! Waiting requests of one team and class, as the entry routers advertise them.

use std::collections::{BTreeSet, HashMap, VecDeque};

use tsw_base::time;

use crate::message;

/// Number of an entry router within a home.
pub(super) type Entry = u64;

#[derive(Clone, Debug)]
struct Line {
    seq: u64,
    heard: time::Tick,
    waiting: u32,
    oldest: time::Tick,
    newest: time::Tick,
    /// Numbers of the grants that the entry router's count does not take into account.
    unacked: VecDeque<u64>,
}

impl Line {
    /// Returns when the oldest request without a grant started to wait, if there is one.
    ///
    /// Only the ages of the oldest and the newest request are known; those between are taken as
    /// evenly spread.
    fn first(&self) -> Option<time::Tick> {
        let granted = self.unacked.len() as u64;
        let waiting = u64::from(self.waiting);
        if granted >= waiting {
            return None;
        }
        let spread = self.newest.since(self.oldest);
        Some(self.oldest + spread * granted / (waiting - 1).max(1))
    }
}

/// Waiting requests of one team and class.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    lines: HashMap<Entry, Line>,
    order: BTreeSet<(time::Tick, Entry)>,
}

/// The request to grant next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Next {
    /// Where it waits.
    pub entry: Entry,
    /// The demand message that it is part of.
    pub seq: u64,
}

impl Backlog {
    /// Returns since when the oldest request waits.
    pub fn oldest(&self) -> Option<time::Tick> {
        self.order.first().map(|(tick, _)| *tick)
    }

    fn update(&mut self, entry: Entry, change: impl FnOnce(&mut Line)) {
        let Some(line) = self.lines.get_mut(&entry) else {
            return;
        };
        if let Some(before) = line.first() {
            self.order.remove(&(before, entry));
        }
        change(line);
        if let Some(after) = line.first() {
            self.order.insert((after, entry));
        } else if line.waiting == 0 && line.unacked.is_empty() {
            self.lines.remove(&entry);
        }
    }

    /// Replaces the line of an entry router.
    pub fn advertise(&mut self, entry: Entry, line: &message::Line, seq: u64, now: time::Tick) {
        let before = |age: time::Span| {
            time::Tick::from_micros(now.as_micros().saturating_sub(age.as_micros()))
        };
        self.lines.entry(entry).or_insert_with(|| Line {
            seq: 0,
            heard: now,
            waiting: 0,
            oldest: now,
            newest: now,
            unacked: VecDeque::new(),
        });
        self.update(entry, |known| {
            known.seq = seq;
            known.heard = now;
            known.waiting = line.waiting;
            known.oldest = before(line.oldest);
            known.newest = before(line.newest.min(line.oldest));
        });
    }

    /// Forgets the grants up to `number`, which the entry router has taken into account.
    pub fn acknowledge(&mut self, entry: Entry, number: u64) {
        self.update(entry, |line| {
            while line.unacked.front().is_some_and(|first| *first <= number) {
                line.unacked.pop_front();
            }
        });
    }

    /// Removes the line of an entry router.
    pub fn remove(&mut self, entry: Entry) {
        if let Some(before) = self.lines.remove(&entry).and_then(|line| line.first()) {
            self.order.remove(&(before, entry));
        }
    }

    /// Returns the oldest request of a line heard of since `since`; drops older lines on the way.
    pub fn next(&mut self, since: time::Tick) -> Option<Next> {
        while let Some((_, entry)) = self.order.first().copied() {
            match self.lines.get(&entry) {
                Some(line) if line.heard >= since => {
                    return Some(Next {
                        entry,
                        seq: line.seq,
                    })
                }
                _ => self.remove(entry),
            }
        }
        None
    }

    /// Counts grant `number` against the line of an entry router.
    pub fn granted(&mut self, entry: Entry, number: u64) {
        self.update(entry, |line| line.unacked.push_back(number));
    }
}
