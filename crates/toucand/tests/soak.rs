//! Plays short seeds of the soak with the real router: faults from outside that overlap, and
//! clients that keep using open connections. Guards against promises that hold for single faults
//! only. Longer runs with other seeds: `cargo run --release -p tsw-soak -- --help`.

use std::{path::Path, time::Duration};

use tsw_soak::run;

/// Time in which the faults begin and end.
const LENGTH: Duration = Duration::from_secs(6);
/// Seeds that are played in each run of the tests. A seed that ever failed is added with a line on
/// its cause.
const SEEDS: [u64; 1] = [1];

#[actix_rt::test]
async fn promises_hold_while_faults_overlap() {
    for seed in SEEDS {
        let directory = tempfile::tempdir().expect("a directory");
        let program = Path::new(env!("CARGO_BIN_EXE_toucand"));
        let outcome = run::run_seed(program, directory.path(), seed, LENGTH).await;
        let outcome = outcome.expect("played");
        assert!(outcome.requests > 0, "seed {seed}: no requests");
        assert!(outcome.violations.is_empty(), "seed {seed}: {outcome:#?}");
    }
}
