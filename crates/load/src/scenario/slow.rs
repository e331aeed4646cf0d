//! A random quarter of the engines repeatedly runs ten times slower for a second.

use std::time::Duration;

use rand::{seq::SliceRandom as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::{capacity_rate, outcome_counts, start_standard_fleet, Error, ExperimentResult};
use crate::{
    generate::{Generator, TokenMix},
    history::Event,
    http,
    session::{quantile, Options, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const DEFAULT_S: u64 = 24;
/// Load as a fraction of the capacity.
const LOAD: f64 = 0.5;
/// Factor by which an engine slows down.
const SLOWDOWN_FACTOR: f64 = 10.0;
/// Length of a slowdown.
const SLOWDOWN_MS: u64 = 1_000;
/// Time from the start of one slowdown to the next.
const PERIOD: Duration = Duration::from_secs(2);

pub(super) async fn run(options: &Options) -> Result<ExperimentResult, Error> {
    let session = start_standard_fleet(options).await?;
    let plan = session.fleet.plan().clone();
    let generator = Generator::new(
        session.client.clone(),
        &plan,
        TokenMix::default(),
        options.seed,
    );
    let total = capacity_rate(&plan) * LOAD;
    for (index, team) in plan.teams.iter().enumerate() {
        generator.set_rate(index, team.share * total);
    }
    generator.start_open_loop(false, total);
    tokio::time::sleep(WARM_UP).await;
    let half = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_S)) / 2;
    let healthy = session.begin_phase("none slowed");
    tokio::time::sleep(half).await;
    let slowed = session.begin_phase("slowed");
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let engines: Vec<&str> = plan
        .upstreams
        .iter()
        .filter(|u| u.model)
        .map(|u| u.name.as_str())
        .collect();
    for _ in 0..half.as_millis() / PERIOD.as_millis() {
        for name in engines.choose_multiple(&mut random, engines.len() / 4) {
            let control = session.fleet.control_address(name)?;
            let body = json!({"factor": SLOWDOWN_FACTOR, "for_ms": SLOWDOWN_MS});
            http::post(control, &format!("/control/slow?name={name}"), &body).await?;
            session.client.recorder().record(Event::Fault {
                what: format!("slow {name}"),
                time_us: crate::client::now_us(),
            });
        }
        tokio::time::sleep(PERIOD).await;
    }
    let to = session.begin_phase("end");
    generator.stop(DRAIN_TIMEOUT).await;
    let hedges = session.fleet.counter_sum("toucan_hedges_total ").await;
    let resumes = session.fleet.counter_sum("toucan_resumes_total ").await;
    let histories = session.histories()?;
    let latency = |from: u64, to: u64| {
        let latencies =
            histories.latencies_ms(&plan.model, |a| a.sent_us >= from && a.sent_us < to);
        (
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.99),
            latencies.len(),
        )
    };
    let healthy_latency = latency(healthy, slowed);
    let slowed_latency = latency(slowed, to);
    let fields = json!({
        "tail_ratio": slowed_latency.1 / healthy_latency.1.max(f64::MIN_POSITIVE),
        "slowed_p50_ms": slowed_latency.0,
        "slowed_p99_ms": slowed_latency.1,
        "healthy_p50_ms": healthy_latency.0,
        "healthy_p99_ms": healthy_latency.1,
        "hedges": hedges,
        "resumes": resumes,
        "slowed_requests": slowed_latency.2,
        "healthy_requests": healthy_latency.2,
        "attempts": outcome_counts(&histories, &plan.model),
    });
    Ok(ExperimentResult::new(fields, &histories))
}
