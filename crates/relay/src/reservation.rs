//! Waits until an upstream has a free slot for a request, and reserves it.

use std::rc::Rc;

use indexmap::IndexMap;
use tokio::{sync::oneshot, time};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    mix::{Balance, Demand},
    origin::Software,
    pool::Choice,
    queue::{QueuedRequest, Standing},
    repeat,
    service::Service,
};
use tsw_route::Name;

use crate::{local_response::Refusal, request::Request, router::Router};

mod decision;
mod refuse;

pub use decision::{Decision, Plan};
pub use refuse::Refused;
pub(crate) use refuse::RETRY_AFTER_DIVISOR;
use refuse::{late, MIN_RETRY_AFTER};

/// Maximum number of queued requests for which no upstream is found in one round. Those behind them
/// would need the same slots.
const MAX_BLOCKED: usize = 8;
/// Minimum time between two rounds that assign a service's free slots to its queued requests. With a
/// long queue a round costs about 0.1 ms, and each event of a request would start one; the delay is
/// small compared with the shortest objective, 150 ms.
const MIN_START_INTERVAL: Span = Span::from_millis(5);

/// A slot at an upstream reserved for one request. Dropping it frees the slot.
pub struct Reservation {
    router: Rc<Router>,
    service: Name,
    choice: Choice,
    prefill_pending: bool,
}

impl Reservation {
    /// Returns the chosen upstream.
    #[must_use]
    pub const fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Returns the service of the upstream.
    #[must_use]
    pub const fn service(&self) -> &Name {
        &self.service
    }

    /// Records that the upstream has finished the prefill of the prompt.
    pub fn record_prefill_done(&mut self) {
        if std::mem::take(&mut self.prefill_pending) {
            let choice = &self.choice;
            self.router.with_service(&self.service, |service| {
                service.pool.record_prefill_done(choice)
            });
            self.router.start_queued(&self.service);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (choice, prefill_pending) = (&self.choice, self.prefill_pending);
        self.router.with_service(&self.service, |service| {
            if prefill_pending {
                service.pool.record_prefill_done(choice);
            }
            service.pool.end(choice);
        });
        self.router.start_queued(&self.service);
    }
}

/// What a request needs besides a free slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Needs<'a> {
    /// Upstreams to exclude because they failed this request.
    pub avoid: &'a [Name],
    /// Software of the upstream; `None` if any may run the request.
    pub software: Option<&'a Software>,
    /// Time of the last event if its response has begun.
    pub last_event_at: Option<Timestamp>,
}

impl Needs<'_> {
    fn standing(&self, request: &Request) -> Standing {
        request.standing(self.last_event_at.is_some())
    }
}

struct Waiter {
    request: Rc<Request>,
    avoid: Vec<Name>,
    software: Option<Software>,
    until: Timestamp,
    sender: oneshot::Sender<Reservation>,
}

/// The queued requests by service and queue number.
#[derive(Default)]
pub struct Waiters(IndexMap<(Name, u64), Waiter>);

impl Waiters {
    /// Returns the upstreams that a queued request must not use, and the software that it needs.
    pub(crate) fn constraints(
        &self,
        service: &Name,
        number: u64,
    ) -> Option<(&[Name], Option<&Software>)> {
        let waiter = self.0.get(&(service.clone(), number))?;
        Some((&waiter.avoid, waiter.software.as_ref()))
    }
}

/// What was done about a request that arrived.
enum Step {
    Started(Choice),
    /// With its number in the queue, and when it expires there.
    Queued(u64, Timestamp),
    Unavailable {
        pause: Span,
        wait: Span,
    },
    /// With the fair share.
    Refused(Refusal, f64),
}

/// When a service's free slots were last assigned to queued requests.
#[derive(Clone, Copy, Default)]
pub struct StartState {
    at: Timestamp,
    /// Whether another round is scheduled for the end of the minimum interval.
    scheduled: bool,
}

/// Removes a request from its queue when its task ends before it gets a slot.
struct QueueGuard {
    router: Rc<Router>,
    service: Name,
    number: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let key = (self.service.clone(), self.number);
        self.router.metrics.waiting.dec();
        self.router.waiters.borrow_mut().0.swap_remove(&key);
        self.router
            .with_service(&self.service, |service| service.queue.remove(self.number));
    }
}

fn demand(request: &Request) -> Demand {
    Demand {
        work: request.prompt.as_ref().map_or(1, |prompt| prompt.work()),
        objective: request.objective(),
    }
}

