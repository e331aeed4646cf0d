//! A simulated fleet of views with message delays, pauses, crashes, restarts and partitions.

use std::collections::{BTreeMap, HashSet};

use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_member::{Change, Command, Event, ListedRouter, State, Timing, View};

/// One-way delay of a message, in steps.
pub const DELAY: u64 = 1;
/// Simulated time per step.
pub const STEP: Span = Span::from_millis(10);

pub struct Node {
    pub view: View,
    pub running: bool,
    pub paused_until: u64,
    pub inbox: Vec<Event>,
    pub changes: Vec<(u64, Change)>,
    pub sent: u64,
    pub probed: HashSet<usize>,
    pub fetches: u64,
    pub superseded: bool,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub in_flight: BTreeMap<u64, Vec<(usize, usize, Event)>>,
    pub partition: HashSet<usize>,
    pub listed: Vec<ListedRouter>,
    pub revision: u64,
    pub incarnation: u64,
}

pub fn name(index: usize) -> name::Host {
    format!("r{index}").parse().unwrap()
}

pub fn domain(index: usize) -> name::Domain {
    format!("d{}", index % 3).parse().unwrap()
}

pub fn index(host: &name::Host) -> usize {
    host.as_str()[1..].parse().unwrap()
}

pub fn node(index: usize, incarnation: u64) -> Node {
    let id = host::Id {
        host: name(index),
        incarnation: host::Incarnation::new(incarnation, 0),
    };
    let seed = index as u64 * 1_000 + incarnation;
    Node {
        view: View::new(id, domain(index), Timing::default(), seed),
        running: true,
        paused_until: 0,
        inbox: Vec::new(),
        changes: Vec::new(),
        sent: 0,
        probed: HashSet::new(),
        fetches: 0,
        superseded: false,
    }
}

impl Fleet {
    pub fn new(size: usize) -> Self {
        let listed = (0..size)
            .map(|index| ListedRouter {
                host: name(index),
                domain: domain(index),
                leaving: false,
            })
            .collect();
        let mut fleet = Self {
            nodes: (0..size).map(|index| node(index, 10)).collect(),
            now: 0,
            in_flight: BTreeMap::new(),
            partition: HashSet::new(),
            listed,
            revision: 1,
            incarnation: 10,
        };
        for index in 0..size {
            fleet.deliver_host_list(index);
        }
        fleet
    }

    pub fn timestamp(&self) -> Timestamp {
        Timestamp::ZERO + STEP * (self.now + 1)
    }

    /// Delivers the current host list to a node.
    pub fn deliver_host_list(&mut self, index: usize) {
        let event = Event::Hosts {
            revision: self.revision,
            hosts: self.listed.clone(),
        };
        self.handle(index, event);
    }

    pub fn handle(&mut self, from: usize, event: Event) {
        let now = self.timestamp();
        let (arrival, step) = (self.now + DELAY, self.now);
        let node = &mut self.nodes[from];
        for command in node.view.handle(now, event) {
            let (to, event) = match command {
                Command::Ping { to, ping } => {
                    node.probed.insert(index(&to));
                    let from = name(from);
                    (to, Event::Ping { from, ping })
                }
                Command::Ack { to, ack } => {
                    let from = name(from);
                    (to, Event::Ack { from, ack })
                }
                Command::Changed(change) => {
                    node.changes.push((step, change));
                    continue;
                }
                Command::FetchNewer { .. } => {
                    node.fetches += 1;
                    continue;
                }
                Command::Superseded { .. } => {
                    node.superseded = true;
                    continue;
                }
            };
            node.sent += 1;
            let in_flight = self.in_flight.entry(arrival).or_default();
            in_flight.push((from, index(&to), event));
        }
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now += 1;
            for (from, to, event) in self.in_flight.remove(&self.now).unwrap_or_default() {
                let separated = self.partition.contains(&from) != self.partition.contains(&to);
                if self.nodes[to].running && !separated {
                    self.nodes[to].inbox.push(event);
                }
            }
            for index in 0..self.nodes.len() {
                if !self.nodes[index].running || self.nodes[index].paused_until > self.now {
                    continue;
                }
                // The tick comes first: after a pause, the timer may fire before queued messages
                // are processed.
                self.handle(index, Event::Tick);
                for event in std::mem::take(&mut self.nodes[index].inbox) {
                    self.handle(index, event);
                }
            }
        }
    }

    pub fn restart(&mut self, index: usize) {
        self.incarnation += 1;
        self.nodes[index] = node(index, self.incarnation);
        self.deliver_host_list(index);
    }

    pub fn state(&self, viewer: usize, of: usize) -> State {
        self.nodes[viewer].view.state(&name(of)).unwrap()
    }

    pub fn homes(&self, viewer: usize) -> Vec<Option<usize>> {
        let service = "s".parse().unwrap();
        let view = &self.nodes[viewer].view;
        (0..40)
            .map(|group| view.home(&service, group).map(index))
            .collect()
    }

    /// Asserts that all running nodes agree on which nodes run and on every home.
    pub fn assert_agreement(&self) {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].running)
            .collect();
        for viewer in &running {
            for (of, node) in self.nodes.iter().enumerate() {
                let dead = self.state(*viewer, of) == State::Dead;
                assert_eq!(dead, !node.running, "r{viewer} on r{of}");
            }
            assert_eq!(self.homes(*viewer), self.homes(running[0]), "r{viewer}");
        }
    }
}
