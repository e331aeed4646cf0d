//! Exponentially decaying sums of the work that each team requested and was served across the
//! whole fleet.

use indexmap::IndexMap;
use tsw_base::time::Timestamp;
use tsw_route::Name;

/// Time constant of the exponential decay, in seconds: half of the window over which the operators
/// measure shares. A steady rate of work converges to the rate times this constant.
pub const DECAY_S: f64 = 2.0;
/// Work below which a team is left out of the reports to other routers, in tokens or requests.
const MIN_REPORTED_WORK: f64 = 0.05;

/// Recent work of a team, in tokens for engines and in requests for plain upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Work of all requests that arrived.
    pub requested: f64,
    /// Work of the requests that were started.
    pub served: f64,
}

impl Work {
    fn plus(self, other: Self) -> Self {
        Self {
            requested: self.requested + other.requested,
            served: self.served + other.served,
        }
    }
}

/// An exponentially decaying sum of work, stored with the time of its last update.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingWork {
    work: Work,
    at: Timestamp,
}

impl DecayingWork {
    fn at(self, now: Timestamp) -> Work {
        let decay = (-now.since(self.at).as_secs_f64() / DECAY_S).exp();
        Work {
            requested: self.work.requested * decay,
            served: self.work.served * decay,
        }
    }

    fn add(&mut self, now: Timestamp, work: Work) {
        *self = Self {
            work: self.at(now).plus(work),
            at: now,
        };
    }

    /// Subtracts work that was added earlier. `work` must be decayed to `now`.
    fn subtract(&mut self, now: Timestamp, work: Work) {
        let current = self.at(now);
        *self = Self {
            work: Work {
                requested: (current.requested - work.requested).max(0.0),
                served: (current.served - work.served).max(0.0),
            },
            at: now,
        };
    }
}

/// Recent work of each team: at this router, and as reported by the other routers.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    own: IndexMap<Name, DecayingWork>,
    /// Work at this router since its last report to the other routers.
    unreported: IndexMap<Name, Work>,
    /// Last report of each other router and its time. Subtracted from `peers` when replaced.
    peer_reports: IndexMap<Name, (Timestamp, Vec<(Name, Work)>)>,
    /// Sum of the reports in `peer_reports`.
    peers: IndexMap<Name, DecayingWork>,
}

impl Accounts {
    /// Records that a request of a team arrived at this router.
    pub fn record_request(&mut self, now: Timestamp, team: &Name, work: u64) {
        let requested = work as f64;
        let served = 0.0;
        self.add(now, team, Work { requested, served });
    }

    /// Records that this router started a request of a team.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_flow::account::{Accounts, Work};
    /// let mut accounts = Accounts::default();
    /// let now = Timestamp::from_micros(1);
    /// accounts.record_start(now, &"counter".into(), 100);
    /// let other = Work { requested: 60.0, served: 50.0 };
    /// accounts.set_peer_report(now, &"r2".into(), vec![("counter".into(), other)]);
    /// assert_eq!(accounts.team(now, "counter").served, 150.0);
    /// ```
    pub fn record_start(&mut self, now: Timestamp, team: &Name, work: u64) {
        let requested = 0.0;
        let served = work as f64;
        self.add(now, team, Work { requested, served });
    }

    fn add(&mut self, now: Timestamp, team: &Name, work: Work) {
        self.own.entry(team.clone()).or_default().add(now, work);
        let unreported = self.unreported.entry(team.clone()).or_default();
        *unreported = unreported.plus(work);
    }

    /// Replaces the report of another router. An empty report removes the router.
    pub fn set_peer_report(&mut self, now: Timestamp, router: &Name, work: Vec<(Name, Work)>) {
        for (team, work) in &work {
            let sum = self.peers.entry(team.clone()).or_default();
            sum.add(now, *work);
        }
        let previous = if work.is_empty() {
            self.peer_reports.swap_remove(router)
        } else {
            self.peer_reports.insert(router.clone(), (now, work))
        };
        let (at, previous) = previous.unwrap_or_default();
        for (team, work) in previous {
            if let Some(sum) = self.peers.get_mut(&team) {
                sum.subtract(now, DecayingWork { work, at }.at(now));
            }
        }
    }

    /// Returns the recent work of a team in the whole fleet.
    ///
    /// The work of the other routers since their last reports is extrapolated: it is assumed to have
    /// grown by the same ratio as the team's work at this router. Without this, all routers would
    /// claim the same free capacity when the load rises.
    #[must_use]
    pub fn team(&self, now: Timestamp, team: &str) -> Work {
        let at =
            |recent: Option<&DecayingWork>| recent.map_or(Work::default(), |recent| recent.at(now));
        let (own, peers) = (at(self.own.get(team)), at(self.peers.get(team)));
        let unreported = self.unreported.get(team).copied().unwrap_or_default();
        let ratio = if own.requested > 0.0 {
            peers.requested / own.requested
        } else {
            0.0
        };
        let mut sum = own.plus(peers);
        sum.requested += unreported.requested * ratio;
        sum.served += unreported.served * ratio;
        sum
    }

    /// Returns the recent work at this router, as a report to the other routers, and starts a new
    /// reporting period.
    pub fn take_report(&mut self, now: Timestamp) -> impl Iterator<Item = (Name, Work)> + '_ {
        self.unreported.clear();
        let own = self.own.iter();
        let own = own.map(move |(team, recent)| (team.clone(), recent.at(now)));
        own.filter(|(_, work)| work.requested + work.served >= MIN_REPORTED_WORK)
    }

    /// Returns the max-min fair share of `capacity`: the work up to which each team is served. It is
    /// infinite if the capacity covers all that the teams request.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// let (mut accounts, now) = (tsw_flow::account::Accounts::default(), Timestamp::from_micros(1));
    /// for (team, work) in [("a", 10), ("b", 100), ("c", 200)] {
    ///     accounts.record_request(now, &team.into(), work);
    /// }
    /// assert_eq!(accounts.fair_share(now, 110.0), 50.0);
    /// assert_eq!(accounts.fair_share(now, 310.0), f64::INFINITY);
    /// ```
    #[must_use]
    pub fn fair_share(&self, now: Timestamp, capacity: f64) -> f64 {
        let peer_only = self
            .peers
            .keys()
            .filter(|team| !self.own.contains_key(*team));
        let teams = self.own.keys().chain(peer_only);
        let mut requested: Vec<f64> = teams.map(|team| self.team(now, team).requested).collect();
        requested.sort_by(f64::total_cmp);
        let mut remaining = capacity;
        let mut teams = requested.len();
        for requested in requested {
            let share = remaining / teams as f64;
            if requested > share {
                return share;
            }
            remaining -= requested;
            teams -= 1;
        }
        f64::INFINITY
    }
}
