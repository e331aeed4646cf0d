//! A quarter of the upstreams run ten times slower for moments.

use std::time::Duration;

use rand::{seq::SliceRandom as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::{capacity_rate, counts, usual, Error, Outcome};
use crate::{
    generate::{Generator, TokenMix},
    history::Event,
    http,
    session::{quantile, Options, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const USUAL_S: u64 = 24;
const LOAD: f64 = 0.5;
const FACTOR: f64 = 10.0;
/// Length of a slow moment and time from one to the next.
const MOMENT_MS: u64 = 1_000;
const PERIOD: Duration = Duration::from_secs(2);

pub(super) async fn run(options: &Options) -> Result<Outcome, Error> {
    let session = usual(options).await?;
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
    let half = Duration::from_secs(options.seconds.unwrap_or(USUAL_S)) / 2;
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
            let body = json!({"factor": FACTOR, "for_ms": MOMENT_MS});
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
    let within = |from: u64, to: u64| {
        let found = histories.latencies_ms(&plan.model, |a| a.sent_us >= from && a.sent_us < to);
        (quantile(&found, 0.5), quantile(&found, 0.99), found.len())
    };
    let before = within(healthy, slowed);
    let with = within(slowed, to);
    let fields = json!({
        "tail_ratio": with.1 / before.1.max(f64::MIN_POSITIVE),
        "slowed_p50_ms": with.0,
        "slowed_p99_ms": with.1,
        "healthy_p50_ms": before.0,
        "healthy_p99_ms": before.1,
        "hedges": hedges,
        "resumes": resumes,
        "slowed_requests": with.2,
        "healthy_requests": before.2,
        "attempts": counts(&histories, &plan.model),
    });
    Ok(Outcome::new(fields, &histories))
}
