//! Scheduler of a home: assigns free upstream slots to the waiting requests of entry routers.
//!
//! One [`Home`] schedules all upstreams of one service whose home is this router, regardless of the
//! groups they belong to. It performs no I/O and reads no clock: [`Home::handle`] takes the current
//! time and an event and returns commands.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use tsw_base::{host, name, time};
use tsw_share::{accounts, message::Served};

use crate::message::{Class, Demand, Grant, HeldGrant, Holdings, Id, Release};

mod active_grant;
mod backlog;
mod estimate;
mod receive;
mod schedule;
mod slots;

pub use estimate::INITIAL as INITIAL_ESTIMATE;

/// Interval at which a request is charged further once it runs longer than estimated.
pub const CHARGE_PERIOD: time::Span = time::Span::from_millis(50);

/// Maximum time for which a home that takes over an upstream withholds its grants while it waits
/// for the holdings of all live routers.
pub const HANDOVER_TIMEOUT: time::Span = time::Span::from_millis(100);

/// Time for which holdings that arrive before this home owns the upstream remain valid. An entry
/// router may learn of a new home before the home itself does.
const EARLY_HOLDINGS_TTL: time::Span = time::Span::from_millis(500);

/// Time beyond the grant's time to live after which an unconfirmed grant is considered lost. It
/// leaves time for a start report sent just before the grant expired.
const LOST_GRANT_MARGIN: time::Span = time::Span::from_millis(500);

/// Time after which the slots of a dead entry router are freed, unless a load report of the
/// upstream frees them earlier. Unless the router is merely partitioned, its connections are closed
/// by then.
pub const RECLAIM_AFTER: time::Span = time::Span::from_secs(2);

/// Maximum lead over virtual time at which a team's urgent and solo requests may bypass the fair
/// order of teams.
const MAX_LEAD_US: i64 = 250_000;

/// Amount by which the age of a long request is reduced when it is compared with short requests of
/// its team.
pub const LONG_AGE_PENALTY: time::Span = time::Span::from_secs(2);

/// Maximum number of urgent requests that may bypass the fair order of teams in one burst.
const URGENT_BURST: u32 = 8;

/// Options of a [`Home`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Grants per upstream issued before a slot is free, to hide the round trip between router and
    /// home. Their requests wait in the upstream's own queue. Applies to upstreams with a limit of
    /// at least 2.
    pub grants_ahead: u32,
    /// Maximum age of the demand message that a grant answers.
    pub grant_ttl: time::Span,
    /// Urgent grants that may bypass the fair order of teams, in percent of all grants.
    pub urgent_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grants_ahead: 0,
            grant_ttl: time::Span::from_secs(1),
            urgent_percent: 10,
        }
    }
}

/// Input to [`Home::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A demand message arrived: an entry router advertises waiting requests.
    Demand {
        /// The entry router.
        from: host::Id,
        /// The message.
        demand: Demand,
    },
    /// A release message arrived: an entry router reports state changes of grants.
    Release {
        /// The entry router.
        from: host::Id,
        /// The message.
        release: Release,
    },
    /// A holdings message arrived: an entry router lists its running requests.
    Holdings {
        /// The entry router.
        from: host::Id,
        /// The message.
        holdings: Holdings,
    },
    /// This router became the home of an upstream, or the limit of the upstream changed.
    Upstream {
        /// The upstream.
        upstream: name::Upstream,
        /// Number of slots according to the service file or the host list.
        slots: u32,
        /// Maximum number of concurrent requests, capped at `slots`; 0 if the upstream is leaving.
        limit: u32,
    },
    /// This router is no longer the home of an upstream, or the upstream no longer exists.
    UpstreamRemoved {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// An upstream reports its load.
    Load {
        /// The upstream.
        upstream: name::Upstream,
        /// Requests that it is running or has queued.
        running: u32,
        /// Age of the report.
        age: time::Span,
    },
    /// Replaces the list of live routers. Routers missing from the new list are dead.
    Routers {
        /// The live routers.
        live: Vec<host::Id>,
    },
    /// The total slots of the service in the fleet, and the shares of its teams in millionths.
    Shares {
        /// Total slots of all groups.
        slots: u64,
        /// Share of each team.
        shares: Vec<(name::Team, u32)>,
    },
    /// A message with the totals of another home of the service arrived.
    Served {
        /// The message.
        served: Served,
    },
    /// Timer tick, needed about every 10 ms while grants are in use.
    Tick,
}

/// Action that the caller of [`Home::handle`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send a grant.
    Grant {
        /// The entry router that receives the grant.
        to: host::Id,
        /// The message.
        grant: Grant,
    },
    /// Send the charged totals to the other homes of the service and, for each group, to the router
    /// that would become its home next.
    Served {
        /// The message.
        served: Served,
    },
}

