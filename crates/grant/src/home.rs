//! The home of a group of upstreams: decides which waiting request gets each free slot.
//!
//! One [`Home`] schedules all upstreams of one service that this router is the home of, whichever
//! groups they belong to. It holds no clock and no socket: [`Home::handle`] takes the time and an
//! event and returns commands.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use tsw_base::{host, name, time};
use tsw_share::{accounts, message::Served};

use crate::message::{Class, Demand, Grant, Held, Holdings, Id, Release};

mod backlog;
mod estimate;
mod ledger;
mod receive;
mod schedule;
mod slots;

pub use estimate::FIRST as FIRST_ESTIMATE;

/// Period at which a request is charged again once it runs past its estimate.
pub const CHARGE_PERIOD: time::Span = time::Span::from_millis(50);

/// Longest time for which the grants of a newly owned upstream are held back.
pub const HANDOVER: time::Span = time::Span::from_millis(100);

/// Holdings that arrived this long before an upstream became owned count for it: an entry router
/// may learn of the new home first.
const HANDOVER_EARLY: time::Span = time::Span::from_millis(500);

/// Time beyond the grant's time to live after which a grant that no message mentions is lost. A
/// start report sent at the last moment arrives within it.
const LOST_AFTER: time::Span = time::Span::from_millis(500);

/// Time after which the slots of a dead entry router are free unless the upstream's load report
/// frees them earlier. Its connections are closed by then unless the router is only cut off.
pub const RECLAIM_AFTER: time::Span = time::Span::from_secs(2);

/// Lead over virtual time up to which a team's urgent and solo requests go before the order of
/// teams.
const LEAD_US: i64 = 250_000;

/// Time by which a long request counts as younger than it is, against short ones of its team.
pub const LONG_AGING: time::Span = time::Span::from_secs(2);

/// Urgent requests that may go before the order of teams in one burst.
const URGENT_BURST: u32 = 8;

/// Settings of a home.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Grants per upstream made before a slot is free, to cover the control round trip. They wait
    /// in the upstream's own queue. Applies to upstreams with a limit of at least 2.
    pub ahead: u32,
    /// Oldest demand that a grant may answer.
    pub grant_ttl: time::Span,
    /// Urgent grants that go before the order of teams, in percent of all grants.
    pub urgent_percent: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            ahead: 0,
            grant_ttl: time::Span::from_secs(1),
            urgent_percent: 10,
        }
    }
}

/// What a home reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry router advertises waiting requests.
    Demand {
        /// The entry router.
        from: host::Id,
        /// The message.
        demand: Demand,
    },
    /// An entry router reports what became of grants.
    Release {
        /// The entry router.
        from: host::Id,
        /// The message.
        release: Release,
    },
    /// An entry router lists its running requests.
    Holdings {
        /// The entry router.
        from: host::Id,
        /// The message.
        holdings: Holdings,
    },
    /// This router is the home of an upstream, or its limit changed.
    Upstream {
        /// The upstream.
        upstream: name::Upstream,
        /// Slots that the service file or the host list gives it.
        slots: u32,
        /// Most requests that it is to run now, cut to `slots`. 0 for one that is leaving.
        limit: u32,
    },
    /// This router is no longer the home of an upstream, or the upstream is gone.
    Disown {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// An upstream reports its load.
    Load {
        /// The upstream.
        upstream: name::Upstream,
        /// Requests that it runs or queues.
        running: u32,
        /// Age of the report.
        age: time::Span,
    },
    /// The routers that are alive. Those that were and are absent now are gone.
    Routers {
        /// The live routers.
        live: Vec<host::Id>,
    },
    /// The slots of the whole fleet for this service, and the shares of its teams in millionths.
    Shares {
        /// Slots of all groups.
        slots: u64,
        /// Share of each team.
        shares: Vec<(name::Team, u32)>,
    },
    /// Another home of the service tells its totals.
    Served {
        /// The message.
        served: Served,
    },
    /// Time passed. Due every 10 ms or so while grants are in use.
    Tick,
}

/// What a home asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send a grant.
    Grant {
        /// The entry router that gets it.
        to: host::Id,
        /// The message.
        grant: Grant,
    },
    /// Send the charges to the other homes of the service and to the router that is next in line
    /// for each group.
    Served {
        /// The message.
        served: Served,
    },
}

