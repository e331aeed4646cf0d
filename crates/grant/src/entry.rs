//! Queue of an entry router: advertises waiting requests to homes and uses the grants it receives.
//!
//! One [`Queue`] holds the waiting and running requests of one service. It performs no I/O and
//! reads no clock: [`Queue::handle`] takes the current time and an event and returns commands.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use tsw_base::{host, name, time};

use crate::message::{
    Class, Demand, Grant, HeldGrant, Holdings, Id, Release, Report, Request, State,
};

mod class_queue;
mod home_state;

/// Options of a [`Queue`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum age of the demand message that a grant answers; a later grant is returned unused.
    pub grant_ttl: time::Span,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grant_ttl: time::Span::from_secs(1),
        }
    }
}

/// Input to [`Queue::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was admitted and starts to wait for a slot.
    Push {
        /// The request. Its number must not be in use.
        request: Request,
        /// Its team.
        team: name::Team,
        /// Its class.
        class: Class,
        /// When it expires if it is still waiting.
        deadline: time::Timestamp,
        /// An upstream that it must not use: for a hedge, the slow one.
        avoid: Option<name::Upstream>,
        /// Expected cost in tokens from the caller's hint; 0 without a hint.
        cost: u32,
    },
    /// A waiting request was cancelled by its caller or is no longer needed.
    Cancel {
        /// The request.
        request: Request,
    },
    /// A grant arrived from a home.
    Grant {
        /// The home.
        from: host::Id,
        /// The message.
        grant: Grant,
    },
    /// The time per token of a running stream changed significantly.
    Progress {
        /// The grant that it uses.
        grant: Id,
        /// Smoothed time between tokens.
        token_latency: time::Span,
    },
    /// A running request ended.
    End {
        /// The grant that it used.
        grant: Id,
        /// How it ended: [`State::Finished`], [`State::Failed`], or [`State::Unused`] if nothing
        /// was sent to the upstream.
        state: State,
    },
    /// Replaces the list of the service's upstreams and their homes.
    Homes {
        /// The home of each upstream.
        upstreams: Vec<(name::Upstream, host::Id)>,
    },
    /// A session with a home started; messages of earlier sessions may be lost.
    Session {
        /// The home.
        home: host::Id,
    },
    /// Timer tick, needed every few milliseconds while requests wait.
    Tick,
}

/// Action that the caller of [`Queue::handle`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send a request to an upstream.
    Run {
        /// The request, which has left the queue.
        request: Request,
        /// The grant that it uses; pass it to [`Event::End`].
        grant: Id,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Reject a waiting request as not run: its deadline has passed.
    Expire {
        /// The request.
        request: Request,
    },
    /// Send a demand message to a home.
    Demand {
        /// The home.
        to: host::Id,
        /// The message.
        demand: Demand,
    },
    /// Send a release message to a home. The slots stay idle until it arrives, so any delay wastes
    /// capacity.
    Release {
        /// The home.
        to: host::Id,
        /// The message.
        release: Release,
    },
    /// Send a holdings message to a home.
    Holdings {
        /// The home.
        to: host::Id,
        /// The message.
        holdings: Holdings,
    },
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    /// Index in [`Queue::class_queues`].
    class_queue: u32,
    since: time::Timestamp,
    deadline: time::Timestamp,
    cost: u32,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    home: host::Id,
    upstream: name::Upstream,
    team: name::Team,
    class: Class,
    since: time::Timestamp,
}

