//! Tags of the teams of one service at one home.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use tsw_base::{host, name, time};

use crate::{message, tag};

/// Lead over virtual time that a team keeps when it starts to wait after a pause. A larger credit
/// lets a team that saved it up take a burst from the others.
pub const IDLE_CREDIT: time::Span = time::Span::from_millis(50);

/// Largest debt that service at other homes may leave a team with, so that a team does not pay for
/// a partition for long after it heals.
pub const DEBT_CAP: time::Span = time::Span::from_secs(2);

/// Time after the last message of a home at which its totals are dropped. A later message of that
/// home counts as its first, which charges nothing.
pub const FORGET: time::Span = time::Span::from_secs(600);

/// Short name of a team within one [`Book`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(u32);

impl Key {
    /// Returns the key as an index: keys count from 0 in the order of first use.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    share_ppm: u32,
    tag: tag::Tag,
    waiting: bool,
    /// Whether the tag stands for service that this home knows of.
    known: bool,
    /// Slot time of ended uses, in microseconds.
    settled: u64,
    /// Slots in use, and the sum of the microseconds at which their uses started.
    running: u64,
    starts: u128,
    /// Total in the last partial message.
    told: u64,
}

impl Account {
    fn total(&self, now: time::Tick) -> u64 {
        let elapsed = (u128::from(self.running) * u128::from(now.as_micros()))
            .saturating_sub(self.starts)
            .min(u128::from(u64::MAX));
        self.settled.saturating_add(elapsed as u64)
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard: time::Tick,
    totals: HashMap<Key, u64>,
}

/// Service accounting of one service at one home.
///
/// ```
/// use tsw_base::{host::Incarnation, time::Span};
/// use tsw_share::book::Book;
///
/// let mut book = Book::new("reviews".parse()?, Incarnation::new(1, 0));
/// book.set_shares(8, &[("north".parse()?, 750_000), ("south".parse()?, 250_000)]);
/// let (north, south) = (book.key(&"north".parse()?), book.key(&"south".parse()?));
/// book.set_waiting(north, true);
/// book.set_waiting(south, true);
/// book.charge(north, Span::from_secs(1));
/// assert_eq!(book.order().next(), Some(south));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Book {
    service: name::Service,
    home: host::Incarnation,
    slots: u64,
    accounts: IndexMap<name::Team, Account>,
    /// Waiting teams that have a share, by tag.
    ready: BTreeSet<(tag::Tag, Key)>,
    virtual_time: tag::Tag,
    peers: IndexMap<host::Incarnation, Peer>,
}

impl Book {
    /// Makes an empty book of `service` for the run `home` of this router.
    #[must_use]
    pub fn new(service: name::Service, home: host::Incarnation) -> Self {
        Self {
            service,
            home,
            slots: 1,
            accounts: IndexMap::new(),
            ready: BTreeSet::new(),
            virtual_time: tag::Tag::ZERO,
            peers: IndexMap::new(),
        }
    }

    /// Returns the key of a team, which it keeps for the life of the book.
    pub fn key(&mut self, team: &name::Team) -> Key {
        let index = match self.accounts.get_index_of(team) {
            Some(index) => index,
            None => {
                self.accounts
                    .insert_full(team.clone(), Account::default())
                    .0
            }
        };
        Key(index as u32)
    }

    /// Returns the name of the team with `key`.
    ///
    /// # Panics
    ///
    /// Panics for a key of another book.
    #[must_use]
    pub fn team(&self, key: Key) -> &name::Team {
        self.accounts.get_index(key.index()).expect("own key").0
    }

    /// Returns all teams in the order of their keys.
    pub fn teams(&self) -> impl Iterator<Item = &name::Team> {
        self.accounts.keys()
    }

    fn account(&self, key: Key) -> &Account {
        &self.accounts[key.index()]
    }

    /// Changes an account and keeps the order and virtual time in step with it.
    fn update<R>(&mut self, key: Key, change: impl FnOnce(&mut Account) -> R) -> R {
        let account = &mut self.accounts[key.index()];
        let listed = account.waiting && account.share_ppm > 0;
        let before = account.tag;
        let result = change(account);
        let lists = account.waiting && account.share_ppm > 0;
        let after = account.tag;
        if listed != lists || before != after {
            if listed {
                self.ready.remove(&(before, key));
            }
            if lists {
                self.ready.insert((after, key));
            }
            self.advance();
        }
        result
    }

    fn advance(&mut self) {
        if let Some((first, _)) = self.ready.first() {
            self.virtual_time = self.virtual_time.max(*first);
        }
    }

    /// Sets the slots of the whole fleet for this service, and the shares of all teams in
    /// millionths. A team that is absent gets nothing until it is named again.
    pub fn set_shares(&mut self, slots: u64, shares: &[(name::Team, u32)]) {
        self.slots = slots.max(1);
        let mut wanted = vec![0; self.accounts.len()];
        for (team, share_ppm) in shares {
            let key = self.key(team);
            wanted.resize(self.accounts.len(), 0);
            wanted[key.index()] = *share_ppm;
        }
        for (index, share_ppm) in wanted.into_iter().enumerate() {
            self.update(Key(index as u32), |account| account.share_ppm = share_ppm);
        }
    }

    /// Returns the share of a team in millionths; 0 if it has none.
    #[must_use]
    pub fn share_ppm(&self, key: Key) -> u32 {
        self.account(key).share_ppm
    }

