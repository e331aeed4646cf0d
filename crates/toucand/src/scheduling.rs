//! Controller of homes and queues: which router schedules which upstream, demand and grants.

use std::{collections::HashMap, net::SocketAddr};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::oneshot;
use tsw_base::{host, name, time::Tick};
use tsw_board::{hosts, AdmissionByService, Board, Homes, Queues, WriteToken};
use tsw_config::{bundle, service, settings};
use tsw_event::{emit, Event};
use tsw_grant::{
    entry, home,
    message::{Class, Id, Request},
};
use tsw_member::{rendezvous, State as Member};
use tsw_share::message::Served;
use tsw_wire::message::Message;

use crate::{health, membership, outbox::Outbox, refusal::Refusal, turn::Turn};

mod queue;

/// What the choice of homes depends on: epoch of the fleet, changes of the upstreams, revision of
/// the bundle.
type Basis = (u64, u64, u64);

struct Waiter {
    service: name::Service,
    team: name::Team,
    admitted: Option<u64>,
    answer: oneshot::Sender<Answer>,
}

/// A grant as it reaches the request that uses it.
#[derive(Debug)]
pub struct Granted {
    /// The service.
    pub service: name::Service,
    /// The grant.
    pub id: Id,
    /// The upstream.
    pub upstream: name::Upstream,
    /// Its address.
    pub address: SocketAddr,
}

/// What a waiting request gets.
pub type Answer = Result<Granted, Refusal>;

/// A request that asks for a slot.
pub struct Ask {
    /// The service.
    pub service: name::Service,
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: Class,
    /// When it is given up.
    pub deadline: Tick,
    /// An upstream that it must not use.
    pub avoid: Option<name::Upstream>,
    /// Cost in tokens that the caller expects; 0 if it gave no hint.
    pub cost_hint: u32,
    /// Bytes with which the gate counts it; nothing if it was admitted before.
    pub admitted: Option<u64>,
}

/// The pens of a [`Controller`].
pub struct Pens {
    /// For homes.
    pub homes: WriteToken<Homes>,
    /// For queues.
    pub queues: WriteToken<Queues>,
    /// For gates.
    pub gates: WriteToken<AdmissionByService>,
}

/// Owner of the sections about homes and queues.
pub struct Controller {
    homes: WriteToken<Homes>,
    queues: WriteToken<Queues>,
    gates: WriteToken<AdmissionByService>,
    queue_bytes: u64,
    group_size: u32,
    home_tuning: home::Options,
    queue_tuning: entry::Options,
    basis: Option<Basis>,
    owned: IndexMap<name::Upstream, name::Service>,
    partners: IndexMap<name::Service, IndexSet<name::Host>>,
    greeted: IndexSet<(name::Service, name::Host)>,
    waiters: HashMap<Request, Waiter>,
    last_request: u64,
}

impl Controller {
    /// Takes the pens.
    #[must_use]
    pub fn new(pens: Pens, tuning: &settings::Tuning) -> Self {
        Self {
            homes: pens.homes,
            queues: pens.queues,
            gates: pens.gates,
            queue_bytes: tuning.queue_bytes as u64,
            group_size: tuning.group_size,
            home_tuning: home::Options {
                grant_ttl: tuning.grant_ttl(),
                urgent_percent: tuning.hedge_percent,
                ..home::Options::default()
            },
            queue_tuning: entry::Options {
                grant_ttl: tuning.grant_ttl(),
            },
            basis: None,
            owned: IndexMap::new(),
            partners: IndexMap::new(),
            greeted: IndexSet::new(),
            waiters: HashMap::new(),
            last_request: 0,
        }
    }

