//! All teams backlogged, with uneven shares and uneven entry routers.

use std::time::Duration;

use serde_json::json;

use super::{counts, usual, Error, Outcome};
use crate::{
    generate::{Generator, Mix},
    service::Scale,
    session::{Request, DRAIN_LIMIT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const USUAL_S: u64 = 20;
/// Added to the bound for the delay of control messages and the period of charges.
const BOUND_EXTRA_S: f64 = 0.25;
/// Callers of a team for each slot of its share, and beyond that.
const CALLERS_PER_SLOT: f64 = 2.0;
const CALLERS_EXTRA: usize = 8;

pub(super) async fn run(request: &Request) -> Result<Outcome, Error> {
    let session = usual(request).await?;
    let plan = session.fleet.plan().clone();
    let scale = Scale::of(&plan);
    let generator = Generator::new(session.client.clone(), &plan, Mix::default(), request.seed);
    if request.exact_hints {
        generator.make_hints_exact();
    }
    generator.closed(false, |team| {
        let slots = scale.shares[team] * scale.slots;
        (slots * CALLERS_PER_SLOT) as usize + CALLERS_EXTRA
    });
    tokio::time::sleep(WARM_UP).await;
    let from = session.phase("measure");
    let length = Duration::from_secs(request.seconds.unwrap_or(USUAL_S));
    tokio::time::sleep(length / 2).await;
    let middle = session.phase("second half");
    tokio::time::sleep(length / 2).await;
    let to = session.phase("end");
    generator.stop(DRAIN_LIMIT).await;
    let evidence = session.evidence()?;
    let timeline = evidence.timeline(&plan);
    let least = scale.shares.iter().copied().fold(1.0, f64::min);
    let largest = evidence.largest_run_s(from, to);
    let (held, ran) = timeline.utilisation(from, to);
    let served = timeline.served(from, to);
    let whole: f64 = served.iter().sum();
    let parts: Vec<f64> = served.iter().map(|s| s / whole).collect();
    let fields = json!({
        "fairness_gap": timeline.gap(from, to),
        "fairness_gap_first_half": timeline.gap(from, middle),
        "fairness_gap_second_half": timeline.gap(middle, to),
        "gap_bound": largest / (scale.slots * least) + BOUND_EXTRA_S,
        "utilisation": held,
        "utilisation_running": ran,
        "largest_run_s": largest,
        "exact_hints": request.exact_hints,
        "shares": scale.shares,
        "served_parts": parts,
        "seconds": length.as_secs(),
        "attempts": counts(&evidence, &plan.model),
    });
    Ok(Outcome::new(fields, &evidence))
}
