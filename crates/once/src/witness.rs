//! A witness's table of intents, seals and responses.
//!
//! For one key, the table either accepts an intent or gives a seal, never both. When a record is
//! dropped, the table remembers the number of its permit. It no longer accepts or seals keys of
//! that owner whose permit has this number or a lower one, because it may have given the opposite
//! answer: it answers an intent with [`Verdict::Forgotten`] and a seal with [`Finding::Unknown`].

use std::collections::BTreeSet;

use indexmap::IndexMap;
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};

use crate::{
    message::{Digest, Finding, Intent, Outcome, Response, Seal, Sealed, Verdict, WitnessReply},
    permit,
    quota::{Limits, Quota},
};

/// Maximum number of owners for which the table remembers the highest dropped permit number.
pub const MAX_FORGOTTEN_OWNERS: usize = 4_096;

/// Input of the table. `from` is the identity of the peer in its session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An owner sent its intent to run a key.
    Intent {
        /// The owner.
        from: host::Id,
        /// The intent.
        intent: Intent,
    },
    /// An owner sent the final response of a key.
    Outcome {
        /// The owner.
        from: host::Id,
        /// The key and its response.
        outcome: Outcome,
    },
    /// A survivor asked for a seal.
    Seal {
        /// The survivor.
        from: host::Id,
        /// The request.
        seal: Seal,
    },
    /// Time passed. Must be sent about every second.
    Tick,
}

/// Output of the table, to be carried out by the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send a reply to an owner.
    WitnessReply {
        /// The owner.
        to: host::Id,
        /// The reply.
        reply: WitnessReply,
    },
    /// Send a reply to a survivor.
    Sealed {
        /// The survivor.
        to: host::Id,
        /// The reply.
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
    retain_until: Timestamp,
}

impl Record {
    fn body_len(&self) -> usize {
        match &self.state {
            State::Done(_, response) => response.body.len(),
            State::Intended(_) | State::Sealed => 0,
        }
    }
}

/// The records of one witness, one for each key.
#[derive(Debug)]
pub struct Table {
    local_id: host::Id,
    retention: Span,
    quota: Quota,
    records: IndexMap<permit::Id, Record>,
    /// The keys of `records`, sorted by the time at which they are dropped.
    by_expiry: BTreeSet<(Timestamp, permit::Id)>,
    /// Highest permit number among the dropped records of each owner.
    forgotten: IndexMap<host::Id, u64>,
    /// Highest number that was removed from `forgotten`; counts for every owner.
    forgotten_floor: u64,
}

impl Table {
    /// Creates the empty table of a router process. A record is dropped `retention` after its last
    /// change; this time should exceed the lifetime and the retry window of a permit.
    #[must_use]
    pub fn new(local_id: host::Id, retention: Span, limits: Limits) -> Self {
        Self {
            local_id,
            retention,
            quota: Quota::new(limits),
            records: IndexMap::new(),
            by_expiry: BTreeSet::new(),
            forgotten: IndexMap::new(),
            forgotten_floor: 0,
        }
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Handles an event and returns the resulting commands.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        match event {
            Event::Intent { from, intent } if from == intent.key.permit.owner => {
                let verdict = self.record_intent(now, &intent);
                vec![self.witness_reply(from, intent.key, verdict)]
            }
            Event::Outcome { from, outcome } if from == outcome.key.permit.owner => {
                let verdict = self.outcome(now, &outcome);
                vec![self.witness_reply(from, outcome.key, verdict)]
            }
            Event::Intent { .. } | Event::Outcome { .. } => Vec::new(),
            Event::Seal { from, seal } => {
                let finding = self.seal(now, &seal);
                vec![self.sealed_command(from, seal.ticket, finding)]
            }
            Event::Tick => {
                self.expire(now);
                Vec::new()
            }
        }
    }

    fn witness_reply(&self, to: host::Id, key: permit::Key, verdict: Verdict) -> Command {
        Command::WitnessReply {
            to,
            reply: WitnessReply {
                key,
                witness: self.local_id.clone(),
                verdict,
            },
        }
    }