    /// Returns whether this router is the home of an upstream.
    #[must_use]
    pub fn is_owned(&self, upstream: &name::Upstream) -> bool {
        self.owned.contains_key(upstream)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Brings homes and queues in step with bundle, host list and fleet. Returns whether anything
    /// changed.
    pub fn update(
        &mut self,
        turn: &mut Turn<'_>,
        membership: &membership::Controller,
        health: &mut health::Controller,
    ) -> bool {
        let basis = (
            turn.board.fleet.epoch(),
            membership.changes(),
            turn.board.configuration.revision(),
        );
        let Some(bundle) = turn.board.configuration.bundle().cloned() else {
            return false;
        };
        if self.basis == Some(basis) {
            return false;
        }
        self.basis = Some(basis);
        let mut owned = IndexMap::new();
        for service in bundle.services.values() {
            self.assign(turn, service, (membership, health), &mut owned);
            self.set_shares(turn, health, service, &bundle);
        }
        let lost: Vec<_> = self
            .owned
            .iter()
            .filter(|(upstream, _)| !owned.contains_key(*upstream))
            .map(|(upstream, service)| (upstream.clone(), service.clone()))
            .collect();
        self.owned = owned;
        for (upstream, service) in lost {
            health.remove(turn.board, &service, &upstream);
            let event = home::Event::UpstreamRemoved { upstream };
            self.home_event(turn, health, &service, event);
        }
        true
    }

    /// Assigns the upstreams of a service to homes.
    fn assign(
        &mut self,
        turn: &mut Turn<'_>,
        service: &service::Service,
        (membership, health): (&membership::Controller, &mut health::Controller),
        owned: &mut IndexMap<name::Upstream, name::Service>,
    ) {
        let listed: Vec<(name::Upstream, hosts::Upstream)> = turn
            .board
            .hosts
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.service == service.service)
            .map(|(name, upstream)| (name.clone(), upstream.clone()))
            .collect();
        let groups = listed.len().div_ceil(self.group_size as usize).max(1) as u32;
        let homes: Vec<Option<host::Id>> = (0..groups)
            .map(|group| {
                let host = turn.board.fleet.home(&service.service, group)?;
                turn.board.fleet.id(host).cloned()
            })
            .collect();
        let was_home = self.owned.values().any(|other| *other == service.service);
        let is_home = homes.iter().flatten().any(|id| id == turn.out.me());
        if is_home != was_home && !listed.is_empty() {
            let event = if is_home {
                Event::HomeGained
            } else {
                Event::HomeLost
            };
            emit(event, &[("service", &service.service)]);
        }
        self.set_partners(
            turn.board,
            turn.out,
            &service.service,
            groups,
            &homes,
            is_home,
        );
        let mut places = Vec::new();
        for (name, upstream) in listed {
            let group = rendezvous::group(&name, groups);
            let Some(home) = homes[group as usize].clone() else {
                continue;
            };
            if home == *turn.out.me() {
                let slots = match upstream.slots {
                    0 => service.slots,
                    slots => slots,
                };
                let leaving = membership.is_leaving(&name, &upstream);
                let limit = health.set_slots(turn.board, &service.service, &name, slots);
                let event = home::Event::Upstream {
                    upstream: name.clone(),
                    slots,
                    limit: if leaving { 0 } else { limit },
                };
                owned.insert(name.clone(), service.service.clone());
                self.home_event(turn, health, &service.service, event);
            }
            places.push((name, home));
        }
        let event = entry::Event::Homes { upstreams: places };
        self.queue_event(turn, &service.service, event);
    }

    /// Notes which routers get the totals of this home: the other homes of the service, and the
    /// router that is next in line.
    fn set_partners(
        &mut self,
        board: &Board,
        out: &Outbox,
        service: &name::Service,
        groups: u32,
        homes: &[Option<host::Id>],
        is_home: bool,
    ) {
        let mut partners = IndexSet::new();
        if is_home {
            for group in 0..groups {
                let purpose = rendezvous::home_seed(service, group);
                let others = board.fleet.available_hosts().map(|(host, _)| host);
                let others = others.filter(|host| **host != out.me().host);
                let weight = |host: &&name::Host| rendezvous::weight(purpose, host.as_str());
                partners.extend(others.max_by_key(weight).cloned());
            }
            let homes = homes.iter().flatten().map(|id| id.host.clone());
            partners.extend(homes.filter(|host| *host != out.me().host));
        }
        self.greeted
            .retain(|(other, host)| other != service || partners.contains(host));
        self.partners.insert(service.clone(), partners);
    }

