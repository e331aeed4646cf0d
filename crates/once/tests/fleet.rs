//! Simulates routers that act as owners, witnesses and survivors while messages are lost,
//! duplicated and delayed, and processes restart and pause.
//!
//! A schedule is a list of steps that proptest generates and shrinks. Each router has its own
//! clock; a router is paused while its clock stands still and the others act.

use std::collections::HashMap;

use proptest::{prelude::*, strategy::ValueTree};
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_once::{
    message::{Digest, End, Intent, Outcome, Reply, Response, Seal, Sealed, WitnessReply},
    owner, permit, survivor, witness, Key, Limits, Run,
};

const ROUTERS: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    /// A router issues a permit, from which the caller derives two keys.
    Locate { router: usize },
    /// A caller sends a call to a router.
    Call { router: usize, key: usize, body: u8 },
    /// A message arrives; with `duplicate`, a copy stays in flight.
    Deliver { index: usize, duplicate: bool },
    /// A message is lost.
    Drop { index: usize },
    /// The clock of a router advances.
    Advance { router: usize, millis: u64 },
    /// A router loses its memory and starts with a new incarnation.
    Restart { router: usize },
    /// A router is told, rightly or wrongly, that the process of a peer ended.
    Suspect { router: usize, peer: usize },
    /// A router starts to leave.
    Leave { router: usize },
    /// A run advances; see [`Fleet::run`].
    Run { index: usize, choice: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    // Mostly pick one of the oldest messages, so that most exchanges finish.
    let index = prop_oneof![3 => 0..4_usize, 1 => 0..64_usize];
    let millis = prop_oneof![8 => Just(60), 4 => Just(250), 2 => Just(1_100), 1 => Just(9_000)];
    prop_oneof![
        20 => router.clone().prop_map(|router| Step::Locate { router }),
        60 => (router.clone(), 0..6_usize, 0..8_u8).prop_map(|(router, key, body)| Step::Call {
            router,
            key,
            body: u8::from(body == 0),
        }),
        400 => (index.clone(), prop::bool::weighted(0.2))
            .prop_map(|(index, duplicate)| Step::Deliver { index, duplicate }),
        10 => index.clone().prop_map(|index| Step::Drop { index }),
        40 => (router.clone(), millis)
            .prop_map(|(router, millis)| Step::Advance { router, millis }),
        5 => router.clone().prop_map(|router| Step::Restart { router }),
        10 => (router.clone(), 0..ROUTERS)
            .prop_map(|(router, peer)| Step::Suspect { router, peer }),
        1 => router.prop_map(|router| Step::Leave { router }),
        80 => (index, 0..8_u8).prop_map(|(index, choice)| Step::Run { index, choice }),
    ]
}

#[derive(Clone, Debug)]
enum Payload {
    Intent(Intent),
    WitnessReply(WitnessReply),
    Outcome(Outcome),
    Seal(Seal),
    Sealed(Sealed),
    Forward(u64, Key, Digest),
    Answer(u64, Reply),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: host::Id,
    to: name::Host,
    payload: Payload,
}

/// Who waits for the reply of an owner: a caller of this router, or a peer that forwarded the call.
#[derive(Clone, Debug)]
enum Waiter {
    Caller(u64, Key, Digest),
    Peer(host::Id, u64),
}

struct Router {
    id: host::Id,
    now: Timestamp,
    issuer: permit::Issuer,
    owner: owner::Table,
    witness: witness::Table,
    survivor: survivor::Table,
}

impl Router {
    fn new(index: usize, incarnation: u64, now: Timestamp) -> Self {
        let id = host::Id {
            host: host(index),
            incarnation: host::Incarnation::new(incarnation, 0),
        };
        let limits = Limits {
            records: 4,
            team_records: 3,
            ..Limits::default()
        };
        let timing = owner::Timing {
            retain: Span::from_secs(10),
            ..owner::Timing::default()
        };
        let signer = permit::Signer::new([1; 32]);
        Self {
            issuer: permit::Issuer::new(signer, id.clone(), Span::from_secs(8)),
            owner: owner::Table::new(id.clone(), timing, limits),
            witness: witness::Table::new(id.clone(), Span::from_secs(9), limits),
            survivor: survivor::Table::new(survivor::Timing::default()),
            id,
            now,
        }
    }
}

