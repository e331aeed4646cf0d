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

impl Findings {
    /// Splits the findings into those about whole requests, and those about what requests have in
    /// common.
    ///
    /// ```
    /// use tsw_poison::{Finding, Findings, Fingerprint, Verdict};
    /// let both = [Fingerprint(7), Fingerprint::of_part(b"reviews", 1)];
    /// let findings = both.map(|fingerprint| Finding { fingerprint, verdict: Verdict::Cleared });
    /// let (requests, causes) = Findings { findings: findings.to_vec() }.split();
    /// assert_eq!((requests.findings.len(), causes.findings.len()), (1, 1));
    /// ```
    #[must_use]
    pub fn split(self) -> (Self, Self) {
        let findings = self.findings.into_iter();
        let (causes, requests) = findings.partition(|finding| finding.fingerprint.is_tagged());
        (Self { findings: requests }, Self { findings: causes })
    }
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
