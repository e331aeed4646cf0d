//! A short demonstration: three routers, several teams, both kinds of service, one graceful stop.

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
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Callers of the model service for each team, enough for all teams to have waiting requests.
const MODEL_CALLERS: usize = 16;
/// Callers of the booking service for each team.
const BOOKING_CALLERS: usize = 1;

/// Runs the demonstration and prints its results. Returns whether there were no violations and the
/// router stopped in time.
///
/// # Errors
///
/// Returns an error when the fleet cannot be started or controlled.
pub async fn run(options: &Options) -> Result<bool, scenario::Error> {
    let plan = plan::FleetPlan::new(options.deployment, ROUTERS, Some(ENGINES), TEAMS);
    println!(
        "Starting {ROUTERS} routers in {} failure domains, {ENGINES} model engines and 3 booking \
         workers ...",
        plan.domains.len()
    );
    let mut session = Session::start(options, plan, settings::Level::Info).await?;
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
    models.start_closed_loop(false, |_| MODEL_CALLERS);
    bookings.start_closed_loop(true, |_| BOOKING_CALLERS);
    tokio::time::sleep(WARM_UP).await;
    let from = session.begin_phase("measure");
    tokio::time::sleep(MEASURED).await;
    let to = session.begin_phase("planned stop");
    let router = session.fleet.routers.len() - 1;
    let stopped = stop_router(&mut session, router).await?;
    models.stop(DRAIN_TIMEOUT).await;
    bookings.stop(DRAIN_TIMEOUT).await;
    let histories = session.histories()?;
    print_teams(&plan, &histories, from, to);
    let findings = histories.check();
    println!(
        "\nGraceful stop of {}: {}, {} requests interrupted.",
        session.fleet.routers[router].host,
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
    let passed = findings.is_clean() && stopped;
    println!(
        "{}",
        if passed {
            "All guarantees held."
        } else {
            "FAILED."
        }
    );
    Ok(passed)
}

async fn stop_router(session: &mut Session, index: usize) -> Result<bool, launch::Error> {
    println!(
        "Stopping {} gracefully under load ...",
        session.fleet.routers[index].host
    );
    let recorder = session.client.recorder().clone();
    session.fleet.request_stop(index, &recorder)?;
    let fleet = &mut session.fleet;
    Ok(fleet.wait_stopped(index, STOP_TIMEOUT, &recorder).await)
}

fn print_teams(plan: &plan::FleetPlan, histories: &Histories, from: u64, to: u64) {
    let capacity = Capacity::new(plan);
    let received = histories.timeline(plan).received(from, to);
    let total: f64 = received.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    println!(
        "\n{:<12} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "team", "share", "received", "streamed", "bookings", "not run", "other", "p50 ms", "p99 ms"
    );
    for (index, team) in capacity.teams.iter().enumerate() {
        let count = |service: &str, matches: &dyn Fn(Outcome) -> bool| {
            let attempts = histories.attempts(service).into_iter();
            attempts
                .filter(|a| a.team == *team && matches(a.outcome))
                .count()
        };
        let count_both = |matches: &dyn Fn(Outcome) -> bool| {
            count(&plan.model, matches) + count(&plan.booking, matches)
        };
        let complete = |outcome| outcome == Outcome::Complete;
        let not_run = |outcome| outcome == Outcome::NotRun;
        let latencies = histories.latencies_ms(&plan.model, |a| a.team == *team);
        println!(
            "{:<12} {:>5.1}% {:>8.1}% {:>9} {:>9} {:>9} {:>9} {:>9.0} {:>9.0}",
            team,
            capacity.shares[index] * 100.0,
            received[index] / total * 100.0,
            count(&plan.model, &complete),
            count(&plan.booking, &complete),
            count_both(&not_run),
            count_both(&|outcome| !complete(outcome) && !not_run(outcome)),
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.99),
        );
    }
    println!("(received: part of the engines' slot time while all teams had waiting requests)");
}
