//! Checks all team and service files together.

use std::path::PathBuf;

use indexmap::IndexMap;
use tsw_base::name;

use crate::{
    bundle,
    collect::{File, Kind as FileKind},
    document,
    fault::{Fault, Kind},
    team,
};

/// The teams and services read from a set of files, and the faults in them.
pub struct FileSet {
    teams: Vec<document::TeamFile>,
    services: Vec<document::ServiceFile>,
    faults: Vec<Fault>,
}

/// An error while building the bundle.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The files have faults.
    #[error("{count} faults in the files; run `toucan check` and correct them")]
    Faults {
        /// Number of faults.
        count: usize,
    },
    /// The bundle is invalid, for example too large.
    #[error(transparent)]
    Bundle(#[from] bundle::Error),
}

impl FileSet {
    /// Parses and checks files. Faults are sorted by file and line.
    ///
    /// ```
    /// use tsw_config::{check, collect};
    ///
    /// let file = collect::File {
    ///     path: "counter.team.yaml".into(),
    ///     kind: collect::Kind::Team,
    ///     text: "team: counter\ntokens: []\nshares:\n  pickups: 0.5\n".to_owned(),
    /// };
    /// let set = check::FileSet::read(&[file]);
    /// let fault = set.faults()[0].to_string();
    /// assert_eq!(fault, "counter.team.yaml:4: no file describes service pickups");
    /// ```
    #[must_use]
    pub fn read(files: &[File]) -> Self {
        let mut set = Self {
            teams: Vec::new(),
            services: Vec::new(),
            faults: Vec::new(),
        };
        for file in files {
            let faults = match file.kind {
                FileKind::Team => {
                    let (team, faults) = document::parse_team(file);
                    set.teams.push(team);
                    faults
                }
                FileKind::Service => {
                    let (service, faults) = document::parse_service(file);
                    set.services.push(service);
                    faults
                }
            };
            set.faults.extend(faults);
        }
        set.check_names();
        set.check_shares();
        set.check_tokens();
        set.faults
            .sort_by(|a, b| (&a.path, a.line).cmp(&(&b.path, b.line)));
        set
    }

    /// Returns the faults found in the files.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns the number of teams.
    #[must_use]
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Returns the number of services.
    #[must_use]
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Builds the bundle. Its bytes do not depend on the order of the files.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Faults`] if the files have faults, or [`Error::Bundle`] if the bundle is
    /// invalid.
    pub fn bundle(&self, revision: u64) -> Result<bundle::Bundle, Error> {
        if !self.faults.is_empty() {
            let count = self.faults.len();
            return Err(Error::Faults { count });
        }
        let services = self.services.iter().filter_map(|file| file.service.clone());
        let mut services: IndexMap<_, _> = services.map(|s| (s.service.clone(), s)).collect();
        services.sort_unstable_keys();
        let teams = self.teams.iter().filter_map(|file| file.team.clone());
        let mut teams: IndexMap<_, _> = teams.map(|team| (team.team.clone(), team)).collect();
        teams.sort_unstable_keys();
        for team in teams.values_mut() {
            team.shares.sort_unstable_keys();
            team.tokens.sort_unstable();
        }
        let bundle = bundle::Bundle {
            revision,
            services,
            teams,
        };
        bundle.check()?;
        bundle.to_bytes()?;
        Ok(bundle)
    }

    fn check_names(&mut self) {
        let mut teams: IndexMap<&name::Team, &PathBuf> = IndexMap::new();
        for file in &self.teams {
            let Some(name) = &file.name else { continue };
            if let Some(first) = teams.get(name) {
                let kind = Kind::DuplicateTeam {
                    team: name.clone(),
                    first: (*first).clone(),
                };
                let line = document::find_key_line(&file.text, "team");
                self.faults.push(fault_at(&file.path, line, kind));
            } else {
                teams.insert(name, &file.path);
            }
        }
        let mut services: IndexMap<&name::Service, &PathBuf> = IndexMap::new();
        for file in &self.services {
            let Some(name) = &file.name else { continue };
            if let Some(first) = services.get(name) {
                let kind = Kind::DuplicateService {
                    service: name.clone(),
                    first: (*first).clone(),
                };
                let line = document::find_key_line(&file.text, "service");
                self.faults.push(fault_at(&file.path, line, kind));
            } else {
                services.insert(name, &file.path);
            }
        }
    }

    /// Reports shares of unknown services, and services whose shares sum to more than 1. The latter
    /// are reported in every team file with such a share, as any of them may need the correction.
    fn check_shares(&mut self) {
        let names = self.services.iter().filter_map(|file| file.name.as_ref());
        let mut sums: IndexMap<&name::Service, u64> = names.map(|name| (name, 0)).collect();
        let shares = self.teams.iter().flat_map(|file| &file.shares);
        for (service, share) in shares {
            if let Some(sum) = sums.get_mut(service) {
                *sum += u64::from(share.as_ppm());
            }
        }
        for file in &self.teams {
            let section_line = document::find_key_line(&file.text, "shares");
            for service in file.shares.keys() {
                let kind = match sums.get(service) {
                    None => Kind::UnknownService {
                        service: service.clone(),
                    },
                    Some(sum) if *sum > u64::from(team::Share::WHOLE_PPM) => {
                        Kind::SharesExceedCapacity {
                            service: service.clone(),
                            sum_ppm: *sum,
                        }
                    }
                    Some(_) => continue,
                };
                let line = document::find_line(&file.text, section_line, service.as_str());
                self.faults.push(fault_at(&file.path, line, kind));
            }
        }
    }

    fn check_tokens(&mut self) {
        let mut owners: IndexMap<&str, &document::TeamFile> = IndexMap::new();
        for file in &self.teams {
            for token in &file.tokens {
                match owners.get(token.as_str()) {
                    Some(first) if first.path != file.path => {
                        let Some(team) = first.name.clone() else {
                            continue;
                        };
                        let section_line = document::find_key_line(&file.text, "tokens");
                        let line = document::find_line(&file.text, section_line, token);
                        let kind = Kind::DuplicateToken { team };
                        self.faults.push(fault_at(&file.path, line, kind));
                    }
                    _ => drop(owners.insert(token, file)),
                }
            }
        }
    }
}

fn fault_at(path: &std::path::Path, line: usize, kind: Kind) -> Fault {
    Fault {
        path: path.to_owned(),
        line,
        kind,
    }
}
