//! Cost of coordination between routers, by size of the fleet.

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tsw_config::settings;

use super::{Error, ExperimentResult, TEAMS};
use crate::{
    generate::{Generator, TokenMix},
    http, launch, plan,
    policy::Policy,
    session::{Histories, Options, Session},
};

/// Numbers of routers, with the requests per second for each router. The rate is lower for the
/// largest fleet, so that callers and engines do not compete with the routers for CPU time.
const FLEET_SIZES: [(usize, f64); 4] = [(3, 55.0), (7, 55.0), (14, 55.0), (28, 40.0)];
/// Requests per second and router in the design, to which all figures are scaled.
const DESIGN_RATE: f64 = 55.0;
/// Smallest and largest number of tokens of a request: few, since the cost of coordination does not
/// depend on them.
const TOKENS: (u64, u64) = (2, 8);
/// Number of engines per router, enough for the design rate.
const ENGINES_PER_ROUTER: f64 = 1.5;
const SETTLE: Duration = Duration::from_millis(1_000);
const IDLE: Duration = Duration::from_millis(1_500);
const RAMP: Duration = Duration::from_millis(500);
const LOADED: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(1_500);

/// Average resource usage of a router over an interval; memory is that of the largest router.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    bytes_per_s: f64,
    core: f64,
    rss_mb: f64,
    requests_per_s: f64,
}

/// Totals over all routers at one point of time; memory is that of the largest router.
struct Sample {
    at: Instant,
    bytes: f64,
    cpu_s: f64,
    rss_bytes: u64,
    requests: usize,
}

async fn sample(session: &Session) -> Sample {
    let mut bytes = 0.0;
    let mut cpu_s = 0.0;
    let mut rss_bytes = 0;
    for router in &session.fleet.routers {
        let text = http::get(router.operator, "/metrics").await;
        let text = text.map(|t| String::from_utf8_lossy(&t).into_owned());
        let text = text.unwrap_or_default();
        for name in ["toucan_peer_sent_bytes ", "toucan_peer_received_bytes "] {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            bytes += line.and_then(|n| n.trim().parse().ok()).unwrap_or(0.0);
        }
        let usage = router
            .process
            .as_ref()
            .map(|p| p.usage())
            .unwrap_or_default();
        cpu_s += usage.cpu_s;
        rss_bytes = usage.rss_bytes.max(rss_bytes);
    }
    Sample {
        at: Instant::now(),
        bytes,
        cpu_s,
        rss_bytes,
        requests: session.client.operations(),
    }
}

fn usage_between(from: &Sample, to: &Sample, routers: usize) -> Usage {
    let router_s = (to.at - from.at).as_secs_f64() * routers as f64;
    Usage {
        bytes_per_s: (to.bytes - from.bytes) / router_s,
        core: (to.cpu_s - from.cpu_s) / router_s,
        rss_mb: to.rss_bytes as f64 / 1e6,
        requests_per_s: (to.requests - from.requests) as f64 / router_s,
    }
}

/// Measures a fleet of one size. Returns the usage when idle and under load, and the histories.
async fn measure_fleet(
    options: &Options,
    (routers, rate): (usize, f64),
    policy: Policy,
) -> Result<(Usage, Usage, Histories), Error> {
    let engines = (routers as f64 * ENGINES_PER_ROUTER).ceil() as usize;
    let plan = plan::FleetPlan::new(options.deployment, routers, Some(engines), TEAMS);
    let directory = options.directory.as_ref();
    let options = Options {
        policy,
        directory: directory.map(|d| d.join(format!("{}-{routers}", policy.as_str()))),
        ..options.clone()
    };
    let session: Result<Session, launch::Error> =
        Session::start(&options, plan.clone(), settings::Level::Warn).await;
    let session = session?;
    tokio::time::sleep(SETTLE).await;
    let mix = TokenMix {
        short_tokens: TOKENS,
        ..TokenMix::default()
    };
    let generator = Generator::new(session.client.clone(), &plan, mix, options.seed);
    let total = rate * routers as f64;
    let team_rate = total / plan.teams.len() as f64;
    for team in 0..plan.teams.len() {
        generator.set_rate(team, team_rate);
    }
    generator.start_open_loop(false, team_rate);
    tokio::time::sleep(RAMP).await;
    let load_start = sample(&session).await;
    tokio::time::sleep(LOADED).await;
    let load_end = sample(&session).await;
    generator.stop(DRAIN).await;
    // The idle interval comes last, when the handshakes of the start are over.
    let idle_start = sample(&session).await;
    tokio::time::sleep(IDLE).await;
    let idle_end = sample(&session).await;
    let histories = session.histories()?;
    Ok((
        usage_between(&idle_start, &idle_end, routers),
        usage_between(&load_start, &load_end, routers),
        histories,
    ))
}

/// Returns the slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    covariance / variance
}

pub(super) async fn run(options: &Options) -> Result<ExperimentResult, Error> {
    // The baseline without coordination has the same data path, so that its CPU time per request is
    // that of the data path alone.
    let (idle, loaded, _) = measure_fleet(options, FLEET_SIZES[0], Policy::Fifo).await?;
    let data_path_cpu_s = (loaded.core - idle.core) / loaded.requests_per_s;
    let mut rows: Vec<Value> = Vec::new();
    let mut bytes = Vec::new();
    let mut cores = Vec::new();
    let (mut max_bytes, mut max_core, mut max_rss_mb) = (0.0_f64, 0.0_f64, 0.0_f64);
    let mut last = None;
    for size in FLEET_SIZES {
        let routers = size.0;
        let (idle, loaded, histories) = measure_fleet(options, size, options.policy).await?;
        let cpu_s = (loaded.core - idle.core) / loaded.requests_per_s;
        let control_core = idle.core + (cpu_s - data_path_cpu_s).max(0.0) * DESIGN_RATE;
        let bytes_per_request = (loaded.bytes_per_s - idle.bytes_per_s) / loaded.requests_per_s;
        let control_bytes = idle.bytes_per_s + bytes_per_request * DESIGN_RATE;
        max_bytes = max_bytes.max(control_bytes);
        max_core = max_core.max(control_core);
        max_rss_mb = max_rss_mb.max(loaded.rss_mb);
        bytes.push((routers as f64, control_bytes));
        cores.push((routers as f64, control_core));
        rows.push(json!({
            "routers": routers,
            "control_bytes_per_s": control_bytes,
            "measured_bytes_per_s": loaded.bytes_per_s,
            "idle_bytes_per_s": idle.bytes_per_s,
            "idle_core": idle.core,
            "cpu_ms_per_request": cpu_s * 1e3,
            "control_core_share": control_core,
            "rss_mb": loaded.rss_mb,
            "requests_per_s": loaded.requests_per_s,
        }));
        let failed = !histories.check().is_clean();
        last = Some(histories);
        if failed {
            break;
        }
    }
    let fields = json!({
        "control_bytes_per_s": max_bytes,
        "control_core_share": max_core,
        "rss_mb": max_rss_mb,
        "bytes_per_s_per_router": slope(&bytes),
        "core_share_per_router": slope(&cores),
        "data_path_cpu_ms_per_request": data_path_cpu_s * 1e3,
        "sizes": rows,
    });
    let histories = last.ok_or_else(|| Error::UnknownScenario("control".to_owned()))?;
    Ok(ExperimentResult::new(fields, &histories))
}