    fn set_shares(
        &mut self,
        turn: &mut Turn<'_>,
        health: &mut health::Controller,
        service: &service::Service,
        bundle: &bundle::Bundle,
    ) {
        let upstreams = turn.board.hosts.upstreams.values();
        let own = upstreams.filter(|upstream| upstream.service == service.service);
        let slots = own.map(|upstream| match upstream.slots {
            0 => u64::from(service.slots),
            slots => u64::from(slots),
        });
        let slots = slots.sum();
        let teams = bundle.teams.values();
        let shares = teams.filter_map(|team| {
            let share = team.shares.get(&service.service)?;
            Some((team.team.clone(), share.as_ppm()))
        });
        let shares = shares.collect();
        let event = home::Event::Shares { slots, shares };
        self.home_event(turn, health, &service.service, event);
        let peers = turn.board.fleet.peers();
        let live = peers.filter(|(id, _, state)| {
            *state != Member::Dead
                && *id
                    != &host::Id {
                        host: id.host.clone(),
                        incarnation: host::Incarnation::new(0, 0),
                    }
        });
        let mut live: Vec<host::Id> = live.map(|(id, _, _)| id.clone()).collect();
        live.push(turn.out.me().clone());
        let event = home::Event::Routers { live };
        self.home_event(turn, health, &service.service, event);
    }

    /// Gives an event to the home of a service and carries out what follows.
    pub fn home_event(
        &mut self,
        turn: &mut Turn<'_>,
        health: &mut health::Controller,
        service: &name::Service,
        event: home::Event,
    ) {
        let known = turn
            .board
            .configuration
            .bundle()
            .is_some_and(|bundle| bundle.services.contains_key(service));
        if !known {
            return;
        }
        let me = turn.out.me().incarnation;
        let tuning = self.home_tuning;
        let homes = turn.board.homes.write(&self.homes);
        let home = homes
            .entry(service.clone())
            .or_insert_with(|| home::Home::new(service.clone(), me, tuning));
        for command in home.handle(turn.now, event) {
            let (to, grant) = match command {
                home::Command::Grant { to, grant } => (to, grant),
                home::Command::Served { served } => {
                    self.send_served(turn.out, &served);
                    continue;
                }
            };
            health.granted(turn.now, &grant);
            let number = grant.id.number;
            emit(
                Event::SlotGranted,
                &[
                    ("entry", &to.host),
                    ("service", &grant.service),
                    ("team", &grant.team),
                    ("upstream", &grant.upstream),
                    ("number", &number),
                ],
            );
            turn.out.send(&to.host, Message::Grant(grant));
        }
    }

    /// Takes over limits that changed.
    pub fn set_limits(
        &mut self,
        turn: &mut Turn<'_>,
        health: &mut health::Controller,
        membership: &membership::Controller,
        changed: &health::Changes,
    ) {
        for (upstream, (service, limit)) in changed {
            let listed = turn.board.hosts.upstreams.get(upstream);
            let leaving = listed.is_none_or(|listed| membership.is_leaving(upstream, listed));
            if leaving || !self.is_owned(upstream) {
                continue;
            }
            let event = home::Event::Upstream {
                upstream: upstream.clone(),
                slots: u32::MAX,
                limit: *limit,
            };
            self.home_event(turn, health, service, event);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, turn: &mut Turn<'_>, health: &mut health::Controller) {
        let services: Vec<name::Service> = turn.board.homes.keys().cloned().collect();
        for service in services {
            let running = turn
                .board
                .homes
                .get(&service)
                .is_some_and(|h| h.running() > 0);
            if running || self.owned.values().any(|other| *other == service) {
                self.home_event(turn, health, &service, home::Event::Tick);
            }
        }
        let services: Vec<name::Service> = turn.board.queues.keys().cloned().collect();
        for service in services {
            self.queue_event(turn, &service, entry::Event::Tick);
        }
        self.greet_partners(turn.board, turn.out);
    }

    /// Sends all charges to the routers that need them and have none yet.
    fn greet_partners(&mut self, board: &mut Board, out: &mut Outbox) {
        for (service, partners) in &self.partners {
            for host in partners {
                if !self.greeted.insert((service.clone(), host.clone())) {
                    continue;
                }
                if let Some(home) = board.homes.write(&self.homes).get_mut(service) {
                    out.send(host, Message::Served(home.served()));
                }
            }
        }
    }

    fn send_served(&self, out: &mut Outbox, served: &Served) {
        for host in self.partners.get(&served.service).into_iter().flatten() {
            out.send(host, Message::Served(served.clone()));
        }
    }

    /// Takes the totals of another home.
    pub fn served(&mut self, turn: &mut Turn<'_>, health: &mut health::Controller, served: Served) {
        let service = served.service.clone();
        let event = home::Event::Served { served };
        self.home_event(turn, health, &service, event);
    }
}
