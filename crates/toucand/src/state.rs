//! The blackboard with its controllers.

use std::net::SocketAddr;

use tsw_base::{
    host, name,
    time::{Span, Tick},
};
use tsw_board::{Board, InitialState};
use tsw_config::service::Kind;
use tsw_grant::home;
use tsw_member::{event, Timing, View};
use tsw_once::{owner, permit, survivor, witness, Limits};
use tsw_wire::message::Message;

use crate::{
    audit, configuration, health, membership, outbox::Outbox, placement, plan::Plan, poison,
    scheduling, tables, task, turn::Turn,
};

/// The controllers.
pub struct Controllers {
    /// Host list and fleet.
    pub membership: membership::Controller,
    /// The bundle in force.
    pub configuration: configuration::Controller,
    /// Homes and queues.
    pub scheduling: scheduling::Controller,
    /// Pace, budgets and limits.
    pub health: health::Controller,
    /// Permits and keys.
    pub tables: tables::Controller,
    /// Requests that crash upstreams.
    pub poison: poison::Controller,
    /// Orders to engines.
    pub placement: placement::Controller,
    /// The audit log.
    pub audit: audit::Controller,
}

/// The blackboard with its controllers.
pub struct State {
    /// The blackboard.
    pub board: Board,
    /// What decisions lead to.
    pub out: Outbox,
    /// The controllers.
    pub control: Controllers,
    /// Answers of peers that were asked for a bundle at the start.
    pub bundle_answers: usize,
    next_slow: Tick,
}

/// Period of placement and of the watch for requests that crash upstreams.
const SLOW_PERIOD: Span = Span::from_millis(100);

fn timing(plan: &Plan) -> Timing {
    Timing {
        probe_interval: Span::from_millis(plan.settings.tuning.probe_ms),
        ..Timing::default()
    }
}

