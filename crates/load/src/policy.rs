//! What runs as the routers of a fleet: `toucand`, or a baseline to compare it with.

use serde::{Deserialize, Serialize};
use tsw_config::settings;

/// A policy of dividing the capacity among teams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// `toucand` with the default tuning.
    Toucan,
    /// `toucand` with a separate home for each upstream.
    #[serde(rename = "groups-of-1")]
    GroupsOf1,
    /// Baseline: independent routers, first come first served, random upstream.
    Fifo,
    /// Baseline: independent routers, the less loaded of two random upstreams by delayed load
    /// reports.
    TwoChoices,
    /// Ideal case: one queue in one process, with exact knowledge and no delay to upstreams.
    Central,
}

/// The text is not the name of a policy.
#[derive(Debug, thiserror::Error)]
#[error("unknown policy {0:?}; use toucan, groups-of-1, fifo, two-choices or central")]
pub struct UnknownPolicy(String);

impl std::str::FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        match text {
            "toucan" => Ok(Self::Toucan),
            "groups-of-1" => Ok(Self::GroupsOf1),
            "fifo" => Ok(Self::Fifo),
            "two-choices" => Ok(Self::TwoChoices),
            "central" => Ok(Self::Central),
            _ => Err(UnknownPolicy(text.to_owned())),
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

    /// Returns the tuning of `toucand`, or `None` for a baseline.
    #[must_use]
    pub fn tuning(self) -> Option<settings::Tuning> {
        let default = settings::Tuning::default();
        match self {
            Self::Toucan => Some(default),
            Self::GroupsOf1 => Some(settings::Tuning {
                group_size: 1,
                ..default
            }),
            Self::Fifo | Self::TwoChoices | Self::Central => None,
        }
    }
}