/// An entry router.
#[derive(Clone, Debug)]
struct Router {
    id: host::Id,
    live: bool,
    /// When its latest holdings message arrived.
    last_holdings: Option<time::Timestamp>,
    /// Grants that it has not finished using.
    grants: IndexSet<Id>,
    /// Sequence number of the latest demand for each team and class.
    lines: IndexMap<(accounts::TeamKey, Class), u64>,
}

/// A grant from the time it is issued until its slot is free again.
#[derive(Clone, Debug)]
struct ActiveGrant {
    router_index: backlog::RouterIndex,
    key: accounts::TeamKey,
    class: Class,
    /// Expected cost in tokens from the caller's hint; 0 if unknown.
    cost: u32,
    /// Index of the upstream.
    upstream: u32,
    /// Slots that the request occupies: all slots of the upstream for a solo request.
    slot_count: u32,
    /// When its slot time started; `None` while it waits in the upstream's queue.
    start: Option<time::Timestamp>,
    /// Time per slot, from `start`, that has been charged to the team.
    charged: time::Span,
    /// Whether another home issued the grant, in which case its total slot time is unknown here.
    adopted: bool,
    /// Whether the grant needs no further check for loss: its entry router reported using it, or
    /// that router died.
    confirmed: bool,
    /// When its entry router was found dead.
    orphaned_at: Option<time::Timestamp>,
}

/// A running request, reported before this home learned that it owns the upstream.
#[derive(Clone, Debug)]
struct EarlyHolding {
    at: time::Timestamp,
    router_index: backlog::RouterIndex,
    held: HeldGrant,
}

/// Waiting requests and cost estimates of one team.
#[derive(Clone, Debug, Default)]
struct TeamState {
    /// One backlog per class, by [`Class::index`].
    backlogs: [backlog::Backlog; 4],
    estimate: estimate::Estimate,
    /// Times under which the team is listed in [`Home::urgent`] and [`Home::solo`].
    order_keys: [Option<time::Timestamp>; 2],
}

/// Scheduler of the upstreams of one service whose home is this router.
///
/// ```
/// use tsw_base::{host, time::{Span, Timestamp}};
/// use tsw_grant::{home, message};
///
/// let incarnation = host::Incarnation::new(1, 0);
/// let mut home = home::Home::new("reviews".parse()?, incarnation, home::Options::default());
/// let at = Timestamp::from_micros(1_000_000);
/// let team: tsw_base::name::Team = "north".parse()?;
/// let shares = vec![(team.clone(), 500_000)];
/// home.handle(at, home::Event::Shares { slots: 8, shares });
/// let upstream = "engine-1".parse()?;
/// home.handle(at, home::Event::Upstream { upstream, slots: 8, limit: 8 });
/// let from = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(2, 0) };
/// let line = message::DemandLine {
///     team,
///     class: message::Class::Short,
///     waiting: 1,
///     oldest: Span::ZERO,
///     newest: Span::ZERO,
/// };
/// let service = "reviews".parse()?;
/// let demand = message::Demand { service, seq: 1, latest_grant: None, lines: vec![line] };
/// let commands = home.handle(at, home::Event::Demand { from, demand });
/// assert!(commands.is_empty(), "a newly owned upstream grants nothing yet");
/// let commands = home.handle(at + home::HANDOVER_TIMEOUT, home::Event::Tick);
/// assert!(matches!(commands[0], home::Command::Grant { .. }));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Home {
    service: name::Service,
    incarnation: host::Incarnation,
    options: Options,
    accounts: accounts::Accounts,
    /// State of each team, by [`accounts::TeamKey::index`].
    teams: Vec<TeamState>,
    /// Estimate over all teams.
    common_estimate: estimate::Estimate,
    slots: slots::Slots,
    active_grants: HashMap<Id, ActiveGrant>,
    router_indexes: HashMap<host::Id, backlog::RouterIndex>,
    routers: HashMap<backlog::RouterIndex, Router>,
    next_router_index: backlog::RouterIndex,
    /// Live routers, ordered by the time of their latest holdings message.
    holdings_times: BTreeSet<(Option<time::Timestamp>, backlog::RouterIndex)>,
    /// Upstreams whose grants are withheld, in the order in which this router became their home.
    held_upstreams: VecDeque<(time::Timestamp, u32)>,
    /// Requests on upstreams that this home does not own yet.
    early_holdings: Vec<EarlyHolding>,
    /// Time at which each started grant is charged further.
    charge_times: BTreeSet<(time::Timestamp, Id)>,
    /// Grants to check for loss, oldest first.
    unconfirmed: VecDeque<(time::Timestamp, Id)>,
    /// Grants of dead entry routers, by the time at which the router was found dead.
    orphaned: VecDeque<(time::Timestamp, Id)>,
    /// Teams with urgent requests, ordered by the age of the oldest.
    urgent: BTreeSet<(time::Timestamp, accounts::TeamKey)>,
    /// Teams with solo requests, ordered by the age of the oldest.
    solo: BTreeSet<(time::Timestamp, accounts::TeamKey)>,
    /// Index of the upstream that is being drained for a solo request.
    reserved: Option<u32>,
    /// Urgent grants that may bypass the fair order, in hundredths of a grant.
    urgent_budget: u32,
    last_number: u64,
}

