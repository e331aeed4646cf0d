//! Demand rises fivefold within two seconds.

use std::time::Duration;

use serde_json::json;

use super::{capacity_rate, counts, usual, Error, Outcome};
use crate::{
    generate::{Generator, Mix},
    service::{self, Scale},
    session::{Request, DRAIN_LIMIT},
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

pub(super) async fn run(request: &Request) -> Result<Outcome, Error> {
    let session = usual(request).await?;
    let plan = session.fleet.plan().clone();
    let scale = Scale::of(&plan);
    let generator = Generator::new(session.client.clone(), &plan, Mix::default(), request.seed);
    let total = capacity_rate(&plan) * BASE_LOAD;
    let even = 1.0 / plan.teams.len() as f64;
    let part = |share: f64| share * BY_SHARE + even * (1.0 - BY_SHARE);
    let rates: Vec<f64> = scale.shares.iter().map(|s| total * part(*s)).collect();
    let set = |factor: f64| {
        for (team, rate) in rates.iter().enumerate() {
            generator.set_rate(team, rate * factor);
        }
    };
    set(1.0);
    generator.open(false, rates.iter().copied().fold(0.0, f64::max) * FACTOR);
    tokio::time::sleep(BEFORE).await;
    let rise = session.phase("rise");
    for step in 1..=RISE_STEPS {
        set(1.0 + (FACTOR - 1.0) * f64::from(step) / f64::from(RISE_STEPS));
        tokio::time::sleep(RISE / RISE_STEPS).await;
    }
    let from = session.phase("crest");
    tokio::time::sleep(AFTER).await;
    let to = session.phase("end");
    set(0.0);
    generator.stop(DRAIN_LIMIT * 2).await;
    let evidence = session.evidence()?;
    let timeline = evidence.timeline(&plan);
    let (held, ran) = timeline.utilisation(from, to);
    let served = timeline.served(from, to);
    let attempts = evidence.attempts(&plan.model);
    let asked = service::asked(&scale, &attempts, rise, to, evidence.token_s());
    let before = timeline.served(rise, from);
    // What a team asked for during the rise and did not get, it still asks for afterwards.
    let asked: Vec<f64> = asked
        .iter()
        .zip(&before)
        .map(|(a, b)| (a - b).max(0.0))
        .collect();
    let fair = service::water_fill(served.iter().sum(), &scale.shares, &asked);
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
        "attempts": counts(&evidence, &plan.model),
    });
    Ok(Outcome::new(fields, &evidence))
}