fn host(index: usize) -> name::Host {
    format!("r{index}").parse().expect("valid host name")
}

/// What happened in a schedule: the runs of each key, and the replies that callers got.
#[derive(Default)]
struct History {
    runs: HashMap<permit::Id, Vec<Digest>>,
    not_run: Vec<(permit::Id, Digest)>,
    conflict: Vec<(permit::Id, Digest)>,
    complete: Vec<(permit::Id, Digest)>,
}

impl History {
    /// Checks that each key ran at most once and that every reply agrees with the runs.
    fn check(&self) {
        let none = Vec::new();
        for (key, runs) in &self.runs {
            assert!(runs.len() <= 1, "{key:?} ran {} times", runs.len());
        }
        for (key, _) in &self.not_run {
            let runs = self.runs.get(key).unwrap_or(&none);
            assert!(runs.is_empty(), "{key:?} ran, but a caller got \"not run\"");
        }
        for (key, digest) in &self.conflict {
            let runs = self.runs.get(key).unwrap_or(&none);
            assert!(
                !runs.contains(digest),
                "{key:?} ran, but its request was refused as a conflict"
            );
        }
        for (key, digest) in &self.complete {
            let runs = self.runs.get(key).unwrap_or(&none);
            assert!(
                runs.contains(digest),
                "{key:?} is complete, but this request did not run"
            );
        }
    }
}

struct Fleet {
    routers: Vec<Router>,
    incarnation: u64,
    in_flight: Vec<Envelope>,
    keys: Vec<Key>,
    last_ticket: u64,
    waiters: HashMap<u64, Waiter>,
    forwarded: HashMap<u64, (Key, Digest)>,
    /// Calls without a final reply, with the router that the caller is connected to.
    unanswered: HashMap<u64, host::Id>,
    /// Runs in progress: router, run, digest of the request, and whether the upstream got the call.
    runs: Vec<(host::Id, Run, Digest, bool)>,
    /// Digest of the first call with each key at each router.
    digests: HashMap<(host::Id, permit::Id), Digest>,
    history: History,
}

