//! Payload of the message between routers about requests that crash upstreams.

use serde::{Deserialize, Serialize};
use tsw_base::{name, time};

/// Fingerprint of a request: a hash of team, service, path and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u128);

/// Findings of one router, sent to all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The findings.
    pub findings: Vec<Finding>,
}

/// What a router found out about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was found.
    pub verdict: Verdict,
}

/// What was found out about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// It was in flight when an upstream crashed.
    Suspected {
        /// The upstream that crashed.
        upstream: name::Upstream,
    },
    /// It crashes upstreams and is refused.
    Confirmed {
        /// Time for which it is still refused.
        remaining: time::Span,
    },
    /// It completed.
    Cleared,
}