#[derive(Clone, Debug)]
struct Router {
    id: host::Id,
    live: bool,
    reported: Option<time::Tick>,
    runs: IndexSet<Id>,
    /// Sequence number of the latest demand for each team and class.
    lines: IndexMap<(accounts::TeamKey, Class), u64>,
}

#[derive(Clone, Debug)]
struct Run {
    entry: backlog::Entry,
    key: accounts::TeamKey,
    class: Class,
    /// Tokens that its caller expects; 0 if that is not known.
    cost: u32,
    upstream: u32,
    /// Slots that the request takes up: all of the upstream's for a solo request.
    width: u32,
    /// When its slot time started; absent while it waits in the upstream's queue.
    start: Option<time::Tick>,
    /// Time per slot from `start` on that the team's tag includes.
    charged: time::Span,
    /// Whether another home granted it, so that its whole slot time is not known here.
    adopted: bool,
    /// Whether the entry router reported that it uses the grant.
    confirmed: bool,
    /// Since when its entry router is dead.
    orphan: Option<time::Tick>,
}

/// A running request on an upstream that this home does not schedule yet.
#[derive(Clone, Debug)]
struct Early {
    at: time::Tick,
    entry: backlog::Entry,
    held: Held,
}

#[derive(Clone, Debug, Default)]
struct Work {
    backlogs: [backlog::Backlog; 4],
    estimate: estimate::Estimate,
    /// Keys of this team in the sets of urgent and solo requests.
    listed: [Option<time::Tick>; 2],
}

/// Scheduler of the upstreams of one service that this router is the home of.
///
/// ```
/// use tsw_base::{host, time::{Span, Tick}};
/// use tsw_grant::{home, message};
///
/// let me = host::Incarnation::new(1, 0);
/// let mut home = home::Home::new("reviews".parse()?, me, home::Tuning::default());
/// let at = Tick::from_micros(1_000_000);
/// let team: tsw_base::name::Team = "north".parse()?;
/// let shares = vec![(team.clone(), 500_000)];
/// home.handle(at, home::Event::Shares { slots: 8, shares });
/// let upstream = "engine-1".parse()?;
/// home.handle(at, home::Event::Upstream { upstream, slots: 8, limit: 8 });
/// let from = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(2, 0) };
/// let line = message::Line {
///     team,
///     class: message::Class::Short,
///     waiting: 1,
///     oldest: Span::ZERO,
///     newest: Span::ZERO,
/// };
/// let service = "reviews".parse()?;
/// let demand = message::Demand { service, seq: 1, seen: None, lines: vec![line] };
/// let held_back = home.handle(at, home::Event::Demand { from, demand });
/// assert!(held_back.is_empty());
/// let commands = home.handle(at + home::HANDOVER, home::Event::Tick);
/// assert!(matches!(commands[0], home::Command::Grant { .. }));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Home {
    service: name::Service,
    me: host::Incarnation,
    tuning: Tuning,
    book: accounts::Accounts,
    work: Vec<Work>,
    common: estimate::Estimate,
    slots: slots::Slots,
    runs: HashMap<Id, Run>,
    entries: HashMap<host::Id, backlog::Entry>,
    routers: HashMap<backlog::Entry, Router>,
    next_entry: backlog::Entry,
    /// Live routers by the time of their last holdings.
    reports: BTreeSet<(Option<time::Tick>, backlog::Entry)>,
    /// Upstreams whose grants are held back, in the order in which they became owned.
    held: VecDeque<(time::Tick, u32)>,
    /// Running requests that were reported before their upstream became owned.
    early: Vec<Early>,
    /// When to charge which grant again.
    due: BTreeSet<(time::Tick, Id)>,
    /// Grants in the order in which they were made, until they are known to be used or lost.
    unconfirmed: VecDeque<(time::Tick, Id)>,
    /// Grants of dead entry routers, in the order of the deaths.
    orphans: VecDeque<(time::Tick, Id)>,
    urgent: BTreeSet<(time::Tick, accounts::TeamKey)>,
    solo: BTreeSet<(time::Tick, accounts::TeamKey)>,
    /// Upstream that is being emptied for a solo request.
    reserved: Option<u32>,
    /// Urgent grants allowed, in hundredths.
    allowance: u32,
    last_number: u64,
}

