//! The identity of a router: its host and which run of the process it is.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// Distinguishes the runs of a router process on one host.
///
/// Safety rules compare incarnations for equality only. Membership also uses the order: it takes
/// the larger one as the newer run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Makes an incarnation of the wall-clock time at the start of the process, in milliseconds
    /// since 1970, and random bits that keep two starts in one millisecond apart.
    ///
    /// ```
    /// use tsw_base::host::Incarnation;
    ///
    /// assert!(Incarnation::new(2, 0) > Incarnation::new(1, u16::MAX));
    /// ```
    #[must_use]
    pub const fn new(unix_millis: u64, random: u16) -> Self {
        Self((unix_millis << 16) | random as u64)
    }

    /// Returns the number behind the incarnation.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the smallest incarnation that is larger than this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// One run of a router process on a host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The host that the process runs on.
    pub host: name::Host,
    /// Which run of the process it is.
    pub incarnation: Incarnation,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.host, self.incarnation)
    }
}
