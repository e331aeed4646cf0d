//! Controller of pace, budgets and concurrency limits.

use std::collections::HashMap;

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Tick},
};
use tsw_board::{health::Pulse, AllLimits, Board, Pen, Pulses};
use tsw_config::service::Kind;
use tsw_event::{emit, Event};
use tsw_grant::message::{Grant, Id, Release, State};
use tsw_health::{limit::Limits, pace::Stream};

/// Time to a first token that is assumed before one was seen.
const FIRST_GUESS: Span = Span::from_millis(1_000);

/// Owner of the sections about health.
#[derive(Debug)]
pub struct Controller {
    limits: Pen<AllLimits>,
    pulses: Pen<Pulses>,
    hedge_percent: u32,
    /// Grants of this home that are in use, with the time at which they were made.
    grants: HashMap<Id, (name::Upstream, Tick)>,
}

impl Controller {
    /// Takes the pens.
    #[must_use]
    pub fn new(limits: Pen<AllLimits>, pulses: Pen<Pulses>, hedge_percent: u32) -> Self {
        Self {
            limits,
            pulses,
            hedge_percent,
            grants: HashMap::new(),
        }
    }

    /// Changes the pulse of a service.
    pub fn pulse<R>(
        &self,
        board: &mut Board,
        service: &name::Service,
        change: impl FnOnce(&mut Pulse) -> R,
    ) -> R {
        let pulses = board.pulses.write(&self.pulses);
        // Looked up twice so that a known service costs no clone of its name.
        if !pulses.contains_key(service) {
            pulses.insert(service.clone(), Pulse::new(self.hedge_percent));
        }
        let index = pulses.get_index_of(service).unwrap_or(0);
        change(&mut pulses[index])
    }

    /// Returns when a stream is stalled unless it makes progress.
    #[must_use]
    pub fn stall(board: &Board, service: &name::Service, sent: Tick, stream: &Stream) -> Tick {
        match board.pulses.get(service) {
            Some(pulse) if pulse.begun => stream.deadline(&pulse.pace),
            _ => sent + FIRST_GUESS,
        }
    }

    fn limits<'a>(&self, board: &'a mut Board, service: &name::Service) -> &'a mut Limits {
        let all = board.limits.write(&self.limits);
        all.entry(service.clone()).or_default()
    }

    /// Sets the slots of an upstream that this router schedules, and returns its limit.
    pub fn set_slots(
        &self,
        board: &mut Board,
        service: &name::Service,
        upstream: &name::Upstream,
        slots: u32,
    ) -> u32 {
        self.limits(board, service).set_slots(upstream, slots)
    }

    /// Forgets an upstream that this router no longer schedules.
    pub fn remove(&self, board: &mut Board, service: &name::Service, upstream: &name::Upstream) {
        self.limits(board, service).remove(upstream);
    }

    /// Notes a grant of this home.
    pub fn granted(&mut self, now: Tick, grant: &Grant) {
        self.grants.insert(grant.id, (grant.upstream.clone(), now));
    }

    /// Takes in the pace that an entry router reports.
    pub fn released(&mut self, board: &mut Board, now: Tick, release: &Release) {
        let bundle = board.configuration.bundle();
        let service = bundle.and_then(|bundle| bundle.services.get(&release.service));
        let streams = service.is_some_and(|service| service.kind == Kind::Model);
        for report in &release.reports {
            let sample = match report.state {
                State::Started => continue,
                State::Running { pace } => {
                    let grant = self.grants.get(&report.id);
                    grant.map(|(upstream, _)| (upstream.clone(), pace))
                }
                State::Finished { pace } => {
                    let grant = self.grants.remove(&report.id);
                    // A stream without a pace was too short for one; its whole time is no pace.
                    let whole = |since| (!streams).then_some(now.since(since));
                    grant.and_then(|(upstream, since)| {
                        Some((upstream, pace.or_else(|| whole(since))?))
                    })
                }
                State::Failed | State::Unused => {
                    self.grants.remove(&report.id);
                    None
                }
            };
            if let Some((upstream, pace)) = sample {
                self.limits(board, &release.service).sample(&upstream, pace);
            }
        }
    }

    /// Reconsiders the limits; returns those that changed.
    pub fn tick(
        &mut self,
        board: &mut Board,
        now: Tick,
    ) -> IndexMap<name::Upstream, (name::Service, u32)> {
        /// Grants whose end was not reported are forgotten after this time.
        const LOST: Span = Span::from_secs(3_600);
        if self.grants.len() > 10_000 {
            self.grants.retain(|_, (_, since)| now.since(*since) < LOST);
        }
        let mut changed = IndexMap::new();
        for (service, limits) in board.limits.write(&self.limits) {
            for (upstream, limit) in limits.tick(now) {
                emit(
                    Event::LimitChanged,
                    &[("upstream", &upstream), ("limit", &limit)],
                );
                changed.insert(upstream, (service.clone(), limit));
            }
        }
        changed
    }
}
