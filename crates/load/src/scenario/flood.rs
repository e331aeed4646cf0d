//! One team sends fifty times its usual load.

use std::time::Duration;

use serde_json::json;

use tsw_config::settings;

use super::{capacity_rate, outcome_counts, Error, ExperimentResult, ROUTERS, TEAMS};
use crate::{
    generate::{Generator, TokenMix},
    history::Outcome,
    plan,
    session::{quantile, Options, Session, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const DEFAULT_S: u64 = 24;
/// Load of all teams before the flood, as a fraction of the capacity.
const LOAD: f64 = 0.5;
/// Factor by which the load of the flooding team rises.
const FLOOD_FACTOR: f64 = 50.0;
/// Length of an engine's step without requests, and its increase for each request, in microseconds.
/// The default fake engine runs 25 % slower with a full batch than with half a batch, whichever
/// team fills it. With these values it runs 5 % slower, so that the ratio shows the effect of the
/// routers.
const STEP_US: (u64, u64) = (18_000, 250);

pub(super) async fn run(options: &Options) -> Result<ExperimentResult, Error> {
    let mut plan = plan::FleetPlan::new(options.deployment, ROUTERS, None, TEAMS);
    plan.step_us = Some(STEP_US);
    let session = Session::start(options, plan, settings::Level::Warn).await?;
    let plan = session.fleet.plan().clone();
    let generator = Generator::new(
        session.client.clone(),
        &plan,
        TokenMix::default(),
        options.seed,
    );
    let total = capacity_rate(&plan) * LOAD;
    let rates: Vec<f64> = plan.teams.iter().map(|t| t.share * total).collect();
    for (index, rate) in rates.iter().enumerate() {
        generator.set_rate(index, *rate);
    }
    // The last team, which has the smallest share, floods.
    let flooding = rates.len() - 1;
    generator.start_open_loop(false, (rates[flooding] * FLOOD_FACTOR).max(total));
    tokio::time::sleep(WARM_UP).await;
    let half = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_S)) / 2;
    let calm = session.begin_phase("calm");
    tokio::time::sleep(half).await;
    let flood = session.begin_phase("flood");
    generator.set_rate(flooding, rates[flooding] * FLOOD_FACTOR);
    tokio::time::sleep(half).await;
    let to = session.begin_phase("end");
    generator.stop(DRAIN_TIMEOUT).await;
    let histories = session.histories()?;
    let name = plan.teams[flooding].name.as_str();
    let latency = |from: u64, to: u64| {
        let latencies = histories.latencies_ms(&plan.model, |a| {
            a.team != name && a.sent_us >= from && a.sent_us < to
        });
        (
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.99),
            latencies.len(),
        )
    };
    let calm_latency = latency(calm, flood);
    let flood_latency = latency(flood, to);
    let attempts = histories.attempts(&plan.model);
    let others = attempts
        .iter()
        .filter(|a| a.team != name && a.sent_us >= flood);
    let lost = others.filter(|a| a.outcome != Outcome::Complete).count();
    let fields = json!({
        "others_p99_ratio": flood_latency.1 / calm_latency.1.max(f64::MIN_POSITIVE),
        "others_lost": lost,
        "flood_p50_ms": flood_latency.0,
        "flood_p99_ms": flood_latency.1,
        "calm_p50_ms": calm_latency.0,
        "calm_p99_ms": calm_latency.1,
        "flood_requests": flood_latency.2,
        "calm_requests": calm_latency.2,
        "attempts": outcome_counts(&histories, &plan.model),
    });
    Ok(ExperimentResult::new(fields, &histories))
}
