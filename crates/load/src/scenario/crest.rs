//! Demand rises fivefold within two seconds.

use std::time::Duration;

use serde_json::json;

use super::{capacity_rate, counts, usual, Error, Outcome};
use crate::{
    generate::{Generator, TokenMix},
    session::{Options, DRAIN_TIMEOUT},
    slot_time::{self, Capacity},
};

const BEFORE: Duration = Duration::from_secs(6);
const RISE_STEPS: u32 = 10;
const RISE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(10);
/// Load before the rise, as a part of the capacity.
const BASE_LOAD: f64 = 0.35;
const FACTOR: f64 = 5.0;
/// Part of the demand that follows the shares; the rest is spread evenly over the teams.
const BY_SHARE: f64 = 0.5;

pub(super) async fn run(options: &Options) -> Result<Outcome, Error> {
    let session = usual(options).await?;
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
    let part = |share: f64| share * BY_SHARE + even * (1.0 - BY_SHARE);
    let rates: Vec<f64> = capacity.shares.iter().map(|s| total * part(*s)).collect();
    let set = |factor: f64| {
        for (team, rate) in rates.iter().enumerate() {
            generator.set_rate(team, rate * factor);
        }
    };
    set(1.0);
    generator.start_open_loop(false, rates.iter().copied().fold(0.0, f64::max) * FACTOR);
    tokio::time::sleep(BEFORE).await;
    let rise = session.begin_phase("rise");
    for step in 1..=RISE_STEPS {
        set(1.0 + (FACTOR - 1.0) * f64::from(step) / f64::from(RISE_STEPS));
        tokio::time::sleep(RISE / RISE_STEPS).await;
    }
    let from = session.begin_phase("crest");
    tokio::time::sleep(AFTER).await;
    let to = session.begin_phase("end");
    set(0.0);
    generator.stop(DRAIN_TIMEOUT * 2).await;
    let histories = session.histories()?;
    let timeline = histories.timeline(&plan);
    let (held, ran) = timeline.utilisation(from, to);
    let served = timeline.received(from, to);
    let attempts = histories.attempts(&plan.model);
    let asked = slot_time::demand(&capacity, &attempts, rise, to, histories.mean_token_s());
    let before = timeline.received(rise, from);
    // What a team asked for during the rise and did not get, it still asks for afterwards.
    let asked: Vec<f64> = asked
        .iter()
        .zip(&before)
        .map(|(a, b)| (a - b).max(0.0))
        .collect();
    let fair = slot_time::water_fill(served.iter().sum(), &capacity.shares, &asked);
    let ratios: Vec<f64> = served
        .iter()
        .zip(&fair)
        .map(|(served, fair)| served / fair.max(f64::MIN_POSITIVE))
        .collect();
    let fields = json!({
        "crest_service": held,
        "crest_service_running": ran,
        "crest_worst_share": ratios.iter().copied().fold(f64::INFINITY, f64::min),
        "service_over_fair": ratios,
        "asked_slot_s": asked,
        "attempts": counts(&histories, &plan.model),
    });
    Ok(Outcome::new(fields, &histories))
}
