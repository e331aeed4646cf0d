//! The schedule of faults and planned operations, drawn from a seed.

mod release;
mod returns;

use std::time::Duration;

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_fake::{
    store::Mode,
    worker::{Behaviour, CRASH_DOWNTIME},
};

use crate::history::Kind;
pub use release::draw as draw_releases;
pub use returns::draw as draw_returns;

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u64 = 6;
/// Interval of the events of a stream while software versions are released. A stream is in progress
/// for most of the time.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of events in a complete stream while upstreams return with other software versions.
const LONG_STREAM_EVENTS: u64 = 60;
/// Interval of the events of a long stream.
const LONG_STREAM_INTERVAL: Duration = Duration::from_millis(70);
/// Time that a long stream takes at most, also on a machine under load.
const LONG_STREAM_TIME: Duration = Duration::from_secs(6);
/// Time for which an upstream that returns with another software version refuses connections.
const RETURN_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Numbers of clients that resume streams while software versions are released; the seed selects one.
const STREAM_CLIENTS: [usize; 4] = [16, 32, 48, 80];
/// Number of clients that resume long streams.
const LONG_STREAM_CLIENTS: usize = 100;
/// One in this many seeds has a store whose history holds the heartbeats of upstreams that return.
const HEARTBEAT_CHANGE_SEEDS: u64 = 5;
/// One in this many seeds has upstreams that send streams without a length or chunks.
const UNFRAMED_SEEDS: u64 = 3;
/// One in this many upstreams of such a seed sends them so.
const UNFRAMED_UPSTREAMS: usize = 2;
/// Number of upstreams without streams while several software versions serve.
const DESK_UPSTREAMS: usize = 2;
/// Mean time between the starts of two faults. Most faults last longer, so that they overlap.
const MEAN_INTERVAL_MS: u64 = 500;
/// Mean time between the starts of two faults between which routers are in touch.
const MEAN_CALM_INTERVAL_MS: u64 = 1_000;
/// Maximum duration of a fault.
const MAX_DURATION_MS: u64 = 3_000;
/// Delay of a slow link in each direction.
const SLOW_DELAY: Duration = Duration::from_millis(150);
/// Rates that upstreams state, in requests per 10 s.
const RATE_PER_10_S: std::ops::RangeInclusive<u32> = 3..=100;
/// Pauses that upstreams ask for.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 700..=4_000;
/// Distinguishes the random numbers of statements from those of faults.
const STATEMENT_SEED: u64 = 0x7374_6174;
/// Ages of the copies from which the store returns.
const COPY_AGE_MS: std::ops::RangeInclusive<u64> = 500..=24_000;

/// A fault or a planned operation. The number is the index of a router or an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A router is killed with `SIGKILL` and restarted when the fault ends.
    Kill(usize),
    /// This many routers, the first of which has this index, are killed with `SIGKILL` at the same
    /// time and restarted when the fault ends.
    KillGroup(usize, usize),
    /// A router is paused with `SIGSTOP`.
    Pause(usize),
    /// A router is stopped gracefully with `SIGTERM` and restarted after it has exited.
    Terminate(usize),
    /// A router is told to reload its settings with `SIGHUP`.
    Reload(usize),
    /// The links to and from an upstream have a longer delay.
    DelayUpstream(usize, Duration),
    /// The link to an upstream is blocked.
    BlockToUpstream(usize),
    /// The link from an upstream is blocked.
    BlockFromUpstream(usize),
    /// All connections to an upstream are reset.
    ResetUpstream(usize),
    /// An upstream changes its behaviour.
    ChangeBehaviour(usize, Behaviour),
    /// An upstream states that it takes this many requests in 10 s from all routers together.
    StateRate(usize, u32),
    /// An upstream states that it leaves, while its entry says that it serves.
    StateLeaving(usize),
    /// An upstream rejects all requests and asks for a pause of this length.
    StatePause(usize, Duration),
    /// An upstream is drained and replaced by another one.
    ReplaceUpstream(usize),
    /// An upstream is drained and replaced by one of this software version.
    Release(usize, u32),
    /// An upstream crashes and starts again under its identifier, with the same software. Without
    /// relays, the fault ends when its entry is written.
    CrashUpstream(usize),
    /// An upstream crashes and starts again under its identifier, with this software version.
    ReturnUpstream(usize, u32),
    /// The store responds with an error.
    StoreBusy,
    /// The store does not respond.
    StoreSilent,
    /// The store stops responding in this way and returns from a copy of this age; what was written
    /// since is lost and written again.
    RestoreStore(Mode, Duration),
    /// The link between one router and the store is blocked.
    BlockStore(usize),
    /// The store compacts its history.
    CompactStore,
    /// A newer configuration is published.
    PublishConfiguration,
}

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
}

