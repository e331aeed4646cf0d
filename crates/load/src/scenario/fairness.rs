//! All teams backlogged, with uneven shares and uneven entry routers.

use std::time::Duration;

use serde_json::json;

use super::{counts, usual, Error, Outcome};
use crate::{
    generate::{Generator, TokenMix},
    session::{Options, DRAIN_TIMEOUT},
    slot_time::Capacity,
};

const WARM_UP: Duration = Duration::from_secs(3);
const USUAL_S: u64 = 20;
/// Added to the bound for the delay of control messages and the period of charges.
const BOUND_EXTRA_S: f64 = 0.25;
/// Callers of a team for each slot of its share, and beyond that.
const CALLERS_PER_SLOT: f64 = 2.0;
const CALLERS_EXTRA: usize = 8;

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
    if options.exact_hints {
        generator.make_hints_exact();
    }
    generator.start_closed_loop(false, |team| {
        let slots = capacity.shares[team] * capacity.slots;
        (slots * CALLERS_PER_SLOT) as usize + CALLERS_EXTRA
    });
    tokio::time::sleep(WARM_UP).await;
    let from = session.begin_phase("measure");
    let length = Duration::from_secs(options.seconds.unwrap_or(USUAL_S));
    tokio::time::sleep(length / 2).await;
    let middle = session.begin_phase("second half");
    tokio::time::sleep(length / 2).await;
    let to = session.begin_phase("end");
    generator.stop(DRAIN_TIMEOUT).await;
    let histories = session.histories()?;
    let timeline = histories.timeline(&plan);
    let least = capacity.shares.iter().copied().fold(1.0, f64::min);
    let largest = histories.max_slot_time_s(from, to);
    let (held, ran) = timeline.utilisation(from, to);
    let served = timeline.received(from, to);
    let whole: f64 = served.iter().sum();
    let parts: Vec<f64> = served.iter().map(|s| s / whole).collect();
    let fields = json!({
        "fairness_gap": timeline.fairness_gap(from, to),
        "fairness_gap_first_half": timeline.fairness_gap(from, middle),
        "fairness_gap_second_half": timeline.fairness_gap(middle, to),
        "gap_bound": largest / (capacity.slots * least) + BOUND_EXTRA_S,
        "utilisation": held,
        "utilisation_running": ran,
        "largest_run_s": largest,
        "exact_hints": options.exact_hints,
        "shares": capacity.shares,
        "served_parts": parts,
        "seconds": length.as_secs(),
        "attempts": counts(&histories, &plan.model),
    });
    Ok(Outcome::new(fields, &histories))
}
