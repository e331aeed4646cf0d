//! Weighted fair-share accounting for the teams of one service at one home.
//!
//! Each team has a tag, the service that it received divided by its share, and the waiting team
//! with the smallest tag is served next. Virtual time follows the smallest tag among the waiting
//! teams.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use tsw_base::{host, name, time};

use crate::{message, tag};

/// How far the tag of a team may be behind virtual time when the team starts to wait after an idle
/// period. A larger credit would let it take a burst of slots from the other teams.
pub const IDLE_CREDIT: time::Span = time::Span::from_millis(50);

/// How far ahead of virtual time a tag may get through charges that a home reports after it was
/// silent for longer than [`SILENCE_THRESHOLD`]. It limits how long a team is held back after a
/// network partition heals.
pub const DEBT_CAP: time::Span = time::Span::from_secs(2);

/// Interval at which changed charges are reported to the other homes.
pub const REPORT_PERIOD: time::Span = time::Span::from_millis(100);

/// Change of a tag from which on it is reported to the other homes at once. Until they receive it
/// they may serve the same team again, so each home adds up to this much to the fairness gap.
pub const REPORT_THRESHOLD: time::Span = time::Span::from_millis(20);

/// Silence of a home after which its next report is assumed to cover a network partition and its
/// charges are limited by [`DEBT_CAP`].
pub const SILENCE_THRESHOLD: time::Span = time::Span::from_secs(1);

/// Time after the last report of a home at which its totals are dropped. A later report of that
/// home counts as its first, which charges nothing.
pub const PEER_EXPIRY: time::Span = time::Span::from_secs(600);

/// Index of a team in one [`Accounts`], used in place of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TeamKey(u32);

impl TeamKey {
    /// Returns the key as an index. Keys are numbered from 0 in the order of their first use.
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
    /// Whether this home charged the team or took over its lead from another home.
    has_history: bool,
    /// Charges minus refunds since the start, in microseconds.
    charged: u64,
    /// The value of `charged` in the last incremental report.
    reported: u64,
}

impl Account {
    /// Returns the tag by which a waiting team with a share is ordered.
    fn queue_tag(&self) -> Option<tag::Tag> {
        let eligible = self.waiting && self.share_ppm > 0;
        eligible.then_some(self.tag)
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    last_heard: time::Timestamp,
    /// The sequence number of the latest total of each team, and that total.
    totals: HashMap<TeamKey, (u64, u64)>,
}

/// Tags of the teams of one service at one home.
///
/// ```
/// use tsw_base::{host::Incarnation, time::Span};
/// use tsw_share::accounts::Accounts;
///
/// let mut accounts = Accounts::new("reviews".parse()?, Incarnation::new(1, 0));
/// accounts.set_shares(8, &[("north".parse()?, 750_000), ("south".parse()?, 250_000)]);
/// let (north, south) = (accounts.key(&"north".parse()?), accounts.key(&"south".parse()?));
/// accounts.set_waiting(north, true);
/// accounts.set_waiting(south, true);
/// accounts.charge(north, Span::from_secs(1));
/// assert_eq!(accounts.by_priority().next(), Some(south));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Accounts {
    service: name::Service,
    home: host::Incarnation,
    slots: u64,
    by_team: IndexMap<name::Team, Account>,
    /// Waiting teams with a share, ordered by tag.
    waiting_by_tag: BTreeSet<(tag::Tag, TeamKey)>,
    virtual_time: tag::Tag,
    last_seq: u64,
    last_report: time::Timestamp,
    /// Teams whose charges the next report includes without waiting for the period to end.
    report_now: BTreeSet<TeamKey>,
    peers: IndexMap<host::Incarnation, Peer>,
}

impl Accounts {
    /// Creates empty accounts of `service` at this router, whose incarnation is `home`.
    #[must_use]
    pub fn new(service: name::Service, home: host::Incarnation) -> Self {
        Self {
            service,
            home,
            slots: 1,
            by_team: IndexMap::new(),
            waiting_by_tag: BTreeSet::new(),
            virtual_time: tag::Tag::ZERO,
            last_seq: 0,
            last_report: time::Timestamp::ZERO,
            report_now: BTreeSet::new(),
            peers: IndexMap::new(),
        }
    }

    /// Returns the key of a team, adding the team if it is new. The key never changes.
    pub fn key(&mut self, team: &name::Team) -> TeamKey {
        let index = match self.by_team.get_index_of(team) {
            Some(index) => index,
            None => self.by_team.insert_full(team.clone(), Account::default()).0,
        };
        TeamKey(index as u32)
    }