/// Waiting and running requests of one service at an entry router.
///
/// ```
/// use tsw_base::{host, time::Timestamp};
/// use tsw_grant::{entry, message};
///
/// let home = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(1, 0) };
/// let mut queue = entry::Queue::new("reviews".parse()?, 0, entry::Options::default());
/// let upstreams = vec![("engine-1".parse()?, home.clone())];
/// queue.handle(Timestamp::ZERO, entry::Event::Homes { upstreams });
/// let push = entry::Event::Push {
///     request: message::Request(1),
///     team: "north".parse()?,
///     class: message::Class::Short,
///     deadline: Timestamp::from_micros(5_000_000),
///     avoid: None,
///     cost: 0,
/// };
/// let commands = queue.handle(Timestamp::ZERO, push);
/// assert!(matches!(&commands[0], entry::Command::Demand { to, .. } if *to == home));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    service: name::Service,
    options: Options,
    /// Offset into the list of homes. It differs between routers so that they do not all ask the
    /// same home first.
    home_offset: usize,
    waiting: HashMap<Request, WaitingRequest>,
    deadlines: BTreeSet<(time::Timestamp, Request)>,
    class_queues: IndexMap<(name::Team, Class), class_queue::ClassQueue>,
    /// Class queues to check on each tick, by index.
    active_queues: IndexSet<u32>,
    running: IndexMap<Id, RunningRequest>,
    /// Home of each upstream.
    upstreams: IndexMap<name::Upstream, host::Id>,
    homes: IndexMap<host::Id, home_state::HomeState>,
    /// State of routers that are no longer homes, restored if they become homes again.
    former_homes: IndexMap<host::Id, home_state::HomeState>,
    last_home_number: class_queue::HomeNumber,
    last_seq: u64,
}

/// Maximum number of former homes whose state is kept.
const MAX_FORMER_HOMES: usize = 64;

impl Queue {
    /// Creates an empty queue. `home_offset` should differ between routers; their incarnation
    /// number is a suitable value.
    #[must_use]
    pub fn new(service: name::Service, home_offset: u64, options: Options) -> Self {
        Self {
            service,
            options,
            home_offset: (home_offset % 1_000_003) as usize,
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            class_queues: IndexMap::new(),
            active_queues: IndexSet::new(),
            running: IndexMap::new(),
            upstreams: IndexMap::new(),
            homes: IndexMap::new(),
            former_homes: IndexMap::new(),
            last_home_number: 0,
            last_seq: 0,
        }
    }

    /// Processes an event and returns the resulting commands.
    ///
    /// `now` must not decrease between calls.
    pub fn handle(&mut self, now: time::Timestamp, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.expire(now, &mut commands);
        let tick = matches!(event, Event::Tick);
        match event {
            Event::Push {
                request,
                team,
                class,
                deadline,
                avoid,
                cost,
            } => {
                let waiting = WaitingRequest {
                    class_queue: self.class_queue(team, class),
                    since: now,
                    deadline,
                    cost,
                };
                self.push(request, waiting, avoid);
                self.expire(now, &mut commands);
            }
            Event::Cancel { request } => self.remove(request),
            Event::Grant { from, grant } => self.grant(now, &from, grant, &mut commands),
            Event::Progress {
                grant,
                token_latency,
            } => self.queue_report(grant, State::Running { token_latency }),
            Event::End { grant, state } => {
                self.queue_report(grant, state);
                self.running.swap_remove(&grant);
            }
            Event::Homes { upstreams } => self.set_homes(now, upstreams, &mut commands),
            Event::Session { home } => self.resync_home(now, &home, &mut commands),
            Event::Tick => {}
        }
        self.send_due(now, tick, &mut commands);
        commands
    }

