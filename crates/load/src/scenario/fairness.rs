//! All teams always have waiting requests, with unequal shares and uneven use of entry routers.

use std::time::Duration;

use serde_json::json;

use super::{outcome_counts, start_standard_fleet, Error, ExperimentResult};
use crate::{
    generate::{Generator, TokenMix},
    session::{Options, DRAIN_TIMEOUT},
    slot_time::Capacity,
};

const WARM_UP: Duration = Duration::from_secs(3);
const DEFAULT_S: u64 = 20;
/// Allowance in the bound for the delay of control messages and the charging interval.
const BOUND_ALLOWANCE_S: f64 = 0.25;
/// Number of callers of a team for each slot of its share.
const CALLERS_PER_SLOT: f64 = 2.0;
/// Number of callers of a team in addition to those.
const EXTRA_CALLERS: usize = 8;

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
    if options.exact_hints {
        generator.make_hints_exact();
    }
    generator.start_closed_loop(false, |team| {
        let slots = capacity.shares[team] * capacity.slots;
        (slots * CALLERS_PER_SLOT) as usize + EXTRA_CALLERS
    });
    tokio::time::sleep(WARM_UP).await;
    let from = session.begin_phase("measure");
    let length = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_S));
    tokio::time::sleep(length / 2).await;
    let middle = session.begin_phase("second half");
    tokio::time::sleep(length / 2).await;
    let to = session.begin_phase("end");
    generator.stop(DRAIN_TIMEOUT).await;
    let histories = session.histories()?;
    let timeline = histories.timeline(&plan);
    let smallest_share = capacity.shares.iter().copied().fold(1.0, f64::min);
    let max_slot_time_s = histories.max_slot_time_s(from, to);
    let (occupied, ran) = timeline.utilisation(from, to);
    let received = timeline.received(from, to);
    let total: f64 = received.iter().sum();
    let fractions: Vec<f64> = received.iter().map(|s| s / total).collect();
    let fields = json!({
        "fairness_gap": timeline.fairness_gap(from, to),
        "fairness_gap_first_half": timeline.fairness_gap(from, middle),
        "fairness_gap_second_half": timeline.fairness_gap(middle, to),
        "gap_bound": max_slot_time_s / (capacity.slots * smallest_share) + BOUND_ALLOWANCE_S,
        "utilisation": occupied,
        "utilisation_running": ran,
        "largest_run_s": max_slot_time_s,
        "exact_hints": options.exact_hints,
        "shares": capacity.shares,
        "served_parts": fractions,
        "seconds": length.as_secs(),
        "attempts": outcome_counts(&histories, &plan.model),
    });
    Ok(ExperimentResult::new(fields, &histories))
}
