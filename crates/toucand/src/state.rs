//! The blackboard, its controllers, and the dispatch of messages and timers to them.

use std::net::SocketAddr;

use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_board::{runs::Software, Board, InitialState};
use tsw_config::service::Kind;
use tsw_grant::home;
use tsw_member::{event, Timing, View};
use tsw_once::{owner, permit, survivor, witness, Limits};
use tsw_poison::EndedRun;
use tsw_wire::message::{Fetch, Message};

use crate::{
    audit, configuration, context::Context, crash_detector, engine_runs, health, membership,
    outbox::Outbox, placement, scheduling, tables, task, turn::Turn,
};

/// The controllers.
pub struct Controllers {
    /// Host list and fleet.
    pub membership: membership::Controller,
    /// The active bundle.
    pub configuration: configuration::Controller,
    /// Homes and queues.
    pub scheduling: scheduling::Controller,
    /// Token latency, budgets and limits.
    pub health: health::Controller,
    /// Permits and idempotency keys.
    pub tables: tables::Controller,
    /// Detection of requests that crash upstreams.
    pub crash_detector: crash_detector::Controller,
    /// Runs of engines that have ended.
    pub engine_runs: engine_runs::Controller,
    /// Placement orders to engines.
    pub placement: placement::Controller,
    /// The audit log.
    pub audit: audit::Controller,
}

/// The blackboard with its controllers.
pub struct State {
    /// The blackboard.
    pub board: Board,
    /// Messages and tasks to send and start.
    pub out: Outbox,
    /// The controllers.
    pub control: Controllers,
    /// Number of peers that have answered the request for a bundle at startup.
    pub bundle_answers: usize,
    next_slow_tick: Timestamp,
}

/// Tick period of placement and of the crash detector.
const SLOW_PERIOD: Span = Span::from_millis(100);

fn timing(context: &Context) -> Timing {
    Timing {
        probe_interval: Span::from_millis(context.settings.tuning.probe_ms),
        ..Timing::default()
    }
}

impl State {
    /// Creates the initial state: no bundle, no hosts and no peers.
    #[must_use]
    pub fn new(context: &Context, id: &host::Id) -> Self {
        let tuning = &context.settings.tuning;
        let retain = Span::from_millis(tuning.retain_ms);
        let lifetime = Span::from_millis(tuning.permit_ms);
        let domain = context.settings.domain.clone();
        let owner_timing = owner::Timing {
            retain,
            ..owner::Timing::default()
        };
        let (board, tokens) = Board::new(InitialState {
            configuration: Default::default(),
            hosts: Default::default(),
            ended_runs: Default::default(),
            fleet: View::new(id.clone(), domain, timing(context), rand::random()),
            homes: Default::default(),
            queues: Default::default(),
            admission: Default::default(),
            limits: Default::default(),
            service_health: Default::default(),
            owner: owner::Table::new(id.clone(), owner_timing, Limits::default()),
            witness: witness::Table::new(id.clone(), retain + lifetime * 2, Limits::default()),
            survivor: survivor::Table::new(survivor::Timing::default()),
            crash_detector: Default::default(),
            cause_finder: Default::default(),
            placement: tsw_place::Dispatch::new(tsw_place::Options::default()),
            audit: tsw_audit::Chain::new(id.clone(), context.keys.record.clone()),
        });
        let signer = permit::Signer::new(context.keys.permit);
        let issuer = permit::Issuer::new(signer.clone(), id.clone(), lifetime);
        let tables = tables::WriteTokens {
            owner: tokens.owner,
            witness: tokens.witness,
            survivor: tokens.survivor,
        };
        let control = Controllers {
            membership: membership::Controller::new(tokens.hosts, tokens.fleet),
            configuration: configuration::Controller::new(tokens.configuration),
            scheduling: scheduling::Controller::new(
                scheduling::WriteTokens {
                    homes: tokens.homes,
                    queues: tokens.queues,
                    admission: tokens.admission,
                },
                tuning,
            ),
            health: health::Controller::new(
                tokens.limits,
                tokens.service_health,
                tuning.hedge_percent,
            ),
            tables: tables::Controller::new(tables, signer, issuer),
            crash_detector: crash_detector::Controller::new(
                tokens.crash_detector,
                tokens.cause_finder,
            ),
            engine_runs: engine_runs::Controller::new(tokens.ended_runs),
            placement: placement::Controller::new(tokens.placement),
            audit: audit::Controller::new(tokens.audit),
        };
        Self {
            board,
            out: Outbox::new(id.clone()),
            control,
            bundle_answers: 0,
            next_slow_tick: Timestamp::ZERO,
        }
    }

