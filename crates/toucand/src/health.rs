//! Controller of token latency, retry and hedge budgets, and concurrency limits.

use std::collections::HashMap;

use indexmap::IndexMap;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_board::{health::ServiceHealth, Board, HealthByService, LimitsByService, WriteToken};
use tsw_config::service::Kind;
use tsw_event::{emit, Event};
use tsw_grant::message::{Grant, Id, Release, Report, State};
use tsw_health::{latency::Stream, limit::Limits};

/// Assumed time to the first token until one was measured.
const INITIAL_FIRST_TOKEN_TIMEOUT: Span = Span::from_millis(1_000);
/// Initial backoff after an upstream refused a connection.
const INITIAL_BACKOFF: Span = Span::from_millis(250);

/// Writes the sections about service health and limits.
#[derive(Debug)]
pub struct Controller {
    limits: WriteToken<LimitsByService>,
    service_health: WriteToken<HealthByService>,
    hedge_percent: u32,
    /// Active grants of this home, with their upstream and the time of the grant.
    grants: HashMap<Id, (name::Upstream, Timestamp)>,
    /// Upstreams that refuse connections.
    down: IndexMap<name::Upstream, Down>,
}

/// An upstream that refuses connections.
#[derive(Debug)]
struct Down {
    service: name::Service,
    failures: u32,
    until: Timestamp,
    probing: bool,
}

/// Changed limits by upstream, with the service of each.
pub type Changes = IndexMap<name::Upstream, (name::Service, u32)>;

impl Controller {
    /// Creates the controller with the write tokens of its sections.
    #[must_use]
    pub fn new(
        limits: WriteToken<LimitsByService>,
        service_health: WriteToken<HealthByService>,
        hedge_percent: u32,
    ) -> Self {
        Self {
            limits,
            service_health,
            hedge_percent,
            grants: HashMap::new(),
            down: IndexMap::new(),
        }
    }

    /// Calls `change` with the health of a service, which is created if it does not exist.
    pub fn with_service_health<R>(
        &self,
        board: &mut Board,
        service: &name::Service,
        change: impl FnOnce(&mut ServiceHealth) -> R,
    ) -> R {
        let service_health = board.service_health.write(&self.service_health);
        // The second lookup avoids cloning the name of a known service.
        if !service_health.contains_key(service) {
            service_health.insert(service.clone(), ServiceHealth::new(self.hedge_percent));
        }
        let index = service_health.get_index_of(service).unwrap_or(0);
        change(&mut service_health[index])
    }

    /// Returns the time at which a stream counts as stalled unless a token arrives first.
    #[must_use]
    pub fn stall_deadline(
        board: &Board,
        service: &name::Service,
        sent: Timestamp,
        stream: &Stream,
    ) -> Timestamp {
        match board.service_health.get(service) {
            Some(health) if health.first_token_seen => stream.stall_deadline(&health.latency),
            _ => sent + INITIAL_FIRST_TOKEN_TIMEOUT,
        }
    }

    fn limits<'a>(&self, board: &'a mut Board, service: &name::Service) -> &'a mut Limits {
        let all = board.limits.write(&self.limits);
        all.entry(service.clone()).or_default()
    }

    /// Sets the slots of an upstream that this router schedules and returns its concurrency limit.
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

    /// Removes an upstream that this router no longer schedules.
    pub fn remove(
        &mut self,
        board: &mut Board,
        service: &name::Service,
        upstream: &name::Upstream,
    ) {
        self.limits(board, service).remove(upstream);
        self.down.swap_remove(upstream);
    }

    /// Records that an upstream refused a connection. It gets no request for a backoff that doubles
    /// with each failed attempt, up to 16 times the first. Returns whether its limit changes.
    fn record_unreachable(
        &mut self,
        now: Timestamp,
        service: &name::Service,
        upstream: &name::Upstream,
    ) -> bool {
        let down = self.down.entry(upstream.clone()).or_insert_with(|| Down {
            service: service.clone(),
            failures: 0,
            until: Timestamp::ZERO,
            probing: true,
        });
        if !down.probing {
            return false;
        }
        down.until = now + (INITIAL_BACKOFF * (1 << down.failures.min(4)));
        down.failures += 1;
        down.probing = false;
        emit(
            Event::UpstreamDown,
            &[("upstream", upstream), ("failures", &down.failures)],
        );
        true
    }

    /// Records a grant of this home.
    pub fn record_grant(&mut self, now: Timestamp, grant: &Grant) {
        self.grants.insert(grant.id, (grant.upstream.clone(), now));
    }

    /// Processes the reports of an entry router and returns the limits that changed.
    pub fn handle_release(
        &mut self,
        board: &mut Board,
        now: Timestamp,
        release: &Release,
    ) -> Changes {
        let bundle = board.configuration.bundle();
        let service = bundle.and_then(|bundle| bundle.services.get(&release.service));
        let is_streaming = service.is_some_and(|service| service.kind == Kind::Model);
        let service = &release.service;
        let mut changes = Changes::new();
        for report in &release.reports {
            let Some((upstream, since)) = self.grant_of(report) else {
                continue;
            };
            let sample = match report.state {
                State::Running { token_latency } => Some(token_latency),
                // A stream without a token latency was too short to measure one, and its total
                // duration would not be comparable.
                State::Finished {
                    token_latency: None,
                } if !is_streaming => Some(now.since(since)),
                State::Finished { token_latency } => token_latency,
                _ => None,
            };
            if let Some(sample) = sample {
                self.limits(board, service).record_sample(&upstream, sample);
            }
            if report.state == State::Unreachable {
                if self.record_unreachable(now, service, &upstream) {
                    changes.insert(upstream, (service.clone(), 0));
                }
                continue;
            }
            let responds = matches!(report.state, State::Finished { .. } | State::Running { .. });
            if responds && self.down.swap_remove(&upstream).is_some() {
                emit(Event::UpstreamUp, &[("upstream", &upstream)]);
                let limit = self.limits(board, service).get(&upstream);
                changes.insert(upstream, (service.clone(), limit));
            }
        }
        changes
    }

    /// Returns the upstream and the time of the grant that a report refers to. A report of its end
    /// removes the grant.
    fn grant_of(&mut self, report: &Report) -> Option<(name::Upstream, Timestamp)> {
        match report.state {
            State::Started | State::Hinted { .. } => None,
            State::Running { .. } => self.grants.get(&report.id).cloned(),
            _ => self.grants.remove(&report.id),
        }
    }

    /// Updates the limits and returns those that changed.
    pub fn tick(&mut self, board: &mut Board, now: Timestamp) -> Changes {
        /// Grants whose end was not reported are removed after this time.
        const GRANT_EXPIRY: Span = Span::from_secs(3_600);
        if self.grants.len() > 10_000 {
            self.grants
                .retain(|_, (_, since)| now.since(*since) < GRANT_EXPIRY);
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
