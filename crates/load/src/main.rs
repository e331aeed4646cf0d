//! Load generator, experiments and checks for a fleet of routers.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use eyre::Context as _;
use serde_json::json;
use tokio::signal::unix;
use tsw_load::{
    baseline, demo, plan::Deployment, policy::Policy, process, report, scenario, session,
};

mod flags;

/// Largest number of violations whose descriptions are printed.
const MAX_DETAILS: usize = 20;

fn main() -> eyre::Result<ExitCode> {
    let flags = flags::TswLoad::from_env_or_exit();
    if let flags::TswLoadCmd::Child(flags) = &flags.subcommand {
        let (program, arguments) = flags
            .command
            .split_first()
            .ok_or_else(|| eyre::eyre!("name the program to run after --"))?;
        return Err(process::exec_child(Path::new(program), arguments).into());
    }
    actix_rt::System::new().block_on(async {
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        // A signal drops the future, which kills all processes that it started.
        tokio::select! {
            result = run(flags) => result,
            _ = terminate.recv() => Ok(ExitCode::FAILURE),
            _ = tokio::signal::ctrl_c() => Ok(ExitCode::FAILURE),
        }
    })
}

async fn run(flags: flags::TswLoad) -> eyre::Result<ExitCode> {
    match flags.subcommand {
        flags::TswLoadCmd::BaselineRouter(flags) => run_baseline(flags.config).await,
        flags::TswLoadCmd::Child(_) => Ok(ExitCode::FAILURE),
        flags::TswLoadCmd::Measure(flags) => measure(flags).await,
        flags::TswLoadCmd::Report(flags) => {
            let output = flags.output.unwrap_or_else(|| PathBuf::from("."));
            let page = report::write(&flags.file, &output)?;
            println!("{}", page.display());
            Ok(ExitCode::SUCCESS)
        }
        flags::TswLoadCmd::Try(flags) => run_demo(flags).await,
    }
}

async fn run_baseline(path: PathBuf) -> eyre::Result<ExitCode> {
    let bytes = fs::read(&path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let config: baseline::Config = serde_json::from_slice(&bytes)?;
    baseline::run(config).await?;
    Ok(ExitCode::SUCCESS)
}

async fn run_demo(flags: flags::Try) -> eyre::Result<ExitCode> {
    let options = session::Options {
        deployment: flags.deployment.unwrap_or(Deployment::Harborgray),
        policy: Policy::Toucan,
        seed: flags.seed.unwrap_or(1),
        seconds: None,
        exact_hints: false,
        directory: flags.directory,
    };
    Ok(match demo::run(&options).await? {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

async fn measure(flags: flags::Measure) -> eyre::Result<ExitCode> {
    let options = session::Options {
        deployment: flags.deployment,
        policy: flags.policy.unwrap_or(Policy::Toucan),
        seed: flags.seed.unwrap_or(1),
        seconds: flags.seconds,
        exact_hints: flags.exact_hints,
        directory: flags.directory,
    };
    let experiment = scenario::run(&flags.scenario, &options).await?;
    let findings = &experiment.findings;
    let mut result = json!({
        "scenario": flags.scenario,
        "deployment": options.deployment.as_str(),
        "policy": options.policy.as_str(),
        "seed": options.seed,
    });
    if let Some(map) = result.as_object_mut() {
        map.extend(experiment.fields.clone());
        if let Ok(serde_json::Value::Object(mut counts)) = serde_json::to_value(findings) {
            counts.remove("details");
            map.extend(counts);
        }
    }
    for line in findings.details.iter().take(MAX_DETAILS) {
        eprintln!("{line}");
    }
    if flags.json {
        println!("{result}");
    } else if let Some(map) = result.as_object() {
        for (key, value) in map {
            println!("{key:<28} {value}");
        }
    }
    Ok(match findings.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