    /// Borrows the board and the output separately from the controllers.
    pub fn split(&mut self, now: Timestamp) -> (Turn<'_>, &mut Controllers) {
        let turn = Turn {
            board: &mut self.board,
            out: &mut self.out,
            now,
        };
        (turn, &mut self.control)
    }

    /// Passes an event to membership and applies its effects to the other controllers.
    pub fn handle_membership(&mut self, now: Timestamp, event: event::Event) {
        let (mut turn, control) = self.split(now);
        let effect = control.membership.handle(&mut turn, event);
        self.apply_effect(now, effect);
    }

    fn apply_effect(&mut self, now: Timestamp, effect: membership::Effect) {
        if effect.behind {
            self.out.start(task::Task::ReadHosts);
        }
        if !effect.dead.is_empty() {
            self.out.start(task::Task::ReadLoads);
        }
        for id in &effect.dead {
            let (mut turn, control) = self.split(now);
            control.tables.handle_process_end(&mut turn, id);
        }
        self.refresh(now);
    }

    /// Processes a host list that was read from the platform, and when the read began.
    pub fn adopt_hosts(
        &mut self,
        now: Timestamp,
        list: tsw_board::hosts::List,
        read_at: Timestamp,
    ) {
        let (mut turn, control) = self.split(now);
        let decision = control.membership.decide(turn.board, &list, read_at);
        control
            .engine_runs
            .adopt(&mut turn, &list, decision, read_at);
        let effect = control.membership.adopt(&mut turn, list, decision, read_at);
        self.apply_effect(now, effect);
    }

    /// Processes a bundle that was read from `source`.
    pub fn offer_bundle(&mut self, now: Timestamp, content: &[u8], source: &dyn std::fmt::Display) {
        if self
            .control
            .configuration
            .offer(&mut self.board, content, source)
        {
            let revision = self.board.configuration.revision();
            self.handle_membership(now, event::Event::Bundle { revision });
        }
    }

