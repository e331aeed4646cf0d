//! One account of the bytes that all requests of a router buffer.
//!
//! What a request buffers is limited by itself, but not what all of them do. A buffer takes bytes from the
//! account before it grows, and returns them when it is dropped. If no bytes are left the request is refused
//! or fails, so that the process keeps to its memory and the other requests go on.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use indexmap::IndexMap;
use tsw_route::Name;

/// Part of all bytes that the requests of one team may take, so that no team takes them all. A single
/// request may take more, since it could never be served otherwise.
const MAX_TEAM_PART: f64 = 0.5;
/// Unit in bytes in which a share grows, so that small buffers cost little.
const UNIT_BYTES: usize = 4_096;

/// The account of a router.
#[derive(Debug)]
pub struct Account {
    limit: usize,
    used: Cell<usize>,
    by_team: RefCell<IndexMap<Name, usize>>,
}

/// No bytes are left for a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the memory for requests is used up")]
pub struct Exhausted;

/// What one buffer has taken from the account. Dropping it returns the bytes.
#[derive(Debug)]
pub struct Share {
    account: Rc<Account>,
    team: Name,
    bytes: usize,
}

impl Account {
    /// Creates an account of `limit` bytes.
    ///
    /// ```
    /// let account = tsw_relay::memory::Account::new(1 << 20);
    /// let mut share = account.share("north".into());
    /// assert!(share.resize(400_000).is_ok());
    /// let mut second = account.share("north".into());
    /// assert!(second.resize(200_000).is_err(), "more than half for one team");
    /// let mut other = account.share("south".into());
    /// assert!(other.resize(600_000).is_ok(), "a single request");
    /// assert!(other.resize(700_000).is_err(), "more than all");
    /// drop(share);
    /// assert!(account.used() < 700_000);
    /// ```
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::default(),
            by_team: RefCell::default(),
        })
    }

    /// Returns an empty share for a buffer of a request of a team.
    #[must_use]
    pub fn share(self: &Rc<Self>, team: Name) -> Share {
        Share {
            account: self.clone(),
            team,
            bytes: 0,
        }
    }

    /// Returns the bytes that are taken.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    fn change(&self, team: &Name, before: usize, after: usize) {
        self.used.set(self.used.get() - before + after);
        let mut by_team = self.by_team.borrow_mut();
        let bytes = by_team.entry(team.clone()).or_default();
        *bytes = *bytes - before + after;
        if *bytes == 0 {
            by_team.swap_remove(team);
        }
    }
}

impl Share {
    /// Changes the share to that of a buffer of `bytes` bytes. A smaller one is always possible.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the share as it is, if too few bytes are left.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let bytes = bytes.div_ceil(UNIT_BYTES) * UNIT_BYTES;
        let (account, before) = (&self.account, self.bytes);
        if bytes > before {
            let of_team = account.by_team.borrow().get(&self.team).copied();
            let others_of_team = of_team.unwrap_or_default() - before;
            let max_of_team = (account.limit as f64 * MAX_TEAM_PART) as usize;
            let exceeds_part = others_of_team > 0 && others_of_team + bytes > max_of_team;
            if account.used.get() - before + bytes > account.limit || exceeds_part {
                return Err(Exhausted);
            }
        }
        if bytes != before {
            account.change(&self.team, before, bytes);
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.account.change(&self.team, self.bytes, 0);
    }
}
