//! Controller of homes and queues: assigns upstreams to home routers and handles demand and grants.

use std::{collections::HashMap, net::SocketAddr};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::oneshot;
use tsw_base::{host, name, time::Timestamp};
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

/// Versions of the inputs of the home assignment: fleet epoch, change counter of the upstreams and
/// bundle revision.
type InputVersions = (u64, u64, u64);

struct Waiter {
    service: name::Service,
    team: name::Team,
    admitted: Option<u64>,
    answer: oneshot::Sender<SlotResult>,
}

/// A grant as delivered to the request that uses it.
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

/// Result of a request for a slot.
pub type SlotResult = Result<Granted, Refusal>;

/// A request for a slot.
pub struct SlotRequest {
    /// The service.
    pub service: name::Service,
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: Class,
    /// Deadline after which it is abandoned.
    pub deadline: Timestamp,
    /// An upstream that must not be used.
    pub avoid: Option<name::Upstream>,
    /// Cost in tokens expected by the caller; 0 without a hint.
    pub cost_hint: u32,
    /// Bytes counted by admission control; `None` if the request was admitted before.
    pub admitted: Option<u64>,
}

/// The write tokens of a [`Controller`].
pub struct WriteTokens {
    /// Token of the homes.
    pub homes: WriteToken<Homes>,
    /// Token of the queues.
    pub queues: WriteToken<Queues>,
    /// Token of admission control.
    pub admission: WriteToken<AdmissionByService>,
}

/// Writes the sections about homes, queues and admission control.
pub struct Controller {
    homes: WriteToken<Homes>,
    queues: WriteToken<Queues>,
    admission: WriteToken<AdmissionByService>,
    queue_bytes: u64,
    group_size: u32,
    home_options: home::Options,
    queue_options: entry::Options,
    input_versions: Option<InputVersions>,
    scheduled: IndexMap<name::Upstream, name::Service>,
    report_targets: IndexMap<name::Service, IndexSet<name::Host>>,
    synced_targets: IndexSet<(name::Service, name::Host)>,
    waiters: HashMap<Request, Waiter>,
    last_request: u64,
}

impl Controller {
    /// Creates the controller with the write tokens of its sections.
    #[must_use]
    pub fn new(tokens: WriteTokens, tuning: &settings::Tuning) -> Self {
        Self {
            homes: tokens.homes,
            queues: tokens.queues,
            admission: tokens.admission,
            queue_bytes: tuning.queue_bytes as u64,
            group_size: tuning.group_size,
            home_options: home::Options {
                grant_ttl: tuning.grant_ttl(),
                urgent_percent: tuning.hedge_percent,
                ..home::Options::default()
            },
            queue_options: entry::Options {
                grant_ttl: tuning.grant_ttl(),
            },
            input_versions: None,
            scheduled: IndexMap::new(),
            report_targets: IndexMap::new(),
            synced_targets: IndexSet::new(),
            waiters: HashMap::new(),
            last_request: 0,
        }
    }

