//! The entry router's side: waiting requests, demand and the use of grants.
//!
//! One [`Queue`] holds the waiting and running requests of one service. It holds no clock and no
//! socket: [`Queue::handle`] takes the time and an event and returns commands.

use std::collections::{BTreeSet, HashMap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use tsw_base::{host, name, time};

use crate::message::{Class, Demand, Grant, Held, Holdings, Id, Release, Report, Request, State};

mod lane;
mod peer;

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Oldest demand that a grant may answer.
    pub grant_ttl: time::Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            grant_ttl: time::Span::from_secs(1),
        }
    }
}

/// What a queue reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was admitted and waits for a slot.
    Push {
        /// The request; its number is not in use.
        request: Request,
        /// Its team.
        team: name::Team,
        /// Its class.
        class: Class,
        /// When it is given up on.
        deadline: time::Tick,
        /// An upstream that it must not use: the slow one, for a hedge.
        avoid: Option<name::Upstream>,
        /// Cost in tokens that its caller expects; 0 if it gave no hint.
        cost: u32,
    },
    /// The caller gave up on a waiting request, or it is no longer needed.
    Cancel {
        /// The request.
        request: Request,
    },
    /// A home grants a slot.
    Grant {
        /// The home.
        from: host::Id,
        /// The message.
        grant: Grant,
    },
    /// The pace of a running stream changed notably.
    Progress {
        /// The grant that it uses.
        grant: Id,
        /// Smoothed time between tokens.
        pace: time::Span,
    },
    /// A running request ended.
    End {
        /// The grant that it used.
        grant: Id,
        /// How it ended: [`State::Finished`], [`State::Failed`], or [`State::Unused`] when nothing
        /// was sent to the upstream.
        state: State,
    },
    /// The upstreams of the service and their homes. Replaces the earlier list.
    Homes {
        /// The home of each upstream.
        upstreams: Vec<(name::Upstream, host::Id)>,
    },
    /// A session with a home started: earlier messages may be lost.
    Session {
        /// The home.
        home: host::Id,
    },
    /// Time passed. Due every few milliseconds while requests wait.
    Tick,
}

/// What a queue asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Send a request to an upstream.
    Run {
        /// The request, which no longer waits.
        request: Request,
        /// The grant that it uses; name it in [`Event::End`].
        grant: Id,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Reject a waiting request as not run: its deadline has passed.
    Expire {
        /// The request.
        request: Request,
    },
    /// Send a message to a home.
    Demand {
        /// The home.
        to: host::Id,
        /// The message.
        demand: Demand,
    },
    /// Send a message to a home. Each millisecond of delay leaves a slot idle for as long.
    Release {
        /// The home.
        to: host::Id,
        /// The message.
        release: Release,
    },
    /// Send a message to a home.
    Holdings {
        /// The home.
        to: host::Id,
        /// The message.
        holdings: Holdings,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    lane: u32,
    since: time::Tick,
    deadline: time::Tick,
    cost: u32,
}

#[derive(Clone, Debug)]
struct Use {
    home: host::Id,
    upstream: name::Upstream,
    team: name::Team,
    class: Class,
    since: time::Tick,
}

/// Waiting and running requests of one service at an entry router.
///
/// ```
/// use tsw_base::{host, time::Tick};
/// use tsw_grant::{entry, message};
///
/// let home = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(1, 0) };
/// let mut queue = entry::Queue::new("reviews".parse()?, 0, entry::Tuning::default());
/// let upstreams = vec![("engine-1".parse()?, home.clone())];
/// queue.handle(Tick::ZERO, entry::Event::Homes { upstreams });
/// let push = entry::Event::Push {
///     request: message::Request(1),
///     team: "north".parse()?,
///     class: message::Class::Short,
///     deadline: Tick::from_micros(5_000_000),
///     avoid: None,
///     cost: 0,
/// };
/// let commands = queue.handle(Tick::ZERO, push);
/// assert!(matches!(&commands[0], entry::Command::Demand { to, .. } if *to == home));
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    service: name::Service,
    tuning: Tuning,
    /// Differs between routers, so that they do not all ask the same home first.
    spread: usize,
    waiting: HashMap<Request, Waiting>,
    deadlines: BTreeSet<(time::Tick, Request)>,
    lanes: IndexMap<(name::Team, Class), lane::Lane>,
    /// Lanes that a tick has to look at.
    active: IndexSet<u32>,
    uses: IndexMap<Id, Use>,
    upstreams: IndexMap<name::Upstream, host::Id>,
    peers: IndexMap<host::Id, peer::Peer>,
    /// Routers that were homes, so that one that becomes a home again is met where it was left.
    retired: IndexMap<host::Id, peer::Peer>,
    next_peer: lane::Peer,
    last_seq: u64,
}