    /// Recomputes homes, queues and orders after changes of the bundle, host list or fleet.
    fn refresh(&mut self, now: Timestamp) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        if control
            .scheduling
            .update(turn, &control.membership, &mut control.health)
        {
            let (scheduling, membership) = (&control.scheduling, &control.membership);
            control.placement.update(
                turn,
                |upstream| scheduling.is_home(upstream),
                |name, upstream| membership.is_leaving(name, upstream),
            );
        }
    }

    /// Handles a message. `from` is the authenticated sender of the session.
    pub fn receive(&mut self, now: Timestamp, from: &host::Id, message: Message) {
        let host = from.host.clone();
        match message {
            Message::Hello(_) => {}
            Message::Ping(ping) => {
                self.handle_membership(now, event::Event::Ping { from: host, ping })
            }
            Message::Ack(ack) => self.handle_membership(now, event::Event::Ack { from: host, ack }),
            Message::Fetch(fetch) => self.answer_fetch(now, &host, fetch),
            Message::Bundle(bundle) => {
                self.bundle_answers += 1;
                if bundle.revision > self.board.configuration.revision() {
                    self.offer_bundle(now, &bundle.content, from);
                }
            }
            Message::Hosts(hosts) => {
                self.control.membership.merge_leaving(now, hosts);
                self.refresh(now);
            }
            Message::Demand(_)
            | Message::Grant(_)
            | Message::Release(_)
            | Message::Holdings(_)
            | Message::Served(_) => self.handle_scheduling_message(now, from, message),
            Message::Findings(findings) => {
                let (mut turn, control) = self.split(now);
                match EndedRun::parse(&findings) {
                    Some(run) => control.engine_runs.receive(&mut turn, &run),
                    None => control.crash_detector.receive(&mut turn, findings),
                }
            }
            Message::Head(head) => {
                self.control
                    .audit
                    .record_peer_head(&mut self.board, from, &head)
            }
            message => self.handle_permit_message(now, from, message),
        }
    }

    fn answer_fetch(&mut self, now: Timestamp, from: &name::Host, fetch: Fetch) {
        let mut bundle = self.control.configuration.bundle_message(&self.board);
        if bundle.revision <= fetch.bundle {
            // A starting router counts the answers, so it also gets one if there is no newer bundle.
            bundle.content = std::sync::Arc::from([]);
        }
        if bundle.revision > fetch.bundle || fetch.bundle == 0 {
            self.out.send(from, Message::Bundle(bundle));
        }
        if self.board.hosts.revision > fetch.hosts {
            let hosts = self.control.membership.hosts_message(&self.board, now);
            self.out.send(from, Message::Hosts(hosts));
        }
    }

    fn handle_scheduling_message(&mut self, now: Timestamp, from: &host::Id, message: Message) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        let from = from.clone();
        let (service, event) = match message {
            Message::Grant(grant) => return control.scheduling.receive_grant(turn, &from, grant),
            Message::Served(served) => {
                return control
                    .scheduling
                    .receive_totals(turn, &mut control.health, served);
            }
            Message::Demand(demand) => {
                (demand.service.clone(), home::Event::Demand { from, demand })
            }
            Message::Release(release) => {
                let changed = control.health.handle_release(turn.board, now, &release);
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
            .handle_home_event(turn, &mut control.health, &service, event);
    }

    fn handle_permit_message(&mut self, now: Timestamp, from: &host::Id, message: Message) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        let from = from.clone();
        match message {
            Message::Intent(intent) => {
                control
                    .tables
                    .handle_witness(turn, witness::Event::Intent { from, intent });
            }
            Message::Outcome(outcome) => {
                control
                    .tables
                    .handle_witness(turn, witness::Event::Outcome { from, outcome });
            }
            Message::Seal(seal) => {
                control
                    .tables
                    .handle_witness(turn, witness::Event::Seal { from, seal });
            }
            Message::WitnessReply(reply) => {
                control
                    .tables
                    .handle_owner(turn, owner::Event::WitnessReply { from, reply });
            }
            Message::Sealed(sealed) => {
                control
                    .tables
                    .handle_survivor(turn, survivor::Event::Sealed { from, sealed });
            }
            Message::Answer(answer) => {
                let event = survivor::Event::Answer {
                    from,
                    ticket: answer.ticket,
                    reply: answer.reply,
                };
                control.tables.handle_survivor(turn, event);
            }
            Message::Forward(forward) => control.tables.handle_forward(turn, &from, forward),
            _ => {}
        }
    }

    /// Processes the load reported by an engine.
    pub fn record_load(
        &mut self,
        now: Timestamp,
        upstream: &name::Upstream,
        running: u32,
        age: Span,
    ) {
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
            .handle_home_event(&mut turn, &mut control.health, &service, event);
    }

    /// Returns what is known of the software of an upstream.
    #[must_use]
    pub fn software(&self, upstream: &name::Upstream) -> Software {
        self.board.ended_runs.software(&self.board.hosts, upstream)
    }

    /// Returns whether an upstream of a service that takes new requests is known to run a software.
    #[must_use]
    pub fn is_served(&self, service: &name::Service, software: &Software) -> bool {
        let board = &self.board;
        board.ended_runs.is_served(&board.hosts, service, software)
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
            self.control.scheduling.is_home(name)
                && service.is_some_and(|service| service.kind == Kind::Model)
        });
        own.map(|(name, upstream)| (name.clone(), upstream.address))
            .collect()
    }

    /// Runs the timers of scheduling, which need a shorter period than the others.
    pub fn tick_scheduling(&mut self, now: Timestamp) {
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        control.scheduling.tick(turn, &mut control.health);
    }

    /// Runs the timers of all controllers.
    pub fn tick(&mut self, now: Timestamp) {
        self.handle_membership(now, event::Event::Tick);
        let next_slow_tick = self.next_slow_tick;
        let (mut turn, control) = self.split(now);
        let turn = &mut turn;
        control.tables.tick(turn);
        let changed = control.health.tick(turn.board, now);
        control
            .scheduling
            .set_limits(turn, &mut control.health, &control.membership, &changed);
        control.audit.tick(turn);
        let slow = now >= next_slow_tick;
        if slow {
            control.placement.handle(turn, tsw_place::Event::Tick);
            control.crash_detector.tick(turn);
        }
        if slow {
            self.next_slow_tick = now + SLOW_PERIOD;
        }
        self.tick_scheduling(now);
    }

    /// Returns whether requests are queued or running, so that scheduling needs the short tick period.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.control.scheduling.waiting() > 0 || self.board.homes.values().any(|h| h.running() > 0)
    }

    /// Announces to peers that this router leaves the fleet, and refuses calls with new keys.
    pub fn leave(&mut self, now: Timestamp) {
        self.handle_membership(now, event::Event::Leave);
        let (mut turn, control) = self.split(now);
        control.tables.handle_owner(&mut turn, owner::Event::Leave);
    }
}
