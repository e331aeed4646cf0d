//! Service files.

use serde::{Deserialize, Serialize};
use tsw_base::name;

/// A service and how routers use its upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub service: name::Service,
    /// Kind of the upstreams.
    pub kind: Kind,
    /// Whether a call may run more than once. If not, each call needs a permit.
    pub repeatable: bool,
    /// Number of requests that one upstream runs concurrently.
    pub slots: u32,
    /// Models that the engines must load. Empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether the engines refuse an order with an outdated fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Maximum cost hint, in tokens, of a request that counts as short.
    #[serde(default = "default_short_tokens")]
    pub short_tokens: u32,
    /// Deadline of requests that specify none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// Default maximum cost hint, in tokens, of a request that counts as short.
pub const DEFAULT_SHORT_TOKENS: u32 = 256;

/// Default deadline of requests that specify none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;

const fn default_short_tokens() -> u32 {
    DEFAULT_SHORT_TOKENS
}

const fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// Kind of the upstreams of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that stream tokens.
    Model,
    /// Workers of a plain service.
    Plain,
}

/// What the engines of a service do with an order with an outdated fencing number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engines refuse the order.
    Checked,
    /// The engines execute the order.
    #[default]
    Ignored,
}

/// A model that the engines of a service must load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model, adapter or version.
    pub model: name::Model,
    /// Number of engines that must load the model; all engines of the service if absent.
    #[serde(default)]
    pub replicas: Option<u32>,
}
