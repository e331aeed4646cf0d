//! The schedule of faults and planned operations, drawn from a seed.

mod mixed;
mod partitioned;
mod plan;
mod release;
mod returns;
mod starts;
mod store;

use std::time::Duration;

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_fake::{store::Mode, worker::Behaviour};

pub use mixed::draw as draw_mixed;
pub use partitioned::draw as draw_partitioned;
pub use plan::Plan;
pub use release::draw as draw_releases;
pub use returns::{draw as draw_returns, draw_freezes};
pub use starts::Starts;
pub use store::StoreFaults;

/// Number of events in a complete stream, except where streams are long.
pub const STREAM_EVENTS: u64 = 6;
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
    /// A router gets only a part of its processor time.
    Slow(usize),
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
    /// An upstream ends without announcing it. Another one of this software version takes its place.
    LoseUpstream(usize, u32),
    /// An upstream takes long to say which run it is.
    DelayReport(usize),
    /// An upstream neither reads nor writes.
    FreezeUpstream(usize),
    /// The store responds with an error.
    StoreBusy,
    /// The store does not respond.
    StoreSilent,
    /// The store responds late.
    StoreSlow,
    /// The store stops responding in this way and returns from a copy of this age; what was written
    /// since is lost and written again.
    RestoreStore(Mode, Duration),
    /// The link between one router and the store is blocked.
    BlockStore(usize),
    /// The links between all routers are cut in both directions.
    CutRouters,
    /// The links to one router from the others are cut; it still reaches them.
    CutRouter(usize),
    /// Most clients that resume streams do so at this router.
    PreferRouter(usize),
    /// The store compacts its history.
    CompactStore,
    /// A newer configuration is published.
    PublishConfiguration,
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
