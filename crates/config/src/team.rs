//! Team files.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_base::name;

/// Default maximum number of requests that a team may have queued at one router for one service.
pub const DEFAULT_QUEUE_LIMIT: u32 = 256;

/// A team, its credentials and its shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub team: name::Team,
    /// SHA-256 digests, in lower-case hexadecimal, of the bearer tokens that the team may use.
    pub tokens: Vec<String>,
    /// Guaranteed share of the capacity of each service.
    pub shares: IndexMap<name::Service, Share>,
    /// Maximum number of requests queued at one router for one service.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

const fn default_queue_limit() -> u32 {
    DEFAULT_QUEUE_LIMIT
}

/// A share of a service's capacity, in millionths.
///
/// Files contain it as a decimal number above 0 and at most 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct Share(u32);

/// A number that is not a valid share.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("the share {0} is not above 0 and at most 1")]
pub struct Error(pub f64);

impl Share {
    /// The whole capacity of a service, in millionths.
    pub const WHOLE_PPM: u32 = 1_000_000;

    /// Returns the share in millionths.
    #[must_use]
    pub const fn as_ppm(self) -> u32 {
        self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;

    fn try_from(fraction: f64) -> Result<Self, Error> {
        let ppm = (fraction * f64::from(Self::WHOLE_PPM)).round();
        if ppm >= 1.0 && ppm <= f64::from(Self::WHOLE_PPM) {
            Ok(Self(ppm as u32))
        } else {
            Err(Error(fraction))
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        Self::from(share.0) / Self::from(Share::WHOLE_PPM)
    }
}
