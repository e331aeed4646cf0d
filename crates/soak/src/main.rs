//! Plays seeds of the soak and prints what broke.

mod flags;

use std::time::Duration;

use eyre::{eyre, Result};
use rand::Rng;
use tsw_soak::run;

#[actix_rt::main]
async fn main() -> Result<()> {
    let flags = flags::Soak::from_env_or_exit();
    let program = match flags.program {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("toucand"),
    };
    let length = Duration::from_secs(flags.length_s.unwrap_or(12));
    let first = flags
        .seed
        .unwrap_or_else(|| rand::thread_rng().gen_range(0..1 << 32));
    let mut failed = Vec::new();
    for seed in first..first + flags.count.unwrap_or(1) {
        let directory = tempfile::tempdir()?;
        let outcome = run::play(&program, directory.path(), seed, length).await?;
        println!(
            "seed {seed}: {} requests, {:.3} served, {:.3} after the recovery, {} faults, {} broken",
            outcome.requests,
            outcome.served,
            outcome.served_after,
            outcome.faults.len(),
            outcome.broken.len()
        );
        if !outcome.broken.is_empty() {
            for step in &outcome.faults {
                println!(
                    "  {:>6} ms for {:>4} ms: {:?}",
                    step.at.as_millis(),
                    step.lasts.as_millis(),
                    step.fault
                );
            }
            for broken in &outcome.broken {
                println!("  BROKEN {broken}");
            }
            let logs = flags.logs.clone().unwrap_or_else(std::env::temp_dir);
            let kept = logs.join(format!("soak-{seed}"));
            std::fs::create_dir_all(&logs)?;
            std::fs::rename(directory.keep(), &kept)?;
            println!("  logs: {}", kept.display());
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(eyre!("promises broken with the seeds {failed:?}"))
    }
}
