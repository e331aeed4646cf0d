//! What the routers of a run are: the daemons, or a baseline to compare them with.

use serde::{Deserialize, Serialize};
use tsw_config::settings;

/// A way to divide capacity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The daemons with their usual settings.
    Toucan,
    /// The daemons with one home for each upstream.
    #[serde(rename = "groups-of-1")]
    GroupsOf1,
    /// Baseline: each router alone, first come first served, random upstream.
    Fifo,
    /// Baseline: each router alone, the less loaded of two upstreams by the lagging report.
    TwoChoices,
    /// Limit: one queue in one process with exact knowledge and no delay to upstreams.
    Central,
}

/// The text names no policy.
#[derive(Debug, thiserror::Error)]
#[error("unknown policy {0:?}; use toucan, groups-of-1, fifo, two-choices or central")]
pub struct Unknown(String);

impl std::str::FromStr for Policy {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "toucan" => Ok(Self::Toucan),
            "groups-of-1" => Ok(Self::GroupsOf1),
            "fifo" => Ok(Self::Fifo),
            "two-choices" => Ok(Self::TwoChoices),
            "central" => Ok(Self::Central),
            _ => Err(Unknown(text.to_owned())),
        }
    }
}

impl Policy {
    /// Returns the name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Toucan => "toucan",
            Self::GroupsOf1 => "groups-of-1",
            Self::Fifo => "fifo",
            Self::TwoChoices => "two-choices",
            Self::Central => "central",
        }
    }

    /// Returns whether one process serves all callers.
    #[must_use]
    pub const fn is_central(self) -> bool {
        matches!(self, Self::Central)
    }

    /// Returns the tuning of the daemons, or nothing for a baseline.
    #[must_use]
    pub fn tuning(self) -> Option<settings::Tuning> {
        let usual = settings::Tuning::default();
        match self {
            Self::Toucan => Some(usual),
            Self::GroupsOf1 => Some(settings::Tuning {
                group_size: 1,
                ..usual
            }),
            Self::Fifo | Self::TwoChoices | Self::Central => None,
        }
    }
}
