//! Waits until an upstream has room for a request, and holds the place.

use std::rc::Rc;

use indexmap::IndexMap;
use tokio::{sync::oneshot, time};
use tsw_base::time::{Span, Tick};
use tsw_event::{emit, Event};
use tsw_flow::{
    pool::Choice,
    queue::{self, QueuedRequest},
    service::Service,
};
use tsw_route::Name;

use crate::{answer::Refusal, request::Request, router::Router};

/// Requests at the front of the queue that are tried in turn when a place is free. Those behind
/// them would need the same places.
const LOOK_AHEAD: usize = 8;
/// Part of the time that a client has left after which it is asked to come back at the latest.
/// Clients ignore a longer time.
const RETURN_PART: u64 = 4;
/// Shortest time between two rounds in which free places of a service are given away. With a long
/// queue a round costs some 0.1 ms, and each event of a request would start one; the wait is small
/// beside the shortest objective of 150 ms.
const PUMP_PAUSE: Span = Span::from_millis(5);
/// Shortest time after which a client is asked to come back.
const RETURN_LEAST: Span = Span::from_millis(100);

/// A place at an upstream for one request. Dropping it frees the place.
pub struct Place {
    router: Rc<Router>,
    service: Name,
    choice: Choice,
    unread: bool,
}

impl Place {
    /// Returns the upstream.
    #[must_use]
    pub const fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Returns the service of the upstream.
    #[must_use]
    pub const fn service(&self) -> &Name {
        &self.service
    }

    /// Notes that the upstream has read the prompt.
    pub fn read(&mut self) {
        if std::mem::take(&mut self.unread) {
            let choice = &self.choice;
            self.router
                .with_service(&self.service, |service| service.pool.prefill_done(choice));
            self.router.pump(&self.service);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let (choice, unread) = (&self.choice, self.unread);
        self.router.with_service(&self.service, |service| {
            if unread {
                service.pool.prefill_done(choice);
            }
            service.pool.end(choice);
        });
        self.router.pump(&self.service);
    }
}

struct Waiter {
    request: Rc<Request>,
    avoid: Vec<Name>,
    place: oneshot::Sender<Place>,
}

/// The requests that wait, by service and number.
#[derive(Default)]
pub struct Waiters(IndexMap<(Name, u64), Waiter>);

/// When the free places of a service were last given away.
#[derive(Clone, Copy, Default)]
pub struct Pumped {
    at: Tick,
    /// Whether they will be given away again when the pause is over.
    again: bool,
}

/// Takes a request out of its queue when its task ends first.
struct Ticket {
    router: Rc<Router>,
    service: Name,
    number: u64,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let key = (self.service.clone(), self.number);
        self.router.waiters.borrow_mut().0.swap_remove(&key);
        self.router
            .with_service(&self.service, |service| service.queue.remove(self.number));
    }
}

/// A request was not given a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// When the client may come back.
    pub after: Span,
    /// Work up to which each team was served then, if the refusal depends on it.
    pub level: Option<f64>,
}

impl Refused {
    /// Makes a refusal that depends on no team's work.
    #[must_use]
    pub const fn new(refusal: Refusal, after: Span) -> Self {
        Self {
            refusal,
            after,
            level: None,
        }
    }
}

fn work(request: &Request) -> u64 {
    request.prompt.as_ref().map_or(1, |prompt| prompt.work())
}

impl Router {
    /// Waits until an upstream other than `avoid` has room for a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not to be sent any more.
    pub async fn place(
        self: &Rc<Self>,
        request: &Rc<Request>,
        avoid: &[Name],
    ) -> Result<Place, Refused> {
        let now = self.now();
        self.note_asked();
        let due = request.due();
        let age = self.statement_period();
        let wait = self.with_service(&request.service, |service| {
            let prompt = request.prompt.as_ref();
            let level = service.fair_share(now);
            if prompt.is_some_and(|prompt| service.is_too_long(prompt)) {
                return Err((Refusal::NoUpstream, level));
            }
            let team = request.team();
            service
                .accounts
                .record_request(now, &team.into(), work(request));
            let may_start = service.may_start(now, team, work(request), level);
            if may_start && !service.has_startable(now, level) {
                if let Some(choice) = service.choose(now, &self.domain, prompt, avoid, age) {
                    return Ok(Ok(begin(service, now, request, choice)));
                }
            }
            if service.pool.accepting_count() == 0 {
                return Err((Refusal::NoUpstream, level));
            }
            let until = patience(request, due, service.engine().is_some());
            let ahead = service.estimated_wait(now, team, level);
            if now + ahead >= until {
                return Err((Refusal::Late, level));
            }
            let objective = request.route.objective.as_micros();
            let objective = Span::from_micros(u64::try_from(objective).unwrap_or(u64::MAX));
            Ok(Err((
                service.queue.push(QueuedRequest {
                    number: 0,
                    team: request.team().into(),
                    work: work(request),
                    priority: request.priority,
                    objective_at: request.arrived + objective,
                    expires_at: until,
                }),
                until,
            )))
        });
        let (number, until) = match wait {
            None => return Err(Refused::new(Refusal::NoUpstream, RETURN_LEAST)),
            Some(Err((refusal, level))) => return Err(self.refused(request, refusal, level)),
            Some(Ok(Ok(choice))) => return Ok(self.hold(request, choice)),
            Some(Ok(Err(ticket))) => ticket,
        };
        self.queued(request, avoid, number, until, now).await
    }

