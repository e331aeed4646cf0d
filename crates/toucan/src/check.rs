//! `toucan check`.

use std::path::{Path, PathBuf};

use tsw_config::{check, collect, gateway, settings};

use crate::Outcome;

/// Checks directories and settings files, and prints every fault.
pub fn run(paths: &[PathBuf]) -> Result<Outcome, collect::Error> {
    if paths.is_empty() {
        eprintln!("toucan: nothing to check; give a directory or a settings file");
        return Ok(Outcome::Usage);
    }
    let mut count = 0;
    for path in paths {
        count += match path.is_dir() {
            true => directory(path)?,
            false => file(path),
        };
    }
    if count == 0 {
        return Ok(Outcome::Success);
    }
    crate::say!("{count} faults found");
    Ok(Outcome::Faults)
}

/// Checks team and service files; returns the number of faults. A directory without any counts as a
/// fault, because it is most likely the wrong one.
fn directory(path: &Path) -> Result<usize, collect::Error> {
    let files = collect::walk(path)?;
    let shown = path.display();
    if files.is_empty() {
        crate::say!("{shown}: no *.team.yaml and no *.service.yaml; give the directory with them");
        return Ok(1);
    }
    let set = check::FileSet::read(&files);
    for fault in set.faults() {
        crate::say!("{fault}");
    }
    let (teams, services) = (set.team_count(), set.service_count());
    crate::say!("{shown}: teams: {teams}, services: {services}");
    Ok(set.faults().len())
}

/// Checks a settings file; returns the number of faults.
fn file(path: &Path) -> usize {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let host = if gateway::Settings::is_gateway_format(&text) {
        gateway::Settings::load(path).map(|settings| settings.host)
    } else {
        settings::Settings::load(path).map(|settings| settings.host.to_string())
    };
    match host {
        Ok(host) => {
            crate::say!("{}: settings of {host}", path.display());
            0
        }
        Err(fault) => {
            crate::say!("{fault}");
            1
        }
    }
}
