//! The command `toucan check`.

use std::path::{Path, PathBuf};

use tsw_config::{check, collect, gateway, settings};

use crate::Outcome;

/// Checks directories and settings files and prints every fault.
pub fn run(paths: &[PathBuf]) -> Result<Outcome, collect::Error> {
    if paths.is_empty() {
        eprintln!("toucan: nothing to check; give a directory or a settings file");
        return Ok(Outcome::Usage);
    }
    let mut count = 0;
    for path in paths {
        count += match path.is_dir() {
            true => check_directory(path)?,
            false => check_file(path),
        };
    }
    if count == 0 {
        return Ok(Outcome::Success);
    }
    crate::print_line!("{count} faults found");
    Ok(Outcome::Faults)
}

/// Checks the team and service files below a directory and returns the number of faults. A directory
/// without such files counts as a fault, because it is most likely the wrong one.
fn check_directory(path: &Path) -> Result<usize, collect::Error> {
    let files = collect::walk(path)?;
    let shown = path.display();
    if files.is_empty() {
        crate::print_line!(
            "{shown}: no *.team.yaml and no *.service.yaml; give the directory with them"
        );
        return Ok(1);
    }
    let set = check::FileSet::read(&files);
    for fault in set.faults() {
        crate::print_line!("{fault}");
    }
    let (teams, services) = (set.team_count(), set.service_count());
    crate::print_line!("{shown}: teams: {teams}, services: {services}");
    Ok(set.faults().len())
}

/// Checks a settings file and returns the number of faults.
fn check_file(path: &Path) -> usize {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let host = if gateway::Settings::is_gateway_format(&text) {
        gateway::Settings::load(path).map(|settings| settings.host)
    } else {
        settings::Settings::load(path).map(|settings| settings.host.to_string())
    };
    match host {
        Ok(host) => {
            crate::print_line!("{}: settings of {host}", path.display());
            0
        }
        Err(fault) => {
            crate::print_line!("{fault}");
            1
        }
    }
}
