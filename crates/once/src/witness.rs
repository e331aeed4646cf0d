//! A witness's table of intents, seals and responses.
//!
//! For one key, the table gives either acceptance of an intent or a seal, never both. When a record
//! is dropped, the number of its permit is kept: for permits of that owner up to that number the
//! table says "forgotten" instead of "sealed" or "accepted".

use std::collections::BTreeSet;

use indexmap::IndexMap;
use tsw_base::{
    host, name,
    time::{Span, Tick},
};

use crate::{
    message::{Digest, Finding, Note, Noted, Outcome, Response, Seal, Sealed, Verdict},
    permit,
    quota::{Limits, Quota},
};

/// Most owners for which the number of the last dropped permit is kept.
pub const OWNERS: usize = 4_096;

/// What the table reacts to. `from` is the peer as its session names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An owner intends to run a key.
    Note {
        /// The owner.
        from: host::Id,
        /// The intent.
        note: Note,
    },
    /// An owner knows the final response of a key.
    Outcome {
        /// The owner.
        from: host::Id,
        /// The response.
        outcome: Outcome,
    },
    /// A survivor asks for a seal.
    Seal {
        /// The survivor.
        from: host::Id,
        /// The request.
        seal: Seal,
    },
    /// Time passed. Needed about every second.
    Tick,
}

/// What the table asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Answer an owner.
    Noted {
        /// The owner.
        to: host::Id,
        /// The answer.
        noted: Noted,
    },
    /// Answer a survivor.
    Sealed {
        /// The survivor.
        to: host::Id,
        /// The answer.
        sealed: Sealed,
    },
}

#[derive(Clone, Debug)]
enum State {
    Intended(Digest),
    Sealed,
    Done(Digest, Response),
}

#[derive(Clone, Debug)]
struct Record {
    team: name::Team,
    state: State,
    keep: Tick,
}

impl Record {
    fn bytes(&self) -> usize {
        match &self.state {
            State::Done(_, response) => response.body.len(),
            State::Intended(_) | State::Sealed => 0,
        }
    }
}

/// The records of one witness.
#[derive(Debug)]
pub struct Table {
    me: host::Id,
    keep: Span,
    quota: Quota,
    records: IndexMap<permit::Id, Record>,
    order: BTreeSet<(Tick, permit::Id)>,
    forgotten: IndexMap<host::Id, u64>,
    floor: u64,
}

impl Table {
    /// Makes the empty table of a router process. Records are kept for `keep` after their last
    /// change, which should exceed lifetime and retry window of a permit.
    #[must_use]
    pub fn new(me: host::Id, keep: Span, limits: Limits) -> Self {
        Self {
            me,
            keep,
            quota: Quota::new(limits),
            records: IndexMap::new(),
            order: BTreeSet::new(),
            forgotten: IndexMap::new(),
            floor: 0,
        }
    }