impl Fleet {
    fn new() -> Self {
        Self {
            routers: (0..ROUTERS)
                .map(|index| Router::new(index, 1, Timestamp::ZERO))
                .collect(),
            incarnation: 1,
            in_flight: Vec::new(),
            keys: Vec::new(),
            last_ticket: 0,
            waiters: HashMap::new(),
            forwarded: HashMap::new(),
            unanswered: HashMap::new(),
            runs: Vec::new(),
            digests: HashMap::new(),
            history: History::default(),
        }
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Locate { router } => self.locate(router),
            Step::Call { router, key, body } if !self.keys.is_empty() => {
                let recent = self.keys.len().saturating_sub(6);
                let key = self.keys[recent + key % (self.keys.len() - recent)].clone();
                self.call(router, key, Digest([body; 32]));
            }
            Step::Deliver { index, duplicate } if !self.in_flight.is_empty() => {
                let index = index % self.in_flight.len();
                let envelope = if duplicate {
                    self.in_flight[index].clone()
                } else {
                    self.in_flight.remove(index)
                };
                self.deliver(envelope);
            }
            Step::Drop { index } if !self.in_flight.is_empty() => {
                self.in_flight.remove(index % self.in_flight.len());
            }
            Step::Advance { router, millis } => {
                let now = self.routers[router].now + Span::from_millis(millis);
                self.routers[router].now = now;
                self.owner(router, owner::Event::Tick);
                self.witness(router, witness::Event::Tick);
                self.survivor(router, survivor::Event::Tick);
            }
            Step::Restart { router } => {
                self.incarnation += 1;
                let now = Timestamp::from_micros(self.incarnation);
                let old = self.routers[router].id.clone();
                self.routers[router] = Router::new(router, self.incarnation, now);
                self.runs.retain(|(id, ..)| *id != old);
                self.unanswered.retain(|_, id| *id != old);
            }
            Step::Suspect { router, peer } => {
                let id = self.routers[peer].id.clone();
                self.owner(router, owner::Event::ProcessEnded { id: id.clone() });
                self.survivor(router, survivor::Event::ProcessEnded { id });
            }
            Step::Leave { router } => self.owner(router, owner::Event::Leave),
            Step::Run { index, choice } if !self.runs.is_empty() => {
                self.run(index % self.runs.len(), choice);
            }
            _ => {}
        }
        self.history.check();
    }

    fn locate(&mut self, index: usize) {
        let witnesses = (1..=2)
            .map(|step| self.routers[(index + step) % ROUTERS].id.clone())
            .collect();
        let (team, service) = ("t".parse().unwrap(), "s".parse().unwrap());
        let router = &mut self.routers[index];
        let permit = router
            .issuer
            .issue(router.now, self.incarnation, &team, &service, witnesses);
        for suffix in ["a", "b"] {
            let key: Key = format!("{permit}.{suffix}").parse().unwrap();
            self.keys.push(key);
        }
    }

    fn call(&mut self, router: usize, key: Key, digest: Digest) {
        let ticket = self.next_ticket();
        self.unanswered
            .insert(ticket, self.routers[router].id.clone());
        if key.permit.owner == self.routers[router].id {
            let waiter = Waiter::Caller(ticket, key.clone(), digest);
            self.call_owner(router, waiter, key, digest);
        } else {
            self.forwarded.insert(ticket, (key.clone(), digest));
            let deadline = self.routers[router].now + Span::from_secs(5);
            let event = survivor::Event::Call {
                ticket,
                key,
                digest,
                deadline,
            };
            self.survivor(router, event);
        }
    }

    fn call_owner(&mut self, router: usize, waiter: Waiter, key: Key, digest: Digest) {
        let ticket = self.next_ticket();
        self.waiters.insert(ticket, waiter);
        let id = self.routers[router].id.clone();
        self.digests.entry((id, key.id())).or_insert(digest);
        let event = owner::Event::Call {
            ticket,
            key,
            digest,
        };
        self.owner(router, event);
    }

    fn send(&mut self, from: &host::Id, to: &host::Id, payload: Payload) {
        self.in_flight.push(Envelope {
            from: from.clone(),
            to: to.host.clone(),
            payload,
        });
    }

    fn owner(&mut self, index: usize, event: owner::Event) {
        let router = &mut self.routers[index];
        let (id, now) = (router.id.clone(), router.now);
        for command in router.owner.handle(now, event) {
            match command {
                owner::Command::Intent { to, intent } => {
                    self.send(&id, &to, Payload::Intent(intent))
                }
                owner::Command::Outcome { to, outcome } => {
                    self.send(&id, &to, Payload::Outcome(outcome));
                }
                owner::Command::Dispatch { run } => {
                    // The first call with the key is the one that runs.
                    let digest = self.digests[&(id.clone(), run.key().id())];
                    self.runs.push((id.clone(), run, digest, false));
                }
                owner::Command::Reply { ticket, reply } => match self.waiters[&ticket].clone() {
                    Waiter::Caller(ticket, key, digest) => {
                        self.record_reply(ticket, &key, digest, &reply);
                    }
                    Waiter::Peer(peer, ticket) => {
                        self.send(&id, &peer, Payload::Answer(ticket, reply));
                    }
                },
            }
        }
    }

    fn witness(&mut self, index: usize, event: witness::Event) {
        let router = &mut self.routers[index];
        let (id, now) = (router.id.clone(), router.now);
        for command in router.witness.handle(now, event) {
            match command {
                witness::Command::WitnessReply { to, reply } => {
                    self.send(&id, &to, Payload::WitnessReply(reply));
                }
                witness::Command::Sealed { to, sealed } => {
                    self.send(&id, &to, Payload::Sealed(sealed));
                }
            }
        }
    }

    fn survivor(&mut self, index: usize, event: survivor::Event) {
        let router = &mut self.routers[index];
        let (id, now) = (router.id.clone(), router.now);
        for command in router.survivor.handle(now, event) {
            match command {
                survivor::Command::Forward { to, ticket } => {
                    let (key, digest) = self.forwarded[&ticket].clone();
                    self.send(&id, &to, Payload::Forward(ticket, key, digest));
                }
                survivor::Command::Seal { to, seal } => self.send(&id, &to, Payload::Seal(seal)),
                survivor::Command::Reply { ticket, reply } => {
                    let (key, digest) = self.forwarded[&ticket].clone();
                    self.record_reply(ticket, &key, digest, &reply);
                }
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let to = self.routers.iter().position(|r| r.id.host == envelope.to);
        let to = to.expect("known host");
        let from = envelope.from;
        match envelope.payload {
            Payload::Intent(intent) => self.witness(to, witness::Event::Intent { from, intent }),
            Payload::Outcome(outcome) => {
                self.witness(to, witness::Event::Outcome { from, outcome });
            }
            Payload::Seal(seal) => self.witness(to, witness::Event::Seal { from, seal }),
            Payload::WitnessReply(reply) => {
                self.owner(to, owner::Event::WitnessReply { from, reply })
            }
            Payload::Sealed(sealed) => {
                self.survivor(to, survivor::Event::Sealed { from, sealed });
            }
            Payload::Forward(ticket, key, digest) => {
                self.call_owner(to, Waiter::Peer(from, ticket), key, digest);
            }
            Payload::Answer(ticket, reply) => {
                let event = survivor::Event::Answer {
                    from,
                    ticket,
                    reply,
                };
                self.survivor(to, event);
            }
        }
    }

    /// Advances a run: first to the upstream, then to its end. A `choice` of 0 refuses the run
    /// before it reaches the upstream, or breaks the connection afterwards.
    fn run(&mut self, index: usize, choice: u8) {
        let (_, run, digest, sent) = &mut self.runs[index];
        if !*sent && choice > 0 {
            *sent = true;
            let (key, digest) = (run.key().id(), *digest);
            self.history.runs.entry(key).or_default().push(digest);
            return;
        }
        let (id, run, _, sent) = self.runs.remove(index);
        let response = match (sent, choice) {
            (false, _) => Response::not_run("deadline"),
            (true, 0) => Response::unknown("connection-broken"),
            (true, _) => Response {
                end: End::Complete,
                status: 200,
                ..Response::unknown("")
            },
        };
        let router = self.routers.iter().position(|r| r.id == id);
        let router = router.expect("runs of restarted routers are removed");
        self.owner(router, owner::Event::Finished { run, response });
    }

    /// Delivers all messages, finishes all runs and advances all clocks, without further faults,
    /// for long enough that every call gets its reply.
    fn run_until_idle(&mut self) {
        for _ in 0..80 {
            for envelope in std::mem::take(&mut self.in_flight) {
                self.deliver(envelope);
            }
            while !self.runs.is_empty() {
                self.run(0, 1);
            }
            for router in 0..ROUTERS {
                self.step(Step::Advance {
                    router,
                    millis: 100,
                });
            }
        }
    }

    fn record_reply(&mut self, ticket: u64, key: &Key, digest: Digest, reply: &Reply) {
        if !matches!(reply, Reply::Pending) {
            self.unanswered.remove(&ticket);
        }
        let entry = (key.id(), digest);
        match reply {
            Reply::Final(response) => match response.end {
                End::Complete => self.history.complete.push(entry),
                End::NotRun => self.history.not_run.push(entry),
                End::Unknown => {}
            },
            Reply::Conflict => self.history.conflict.push(entry),
            Reply::Pending | Reply::NotOwner => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against a key that runs twice, a "not run" reply to a key that ran or runs later, a
    /// "complete" reply without a run, and a response that belongs to another request body.
    #[test]
    fn runs_at_most_once_and_not_run_is_true(steps in prop::collection::vec(step(), 1..600)) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
    }

    /// Guards against a lost call: one whose caller gets no reply although its router does not
    /// restart.
    #[test]
    fn every_call_is_answered(steps in prop::collection::vec(step(), 1..200)) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
        fleet.run_until_idle();
        prop_assert!(fleet.unanswered.is_empty(), "{:?}", fleet.unanswered);
    }
}

/// Guards against generated schedules that rarely reach a run or a final reply, which would make
/// the properties above pass without checking anything.
#[test]
fn schedules_reach_runs_seals_and_replays() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = prop::collection::vec(step(), 600);
    let (mut runs, mut not_run, mut complete) = (0, 0, 0);
    for _ in 0..100 {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
        runs += fleet.history.runs.len();
        not_run += fleet.history.not_run.len();
        complete += fleet.history.complete.len();
    }
    assert!(runs > 100, "{runs} runs");
    assert!(not_run > 100, "{not_run} calls not run");
    assert!(complete > 100, "{complete} calls complete");
}
