//! The work that each team asked for and received lately from the whole fleet.

use indexmap::IndexMap;
use tsw_base::time::Tick;
use tsw_route::Name;

/// Time constant with which work is forgotten, in seconds: half of the window over which the
/// operators measure shares. Steady work of a rate amounts to the rate times this.
pub const MEMORY_S: f64 = 2.0;
/// Work below which a team is not told to other routers, in tokens or requests.
const NEGLIGIBLE: f64 = 0.05;

/// Work that a team asked for and received lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Work of all its requests.
    pub asked: f64,
    /// Work of its requests that were started.
    pub received: f64,
}

impl Work {
    fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            received: self.received + other.received,
        }
    }
}

/// Work that is forgotten exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    work: Work,
    at: Tick,
}

impl Recent {
    fn at(self, now: Tick) -> Work {
        let left = (-now.since(self.at).as_secs_f64() / MEMORY_S).exp();
        Work {
            asked: self.work.asked * left,
            received: self.work.received * left,
        }
    }

    fn add(&mut self, now: Tick, work: Work) {
        *self = Self {
            work: self.at(now).plus(work),
            at: now,
        };
    }

    /// Takes work out that was added before and forgotten since at the same pace.
    fn subtract(&mut self, now: Tick, work: Work) {
        let left = self.at(now);
        *self = Self {
            work: Work {
                asked: (left.asked - work.asked).max(0.0),
                received: (left.received - work.received).max(0.0),
            },
            at: now,
        };
    }
}

/// The work of each team: that at this router, and what other routers tell.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    own: IndexMap<Name, Recent>,
    /// Work of teams at this router since it last told the others.
    untold: IndexMap<Name, Work>,
    told: IndexMap<Name, (Tick, Vec<(Name, Work)>)>,
    others: IndexMap<Name, Recent>,
}

impl Accounts {
    /// Notes that a team asks this router for work.
    pub fn ask(&mut self, now: Tick, team: &Name, work: u64) {
        let asked = work as f64;
        let received = 0.0;
        self.add(now, team, Work { asked, received });
    }

    /// Notes that a team receives work from this router.
    ///
    /// ```
    /// use tsw_base::time::Tick;
    /// use tsw_flow::account::{Accounts, Work};
    /// let mut accounts = Accounts::default();
    /// let now = Tick::from_micros(1);
    /// accounts.charge(now, &"counter".into(), 100);
    /// let other = Work { asked: 60.0, received: 50.0 };
    /// accounts.set_others(now, &"r2".into(), vec![("counter".into(), other)]);
    /// assert_eq!(accounts.team(now, "counter").received, 150.0);
    /// ```
    pub fn charge(&mut self, now: Tick, team: &Name, work: u64) {
        let asked = 0.0;
        let received = work as f64;
        self.add(now, team, Work { asked, received });
    }

    fn add(&mut self, now: Tick, team: &Name, work: Work) {
        self.own.entry(team.clone()).or_default().add(now, work);
        let untold = self.untold.entry(team.clone()).or_default();
        *untold = untold.plus(work);
    }

    /// Takes what another router did; nothing when it ended.
    pub fn set_others(&mut self, now: Tick, router: &Name, work: Vec<(Name, Work)>) {
        for (team, work) in &work {
            let sum = self.others.entry(team.clone()).or_default();
            sum.add(now, *work);
        }
        let former = if work.is_empty() {
            self.told.swap_remove(router)
        } else {
            self.told.insert(router.clone(), (now, work))
        };
        let (at, former) = former.unwrap_or_default();
        for (team, work) in former {
            if let Some(sum) = self.others.get_mut(&team) {
                sum.subtract(now, Recent { work, at }.at(now));
            }
        }
    }

    /// Returns the work of a team.
    ///
    /// Since their last statement, the others are taken to have been asked for, and to have started,
    /// the same part of the team's work as this router. Otherwise all routers would use the same free
    /// capacity when the load rises.
    #[must_use]
    pub fn team(&self, now: Tick, team: &str) -> Work {
        let at = |recent: Option<&Recent>| recent.map_or(Work::default(), |recent| recent.at(now));
        let (own, others) = (at(self.own.get(team)), at(self.others.get(team)));
        let untold = self.untold.get(team).copied().unwrap_or_default();
        let ratio = if own.asked > 0.0 {
            others.asked / own.asked
        } else {
            0.0
        };
        let mut sum = own.plus(others);
        sum.asked += untold.asked * ratio;
        sum.received += untold.received * ratio;
        sum
    }

    /// Returns the work that teams had from this router, to be told to the others now.
    pub fn tell(&mut self, now: Tick) -> impl Iterator<Item = (Name, Work)> + '_ {
        self.untold.clear();
        let own = self.own.iter();
        let own = own.map(move |(team, recent)| (team.clone(), recent.at(now)));
        own.filter(|(_, work)| work.asked + work.received >= NEGLIGIBLE)
    }

    /// Returns the work up to which each team is served when `capacity` is divided among them so
    /// that the least served team gets as much as possible; infinity if all of them get what they
    /// ask for.
    ///
    /// ```
    /// use tsw_base::time::Tick;
    /// let (mut accounts, now) = (tsw_flow::account::Accounts::default(), Tick::from_micros(1));
    /// for (team, work) in [("a", 10), ("b", 100), ("c", 200)] {
    ///     accounts.ask(now, &team.into(), work);
    /// }
    /// assert_eq!(accounts.level(now, 110.0), 50.0);
    /// assert_eq!(accounts.level(now, 310.0), f64::INFINITY);
    /// ```
    #[must_use]
    pub fn level(&self, now: Tick, capacity: f64) -> f64 {
        let others = self
            .others
            .keys()
            .filter(|team| !self.own.contains_key(*team));
        let teams = self.own.keys().chain(others);
        let mut asked: Vec<f64> = teams.map(|team| self.team(now, team).asked).collect();
        asked.sort_by(f64::total_cmp);
        let mut left = capacity;
        let mut teams = asked.len();
        for asked in asked {
            let share = left / teams as f64;
            if asked > share {
                return share;
            }
            left -= asked;
            teams -= 1;
        }
        f64::INFINITY
    }
}
