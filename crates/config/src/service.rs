//! The file that describes a service.

use serde::{Deserialize, Serialize};
use tsw_base::name;

/// A service and how its upstreams are to be used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub service: name::Service,
    /// What its upstreams are.
    pub kind: Kind,
    /// Whether a call may be run more than once. A call of a service that is not repeatable needs a
    /// permit.
    pub repeatable: bool,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Models that the engines are to hold. Empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether the engines refuse an order with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Cost hint, in tokens, up to which a request counts as short.
    #[serde(default = "default_short_tokens")]
    pub short_tokens: u32,
    /// Deadline of a request that names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// Cost hint, in tokens, up to which a request counts as short, unless the file says otherwise.
pub const DEFAULT_SHORT_TOKENS: u32 = 256;

/// Deadline of a request that names none, in milliseconds, unless the file says otherwise.
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;

const fn default_short_tokens() -> u32 {
    DEFAULT_SHORT_TOKENS
}

const fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// What the upstreams of a service are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that stream tokens.
    Model,
    /// Workers of a plain service.
    Plain,
}

/// What the engines of a service do with an order that carries an old fencing number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// They refuse it.
    Checked,
    /// They carry it out.
    #[default]
    Ignored,
}

/// A model that the engines of a service are to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model, adapter or version.
    pub model: name::Model,
    /// Number of engines that are to hold it. All engines of the service hold it when absent.
    #[serde(default)]
    pub replicas: Option<u32>,
}
