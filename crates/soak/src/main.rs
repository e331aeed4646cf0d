//! Runs the soak test for a range of seeds and prints the guarantees that were violated.

mod flags;

use std::time::Duration;

use eyre::{eyre, Result};
use rand::Rng;
use tsw_soak::{
    fault::Plan,
    history::WholeStreams,
    run::{self, Settings},
};

#[actix_rt::main]
async fn main() -> Result<()> {
    let flags = flags::Soak::from_env_or_exit();
    let program = match flags.program {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("toucand"),
    };
    let other_program = flags.other_program.as_ref().unwrap_or(&program);
    let programs = [program.as_path(), other_program];
    let selected: Vec<Plan> = [
        (flags.releases, Plan::Releases),
        (flags.returns, Plan::Returns),
        (flags.mixed, Plan::Mixed),
        (flags.partitioned, Plan::Partitioned),
    ]
    .into_iter()
    .filter_map(|(is_selected, plan)| is_selected.then_some(plan))
    .collect();
    let plan = match selected[..] {
        [] => Plan::Faults,
        [plan] => plan,
        _ => {
            return Err(eyre!(
                "--releases, --returns, --mixed and --partitioned exclude each other"
            ))
        }
    };
    let length = Duration::from_secs(flags.length_s.unwrap_or(12));
    let first_seed = flags
        .seed
        .unwrap_or_else(|| rand::thread_rng().gen_range(0..1 << 32));
    let mut failed_seeds = Vec::new();
    for seed in first_seed..first_seed + flags.count.unwrap_or(1) {
        let directory = tempfile::tempdir()?;
        let mut settings = if flags.plain {
            Settings::plain(plan, seed, length)
        } else {
            Settings::of_seed(plan, seed, length)
        };
        settings.starts = flags.starts.unwrap_or(settings.starts);
        settings.store_faults = flags.store_faults.unwrap_or(settings.store_faults);
        let outcome = run::run_seed(&programs, directory.path(), settings).await?;
        println!(
            "seed {seed}: {} requests, {:.3} served, {:.3} served after recovery, {} faults, {} violations",
            outcome.requests,
            outcome.served_ratio,
            outcome.served_ratio_after_recovery,
            outcome.faults.len(),
            outcome.violations.len()
        );
        if plan != Plan::Faults {
            println!(
                "  starts: {}, faults of the store's history: {}, freezes: {}, short route: {}, time limits \
                 of tries: {}",
                settings.starts,
                settings.store_faults,
                settings.has_freezes,
                settings.has_short_route,
                settings.has_try_limits
            );
            let WholeStreams { begun, whole } = outcome.whole;
            println!(
                "  streams: {begun} begun, {whole} whole, {}",
                outcome.streams[0]
            );
            println!("  streams, all routers restarted: {}", outcome.streams[1]);
            println!("  streams at routers in touch: {:?}", outcome.shares);
        }
        if flags.keep || !outcome.violations.is_empty() {
            for scheduled in &outcome.faults {
                println!(
                    "  {:>6} ms for {:>4} ms: {:?}",
                    scheduled.start.as_millis(),
                    scheduled.duration.as_millis(),
                    scheduled.fault
                );
            }
            if !outcome.violations.is_empty() {
                failed_seeds.push(seed);
            }
            for violation in &outcome.violations {
                println!("  VIOLATION {violation}");
            }
            let logs = flags.logs.clone().unwrap_or_else(std::env::temp_dir);
            let kept_directory = logs.join(format!("soak-{seed}"));
            std::fs::create_dir_all(&logs)?;
            std::fs::rename(directory.keep(), &kept_directory)?;
            println!("  logs: {}", kept_directory.display());
        }
    }
    if failed_seeds.is_empty() {
        Ok(())
    } else {
        Err(eyre!(
            "guarantees were violated with seeds {failed_seeds:?}"
        ))
    }
}