    fn sealed_command(&self, to: host::Id, ticket: u64, finding: Finding) -> Command {
        Command::Sealed {
            to,
            sealed: Sealed {
                ticket,
                witness: self.local_id.clone(),
                finding,
            },
        }
    }

    /// Returns whether the permit names this incarnation of the process as a witness. If it names
    /// an earlier one, that incarnation may have accepted or sealed keys of which this one has no
    /// record.
    fn is_witness(&self, key: &permit::Key) -> bool {
        key.permit.witnesses.contains(&self.local_id)
    }

    /// Returns whether a record of the permit may have been dropped.
    fn is_forgotten(&self, key: &permit::Key) -> bool {
        let permit = &key.permit;
        let dropped = self.forgotten.get(&permit.owner).copied().unwrap_or(0);
        permit.number <= dropped.max(self.forgotten_floor)
    }

    /// Records an intent, unless the key is sealed or the intent cannot be accepted safely.
    fn record_intent(&mut self, now: Timestamp, intent: &Intent) -> Verdict {
        if !self.is_witness(&intent.key) {
            return Verdict::Restarted;
        }
        match self
            .records
            .get(&intent.key.id())
            .map(|record| &record.state)
        {
            Some(State::Intended(digest)) if *digest == intent.digest => Verdict::Accepted,
            Some(State::Done(..)) => Verdict::Recorded,
            Some(State::Intended(_) | State::Sealed) => Verdict::Sealed,
            None if self.is_forgotten(&intent.key) => Verdict::Forgotten,
            None if !self.quota.has_room(&intent.key.permit.team) => Verdict::Full,
            None => {
                self.insert(now, &intent.key, State::Intended(intent.digest));
                Verdict::Accepted
            }
        }
    }

    /// Records a final response, unless the key is sealed.
    fn outcome(&mut self, now: Timestamp, outcome: &Outcome) -> Verdict {
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
        let max_bytes = self.quota.limits().response_bytes;
        let response = outcome.response.clone().replace_if_longer_than(max_bytes);
        self.insert(now, &outcome.key, State::Done(outcome.digest, response));
        Verdict::Recorded
    }

    /// Seals a key without a record, or returns what the record says.
    fn seal(&mut self, now: Timestamp, seal: &Seal) -> Finding {
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

    /// Adds or replaces the record of a key and restarts its retention time.
    fn insert(&mut self, now: Timestamp, key: &permit::Key, state: State) {
        let id = key.id();
        let record = Record {
            team: key.permit.team.clone(),
            state,
            retain_until: now + self.retention,
        };
        self.quota.add(&record.team);
        self.quota.add_bytes(record.body_len());
        self.by_expiry.insert((record.retain_until, id.clone()));
        if let Some(old) = self.records.insert(id.clone(), record) {
            self.by_expiry.remove(&(old.retain_until, id));
            self.quota.remove(&old.team, old.body_len());
        }
    }

    /// Drops the records whose retention time is over.
    fn expire(&mut self, now: Timestamp) {
        while let Some((retain_until, id)) = self.by_expiry.pop_first() {
            if retain_until >= now {
                self.by_expiry.insert((retain_until, id));
                break;
            }
            if let Some(record) = self.records.swap_remove(&id) {
                self.quota.remove(&record.team, record.body_len());
                self.forget(id);
            }
        }
    }

    /// Remembers the permit number of a dropped record.
    fn forget(&mut self, id: permit::Id) {
        let dropped = self.forgotten.entry(id.owner).or_default();
        *dropped = id.number.max(*dropped);
        if self.forgotten.len() <= MAX_FORGOTTEN_OWNERS {
            return;
        }
        // Permit numbers follow the time of issue, so the smallest one belongs to long expired
        // permits.
        let smallest = self.forgotten.iter().min_by_key(|(_, number)| **number);
        if let Some((owner, number)) = smallest.map(|(owner, number)| (owner.clone(), *number)) {
            self.forgotten.swap_remove(&owner);
            self.forgotten_floor = self.forgotten_floor.max(number);
        }
    }
}