impl Home {
    /// Makes a home without upstreams for the run `me` of this router.
    #[must_use]
    pub fn new(service: name::Service, me: host::Incarnation, tuning: Tuning) -> Self {
        Self {
            book: accounts::Accounts::new(service.clone(), me),
            service,
            me,
            tuning,
            work: Vec::new(),
            common: estimate::Estimate::default(),
            slots: slots::Slots::default(),
            runs: HashMap::new(),
            entries: HashMap::new(),
            routers: HashMap::new(),
            next_entry: 0,
            reports: BTreeSet::new(),
            held: VecDeque::new(),
            early: Vec::new(),
            due: BTreeSet::new(),
            unconfirmed: VecDeque::new(),
            orphans: VecDeque::new(),
            urgent: BTreeSet::new(),
            solo: BTreeSet::new(),
            reserved: None,
            allowance: 0,
            last_number: 0,
        }
    }

    /// Takes in an event and returns the grants that follow.
    ///
    /// Time must not go back between calls.
    pub fn handle(&mut self, now: time::Tick, event: Event) -> Vec<Command> {
        match event {
            Event::Demand { from, demand } => self.demand(now, &from, &demand),
            Event::Release { from, release } => self.release(now, &from, &release),
            Event::Holdings { from, holdings } => self.holdings(now, &from, &holdings),
            Event::Upstream {
                upstream,
                slots,
                limit,
            } => self.upstream(now, &upstream, limit.min(slots)),
            Event::Disown { upstream } => self.disown(now, &upstream),
            Event::Load {
                upstream,
                running,
                age,
            } => self.load(now, &upstream, running, age),
            Event::Routers { live } => self.set_live(now, &live),
            Event::Shares { slots, shares } => self.set_shares(slots, &shares),
            Event::Served { served } => {
                if served.service == self.service {
                    self.book.merge(now, &served);
                }
            }
            Event::Tick => {}
        }
        self.elapse(now);
        let mut commands = self.fill(now);
        let served = self.book.due_report(now);
        commands.extend(served.map(|served| Command::Served { served }));
        commands
    }

    /// Returns the charges of all teams, to send at the start of a session with another home of the
    /// service or with the router that is next in line.
    pub fn served(&mut self) -> Served {
        self.book.full_report()
    }

    /// Returns the tags and totals of the teams.
    #[must_use]
    pub const fn book(&self) -> &accounts::Accounts {
        &self.book
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of grants in use on an upstream and its limit, if this home schedules it.
    #[must_use]
    pub fn usage(&self, upstream: &name::Upstream) -> Option<(u32, u32)> {
        let upstream = self.slots.get(self.slots.find(upstream)?)?;
        upstream
            .owned
            .then_some((upstream.runs.len() as u32, upstream.limit))
    }

    fn set_shares(&mut self, slots: u64, shares: &[(name::Team, u32)]) {
        self.book.set_shares(slots, shares);
        let teams: Vec<name::Team> = self.book.teams().cloned().collect();
        for team in teams {
            let key = self.book.key(&team);
            self.list(key);
        }
    }

    fn work(&mut self, key: accounts::TeamKey) -> &mut Work {
        if self.work.len() <= key.index() {
            self.work.resize_with(key.index() + 1, Work::default);
        }
        &mut self.work[key.index()]
    }

    /// Brings the team's place in the orders in step with its backlogs.
    fn list(&mut self, key: accounts::TeamKey) {
        let shared = self.book.share_ppm(key) > 0;
        let work = self.work(key);
        let oldest = |class: Class| work.backlogs[class.index()].oldest();
        let waiting = Class::ALL.iter().any(|class| oldest(*class).is_some());
        let after = [Class::Urgent, Class::Solo].map(|class| oldest(class).filter(|_| shared));
        let before = std::mem::replace(&mut work.listed, after);
        for (set, before, after) in [
            (&mut self.urgent, before[0], after[0]),
            (&mut self.solo, before[1], after[1]),
        ] {
            if before != after {
                before.map(|tick| set.remove(&(tick, key)));
                after.map(|tick| set.insert((tick, key)));
            }
        }
        self.book.set_waiting(key, waiting);
    }
}
