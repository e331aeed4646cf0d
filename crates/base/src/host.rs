//! The identity of a router process: its host and its incarnation.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// Identifies one run of the router process among all runs on the same host.
///
/// Safety rules compare incarnations only for equality. Membership also uses their order: the
/// larger incarnation is considered the newer run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the incarnation of a process that starts now and that other routers have to consider newer than an earlier
    /// one, even if the wall clock was set back in between.
    ///
    /// ```
    /// use tsw_base::host::Incarnation;
    ///
    /// let earlier = Incarnation::new(2, 0);
    /// assert!(Incarnation::new(1, 7).after(Some(earlier)) > earlier);
    /// assert_eq!(Incarnation::new(3, 7).after(Some(earlier)), Incarnation::new(3, 7));
    /// ```
    #[must_use]
    pub fn after(self, earlier: Option<Self>) -> Self {
        match earlier {
            // The random bits distinguish two processes that start after the same one.
            Some(earlier) if self <= earlier => {
                let millis = ((earlier.0 >> 16) + 1).min(u64::MAX >> 16);
                Self((millis << 16) | (self.0 & 0xffff))
            }
            _ => self,
        }
    }

    /// Creates an incarnation from the wall-clock time at the start of the process, in milliseconds
    /// since 1970, and random bits that distinguish two starts within the same millisecond.
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

    /// Returns the incarnation that [`Self::get`] returned as a number.
    #[must_use]
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the incarnation as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next larger incarnation.
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
    /// Incarnation of the process on that host.
    pub incarnation: Incarnation,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.host, self.incarnation)
    }
}
