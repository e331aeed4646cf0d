//! Kills, pauses, partitions, restarts, outages, graceful stops and leaving upstreams, two at a
//! time.

use std::time::{Duration, Instant};

use rand::{seq::SliceRandom as _, Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use tsw_config::settings;

use super::{capacity_rate, outcome_counts, Error, ExperimentResult, ROUTERS, TEAMS};
use crate::{
    generate::{Generator, TokenMix},
    history::{Event, Recorder},
    plan,
    session::{Options, Session, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(2);
const DEFAULT_S: u64 = 24;
/// Load of the model service, as a fraction of the capacity.
const LOAD: f64 = 0.35;
/// Bookings per second of all teams.
const BOOKINGS_PER_S: f64 = 12.0;
/// Time from one pair of faults to the next.
const ROUND_LENGTH: Duration = Duration::from_millis(2_500);
/// Duration of a fault. It exceeds the lifetime of a grant, so that grants expire during a pause.
const FAULT_LENGTH: Duration = Duration::from_millis(1_300);
/// Time for which an upstream is listed as leaving. It exceeds the time for which an upstream may
/// still get new requests.
const LEAVING_LENGTH: Duration = Duration::from_millis(5_000);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const REVISION_PERIOD: Duration = Duration::from_millis(400);
/// Time within which all routers must adopt a configuration.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultKind {
    Kill,
    GracefulStop,
    Pause,
    Partition,
    OneWayPartition,
    PlatformOutage,
    UpstreamLeaving,
    CrashEngine,
    CrashWorker,
}

/// Pairs of faults in the order in which they are injected.
const ROUNDS: [[FaultKind; 2]; 10] = [
    [FaultKind::Kill, FaultKind::PlatformOutage],
    [FaultKind::GracefulStop, FaultKind::UpstreamLeaving],
    [FaultKind::Pause, FaultKind::CrashEngine],
    [FaultKind::Partition, FaultKind::Kill],
    [FaultKind::OneWayPartition, FaultKind::CrashWorker],
    [FaultKind::GracefulStop, FaultKind::Kill],
    [FaultKind::Pause, FaultKind::Partition],
    [FaultKind::UpstreamLeaving, FaultKind::CrashEngine],
    [FaultKind::Kill, FaultKind::Kill],
    [FaultKind::Pause, FaultKind::GracefulStop],
];

/// An action that ends a fault.
enum Recovery {
    /// Restarts a killed router.
    RestartRouter(usize),
    /// Waits until a router has stopped gracefully, and restarts it.
    RestartAfterStop(usize),
    /// Resumes a paused router.
    ResumeRouter(usize),
    /// Restores the link from one failure domain to another.
    RestoreLink(String, String),
    /// Lists an upstream as live again.
    RelistUpstream(String),
}

/// Injects faults and ends them when they are due.
struct FaultInjector {
    session: Session,
    recorder: Recorder,
    random: Pcg64Mcg,
    recoveries: Vec<(Instant, Recovery)>,
    injected: u64,
    slow_stops: u64,
}

impl FaultInjector {
    /// Returns a random router that runs and is not affected by another fault.
    fn random_router(&mut self) -> Option<usize> {
        let is_affected = |index: &usize| {
            self.recoveries.iter().any(|(_, recovery)| match recovery {
                Recovery::RestartRouter(i)
                | Recovery::RestartAfterStop(i)
                | Recovery::ResumeRouter(i) => i == index,
                _ => false,
            })
        };
        let routers = &self.session.fleet.routers;
        let free: Vec<usize> = (0..routers.len())
            .filter(|i| routers[*i].process.is_some() && !is_affected(i))
            .collect();
        free.choose(&mut self.random).copied()
    }

    fn random_upstream(&mut self, model: bool) -> Option<String> {
        let plan = self.session.fleet.plan();
        let matching: Vec<_> = plan.upstreams.iter().filter(|u| u.model == model).collect();
        Some(matching.choose(&mut self.random)?.name.clone())
    }

    fn random_domains(&mut self) -> (String, String) {
        let domains = &self.session.fleet.plan().domains;
        let first = self.random.gen_range(0..domains.len());
        let second = (first + self.random.gen_range(1..domains.len())) % domains.len();
        (domains[first].clone(), domains[second].clone())
    }

    fn schedule_recovery(&mut self, delay: Duration, recovery: Recovery) {
        self.recoveries.push((Instant::now() + delay, recovery));
    }

    async fn inject(&mut self, kind: FaultKind) -> Result<(), Error> {
        let recorder = self.recorder.clone();
        self.injected += 1;
        match kind {
            FaultKind::Kill | FaultKind::GracefulStop | FaultKind::Pause => {
                let Some(index) = self.random_router() else {
                    self.injected -= 1;
                    return Ok(());
                };
                let fleet = &mut self.session.fleet;
                match kind {
                    FaultKind::Kill => {
                        fleet.kill_router(index, &recorder).await?;
                        self.schedule_recovery(FAULT_LENGTH, Recovery::RestartRouter(index));
                    }
                    FaultKind::GracefulStop => {
                        fleet.request_stop(index, &recorder)?;
                        self.schedule_recovery(FAULT_LENGTH, Recovery::RestartAfterStop(index));
                    }
                    _ => {
                        fleet.pause_router(index, true, &recorder)?;
                        self.schedule_recovery(FAULT_LENGTH, Recovery::ResumeRouter(index));
                    }
                }
            }
            FaultKind::Partition | FaultKind::OneWayPartition => {
                let (a, b) = self.random_domains();
                let fleet = &self.session.fleet;
                fleet.set_link_cut(&a, &b, true, &recorder);
                if kind == FaultKind::Partition {
                    fleet.set_link_cut(&b, &a, true, &recorder);
                    self.schedule_recovery(
                        FAULT_LENGTH,
                        Recovery::RestoreLink(b.clone(), a.clone()),
                    );
                }
                self.schedule_recovery(FAULT_LENGTH, Recovery::RestoreLink(a, b));
            }
            FaultKind::PlatformOutage => {
                let length = FAULT_LENGTH.as_millis() as u64;
                self.session
                    .fleet
                    .platform_outage(length, &recorder)
                    .await?;
            }
            FaultKind::UpstreamLeaving => {
                if let Some(name) = self.random_upstream(true) {
                    let fleet = &self.session.fleet;
                    fleet.set_upstream_leaving(&name, true, &recorder).await?;
                    self.schedule_recovery(LEAVING_LENGTH, Recovery::RelistUpstream(name));
                }
            }
            FaultKind::CrashEngine | FaultKind::CrashWorker => {
                if let Some(name) = self.random_upstream(kind == FaultKind::CrashEngine) {
                    let down = FAULT_LENGTH.as_millis() as u64;
                    let fleet = &self.session.fleet;
                    fleet.crash_upstream(&name, down, &recorder).await?;
                }
            }
        }
        Ok(())
    }

    async fn recover(&mut self, recovery: Recovery) -> Result<(), Error> {
        let recorder = self.recorder.clone();
        let fleet = &mut self.session.fleet;
        match recovery {
            Recovery::RestartRouter(index) => fleet.start_router(index)?,
            Recovery::RestartAfterStop(index) => {
                if !fleet.wait_stopped(index, POLL_INTERVAL, &recorder).await {
                    self.schedule_recovery(POLL_INTERVAL, Recovery::RestartAfterStop(index));
                    return Ok(());
                }
                fleet.start_router(index)?;
            }
            Recovery::ResumeRouter(index) => fleet.pause_router(index, false, &recorder)?,
            Recovery::RestoreLink(from, to) => fleet.set_link_cut(&from, &to, false, &recorder),
            Recovery::RelistUpstream(name) => {
                fleet.set_upstream_leaving(&name, false, &recorder).await?
            }
        }
        Ok(())
    }

    /// Waits until `until` and ends the faults that become due.
    async fn run_until(&mut self, until: Instant) -> Result<(), Error> {
        while Instant::now() < until {
            let now = Instant::now();
            let due = self.recoveries.iter().position(|(at, _)| *at <= now);
            match due {
                Some(index) => {
                    let (_, recovery) = self.recoveries.swap_remove(index);
                    self.recover(recovery).await?;
                }
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        Ok(())
    }

    /// Ends all faults that are left, and counts the routers that have not stopped in time.
    async fn finish_recoveries(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        while !self.recoveries.is_empty() && start.elapsed() < STOP_TIMEOUT {
            self.run_until(Instant::now() + POLL_INTERVAL).await?;
        }
        let unfinished = self.recoveries.iter();
        self.slow_stops = unfinished
            .filter(|(_, recovery)| matches!(recovery, Recovery::RestartAfterStop(_)))
            .count() as u64;
        Ok(())
    }
}

pub(super) async fn run(options: &Options) -> Result<ExperimentResult, Error> {
    let plan = plan::FleetPlan::new(options.deployment, ROUTERS, None, TEAMS);
    // Routers log audit lines at this level.
    let session = Session::start(options, plan, settings::Level::Info).await?;
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
    let revision_watch = session.fleet.watch_revisions(REVISION_PERIOD, &recorder);
    tokio::time::sleep(WARM_UP).await;
    let mut injector = FaultInjector {
        session,
        recorder: recorder.clone(),
        random: Pcg64Mcg::seed_from_u64(options.seed),
        recoveries: Vec::new(),
        injected: 0,
        slow_stops: 0,
    };
    let start = Instant::now();
    let length = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_S));
    let mut revision = 1;
    for kinds in ROUNDS.iter().cycle() {
        if start.elapsed() + ROUND_LENGTH > length {
            break;
        }
        for kind in kinds {
            injector.inject(*kind).await?;
        }
        revision += 1;
        injector.session.fleet.publish(revision).await?;
        injector.run_until(Instant::now() + ROUND_LENGTH).await?;
    }
    injector.finish_recoveries().await?;
    let recovered_at = Instant::now();
    let mut unready = 0;
    for index in 0..injector.session.fleet.routers.len() {
        let ready = injector
            .session
            .fleet
            .wait_ready(index, READY_TIMEOUT)
            .await;
        unready += u64::from(ready.is_err());
    }
    generator.stop(DRAIN_TIMEOUT).await;
    bookings.stop(DRAIN_TIMEOUT / 2).await;
    tokio::time::sleep(ADOPTION_TIMEOUT.saturating_sub(recovered_at.elapsed())).await;
    tokio::time::sleep(REVISION_PERIOD).await;
    drop(revision_watch);
    let histories = injector.session.histories()?;
    let mut last_revisions = std::collections::HashMap::new();
    for event in &histories.events {
        if let Event::Revision {
            router, revision, ..
        } = event
        {
            last_revisions.insert(router, *revision);
        }
    }
    let up_to_date = last_revisions.values().filter(|r| **r == revision).count();
    let fields = json!({
        "faults_injected": injector.injected,
        "audit_lines": histories.audit.records.len(),
        "routers_unready": unready,
        "slow_stops": injector.slow_stops,
        "last_revision": revision,
        "routers_with_last_revision": up_to_date,
        "attempts": outcome_counts(&histories, &plan.model),
        "booking_attempts": outcome_counts(&histories, &plan.booking),
    });
    Ok(ExperimentResult::new(fields, &histories))
}
