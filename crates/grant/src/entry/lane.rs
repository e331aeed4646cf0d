//! Waiting requests of one team and class at an entry router.

use std::collections::{BTreeMap, HashMap};

use tsw_base::{name, time};

use crate::message::{Class, Line, Request};

/// Number of a home within a queue.
pub(super) type Peer = u32;

/// Smallest time between two messages about a long backlog that stays long.
const BATCH: time::Span = time::Span::from_millis(20);

/// Advertised count below which each change is told at the next tick, since a home that counts too
/// few requests leaves slots idle.
const LOW: u32 = 8;

/// Waiting time from which a backlog is advertised in full to all homes, not in parts to a few.
const WIDEN: time::Span = time::Span::from_millis(20);

/// What one home was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Requests that the home still counts: those told less the grants that arrived since.
    counted: u32,
    at: time::Tick,
}

/// Waiting requests of one team and class.
#[derive(Clone, Debug)]
pub(super) struct Lane {
    pub team: name::Team,
    pub class: Class,
    /// Waiting requests, the oldest first, with the upstream that each must not use.
    waiting: BTreeMap<(time::Tick, Request), Option<name::Upstream>>,
    told: HashMap<Peer, Told>,
    /// Where in the list of homes a short backlog starts to ask.
    turn: usize,
    /// Until when nothing more is advertised.
    held: time::Tick,
}

impl Lane {
    pub fn new(team: name::Team, class: Class, turn: usize) -> Self {
        Self {
            team,
            class,
            waiting: BTreeMap::new(),
            told: HashMap::new(),
            turn,
            held: time::Tick::ZERO,
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn push(&mut self, since: time::Tick, request: Request, avoid: Option<name::Upstream>) {
        if self.waiting.is_empty() {
            self.turn = self.turn.wrapping_add(1);
        }
        self.waiting.insert((since, request), avoid);
    }

    pub fn remove(&mut self, since: time::Tick, request: Request) {
        self.waiting.remove(&(since, request));
    }

    /// Returns the oldest request that may use `upstream`.
    pub fn oldest_for(&self, upstream: &name::Upstream) -> Option<Request> {
        let mut allowed = self
            .waiting
            .iter()
            .filter(|(_, avoid)| avoid.as_ref() != Some(upstream));
        allowed.next().map(|((_, request), _)| *request)
    }

    /// Notes that a grant of a home arrived.
    pub fn granted(&mut self, peer: Peer) {
        if let Some(told) = self.told.get_mut(&peer) {
            told.counted = told.counted.saturating_sub(1);
        }
    }

    /// Advertises nothing for a while, because no waiting request may use a grant that arrived. A
    /// home that was asked again at once would grant the same upstream again and again.
    pub fn hold(&mut self, now: time::Tick) {
        if !self.waiting.is_empty() {
            self.held = now + BATCH;
        }
    }

    /// Forgets what a home was told, as it is new or lost it.
    pub fn forget(&mut self, peer: Peer) {
        self.told.remove(&peer);
    }

    fn age(&self, now: time::Tick) -> Option<time::Span> {
        let ((since, _), _) = self.waiting.first_key_value()?;
        Some(now.since(*since))
    }

    /// Returns the requests to advertise to the home at `place` of `homes`: all of them to all
    /// homes once the oldest has waited for a while, and before that an even part to as many homes
    /// as there are requests. Asking every home at once would get most grants returned unused.
    fn part(&self, now: time::Tick, place: usize, homes: usize) -> u32 {
        let waiting = self.waiting.len();
        if homes <= 1 || self.age(now).is_some_and(|age| age >= WIDEN) {
            return waiting as u32;
        }
        let turn = (place + homes - self.turn % homes) % homes;
        let reach = waiting.min(homes).max(1);
        if turn < reach {
            (waiting / reach + usize::from(turn < waiting % reach)) as u32
        } else {
            0
        }
    }

    /// Returns the line to send to a home now, if one is due. Between ticks only a line that the
    /// home counts as empty is due.
    pub fn line(
        &mut self,
        now: time::Tick,
        (peer, place, homes): (Peer, usize, usize),
        (tick, refresh): (bool, time::Span),
    ) -> Option<Line> {
        let part = self.part(now, place, homes);
        if part > 0 && now < self.held {
            return None;
        }
        let told = self.told.get(&peer).copied();
        let counted = told.map_or(0, |told| told.counted);
        let quiet = told.map_or(time::Span::MAX, |told| now.since(told.at));
        let due = match (part, counted) {
            (0, 0) => false,
            (_, 0) => true,
            (0, _) => tick,
            _ if part == counted => quiet >= refresh,
            _ => tick && (counted < LOW || part / 2 >= counted || quiet >= BATCH),
        };
        if !due {
            return None;
        }
        let told = Told {
            counted: part,
            at: now,
        };
        self.told.insert(peer, told);
        let newest = self.waiting.last_key_value();
        let newest = newest.map_or(time::Span::ZERO, |((since, _), _)| now.since(*since));
        Some(Line {
            team: self.team.clone(),
            class: self.class,
            waiting: part,
            oldest: self.age(now).unwrap_or_default(),
            newest,
        })
    }

    /// Returns whether a later tick may have to send a line although nothing changes.
    pub fn unsettled(&self) -> bool {
        !self.waiting.is_empty() || self.told.values().any(|told| told.counted > 0)
    }
}