    /// Returns the number of waiting requests of a team.
    #[must_use]
    pub fn waiting(&self, team: &name::Team) -> usize {
        let class_queue = |class: &Class| self.class_queues.get(&(team.clone(), *class));
        Class::ALL
            .iter()
            .filter_map(class_queue)
            .map(class_queue::ClassQueue::len)
            .sum()
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn class_queue(&mut self, team: name::Team, class: Class) -> u32 {
        let first_home = self.home_offset + self.class_queues.len();
        let entry = self.class_queues.entry((team, class));
        let index = entry.index();
        entry.or_insert_with_key(|(team, class)| {
            class_queue::ClassQueue::new(team.clone(), *class, first_home)
        });
        index as u32
    }

    fn push(&mut self, request: Request, waiting: WaitingRequest, avoid: Option<name::Upstream>) {
        let class_queue = waiting.class_queue;
        self.deadlines.insert((waiting.deadline, request));
        self.class_queues[class_queue as usize].push(waiting.since, request, avoid);
        self.active_queues.insert(class_queue);
        self.waiting.insert(request, waiting);
    }

    fn remove(&mut self, request: Request) {
        if let Some(waiting) = self.waiting.remove(&request) {
            self.deadlines.remove(&(waiting.deadline, request));
            self.class_queues[waiting.class_queue as usize].remove(waiting.since, request);
        }
    }

    fn expire(&mut self, now: time::Timestamp, commands: &mut Vec<Command>) {
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.remove(request);
            commands.push(Command::Expire { request });
        }
    }

    fn grant(
        &mut self,
        now: time::Timestamp,
        from: &host::Id,
        grant: Grant,
        commands: &mut Vec<Command>,
    ) {
        if grant.service != self.service || grant.id.home != from.incarnation {
            return;
        }
        if self.running.contains_key(&grant.id) {
            return;
        }
        let ttl = self.options.grant_ttl;
        let Some(home_state) = self.homes.get_mut(from) else {
            return commands.push(self.release_unused(from, grant.id));
        };
        // A duplicate is ignored: reporting it as unused would free a slot that is in use.
        if !home_state.record_grant(now, grant.id, ttl) {
            return;
        }
        let demand_is_recent = home_state.is_demand_recent(now, grant.seq, ttl);
        let number = home_state.number;
        let from_current_home = self.upstreams.get(&grant.upstream) == Some(from);
        if let Some(class_queue) = self
            .class_queues
            .get_mut(&(grant.team.clone(), grant.class))
        {
            class_queue.record_grant(number);
        }
        let request = self
            .select_request(&grant)
            .filter(|_| demand_is_recent && from_current_home);
        let Some(request) = request else {
            if let Some(class_queue) = self
                .class_queues
                .get_mut(&(grant.team.clone(), grant.class))
            {
                class_queue.pause_advertising(now);
            }
            return commands.push(self.release_unused(from, grant.id));
        };
        let cost = self.waiting.get(&request).map_or(0, |w| w.cost);
        self.remove(request);
        let running = RunningRequest {
            home: from.clone(),
            upstream: grant.upstream.clone(),
            team: grant.team,
            class: grant.class,
            since: now,
        };
        self.running.insert(grant.id, running);
        let started = match cost {
            0 => State::Started,
            cost => State::Hinted { cost },
        };
        self.queue_report(grant.id, started);
        commands.push(Command::Run {
            request,
            grant: grant.id,
            upstream: grant.upstream,
        });
    }

    /// Selects the request that uses a grant: the oldest of the grant's class, or else of another
    /// class of the team. A solo request uses only a solo grant.
    fn select_request(&self, grant: &Grant) -> Option<Request> {
        let others = [Class::Urgent, Class::Short, Class::Long];
        let classes = [grant.class].into_iter().chain(others);
        let mut class_queues =
            classes.filter_map(|class| self.class_queues.get(&(grant.team.clone(), class)));
        class_queues.find_map(|class_queue| class_queue.oldest_for(&grant.upstream))
    }

    /// Builds the message that returns a grant without using it.
    fn release_unused(&self, to: &host::Id, id: Id) -> Command {
        let state = State::Unused;
        Command::Release {
            to: to.clone(),
            release: Release {
                service: self.service.clone(),
                reports: vec![Report { id, state }],
            },
        }
    }

    /// Queues a report to the current home of the grant's upstream.
    fn queue_report(&mut self, id: Id, state: State) {
        let Some(running) = self.running.get(&id) else {
            return;
        };
        let home = self
            .upstreams
            .get(&running.upstream)
            .unwrap_or(&running.home);
        if let Some(home_state) = self.homes.get_mut(home) {
            home_state.reports.push(Report { id, state });
        }
    }