impl Router {
    /// Waits until an upstream has a free slot for a request, and reserves it.
    ///
    /// # Errors
    ///
    /// Returns why the request is not sent.
    pub async fn reserve(
        self: &Rc<Self>,
        request: &Rc<Request>,
        needs: Needs<'_>,
    ) -> Result<Reservation, Refused> {
        let now = self.now();
        let (standing, is_repeated) = self.standing(now, request, &needs);
        let demand = demand(request);
        self.record_slot_request();
        let step = self.with_service(&request.service, |service| {
            if !decision::is_unservable(service, request, &needs) {
                service.record_request(now, &request.team().into(), demand, is_repeated);
            }
            match self.decide(service, now, request, &needs, standing) {
                Decision::Start(choice) => {
                    Step::Started(self.record_start(service, now, request, choice))
                }
                Decision::Wait(until) => {
                    let queued = queued(request, standing, until, false);
                    Step::Queued(service.queue.push(queued), until)
                }
                Decision::Unavailable { pause, wait } => Step::Unavailable { pause, wait },
                Decision::Refuse(refusal) => Step::Refused(refusal, service.fair_share(now)),
            }
        });
        let limited = self.with_service(&request.service, |service| service.pool.is_limited(now));
        if limited == Some(true) {
            self.credits_needed.notify_one();
        }
        let (number, until) = match step {
            None => return Err(Refused::new(Refusal::NoUpstream, MIN_RETRY_AFTER)),
            Some(Step::Started(choice)) => return Ok(self.reservation(request, choice)),
            Some(Step::Queued(number, until)) => (number, until),
            Some(Step::Unavailable { pause, wait }) => {
                return Err(self.refuse_wait(request, pause, wait))
            }
            Some(Step::Refused(refusal, fair_share)) => {
                return Err(self.refuse(request, standing, refusal, fair_share))
            }
        };
        self.wait_in_queue(request, needs, standing, (number, until))
            .await
    }

    /// Waits until the request is due for a slot at an upstream other than `avoid`, for a request that
    /// runs at a silent one. `begun` states whether its response has begun.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unknown or the request is due.
    pub(crate) async fn reserve_for_move(
        self: &Rc<Self>,
        request: &Rc<Request>,
        needs: Needs<'_>,
    ) -> Result<Reservation, Refused> {
        let (standing, due) = (needs.standing(request), request.due());
        let number = self.with_service(&request.service, |service| {
            service.queue.push(queued(request, standing, due, true))
        });
        let number = number.ok_or(Refused::new(Refusal::NoUpstream, MIN_RETRY_AFTER))?;
        self.wait_in_queue(request, needs, standing, (number, due))
            .await
    }

