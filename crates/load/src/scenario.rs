//! The experiments, named scenarios on the command line. Each returns the fields of its result.

use serde_json::{json, Map, Value};
use tsw_config::settings;

use crate::{
    check, launch, plan,
    session::{self, Histories, Session},
};

mod control;
mod crest;
mod fairness;
mod faults;
mod flood;
mod mixed;
mod slow;

/// Number of routers of a deployment.
pub const ROUTERS: usize = 7;
/// Number of teams of a deployment.
pub const TEAMS: usize = 16;

/// Names of the experiments, in order of priority.
pub const NAMES: [&str; 7] = [
    "fairness", "crest", "control", "mixed", "slow", "flood", "faults",
];

/// Why an experiment has no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet could not be started or controlled.
    #[error(transparent)]
    Launch(#[from] launch::Error),
    /// A control request failed.
    #[error(transparent)]
    Http(#[from] crate::http::Error),
    /// A history file could not be read.
    #[error("cannot read a history: {0}")]
    Io(#[from] std::io::Error),
    /// There is no experiment of that name.
    #[error("unknown scenario {0:?}; use one of {list}", list = NAMES.join(", "))]
    UnknownScenario(String),
}

/// The result of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentResult {
    /// Measured fields.
    pub fields: Map<String, Value>,
    /// Violations of the guarantees.
    pub findings: check::Findings,
}

impl ExperimentResult {
    /// Returns a result with the measured `fields` and the violations found in the histories.
    #[must_use]
    pub fn new(fields: Value, histories: &Histories) -> Self {
        let fields = match fields {
            Value::Object(map) => map,
            _ => Map::new(),
        };
        Self {
            fields,
            findings: histories.check(),
        }
    }
}

/// Runs an experiment.
///
/// # Errors
///
/// Returns an error when the scenario is unknown or the experiment cannot be carried out.
pub async fn run(name: &str, options: &session::Options) -> Result<ExperimentResult, Error> {
    match name {
        "fairness" => fairness::run(options).await,
        "crest" => crest::run(options).await,
        "control" => control::run(options).await,
        "mixed" => mixed::run(options).await,
        "slow" => slow::run(options).await,
        "flood" => flood::run(options).await,
        "faults" => faults::run(options).await,
        _ => Err(Error::UnknownScenario(name.to_owned())),
    }
}

/// Starts the standard fleet of a deployment.
async fn start_standard_fleet(options: &session::Options) -> Result<Session, launch::Error> {
    let plan = plan::FleetPlan::new(options.deployment, ROUTERS, None, TEAMS);
    Session::start(options, plan, settings::Level::Warn).await
}

/// Returns the rate of short requests, per second, that keeps all engines of a fleet busy.
fn capacity_rate(fleet: &plan::FleetPlan) -> f64 {
    /// Length of an engine step with a full batch.
    const FULL_STEP_S: f64 = 0.020;
    /// Mean number of tokens of a short request.
    const MEAN_TOKENS: f64 = 35.0;
    f64::from(fleet.slots(&fleet.model)) / (FULL_STEP_S * MEAN_TOKENS)
}

/// Returns the number of attempts of a service by outcome.
fn outcome_counts(histories: &Histories, service: &str) -> Value {
    let mut counts = std::collections::BTreeMap::new();
    for attempt in histories.attempts(service) {
        let name = format!("{:?}", attempt.outcome).to_lowercase();
        *counts.entry(name).or_insert(0_u64) += 1;
    }
    json!(counts)
}
