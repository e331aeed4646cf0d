//! One router's view of the fleet.

use indexmap::IndexMap;
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};

use crate::{
    event::{Change, Command, Event, ListedRouter},
    gossip::Gossip,
    message::{Ack, Ping, State, Update},
    probe::Schedule,
    timing::{self, Timing},
};

/// Placeholder for the incarnation of a peer about which no member update has arrived.
const UNKNOWN_INCARNATION: host::Incarnation = host::Incarnation::new(0, 0);

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) update: Update,
    pub(crate) leaving: bool,
    pub(crate) leaving_in_list: bool,
    missed_probes: u32,
}

impl Peer {
    pub(crate) fn state(&self) -> State {
        match self.update.state {
            State::Alive if self.leaving || self.leaving_in_list => State::Leaving,
            state => state,
        }
    }

    pub(crate) fn is_known(&self) -> bool {
        self.update.id.incarnation != UNKNOWN_INCARNATION
    }

    fn change(&self) -> Change {
        Change {
            id: self.update.id.clone(),
            domain: self.update.domain.clone(),
            state: self.state(),
        }
    }
}

/// One router's view of the fleet.
///
/// ```
/// use tsw_base::{host, time};
/// use tsw_member::{event, Timing, View};
///
/// let id = |host: &str| host::Id {
///     host: host.parse().unwrap(),
///     incarnation: host::Incarnation::new(1, 0),
/// };
/// let domain: tsw_base::name::Domain = "north".parse()?;
/// let listed = |host: &str| event::ListedRouter {
///     host: host.parse().unwrap(),
///     domain: domain.clone(),
///     leaving: false,
/// };
/// let mut view = View::new(id("r1"), domain.clone(), Timing::default(), 7);
/// let hosts = vec![listed("r1"), listed("r2")];
/// let now = time::Timestamp::from_micros(1);
/// view.handle(now, event::Event::Hosts { revision: 1, hosts });
/// let commands = view.handle(now, event::Event::Tick);
/// assert!(matches!(&commands[0], event::Command::Ping { to, .. } if to.as_str() == "r2"));
/// assert!(view.home(&"reviews".parse()?, 0).is_some());
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct View {
    pub(crate) me: Update,
    pub(crate) in_host_list: Option<bool>,
    pub(crate) peers: IndexMap<name::Host, Peer>,
    timing: Timing,
    schedule: Schedule,
    gossip: Gossip,
    suspects: IndexMap<name::Host, Timestamp>,
    bundle: u64,
    hosts: u64,
    epoch: u64,
    last_tick: Option<Timestamp>,
    next_round: Timestamp,
    next_dead_probe: Timestamp,
    next_fetch: Timestamp,
}

impl View {
    /// Creates the view of a router that knows no peers. `seed` determines the order of probes.
    #[must_use]
    pub fn new(id: host::Id, domain: name::Domain, timing: Timing, seed: u64) -> Self {
        Self {
            me: Update {
                id,
                domain,
                refutation: 0,
                state: State::Alive,
            },
            in_host_list: None,
            peers: IndexMap::new(),
            timing,
            schedule: Schedule::new(seed),
            gossip: Gossip::default(),
            suspects: IndexMap::new(),
            bundle: 0,
            hosts: 0,
            epoch: 0,
            last_tick: None,
            next_round: Timestamp::ZERO,
            next_dead_probe: Timestamp::ZERO,
            next_fetch: Timestamp::ZERO,
        }
    }

    /// Returns a number that changes whenever the selection of homes or readers may change.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the revision of the active host list, or 0 before the first.
    #[must_use]
    pub fn hosts_revision(&self) -> u64 {
        self.hosts
    }