impl Home {
    /// Creates a home without upstreams. `incarnation` identifies this run of the router.
    #[must_use]
    pub fn new(service: name::Service, incarnation: host::Incarnation, options: Options) -> Self {
        Self {
            accounts: accounts::Accounts::new(service.clone(), incarnation),
            service,
            incarnation,
            options,
            teams: Vec::new(),
            common_estimate: estimate::Estimate::default(),
            slots: slots::Slots::default(),
            active_grants: HashMap::new(),
            router_indexes: HashMap::new(),
            routers: HashMap::new(),
            next_router_index: 0,
            holdings_times: BTreeSet::new(),
            held_upstreams: VecDeque::new(),
            early_holdings: Vec::new(),
            charge_times: BTreeSet::new(),
            unconfirmed: VecDeque::new(),
            orphaned: VecDeque::new(),
            urgent: BTreeSet::new(),
            solo: BTreeSet::new(),
            reserved: None,
            urgent_budget: 0,
            last_number: 0,
        }
    }

    /// Processes an event and returns the resulting commands.
    ///
    /// `now` must not decrease between calls.
    pub fn handle(&mut self, now: time::Timestamp, event: Event) -> Vec<Command> {
        match event {
            Event::Demand { from, demand } => self.handle_demand(now, &from, &demand),
            Event::Release { from, release } => self.handle_release(now, &from, &release),
            Event::Holdings { from, holdings } => self.handle_holdings(now, &from, &holdings),
            Event::Upstream {
                upstream,
                slots,
                limit,
            } => self.set_upstream(now, &upstream, limit.min(slots)),
            Event::UpstreamRemoved { upstream } => self.remove_upstream(now, &upstream),
            Event::Load {
                upstream,
                running,
                age,
            } => self.handle_load(now, &upstream, running, age),
            Event::Routers { live } => self.set_live(now, &live),
            Event::Shares { slots, shares } => self.set_shares(slots, &shares),
            Event::Served { served } => {
                if served.service == self.service {
                    self.accounts.merge(now, &served);
                }
            }
            Event::Tick => {}
        }
        self.handle_timers(now);
        let mut commands = self.grant_free_slots(now);
        let served = self.accounts.due_report(now);
        commands.extend(served.map(|served| Command::Served { served }));
        commands
    }

    /// Returns the charged totals of all teams, to be sent when a session starts with another home
    /// of the service or with the router that would become home next.
    pub fn served(&mut self) -> Served {
        self.accounts.full_report()
    }

    /// Returns the fair-queueing tags and charged totals of the teams.
    #[must_use]
    pub const fn accounts(&self) -> &accounts::Accounts {
        &self.accounts
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.active_grants.len()
    }

    /// Returns the number of grants in use on an upstream and its limit, or `None` if this home
    /// does not schedule it.
    #[must_use]
    pub fn usage(&self, upstream: &name::Upstream) -> Option<(u32, u32)> {
        let upstream = self.slots.get(self.slots.find(upstream)?)?;
        upstream
            .owned
            .then_some((upstream.grants.len() as u32, upstream.limit))
    }

    fn set_shares(&mut self, slots: u64, shares: &[(name::Team, u32)]) {
        self.accounts.set_shares(slots, shares);
        let teams: Vec<name::Team> = self.accounts.teams().cloned().collect();
        for team in teams {
            let key = self.accounts.key(&team);
            self.update_order(key);
        }
    }

    fn team_state(&mut self, key: accounts::TeamKey) -> &mut TeamState {
        if self.teams.len() <= key.index() {
            self.teams.resize_with(key.index() + 1, TeamState::default);
        }
        &mut self.teams[key.index()]
    }

    /// Updates the team's position in the urgent, solo and fair orders after its backlogs changed.
    fn update_order(&mut self, key: accounts::TeamKey) {
        let shared = self.accounts.share_ppm(key) > 0;
        let state = self.team_state(key);
        let oldest = |class: Class| state.backlogs[class.index()].oldest();
        let waiting = Class::ALL.iter().any(|class| oldest(*class).is_some());
        let after = [Class::Urgent, Class::Solo].map(|class| oldest(class).filter(|_| shared));
        let before = std::mem::replace(&mut state.order_keys, after);
        for (set, before, after) in [
            (&mut self.urgent, before[0], after[0]),
            (&mut self.solo, before[1], after[1]),
        ] {
            if before != after {
                before.map(|since| set.remove(&(since, key)));
                after.map(|since| set.insert((since, key)));
            }
        }
        self.accounts.set_waiting(key, waiting);
    }
}