    /// Returns the name of the team with `key`.
    ///
    /// # Panics
    ///
    /// Panics if the key belongs to another `Accounts` and is out of range.
    #[must_use]
    pub fn team(&self, key: TeamKey) -> &name::Team {
        self.by_team
            .get_index(key.index())
            .expect("key of these accounts")
            .0
    }

    /// Returns all teams in the order of their keys.
    pub fn teams(&self) -> impl Iterator<Item = &name::Team> {
        self.by_team.keys()
    }

    fn account(&self, key: TeamKey) -> &Account {
        &self.by_team[key.index()]
    }

    /// Changes an account, then updates the order of the waiting teams and virtual time.
    fn update<R>(&mut self, key: TeamKey, change: impl FnOnce(&mut Account) -> R) -> R {
        let account = &mut self.by_team[key.index()];
        let before = account.queue_tag();
        let result = change(account);
        let after = account.queue_tag();
        if before != after {
            before.map(|tag| self.waiting_by_tag.remove(&(tag, key)));
            after.map(|tag| self.waiting_by_tag.insert((tag, key)));
            self.advance_virtual_time();
        }
        result
    }

    fn advance_virtual_time(&mut self) {
        if let Some((first, _)) = self.waiting_by_tag.first() {
            self.virtual_time = self.virtual_time.max(*first);
        }
    }

    /// Sets the slots of the whole fleet for this service, and the shares of all teams in
    /// millionths. A team that is not in `shares` gets a share of 0, so it is not served.
    pub fn set_shares(&mut self, slots: u64, shares: &[(name::Team, u32)]) {
        self.slots = slots.max(1);
        let mut new_shares = vec![0; self.by_team.len()];
        for (team, share_ppm) in shares {
            let key = self.key(team);
            new_shares.resize(self.by_team.len(), 0);
            new_shares[key.index()] = *share_ppm;
        }
        for (index, share_ppm) in new_shares.into_iter().enumerate() {
            self.update(TeamKey(index as u32), |account| {
                account.share_ppm = share_ppm
            });
        }
    }

    /// Returns the share of a team in millionths; 0 if it has none.
    #[must_use]
    pub fn share_ppm(&self, key: TeamKey) -> u32 {
        self.account(key).share_ppm
    }

    /// Sets whether a team has waiting requests.
    ///
    /// The tag of a team that starts to wait is raised to at least [`IDLE_CREDIT`] behind
    /// virtual time, so that a team can't save up idle time.
    pub fn set_waiting(&mut self, key: TeamKey, waiting: bool) {
        if self.account(key).waiting == waiting {
            return;
        }
        let earliest = self.virtual_time.saturating_sub(IDLE_CREDIT.into());
        self.update(key, |account| {
            account.waiting = waiting;
            if waiting {
                account.tag = account.tag.max(earliest);
            }
        });
    }

    /// Charges slot time to a team.
    pub fn charge(&mut self, key: TeamKey, slot_time: time::Span) {
        let slots = self.slots;
        self.update(key, |account| {
            account.has_history = true;
            account.charged = account.charged.saturating_add(slot_time.as_micros());
            account.tag =
                account.tag + tag::Tag::from_slot_time(slot_time, account.share_ppm, slots);
        });
        self.mark_if_large(key);
    }

    /// Refunds slot time that was charged and not used.
    pub fn refund(&mut self, key: TeamKey, slot_time: time::Span) {
        let slots = self.slots;
        self.update(key, |account| {
            account.charged = account.charged.saturating_sub(slot_time.as_micros());
            let refunded = tag::Tag::from_slot_time(slot_time, account.share_ppm, slots);
            account.tag = account.tag.saturating_sub(refunded);
        });
        self.mark_if_large(key);
    }

