//! Which routers hear what a router does.
//!
//! A busy router needs the newest statements of the others for each of its choices, and they need its
//! own. One that no client uses needs them only so that it is not ignorant when a client comes. In a
//! large fleet most routers are of the second kind, so that the age of what busy routers know does not
//! grow with the fleet.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tsw_base::time::{Span, Tick};

use crate::roster::{Member, LIVE_FOR};

/// Period of statements among routers that are few.
const PERIOD: Span = Span::from_millis(100);
/// Routers up to which the period does not grow. In a larger group it grows with them, so that each
/// one receives about the same number of statements.
const FEW: usize = 8;
/// Requests within two seconds or so from which a router is busy: with ten a second it has some of its
/// own at a good part of the engines.
const BUSY_REQUESTS: f64 = 20.0;
/// Requests within two seconds or so below which a router has none of late.
const LEAST_REQUESTS: f64 = 0.1;
/// Periods of statements among all running routers between two statements to all of them.
const ALL_EVERY: u64 = 4;

/// Returns the period of statements in a group of so many routers.
///
/// ```
/// use tsw_member::audience::period;
/// assert_eq!(period(7).as_millis(), 100);
/// assert_eq!(period(12).as_millis(), 200);
/// ```
#[must_use]
pub fn period(routers: usize) -> Span {
    PERIOD * routers.div_ceil(FEW).max(1) as u64
}

/// Returns the period of statements to all of so many routers.
fn all_period(routers: usize) -> Span {
    period(routers) * ALL_EVERY
}

/// Returns the time for which a statement counts if no newer one arrives, in a fleet of so many
/// routers: one to all of them may be lost.
#[must_use]
pub fn stated_for(routers: usize) -> Span {
    (all_period(routers) * 2 + PERIOD).max(LIVE_FOR)
}

/// How much a router has to do, as it states itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Load {
    /// No client uses it.
    #[default]
    Idle,
    /// It gets a request now and then.
    Light,
    /// It gets many requests.
    Busy,
}

impl Load {
    /// Returns the load of a router that was asked so many requests in the last two seconds or so.
    #[must_use]
    pub fn of(requests: f64) -> Self {
        if requests >= BUSY_REQUESTS {
            Self::Busy
        } else if requests >= LEAST_REQUESTS {
            Self::Light
        } else {
            Self::Idle
        }
    }
}

/// The routers that clients use, as far as statements tell.
#[derive(Clone, Debug, Default)]
pub struct Audience {
    loads: IndexMap<String, (Tick, Load)>,
    told_light: Option<Tick>,
    told_all: Option<Tick>,
    busy: usize,
    all: usize,
}

impl Audience {
    /// Notes what a router stated of its load.
    pub fn note(&mut self, now: Tick, router: &str, load: Load) {
        match self.loads.get_mut(router) {
            Some(known) => *known = (now, load),
            None => {
                self.loads.insert(router.to_owned(), (now, load));
            }
        }
    }

    /// Returns the period until the next statement of a router with a load.
    #[must_use]
    pub fn period(&self, load: Load) -> Span {
        match load {
            Load::Busy => period(self.busy + 1),
            Load::Light | Load::Idle => period(self.all + 1),
        }
    }

    /// Returns whom to tell the next statement, given the routers that run and those of them that
    /// clients are sent to. Each one hears as often as it would state itself.
    ///
    /// ```
    /// use tsw_base::time::{Span, Tick};
    /// use tsw_member::{audience::{Audience, Load}, roster::{Member, Roster}};
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), run: 1, beat: 1,
    ///     client: ([10, 0, 0, number], 1).into(), gossip: ([10, 0, 0, number], 2).into(),
    ///     control: ([10, 0, 0, number], 3).into(), processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0,
    /// };
    /// let all: Vec<Member> = (1..6).map(member).collect();
    /// let live: Vec<&Member> = all.iter().collect();
    /// let mut audience = Audience::default();
    /// let now = Tick::from_micros(1);
    /// assert_eq!(audience.next(now, &live, &live[..2]).len(), 5, "all of them at first");
    /// assert_eq!(audience.next(now, &live, &live[..2]).len(), 2);
    /// audience.note(now, "r5", Load::Busy);
    /// assert_eq!(audience.next(now, &live, &live[..2]).len(), 3);
    /// ```
    pub fn next(&mut self, now: Tick, live: &[&Member], listed: &[&Member]) -> Vec<SocketAddr> {
        self.loads.retain(|_, (at, _)| now.since(*at) <= LIVE_FOR);
        let listed: IndexSet<&str> = listed.iter().map(|member| &*member.host).collect();
        let load = |member: &Member| {
            if listed.contains(&*member.host) {
                return Load::Busy;
            }
            let known = self.loads.get(&member.host);
            known.map_or(Load::Idle, |(_, load)| *load)
        };
        let loads: Vec<Load> = live.iter().map(|member| load(member)).collect();
        self.busy = loads.iter().filter(|load| **load == Load::Busy).count();
        self.all = live.len();
        let due = |told: Option<Tick>, period| told.is_none_or(|at| now.since(at) >= period);
        let least = if due(self.told_all, all_period(live.len() + 1)) {
            self.told_all = Some(now);
            self.told_light = Some(now);
            Load::Idle
        } else if due(self.told_light, period(live.len() + 1)) {
            self.told_light = Some(now);
            Load::Light
        } else {
            Load::Busy
        };
        let told = live.iter().zip(loads).filter(|(_, load)| *load >= least);
        told.map(|(member, _)| member.gossip).collect()
    }
}
