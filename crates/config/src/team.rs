//! The file that describes a team.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_base::name;

/// Requests that a team may have waiting at one router for one service, unless its file says more.
pub const DEFAULT_QUEUE_LIMIT: u32 = 256;

/// A team, its credentials and its shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub team: name::Team,
    /// SHA-256 digests, in lower-case hexadecimal, of the bearer tokens that the team may use.
    pub tokens: Vec<String>,
    /// Part of each service's capacity that the team may count on.
    pub shares: IndexMap<name::Service, Share>,
    /// Most requests that may wait at one router for one service.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

const fn default_queue_limit() -> u32 {
    DEFAULT_QUEUE_LIMIT
}

/// Part of a service's capacity, in millionths.
///
/// Files write it as a decimal number above 0 and up to 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct Share(u32);

/// Why a number is not a share.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("the share {0} is not above 0 and at most 1")]
pub struct Error(pub f64);

impl Share {
    /// All of a service's capacity, in millionths.
    pub const WHOLE_PPM: u32 = 1_000_000;

    /// Returns the share in millionths.
    #[must_use]
    pub const fn as_ppm(self) -> u32 {
        self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;

    fn try_from(part: f64) -> Result<Self, Error> {
        let ppm = (part * f64::from(Self::WHOLE_PPM)).round();
        if ppm >= 1.0 && ppm <= f64::from(Self::WHOLE_PPM) {
            Ok(Self(ppm as u32))
        } else {
            Err(Error(part))
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        Self::from(share.0) / Self::from(Share::WHOLE_PPM)
    }
}
