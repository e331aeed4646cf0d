//! Admission control for the queues of one service at one entry router.
//!
//! Limits and expected waits are kept per team, so a flood of requests from one team does not cause
//! refusals for another.

use std::collections::HashMap;

use tsw_base::{name, time};

/// Number of grants over which the time between grants is averaged. Grants come in bursts, so an
/// average over only a few of them varies by several times.
const AVERAGE_WINDOW: u64 = 32;

/// Retry-after time of a refusal when the expected wait is zero, for example before the first
/// grant.
pub const DEFAULT_RETRY_AFTER: time::Span = time::Span::from_millis(500);

/// Reason why a request is not admitted. A refused request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The number of waiting requests of the team is at its limit.
    #[error("the queue of the team is full; retry after {retry_after}")]
    QueueFull {
        /// Expected time until the requests ahead are served.
        retry_after: time::Span,
    },
    /// The waiting requests of the team would exceed the limit on their total size.
    #[error("the queue of the team holds too many bytes; retry after {retry_after}")]
    QueueBytesExceeded {
        /// Expected time until the requests ahead are served.
        retry_after: time::Span,
    },
    /// The deadline passed or would pass before the request is expected to be granted.
    #[error("the expected wait exceeds the deadline; retry after {retry_after}")]
    DeadlineTooSoon {
        /// Expected time until the requests ahead are served.
        retry_after: time::Span,
    },
}

impl Refusal {
    /// Returns the time after which the requests ahead are expected to be served.
    #[must_use]
    pub const fn retry_after(&self) -> time::Span {
        match self {
            Self::QueueFull { retry_after }
            | Self::QueueBytesExceeded { retry_after }
            | Self::DeadlineTooSoon { retry_after } => *retry_after,
        }
    }
}

#[derive(Clone, Debug)]
struct Team {
    queue_limit: u32,
    waiting: u32,
    bytes: u64,
    /// Number of grants in the average, at most [`AVERAGE_WINDOW`].
    samples: u64,
    /// Average time between two grants, counted only while requests were waiting.
    grant_interval: time::Span,
    /// Start of the current wait for a grant: the last grant, or the first request that was queued
    /// after the queue was empty.
    wait_started: time::Timestamp,
}

/// Admission control for the queues of one service at one entry router.
///
/// ```
/// use tsw_admit::admission::{AdmissionControl, Refusal};
/// use tsw_base::{name, time::Timestamp};
///
/// let mut admission = AdmissionControl::new(1, 1_000);
/// let team: name::Team = "north".parse()?;
/// let deadline = Timestamp::from_micros(1_000_000);
/// assert_eq!(admission.admit(Timestamp::ZERO, &team, 10, deadline), Ok(()));
/// let second = admission.admit(Timestamp::ZERO, &team, 10, deadline);
/// assert!(matches!(second, Err(Refusal::QueueFull { .. })));
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    queue_limit: u32,
    queue_bytes: u64,
    teams: HashMap<name::Team, Team>,
}

impl AdmissionControl {
    /// Creates an admission control that lets each team queue `queue_limit` requests with together
    /// `queue_bytes` bytes.
    #[must_use]
    pub fn new(queue_limit: u32, queue_bytes: u64) -> Self {
        Self {
            queue_limit,
            queue_bytes,
            teams: HashMap::new(),
        }
    }

    fn team(&mut self, team: &name::Team) -> &mut Team {
        // The separate lookup avoids cloning the name of a known team.
        if !self.teams.contains_key(team) {
            let new = Team {
                queue_limit: self.queue_limit,
                waiting: 0,
                bytes: 0,
                samples: 0,
                grant_interval: time::Span::ZERO,
                wait_started: time::Timestamp::ZERO,
            };
            self.teams.insert(team.clone(), new);
        }
        self.teams.get_mut(team).expect("inserted above")
    }

    /// Sets how many waiting requests a team may have.
    pub fn set_queue_limit(&mut self, team: &name::Team, queue_limit: u32) {
        self.team(team).queue_limit = queue_limit;
    }

    /// Admits a request of `bytes` bytes into the queue of its team.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the reason and the time to wait before a retry.
    pub fn admit(
        &mut self,
        now: time::Timestamp,
        team: &name::Team,
        bytes: u64,
        deadline: time::Timestamp,
    ) -> Result<(), Refusal> {
        let queue_bytes = self.queue_bytes;
        let team = self.team(team);
        let wait = team.expected_wait(now);
        let retry_after = if wait == time::Span::ZERO {
            DEFAULT_RETRY_AFTER
        } else {
            wait
        };
        if now + wait > deadline || now >= deadline {
            return Err(Refusal::DeadlineTooSoon { retry_after });
        }
        if team.waiting >= team.queue_limit {
            return Err(Refusal::QueueFull { retry_after });
        }
        if team.bytes + bytes > queue_bytes {
            return Err(Refusal::QueueBytesExceeded { retry_after });
        }
        if team.waiting == 0 {
            team.wait_started = now;
        }
        team.waiting += 1;
        team.bytes += bytes;
        Ok(())
    }

    /// Records that a waiting request of a team got a grant.
    pub fn record_grant(&mut self, now: time::Timestamp, team: &name::Team, bytes: u64) {
        let team = self.team(team);
        let interval = now.since(team.wait_started);
        team.samples = (team.samples + 1).min(AVERAGE_WINDOW);
        let sum = team.grant_interval * (team.samples - 1) + interval;
        team.grant_interval = sum / team.samples;
        team.wait_started = now;
        team.remove_request(bytes);
    }

    /// Records that a waiting request of a team expired or was cancelled before it got a grant.
    pub fn record_departure(&mut self, team: &name::Team, bytes: u64) {
        self.team(team).remove_request(bytes);
    }

    /// Returns the expected wait of a new request of a team; zero if it is not known.
    #[must_use]
    pub fn expected_wait(&self, now: time::Timestamp, team: &name::Team) -> time::Span {
        let team = self.teams.get(team);
        team.map_or(time::Span::ZERO, |team| team.expected_wait(now))
    }

    /// Returns the number of waiting requests of a team.
    #[must_use]
    pub fn waiting(&self, team: &name::Team) -> u32 {
        self.teams.get(team).map_or(0, |team| team.waiting)
    }
}

impl Team {
    /// Returns the number of waiting requests times the time between grants.
    ///
    /// The current wait for a grant is used in place of the average if it is longer, because the
    /// home that issues the grants may be gone.
    fn expected_wait(&self, now: time::Timestamp) -> time::Span {
        if self.samples == 0 || self.waiting == 0 {
            return time::Span::ZERO;
        }
        self.grant_interval.max(now.since(self.wait_started)) * u64::from(self.waiting)
    }

    fn remove_request(&mut self, bytes: u64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}