    async fn queued(
        self: &Rc<Self>,
        request: &Rc<Request>,
        avoid: &[Name],
        number: u64,
        until: Tick,
        now: Tick,
    ) -> Result<Place, Refused> {
        let (place, granted) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            avoid: avoid.to_vec(),
            place,
        };
        let key = (request.service.clone(), number);
        self.waiters.borrow_mut().0.insert(key, waiter);
        let _ticket = Ticket {
            router: self.clone(),
            service: request.service.clone(),
            number,
        };
        self.metrics.waiting.inc();
        emit(
            Event::Queued,
            &[
                ("request", &request.id),
                ("team", &request.team()),
                ("service", &request.service),
            ],
        );
        self.pump(&request.service);
        let granted = time::timeout(until.since(now).as_duration(), granted).await;
        self.metrics.waiting.dec();
        match granted {
            Ok(Ok(place)) => Ok(place),
            _ => {
                let now = self.now();
                let level = self.with_service(&request.service, |service| service.fair_share(now));
                let level = level.unwrap_or(f64::INFINITY);
                Err(self.refused(request, Refusal::Late, level))
            }
        }
    }

    fn hold(self: &Rc<Self>, request: &Request, choice: Choice) -> Place {
        Place {
            router: self.clone(),
            service: request.service.clone(),
            choice,
            unread: true,
        }
    }

    /// Refuses a request, given the level. The client is asked to come back when what waits now has
    /// started, at a time drawn at random so that clients that were refused together do not return
    /// together.
    fn refused(&self, request: &Request, refusal: Refusal, level: f64) -> Refused {
        let now = self.now();
        let backlog = self.with_service(&request.service, |service| {
            service.estimated_wait(now, request.team(), level)
        });
        let left = request.deadline.since(now).as_micros() / RETURN_PART;
        let least = RETURN_LEAST.as_micros();
        let wait = backlog.unwrap_or(RETURN_LEAST).as_micros().max(least);
        let spread = 1.0 + rand::random::<f64>();
        let after = (wait as f64 * spread) as u64;
        Refused {
            refusal,
            after: Span::from_micros(after.min(left).max(least.min(left))),
            level: Some(level),
        }
    }

    /// Gives free places of a service to the requests that wait for them, at once or after a pause
    /// since the last time.
    pub fn pump(self: &Rc<Self>, name: &Name) {
        let waits = self.with_service(name, |service| !service.queue.is_empty());
        if waits != Some(true) {
            return;
        }
        let now = self.now();
        let last = self.pumped.borrow().get(name).copied().unwrap_or_default();
        if last.again {
            return;
        }
        let due = last.at + PUMP_PAUSE;
        let again = due > now;
        let at = if again { last.at } else { now };
        self.pumped
            .borrow_mut()
            .insert(name.clone(), Pumped { at, again });
        if !again {
            self.pump_now(name);
            return;
        }
        let (router, name) = (self.clone(), name.clone());
        actix_rt::spawn(async move {
            time::sleep(due.since(now).as_duration()).await;
            let at = router.now();
            let pumped = Pumped { at, again: false };
            router.pumped.borrow_mut().insert(name.clone(), pumped);
            router.pump_now(&name);
        });
    }

    fn pump_now(self: &Rc<Self>, name: &Name) {
        let (now, age) = (self.now(), self.statement_period());
        let mut given = Vec::new();
        {
            let mut services = self.services.borrow_mut();
            let Some(service) = services.get_mut(name) else {
                return;
            };
            if service.queue.is_empty() {
                return;
            }
            let mut waiters = self.waiters.borrow_mut();
            let mut blocked = 0;
            let level = service.fair_share(now);
            for waiting in service.queue.start_order(now, &service.accounts) {
                if !service.may_start(now, &waiting.team, waiting.work, level) {
                    continue;
                }
                let key = (name.clone(), waiting.number);
                let Some(waiter) = waiters.0.get(&key) else {
                    continue;
                };
                let prompt = waiter.request.prompt.as_ref();
                let choice = service.choose(now, &self.domain, prompt, &waiter.avoid, age);
                let Some(choice) = choice else {
                    blocked += 1;
                    if blocked >= LOOK_AHEAD {
                        break;
                    }
                    continue;
                };
                service.queue.remove(waiting.number);
                let choice = begin(service, now, &waiter.request, choice);
                let waiter = waiters.0.swap_remove(&key).expect("found above");
                given.push((waiter, choice));
            }
        }
        for (waiter, choice) in given {
            let place = self.hold(&waiter.request, choice);
            // A client that has left drops its receiver; the place is free again when it is dropped.
            drop(waiter.place.send(place));
        }
    }

    /// Gives free places of all services to the requests that wait for them.
    pub fn pump_all(self: &Rc<Self>) {
        let names: Vec<Name> = self.services.borrow().keys().cloned().collect();
        names.iter().for_each(|name| self.pump(name));
    }
}

fn begin(service: &mut Service, now: Tick, request: &Request, choice: Choice) -> Choice {
    service
        .accounts
        .record_start(now, &request.team().into(), work(request));
    service.pool.begin(&choice, request.prompt.as_ref());
    choice
}

fn patience(request: &Request, due: Tick, engine: bool) -> Tick {
    let objective = u64::try_from(request.route.objective.as_micros()).unwrap_or(u64::MAX);
    let objective = Span::from_micros(objective);
    queue::expires_at(request.arrived, objective, due, engine)
}
