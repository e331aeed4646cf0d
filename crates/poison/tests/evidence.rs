//! What counts as evidence that a request crashes upstreams: one table of situations, played by several
//! routers with requests that crash upstreams, sound ones, and common crashes.

use tsw_base::time::{Span, Timestamp};
use tsw_poison::{
    cause::{Command, Event, Finder},
    Candidates, Findings, Fingerprint,
};

/// Length of a play and of a step, in milliseconds.
const LENGTH: u64 = 30_000;
const STEP: u64 = 5;
/// Time in milliseconds until a message of a router reaches the others.
const LATENCY: u64 = 20;
/// Time in milliseconds from the third crash by a request, or the fifth by a prompt part, from which on requests
/// count as late, and from the return of upstreams after a common crash to calm.
const CONTACT_TIME: u64 = 3_000;
/// Maximum number of late requests.
const MAX_LATE: usize = 3;
/// Time in milliseconds for which an upstream is down after a crash.
const DOWNTIME: u64 = 2_000;
const ROUTERS: usize = 3;
const DOMAINS: usize = 3;
const UPSTREAMS: usize = 12;
/// Interval of the sound requests of each team, in milliseconds.
const SOUND_INTERVAL: u64 = 60;
const TEAMS: [&str; 2] = ["north", "south"];
/// Length in seconds of the windows in which each team has to be served.
const WINDOW: usize = 6;

/// Requests that crash upstreams, sent again and again.
#[derive(Clone, Copy)]
struct Deadly {
    team: usize,
    interval: u64,
    /// Time for which it runs until its upstream crashes.
    crashes_after: u64,
    /// Whether its router repeats it at another upstream.
    repeats: bool,
    /// Whether no two requests are equal, but all share a prompt part that is at fault.
    by_part: bool,
}

const DEADLY: Deadly = Deadly {
    team: 0,
    interval: 700,
    crashes_after: 40,
    repeats: false,
    by_part: false,
};

#[derive(Default)]
struct Situation {
    name: &'static str,
    deadly: Vec<Deadly>,
    /// Times of common crashes, and the number of failure domains that each affects.
    common: Vec<(u64, usize)>,
    /// When a router is killed and starts again.
    killed: Option<u64>,
}

struct Run {
    router: usize,
    upstream: usize,
    candidates: Candidates,
    sent: u64,
    /// When it ends, or crashes its upstream if it is deadly.
    ends: u64,
    deadly: Option<usize>,
}

#[derive(Default)]
struct Play {
    now: u64,
    routers: Vec<Finder>,
    down_until: [u64; UPSTREAMS],
    runs: Vec<Run>,
    messages: Vec<(u64, usize, Findings)>,
    sent: u64,
    /// Times of arrivals and crashes by the deadly requests.
    arrivals: Vec<Vec<u64>>,
    crashes: Vec<Vec<u64>>,
    /// Sound requests by second and team: sent, refused.
    sound: Vec<[[usize; 2]; TEAMS.len()]>,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

impl Play {
    fn handle(&mut self, router: usize, event: Event) {
        for command in self.routers[router].handle(at(self.now), event) {
            if let Command::Broadcast(findings) = command {
                let others = (0..ROUTERS).filter(|other| *other != router);
                let due = self.now + LATENCY;
                self.messages
                    .extend(others.map(|other| (due, other, findings.clone())));
            }
        }
    }

    /// Sends a request to an upstream that is not down, unless it is refused. Returns whether it was sent.
    fn send(
        &mut self,
        router: usize,
        candidates: Candidates,
        runs: u64,
        deadly: Option<usize>,
    ) -> bool {
        let now = at(self.now);
        let finder = &mut self.routers[router];
        if finder.refusal(now, &candidates).is_some() && !finder.start_trial(now, &candidates) {
            return false;
        }
        self.sent += 1;
        let start = self.sent as usize * 7;
        let mut upstreams = (start..start + UPSTREAMS).map(|number| number % UPSTREAMS);
        let Some(upstream) = upstreams.find(|upstream| self.down_until[*upstream] <= self.now)
        else {
            return true;
        };
        if let Some(number) = deadly {
            self.arrivals[number].push(self.now);
        }
        self.runs.push(Run {
            router,
            upstream,
            candidates,
            sent: self.now,
            ends: self.now + runs,
            deadly,
        });
        true
    }

