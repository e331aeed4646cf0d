//! The work that each team received lately from the whole fleet.

use indexmap::IndexMap;
use tsw_base::time::Tick;
use tsw_route::Name;

/// Time constant with which work is forgotten, in seconds: half of the window over which the
/// operators measure shares. Steady work of a rate amounts to the rate times this.
pub const MEMORY_S: f64 = 2.0;
/// Work below which a team is not listed, in tokens or requests.
const NEGLIGIBLE: f64 = 0.05;

/// An amount that is forgotten exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    work: f64,
    at: Tick,
}

impl Recent {
    fn at(self, now: Tick) -> f64 {
        self.work * (-now.since(self.at).as_secs_f64() / MEMORY_S).exp()
    }
}

/// The work that each team received lately: that of this router, and what other routers tell.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    own: IndexMap<Name, Recent>,
    told: IndexMap<Name, (Tick, Vec<(Name, f64)>)>,
    others: IndexMap<Name, Recent>,
}

impl Accounts {
    /// Notes that a team receives work from this router.
    ///
    /// ```
    /// use tsw_base::time::Tick;
    /// use tsw_flow::account::Accounts;
    /// let mut accounts = Accounts::default();
    /// let now = Tick::from_micros(1);
    /// accounts.charge(now, &"counter".into(), 100);
    /// accounts.set_others(now, &"r2".into(), vec![("counter".into(), 50.0)]);
    /// assert_eq!(accounts.received(now, "counter"), 150.0);
    /// ```
    pub fn charge(&mut self, now: Tick, team: &Name, work: u64) {
        let recent = self.own.entry(team.clone()).or_default();
        *recent = Recent {
            work: recent.at(now) + work as f64,
            at: now,
        };
    }

    /// Takes what another router did; nothing when it ended.
    pub fn set_others(&mut self, now: Tick, router: &Name, received: Vec<(Name, f64)>) {
        if received.is_empty() {
            self.told.swap_remove(router);
        } else {
            self.told.insert(router.clone(), (now, received));
        }
        self.others.clear();
        for (at, received) in self.told.values() {
            for (team, work) in received {
                let told = Recent {
                    work: *work,
                    at: *at,
                };
                let sum = self.others.entry(team.clone()).or_default();
                sum.work += told.at(now);
                sum.at = now;
            }
        }
    }

    /// Returns the work that a team received lately.
    #[must_use]
    pub fn received(&self, now: Tick, team: &str) -> f64 {
        let at = |recent: Option<&Recent>| recent.map_or(0.0, |recent| recent.at(now));
        at(self.own.get(team)) + at(self.others.get(team))
    }

    /// Returns the work that all teams received lately.
    #[must_use]
    pub fn total(&self, now: Tick) -> f64 {
        let all = self.own.values().chain(self.others.values());
        all.map(|recent| recent.at(now)).sum()
    }

    /// Returns the work that teams received lately from this router.
    pub fn own(&self, now: Tick) -> impl Iterator<Item = (Name, f64)> + '_ {
        let own = self.own.iter().map(move |(team, recent)| (team.clone(), recent.at(now)));
        own.filter(|(_, work)| *work >= NEGLIGIBLE)
    }

    /// Returns the teams that received work lately.
    pub fn active(&self, now: Tick) -> impl Iterator<Item = &Name> {
        let all = self.own.iter().chain(&self.others);
        let active = all.filter(move |(_, recent)| recent.at(now) >= NEGLIGIBLE);
        active.map(|(team, _)| team)
    }
}