impl Plan {
    /// Returns the number of routers.
    #[must_use]
    pub const fn routers(self) -> usize {
        match self {
            Self::Faults => 3,
            Self::Releases | Self::Returns => 5,
        }
    }

    /// Returns the number of upstreams that serve at a time.
    #[must_use]
    pub const fn upstreams(self) -> usize {
        match self {
            Self::Faults => 6,
            Self::Releases => DESK_UPSTREAMS + 6,
            Self::Returns => DESK_UPSTREAMS + 9,
        }
    }

    /// Returns the service of the upstream with this index.
    #[must_use]
    pub const fn service(self, index: usize) -> &'static str {
        let is_model = match self {
            Self::Faults => index % 2 == 1,
            Self::Releases | Self::Returns => index >= DESK_UPSTREAMS,
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
            Self::Faults => 15_000,
            Self::Releases => 8_000,
            Self::Returns => 20_000,
        }
    }

    /// Returns the time left with which clients do not try a stream again.
    #[must_use]
    pub const fn min_time_left(self) -> Duration {
        match self {
            Self::Faults | Self::Releases => Duration::ZERO,
            Self::Returns => LONG_STREAM_TIME,
        }
    }

    /// Returns the number of events in a complete stream.
    #[must_use]
    pub const fn stream_events(self) -> u64 {
        match self {
            Self::Faults | Self::Releases => STREAM_EVENTS,
            Self::Returns => LONG_STREAM_EVENTS,
        }
    }

    /// Returns the number of clients that resume streams.
    #[must_use]
    pub const fn stream_clients(self, seed: u64) -> usize {
        match self {
            Self::Faults => 0,
            Self::Releases => STREAM_CLIENTS[seed as usize / 2 % STREAM_CLIENTS.len()],
            Self::Returns => LONG_STREAM_CLIENTS,
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
            Self::Returns => &[Kind::Idempotent, Kind::NonIdempotent],
        }
    }

    /// Returns the number of requests that an upstream executes at a time.
    #[must_use]
    pub const fn slots(self) -> usize {
        match self {
            Self::Faults | Self::Releases => 8,
            Self::Returns => 16,
        }
    }

    /// Returns whether routers reach upstreams through relays, which accept connections for an
    /// upstream that is down.
    #[must_use]
    pub const fn has_relays(self) -> bool {
        matches!(self, Self::Faults | Self::Releases)
    }

    /// Returns whether each heartbeat of an upstream is a change in the history of the store.
    #[must_use]
    pub const fn has_heartbeat_changes(self, seed: u64) -> bool {
        match self {
            Self::Faults | Self::Releases => true,
            Self::Returns => seed.is_multiple_of(HEARTBEAT_CHANGE_SEEDS),
        }
    }

    /// Returns the time for which an upstream is down after a crash.
    #[must_use]
    pub const fn downtime(self) -> Duration {
        match self {
            Self::Faults | Self::Releases => CRASH_DOWNTIME,
            Self::Returns => RETURN_DOWNTIME,
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
            (Self::Returns, _) if is_unframed => {
                Behaviour::SlowUnframedStream(LONG_STREAM_EVENTS, LONG_STREAM_INTERVAL)
            }
            (Self::Returns, _) => Behaviour::SlowStream(LONG_STREAM_EVENTS, LONG_STREAM_INTERVAL),
        }
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
        }
    }
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time between the end of the warm-up and the start of the fault.
    pub start: Duration,
    /// How long the fault lasts; not used by faults that are instantaneous.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a seed, all of which start and end within `length`. Half of the seeds draw
