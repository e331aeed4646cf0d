//! Asks other routers for credits for requests to upstreams that state a rate, and hands them out.
//!
//! The allocator of an upstream is the ready router of the highest rendezvous weight for it. A router hands
//! out credits only if it is the allocator by its own list of routers, so that two lists that differ lead
//! to no answer rather than to two.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use tokio::{net::UdpSocket, time};
use tsw_base::time::{Span, Timestamp};
use tsw_member::rendezvous;
use tsw_relay::credits::{Answer, Target};
use tsw_route::Name;

use crate::{
    credit_message::{Ask, Credits, StatedAnswer, MAX_ITEMS},
    gossip,
    state::State,
};

/// Time between two rounds while requests wait for credits.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time between two rounds otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a change of the ready routers in which a new allocator hands out nothing: others may still
/// ask the previous one, and its last credits are still in use.
const HANDOVER: Span = Span::from_millis(1_000);
/// Seed of the rendezvous hash for the choice of allocators; the same at all routers.
const ALLOCATOR_SEED: u64 = 0x7065_726d;

/// The ready routers, and when they last changed.
#[derive(Debug, Default)]
pub struct ReadyRouters {
    incarnations: IndexSet<u64>,
    changed_at: Timestamp,
}

/// Credits to hand out, by router and upstream.
#[derive(Default)]
struct Outgoing(IndexMap<(Name, Target), Handout>);

/// The credits that answer a question.
#[derive(Default)]
struct Handout {
    /// Time of the question by the clock of the router that asked.
    asked_us: u64,
    starts_in: Vec<Span>,
}

impl Outgoing {
    /// Records the question of a router to this one as the allocator.
    fn record_ask(&mut self, state: &State, since: Timestamp, from: &Name, ask: &Ask) {
        let target = ask.rate.target();
        let Ask {
            credits, asked_us, ..
        } = *ask;
        state
            .router
            .ask_allocator(since, from, &target, credits, asked_us);
        let handout = self.0.entry((from.clone(), target)).or_default();
        handout.asked_us = asked_us;
    }

    /// Adds the credits that this router hands out now.
    fn allocate(&mut self, state: &State) {
        for (target, grant) in state.router.allocate_credits() {
            let handout = self.0.entry((grant.router, target)).or_default();
            handout.asked_us = grant.asked_us;
            handout.starts_in.push(grant.starts_in);
        }
    }

    /// Returns the answers by the name of the router that asked.
    fn into_answers(self, state: &State) -> IndexMap<Name, Vec<StatedAnswer>> {
        let mut answers: IndexMap<Name, Vec<StatedAnswer>> = IndexMap::new();
        for ((router, target), handout) in self.0 {
            let Some(statement) = state.router.statement(&target) else {
                continue;
            };
            let next_in = state.router.next_credit_in(&target);
            let answer = Answer {
                target,
                asked_us: handout.asked_us,
                starts_in: handout.starts_in,
                next_in,
            };
            let of_router = answers.entry(router).or_default();
            of_router.push(StatedAnswer::new(&answer, &statement));
        }
        answers
    }
}

fn allocator_key(target: &Target) -> u64 {
    let service = rendezvous::weight(ALLOCATOR_SEED, &target.service);
    rendezvous::weight(service, &target.upstream)
}

/// Returns the gossip address of the allocator of an upstream; `None` if that is this router.
fn allocator(state: &State, target: &Target) -> Option<SocketAddr> {
    let roster = state.roster.borrow();
    let owner = roster.ready_owner(state.router.now(), allocator_key(target));
    (owner.incarnation != roster.me.incarnation).then_some(owner.gossip)
}

