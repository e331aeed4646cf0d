//! Controller of pace, budgets and concurrency limits.

use std::collections::HashMap;

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Tick},
};
use tsw_board::{health::ServiceHealth, Board, HealthByService, LimitsByService, WriteToken};
use tsw_config::service::Kind;
use tsw_event::{emit, Event};
use tsw_grant::message::{Grant, Id, Release, Report, State};
use tsw_health::{latency::Stream, limit::Limits};

/// Time to a first token that is assumed before one was seen.
const FIRST_GUESS: Span = Span::from_millis(1_000);
/// Time for which an upstream that accepts no connection gets no request, after the first failure.
const DOWN_FIRST: Span = Span::from_millis(250);

/// Owner of the sections about health.
#[derive(Debug)]
pub struct Controller {
    limits: WriteToken<LimitsByService>,
    pulses: WriteToken<HealthByService>,
    hedge_percent: u32,
    /// Grants of this home that are in use, with the time at which they were made.
    grants: HashMap<Id, (name::Upstream, Tick)>,
    /// Upstreams that accept no connection.
    down: IndexMap<name::Upstream, Down>,
}

/// An upstream that accepts no connection.
#[derive(Debug)]
struct Down {
    service: name::Service,
    failures: u32,
    until: Tick,
    probing: bool,
}

/// A change of an upstream's limit, with its service.
pub type Changes = IndexMap<name::Upstream, (name::Service, u32)>;

impl Controller {
    /// Takes the pens.
    #[must_use]
    pub fn new(
        limits: WriteToken<LimitsByService>,
        pulses: WriteToken<HealthByService>,
        hedge_percent: u32,
    ) -> Self {
        Self {
            limits,
            pulses,
            hedge_percent,
            grants: HashMap::new(),
            down: IndexMap::new(),
        }
    }

    /// Changes the pulse of a service.
    pub fn pulse<R>(
        &self,
        board: &mut Board,
        service: &name::Service,
        change: impl FnOnce(&mut ServiceHealth) -> R,
    ) -> R {
        let pulses = board.service_health.write(&self.pulses);
        // Looked up twice so that a known service costs no clone of its name.
        if !pulses.contains_key(service) {
            pulses.insert(service.clone(), ServiceHealth::new(self.hedge_percent));
        }
        let index = pulses.get_index_of(service).unwrap_or(0);
        change(&mut pulses[index])
    }

    /// Returns when a stream is stalled unless it makes progress.
    #[must_use]
    pub fn stall(board: &Board, service: &name::Service, sent: Tick, stream: &Stream) -> Tick {
        match board.service_health.get(service) {
            Some(pulse) if pulse.first_token_seen => stream.stall_deadline(&pulse.latency),
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
        let limit = self.limits(board, service).set_slots(upstream, slots);
        self.cap(upstream, limit)
    }

    fn cap(&self, upstream: &name::Upstream, limit: u32) -> u32 {
        match self.down.get(upstream) {
            Some(down) if down.probing => limit.min(1),
            Some(_) => 0,
            None => limit,
        }
    }

    /// Forgets an upstream that this router no longer schedules.
    pub fn remove(
        &mut self,
        board: &mut Board,
        service: &name::Service,
        upstream: &name::Upstream,
    ) {
        self.limits(board, service).remove(upstream);
        self.down.swap_remove(upstream);
    }

    /// Notes that an upstream accepts no connection. It gets no request for a time that doubles
    /// with each failed attempt. Returns whether its limit changes.
    fn unreachable(
        &mut self,
        now: Tick,
        service: &name::Service,
        upstream: &name::Upstream,
    ) -> bool {
        let down = self.down.entry(upstream.clone()).or_insert_with(|| Down {
            service: service.clone(),
            failures: 0,
            until: Tick::ZERO,
            probing: true,
        });
        if !down.probing {
            return false;
        }
        down.until = now + (DOWN_FIRST * (1 << down.failures.min(4)));
        down.failures += 1;
        down.probing = false;
        emit(
            Event::UpstreamDown,
            &[("upstream", upstream), ("failures", &down.failures)],
        );
        true
    }

    /// Notes a grant of this home.
    pub fn granted(&mut self, now: Tick, grant: &Grant) {
        self.grants.insert(grant.id, (grant.upstream.clone(), now));
    }

    /// Takes in what an entry router reports; returns the limits that changed.
    pub fn released(&mut self, board: &mut Board, now: Tick, release: &Release) -> Changes {
        let bundle = board.configuration.bundle();
        let service = bundle.and_then(|bundle| bundle.services.get(&release.service));
        let streams = service.is_some_and(|service| service.kind == Kind::Model);
        let service = &release.service;
        let mut changes = Changes::new();
        for report in &release.reports {
            let Some((upstream, since)) = self.grant_of(report) else {
                continue;
            };
            let pace = match report.state {
                State::Running { pace } => Some(pace),
                // A stream without a pace was too short for one; its whole time is no pace.
                State::Finished { pace: None } if !streams => Some(now.since(since)),
                State::Finished { pace } => pace,
                _ => None,
            };
            if let Some(pace) = pace {
                self.limits(board, service).record_sample(&upstream, pace);
            }
            if report.state == State::Unreachable {
                if self.unreachable(now, service, &upstream) {
                    changes.insert(upstream, (service.clone(), 0));
                }
                continue;
            }
            let answers = matches!(report.state, State::Finished { .. } | State::Running { .. });
            if answers && self.down.swap_remove(&upstream).is_some() {
                emit(Event::UpstreamUp, &[("upstream", &upstream)]);
                let limit = self.limits(board, service).get(&upstream);
                changes.insert(upstream, (service.clone(), limit));
            }
        }
        changes
    }

    /// Returns upstream and time of the grant that a report is about. A report of its end removes it.
    fn grant_of(&mut self, report: &Report) -> Option<(name::Upstream, Tick)> {
        match report.state {
            State::Started | State::Hinted { .. } => None,
            State::Running { .. } => self.grants.get(&report.id).cloned(),
            _ => self.grants.remove(&report.id),
        }
    }

    /// Reconsiders the limits; returns those that changed.
    pub fn tick(&mut self, board: &mut Board, now: Tick) -> Changes {
        /// Grants whose end was not reported are forgotten after this time.
        const LOST: Span = Span::from_secs(3_600);
        if self.grants.len() > 10_000 {
            self.grants.retain(|_, (_, since)| now.since(*since) < LOST);
        }
        let mut changes = Changes::new();
        for (service, limits) in board.limits.write(&self.limits) {
            for (upstream, limit) in limits.update(now) {
                emit(
                    Event::LimitChanged,
                    &[("upstream", &upstream), ("limit", &limit)],
                );
                let limit = self.cap(&upstream, limit);
                changes.insert(upstream, (service.clone(), limit));
            }
        }
        for (upstream, down) in &mut self.down {
            if !down.probing && now >= down.until {
                down.probing = true;
                changes.insert(upstream.clone(), (down.service.clone(), 1));
            }
        }
        changes
    }
}
