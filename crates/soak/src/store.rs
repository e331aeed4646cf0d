//! The store with what its users do: writing, expiry of entries, and the return from a copy.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::Result;
use indexmap::IndexMap;
use tsw_fake::store::{Copy, Mode, Store as FakeStore};

/// Interval of the heartbeats of an upstream.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Age without a heartbeat at which the entry of an upstream is removed.
const LEASE: Duration = Duration::from_millis(3_600);
/// Interval at which copies are made.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Age at which copies are dropped.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);
/// Prefix of the keys of upstreams.
const ENTRIES: &str = "servers/";
/// Key of the configuration.
const CONFIGURATION: &str = "op/config";

/// The store with the leases of its entries and its recent copies.
pub struct Store {
    fake: FakeStore,
    is_up: Cell<bool>,
    /// Time of the last heartbeat of each entry, by key.
    leases: RefCell<IndexMap<String, Instant>>,
    copies: RefCell<VecDeque<(Instant, Copy)>>,
}

impl Store {
    /// Listens on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn bind() -> Result<Self> {
        Ok(Self {
            fake: FakeStore::bind().await?,
            is_up: Cell::new(true),
            leases: RefCell::default(),
            copies: RefCell::default(),
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

    /// Writes the entry of an upstream, which renews its lease.
    pub fn write_entry(&self, id: &str, text: &str) {
        self.fake
            .set(&format!("{ENTRIES}{id}"), Some(text.as_bytes()));
        self.leases
            .borrow_mut()
            .insert(id.to_owned(), Instant::now());
    }

    /// Renews the lease of an entry without a change of the entry. Returns whether there is one.
    pub fn renew(&self, id: &str) -> bool {
        let mut leases = self.leases.borrow_mut();
        let lease = leases.get_mut(id);
        lease.map(|renewed| *renewed = Instant::now()).is_some()
    }

    /// Removes the entry of an upstream.
    pub fn remove_entry(&self, id: &str) {
        if self.leases.borrow_mut().shift_remove(id).is_some() {
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
            for renewed in self.leases.borrow_mut().values_mut() {
                *renewed = now;
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
            let leases = self.leases.borrow();
            let expired = leases.iter().filter(|(_, renewed)| now - **renewed > LEASE);
            let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
            drop(leases);
            expired.iter().for_each(|id| self.remove_entry(id));
        }
        let mut copies = self.copies.borrow_mut();
        let newest = copies.back().map(|(made, _)| *made);
        if newest.is_none_or(|made| now - made >= COPY_INTERVAL) {
            copies.push_back((now, self.fake.copy()));
        }
        while copies
            .front()
            .is_some_and(|(made, _)| now - *made > MAX_COPY_AGE)
        {
            copies.pop_front();
        }
    }

    /// Returns from the newest copy that is at least this old, or else from the oldest one. Entries
    /// in the copy expire unless their upstreams renew them.
    pub fn restore(&self, age: Duration) {
        let now = Instant::now();
        let copies = self.copies.borrow();
        let old_enough = copies.iter().rfind(|(made, _)| now - *made >= age);
        let Some((_, copy)) = old_enough.or_else(|| copies.front()) else {
            return;
        };
        self.fake.restore(copy);
        let ids = copy.keys(ENTRIES).into_iter();
        let leases = ids.map(|key| (key[ENTRIES.len()..].to_owned(), now));
        self.leases.replace(leases.collect());
    }
}
