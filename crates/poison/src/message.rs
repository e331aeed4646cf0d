//! Message between routers about requests that crash upstreams.

use serde::{Deserialize, Serialize};
use tsw_base::{name, time};

/// Fingerprint of a request: a hash of its team, service, path and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u128);

/// Findings of one router, sent to all other routers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Findings {
    /// The findings.
    pub findings: Vec<Finding>,
}

/// Verdict of a router on one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The verdict on it.
    pub verdict: Verdict,
}

/// Result of the detection for a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// It was in flight when an upstream crashed.
    Suspected {
        /// The upstream that crashed.
        upstream: name::Upstream,
    },
    /// It crashes upstreams, so routers refuse it.
    Confirmed {
        /// Remaining time for which it is refused.
        remaining: time::Span,
    },
    /// It is no longer suspected: it completed, or the upstream did not crash.
    Cleared,
}
