//! Cost of control at several sizes of the fleet.

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tsw_config::settings;

use super::{Error, Outcome, TEAMS};
use crate::{
    generate::{Generator, TokenMix},
    http, launch, plan,
    policy::Policy,
    session::{Histories, Options, Session},
};

/// Sizes of the fleet and requests a second for each router. The largest fleet gets fewer, so that
/// callers and engines do not compete with the routers for the machine.
const SIZES: [(usize, f64); 4] = [(3, 55.0), (7, 55.0), (14, 55.0), (28, 40.0)];
/// Requests a second and router of the design scale, to which all figures are scaled.
const DESIGN_RATE: f64 = 55.0;
/// Tokens of a request: few, since the cost of control does not depend on them.
const TOKENS: (u64, u64) = (2, 8);
/// Engines for each router, enough for the design rate.
const ENGINES_PER_ROUTER: f64 = 1.5;
const SETTLE: Duration = Duration::from_millis(1_000);
const IDLE: Duration = Duration::from_millis(1_500);
const RAMP: Duration = Duration::from_millis(500);
const LOADED: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(1_500);

/// What the routers used in a time, each on average.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    bytes_per_s: f64,
    core: f64,
    rss_mb: f64,
    requests_per_s: f64,
}

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

fn used(from: &Sample, to: &Sample, routers: usize) -> Used {
    let span = (to.at - from.at).as_secs_f64() * routers as f64;
    Used {
        bytes_per_s: (to.bytes - from.bytes) / span,
        core: (to.cpu_s - from.cpu_s) / span,
        rss_mb: to.rss_bytes as f64 / 1e6,
        requests_per_s: (to.requests - from.requests) as f64 / span,
    }
}

/// Runs a fleet idle and under load.
async fn size(
    options: &Options,
    (routers, rate): (usize, f64),
    policy: Policy,
) -> Result<(Used, Used, Histories), Error> {
    let workers = (routers as f64 * ENGINES_PER_ROUTER).ceil() as usize;
    let plan = plan::FleetPlan::new(options.deployment, routers, Some(workers), TEAMS);
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
    let even = total / plan.teams.len() as f64;
    for team in 0..plan.teams.len() {
        generator.set_rate(team, even);
    }
    generator.start_open_loop(false, even);
    tokio::time::sleep(RAMP).await;
    let first = sample(&session).await;
    tokio::time::sleep(LOADED).await;
    let second = sample(&session).await;
    generator.stop(DRAIN).await;
    // Idle comes last, when the handshakes of the start are over.
    let third = sample(&session).await;
    tokio::time::sleep(IDLE).await;
    let fourth = sample(&session).await;
    let histories = session.histories()?;
    Ok((
        used(&third, &fourth, routers),
        used(&first, &second, routers),
        histories,
    ))
}

/// Returns the slope of a least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    over / under
}

pub(super) async fn run(options: &Options) -> Result<Outcome, Error> {
    // The baseline without coordination has the same data path and no control.
    let (idle, loaded, _) = size(options, SIZES[0], Policy::Fifo).await?;
    let data_cpu = (loaded.core - idle.core) / loaded.requests_per_s;
    let mut rows: Vec<Value> = Vec::new();
    let mut bytes = Vec::new();
    let mut cores = Vec::new();
    let mut worst = (0.0_f64, 0.0_f64, 0.0_f64);
    let mut last = None;
    for scale in SIZES {
        let routers = scale.0;
        let (idle, loaded, histories) = size(options, scale, options.policy).await?;
        let cpu = (loaded.core - idle.core) / loaded.requests_per_s;
        let control_core = idle.core + (cpu - data_cpu).max(0.0) * DESIGN_RATE;
        let each = (loaded.bytes_per_s - idle.bytes_per_s) / loaded.requests_per_s;
        let control_bytes = idle.bytes_per_s + each * DESIGN_RATE;
        worst.0 = worst.0.max(control_bytes);
        worst.1 = worst.1.max(control_core);
        worst.2 = worst.2.max(loaded.rss_mb);
        bytes.push((routers as f64, control_bytes));
        cores.push((routers as f64, control_core));
        rows.push(json!({
            "routers": routers,
            "control_bytes_per_s": control_bytes,
            "measured_bytes_per_s": loaded.bytes_per_s,
            "idle_bytes_per_s": idle.bytes_per_s,
            "idle_core": idle.core,
            "cpu_ms_per_request": cpu * 1e3,
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
        "control_bytes_per_s": worst.0,
        "control_core_share": worst.1,
        "rss_mb": worst.2,
        "bytes_per_s_per_router": slope(&bytes),
        "core_share_per_router": slope(&cores),
        "data_path_cpu_ms_per_request": data_cpu * 1e3,
        "sizes": rows,
    });
    let histories = last.ok_or_else(|| Error::Unknown("control".to_owned()))?;
    Ok(Outcome::new(fields, &histories))
}
