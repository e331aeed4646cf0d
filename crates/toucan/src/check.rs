//! `toucan check`.

use std::path::PathBuf;

use tsw_config::{check, collect, settings};

use crate::Outcome;

/// Checks directories and settings files, and prints every fault.
pub fn run(paths: &[PathBuf]) -> Result<Outcome, collect::Error> {
    if paths.is_empty() {
        eprintln!("toucan: nothing to check; give a directory or a settings file");
        return Ok(Outcome::Usage);
    }
    let mut count = 0;
    for path in paths {
        if path.is_dir() {
            let set = check::Set::read(&collect::walk(path)?);
            for fault in set.faults() {
                println!("{fault}");
            }
            count += set.faults().len();
            let (teams, services) = (set.teams(), set.services());
            println!("{}: teams: {teams}, services: {services}", path.display());
        } else {
            match settings::Settings::load(path) {
                Ok(settings) => println!("{}: settings of {}", path.display(), settings.host),
                Err(fault) => {
                    println!("{fault}");
                    count += 1;
                }
            }
        }
    }
    match count {
        0 => Ok(Outcome::Success),
        count => {
            println!("{count} faults found");
            Ok(Outcome::Faults)
        }
    }
}