    /// Returns whether this router is the home of an upstream.
    #[must_use]
    pub fn is_home(&self, upstream: &name::Upstream) -> bool {
        self.scheduled.contains_key(upstream)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Recomputes homes and queues if the bundle, host list or fleet has changed. Returns whether it
    /// did.
    pub fn update(
        &mut self,
        turn: &mut Turn<'_>,
        membership: &membership::Controller,
        health: &mut health::Controller,
    ) -> bool {
        let input_versions = (
            turn.board.fleet.epoch(),
            membership.changes(),
            turn.board.configuration.revision(),
        );
        let Some(bundle) = turn.board.configuration.bundle().cloned() else {
            return false;
        };
        if self.input_versions == Some(input_versions) {
            return false;
        }
        self.input_versions = Some(input_versions);
        let mut scheduled = IndexMap::new();
        for service in bundle.services.values() {
            self.assign_homes(turn, service, (membership, health), &mut scheduled);
            self.set_shares(turn, health, service, &bundle);
        }
        let lost: Vec<_> = self
            .scheduled
            .iter()
            .filter(|(upstream, _)| !scheduled.contains_key(*upstream))
            .map(|(upstream, service)| (upstream.clone(), service.clone()))
            .collect();
        self.scheduled = scheduled;
        for (upstream, service) in lost {
            health.remove(turn.board, &service, &upstream);
            let event = home::Event::UpstreamRemoved { upstream };
            self.handle_home_event(turn, health, &service, event);
        }
        true
    }

    /// Assigns the upstreams of a service to home routers.
    fn assign_homes(
        &mut self,
        turn: &mut Turn<'_>,
        service: &service::Service,
        (membership, health): (&membership::Controller, &mut health::Controller),
        scheduled: &mut IndexMap<name::Upstream, name::Service>,
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
        let was_home = self
            .scheduled
            .values()
            .any(|other| *other == service.service);
        let is_home = homes.iter().flatten().any(|id| id == turn.out.me());
        if is_home != was_home && !listed.is_empty() {
            let event = if is_home {
                Event::HomeGained
            } else {
                Event::HomeLost
            };
            emit(event, &[("service", &service.service)]);
        }
        self.set_report_targets(
            turn.board,
            turn.out,
            &service.service,
            groups,
            &homes,
            is_home,
        );
        let mut assigned = Vec::new();
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
                scheduled.insert(name.clone(), service.service.clone());
                self.handle_home_event(turn, health, &service.service, event);
            }
            assigned.push((name, home));
        }
        let event = entry::Event::Homes {
            upstreams: assigned,
        };
        self.handle_queue_event(turn, &service.service, event);
    }

    /// Sets which routers receive the usage totals of this home: the other homes of the service, and
    /// the routers that would take over from a failed home.
    fn set_report_targets(
        &mut self,
        board: &Board,
        out: &Outbox,
        service: &name::Service,
        groups: u32,
        homes: &[Option<host::Id>],
        is_home: bool,
    ) {
        let mut report_targets = IndexSet::new();
        if is_home {
            for group in 0..groups {
                let purpose = rendezvous::home_seed(service, group);
                let others = board.fleet.available_hosts().map(|(host, _)| host);
                let others = others.filter(|host| **host != out.me().host);
                let weight = |host: &&name::Host| rendezvous::weight(purpose, host.as_str());
                report_targets.extend(others.max_by_key(weight).cloned());
            }
            let homes = homes.iter().flatten().map(|id| id.host.clone());
            report_targets.extend(homes.filter(|host| *host != out.me().host));
        }
        self.synced_targets
            .retain(|(other, host)| other != service || report_targets.contains(host));
        self.report_targets.insert(service.clone(), report_targets);
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
        self.handle_home_event(turn, health, &service.service, event);
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
        self.handle_home_event(turn, health, &service.service, event);
    }

    /// Passes an event to the home of a service and executes the resulting commands.
    pub fn handle_home_event(
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
        let options = self.home_options;
        let homes = turn.board.homes.write(&self.homes);
        let home = homes
            .entry(service.clone())
            .or_insert_with(|| home::Home::new(service.clone(), me, options));
        for command in home.handle(turn.now, event) {
            let (to, grant) = match command {
                home::Command::Grant { to, grant } => (to, grant),
                home::Command::Served { served } => {
                    self.send_served(turn.out, &served);
                    continue;
                }
            };
            health.record_grant(turn.now, &grant);
            let number = grant.id.number;
            emit(
                Event::SlotGranted,
                &[
                    ("entry", &to.host),
                    ("service", &grant.service),
                    ("team", &grant.team),
                    ("upstream", &grant.upstream),
                    ("grant", &number),
                ],
            );
            turn.out.send(&to.host, Message::Grant(grant));
        }
    }

    /// Applies changed limits to the homes.
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
            if leaving || !self.is_home(upstream) {
                continue;
            }
            let event = home::Event::Upstream {
                upstream: upstream.clone(),
                slots: u32::MAX,
                limit: *limit,
            };
            self.handle_home_event(turn, health, service, event);
        }
    }

    /// Runs the timers of homes and queues.
    pub fn tick(&mut self, turn: &mut Turn<'_>, health: &mut health::Controller) {
        let services: Vec<name::Service> = turn.board.homes.keys().cloned().collect();
        for service in services {
            let running = turn
                .board
                .homes
                .get(&service)
                .is_some_and(|h| h.running() > 0);
            if running || self.scheduled.values().any(|other| *other == service) {
                self.handle_home_event(turn, health, &service, home::Event::Tick);
            }
        }
        let services: Vec<name::Service> = turn.board.queues.keys().cloned().collect();
        for service in services {
            self.handle_queue_event(turn, &service, entry::Event::Tick);
        }
        self.send_full_reports(turn.board, turn.out);
    }

    /// Sends the full totals to the targets that have not received them yet.
    fn send_full_reports(&mut self, board: &mut Board, out: &mut Outbox) {
        for (service, report_targets) in &self.report_targets {
            for host in report_targets {
                if !self.synced_targets.insert((service.clone(), host.clone())) {
                    continue;
                }
                if let Some(home) = board.homes.write(&self.homes).get_mut(service) {
                    out.send(host, Message::Served(home.served()));
                }
            }
        }
    }

    fn send_served(&self, out: &mut Outbox, served: &Served) {
        for host in self
            .report_targets
            .get(&served.service)
            .into_iter()
            .flatten()
        {
            out.send(host, Message::Served(served.clone()));
        }
    }

    /// Merges the usage totals of another home.
    pub fn receive_totals(
        &mut self,
        turn: &mut Turn<'_>,
        health: &mut health::Controller,
        served: Served,
    ) {
        let service = served.service.clone();
        let event = home::Event::Served { served };
        self.handle_home_event(turn, health, &service, event);
    }
}
