//! Limits on the records and response bytes of a table, in total and for each team, so that one
//! team cannot fill the table.

use indexmap::IndexMap;
use tsw_base::name;

/// Limits of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum number of records of one team.
    pub team_records: usize,
    /// Response body bytes at which the table takes no further record.
    pub bytes: usize,
    /// Longest response body that is stored, in bytes. Later calls with the same key get "unknown"
    /// instead of a longer one.
    pub response_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 40_000,
            team_records: 10_000,
            bytes: 32_000_000,
            response_bytes: 65_536,
        }
    }
}

/// Current usage of a table, checked against its limits.
#[derive(Clone, Debug)]
pub(crate) struct Quota {
    limits: Limits,
    records: usize,
    bytes: usize,
    teams: IndexMap<name::Team, usize>,
}

impl Quota {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: 0,
            bytes: 0,
            teams: IndexMap::new(),
        }
    }

    pub(crate) const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether another record of the team fits.
    pub(crate) fn has_room(&self, team: &name::Team) -> bool {
        let held = self.teams.get(team).copied().unwrap_or(0);
        self.records < self.limits.records
            && held < self.limits.team_records
            && self.bytes < self.limits.bytes
    }

    pub(crate) fn add(&mut self, team: &name::Team) {
        self.records += 1;
        *self.teams.entry(team.clone()).or_default() += 1;
    }

    pub(crate) fn remove(&mut self, team: &name::Team, bytes: usize) {
        self.records = self.records.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
        if let Some(held) = self.teams.get_mut(team) {
            *held -= 1;
            if *held == 0 {
                self.teams.swap_remove(team);
            }
        }
    }

    pub(crate) fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }
}