    /// Returns the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Command> {
        match event {
            Event::Note { from, note } if from == note.key.permit.owner => {
                let verdict = self.note(now, &note);
                vec![self.noted(from, note.key, verdict)]
            }
            Event::Outcome { from, outcome } if from == outcome.key.permit.owner => {
                let verdict = self.outcome(now, &outcome);
                vec![self.noted(from, outcome.key, verdict)]
            }
            Event::Note { .. } | Event::Outcome { .. } => Vec::new(),
            Event::Seal { from, seal } => {
                let finding = self.seal(now, &seal);
                vec![self.sealed(from, seal.ticket, finding)]
            }
            Event::Tick => {
                self.expire(now);
                Vec::new()
            }
        }
    }

    fn noted(&self, to: host::Id, key: permit::Key, verdict: Verdict) -> Command {
        Command::Noted {
            to,
            noted: Noted {
                key,
                witness: self.me.clone(),
                verdict,
            },
        }
    }

    fn sealed(&self, to: host::Id, ticket: u64, finding: Finding) -> Command {
        Command::Sealed {
            to,
            sealed: Sealed {
                ticket,
                witness: self.me.clone(),
                finding,
            },
        }
    }

    /// Tells whether this run of the process is a witness of the permit. An earlier run may have
    /// accepted or sealed what this one does not know.
    fn is_witness(&self, key: &permit::Key) -> bool {
        key.permit.witnesses.contains(&self.me)
    }

    /// Tells whether a record of the permit may have been dropped.
    fn is_forgotten(&self, key: &permit::Key) -> bool {
        let permit = &key.permit;
        let dropped = self.forgotten.get(&permit.owner).copied().unwrap_or(0);
        permit.number <= dropped.max(self.floor)
    }

    fn note(&mut self, now: Tick, note: &Note) -> Verdict {
        if !self.is_witness(&note.key) {
            return Verdict::Restarted;
        }
        match self.records.get(&note.key.id()).map(|record| &record.state) {
            Some(State::Intended(digest)) if *digest == note.digest => Verdict::Accepted,
            Some(State::Done(..)) => Verdict::Recorded,
            Some(State::Intended(_) | State::Sealed) => Verdict::Sealed,
            None if self.is_forgotten(&note.key) => Verdict::Forgotten,
            None if !self.quota.has_room(&note.key.permit.team) => Verdict::Full,
            None => {
                self.insert(now, &note.key, State::Intended(note.digest));
                Verdict::Accepted
            }
        }
    }

    fn outcome(&mut self, now: Tick, outcome: &Outcome) -> Verdict {
        if !self.is_witness(&outcome.key) {
            return Verdict::Restarted;
        }
        let team = &outcome.key.permit.team;
        match self
            .records
            .get(&outcome.key.id())
            .map(|record| &record.state)
        {
            Some(State::Sealed) => return Verdict::Sealed,
            Some(State::Done(..)) => return Verdict::Recorded,
            Some(State::Intended(_)) => {}
            None if self.is_forgotten(&outcome.key) => return Verdict::Forgotten,
            None if !self.quota.has_room(team) => return Verdict::Full,
            None => {}
        }
        let bytes = self.quota.limits().response_bytes;
        let response = outcome.response.clone().kept(bytes);
        self.insert(now, &outcome.key, State::Done(outcome.digest, response));
        Verdict::Recorded
    }

    fn seal(&mut self, now: Tick, seal: &Seal) -> Finding {
        if !self.is_witness(&seal.key) {
            return Finding::Unknown;
        }
        match self.records.get(&seal.key.id()).map(|record| &record.state) {
            Some(State::Sealed) => Finding::Sealed,
            Some(State::Done(digest, response)) if *digest == seal.digest => {
                Finding::Done(response.clone())
            }
            Some(State::Intended(digest)) if *digest == seal.digest => Finding::Intended,
            Some(State::Intended(_) | State::Done(..)) => Finding::Conflict,
            None if self.is_forgotten(&seal.key) => Finding::Unknown,
            None if !self.quota.has_room(&seal.key.permit.team) => Finding::Unknown,
            None => {
                self.insert(now, &seal.key, State::Sealed);
                Finding::Sealed
            }
        }
    }

    fn insert(&mut self, now: Tick, key: &permit::Key, state: State) {
        let id = key.id();
        let record = Record {
            team: key.permit.team.clone(),
            state,
            keep: now + self.keep,
        };
        self.quota.add(&record.team);
        self.quota.add_bytes(record.bytes());
        self.order.insert((record.keep, id.clone()));
        if let Some(old) = self.records.insert(id.clone(), record) {
            self.order.remove(&(old.keep, id));
            self.quota.remove(&old.team, old.bytes());
        }
    }

    fn expire(&mut self, now: Tick) {
        while let Some((keep, id)) = self.order.pop_first() {
            if keep >= now {
                self.order.insert((keep, id));
                break;
            }
            if let Some(record) = self.records.swap_remove(&id) {
                self.quota.remove(&record.team, record.bytes());
                self.forget(id);
            }
        }
    }

    fn forget(&mut self, id: permit::Id) {
        let dropped = self.forgotten.entry(id.owner).or_default();
        *dropped = id.number.max(*dropped);
        if self.forgotten.len() <= OWNERS {
            return;
        }
        // Numbers follow the time of issue, so the smallest belongs to permits long expired.
        let smallest = self.forgotten.iter().min_by_key(|(_, number)| **number);
        if let Some((owner, number)) = smallest.map(|(owner, number)| (owner.clone(), *number)) {
            self.forgotten.swap_remove(&owner);
            self.floor = self.floor.max(number);
        }
    }
}
