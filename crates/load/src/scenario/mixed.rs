//! One request in thirty is long, compared with a load of short requests only.

use std::time::Duration;

use serde_json::json;

use super::{capacity_rate, outcome_counts, start_standard_fleet, Error, ExperimentResult};
use crate::{
    generate::{Generator, TokenMix, MAX_SHORT_TOKENS},
    session::{quantile, Options, DRAIN_TIMEOUT},
};

const WARM_UP: Duration = Duration::from_secs(3);
const DEFAULT_S: u64 = 24;
/// Load of the short requests, as a fraction of the capacity.
const SHORT_LOAD: f64 = 0.45;
/// One in this number of requests is long.
const LONG_EVERY: u32 = 30;
/// A long request has eight times as many tokens as the longest short request.
const LONG_TOKENS: u64 = MAX_SHORT_TOKENS * 8;

pub(super) async fn run(options: &Options) -> Result<ExperimentResult, Error> {
    let session = start_standard_fleet(options).await?;
    let plan = session.fleet.plan().clone();
    let generator = Generator::new(
        session.client.clone(),
        &plan,
        TokenMix::default(),
        options.seed,
    );
    let total = capacity_rate(&plan) * SHORT_LOAD;
    let max_rate = plan.teams.iter().map(|t| t.share).fold(0.0, f64::max) * total;
    for (index, team) in plan.teams.iter().enumerate() {
        generator.set_rate(index, team.share * total);
    }
    generator.start_open_loop(false, max_rate);
    tokio::time::sleep(WARM_UP).await;
    let half = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_S)) / 2;
    let alone = session.begin_phase("short alone");
    tokio::time::sleep(half).await;
    let mix = TokenMix {
        long_every: LONG_EVERY,
        long_tokens: LONG_TOKENS,
        ..TokenMix::default()
    };
    generator.set_mix(mix);
    tokio::time::sleep(WARM_UP).await;
    let mixed = session.begin_phase("mixed");
    tokio::time::sleep(half).await;
    let to = session.begin_phase("end");
    generator.stop(DRAIN_TIMEOUT + Duration::from_secs(4)).await;
    let histories = session.histories()?;
    let short_waits = |from: u64, to: u64| {
        let waits = histories.waits_ms(&plan.model, |a| {
            a.asked <= MAX_SHORT_TOKENS && a.sent_us >= from && a.sent_us < to
        });
        (quantile(&waits, 0.5), quantile(&waits, 0.99), waits.len())
    };
    let alone_wait = short_waits(alone, alone + half.as_micros() as u64);
    let mixed_wait = short_waits(mixed, to);
    let fields = json!({
        "short_wait_p99_ratio": mixed_wait.1 / alone_wait.1.max(f64::MIN_POSITIVE),
        "short_wait_p50_ms": mixed_wait.0,
        "short_wait_p99_ms": mixed_wait.1,
        "alone_wait_p50_ms": alone_wait.0,
        "alone_wait_p99_ms": alone_wait.1,
        "short_requests": mixed_wait.2,
        "alone_requests": alone_wait.2,
        "attempts": outcome_counts(&histories, &plan.model),
    });
    Ok(ExperimentResult::new(fields, &histories))
}