    fn set_homes(
        &mut self,
        now: time::Timestamp,
        upstreams: Vec<(name::Upstream, host::Id)>,
        commands: &mut Vec<Command>,
    ) {
        let mut gained = IndexSet::new();
        for (upstream, home) in &upstreams {
            if self.upstreams.get(upstream) != Some(home) {
                gained.insert(home.clone());
            }
        }
        self.upstreams = upstreams.into_iter().collect();
        let homes: BTreeSet<host::Id> = self.upstreams.values().cloned().collect();
        for (home, mut home_state) in std::mem::take(&mut self.homes) {
            if !homes.contains(&home) {
                home_state.reports.clear();
                for class_queue in self.class_queues.values_mut() {
                    class_queue.clear_advertised(home_state.number);
                }
            }
            self.former_homes.insert(home, home_state);
        }
        for home in homes {
            let home_state = self.former_homes.shift_remove(&home).unwrap_or_else(|| {
                self.last_home_number += 1;
                home_state::HomeState::new(self.last_home_number)
            });
            self.homes.insert(home, home_state);
        }
        while self.former_homes.len() > MAX_FORMER_HOMES {
            self.former_homes.shift_remove_index(0);
        }
        for home in gained {
            commands.push(self.holdings(now, &home));
        }
    }

    /// Resends the whole state to a home that may have missed messages.
    fn resync_home(&mut self, now: time::Timestamp, home: &host::Id, commands: &mut Vec<Command>) {
        let Some(home_state) = self.homes.get_mut(home) else {
            return;
        };
        home_state.reports.clear();
        for class_queue in self.class_queues.values_mut() {
            class_queue.clear_advertised(home_state.number);
        }
        commands.push(self.holdings(now, home));
    }

    fn holdings(&self, now: time::Timestamp, home: &host::Id) -> Command {
        let held = self.running.iter().filter(|(_, held)| {
            let current = self.upstreams.get(&held.upstream).unwrap_or(&held.home);
            current == home
        });
        let held = held.map(|(id, held)| HeldGrant {
            id: *id,
            upstream: held.upstream.clone(),
            team: held.team.clone(),
            class: held.class,
            age: now.since(held.since),
        });
        Command::Holdings {
            to: home.clone(),
            holdings: Holdings {
                service: self.service.clone(),
                latest_grant: self
                    .homes
                    .get(home)
                    .and_then(|home_state| home_state.latest_grant),
                held: held.collect(),
            },
        }
    }

    /// Emits the queued reports and the demand lines that are due.
    fn send_due(&mut self, now: time::Timestamp, tick: bool, commands: &mut Vec<Command>) {
        let homes = self.homes.len();
        let refresh_interval = self.options.grant_ttl / 4;
        for (position, (home, home_state)) in self.homes.iter_mut().enumerate() {
            if !home_state.reports.is_empty() {
                let release = Release {
                    service: self.service.clone(),
                    reports: std::mem::take(&mut home_state.reports),
                };
                let to = home.clone();
                commands.push(Command::Release { to, release });
            }
            let target = (home_state.number, position, homes);
            let mut lines = Vec::new();
            for class_queue in &self.active_queues {
                let class_queue = &mut self.class_queues[*class_queue as usize];
                lines.extend(class_queue.due_line(now, target, (tick, refresh_interval)));
            }
            if !lines.is_empty() {
                self.last_seq += 1;
                home_state.record_demand(now, self.last_seq, self.options.grant_ttl);
                let demand = Demand {
                    service: self.service.clone(),
                    seq: self.last_seq,
                    latest_grant: home_state.latest_grant,
                    lines,
                };
                let to = home.clone();
                commands.push(Command::Demand { to, demand });
            }
        }
        if tick {
            let class_queues = &self.class_queues;
            self.active_queues
                .retain(|class_queue| class_queues[*class_queue as usize].needs_tick());
        }
    }
}