/// all kinds of faults. The others draw fewer, and only those between which routers are in touch:
/// the store returns from a copy while upstreams are replaced and configurations are published.
///
/// ```
/// use std::time::Duration;
/// let length = Duration::from_secs(10);
/// let faults = tsw_soak::fault::draw(1, length, 3, 4);
/// assert_eq!(faults, tsw_soak::fault::draw(1, length, 3, 4));
/// assert!(faults.iter().all(|fault| fault.start + fault.duration <= length));
/// ```
#[must_use]
pub fn draw(seed: u64, length: Duration, routers: usize, upstreams: usize) -> Vec<ScheduledFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let is_calm = rng.gen_bool(0.5);
    let interval = if is_calm {
        MEAN_CALM_INTERVAL_MS
    } else {
        MEAN_INTERVAL_MS
    };
    let mut faults: Vec<ScheduledFault> = (0..length / interval)
        .map(|number| {
            let duration = rng.gen_range(100..=MAX_DURATION_MS.min(length));
            let start = rng.gen_range(0..=length - duration);
            ScheduledFault {
                start: Duration::from_millis(start),
                duration: Duration::from_millis(duration),
                fault: match (is_calm, number % 8) {
                    (false, _) => draw_fault(&mut rng, routers, upstreams),
                    (true, 0) => draw_restoration(&mut rng),
                    (true, 1 | 2) => Fault::PublishConfiguration,
                    (true, _) => Fault::ReplaceUpstream(rng.gen_range(0..upstreams)),
                },
            }
        })
        .collect();
    faults.sort_by_key(|fault| fault.start);
    faults
}

/// Draws what a part of the upstreams state for most of the run. It does not change the other faults of
/// the seed.
fn draw_statements(seed: u64, length: Duration, upstreams: usize) -> Vec<ScheduledFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STATEMENT_SEED);
    let count = rng.gen_range(0..=upstreams);
    let chosen = rand::seq::index::sample(&mut rng, upstreams, count);
    let statements = chosen.into_iter().map(|upstream| {
        let start = length.mul_f64(rng.gen_range(0.0..0.3));
        let duration = (length - start).mul_f64(rng.gen_range(0.5..1.0));
        ScheduledFault {
            start,
            duration,
            fault: Fault::StateRate(upstream, rng.gen_range(RATE_PER_10_S)),
        }
    });
    let mut statements: Vec<ScheduledFault> = statements.collect();
    for _ in 0..rng.gen_range(0..=2) {
        let upstream = rng.gen_range(0..upstreams);
        let pause = Duration::from_millis(rng.gen_range(PAUSE_MS));
        statements.push(ScheduledFault {
            start: length.mul_f64(rng.gen_range(0.0..0.5)),
            duration: length.mul_f64(rng.gen_range(0.2..0.5)),
            fault: *[
                Fault::StateLeaving(upstream),
                Fault::StatePause(upstream, pause),
            ]
            .choose(&mut rng)
            .expect("not empty"),
        });
    }
    statements
}

fn draw_fault(rng: &mut Pcg64Mcg, routers: usize, upstreams: usize) -> Fault {
    let (router, upstream) = (rng.gen_range(0..routers), rng.gen_range(0..upstreams));
    match rng.gen_range(0..20) {
        0 | 1 => Fault::Kill(router),
        2 => Fault::Pause(router),
        3 | 4 => Fault::Terminate(router),
        5 => Fault::Reload(router),
        6 => Fault::DelayUpstream(upstream, SLOW_DELAY),
        7 => Fault::BlockToUpstream(upstream),
        8 => Fault::BlockFromUpstream(upstream),
        9 => Fault::ResetUpstream(upstream),
        10 | 11 => Fault::ChangeBehaviour(upstream, draw_behaviour(rng)),
        12 | 13 => Fault::ReplaceUpstream(upstream),
        14 => *[Fault::StoreBusy, Fault::StoreSilent]
            .choose(rng)
            .expect("not empty"),
        15 => Fault::BlockStore(router),
        16 | 17 => draw_restoration(rng),
        18 => Fault::PublishConfiguration,
        _ => *[Fault::CompactStore, Fault::PublishConfiguration]
            .choose(rng)
            .expect("not empty"),
    }
}

fn draw_restoration(rng: &mut Pcg64Mcg) -> Fault {
    let mode = *[Mode::Busy, Mode::Silent].choose(rng).expect("not empty");
    Fault::RestoreStore(mode, Duration::from_millis(rng.gen_range(COPY_AGE_MS)))
}

fn draw_behaviour(rng: &mut Pcg64Mcg) -> Behaviour {
    let behaviours = [
        Behaviour::ResetStream(2),
        Behaviour::ExtraResponse,
        Behaviour::Failure,
        Behaviour::ForeignResponse,
        Behaviour::NotRun,
        Behaviour::Reset,
        Behaviour::Silent,
        Behaviour::Stall(2),
        Behaviour::Truncated,
        Behaviour::Unframed,
        Behaviour::UnframedReset,
    ];
    *behaviours.choose(rng).expect("not empty")
}
