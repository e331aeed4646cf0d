//! What the runs play: their fleets, their clients and the faults that are drawn for them.

use std::time::Duration;

use tsw_fake::worker::{Behaviour, CRASH_DOWNTIME};

use super::{
    draw, draw_freezes, draw_mixed, draw_partitioned, draw_releases, draw_returns, draw_statements,
    ScheduledFault, STREAM_EVENTS,
};
use crate::history::Kind;

/// Interval of the events of a stream while software versions are released. A stream is in progress
/// for most of the time.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of events in a complete stream while upstreams return with other software versions.
const LONG_STREAM_EVENTS: u64 = 60;
/// Interval of the events of a long stream.
const LONG_STREAM_INTERVAL: Duration = Duration::from_millis(70);
/// Time that a long stream takes at most, also on a machine under load.
const LONG_STREAM_TIME: Duration = Duration::from_secs(6);
/// Number of events in a complete stream while routers are out of step, and their interval. Many streams begin in
/// the short time between the start of an upstream and its crash.
const PARTITION_STREAM_EVENTS: u64 = 25;
const PARTITION_STREAM_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which an upstream that returns with another software version refuses connections.
pub(super) const RETURN_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Numbers of clients that resume streams while software versions are released; the seed selects one.
const STREAM_CLIENTS: [usize; 4] = [16, 32, 48, 80];
/// Number of clients that resume long streams.
const LONG_STREAM_CLIENTS: usize = 100;
/// Number of clients that resume streams while routers are out of step.
const PARTITION_STREAM_CLIENTS: usize = 160;
/// One in this many seeds has a store whose history holds the heartbeats of upstreams that return.
const HEARTBEAT_CHANGE_SEEDS: u64 = 5;
/// One in this many seeds has upstreams that send streams without a length or chunks.
const UNFRAMED_SEEDS: u64 = 3;
/// One in this many upstreams of such a seed sends them so.
const UNFRAMED_UPSTREAMS: usize = 2;
/// Number of upstreams without streams while several software versions serve.
const DESK_UPSTREAMS: usize = 2;

/// What a run plays.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Plan {
    /// Overlapping faults of all kinds.
    #[default]
    Faults,
    /// Releases of software versions while routers and upstreams fail, and clients that resume
    /// their streams.
    Releases,
    /// Upstreams that refuse connections after a crash and return with other software versions,
    /// while routers are killed and clients resume long streams.
    Returns,
    /// Releases and returns of upstreams beside faults of routers and of the store that last for seconds.
    Mixed,
    /// Routers that are cut off from each other or from the store, or stand still, while upstreams of the next version
    /// join and are lost.
    Partitioned,
}

impl Plan {
    /// Returns the number of routers.
    #[must_use]
    pub const fn routers(self) -> usize {
        match self {
            Self::Faults => 3,
            Self::Releases | Self::Returns => 5,
            Self::Partitioned => 6,
            Self::Mixed => 7,
        }
    }

    /// Returns the number of upstreams that serve at a time.
    #[must_use]
    pub const fn upstreams(self) -> usize {
        match self {
            Self::Faults => 6,
            Self::Releases => DESK_UPSTREAMS + 6,
            Self::Returns => DESK_UPSTREAMS + 9,
            Self::Partitioned => DESK_UPSTREAMS + 10,
            Self::Mixed => DESK_UPSTREAMS + 12,
        }
    }