    /// Returns the waiting teams that have a share, the one with the smallest tag first.
    pub fn by_priority(&self) -> impl Iterator<Item = TeamKey> + '_ {
        self.waiting_by_tag.iter().map(|(_, key)| *key)
    }

    /// Returns how far a team's tag is ahead of virtual time, in microseconds of fleet capacity.
    #[must_use]
    pub fn lead_us(&self, key: TeamKey) -> i64 {
        self.account(key).tag.lead_us(self.virtual_time)
    }

    /// Returns virtual time: the smallest tag among the waiting teams. It never decreases.
    #[must_use]
    pub const fn virtual_time(&self) -> tag::Tag {
        self.virtual_time
    }

    /// Returns the slot time that this home charged to a team, minus refunds.
    #[must_use]
    pub fn charged(&self, key: TeamKey) -> time::Span {
        time::Span::from_micros(self.account(key).charged)
    }

    /// Returns the charges of all teams, for a home that just connected.
    pub fn full_report(&mut self) -> message::Served {
        let totals = (0..self.by_team.len()).map(|index| self.team_total(index));
        let totals = totals.collect();
        self.next_report(totals)
    }

    /// Returns the charges to report to the other homes of the service now, if there are any.
    ///
    /// A change of a tag by at least [`REPORT_THRESHOLD`] is reported at once, smaller changes once
    /// in each [`REPORT_PERIOD`].
    pub fn due_report(&mut self, now: time::Timestamp) -> Option<message::Served> {
        let period_ended = now.since(self.last_report) >= REPORT_PERIOD;
        if period_ended {
            self.last_report = now;
            self.peers
                .retain(|_, peer| now.since(peer.last_heard) < PEER_EXPIRY);
            self.report_now = (0..self.by_team.len()).map(|i| TeamKey(i as u32)).collect();
        }
        let mut totals = Vec::new();
        for key in std::mem::take(&mut self.report_now) {
            let account = &mut self.by_team[key.index()];
            if account.reported != account.charged {
                account.reported = account.charged;
                totals.push(self.team_total(key.index()));
            }
        }
        (!totals.is_empty()).then(|| self.next_report(totals))
    }

    fn team_total(&self, index: usize) -> message::TeamTotal {
        let (team, account) = self.by_team.get_index(index).expect("index in range");
        let lead_us = account.tag.lead_us(self.virtual_time);
        message::TeamTotal {
            team: team.clone(),
            charged: time::Span::from_micros(account.charged),
            lead_us: account.waiting.then_some(lead_us),
        }
    }

    fn next_report(&mut self, totals: Vec<message::TeamTotal>) -> message::Served {
        self.last_seq += 1;
        message::Served {
            service: self.service.clone(),
            home: self.home,
            seq: self.last_seq,
            totals,
        }
    }

    /// Marks a team for the next report if its unreported charges reach [`REPORT_THRESHOLD`].
    fn mark_if_large(&mut self, key: TeamKey) {
        let account = self.account(key);
        let unreported = time::Span::from_micros(account.charged.abs_diff(account.reported));
        let change = tag::Tag::from_slot_time(unreported, account.share_ppm, self.slots);
        if !self.peers.is_empty() && change >= REPORT_THRESHOLD.into() {
            self.report_now.insert(key);
        }
    }

    /// Applies the charges that another home reports. Duplicate and outdated reports have no
    /// effect.
    ///
    /// Charges are counted from the first total that a home sends for a team. That one charges
    /// nothing, but if this home has no history of the team, the team's tag is raised to the lead
    /// that comes with it.
    pub fn merge(&mut self, now: time::Timestamp, served: &message::Served) {
        if served.home == self.home || served.service != self.service {
            return;
        }
        let mut peer = self.peers.swap_remove(&served.home).unwrap_or_default();
        let was_silent = now.since(peer.last_heard) > SILENCE_THRESHOLD;
        peer.last_heard = now;
        let virtual_time = self.virtual_time;
        let cap = was_silent.then(|| virtual_time + DEBT_CAP.into());
        for total in &served.totals {
            let key = self.key(&total.team);
            let charged = total.charged.as_micros();
            let (seq, before) = *peer.totals.entry(key).or_insert((served.seq, charged));
            if seq <= served.seq {
                peer.totals.insert(key, (served.seq, charged));
                self.merge_total(key, total.lead_us, (before, charged), cap);
            }
        }
        self.peers.insert(served.home, peer);
    }

    fn merge_total(
        &mut self,
        key: TeamKey,
        lead_us: Option<i64>,
        (before, charged): (u64, u64),
        cap: Option<tag::Tag>,
    ) {
        let (slots, virtual_time) = (self.slots, self.virtual_time);
        let tag_of = |micros: u64, account: &Account| {
            tag::Tag::from_slot_time(time::Span::from_micros(micros), account.share_ppm, slots)
        };
        self.update(key, |account| {
            if let Some(lead_us) = lead_us.filter(|_| !account.has_history) {
                account.has_history = true;
                account.tag = account.tag.max(virtual_time.offset_by(lead_us));
            } else if charged > before {
                let after = account.tag + tag_of(charged - before, account);
                account.tag = account.tag.max(cap.map_or(after, |cap| after.min(cap)));
            } else {
                let refunded = tag_of(before - charged, account);
                account.tag = account.tag.saturating_sub(refunded);
            }
        });
    }
}
