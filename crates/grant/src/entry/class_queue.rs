//! Queue of one team and class at an entry router, and the counts advertised to each home.

use std::collections::{BTreeMap, HashMap};

use tsw_base::{name, time};

use crate::message::{Class, DemandLine, Request};

/// Number that identifies a home within a [`Queue`](super::Queue).
pub(super) type HomeNumber = u32;

/// Minimum time between two updates of a count that stays large, and the pause after a grant that
/// no waiting request may use.
const MIN_UPDATE_INTERVAL: time::Span = time::Span::from_millis(20);

/// Advertised count below which every change is sent at the next tick, because a home that knows of
/// too few requests leaves slots idle.
const SMALL_COUNT: u32 = 8;

/// Age of the oldest request from which the whole queue is advertised to every home instead of
/// being split among a few.
const FULL_ADVERTISEMENT_AGE: time::Span = time::Span::from_millis(20);

/// Count last advertised to one home.
#[derive(Clone, Copy, Debug)]
struct Advertised {
    /// Requests that the home still counts: the advertised count minus the grants received since.
    outstanding: u32,
    sent_at: time::Timestamp,
}

/// Waiting requests of one team and class, and the counts advertised to each home.
#[derive(Clone, Debug)]
pub(super) struct ClassQueue {
    pub team: name::Team,
    pub class: Class,
    /// Waiting requests, oldest first, each with the upstream that it must not use.
    waiting: BTreeMap<(time::Timestamp, Request), Option<name::Upstream>>,
    advertised: HashMap<HomeNumber, Advertised>,
    /// Position in the list of homes of the first home that a short queue asks.
    first_home: usize,
    /// No demand is advertised before this time.
    paused_until: time::Timestamp,
}

impl ClassQueue {
    pub fn new(team: name::Team, class: Class, first_home: usize) -> Self {
        Self {
            team,
            class,
            waiting: BTreeMap::new(),
            advertised: HashMap::new(),
            first_home,
            paused_until: time::Timestamp::ZERO,
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn push(
        &mut self,
        since: time::Timestamp,
        request: Request,
        avoid: Option<name::Upstream>,
    ) {
        if self.waiting.is_empty() {
            self.first_home = self.first_home.wrapping_add(1);
        }
        self.waiting.insert((since, request), avoid);
    }

    pub fn remove(&mut self, since: time::Timestamp, request: Request) {
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

    /// Subtracts a received grant from the count advertised to its home.
    pub fn record_grant(&mut self, home: HomeNumber) {
        if let Some(advertised) = self.advertised.get_mut(&home) {
            advertised.outstanding = advertised.outstanding.saturating_sub(1);
        }
    }

    /// Pauses advertising for [`MIN_UPDATE_INTERVAL`] after a grant that no waiting request may
    /// use. Without the pause the home would grant the same upstream over and over.
    pub fn pause_advertising(&mut self, now: time::Timestamp) {
        if !self.waiting.is_empty() {
            self.paused_until = now + MIN_UPDATE_INTERVAL;
        }
    }

    /// Discards the count advertised to a home that is new or may have lost it.
    pub fn clear_advertised(&mut self, home: HomeNumber) {
        self.advertised.remove(&home);
    }

    /// Returns the waiting time of the oldest request.
    fn age(&self, now: time::Timestamp) -> Option<time::Span> {
        let ((since, _), _) = self.waiting.first_key_value()?;
        Some(now.since(*since))
    }

    /// Returns the number of requests to advertise to the home at `position` of `homes`.
    ///
    /// Once the oldest request has waited for [`FULL_ADVERTISEMENT_AGE`], every home gets the full
    /// count. Before that, the requests are split evenly among at most as many homes as there are
    /// requests: if every home were asked at once, most grants would be returned unused.
    fn count_for_home(&self, now: time::Timestamp, position: usize, homes: usize) -> u32 {
        let waiting = self.waiting.len();
        if homes <= 1
            || self
                .age(now)
                .is_some_and(|age| age >= FULL_ADVERTISEMENT_AGE)
        {
            return waiting as u32;
        }
        let distance = (position + homes - self.first_home % homes) % homes;
        let asked_homes = waiting.min(homes).max(1);
        if distance < asked_homes {
            (waiting / asked_homes + usize::from(distance < waiting % asked_homes)) as u32
        } else {
            0
        }
    }

    /// Returns the line to send to a home now, if one is due. Between ticks, a line is due only if
    /// requests wait and the home counts none.
    pub fn due_line(
        &mut self,
        now: time::Timestamp,
        (home, position, homes): (HomeNumber, usize, usize),
        (tick, refresh_interval): (bool, time::Span),
    ) -> Option<DemandLine> {
        let count = self.count_for_home(now, position, homes);
        if count > 0 && now < self.paused_until {
            return None;
        }
        let advertised = self.advertised.get(&home).copied();
        let outstanding = advertised.map_or(0, |advertised| advertised.outstanding);
        let since_last =
            advertised.map_or(time::Span::MAX, |advertised| now.since(advertised.sent_at));
        let due = match (count, outstanding) {
            (0, 0) => false,
            (_, 0) => true,
            (0, _) => tick,
            _ if count == outstanding => since_last >= refresh_interval,
            _ => {
                tick && (outstanding < SMALL_COUNT
                    || count / 2 >= outstanding
                    || since_last >= MIN_UPDATE_INTERVAL)
            }
        };
        if !due {
            return None;
        }
        let advertised = Advertised {
            outstanding: count,
            sent_at: now,
        };
        self.advertised.insert(home, advertised);
        let newest = self.waiting.last_key_value();
        let newest = newest.map_or(time::Span::ZERO, |((since, _), _)| now.since(*since));
        Some(DemandLine {
            team: self.team.clone(),
            class: self.class,
            waiting: count,
            oldest: self.age(now).unwrap_or_default(),
            newest,
        })
    }

    /// Returns whether a later tick may have to send a line even if the queue does not change.
    pub fn needs_tick(&self) -> bool {
        !self.waiting.is_empty()
            || self
                .advertised
                .values()
                .any(|advertised| advertised.outstanding > 0)
    }
}