/// Ends the allocation for upstreams that have another allocator since the ready routers changed, and
/// returns when credits of new allocators start at the earliest.
fn update_ready_routers(state: &State) -> Timestamp {
    let now = state.router.now();
    let incarnations: IndexSet<u64> = {
        let roster = state.roster.borrow();
        let all = std::iter::once(&roster.me).chain(roster.live(now));
        let ready = all.filter(|member| member.ready);
        ready.map(|member| member.incarnation).collect()
    };
    let mut ready = state.ready_routers.borrow_mut();
    if ready.incarnations != incarnations {
        ready.incarnations = incarnations;
        ready.changed_at = now;
        state
            .router
            .retain_allocators(|target| allocator(state, target).is_none());
    }
    ready.changed_at + HANDOVER
}

/// Asks for the credits that waiting requests need, and hands out credits, until the process ends.
pub async fn run(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut wait = IDLE_INTERVAL;
    loop {
        // The timeout only ends the wait.
        let _ = time::timeout(wait, state.router.credits_needed.notified()).await;
        let since = update_ready_routers(&state);
        let mut outgoing = ask(&state, &socket, since).await;
        outgoing.allocate(&state);
        send_answers(&state, &socket, outgoing).await;
        if state.router.needs_credits() {
            wait = INTERVAL;
            // Requests that arrive together are asked for together.
            time::sleep(INTERVAL / 2).await;
        } else {
            wait = IDLE_INTERVAL;
        }
    }
}

/// Asks for the credits that waiting requests need, and records those to this router itself.
async fn ask(state: &Rc<State>, socket: &UdpSocket, since: Timestamp) -> Outgoing {
    let asked_us = state.router.now().as_micros();
    let mut outgoing = Outgoing::default();
    let mut asks: IndexMap<SocketAddr, Vec<Ask>> = IndexMap::new();
    for (service, question) in state.router.credit_questions() {
        let Some(ask) = Ask::new(&service, &question, asked_us) else {
            continue;
        };
        match allocator(state, &ask.rate.target()) {
            Some(address) => {
                state.router.credit_unanswered(&ask.rate.target());
                asks.entry(address).or_default().push(ask);
            }
            None => {
                let me = state.settings.borrow().host.as_str().into();
                outgoing.record_ask(state, since, &me, &ask);
            }
        }
    }
    for (address, asks) in asks {
        for asks in asks.chunks(MAX_ITEMS) {
            let credits = Credits {
                asks: asks.to_vec(),
                ..Credits::default()
            };
            gossip::send_credits(state, socket, address, credits).await;
        }
    }
    outgoing
}

/// Sends answers to the live routers that asked, and applies those to this router.
async fn send_answers(state: &Rc<State>, socket: &UdpSocket, outgoing: Outgoing) {
    for (router, answers) in outgoing.into_answers(state) {
        if *router == *state.settings.borrow().host {
            answers
                .iter()
                .for_each(|answer| state.router.apply_answer(&answer.answer()));
            continue;
        }
        let address = {
            let roster = state.roster.borrow();
            let mut live = roster.live(state.router.now());
            let found = live.find(|peer| *peer.host == *router);
            found.map(|peer| peer.gossip)
        };
        // A router that is not live has no use for credits.
        let Some(address) = address else { continue };
        for answers in answers.chunks(MAX_ITEMS) {
            let credits = Credits {
                answers: answers.to_vec(),
                ..Credits::default()
            };
            gossip::send_credits(state, socket, address, credits).await;
        }
    }
}

/// Applies questions and answers of another router, and answers its questions.
pub async fn receive(state: &Rc<State>, socket: &UdpSocket, from: &str, credits: Credits) {
    for answer in &credits.answers {
        answer.rate.apply(&state.router, from);
        state.router.apply_answer(&answer.answer());
    }
    if credits.asks.is_empty() {
        return;
    }
    let since = update_ready_routers(state);
    let router = from.into();
    let mut outgoing = Outgoing::default();
    for ask in &credits.asks {
        ask.rate.apply(&state.router, from);
        if allocator(state, &ask.rate.target()).is_none() {
            outgoing.record_ask(state, since, &router, ask);
        }
    }
    outgoing.allocate(state);
    send_answers(state, socket, outgoing).await;
    state.router.credits_needed.notify_one();
}