/// Former homes that are remembered.
const RETIRED: usize = 64;

impl Queue {
    /// Makes an empty queue. `spread` differs between routers, such as their incarnation.
    #[must_use]
    pub fn new(service: name::Service, spread: u64, tuning: Tuning) -> Self {
        Self {
            service,
            tuning,
            spread: (spread % 1_000_003) as usize,
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            lanes: IndexMap::new(),
            active: IndexSet::new(),
            uses: IndexMap::new(),
            upstreams: IndexMap::new(),
            peers: IndexMap::new(),
            retired: IndexMap::new(),
            next_peer: 0,
            last_seq: 0,
        }
    }

    /// Takes in an event and returns what follows.
    ///
    /// Time must not go back between calls.
    pub fn handle(&mut self, now: time::Tick, event: Event) -> Vec<Command> {
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
                let waiting = Waiting {
                    lane: self.lane(team, class),
                    since: now,
                    deadline,
                    cost,
                };
                self.push(request, waiting, avoid);
                self.expire(now, &mut commands);
            }
            Event::Cancel { request } => self.remove(request),
            Event::Grant { from, grant } => self.grant(now, &from, grant, &mut commands),
            Event::Progress { grant, pace } => self.report(grant, State::Running { pace }),
            Event::End { grant, state } => {
                self.report(grant, state);
                self.uses.swap_remove(&grant);
            }
            Event::Homes { upstreams } => self.set_homes(now, upstreams, &mut commands),
            Event::Session { home } => self.greet(now, &home, &mut commands),
            Event::Tick => {}
        }
        self.flush(now, tick, &mut commands);
        commands
    }

    /// Returns the number of waiting requests of a team.
    #[must_use]
    pub fn waiting(&self, team: &name::Team) -> usize {
        let lane = |class: &Class| self.lanes.get(&(team.clone(), *class));
        Class::ALL
            .iter()
            .filter_map(lane)
            .map(lane::Lane::len)
            .sum()
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.uses.len()
    }

    fn lane(&mut self, team: name::Team, class: Class) -> u32 {
        let turn = self.spread + self.lanes.len();
        let entry = self.lanes.entry((team, class));
        let index = entry.index();
        entry.or_insert_with_key(|(team, class)| lane::Lane::new(team.clone(), *class, turn));
        index as u32
    }

    fn push(&mut self, request: Request, waiting: Waiting, avoid: Option<name::Upstream>) {
        let lane = waiting.lane;
        self.deadlines.insert((waiting.deadline, request));
        self.lanes[lane as usize].push(waiting.since, request, avoid);
        self.active.insert(lane);
        self.waiting.insert(request, waiting);
    }

    fn remove(&mut self, request: Request) {
        if let Some(waiting) = self.waiting.remove(&request) {
            self.deadlines.remove(&(waiting.deadline, request));
            self.lanes[waiting.lane as usize].remove(waiting.since, request);
        }
    }

    fn expire(&mut self, now: time::Tick, commands: &mut Vec<Command>) {
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
        now: time::Tick,
        from: &host::Id,
        grant: Grant,
        commands: &mut Vec<Command>,
    ) {
        if grant.service != self.service || grant.id.home != from.incarnation {
            return;
        }
        if self.uses.contains_key(&grant.id) {
            return;
        }
        let ttl = self.tuning.grant_ttl;
        let Some(peer) = self.peers.get_mut(from) else {
            return commands.push(self.unused(from, grant.id));
        };
        // Returning a duplicate as unused would free a slot in use.
        if !peer.see(now, grant.id, ttl) {
            return;
        }
        let fresh = peer.answers(now, grant.seq, ttl);
        let number = peer.number;
        let current = self.upstreams.get(&grant.upstream) == Some(from);
        if let Some(lane) = self.lanes.get_mut(&(grant.team.clone(), grant.class)) {
            lane.granted(number);
        }
        let request = self.pick(&grant).filter(|_| fresh && current);
        let Some(request) = request else {
            if let Some(lane) = self.lanes.get_mut(&(grant.team.clone(), grant.class)) {
                lane.hold(now);
            }
            return commands.push(self.unused(from, grant.id));
        };
        let cost = self.waiting.get(&request).map_or(0, |w| w.cost);
        self.remove(request);
        let held = Use {
            home: from.clone(),
            upstream: grant.upstream.clone(),
            team: grant.team,
            class: grant.class,
            since: now,
        };
        self.uses.insert(grant.id, held);
        let started = match cost {
            0 => State::Started,
            cost => State::Hinted { cost },
        };
        self.report(grant.id, started);
        commands.push(Command::Run {
            request,
            grant: grant.id,
            upstream: grant.upstream,
        });
    }

    /// Returns the request that a grant is used for: the oldest of its class, or else of another
    /// class of the team. A request that must run alone only uses a grant of its class.
    fn pick(&self, grant: &Grant) -> Option<Request> {
        let others = [Class::Urgent, Class::Short, Class::Long];
        let classes = [grant.class].into_iter().chain(others);
        let mut lanes = classes.filter_map(|class| self.lanes.get(&(grant.team.clone(), class)));
        lanes.find_map(|lane| lane.oldest_for(&grant.upstream))
    }

    fn unused(&self, to: &host::Id, id: Id) -> Command {
        let state = State::Unused;
        Command::Release {
            to: to.clone(),
            release: Release {
                service: self.service.clone(),
                reports: vec![Report { id, state }],
            },
        }
    }

    /// Queues a report for the home of the upstream that a grant is for.
    fn report(&mut self, id: Id, state: State) {
        let Some(held) = self.uses.get(&id) else {
            return;
        };
        let home = self.upstreams.get(&held.upstream).unwrap_or(&held.home);
        if let Some(peer) = self.peers.get_mut(home) {
            peer.reports.push(Report { id, state });
        }
    }

    fn set_homes(
        &mut self,
        now: time::Tick,
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
        for (home, mut peer) in std::mem::take(&mut self.peers) {
            if !homes.contains(&home) {
                peer.reports.clear();
                for lane in self.lanes.values_mut() {
                    lane.forget(peer.number);
                }
            }
            self.retired.insert(home, peer);
        }
        for home in homes {
            let peer = self.retired.shift_remove(&home).unwrap_or_else(|| {
                self.next_peer += 1;
                peer::Peer::new(self.next_peer)
            });
            self.peers.insert(home, peer);
        }
        while self.retired.len() > RETIRED {
            self.retired.shift_remove_index(0);
        }
        for home in gained {
            commands.push(self.holdings(now, &home));
        }
    }

    /// Starts anew with a home that may have missed messages.
    fn greet(&mut self, now: time::Tick, home: &host::Id, commands: &mut Vec<Command>) {
        let Some(peer) = self.peers.get_mut(home) else {
            return;
        };
        peer.reports.clear();
        for lane in self.lanes.values_mut() {
            lane.forget(peer.number);
        }
        commands.push(self.holdings(now, home));
    }

    fn holdings(&self, now: time::Tick, home: &host::Id) -> Command {
        let held = self.uses.iter().filter(|(_, held)| {
            let current = self.upstreams.get(&held.upstream).unwrap_or(&held.home);
            current == home
        });
        let held = held.map(|(id, held)| Held {
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
                seen: self.peers.get(home).and_then(|peer| peer.seen),
                held: held.collect(),
            },
        }
    }

    /// Sends the reports, and the lines that are due.
    fn flush(&mut self, now: time::Tick, tick: bool, commands: &mut Vec<Command>) {
        let homes = self.peers.len();
        let refresh = self.tuning.grant_ttl / 4;
        for (place, (home, peer)) in self.peers.iter_mut().enumerate() {
            if !peer.reports.is_empty() {
                let release = Release {
                    service: self.service.clone(),
                    reports: std::mem::take(&mut peer.reports),
                };
                let to = home.clone();
                commands.push(Command::Release { to, release });
            }
            let target = (peer.number, place, homes);
            let mut lines = Vec::new();
            for lane in &self.active {
                let lane = &mut self.lanes[*lane as usize];
                lines.extend(lane.line(now, target, (tick, refresh)));
            }
            if !lines.is_empty() {
                self.last_seq += 1;
                peer.sent(now, self.last_seq, self.tuning.grant_ttl);
                let demand = Demand {
                    service: self.service.clone(),
                    seq: self.last_seq,
                    seen: peer.seen,
                    lines,
                };
                let to = home.clone();
                commands.push(Command::Demand { to, demand });
            }
        }
        if tick {
            let lanes = &self.lanes;
            self.active.retain(|lane| lanes[*lane as usize].unsettled());
        }
    }
}
