//! One team sends fifty times as much as usual.

use std::time::Duration;

use serde_json::json;

use tsw_config::settings;

use super::{capacity_rate, counts, Error, Outcome, ROUTERS, TEAMS};
use crate::{
    generate::{Generator, TokenMix},
    history::Outcome as Answer,
    plan,
    session::{quantile, Options, Session, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const USUAL_S: u64 = 24;
/// Load of all teams before the flood, as a part of the capacity.
const LOAD: f64 = 0.5;
const FACTOR: f64 = 50.0;
/// Length of an engine's step without requests and for each request, in microseconds. The usual
/// stand-in runs 25 % slower with a full batch than with half a batch, whoever fills it; this one
/// runs 5 % slower, so that the ratio shows what the routers do.
const STEP_US: (u64, u64) = (18_000, 250);

pub(super) async fn run(options: &Options) -> Result<Outcome, Error> {
    let mut fleet = plan::FleetPlan::new(options.deployment, ROUTERS, None, TEAMS);
    fleet.step_us = Some(STEP_US);
    let session = Session::start(options, fleet, settings::Level::Warn).await?;
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
    // The flood comes from the last team, which has the smallest share.
    let noisy = rates.len() - 1;
    generator.start_open_loop(false, (rates[noisy] * FACTOR).max(total));
    tokio::time::sleep(WARM_UP).await;
    let half = Duration::from_secs(options.seconds.unwrap_or(USUAL_S)) / 2;
    let calm = session.begin_phase("calm");
    tokio::time::sleep(half).await;
    let flood = session.begin_phase("flood");
    generator.set_rate(noisy, rates[noisy] * FACTOR);
    tokio::time::sleep(half).await;
    let to = session.begin_phase("end");
    generator.stop(DRAIN_TIMEOUT).await;
    let histories = session.histories()?;
    let name = plan.teams[noisy].name.as_str();
    let within = |from: u64, to: u64| {
        let found = histories.latencies_ms(&plan.model, |a| {
            a.team != name && a.sent_us >= from && a.sent_us < to
        });
        (quantile(&found, 0.5), quantile(&found, 0.99), found.len())
    };
    let before = within(calm, flood);
    let with = within(flood, to);
    let attempts = histories.attempts(&plan.model);
    let others = attempts
        .iter()
        .filter(|a| a.team != name && a.sent_us >= flood);
    let lost = others.filter(|a| a.outcome != Answer::Complete).count();
    let fields = json!({
        "others_p99_ratio": with.1 / before.1.max(f64::MIN_POSITIVE),
        "others_lost": lost,
        "flood_p50_ms": with.0,
        "flood_p99_ms": with.1,
        "calm_p50_ms": before.0,
        "calm_p99_ms": before.1,
        "flood_requests": with.2,
        "calm_requests": before.2,
        "attempts": counts(&histories, &plan.model),
    });
    Ok(Outcome::new(fields, &histories))
}
