//! The experiments. Each returns the fields of its result.

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

/// Routers of a deployment.
pub const ROUTERS: usize = 7;
/// Teams of a deployment.
pub const TEAMS: usize = 16;

/// Names of the experiments, in order of priority.
pub const NAMES: [&str; 7] = [
    "fairness", "crest", "control", "mixed", "slow", "flood", "faults",
];

/// Why an experiment has no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet failed.
    #[error(transparent)]
    Launch(#[from] launch::Error),
    /// A control call failed.
    #[error(transparent)]
    Http(#[from] crate::http::Error),
    /// A file failed.
    #[error("cannot read a history: {0}")]
    Io(#[from] std::io::Error),
    /// There is no experiment of that name.
    #[error("unknown scenario {0:?}; use one of {list}", list = NAMES.join(", "))]
    Unknown(String),
}

/// The result of an experiment.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Measured fields.
    pub fields: Map<String, Value>,
    /// What the checker found.
    pub findings: check::Findings,
}

impl Outcome {
    /// Puts the fields together with what the checker found in the history.
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
/// Returns why there is no result.
pub async fn run(name: &str, options: &session::Options) -> Result<Outcome, Error> {
    match name {
        "fairness" => fairness::run(options).await,
        "crest" => crest::run(options).await,
        "control" => control::run(options).await,
        "mixed" => mixed::run(options).await,
        "slow" => slow::run(options).await,
        "flood" => flood::run(options).await,
        "faults" => faults::run(options).await,
        _ => Err(Error::Unknown(name.to_owned())),
    }
}

/// Starts the usual fleet of a deployment.
async fn usual(options: &session::Options) -> Result<Session, launch::Error> {
    let fleet = plan::FleetPlan::new(options.deployment, ROUTERS, None, TEAMS);
    Session::start(options, fleet, settings::Level::Warn).await
}

/// Returns the requests a second that keep all engines of a fleet busy with short requests.
fn capacity_rate(fleet: &plan::FleetPlan) -> f64 {
    /// Length of a step with a full batch, and mean tokens of a short request.
    const STEP_S: f64 = 0.020;
    const TOKENS: f64 = 35.0;
    f64::from(fleet.slots(&fleet.model)) / (STEP_S * TOKENS)
}

/// Returns counts of operations and of their outcomes, for every result.
fn counts(histories: &Histories, service: &str) -> Value {
    let mut counts = std::collections::BTreeMap::new();
    for attempt in histories.attempts(service) {
        let name = format!("{:?}", attempt.outcome).to_lowercase();
        *counts.entry(name).or_insert(0_u64) += 1;
    }
    json!(counts)
}