    /// Crashes upstreams. Requests that may be repeated are sent once more.
    fn crash(&mut self, upstreams: &[usize], situation: &Situation) {
        for upstream in upstreams {
            self.down_until[*upstream] = self.now + DOWNTIME;
        }
        let runs = std::mem::take(&mut self.runs);
        let (broken, others) = runs
            .into_iter()
            .partition(|run| upstreams.contains(&run.upstream));
        self.runs = others;
        let broken: Vec<Run> = broken;
        for run in &broken {
            let event = Event::Crashed {
                upstream: format!("engine-{}", run.upstream).parse().unwrap(),
                request: run.candidates.clone(),
                ran_for: Span::from_millis(self.now - run.sent),
            };
            self.handle(run.router, event);
        }
        for run in broken {
            let deadly = run.deadly.map(|number| situation.deadly[number]);
            if deadly.is_none_or(|deadly| deadly.repeats) {
                self.send(run.router, run.candidates, run.ends - run.sent, run.deadly);
            }
        }
    }

    fn step(&mut self, situation: &Situation) {
        let due = std::mem::take(&mut self.messages);
        let (due, later) = due.into_iter().partition(|(when, ..)| *when <= self.now);
        self.messages = later;
        for (_, router, findings) in due {
            self.handle(router, Event::Message(findings));
        }
        if situation.killed == Some(self.now) {
            let rules = self.routers[0].rules(at(self.now));
            self.routers[1] = Finder::default();
            self.runs.retain(|run| run.router != 1);
            for findings in rules {
                self.handle(1, Event::Message(findings));
            }
        }
        let now = self.now;
        let common = situation.common.iter();
        for (_, domains) in common.filter(|(when, _)| *when == now) {
            let affected = (0..UPSTREAMS).filter(|upstream| upstream % DOMAINS < *domains);
            self.crash(&affected.collect::<Vec<usize>>(), situation);
        }
        while let Some(index) = self.runs.iter().position(|run| run.ends <= self.now) {
            match self.runs[index].deadly {
                Some(number) => {
                    self.crashes[number].push(self.now);
                    self.crash(&[self.runs[index].upstream], situation);
                }
                None => {
                    let run = self.runs.swap_remove(index);
                    let request = run.candidates;
                    self.handle(run.router, Event::Answered { request });
                }
            }
        }
        self.send_new(situation);
        if self.now.is_multiple_of(25) {
            (0..ROUTERS).for_each(|router| self.handle(router, Event::Tick));
        }
    }

    fn send_new(&mut self, situation: &Situation) {
        let turn = (self.now / SOUND_INTERVAL) as usize;
        for (team, name) in TEAMS.iter().enumerate() {
            if self.now.is_multiple_of(SOUND_INTERVAL) {
                let request = candidates(name, u128::from(self.now) << 4, &[team as u64]);
                let runs = 200 + self.now % 7 * 150;
                let counts = &mut self.sound[(self.now / 1_000) as usize][team];
                counts[0] += 1;
                if !self.send((turn + team) % ROUTERS, request, runs, None) {
                    self.sound[(self.now / 1_000) as usize][team][1] += 1;
                }
            }
        }
        for (number, deadly) in situation.deadly.iter().enumerate() {
            if self.now > 500 * number as u64 && self.now.is_multiple_of(deadly.interval) {
                let own = u128::from(if deadly.by_part { self.now } else { 0 });
                let fingerprint = own << 8 | (number as u128 + 1);
                let team = deadly.team as u64;
                let parts = if deadly.by_part {
                    vec![team, 0xdead]
                } else {
                    vec![team]
                };
                let request = candidates(TEAMS[deadly.team], fingerprint, &parts);
                let router = (self.now / deadly.interval) as usize % ROUTERS;
                self.send(router, request, deadly.crashes_after, Some(number));
            }
        }
    }