    /// Handles an event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Hosts { revision, hosts } => self.set_hosts(revision, hosts, &mut commands),
            Event::Hello { id, domain } => self.receive_hello(now, id, domain, &mut commands),
            Event::SessionFailed { host } => self.record_missed_probe(now, &host, &mut commands),
            Event::Ping { from, ping } => {
                let (bundle, hosts) = (ping.bundle, ping.hosts);
                self.receive(now, &from, ping.sender, ping.updates, &mut commands);
                let ack = self.ack(&from, ping.nonce);
                commands.push(Command::Ack {
                    to: from.clone(),
                    ack,
                });
                self.request_newer_revisions(now, from, bundle, hosts, &mut commands);
            }
            Event::Ack { from, ack } => {
                let (bundle, hosts) = (ack.bundle, ack.hosts);
                self.receive(now, &from, ack.sender, ack.updates, &mut commands);
                self.request_newer_revisions(now, from, bundle, hosts, &mut commands);
            }
            Event::Bundle { revision } => self.bundle = revision,
            Event::Leave => self.start_leaving(),
            Event::Tick => self.tick(now, &mut commands),
        }
        commands
    }

    fn set_hosts(&mut self, revision: u64, hosts: Vec<ListedRouter>, commands: &mut Vec<Command>) {
        self.hosts = revision;
        self.epoch += 1;
        self.in_host_list = Some(false);
        let mut former = std::mem::take(&mut self.peers);
        for listed in hosts {
            if listed.host == self.me.id.host {
                self.in_host_list = Some(true);
                if listed.leaving {
                    self.start_leaving();
                }
                continue;
            }
            let peer = match former.swap_remove(&listed.host) {
                Some(mut peer) => {
                    let before = peer.state();
                    peer.leaving_in_list = listed.leaving;
                    if peer.state() != before {
                        commands.push(Command::Changed(peer.change()));
                    }
                    peer
                }
                None => {
                    let peer = new_peer(&listed);
                    commands.push(Command::Changed(peer.change()));
                    peer
                }
            };
            self.peers.insert(listed.host, peer);
        }
        for (host, mut peer) in former {
            self.suspects.swap_remove(&host);
            self.schedule.close_probes(&host);
            if peer.update.state != State::Dead {
                peer.update.state = State::Dead;
                commands.push(Command::Changed(peer.change()));
            }
        }
        self.schedule.set_hosts(&self.me.id.host, self.peers.keys());
    }

    fn receive_hello(
        &mut self,
        now: Timestamp,
        id: host::Id,
        domain: name::Domain,
        commands: &mut Vec<Command>,
    ) {
        let host = id.host.clone();
        let update = Update {
            id,
            domain,
            refutation: 0,
            state: State::Alive,
        };
        self.receive(now, &host, update, Vec::new(), commands);
    }

    fn start_leaving(&mut self) {
        if self.me.state != State::Leaving {
            self.me.state = State::Leaving;
            self.me.refutation += 1;
            self.epoch += 1;
        }
    }

    /// Applies member updates that a peer sent over a session that authenticates it.
    fn receive(
        &mut self,
        now: Timestamp,
        from: &name::Host,
        sender: Update,
        updates: Vec<Update>,
        commands: &mut Vec<Command>,
    ) {
        if sender.id.host != *from {
            return;
        }
        let incarnation = sender.id.incarnation;
        self.apply(now, sender, commands);
        for update in updates {
            self.apply(now, update, commands);
        }
        let peer = self.peers.get_mut(from);
        let Some(peer) = peer.filter(|peer| peer.update.id.incarnation == incarnation) else {
            return;
        };
        peer.missed_probes = 0;
        let suspicion_refuted = peer.update.state < State::Suspect;
        self.schedule.close_probes(from);
        if !suspicion_refuted {
            // The probe carries the suspicion, which the peer then refutes.
            self.ping(now, from, commands);
        }
    }

    fn apply(&mut self, now: Timestamp, update: Update, commands: &mut Vec<Command>) {
        if update.id.host == self.me.id.host {
            self.refute(&update, commands);
            return;
        }
        let Some(peer) = self.peers.get_mut(&update.id.host) else {
            return;
        };
        if precedence(&update) <= precedence(&peer.update) {
            return;
        }
        let before = peer.change();
        if update.id.incarnation != before.id.incarnation {
            if peer.is_known() && before.state != State::Dead {
                commands.push(Command::Changed(Change {
                    state: State::Dead,
                    ..before.clone()
                }));
            }
            peer.leaving = false;
            peer.missed_probes = 0;
        }
        peer.leaving |= update.state == State::Leaving;
        peer.update = update;
        let after = peer.change();
        let host = after.id.host.clone();
        match peer.update.state {
            State::Suspect => {
                self.suspects
                    .insert(host.clone(), now + self.timing.suspect_timeout);
            }
            State::Dead => self.schedule.add_dead(&host),
            State::Alive | State::Leaving => {}
        }
        if after.state != State::Suspect {
            self.suspects.swap_remove(&host);
        }
        self.gossip.enqueue(&host, self.peers.len() + 1);
        if after != before {
            self.epoch += 1;
            commands.push(Command::Changed(after));
        }
    }

    fn refute(&mut self, update: &Update, commands: &mut Vec<Command>) {
        let same_incarnation = update.id.incarnation == self.me.id.incarnation;
        // A later run that is suspect may still refute that.
        if update.id.incarnation > self.me.id.incarnation && update.state == State::Dead {
            let by = update.id.incarnation;
            commands.push(Command::Superseded { by });
        }
        if same_incarnation
            && update.state >= State::Suspect
            && update.refutation >= self.me.refutation
        {
            self.me.refutation = update.refutation + 1;
        }
    }

    fn tick(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let pause = self.last_tick.map_or(Span::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if pause > self.timing.stall_threshold {
            self.schedule.extend_deadlines(pause);
            for deadline in self.suspects.values_mut() {
                *deadline = *deadline + pause;
            }
        }
        for host in self.schedule.take_expired(now) {
            self.record_missed_probe(now, &host, commands);
        }
        self.expire_suspects(now, commands);
        if now >= self.next_round {
            self.next_round = now + self.timing.probe_interval;
            self.probe_next_round(now, commands);
        }
        if now >= self.next_dead_probe {
            self.next_dead_probe = now + self.timing.dead_probe_interval;
            let peers = &self.peers;
            let dead = |host: &name::Host| is_dead(peers, host);
            if let Some(host) = self.schedule.next_dead(dead) {
                self.ping(now, &host, commands);
            }
        }
    }

    fn probe_next_round(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let peers = &self.peers;
        let mut hosts = self.schedule.next_round(|host| is_dead(peers, host));
        if let Some((suspect, _)) = self.suspects.first() {
            if !hosts.contains(suspect) {
                hosts.push(suspect.clone());
            }
        }
        for host in hosts {
            if !self.schedule.has_open_probe(&host) {
                self.ping(now, &host, commands);
            }
        }
    }

    /// Counts a missed probe. After the first one the peer is probed again at once; after a second
    /// consecutive miss it is suspect.
    fn record_missed_probe(
        &mut self,
        now: Timestamp,
        host: &name::Host,
        commands: &mut Vec<Command>,
    ) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        if peer.update.state >= State::Suspect {
            return;
        }
        peer.missed_probes += 1;
        if peer.missed_probes < timing::MISSES_UNTIL_SUSPECT {
            self.schedule.close_probes(host);
            self.ping(now, host, commands);
            return;
        }
        let update = Update {
            state: State::Suspect,
            ..peer.update.clone()
        };
        self.apply(now, update, commands);
        self.ping(now, host, commands);
    }

    fn expire_suspects(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let expired = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now);
        let hosts: Vec<name::Host> = expired.map(|(host, _)| host.clone()).collect();
        for host in hosts {
            let Some(peer) = self.peers.get(&host) else {
                continue;
            };
            let update = Update {
                state: State::Dead,
                ..peer.update.clone()
            };
            self.apply(now, update, commands);
        }
    }

    fn ping(&mut self, now: Timestamp, to: &name::Host, commands: &mut Vec<Command>) {
        let nonce = self.schedule.open_probe(to, now + self.timing.ack_timeout);
        let ping = Ping {
            nonce,
            bundle: self.bundle,
            hosts: self.hosts,
            sender: self.me.clone(),
            updates: self.updates(to),
        };
        commands.push(Command::Ping {
            to: to.clone(),
            ping,
        });
    }

    fn ack(&mut self, to: &name::Host, nonce: u64) -> Ack {
        Ack {
            nonce,
            bundle: self.bundle,
            hosts: self.hosts,
            sender: self.me.clone(),
            updates: self.updates(to),
        }
    }

    /// Returns the member updates for a message to `to`, including the one about `to` if it is suspect
    /// or dead.
    fn updates(&mut self, to: &name::Host) -> Vec<Update> {
        let mut updates = Vec::new();
        for host in self.gossip.next_batch() {
            match self.peers.get(&host) {
                Some(peer) if host != *to => updates.push(peer.update.clone()),
                _ => {}
            }
        }
        match self.peers.get(to) {
            Some(peer) if peer.update.state >= State::Suspect => {
                updates.push(peer.update.clone());
            }
            _ => {}
        }
        updates
    }

    fn request_newer_revisions(
        &mut self,
        now: Timestamp,
        peer: name::Host,
        bundle: u64,
        hosts: u64,
        commands: &mut Vec<Command>,
    ) {
        let is_newer = bundle > self.bundle || hosts > self.hosts;
        if is_newer && now >= self.next_fetch {
            self.next_fetch = now + self.timing.probe_interval;
            commands.push(Command::FetchNewer {
                peer,
                bundle,
                hosts,
            });
        }
    }
}

fn new_peer(listed: &ListedRouter) -> Peer {
    Peer {
        update: Update {
            id: host::Id {
                host: listed.host.clone(),
                incarnation: UNKNOWN_INCARNATION,
            },
            domain: listed.domain.clone(),
            refutation: 0,
            state: State::Alive,
        },
        leaving: false,
        leaving_in_list: listed.leaving,
        missed_probes: 0,
    }
}

fn precedence(update: &Update) -> (host::Incarnation, u32, State) {
    (update.id.incarnation, update.refutation, update.state)
}

fn is_dead(peers: &IndexMap<name::Host, Peer>, host: &name::Host) -> bool {
    peers
        .get(host)
        .is_none_or(|peer| peer.update.state == State::Dead)
}
