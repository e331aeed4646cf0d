//! Kills, pauses, partitions, restarts, outages, planned stops and leaving upstreams, two at once.

use std::time::{Duration, Instant};

use rand::{seq::SliceRandom as _, Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use tsw_config::settings;

use super::{capacity_rate, counts, Error, Outcome, ROUTERS, TEAMS};
use crate::{
    generate::{Generator, TokenMix},
    history::{Event, Recorder},
    plan,
    session::{Options, Session, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(2);
const USUAL_S: u64 = 24;
/// Load of the model service, as a part of the capacity.
const LOAD: f64 = 0.35;
/// Bookings a second of all teams.
const BOOKINGS_PER_S: f64 = 12.0;
/// Time from one pair of faults to the next.
const ROUND: Duration = Duration::from_millis(2_500);
/// Time that a fault lasts; a pause exceeds the lifetime of a grant.
const FAULT: Duration = Duration::from_millis(1_300);
/// Time that an upstream is listed as leaving, beyond the time allowed for new work.
const LEAVING: Duration = Duration::from_millis(5_000);
const STOP_LIMIT: Duration = Duration::from_secs(10);
const READY_LIMIT: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(20);
const WATCH_PERIOD: Duration = Duration::from_millis(400);
/// Time in which a configuration must be in force everywhere.
const ADOPT_LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Kill,
    Stop,
    Pause,
    Partition,
    OneWay,
    Outage,
    Leave,
    CrashEngine,
    CrashWorker,
}

/// Pairs of faults in the order in which they happen.
const ROUNDS: [[Kind; 2]; 10] = [
    [Kind::Kill, Kind::Outage],
    [Kind::Stop, Kind::Leave],
    [Kind::Pause, Kind::CrashEngine],
    [Kind::Partition, Kind::Kill],
    [Kind::OneWay, Kind::CrashWorker],
    [Kind::Stop, Kind::Kill],
    [Kind::Pause, Kind::Partition],
    [Kind::Leave, Kind::CrashEngine],
    [Kind::Kill, Kind::Kill],
    [Kind::Pause, Kind::Stop],
];

/// What ends a fault.
enum Heal {
    Restart(usize),
    AwaitStop(usize),
    Resume(usize),
    Join(String, String),
    Return(String),
}

struct Driver {
    session: Session,
    recorder: Recorder,
    random: Pcg64Mcg,
    heals: Vec<(Instant, Heal)>,
    injected: u64,
    slow_stops: u64,
}

impl Driver {
    /// Returns a router that no other fault affects now.
    fn router(&mut self) -> Option<usize> {
        let busy = |index: &usize| {
            self.heals.iter().any(|(_, heal)| match heal {
                Heal::Restart(i) | Heal::AwaitStop(i) | Heal::Resume(i) => i == index,
                _ => false,
            })
        };
        let routers = &self.session.fleet.routers;
        let free: Vec<usize> = (0..routers.len())
            .filter(|i| routers[*i].process.is_some() && !busy(i))
            .collect();
        free.choose(&mut self.random).copied()
    }

    fn upstream(&mut self, model: bool) -> Option<String> {
        let plan = self.session.fleet.plan();
        let all: Vec<_> = plan.upstreams.iter().filter(|u| u.model == model).collect();
        Some(all.choose(&mut self.random)?.name.clone())
    }

    fn domains(&mut self) -> (String, String) {
        let domains = &self.session.fleet.plan().domains;
        let first = self.random.gen_range(0..domains.len());
        let second = (first + self.random.gen_range(1..domains.len())) % domains.len();
        (domains[first].clone(), domains[second].clone())
    }

    fn heal_later(&mut self, after: Duration, heal: Heal) {
        self.heals.push((Instant::now() + after, heal));
    }

    async fn inject(&mut self, kind: Kind) -> Result<(), Error> {
        let recorder = self.recorder.clone();
        self.injected += 1;
        match kind {
            Kind::Kill | Kind::Stop | Kind::Pause => {
                let Some(index) = self.router() else {
                    self.injected -= 1;
                    return Ok(());
                };
                let fleet = &mut self.session.fleet;
                match kind {
                    Kind::Kill => {
                        fleet.kill_router(index, &recorder).await?;
                        self.heal_later(FAULT, Heal::Restart(index));
                    }
                    Kind::Stop => {
                        fleet.request_stop(index, &recorder)?;
                        self.heal_later(FAULT, Heal::AwaitStop(index));
                    }
                    _ => {
                        fleet.pause_router(index, true, &recorder)?;
                        self.heal_later(FAULT, Heal::Resume(index));
                    }
                }
            }
            Kind::Partition | Kind::OneWay => {
                let (a, b) = self.domains();
                let fleet = &self.session.fleet;
                fleet.set_link_cut(&a, &b, true, &recorder);
                if kind == Kind::Partition {
                    fleet.set_link_cut(&b, &a, true, &recorder);
                    self.heal_later(FAULT, Heal::Join(b.clone(), a.clone()));
                }
                self.heal_later(FAULT, Heal::Join(a, b));
            }
            Kind::Outage => {
                let length = FAULT.as_millis() as u64;
                self.session
                    .fleet
                    .platform_outage(length, &recorder)
                    .await?;
            }
            Kind::Leave => {
                if let Some(name) = self.upstream(true) {
                    let fleet = &self.session.fleet;
                    fleet.set_upstream_leaving(&name, true, &recorder).await?;
                    self.heal_later(LEAVING, Heal::Return(name));
                }
            }
            Kind::CrashEngine | Kind::CrashWorker => {
                if let Some(name) = self.upstream(kind == Kind::CrashEngine) {
                    let down = FAULT.as_millis() as u64;
                    let fleet = &self.session.fleet;
                    fleet.crash_upstream(&name, down, &recorder).await?;
                }
            }
        }
        Ok(())
    }

    async fn heal(&mut self, heal: Heal) -> Result<(), Error> {
        let recorder = self.recorder.clone();
        let fleet = &mut self.session.fleet;
        match heal {
            Heal::Restart(index) => fleet.start_router(index)?,
            Heal::AwaitStop(index) => {
                if !fleet.wait_stopped(index, TICK, &recorder).await {
                    self.heal_later(TICK, Heal::AwaitStop(index));
                    return Ok(());
                }
                fleet.start_router(index)?;
            }
            Heal::Resume(index) => fleet.pause_router(index, false, &recorder)?,
            Heal::Join(from, to) => fleet.set_link_cut(&from, &to, false, &recorder),
            Heal::Return(name) => fleet.set_upstream_leaving(&name, false, &recorder).await?,
        }
        Ok(())
    }

    /// Ends the faults that are due until `until`.
    async fn pass_time(&mut self, until: Instant) -> Result<(), Error> {
        while Instant::now() < until {
            let now = Instant::now();
            let due = self.heals.iter().position(|(at, _)| *at <= now);
            match due {
                Some(index) => {
                    let (_, heal) = self.heals.swap_remove(index);
                    self.heal(heal).await?;
                }
                None => tokio::time::sleep(TICK).await,
            }
        }
        Ok(())
    }

    async fn heal_all(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        while !self.heals.is_empty() && start.elapsed() < STOP_LIMIT {
            self.pass_time(Instant::now() + TICK).await?;
        }
        let left = self.heals.iter();
        self.slow_stops = left
            .filter(|(_, h)| matches!(h, Heal::AwaitStop(_)))
            .count() as u64;
        Ok(())
    }
}

pub(super) async fn run(options: &Options) -> Result<Outcome, Error> {
    let fleet = plan::FleetPlan::new(options.deployment, ROUTERS, None, TEAMS);
    // Audit lines are exported at this level.
    let session = Session::start(options, fleet, settings::Level::Info).await?;
    let plan = session.fleet.plan().clone();
    let generator = Generator::new(
        session.client.clone(),
        &plan,
        TokenMix::default(),
        options.seed,
    );
    let bookings = Generator::new(
        session.client.clone(),
        &plan,
        TokenMix::default(),
        !options.seed,
    );
    let total = capacity_rate(&plan) * LOAD;
    for (index, team) in plan.teams.iter().enumerate() {
        generator.set_rate(index, team.share * total);
        bookings.set_rate(index, team.share * BOOKINGS_PER_S);
    }
    generator.start_open_loop(false, total);
    bookings.start_open_loop(true, BOOKINGS_PER_S);
    let recorder = session.client.recorder().clone();
    let watch = session.fleet.watch_revisions(WATCH_PERIOD, &recorder);
    tokio::time::sleep(WARM_UP).await;
    let mut driver = Driver {
        session,
        recorder: recorder.clone(),
        random: Pcg64Mcg::seed_from_u64(options.seed),
        heals: Vec::new(),
        injected: 0,
        slow_stops: 0,
    };
    let start = Instant::now();
    let length = Duration::from_secs(options.seconds.unwrap_or(USUAL_S));
    let mut revision = 1;
    for kinds in ROUNDS.iter().cycle() {
        if start.elapsed() + ROUND > length {
            break;
        }
        for kind in kinds {
            driver.inject(*kind).await?;
        }
        revision += 1;
        driver.session.fleet.publish(revision).await?;
        driver.pass_time(Instant::now() + ROUND).await?;
    }
    driver.heal_all().await?;
    let published = Instant::now();
    let mut unready = 0;
    for index in 0..driver.session.fleet.routers.len() {
        let ready = driver.session.fleet.wait_ready(index, READY_LIMIT).await;
        unready += u64::from(ready.is_err());
    }
    generator.stop(DRAIN_TIMEOUT).await;
    bookings.stop(DRAIN_TIMEOUT / 2).await;
    tokio::time::sleep(ADOPT_LIMIT.saturating_sub(published.elapsed())).await;
    tokio::time::sleep(WATCH_PERIOD).await;
    drop(watch);
    let histories = driver.session.histories()?;
    let mut latest = std::collections::HashMap::new();
    for event in &histories.events {
        if let Event::Revision {
            router, revision, ..
        } = event
        {
            latest.insert(router, *revision);
        }
    }
    let current = latest.values().filter(|r| **r == revision).count();
    let fields = json!({
        "faults_injected": driver.injected,
        "audit_lines": histories.audit.records.len(),
        "routers_unready": unready,
        "slow_stops": driver.slow_stops,
        "last_revision": revision,
        "routers_with_last_revision": current,
        "attempts": counts(&histories, &plan.model),
        "booking_attempts": counts(&histories, &plan.booking),
    });
    Ok(Outcome::new(fields, &histories))
}