    /// Says whether a team has waiting requests.
    pub fn set_waiting(&mut self, key: Key, waiting: bool) {
        if self.account(key).waiting == waiting {
            return;
        }
        let least = self.virtual_time.saturating_sub(IDLE_CREDIT.into());
        self.update(key, |account| {
            account.waiting = waiting;
            if waiting {
                account.tag = account.tag.max(least);
            }
        });
    }

    /// Charges slot time to a team.
    pub fn charge(&mut self, key: Key, slot_time: time::Span) {
        let slots = self.slots;
        self.update(key, |account| {
            account.known = true;
            account.tag = account.tag + tag::Tag::of(slot_time, account.share_ppm, slots);
        });
    }

    /// Takes back slot time that was charged and not used.
    pub fn refund(&mut self, key: Key, slot_time: time::Span) {
        let slots = self.slots;
        self.update(key, |account| {
            let part = tag::Tag::of(slot_time, account.share_ppm, slots);
            account.tag = account.tag.saturating_sub(part);
        });
    }

    /// Counts `slots` slots as used by a team from `now` on, for the totals told to other homes.
    pub fn start(&mut self, key: Key, slots: u32, now: time::Tick) {
        let account = &mut self.accounts[key.index()];
        account.running += u64::from(slots);
        account.starts += u128::from(slots) * u128::from(now.as_micros());
    }

    /// Ends a use that [`Self::start`] counted from `start` on.
    pub fn end(&mut self, key: Key, slots: u32, start: time::Tick, now: time::Tick) {
        let account = &mut self.accounts[key.index()];
        account.running = account.running.saturating_sub(u64::from(slots));
        account.starts = account
            .starts
            .saturating_sub(u128::from(slots) * u128::from(start.as_micros()));
        let used = now.since(start) * u64::from(slots);
        account.settled = account.settled.saturating_add(used.as_micros());
    }

    /// Returns the waiting teams that have a share, the most deserving first.
    pub fn order(&self) -> impl Iterator<Item = Key> + '_ {
        self.ready.iter().map(|(_, key)| *key)
    }

    /// Returns how far a team's tag is ahead of virtual time, in microseconds of fleet capacity.
    #[must_use]
    pub fn lead_us(&self, key: Key) -> i64 {
        self.account(key).tag.lead_us(self.virtual_time)
    }

    /// Returns the smallest tag that a waiting team had so far.
    #[must_use]
    pub const fn virtual_time(&self) -> tag::Tag {
        self.virtual_time
    }

    /// Returns the slot time that a team received from this home until `now`.
    #[must_use]
    pub fn total(&self, key: Key, now: time::Tick) -> time::Span {
        time::Span::from_micros(self.account(key).total(now))
    }

    /// Returns the totals for the other homes of the service: of all teams when `full`, or of those
    /// that changed since the last message that was not full.
    ///
    /// Send it to every other home of the service each 100 ms, and in full to a home that is new.
    pub fn served(&mut self, now: time::Tick, full: bool) -> message::Served {
        let virtual_time = self.virtual_time;
        let mut lines = Vec::new();
        for (team, account) in &mut self.accounts {
            let total = account.total(now);
            let changed = account.told != total;
            if !full {
                account.told = total;
            }
            if changed || account.waiting || full {
                lines.push(message::Line {
                    team: team.clone(),
                    total: time::Span::from_micros(total),
                    lag_us: account.waiting.then(|| account.tag.lead_us(virtual_time)),
                });
            }
        }
        message::Served {
            service: self.service.clone(),
            home: self.home,
            lines,
        }
    }

    /// Adds the service that another home reports. Duplicates and old messages change nothing.
    ///
    /// The first message of a home sets where its totals start. It charges nothing, but a team that
    /// this home knows nothing about takes over its lag.
    pub fn merge(&mut self, now: time::Tick, served: &message::Served) {
        if served.home == self.home || served.service != self.service {
            return;
        }
        if !self.peers.contains_key(&served.home) {
            self.peers.retain(|_, peer| now.since(peer.heard) < FORGET);
        }
        let mut peer = self.peers.swap_remove(&served.home).unwrap_or_default();
        peer.heard = now;
        let cap = self.virtual_time + DEBT_CAP.into();
        for line in &served.lines {
            let key = self.key(&line.team);
            self.merge_line(&mut peer, key, line, cap);
        }
        self.peers.insert(served.home, peer);
    }

    fn merge_line(&mut self, peer: &mut Peer, key: Key, line: &message::Line, cap: tag::Tag) {
        let total = line.total.as_micros();
        let seen = peer.totals.insert(key, total);
        let growth = seen.map_or(0, |seen| total.saturating_sub(seen));
        if let Some(seen) = seen.filter(|seen| *seen > total) {
            peer.totals.insert(key, seen);
        }
        let (slots, virtual_time) = (self.slots, self.virtual_time);
        self.update(key, |account| {
            if let Some(lag) = line.lag_us.filter(|_| !account.known) {
                account.known = true;
                account.tag = account.tag.max(virtual_time.moved(lag).min(cap));
            } else if growth > 0 {
                let growth = time::Span::from_micros(growth);
                let charged = account.tag + tag::Tag::of(growth, account.share_ppm, slots);
                account.tag = account.tag.max(charged.min(cap));
            }
        });
    }
}
