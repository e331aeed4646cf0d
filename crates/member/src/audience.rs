//! Selects the routers to which a router sends its activity reports, and how often.
//!
//! A busy router needs the latest reports of the other busy routers for each scheduling
//! decision, and they need its own. An idle router, one that no client uses, needs them only to be
//! prepared for its first client, so it receives them less often. Since most routers of a large
//! fleet are idle, the age of the reports that busy routers use does not grow with the fleet.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tsw_base::time::{Span, Timestamp};

use crate::roster::{Member, LIVENESS_TIMEOUT};

/// Interval of reports in a group of at most [`BASE_ROUTERS`] routers.
const BASE_INTERVAL: Span = Span::from_millis(100);
/// Largest group that uses the shortest interval. In a larger group the interval grows with the
/// number of routers, so that each receives about the same number of reports per second.
const BASE_ROUTERS: usize = 8;
/// Number of requests within about two seconds from which a router is busy. At ten requests a
/// second, many of the engines run a request of this router.
const BUSY_MIN_REQUESTS: f64 = 20.0;
/// Number of requests within about two seconds below which a router is idle.
const LIGHT_MIN_REQUESTS: f64 = 0.1;
/// Length of the interval between reports to all live routers, in intervals for a group of that
/// size.
const BROADCAST_FACTOR: u64 = 4;

/// Returns the interval of reports in a group of `routers` routers.
///
/// ```
/// use tsw_member::audience::report_interval;
/// assert_eq!(report_interval(7).as_millis(), 100);
/// assert_eq!(report_interval(12).as_millis(), 200);
/// ```
#[must_use]
pub fn report_interval(routers: usize) -> Span {
    BASE_INTERVAL * routers.div_ceil(BASE_ROUTERS).max(1) as u64
}

/// Returns the interval of reports to all routers of a fleet of `routers` routers.
fn broadcast_interval(routers: usize) -> Span {
    report_interval(routers) * BROADCAST_FACTOR
}

/// Returns the time for which a report is valid if no newer one arrives, in a fleet of `routers`
/// routers. It covers the loss of one report to all routers.
#[must_use]
pub fn report_lifetime(routers: usize) -> Span {
    (broadcast_interval(routers) * 2 + BASE_INTERVAL).max(LIVENESS_TIMEOUT)
}

/// The load that a router reports of itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Load {
    /// No client uses it.
    #[default]
    Idle,
    /// It receives requests occasionally.
    Light,
    /// It receives many requests.
    Busy,
}

impl Load {
    /// Returns the load of a router that received `requests` requests in the last two seconds or
    /// so.
    #[must_use]
    pub fn from_requests(requests: f64) -> Self {
        if requests >= BUSY_MIN_REQUESTS {
            Self::Busy
        } else if requests >= LIGHT_MIN_REQUESTS {
            Self::Light
        } else {
            Self::Idle
        }
    }
}

/// The recipients of a router's reports, selected by the load that each router reported.
#[derive(Clone, Debug, Default)]
pub struct Audience {
    loads: IndexMap<String, (Timestamp, Load)>,
    last_to_light: Option<Timestamp>,
    last_to_all: Option<Timestamp>,
    busy: usize,
    all: usize,
}

impl Audience {
    /// Records the load that a router reported.
    pub fn record_load(&mut self, now: Timestamp, router: &str, load: Load) {
        match self.loads.get_mut(router) {
            Some(known) => *known = (now, load),
            None => {
                self.loads.insert(router.to_owned(), (now, load));
            }
        }
    }

    /// Returns the interval until the next report of a router with the given load.
    #[must_use]
    pub fn report_interval(&self, load: Load) -> Span {
        match load {
            Load::Busy => report_interval(self.busy + 1),
            Load::Light | Load::Idle => report_interval(self.all + 1),
        }
    }

    /// Returns the recipients of the next report, given the live routers and those of them that
    /// clients should use. Each router receives reports as often as one of its load sends them.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_member::{audience::{Audience, Load}, roster::{Member, Roster}};
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), incarnation: 1, heartbeat: 1,
    ///     client: ([10, 0, 0, number], 1).into(), gossip: ([10, 0, 0, number], 2).into(),
    ///     control: ([10, 0, 0, number], 3).into(), processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0, era: None,
    /// };
    /// let all: Vec<Member> = (1..6).map(member).collect();
    /// let live: Vec<&Member> = all.iter().collect();
    /// let mut audience = Audience::default();
    /// let now = Timestamp::from_micros(1);
    /// // The first report goes to all.
    /// assert_eq!(audience.next_recipients(now, &live, &live[..2]).len(), 5);
    /// assert_eq!(audience.next_recipients(now, &live, &live[..2]).len(), 2);
    /// audience.record_load(now, "r5", Load::Busy);
    /// assert_eq!(audience.next_recipients(now, &live, &live[..2]).len(), 3);
    /// ```
    pub fn next_recipients(
        &mut self,
        now: Timestamp,
        live: &[&Member],
        client_routers: &[&Member],
    ) -> Vec<SocketAddr> {
        self.loads
            .retain(|_, (at, _)| now.since(*at) <= LIVENESS_TIMEOUT);
        let client_routers: IndexSet<&str> =
            client_routers.iter().map(|member| &*member.host).collect();
        let load = |member: &Member| {
            if client_routers.contains(&*member.host) {
                return Load::Busy;
            }
            let known = self.loads.get(&member.host);
            known.map_or(Load::Idle, |(_, load)| *load)
        };
        let loads: Vec<Load> = live.iter().map(|member| load(member)).collect();
        self.busy = loads.iter().filter(|load| **load == Load::Busy).count();
        self.all = live.len();
        let due =
            |last: Option<Timestamp>, interval| last.is_none_or(|at| now.since(at) >= interval);
        let min_load = if due(self.last_to_all, broadcast_interval(live.len() + 1)) {
            self.last_to_all = Some(now);
            self.last_to_light = Some(now);
            Load::Idle
        } else if due(self.last_to_light, report_interval(live.len() + 1)) {
            self.last_to_light = Some(now);
            Load::Light
        } else {
            Load::Busy
        };
        let recipients = live.iter().zip(loads).filter(|(_, load)| *load >= min_load);
        recipients.map(|(member, _)| member.gossip).collect()
    }
}
