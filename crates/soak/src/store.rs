//! The store with what its users do: writing, expiry of entries, and the return from a copy.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::Result;
use indexmap::IndexMap;
use serde_json::Value;
use tsw_fake::store::{Copy, Mode, Store as FakeStore};

/// Interval of the heartbeats of an upstream.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Age without a heartbeat at which the entry of an upstream is removed.
const LEASE: Duration = Duration::from_millis(3_600);
/// Interval at which copies are made.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Age at which copies are dropped.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);
/// Time for which the history is kept, where it is limited.
const HISTORY_AGE: Duration = Duration::from_secs(20);
/// Prefix of the keys of upstreams.
const ENTRIES: &str = "servers/";
/// Key of the configuration.
const CONFIGURATION: &str = "op/config";

/// The entry of an upstream.
#[derive(Clone)]
struct Entry {
    /// Its fields without the sequence number.
    fields: Value,
    /// Time of the last heartbeat.
    renewed: Instant,
}

/// Entries by the identifiers of their upstreams.
type Entries = IndexMap<String, Entry>;

/// The store with the leases of its entries and its recent copies.
pub struct Store {
    fake: FakeStore,
    is_up: Cell<bool>,
    entries: RefCell<Entries>,
    copies: RefCell<VecDeque<(Instant, Copy, Entries)>>,
    /// Whether the history is limited to [`HISTORY_AGE`].
    forgets: bool,
    /// Revisions of the recent past and their times, if the history is limited.
    revisions: RefCell<VecDeque<(Instant, u64)>>,
}

impl Store {
    /// Listens on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn bind(forgets: bool) -> Result<Self> {
        Ok(Self {
            fake: FakeStore::bind().await?,
            is_up: Cell::new(true),
            entries: RefCell::default(),
            copies: RefCell::default(),
            forgets,
            revisions: RefCell::default(),
        })
    }

    /// Returns the address for routers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.fake.address()
    }

    /// Returns whether the store responds normally.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.is_up.get()
    }

    /// Writes the newest configuration.
    pub fn write_configuration(&self, text: &str) {
        self.fake.set(CONFIGURATION, Some(text.as_bytes()));
    }

    /// Writes the entry of an upstream with a sequence number, which renews its lease.
    pub fn write_entry(&self, id: &str, fields: Value, sequence: u64) {
        let mut written = fields.clone();
        written["seqNo"] = sequence.into();
        let key = format!("{ENTRIES}{id}");
        self.fake.set(&key, Some(written.to_string().as_bytes()));
        let renewed = Instant::now();
        let entry = Entry { fields, renewed };
        self.entries.borrow_mut().insert(id.to_owned(), entry);
    }

    /// Renews the lease of an entry without a change of the entry. Returns whether there is one with these
    /// fields.
    pub fn renew(&self, id: &str, fields: &Value) -> bool {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(id);
        let same = entry.filter(|entry| entry.fields == *fields);
        same.map(|entry| entry.renewed = Instant::now()).is_some()
    }

    /// Removes the entry of an upstream.
    pub fn remove_entry(&self, id: &str) {
        if self.entries.borrow_mut().shift_remove(id).is_some() {
            self.fake.set(&format!("{ENTRIES}{id}"), None);
        }
    }

    /// Changes how the store responds. Leases are renewed when it responds normally again, because
    /// upstreams cannot renew them meanwhile.
    pub fn set_mode(&self, mode: Mode) {
        self.fake.set_mode(mode);
        self.is_up.set(mode == Mode::Up);
        if mode == Mode::Up {
            let now = Instant::now();
            for entry in self.entries.borrow_mut().values_mut() {
                entry.renewed = now;
            }
        }
    }

    /// Compacts the history.
    pub fn compact(&self) {
        self.fake.compact();
    }

    /// Removes expired entries and makes a copy, if due.
    pub fn tend(&self) {
        let now = Instant::now();
        if self.is_up.get() {
            let entries = self.entries.borrow();
            let expired = entries
                .iter()
                .filter(|(_, entry)| now - entry.renewed > LEASE);
            let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
            drop(entries);
            expired.iter().for_each(|id| self.remove_entry(id));
        }
        if self.forgets {
            let mut revisions = self.revisions.borrow_mut();
            revisions.push_back((now, self.fake.revision()));
            while revisions
                .front()
                .is_some_and(|(at, _)| now - *at > HISTORY_AGE)
            {
                let expired = revisions.pop_front();
                expired
                    .iter()
                    .for_each(|(_, revision)| self.fake.compact_up_to(*revision));
            }
        }
        let mut copies = self.copies.borrow_mut();
        let newest = copies.back().map(|(made, ..)| *made);
        if newest.is_none_or(|made| now - made >= COPY_INTERVAL) {
            copies.push_back((now, self.fake.copy(), self.entries.borrow().clone()));
        }
        while copies
            .front()
            .is_some_and(|(made, ..)| now - *made > MAX_COPY_AGE)
        {
            copies.pop_front();
        }
    }

    /// Returns from the newest copy that is at least this old, or else from the oldest one. Entries
    /// in the copy expire unless their upstreams renew them.
    pub fn restore(&self, age: Duration) {
        let now = Instant::now();
        let copies = self.copies.borrow();
        let old_enough = copies.iter().rfind(|(made, ..)| now - *made >= age);
        let Some((_, copy, entries)) = old_enough.or_else(|| copies.front()) else {
            return;
        };
        self.fake.restore(copy);
        let mut entries = entries.clone();
        for entry in entries.values_mut() {
            entry.renewed = now;
        }
        self.entries.replace(entries);
    }
}
