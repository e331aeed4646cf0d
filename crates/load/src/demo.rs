//! A short demonstration: three routers, several teams, both kinds of service, one planned stop.

use std::time::Duration;

use tsw_config::settings;

use crate::{
    generate::{Generator, TokenMix},
    history::Outcome,
    launch, plan, scenario,
    session::{quantile, Histories, Options, Session, DRAIN_TIMEOUT},
    slot_time::Capacity,
};

const ROUTERS: usize = 3;
const ENGINES: usize = 3;
const TEAMS: usize = 6;
const WARM_UP: Duration = Duration::from_secs(2);
const MEASURED: Duration = Duration::from_secs(6);
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Callers of each team for the model service, so that all teams have waiting requests.
const CALLERS: usize = 16;
const BOOKERS: usize = 1;

/// Runs the demonstration and prints what happened. Returns whether everything went well.
///
/// # Errors
///
/// Returns why the fleet cannot be run.
pub async fn run(options: &Options) -> Result<bool, scenario::Error> {
    let fleet = plan::FleetPlan::new(options.deployment, ROUTERS, Some(ENGINES), TEAMS);
    println!(
        "Starting {ROUTERS} routers in {} failure domains, {ENGINES} model engines and 3 booking \
         workers ...",
        fleet.domains.len()
    );
    let mut session = Session::start(options, fleet, settings::Level::Info).await?;
    let plan = session.fleet.plan().clone();
    for router in &session.fleet.routers {
        println!(
            "  {} in {}: callers {}, operators {}",
            router.host, router.domain, router.caller, router.operator
        );
    }
    println!(
        "Sending requests of {TEAMS} teams to {} (streamed) and {} (run once) ...",
        plan.model, plan.booking
    );
    let seed = options.seed;
    let models = Generator::new(session.client.clone(), &plan, TokenMix::default(), seed);
    let bookings = Generator::new(session.client.clone(), &plan, TokenMix::default(), !seed);
    models.start_closed_loop(false, |_| CALLERS);
    bookings.start_closed_loop(true, |_| BOOKERS);
    tokio::time::sleep(WARM_UP).await;
    let from = session.begin_phase("measure");
    tokio::time::sleep(MEASURED).await;
    let to = session.begin_phase("planned stop");
    let last = session.fleet.routers.len() - 1;
    let stopped = stop(&mut session, last).await?;
    models.stop(DRAIN_TIMEOUT).await;
    bookings.stop(DRAIN_TIMEOUT).await;
    let histories = session.histories()?;
    teams(&plan, &histories, from, to);
    let findings = histories.check();
    println!(
        "\nGraceful stop of {}: {}, {} requests interrupted.",
        session.fleet.routers[last].host,
        if stopped {
            "ended by itself"
        } else {
            "DID NOT END"
        },
        findings.cut_by_planned_stop
    );
    println!(
        "Checked {} operations: {} lost, {} run twice, {} wrongly called not run, {} unknown.",
        findings.operations,
        findings.lost,
        findings.duplicated,
        findings.false_not_run,
        findings.unknown
    );
    for line in findings.details.iter().take(20) {
        println!("  {line}");
    }
    let well = findings.is_clean() && stopped;
    println!(
        "{}",
        if well {
            "All guarantees held."
        } else {
            "FAILED."
        }
    );
    Ok(well)
}

async fn stop(session: &mut Session, index: usize) -> Result<bool, launch::Error> {
    println!(
        "Stopping {} gracefully under load ...",
        session.fleet.routers[index].host
    );
    let recorder = session.client.recorder().clone();
    session.fleet.request_stop(index, &recorder)?;
    let fleet = &mut session.fleet;
    Ok(fleet.wait_stopped(index, STOP_LIMIT, &recorder).await)
}

fn teams(plan: &plan::FleetPlan, histories: &Histories, from: u64, to: u64) {
    let capacity = Capacity::new(plan);
    let served = histories.timeline(plan).received(from, to);
    let whole: f64 = served.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    println!(
        "\n{:<12} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "team", "share", "received", "streamed", "bookings", "not run", "other", "p50 ms", "p99 ms"
    );
    for (index, team) in capacity.teams.iter().enumerate() {
        let count = |service: &str, accept: &dyn Fn(Outcome) -> bool| {
            let attempts = histories.attempts(service).into_iter();
            attempts
                .filter(|a| a.team == *team && accept(a.outcome))
                .count()
        };
        let both = |accept: &dyn Fn(Outcome) -> bool| {
            count(&plan.model, accept) + count(&plan.booking, accept)
        };
        let complete = |outcome| outcome == Outcome::Complete;
        let not_run = |outcome| outcome == Outcome::NotRun;
        let times = histories.latencies_ms(&plan.model, |a| a.team == *team);
        println!(
            "{:<12} {:>5.1}% {:>8.1}% {:>9} {:>9} {:>9} {:>9} {:>9.0} {:>9.0}",
            team,
            capacity.shares[index] * 100.0,
            served[index] / whole * 100.0,
            count(&plan.model, &complete),
            count(&plan.booking, &complete),
            both(&not_run),
            both(&|outcome| !complete(outcome) && !not_run(outcome)),
            quantile(&times, 0.5),
            quantile(&times, 0.99),
        );
    }
    println!("(received: part of the engines' slot time while all teams had waiting requests)");
}
