//! Runs the soak test for one seed.

use std::{
    cell::Cell,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{task, time};

use crate::{
    client,
    fault::{self, Plan, Starts, StoreFaults},
    fleet::Fleet,
    history::{Shares, StreamCounts, WholeStreams},
};

const CLIENTS: usize = 8;
/// Distinguishes the random numbers of settings from those of faults.
const SETTINGS_SEED: u64 = 0x7365_7474;
/// Probability that a seed selects a fault or a condition that others don't play.
const EXTRA_PROBABILITY: f64 = 0.4;
/// Time for the routers to start serving before the first fault.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time for which half of the runs with several software versions, and all with partitions, wait for the first fault. It is longer than streams
/// can be resumed, so that the routers know all software that can have begun a stream.
const LONG_WARM_UP: Duration = Duration::from_secs(22);
/// Time after the last fault within which the routers must serve again, as required by the
/// operators.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time after the recovery in which the served ratio is measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(2);
/// Minimum ratio of requests served after the recovery, as required by the operators.
const MIN_SERVED_RATIO: f64 = 0.25;

/// What a run plays.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The kinds of faults.
    pub plan: Plan,
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the period in which faults start.
    pub length: Duration,
    /// The starts that upstreams state.
    pub starts: Starts,
    /// Faults of the store's history beside the loss of all routers.
    pub store_faults: StoreFaults,
    /// Whether upstreams freeze.
    pub has_freezes: bool,
    /// Whether a part of the clients use a route with a shorter timeout to the same service.
    pub has_short_route: bool,
    /// Whether a part of the clients state a time limit for each try instead of the time that is left.
    pub has_try_limits: bool,
}

impl Settings {
    /// Returns the plan of a seed alone: starts in order, a store that keeps its history, no freezes, one route
    /// for resumable streams, and clients that state the time that is left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tsw_soak::{fault::{Plan, Starts}, run::Settings};
    /// let settings = Settings::plain(Plan::Returns, 7, Duration::from_secs(10));
    /// assert_eq!(settings.starts, Starts::InOrder);
    /// ```
    #[must_use]
    pub const fn plain(plan: Plan, seed: u64, length: Duration) -> Self {
        Self {
            plan,
            seed,
            length,
            starts: Starts::InOrder,
            store_faults: StoreFaults::None,
            has_freezes: false,
            has_short_route: false,
            has_try_limits: false,
        }
    }

    /// Returns what a seed selects. A field that is changed afterwards changes nothing else in the run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tsw_soak::{fault::{Plan, Starts}, run::Settings};
    /// let settings = Settings::of_seed(Plan::Returns, 7, Duration::from_secs(10));
    /// let compared = Settings { starts: Starts::InOrder, ..settings };
    /// assert_eq!(settings.draw(), compared.draw());
    /// ```
    #[must_use]
    pub fn of_seed(plan: Plan, seed: u64, length: Duration) -> Self {
        let plain = Self::plain(plan, seed, length);
        if plan != Plan::Returns {
            return plain;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SETTINGS_SEED);
        Self {
            starts: Starts::of_seed(seed),
            store_faults: StoreFaults::of_seed(seed),
            has_freezes: rng.gen_bool(EXTRA_PROBABILITY),
            has_short_route: rng.gen_bool(EXTRA_PROBABILITY),
            has_try_limits: rng.gen_bool(EXTRA_PROBABILITY),
            ..plain
        }
    }

    /// Draws the faults.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tsw_soak::{fault::Plan, run::Settings};
    /// let settings = Settings::of_seed(Plan::Faults, 7, Duration::from_secs(10));
    /// assert_eq!(settings.draw(), Plan::Faults.draw(7, Duration::from_secs(10)));
    /// ```
    #[must_use]
    pub fn draw(&self) -> Vec<fault::ScheduledFault> {
        let mut faults = self.plan.draw(self.seed, self.length);
        let routers = self.plan.routers();
        faults.extend(self.store_faults.draw(self.seed, &faults, routers));
        if self.has_freezes {
            faults.extend(self.plan.draw_freezes(self.seed, self.length));
        }
        faults.sort_by_key(|fault| fault.start);
        faults
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Ratio of these requests that were served.
    pub served_ratio: f64,
    /// Ratio of the requests sent after the recovery that were served.
    pub served_ratio_after_recovery: f64,
    /// What became of resumed streams, before and after all routers were restarted.
    pub streams: [StreamCounts; 2],
    /// Streams that began, and those that arrived whole.
    pub whole: WholeStreams,
    /// New and resumed streams at routers in touch.
    pub shares: Shares,
    /// Faults that were injected.
    pub faults: Vec<fault::ScheduledFault>,
    /// Violations of the guarantees.
    pub violations: Vec<String>,
}

/// Runs routers of these programs, which take turns, while faults are injected. The logs of the routers are written to `directory`.
///
/// # Errors
///
/// Returns an error if a process cannot be started or a fault cannot be injected.
pub async fn run_seed(programs: &[&Path], directory: &Path, settings: Settings) -> Result<Outcome> {
    let Settings { plan, seed, .. } = settings;
    let fleet = Fleet::start(programs, directory, settings).await?;
    let shared = Rc::new(client::Shared {
        routers: fleet.routers.iter().map(|router| router.address).collect(),
        history: fleet.history().clone(),
        preferred_routers: fleet.preferred_routers.clone(),
        settings,
        running: Cell::new(true),
    });
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|number| task::spawn_local(client::run(shared.clone(), number, seed)))
        .collect();
    clients.extend(
        (0..plan.stream_clients(seed))
            .map(|number| task::spawn_local(client::stream::run(shared.clone(), number, seed))),
    );
    let warm_up = match plan {
        Plan::Partitioned => LONG_WARM_UP,
        Plan::Releases | Plan::Returns | Plan::Mixed if seed.is_multiple_of(2) => LONG_WARM_UP,
        _ => WARM_UP,
    };
    time::sleep(warm_up).await;
    let faults_start = time::Instant::now();
    let faults = settings.draw();
    let mut injections = Vec::new();
    for scheduled in &faults {
        time::sleep_until(faults_start + scheduled.start).await;
        let injection = fleet.clone().inject(scheduled.fault, scheduled.duration);
        injections.push(task::spawn_local(injection));
    }
    for injection in injections {
        injection.await??;
    }
    time::sleep(RECOVERY_TIME).await;
    let measurement_start = Instant::now();
    time::sleep(MEASUREMENT_PERIOD).await;
    shared.running.set(false);
    for client in clients {
        client.await?;
    }
    fleet.stop().await;
    let history = fleet.history().borrow();
    let mut violations = history.violations();
    violations.extend(fleet.failed_exits.take());
    let served_ratio_after_recovery = history.served_ratio(measurement_start);
    if served_ratio_after_recovery < MIN_SERVED_RATIO {
        violations.push(format!(
            "only {served_ratio_after_recovery:.2} of the requests were served after the recovery"
        ));
    }
    let traffic_start = faults_start.into_std() - warm_up;
    Ok(Outcome {
        requests: history.requests.len(),
        served_ratio: history.served_ratio(traffic_start),
        served_ratio_after_recovery,
        streams: history.stream_counts(),
        whole: history.whole_streams(),
        shares: history.shares(),
        faults,
        violations,
    })
}
