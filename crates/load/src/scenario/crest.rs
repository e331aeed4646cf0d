//! Demand of all teams rises fivefold within two seconds.

use std::time::Duration;

use serde_json::json;

use super::{capacity_rate, outcome_counts, start_standard_fleet, Error, ExperimentResult};
use crate::{
    generate::{Generator, TokenMix},
    session::{Options, DRAIN_TIMEOUT},
    slot_time::{self, Capacity},
};

const BEFORE: Duration = Duration::from_secs(6);
const RISE_STEPS: u32 = 10;
const RISE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(10);
/// Load before the rise, as a fraction of the capacity.
const BASE_LOAD: f64 = 0.35;
/// Factor by which the load rises.
const RISE_FACTOR: f64 = 5.0;
/// Fraction of the demand that is proportional to the shares. The rest is spread evenly over the
/// teams.
const PROPORTIONAL_FRACTION: f64 = 0.5;

pub(super) async fn run(options: &Options) -> Result<ExperimentResult, Error> {
    let session = start_standard_fleet(options).await?;
    let plan = session.fleet.plan().clone();
    let capacity = Capacity::new(&plan);
    let generator = Generator::new(
        session.client.clone(),
        &plan,
        TokenMix::default(),
        options.seed,
    );
    let total = capacity_rate(&plan) * BASE_LOAD;
    let even = 1.0 / plan.teams.len() as f64;
    let demand_fraction =
        |share: f64| share * PROPORTIONAL_FRACTION + even * (1.0 - PROPORTIONAL_FRACTION);
    let rates: Vec<f64> = capacity
        .shares
        .iter()
        .map(|s| total * demand_fraction(*s))
        .collect();
    let set_rates = |factor: f64| {
        for (team, rate) in rates.iter().enumerate() {
            generator.set_rate(team, rate * factor);
        }
    };
    set_rates(1.0);
    generator.start_open_loop(
        false,
        rates.iter().copied().fold(0.0, f64::max) * RISE_FACTOR,
    );
    tokio::time::sleep(BEFORE).await;
    let rise = session.begin_phase("rise");
    for step in 1..=RISE_STEPS {
        set_rates(1.0 + (RISE_FACTOR - 1.0) * f64::from(step) / f64::from(RISE_STEPS));
        tokio::time::sleep(RISE / RISE_STEPS).await;
    }
    let from = session.begin_phase("crest");
    tokio::time::sleep(AFTER).await;
    let to = session.begin_phase("end");
    set_rates(0.0);
    generator.stop(DRAIN_TIMEOUT * 2).await;
    let histories = session.histories()?;
    let timeline = histories.timeline(&plan);
    let (occupied, ran) = timeline.utilisation(from, to);
    let received = timeline.received(from, to);
    let attempts = histories.attempts(&plan.model);
    let demand = slot_time::demand(&capacity, &attempts, rise, to, histories.mean_token_s());
    let received_in_rise = timeline.received(rise, from);
    // Demand of the rise that was not met is still waiting afterwards.
    let demand: Vec<f64> = demand
        .iter()
        .zip(&received_in_rise)
        .map(|(demand, received)| (demand - received).max(0.0))
        .collect();
    let fair = slot_time::water_fill(received.iter().sum(), &capacity.shares, &demand);
    let ratios: Vec<f64> = received
        .iter()
        .zip(&fair)
        .map(|(received, fair)| received / fair.max(f64::MIN_POSITIVE))
        .collect();
    let fields = json!({
        "crest_service": occupied,
        "crest_service_running": ran,
        "crest_worst_share": ratios.iter().copied().fold(f64::INFINITY, f64::min),
        "service_over_fair": ratios,
        "asked_slot_s": demand,
        "attempts": outcome_counts(&histories, &plan.model),
    });
    Ok(ExperimentResult::new(fields, &histories))
}
