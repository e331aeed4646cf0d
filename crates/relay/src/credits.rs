//! Credits for requests to upstreams that state the request rate that they take.

use std::rc::Rc;

use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    pool::{Question, Statement},
    rate::Grant,
};
use tsw_route::Name;

use crate::router::Router;

/// An upstream and its service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// The upstream.
    pub upstream: Name,
}

/// The answer of an allocator to the question of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The upstream.
    pub target: Target,
    /// When the question was asked, by the clock of the router that asked.
    pub asked_us: u64,
    /// Times until the credits start.
    pub starts_in: Vec<Span>,
    /// Time until the next credit of the upstream starts, for whichever router.
    pub next_in: Span,
}

impl Router {
    /// Returns the questions for the credits that requests need now.
    pub fn credit_questions(&self) -> Vec<(Name, Question)> {
        let now = self.now();
        let waiters = self.waiters.borrow();
        let mut services = self.services.borrow_mut();
        let limited = services
            .iter_mut()
            .filter(|(_, service)| service.pool.is_limited(now));
        let questions = limited.flat_map(|(name, service)| {
            let constraints = |number: u64| waiters.constraints(name, number);
            let planned = service.plan_credits(now, constraints);
            let questions = service.pool.questions(now, planned).into_iter();
            questions.map(|question| (name.clone(), question))
        });
        let questions: Vec<(Name, Question)> = questions.collect();
        for (service, question) in &questions {
            self.count_credits(service, "asked", question.credits.into());
        }
        questions
    }

    /// Returns whether this router needs credits, or others wait for credits of this one.
    #[must_use]
    pub fn needs_credits(&self) -> bool {
        let now = self.now();
        let services = self.services.borrow();
        services.values().any(|service| service.needs_credits(now))
    }

    /// Returns what an upstream last stated about its rate, if anything is known.
    #[must_use]
    pub fn statement(&self, target: &Target) -> Option<Statement> {
        let now = self.now();
        let statement = self.with_service(&target.service, |service| {
            service.pool.statement(now, &target.upstream)
        });
        statement.flatten()
    }

    /// Returns what upstreams stated about their rates within `max_age`.
    #[must_use]
    pub fn statements(&self, max_age: Span) -> Vec<(Target, Statement)> {
        let now = self.now();
        let services = self.services.borrow();
        let statements = services.iter().flat_map(|(name, service)| {
            let statements = service.pool.statements(now, max_age);
            statements.map(move |(upstream, statement)| {
                let (service, upstream) = (name.clone(), upstream.clone());
                (Target { service, upstream }, statement)
            })
        });
        statements.collect()
    }

    /// Applies what an upstream stated to another router about its rate.
    pub fn merge_statement(self: &Rc<Self>, target: &Target, statement: Statement, source: &str) {
        let now = self.now();
        let changed = self.with_service(&target.service, |service| {
            let pool = &mut service.pool;
            pool.merge_rate(now, &target.upstream, statement)
        });
        if changed == Some(true) {
            self.log_rate(target, statement, source);
        }
    }

    /// Logs that an upstream states a rate for the first time, or no longer does, and starts the requests
    /// that may go there now.
    pub(crate) fn log_rate(self: &Rc<Self>, target: &Target, statement: Statement, source: &str) {
        let Target { service, upstream } = target;
        match statement.rate {
            Some(rate) => emit(
                Event::UpstreamLimited,
                &[
                    ("upstream", upstream),
                    ("service", service),
                    ("run", &statement.run),
                    ("per_s", &rate.per_s()),
                    ("source", &source),
                ],
            ),
            None => {
                emit(
                    Event::UpstreamUnlimited,
                    &[
                        ("upstream", upstream),
                        ("service", service),
                        ("run", &statement.run),
                        ("source", &source),
                    ],
                );
                self.start_queued(service);
            }
        }
        self.count_upstreams();
    }

    /// Records the question of a router as the allocator of an upstream, see
    /// [`Pool::ask_allocator`](tsw_flow::pool::Pool::ask_allocator).
    pub fn ask_allocator(
        &self,
        since: Timestamp,
        router: &Name,
        target: &Target,
        credits: u32,
        asked_us: u64,
    ) {
        let now = self.now();
        self.with_service(&target.service, |service| {
            let (pool, question) = (&mut service.pool, (credits, asked_us));
            pool.ask_allocator(now, since, router, &target.upstream, question);
        });
    }

    /// Returns the time until the next credit for an upstream starts if this router is its allocator, and
    /// zero otherwise.
    #[must_use]
    pub fn next_credit_in(&self, target: &Target) -> Span {
        let now = self.now();
        let next_in = self.with_service(&target.service, |service| {
            service.pool.next_credit_in(now, &target.upstream)
        });
        next_in.flatten().unwrap_or(Span::ZERO)
    }

    /// Returns the credits that this router hands out now as an allocator.
    #[must_use]
    pub fn allocate_credits(&self) -> Vec<(Target, Grant)> {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let grants = services.iter_mut().flat_map(|(name, service)| {
            let grants = service.pool.allocate(now).into_iter();
            grants.map(|(upstream, grant)| {
                let service = name.clone();
                (Target { service, upstream }, grant)
            })
        });
        grants.collect()
    }

    /// Ends the allocation for upstreams unless `keep` returns true.
    pub fn retain_allocators(&self, keep: impl Fn(&Target) -> bool) {
        for (name, service) in self.services.borrow_mut().iter_mut() {
            service.pool.retain_allocators(|upstream| {
                let (service, upstream) = (name.clone(), upstream.clone());
                keep(&Target { service, upstream })
            });
        }
    }

    /// Applies the answer of an allocator, and starts waiting requests when its credits start.
    pub fn apply_answer(self: &Rc<Self>, answer: &Answer) {
        let Answer {
            target,
            starts_in,
            next_in,
            ..
        } = answer;
        let now = self.now();
        let asked_at = Timestamp::from_micros(answer.asked_us);
        let name = &target.service;
        self.with_service(name, |service| {
            let (pool, upstream) = (&mut service.pool, &target.upstream);
            pool.record_answer(now, upstream, asked_at, starts_in, *next_in);
        });
        self.count_credits(name, "granted", starts_in.len() as u64);
        if starts_in.is_empty() {
            self.refuse_waiting(name);
        }
        for starts_in in starts_in {
            if *starts_in == Span::ZERO {
                self.start_queued(name);
                continue;
            }
            let (router, name, starts_in) = (self.clone(), name.clone(), *starts_in);
            actix_rt::spawn(async move {
                time::sleep(starts_in.as_duration()).await;
                router.start_queued(&name);
            });
        }
    }

    /// Uses a part of the rate of an upstream if its allocator does not answer.
    pub fn credit_unanswered(self: &Rc<Self>, target: &Target) {
        let (now, routers) = (self.now(), self.router_count());
        self.with_service(&target.service, |service| {
            let pool = &mut service.pool;
            pool.credit_unanswered(now, &target.upstream, routers);
        });
        self.start_queued(&target.service);
    }

    pub(crate) fn count_credits(&self, service: &Name, step: &str, count: u64) {
        let credits = &self.metrics.credits;
        credits.with_label_values(&[&**service, step]).inc_by(count);
    }
}