    async fn wait_in_queue(
        self: &Rc<Self>,
        request: &Rc<Request>,
        needs: Needs<'_>,
        standing: Standing,
        (number, until): (u64, Timestamp),
    ) -> Result<Reservation, Refused> {
        let (sender, granted) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            avoid: needs.avoid.to_vec(),
            software: needs.software.cloned(),
            until,
            sender,
        };
        let key = (request.service.clone(), number);
        self.waiters.borrow_mut().0.insert(key, waiter);
        self.metrics.waiting.inc();
        let _guard = QueueGuard {
            router: self.clone(),
            service: request.service.clone(),
            number,
        };
        emit(
            Event::Queued,
            &[
                ("request", &request.id),
                ("team", &request.team()),
                ("service", &request.service),
            ],
        );
        self.start_queued(&request.service);
        let left = until.since(self.now()).as_duration();
        let granted = time::timeout(left, granted).await;
        match granted {
            Ok(Ok(reservation)) => Ok(reservation),
            _ => {
                let now = self.now();
                let team = request.team();
                let waits = self.with_service(&request.service, |service| {
                    let (pool, avoid, software) = (&service.pool, needs.avoid, needs.software);
                    let pause = pool.shortest_pause(now, avoid, software);
                    (pause, pool.shortest_wait(now, avoid, software))
                });
                if let Some((pause, wait)) = waits.filter(|(_, wait)| *wait > Span::ZERO) {
                    return Err(self.refuse_wait(request, pause, wait));
                }
                let share = self.with_service(&request.service, |service| {
                    let fair_share = service.fair_share(now);
                    let wait =
                        service.estimated_wait(now, team, (demand(request), standing), fair_share);
                    (fair_share, wait)
                });
                let (fair_share, wait) = share.unwrap_or((f64::INFINITY, Span::ZERO));
                Err(self.refuse(request, standing, late(wait), fair_share))
            }
        }
    }

    /// Returns the key by which a request is recognized if its client sends it again; `None` if that does not matter.
    fn repeat_key(&self, request: &Request) -> Option<repeat::Key> {
        let few_slots = self.with_service(&request.service, |service| service.has_few_slots());
        request
            .repeat_key()
            .filter(|_| few_slots.unwrap_or_default())
    }

    /// Returns how far a request has come, and whether its client sends it again after a refusal.
    fn standing(&self, now: Timestamp, request: &Request, needs: &Needs<'_>) -> (Standing, bool) {
        let first = needs.standing(request);
        let Some(key) = self.repeat_key(request) else {
            return (first, false);
        };
        let refusals = self.refusals.borrow();
        let standing = refusals.standing(now, key, request.objective(), first);
        let is_repeated = refusals.first_arrival(key).is_some();
        if is_repeated {
            let objective = match standing {
                Standing::Overdue => "overdue",
                _ => "possible",
            };
            let labels = [&*request.service, objective];
            self.metrics.repeated.with_label_values(&labels).inc();
        }
        (standing, is_repeated)
    }

    fn record_start(
        &self,
        service: &mut Service,
        now: Timestamp,
        request: &Request,
        choice: Choice,
    ) -> Choice {
        let (team, demand) = (request.team(), demand(request));
        if service.has_few_slots() {
            let balance = match service.balance(now, team, demand) {
                Balance::Behind => "behind",
                Balance::Even => "even",
                Balance::Ahead => "ahead",
            };
            let labels = [&*request.service, balance];
            self.metrics.started_kinds.with_label_values(&labels).inc();
        }
        service.record_start(now, &team.into(), demand);
        service.pool.use_credit(now, &choice);
        service.pool.begin(&choice, request.prompt.as_ref());
        choice
    }

    fn reservation(self: &Rc<Self>, request: &Request, choice: Choice) -> Reservation {
        Reservation {
            router: self.clone(),
            service: request.service.clone(),
            choice,
            prefill_pending: true,
        }
    }

    /// Assigns free slots of a service to its queued requests, at once or when the minimum interval
    /// since the last round has passed.
    pub fn start_queued(self: &Rc<Self>, name: &Name) {
        let has_queued = self.with_service(name, |service| !service.queue.is_empty());
        if has_queued != Some(true) {
            return;
        }
        let now = self.now();
        let last = self
            .start_states
            .borrow()
            .get(name)
            .copied()
            .unwrap_or_default();
        if last.scheduled {
            return;
        }
        let next_at = last.at + MIN_START_INTERVAL;
        let scheduled = next_at > now;
        let at = if scheduled { last.at } else { now };
        self.start_states
            .borrow_mut()
            .insert(name.clone(), StartState { at, scheduled });
        if !scheduled {
            self.start_queued_now(name);
            return;
        }
        let (router, name) = (self.clone(), name.clone());
        actix_rt::spawn(async move {
            time::sleep(next_at.since(now).as_duration()).await;
            let at = router.now();
            let state = StartState {
                at,
                scheduled: false,
            };
            router.start_states.borrow_mut().insert(name.clone(), state);
            router.start_queued_now(&name);
        });
    }

    fn start_queued_now(self: &Rc<Self>, name: &Name) {
        let (now, interval) = (self.now(), self.report_interval());
        let mut assigned = Vec::new();
        {
            let mut services = self.services.borrow_mut();
            let Some(service) = services.get_mut(name) else {
                return;
            };
            // In an overload, most rounds find all upstreams full, and ordering a long queue costs much time.
            if service.queue.is_empty() || !service.has_room(now) {
                return;
            }
            let mut waiters = self.waiters.borrow_mut();
            // Requests for one software do not delay those for others.
            let mut blocked: IndexMap<Option<Software>, usize> = IndexMap::new();
            let fair_share = service.fair_share(now);
            for waiting in service.start_order(now) {
                let limit = waiting.standing.share_limit(fair_share);
                if !service.may_start(now, &waiting.team, waiting.demand, limit)
                    || service.is_held(now, &waiting.team, waiting.standing, fair_share)
                {
                    continue;
                }
                let key = (name.clone(), waiting.number);
                let Some(waiter) = waiters.0.get(&key) else {
                    continue;
                };
                let full = blocked.get(&waiter.software).copied().unwrap_or_default();
                if full >= MAX_BLOCKED {
                    continue;
                }
                let prompt = waiter.request.prompt.as_ref();
                let (avoid, software) = (&waiter.avoid, waiter.software.as_ref());
                let choice = service.choose(now, &self.domain, prompt, avoid, software, interval);
                let Some(choice) = choice else {
                    if waiting.moves || waiting.standing > Standing::New {
                        continue;
                    }
                    *blocked.entry(waiter.software.clone()).or_default() += 1;
                    continue;
                };
                service.queue.remove(waiting.number);
                let choice = self.record_start(service, now, &waiter.request, choice);
                let waiter = waiters.0.swap_remove(&key).expect("found above");
                assigned.push((waiter, choice));
            }
        }
        for (waiter, choice) in assigned {
            let reservation = self.reservation(&waiter.request, choice);
            // If the client has disconnected, its receiver is dropped and the unsent reservation frees
            // its slot when it is dropped here.
            drop(waiter.sender.send(reservation));
        }
    }

    /// Assigns free slots of all services to their queued requests.
    pub fn start_all_queued(self: &Rc<Self>) {
        let names: Vec<Name> = self.services.borrow().keys().cloned().collect();
        names.iter().for_each(|name| self.start_queued(name));
    }
}

/// Returns the entry of a request in the queue, which assigns its number.
fn queued(
    request: &Request,
    standing: Standing,
    expires_at: Timestamp,
    moves: bool,
) -> QueuedRequest {
    QueuedRequest {
        number: 0,
        team: request.team().into(),
        demand: demand(request),
        priority: request.priority,
        objective_at: request.arrived + request.objective(),
        expires_at,
        standing,
        moves,
    }
}