impl State {
    /// Makes the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(plan: &Plan, id: &host::Id) -> Self {
        let tuning = &plan.settings.tuning;
        let retain = Span::from_millis(tuning.retain_ms);
        let lifetime = Span::from_millis(tuning.permit_ms);
        let domain = plan.settings.domain.clone();
        let owner_timing = owner::Timing {
            retain,
            ..owner::Timing::default()
        };
        let (board, pens) = Board::new(InitialState {
            configuration: Default::default(),
            hosts: Default::default(),
            fleet: View::new(id.clone(), domain, timing(plan), rand::random()),
            homes: Default::default(),
            queues: Default::default(),
            admission: Default::default(),
            limits: Default::default(),
            service_health: Default::default(),
            owner: owner::Table::new(id.clone(), owner_timing, Limits::default()),
            witness: witness::Table::new(id.clone(), retain + lifetime * 2, Limits::default()),
            survivor: survivor::Table::new(survivor::Timing::default()),
            poison: Default::default(),
            placement: tsw_place::Dispatch::new(tsw_place::Options::default()),
            audit: tsw_audit::Chain::new(id.clone(), plan.keys.record.clone()),
        });
        let signer = permit::Signer::new(plan.keys.permit);
        let issuer = permit::Issuer::new(signer.clone(), id.clone(), lifetime);
        let tables = tables::Pens {
            owner: pens.owner,
            witness: pens.witness,
            survivor: pens.survivor,
        };
        let control = Controllers {
            membership: membership::Controller::new(pens.hosts, pens.fleet),
            configuration: configuration::Controller::new(pens.configuration),
            scheduling: scheduling::Controller::new(
                scheduling::Pens {
                    homes: pens.homes,
                    queues: pens.queues,
                    gates: pens.admission,
                },
                tuning,
            ),
            health: health::Controller::new(pens.limits, pens.service_health, tuning.hedge_percent),
            tables: tables::Controller::new(tables, signer, issuer),
            poison: poison::Controller::new(pens.poison),
            placement: placement::Controller::new(pens.placement),
            audit: audit::Controller::new(pens.audit),
        };
        Self {
            board,
            out: Outbox::new(id.clone()),
            control,
            bundle_answers: 0,
            next_slow: Tick::ZERO,
        }
    }

    /// Returns what a decision needs, and the controllers.
    pub fn split(&mut self, now: Tick) -> (Turn<'_>, &mut Controllers) {
        let turn = Turn {
            board: &mut self.board,
            out: &mut self.out,
            now,
        };
        (turn, &mut self.control)
    }

    /// Gives an event to membership and tells the other controllers what follows.
    pub fn member(&mut self, now: Tick, event: event::Event) {
        let (mut turn, control) = self.split(now);
        let effect = control.membership.handle(&mut turn, event);
        self.follow(now, effect);
    }

    fn follow(&mut self, now: Tick, effect: membership::Effect) {
        if effect.behind {
            self.out.start(task::Task::ReadHosts);
        }
        if !effect.gone.is_empty() {
            self.out.start(task::Task::ReadLoads);
        }
        for id in &effect.gone {
            let (mut turn, control) = self.split(now);
            control.tables.gone(&mut turn, id);
        }
        self.update(now);
    }

    /// Takes a host list that was read from the platform.
    pub fn hosts(&mut self, now: Tick, list: tsw_board::hosts::List) {
        let (mut turn, control) = self.split(now);
        let effect = control.membership.adopt(&mut turn, list);
        self.follow(now, effect);
    }

    /// Takes a bundle. `source` is where it was read.
    pub fn bundle(&mut self, now: Tick, content: &[u8], source: &dyn std::fmt::Display) {
        if self
            .control
            .configuration
            .offer(&mut self.board, content, source)
        {
            let revision = self.board.configuration.revision();
            self.member(now, event::Event::Bundle { revision });
        }
    }

    /// Brings homes, queues and orders in step with what they depend on.
    fn update(&mut self, now: Tick) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        if control
            .scheduling
            .update(turn, &control.membership, &mut control.health)
        {
            let (scheduling, membership) = (&control.scheduling, &control.membership);
            control.placement.update(
                turn,
                |upstream| scheduling.is_owned(upstream),
                |name, upstream| membership.is_leaving(name, upstream),
            );
        }
    }

    /// Takes a message. `from` is the sender as its session proved it.
    pub fn receive(&mut self, now: Tick, from: &host::Id, message: Message) {
        let host = from.host.clone();
        match message {
            Message::Hello(_) => {}
            Message::Ping(ping) => self.member(now, event::Event::Ping { from: host, ping }),
            Message::Ack(ack) => self.member(now, event::Event::Ack { from: host, ack }),
            Message::Fetch(fetch) => self.fetch(&host, fetch),
            Message::Bundle(bundle) => {
                self.bundle_answers += 1;
                if bundle.revision > self.board.configuration.revision() {
                    self.bundle(now, &bundle.content, from);
                }
            }
            Message::Hosts(hosts) => {
                self.control.membership.learn(&self.board, hosts);
                self.update(now);
            }
            Message::Demand(_)
            | Message::Grant(_)
            | Message::Release(_)
            | Message::Holdings(_)
            | Message::Served(_) => self.schedule(now, from, message),
            Message::Suspect(suspect) => {
                let event = tsw_poison::Event::Message(suspect);
                let (mut turn, control) = self.split(now);
                control.poison.handle(&mut turn, event);
            }
            Message::Head(head) => self.control.audit.witness(&mut self.board, from, &head),
            message => self.once(now, from, message),
        }
    }

    fn fetch(&mut self, from: &tsw_base::name::Host, fetch: tsw_wire::message::Fetch) {
        let mut bundle = self.control.configuration.message(&self.board);
        if bundle.revision <= fetch.bundle {
            // A router that starts counts the answers, so it gets one without content.
            bundle.content = std::sync::Arc::from([]);
        }
        if bundle.revision > fetch.bundle || fetch.bundle == 0 {
            self.out.send(from, Message::Bundle(bundle));
        }
        if self.board.hosts.revision > fetch.hosts {
            let hosts = membership::Controller::summary(&self.board);
            self.out.send(from, Message::Hosts(hosts));
        }
    }

    fn schedule(&mut self, now: Tick, from: &host::Id, message: Message) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        let from = from.clone();
        let (service, event) = match message {
            Message::Grant(grant) => return control.scheduling.grant(turn, &from, grant),
            Message::Served(served) => {
                return control.scheduling.served(turn, &mut control.health, served);
            }
            Message::Demand(demand) => {
                (demand.service.clone(), home::Event::Demand { from, demand })
            }
            Message::Release(release) => {
                let changed = control.health.released(turn.board, now, &release);
                control.scheduling.set_limits(
                    turn,
                    &mut control.health,
                    &control.membership,
                    &changed,
                );
                (
                    release.service.clone(),
                    home::Event::Release { from, release },
                )
            }
            Message::Holdings(holdings) => (
                holdings.service.clone(),
                home::Event::Holdings { from, holdings },
            ),
            _ => return,
        };
        control
            .scheduling
            .home_event(turn, &mut control.health, &service, event);
    }

    fn once(&mut self, now: Tick, from: &host::Id, message: Message) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        let from = from.clone();
        match message {
            Message::Note(note) => {
                control
                    .tables
                    .witness(turn, witness::Event::Note { from, note });
            }
            Message::Outcome(outcome) => {
                control
                    .tables
                    .witness(turn, witness::Event::Outcome { from, outcome });
            }
            Message::Seal(seal) => {
                control
                    .tables
                    .witness(turn, witness::Event::Seal { from, seal });
            }
            Message::Noted(noted) => {
                control
                    .tables
                    .handle_owner(turn, owner::Event::Noted { from, noted });
            }
            Message::Sealed(sealed) => {
                control
                    .tables
                    .survive(turn, survivor::Event::Sealed { from, sealed });
            }
            Message::Answer(answer) => {
                let event = survivor::Event::Answer {
                    from,
                    ticket: answer.ticket,
                    reply: answer.reply,
                };
                control.tables.survive(turn, event);
            }
            Message::Forward(forward) => control.tables.forwarded(turn, &from, forward),
            _ => {}
        }
    }

    /// Takes the load that an engine reports.
    pub fn load(&mut self, now: Tick, upstream: &name::Upstream, running: u32, age: Span) {
        let listed = self.board.hosts.upstreams.get(upstream);
        let Some(service) = listed.map(|listed| listed.service.clone()) else {
            return;
        };
        let event = home::Event::Load {
            upstream: upstream.clone(),
            running,
            age,
        };
        let (mut turn, control) = self.split(now);
        control
            .scheduling
            .home_event(&mut turn, &mut control.health, &service, event);
    }

    /// Returns the engines that this router schedules, with their addresses.
    #[must_use]
    pub fn own_engines(&self) -> Vec<(name::Upstream, SocketAddr)> {
        let Some(bundle) = self.board.configuration.bundle() else {
            return Vec::new();
        };
        let upstreams = self.board.hosts.upstreams.iter();
        let own = upstreams.filter(|(name, upstream)| {
            let service = bundle.services.get(&upstream.service);
            self.control.scheduling.is_owned(name)
                && service.is_some_and(|service| service.kind == Kind::Model)
        });
        own.map(|(name, upstream)| (name.clone(), upstream.address))
            .collect()
    }

    /// Lets time pass for scheduling, which is due more often than the rest.
    pub fn tick_fast(&mut self, now: Tick) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        control.scheduling.tick(turn, &mut control.health);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Tick) {
        self.member(now, event::Event::Tick);
        let next_slow = self.next_slow;
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        control.tables.tick(turn);
        let changed = control.health.tick(turn.board, now);
        control
            .scheduling
            .set_limits(turn, &mut control.health, &control.membership, &changed);
        control.audit.tick(turn);
        let slow = now >= next_slow;
        if slow {
            control.placement.handle(turn, tsw_place::Event::Tick);
            if !turn.board.poison.is_empty() {
                control.poison.handle(turn, tsw_poison::Event::Tick);
            }
        }
        if slow {
            self.next_slow = now + SLOW_PERIOD;
        }
        self.tick_fast(now);
    }

    /// Returns whether scheduling needs ticks at the short period.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.control.scheduling.waiting() > 0 || self.board.homes.values().any(|h| h.running() > 0)
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self, now: Tick) {
        self.member(now, event::Event::Leave);
        let (mut turn, control) = self.split(now);
        control.tables.handle_owner(&mut turn, owner::Event::Leave);
    }
}
