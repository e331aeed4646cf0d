//! Tags of the teams of one service at one home.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use tsw_base::{host, name, time};

use crate::{message, tag};

/// Lead over virtual time that a team keeps when it starts to wait after a pause. A larger credit
/// lets a team that saved it up take a burst from the others.
pub const IDLE_CREDIT: time::Span = time::Span::from_millis(50);

/// Largest debt that service at a home that was silent for [`SILENCE`] may leave a team with, so
/// that a team does not pay for a partition for long after it heals.
pub const DEBT_CAP: time::Span = time::Span::from_secs(2);

/// Period in which changed charges are told to the other homes.
pub const PERIOD: time::Span = time::Span::from_millis(100);

/// Change of a tag that is told to the other homes at once. Until they know of it they may serve
/// the same team again, so the fairness gap grows by it with each home.
pub const NOTABLE: time::Span = time::Span::from_millis(20);

/// Silence of a home after which its next charges are taken for those of a partition.
pub const SILENCE: time::Span = time::Span::from_secs(1);

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
    /// Charges less refunds since the start, in microseconds.
    charged: u64,
    /// Charges in the last message that was not full.
    told: u64,
}

impl Account {
    fn rank(&self) -> Option<tag::Tag> {
        let listed = self.waiting && self.share_ppm > 0;
        listed.then_some(self.tag)
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard: time::Tick,
    /// The sequence number and the charges of the latest line of each team.
    lines: HashMap<Key, (u64, u64)>,
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
    last_seq: u64,
    last_message: time::Tick,
    /// Teams whose charges are to be told at once.
    notable: BTreeSet<Key>,
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
            last_seq: 0,
            last_message: time::Tick::ZERO,
            notable: BTreeSet::new(),
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
        let before = account.rank();
        let result = change(account);
        let after = account.rank();
        if before != after {
            before.map(|rank| self.ready.remove(&(rank, key)));
            after.map(|rank| self.ready.insert((rank, key)));
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
            account.charged = account.charged.saturating_add(slot_time.as_micros());
            account.tag = account.tag + tag::Tag::of(slot_time, account.share_ppm, slots);
        });
        self.note(key);
    }

    /// Takes back slot time that was charged and not used.
    pub fn refund(&mut self, key: Key, slot_time: time::Span) {
        let slots = self.slots;
        self.update(key, |account| {
            account.charged = account.charged.saturating_sub(slot_time.as_micros());
            let part = tag::Tag::of(slot_time, account.share_ppm, slots);
            account.tag = account.tag.saturating_sub(part);
        });
        self.note(key);
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

    /// Returns the slot time that a team was charged at this home, less refunds.
    #[must_use]
    pub fn charged(&self, key: Key) -> time::Span {
        time::Span::from_micros(self.account(key).charged)
    }

    /// Returns the charges of all teams, for a home that is new.
    pub fn served(&mut self) -> message::Served {
        let lines = (0..self.accounts.len()).map(|index| self.line(index));
        let lines = lines.collect();
        self.message(lines)
    }

    /// Returns the charges that are due to be told to the other homes of the service: one that
    /// moves a tag by [`NOTABLE`] at once, and all that changed once in each [`PERIOD`].
    pub fn due(&mut self, now: time::Tick) -> Option<message::Served> {
        let period = now.since(self.last_message) >= PERIOD;
        if period {
            self.last_message = now;
            self.peers.retain(|_, peer| now.since(peer.heard) < FORGET);
            self.notable = (0..self.accounts.len()).map(|i| Key(i as u32)).collect();
        }
        let mut lines = Vec::new();
        for key in std::mem::take(&mut self.notable) {
            let account = &mut self.accounts[key.index()];
            if account.told != account.charged {
                account.told = account.charged;
                lines.push(self.line(key.index()));
            }
        }
        (!lines.is_empty()).then(|| self.message(lines))
    }

    fn line(&self, index: usize) -> message::Line {
        let (team, account) = self.accounts.get_index(index).expect("index in range");
        let lag = account.tag.lead_us(self.virtual_time);
        message::Line {
            team: team.clone(),
            charged: time::Span::from_micros(account.charged),
            lag_us: account.waiting.then_some(lag),
        }
    }

    fn message(&mut self, lines: Vec<message::Line>) -> message::Served {
        self.last_seq += 1;
        message::Served {
            service: self.service.clone(),
            home: self.home,
            seq: self.last_seq,
            lines,
        }
    }

    /// Notes a change of the charges of a team that is to be told at once if it is large.
    fn note(&mut self, key: Key) {
        let account = self.account(key);
        let untold = time::Span::from_micros(account.charged.abs_diff(account.told));
        let worth = tag::Tag::of(untold, account.share_ppm, self.slots);
        if !self.peers.is_empty() && worth >= NOTABLE.into() {
            self.notable.insert(key);
        }
    }

    /// Takes in the charges that another home reports. Duplicates and old messages change nothing.
    ///
    /// The first line of a team from a home sets where its charges start. It charges nothing, but a
    /// team that this home knows nothing about takes over its lag.
    pub fn merge(&mut self, now: time::Tick, served: &message::Served) {
        if served.home == self.home || served.service != self.service {
            return;
        }
        let mut peer = self.peers.swap_remove(&served.home).unwrap_or_default();
        let capped = now.since(peer.heard) > SILENCE;
        peer.heard = now;
        let virtual_time = self.virtual_time;
        let cap = capped.then(|| virtual_time + DEBT_CAP.into());
        for line in &served.lines {
            let key = self.key(&line.team);
            let charged = line.charged.as_micros();
            let (seq, before) = *peer.lines.entry(key).or_insert((served.seq, charged));
            if seq <= served.seq {
                peer.lines.insert(key, (served.seq, charged));
                self.merge_line(key, line.lag_us, (before, charged), cap);
            }
        }
        self.peers.insert(served.home, peer);
    }

    fn merge_line(
        &mut self,
        key: Key,
        lag_us: Option<i64>,
        (before, charged): (u64, u64),
        cap: Option<tag::Tag>,
    ) {
        let (slots, virtual_time) = (self.slots, self.virtual_time);
        let worth = |micros: u64, account: &Account| {
            tag::Tag::of(time::Span::from_micros(micros), account.share_ppm, slots)
        };
        self.update(key, |account| {
            if let Some(lag) = lag_us.filter(|_| !account.known) {
                account.known = true;
                account.tag = account.tag.max(virtual_time.moved(lag));
            } else if charged > before {
                let after = account.tag + worth(charged - before, account);
                account.tag = account.tag.max(cap.map_or(after, |cap| after.min(cap)));
            } else {
                let less = worth(before - charged, account);
                account.tag = account.tag.saturating_sub(less);
            }
        });
    }
}
