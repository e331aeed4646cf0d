//! Admission into the queues of one service at one entry router.
//!
//! Each team has its own limits and its own expected wait, so a flood of one team causes no
//! rejection of another.

use std::collections::HashMap;

use tsw_base::{name, time};

/// Grants over which the time between grants is averaged. Grants come in bursts, so an average
/// over a few of them swings by several times.
const WINDOW: u64 = 32;

/// Retry-after time when nothing is known about the time between grants.
pub const DEFAULT_RETRY: time::Span = time::Span::from_millis(500);

/// Why a request is not admitted. It was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The team has as many requests waiting as it may.
    #[error("the queue of the team is full; retry after {retry_after}")]
    Full {
        /// Expected time until the requests ahead are served.
        retry_after: time::Span,
    },
    /// The team's waiting requests hold as many bytes as they may.
    #[error("the queue of the team holds too many bytes; retry after {retry_after}")]
    Large {
        /// Expected time until the requests ahead are served.
        retry_after: time::Span,
    },
    /// The request would wait past its deadline.
    #[error("the expected wait exceeds the deadline; retry after {retry_after}")]
    Late {
        /// Expected time until the requests ahead are served.
        retry_after: time::Span,
    },
}

impl Refusal {
    /// Returns the time after which a retry is expected to find no requests ahead.
    #[must_use]
    pub const fn retry_after(&self) -> time::Span {
        match self {
            Self::Full { retry_after }
            | Self::Large { retry_after }
            | Self::Late { retry_after } => *retry_after,
        }
    }
}

#[derive(Clone, Debug)]
struct Team {
    queue_limit: u32,
    waiting: u32,
    bytes: u64,
    /// Grants in the average, at most [`WINDOW`].
    samples: u64,
    /// Average time between grants while requests waited.
    between: time::Span,
    /// When the current wait for a grant started: at the last grant or at the first request.
    mark: time::Tick,
}

/// Admission into the queues of one service at one entry router.
///
/// ```
/// use tsw_admit::gate::{Gate, Refusal};
/// use tsw_base::{name, time::Tick};
///
/// let mut gate = Gate::new(1, 1_000);
/// let team: name::Team = "north".parse()?;
/// let deadline = Tick::from_micros(1_000_000);
/// assert_eq!(gate.admit(Tick::ZERO, &team, 10, deadline), Ok(()));
/// let second = gate.admit(Tick::ZERO, &team, 10, deadline);
/// assert!(matches!(second, Err(Refusal::Full { .. })));
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Gate {
    queue_limit: u32,
    queue_bytes: u64,
    teams: HashMap<name::Team, Team>,
}

impl Gate {
    /// Makes a gate that lets each team have `queue_limit` requests and `queue_bytes` bytes waiting.
    #[must_use]
    pub fn new(queue_limit: u32, queue_bytes: u64) -> Self {
        Self {
            queue_limit,
            queue_bytes,
            teams: HashMap::new(),
        }
    }

    fn team(&mut self, team: &name::Team) -> &mut Team {
        // Looked up twice so that a known team costs no clone of its name.
        if !self.teams.contains_key(team) {
            let new = Team {
                queue_limit: self.queue_limit,
                waiting: 0,
                bytes: 0,
                samples: 0,
                between: time::Span::ZERO,
                mark: time::Tick::ZERO,
            };
            self.teams.insert(team.clone(), new);
        }
        self.teams.get_mut(team).expect("inserted above")
    }

    /// Sets the most requests that a team may have waiting.
    pub fn set_limit(&mut self, team: &name::Team, queue_limit: u32) {
        self.team(team).queue_limit = queue_limit;
    }

    /// Admits a request of `bytes` bytes into the queue of its team.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected as not run, and when to try again.
    pub fn admit(
        &mut self,
        now: time::Tick,
        team: &name::Team,
        bytes: u64,
        deadline: time::Tick,
    ) -> Result<(), Refusal> {
        let queue_bytes = self.queue_bytes;
        let team = self.team(team);
        let wait = team.wait(now);
        let retry_after = if wait == time::Span::ZERO {
            DEFAULT_RETRY
        } else {
            wait
        };
        if now + wait > deadline || now >= deadline {
            return Err(Refusal::Late { retry_after });
        }
        if team.waiting >= team.queue_limit {
            return Err(Refusal::Full { retry_after });
        }
        if team.bytes + bytes > queue_bytes {
            return Err(Refusal::Large { retry_after });
        }
        if team.waiting == 0 {
            team.mark = now;
        }
        team.waiting += 1;
        team.bytes += bytes;
        Ok(())
    }

    /// Notes that a waiting request of a team got a grant.
    pub fn grant(&mut self, now: time::Tick, team: &name::Team, bytes: u64) {
        let team = self.team(team);
        let between = now.since(team.mark);
        team.samples = (team.samples + 1).min(WINDOW);
        let sum = team.between * (team.samples - 1) + between;
        team.between = sum / team.samples;
        team.mark = now;
        team.leave(bytes);
    }

    /// Notes that a waiting request of a team left without a grant: it expired or was cancelled.
    pub fn leave(&mut self, team: &name::Team, bytes: u64) {
        self.team(team).leave(bytes);
    }

    /// Returns how long a new request of a team is expected to wait.
    #[must_use]
    pub fn wait(&self, now: time::Tick, team: &name::Team) -> time::Span {
        let team = self.teams.get(team);
        team.map_or(time::Span::ZERO, |team| team.wait(now))
    }

    /// Returns the number of waiting requests of a team.
    #[must_use]
    pub fn waiting(&self, team: &name::Team) -> u32 {
        self.teams.get(team).map_or(0, |team| team.waiting)
    }
}

impl Team {
    /// Returns the requests ahead times the time between grants. The time since the last grant
    /// counts when it is longer than the average, as the home may be gone.
    fn wait(&self, now: time::Tick) -> time::Span {
        if self.samples == 0 || self.waiting == 0 {
            return time::Span::ZERO;
        }
        self.between.max(now.since(self.mark)) * u64::from(self.waiting)
    }

    fn leave(&mut self, bytes: u64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}
