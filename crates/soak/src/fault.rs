//! Faults and planned work, drawn from a seed.

use std::time::Duration;

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_fake::worker::Behaviour;

/// Events in a stream.
pub const EVENTS: u64 = 6;
/// Mean time between two faults. Most last longer, so that they overlap.
const PERIOD_MS: u64 = 500;
/// Longest time that a fault lasts.
const LONGEST_MS: u64 = 3_000;
/// Delay of a slow way in each direction.
const SLOW: Duration = Duration::from_millis(150);

/// What happens to a fleet. Numbers choose a router or an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A router is killed; the next run starts when the fault ends.
    Kill(usize),
    /// A router stands still.
    Pause(usize),
    /// A router is asked to stop; the next run starts after its end.
    Terminate(usize),
    /// A router is asked to read its settings again.
    Hangup(usize),
    /// The ways to and from an upstream take longer.
    Slow(usize, Duration),
    /// Nothing reaches an upstream.
    CutTo(usize),
    /// Nothing comes back from an upstream.
    CutFrom(usize),
    /// All connections to an upstream are reset.
    Reset(usize),
    /// An upstream answers in another way.
    Behave(usize, Behaviour),
    /// An upstream leaves as planned, and another one comes.
    Replace(usize),
    /// The store answers with an error.
    StoreBusy,
    /// The store answers nothing.
    StoreSilent,
    /// One router does not reach the store.
    StoreCut(usize),
    /// The store forgets its history.
    Compact,
    /// The operators publish a newer configuration.
    Publish,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of traffic.
    pub at: Duration,
    /// How long it lasts, unless it happens at once.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Draws the faults of a seed that begin and end within `length`.
///
/// ```
/// use std::time::Duration;
/// let length = Duration::from_secs(10);
/// let steps = tsw_soak::fault::draw(1, length, 3, 4);
/// assert_eq!(steps, tsw_soak::fault::draw(1, length, 3, 4));
/// assert!(steps.iter().all(|step| step.at + step.lasts <= length));
/// ```
#[must_use]
pub fn draw(seed: u64, length: Duration, routers: usize, upstreams: usize) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = length / PERIOD_MS;
    let mut steps: Vec<Step> = (0..count)
        .map(|_| {
            let lasts = rng.gen_range(100..=LONGEST_MS.min(length));
            let at = rng.gen_range(0..=length - lasts);
            Step {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(lasts),
                fault: one(&mut rng, routers, upstreams),
            }
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn one(rng: &mut Pcg64Mcg, routers: usize, upstreams: usize) -> Fault {
    let (router, upstream) = (rng.gen_range(0..routers), rng.gen_range(0..upstreams));
    match rng.gen_range(0..16) {
        0 | 1 => Fault::Kill(router),
        2 => Fault::Pause(router),
        3 | 4 => Fault::Terminate(router),
        5 => Fault::Hangup(router),
        6 => Fault::Slow(upstream, SLOW),
        7 => Fault::CutTo(upstream),
        8 => Fault::CutFrom(upstream),
        9 => Fault::Reset(upstream),
        10 | 11 => Fault::Behave(upstream, behaviour(rng)),
        12 => Fault::Replace(upstream),
        13 => *[Fault::StoreBusy, Fault::StoreSilent]
            .choose(rng)
            .expect("not empty"),
        14 => Fault::StoreCut(router),
        _ => *[Fault::Compact, Fault::Publish]
            .choose(rng)
            .expect("not empty"),
    }
}

fn behaviour(rng: &mut Pcg64Mcg) -> Behaviour {
    let all = [
        Behaviour::Cut(2),
        Behaviour::Extra,
        Behaviour::Failure,
        Behaviour::Foreign,
        Behaviour::NotRun,
        Behaviour::Reset,
        Behaviour::Silent,
        Behaviour::Stall(2),
        Behaviour::Truncated,
        Behaviour::Unframed,
        Behaviour::UnframedReset,
    ];
    *all.choose(rng).expect("not empty")
}