    /// Returns the first window of calm seconds in which a team is refused in each second and less than half
    /// of its requests are served.
    fn unfair_window(&self, situation: &Situation) -> Option<(usize, usize)> {
        let last = situation
            .common
            .iter()
            .map(|(when, _)| when + DOWNTIME + CONTACT_TIME);
        let calm = last.max().unwrap_or_default().div_ceil(1_000) as usize;
        (0..TEAMS.len()).find_map(|team| {
            let seconds: Vec<[usize; 2]> = self.sound[calm..].iter().map(|all| all[team]).collect();
            let broken = seconds.windows(WINDOW).position(|window| {
                let sent: usize = window.iter().map(|[sent, _]| sent).sum();
                let refused: usize = window.iter().map(|[_, refused]| refused).sum();
                window.iter().all(|[_, refused]| *refused > 0) && 2 * refused > sent
            });
            broken.map(|from| (team, calm + from))
        })
    }
}

fn candidates(team: &str, fingerprint: u128, parts: &[u64]) -> Candidates {
    let parts = parts.iter().map(|id| Fingerprint::of_part(b"reviews", *id));
    Candidates::new(team.as_bytes(), Fingerprint(fingerprint), parts.collect())
}

fn play(situation: &Situation) -> Play {
    let mut play = Play {
        routers: (0..ROUTERS).map(|_| Finder::default()).collect(),
        arrivals: vec![Vec::new(); situation.deadly.len()],
        crashes: vec![Vec::new(); situation.deadly.len()],
        sound: vec![Default::default(); (LENGTH / 1_000) as usize],
        ..Play::default()
    };
    while play.now < LENGTH {
        play.step(situation);
        play.now += STEP;
    }
    play
}

fn situations() -> Vec<Situation> {
    let alone = |name, deadly| Situation {
        name,
        deadly: vec![deadly],
        ..Situation::default()
    };
    let after = |crashes_after| Deadly {
        crashes_after,
        ..DEADLY
    };
    let repeated = Deadly {
        repeats: true,
        ..DEADLY
    };
    let of = |team, interval| Deadly {
        team,
        interval,
        ..after(200)
    };
    vec![
        alone("before the first event", DEADLY),
        alone("after the first event", after(200)),
        alone("at the last event", after(1_500)),
        alone("repeated by its router", repeated),
        alone(
            "resumed by its router",
            Deadly {
                crashes_after: 300,
                ..repeated
            },
        ),
        alone(
            "a prompt part",
            Deadly {
                by_part: true,
                ..DEADLY
            },
        ),
        alone(
            "a prompt part, after the first event",
            Deadly {
                by_part: true,
                ..after(300)
            },
        ),
        Situation {
            name: "two of one team",
            deadly: vec![of(0, 700), of(0, 600)],
            ..Situation::default()
        },
        Situation {
            name: "three of several teams",
            deadly: vec![of(0, 700), of(1, 600), of(0, 800)],
            ..Situation::default()
        },
        Situation {
            name: "a router is killed",
            deadly: vec![after(200)],
            killed: Some(8_000),
            ..Situation::default()
        },
        Situation {
            name: "a failure domain crashes",
            common: vec![(8_000, 1)],
            ..Situation::default()
        },
        Situation {
            name: "a failure domain crashes three times",
            common: vec![(6_000, 1), (9_000, 1), (12_000, 1)],
            ..Situation::default()
        },
        Situation {
            name: "all domains crash three times",
            common: vec![(6_000, 3), (9_000, 3), (12_000, 3)],
            ..Situation::default()
        },
        Situation {
            name: "a failure domain crashes beside a deadly request",
            deadly: vec![after(200)],
            common: vec![(2_000, 1), (6_000, 1)],
            ..Situation::default()
        },
    ]
}

/// Guards against requests that crash upstreams and are not refused, in the situations in which it matters
/// what else happens, and against refusing sound requests because of crashes that they did not cause.
#[test]
fn evidence_is_weighed_in_each_situation() {
    let mut wrong = Vec::new();
    for situation in situations() {
        let play = play(&situation);
        for (number, deadly) in situation.deadly.iter().enumerate() {
            let (crashes, arrivals) = (&play.crashes[number], &play.arrivals[number]);
            let counted = if deadly.by_part { 5 } else { 3 };
            assert!(crashes.len() >= 3, "{}: too few crashes", situation.name);
            let Some(from) = crashes.get(counted - 1).map(|crash| crash + CONTACT_TIME) else {
                continue;
            };
            let late = arrivals.iter().filter(|arrival| **arrival > from).count();
            if late > MAX_LATE {
                wrong.push(format!(
                    "{}: {late} late of request {number}",
                    situation.name
                ));
            }
        }
        if let Some((team, second)) = play.unfair_window(&situation) {
            let team = TEAMS[team];
            wrong.push(format!(
                "{}: {team} refused from second {second}",
                situation.name
            ));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against refusing a request that was responded to in full between the crashes in which it ran.
#[test]
fn request_that_is_responded_to_in_full_elsewhere_is_not_refused() {
    let mut finder = Finder::default();
    let request = candidates("north", 7, &[1]);
    for turn in 1..=6u64 {
        let now = at(5_000 * turn);
        let event = Event::Crashed {
            upstream: format!("engine-{turn}").parse().unwrap(),
            request: request.clone(),
            ran_for: Span::from_millis(100),
        };
        finder.handle(now, event);
        finder.handle(now + Span::from_secs(1), Event::Tick);
        assert_eq!(finder.refusal(now + Span::from_secs(1), &request), None);
        let request = request.clone();
        finder.handle(now + Span::from_secs(2), Event::Answered { request });
    }
}

/// Guards against more trials of a refused request than operators allow to reach upstreams late.
#[test]
fn few_trials_of_a_refused_request_run() {
    let mut finder = Finder::default();
    let request = candidates("north", 7, &[]);
    let mut trials = Vec::new();
    let mut crashes = 0;
    for millis in (0..300_000u64).step_by(500) {
        let now = at(millis);
        let is_refused = finder.refusal(now, &request).is_some();
        let is_trial = is_refused && finder.start_trial(now, &request);
        if is_trial {
            trials.push(millis);
        }
        if !is_refused || is_trial {
            crashes += 1;
            let event = Event::Crashed {
                upstream: format!("engine-{crashes}").parse().unwrap(),
                request: request.clone(),
                ran_for: Span::from_millis(40),
            };
            finder.handle(now, event);
        }
        finder.handle(now + Span::from_millis(200), Event::Tick);
    }
    assert_eq!(crashes, 3 + trials.len());
    assert!((1..=2).contains(&trials.len()), "{trials:?}");
}

/// Guards against a wrong refusal that lasts because no router tries a request: each takes another one to have
/// the trial, or the one that has it got the rule from a peer before it derived it.
#[test]
fn one_of_the_routers_has_the_trial() {
    for first in 0..20u128 {
        let mut routers = [Finder::default(), Finder::default()];
        for turn in 1..=3u64 {
            let (sent, crashed) = (1_000 * turn, 1_000 * turn + 300);
            for upstream in 0..4usize {
                let request = candidates(
                    "north",
                    first + 100 * u128::from(turn) + upstream as u128,
                    &[1],
                );
                let (own, other) = (upstream % 2, 1 - upstream % 2);
                let event = Event::Crashed {
                    upstream: format!("engine-{upstream}{turn}").parse().unwrap(),
                    request,
                    ran_for: Span::from_millis(crashed - sent),
                };
                for command in routers[own].handle(at(crashed), event) {
                    if let Command::Broadcast(findings) = command {
                        routers[other].handle(at(crashed + LATENCY), Event::Message(findings));
                    }
                }
            }
            // One router is earlier than the other, which gets the rule of that one.
            let order = if first % 2 == 0 { [0, 1] } else { [1, 0] };
            for router in order {
                for command in routers[router].handle(at(crashed + 150), Event::Tick) {
                    if let Command::Broadcast(findings) = command {
                        routers[1 - router].handle(at(crashed + 150), Event::Message(findings));
                    }
                }
            }
        }
        let (now, request) = (at(5_000), candidates("north", 9_999, &[1]));
        let trials = routers.iter_mut().map(|router| {
            assert!(router.refusal(now, &request).is_some());
            usize::from(router.start_trial(now, &request))
        });
        assert_eq!(trials.sum::<usize>(), 1, "{first}");
    }
}