    /// Returns the service of the upstream with this index.
    #[must_use]
    pub const fn service(self, index: usize) -> &'static str {
        let is_model = match self {
            Self::Faults => index % 2 == 1,
            Self::Releases | Self::Returns | Self::Mixed | Self::Partitioned => {
                index >= DESK_UPSTREAMS
            }
        };
        if is_model {
            "model"
        } else {
            "desk"
        }
    }

    /// Returns the timeout of the routes in milliseconds. Clients resume streams within it.
    #[must_use]
    pub const fn timeout_ms(self) -> u64 {
        match self {
            Self::Faults | Self::Mixed | Self::Partitioned => 15_000,
            Self::Releases => 8_000,
            Self::Returns => 20_000,
        }
    }

    /// Returns the time left with which clients do not try a stream again.
    #[must_use]
    pub const fn min_time_left(self) -> Duration {
        match self {
            Self::Faults | Self::Releases | Self::Mixed | Self::Partitioned => Duration::ZERO,
            Self::Returns => LONG_STREAM_TIME,
        }
    }

    /// Returns the number of events in a complete stream.
    #[must_use]
    pub const fn stream_events(self) -> u64 {
        match self {
            Self::Faults | Self::Releases => STREAM_EVENTS,
            Self::Returns | Self::Mixed => LONG_STREAM_EVENTS,
            Self::Partitioned => PARTITION_STREAM_EVENTS,
        }
    }

    /// Returns the number of clients that resume streams.
    #[must_use]
    pub const fn stream_clients(self, seed: u64) -> usize {
        match self {
            Self::Faults => 0,
            Self::Releases => STREAM_CLIENTS[seed as usize / 2 % STREAM_CLIENTS.len()],
            Self::Returns | Self::Mixed => LONG_STREAM_CLIENTS,
            Self::Partitioned => PARTITION_STREAM_CLIENTS,
        }
    }

    /// Returns the kinds of requests of the other clients.
    #[must_use]
    pub const fn kinds(self) -> &'static [Kind] {
        match self {
            Self::Faults | Self::Releases => &[
                Kind::Idempotent,
                Kind::NonIdempotent,
                Kind::ResumableStream,
                Kind::Stream,
            ],
            Self::Returns | Self::Mixed | Self::Partitioned => {
                &[Kind::Idempotent, Kind::NonIdempotent]
            }
        }
    }

    /// Returns the number of requests that an upstream executes at a time.
    #[must_use]
    pub const fn slots(self) -> usize {
        match self {
            Self::Faults | Self::Releases => 8,
            Self::Returns | Self::Mixed => 16,
            Self::Partitioned => 32,
        }
    }

    /// Returns whether routers reach upstreams through relays, which accept connections for an
    /// upstream that is down.
    #[must_use]
    pub const fn has_relays(self) -> bool {
        matches!(self, Self::Faults | Self::Releases)
    }

    /// Returns whether routers reach each other through relays. Programs that do not know the setting `advertise` do
    /// not start then.
    #[must_use]
    pub const fn has_router_relays(self) -> bool {
        matches!(self, Self::Partitioned)
    }

    /// Returns whether each heartbeat of an upstream is a change in the history of the store.
    #[must_use]
    pub const fn has_heartbeat_changes(self, seed: u64) -> bool {
        match self {
            Self::Faults | Self::Releases => true,
            Self::Mixed | Self::Partitioned => seed.is_multiple_of(2),
            Self::Returns => seed.is_multiple_of(HEARTBEAT_CHANGE_SEEDS),
        }
    }

    /// Returns whether upstreams write to the store as those of the platform do: a heartbeat that is not accepted is counted,
    /// some leave without announcing it, and the store keeps its history for a limited time.
    #[must_use]
    pub const fn has_platform_writes(self) -> bool {
        matches!(self, Self::Mixed)
    }

    /// Returns the time for which an upstream is down after a crash.
    #[must_use]
    pub const fn downtime(self) -> Duration {
        match self {
            Self::Faults | Self::Releases => CRASH_DOWNTIME,
            Self::Returns | Self::Mixed | Self::Partitioned => RETURN_DOWNTIME,
        }
    }

    /// Returns how an upstream of a service responds while it has no fault.
    #[must_use]
    pub fn behaviour(self, seed: u64, upstream: usize, service: &str) -> Behaviour {
        let is_unframed =
            seed.is_multiple_of(UNFRAMED_SEEDS) && upstream.is_multiple_of(UNFRAMED_UPSTREAMS);
        match (self, service) {
            (_, "desk") => Behaviour::Plain,
            (Self::Faults, _) => Behaviour::Stream(STREAM_EVENTS),
            (Self::Releases, _) => Behaviour::SlowStream(STREAM_EVENTS, EVENT_INTERVAL),
            (Self::Returns | Self::Mixed, _) if is_unframed => {
                Behaviour::SlowUnframedStream(LONG_STREAM_EVENTS, LONG_STREAM_INTERVAL)
            }
            (Self::Returns | Self::Mixed, _) => {
                Behaviour::SlowStream(LONG_STREAM_EVENTS, LONG_STREAM_INTERVAL)
            }
            (Self::Partitioned, _) => {
                Behaviour::SlowStream(PARTITION_STREAM_EVENTS, PARTITION_STREAM_INTERVAL)
            }
        }
    }

    /// Draws freezes of the upstreams with streams, beside the other faults of a seed.
    #[must_use]
    pub fn draw_freezes(self, seed: u64, length: Duration) -> Vec<ScheduledFault> {
        draw_freezes(seed, length, DESK_UPSTREAMS..self.upstreams())
    }

    /// Draws the faults of a seed.
    #[must_use]
    pub fn draw(self, seed: u64, length: Duration) -> Vec<ScheduledFault> {
        match self {
            Self::Faults => {
                let mut faults = draw(seed, length, self.routers(), self.upstreams());
                faults.extend(draw_statements(seed, length, self.upstreams()));
                faults.sort_by_key(|fault| fault.start);
                faults
            }
            Self::Releases => {
                let released = DESK_UPSTREAMS..self.upstreams();
                draw_releases(seed, length, self.routers(), released)
            }
            Self::Returns => {
                let returning = DESK_UPSTREAMS..self.upstreams();
                draw_returns(seed, length, self.routers(), returning)
            }
            Self::Mixed => {
                let changed = DESK_UPSTREAMS..self.upstreams();
                draw_mixed(seed, length, self.routers(), changed)
            }
            Self::Partitioned => {
                let changed = DESK_UPSTREAMS..self.upstreams();
                draw_partitioned(seed, length, self.routers(), changed)
            }
        }
    }
}
