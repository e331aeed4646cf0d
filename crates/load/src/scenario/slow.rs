//! A quarter of the upstreams run ten times slower for moments.

use std::time::Duration;

use rand::{seq::SliceRandom as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::{capacity_rate, counts, usual, Error, Outcome};
use crate::{
    generate::{Generator, Mix},
    history::Event,
    http,
    session::{quantile, Request, DRAIN_LIMIT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const USUAL_S: u64 = 24;
const LOAD: f64 = 0.5;
const FACTOR: f64 = 10.0;
/// Length of a slow moment and time from one to the next.
const MOMENT_MS: u64 = 1_000;
const PERIOD: Duration = Duration::from_secs(2);

pub(super) async fn run(request: &Request) -> Result<Outcome, Error> {
    let session = usual(request).await?;
    let plan = session.fleet.plan().clone();
    let generator = Generator::new(session.client.clone(), &plan, Mix::default(), request.seed);
    let total = capacity_rate(&plan) * LOAD;
    for (index, team) in plan.teams.iter().enumerate() {
        generator.set_rate(index, team.share * total);
    }
    generator.open(false, total);
    tokio::time::sleep(WARM_UP).await;
    let half = Duration::from_secs(request.seconds.unwrap_or(USUAL_S)) / 2;
    let healthy = session.phase("none slowed");
    tokio::time::sleep(half).await;
    let slowed = session.phase("slowed");
    let mut random = Pcg64Mcg::seed_from_u64(request.seed);
    let engines: Vec<&str> = plan
        .upstreams
        .iter()
        .filter(|u| u.model)
        .map(|u| u.name.as_str())
        .collect();
    for _ in 0..half.as_millis() / PERIOD.as_millis() {
        for name in engines.choose_multiple(&mut random, engines.len() / 4) {
            let control = session.fleet.control_of(name)?;
            let body = json!({"factor": FACTOR, "for_ms": MOMENT_MS});
            http::post(control, &format!("/control/slow?name={name}"), &body).await?;
            session.client.recorder().record(Event::Fault {
                what: format!("slow {name}"),
                time_us: crate::client::now_us(),
            });
        }
        tokio::time::sleep(PERIOD).await;
    }
    let to = session.phase("end");
    generator.stop(DRAIN_LIMIT).await;
    let hedges = session.fleet.metric("toucan_hedges_total ").await;
    let resumes = session.fleet.metric("toucan_resumes_total ").await;
    let evidence = session.evidence()?;
    let within = |from: u64, to: u64| {
        let found = evidence.latencies(&plan.model, |a| a.sent_us >= from && a.sent_us < to);
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
        "attempts": counts(&evidence, &plan.model),
    });
    Ok(Outcome::new(fields, &evidence))
}
