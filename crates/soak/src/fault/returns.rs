//! Upstreams that return with other software versions while routers fail, in series that overlap.

use std::{
    ops::{Range, RangeInclusive},
    time::Duration,
};

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Fault, ScheduledFault, RETURN_DOWNTIME};

/// Time between the starts of two faults.
const INTERVAL_MS: RangeInclusive<u64> = 300..=1_800;
/// Time for which routers that were killed are down.
const KILL_MS: RangeInclusive<u64> = 200..=1_000;
/// Time for which a router is paused, and for which the store responds with errors.
const AWAY_MS: RangeInclusive<u64> = 300..=2_500;
/// Time between the first connection of an upstream that returns and its entry, if one comes first.
const ENTRY_OFFSET: Duration = Duration::from_millis(300);
/// Number of upstreams that return at the same time.
const RETURNING: usize = 2;
/// Number of routers that are killed at the same time while the others run.
const KILLED: usize = 3;
/// Probability that an upstream returns with an earlier version.
const EARLIER_PROBABILITY: f64 = 0.2;
/// In two of this many seeds, upstreams return and all routers are killed, and nothing else fails.
const SEED_KINDS: u64 = 4;

#[derive(Clone, Copy)]
enum Kind {
    Return,
    KillAll,
    Crash,
    Kill,
    KillSome,
    Pause,
    StoreBusy,
}

/// Kinds of a seed in which nothing else fails.
const NARROW: [Kind; 2] = [Kind::Return, Kind::KillAll];
/// Kinds of other seeds.
const ALL: [Kind; 9] = [
    Kind::Return,
    Kind::Return,
    Kind::KillAll,
    Kind::KillAll,
    Kind::Crash,
    Kind::Kill,
    Kind::KillSome,
    Kind::Pause,
    Kind::StoreBusy,
];

/// Draws faults that start within `length`. The upstreams with these indices return; the others serve
/// routes without streams.
///
/// ```
/// use std::time::Duration;
/// use tsw_soak::fault::{self, Fault};
/// let faults = fault::draw_returns(1, Duration::from_secs(10), 5, 2..11);
/// assert!(faults.iter().any(|fault| matches!(fault.fault, Fault::ReturnUpstream(2..11, _))));
/// ```
#[must_use]
pub fn draw(
    seed: u64,
    length: Duration,
    routers: usize,
    upstreams: Range<usize>,
) -> Vec<ScheduledFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let kinds = if seed % SEED_KINDS < SEED_KINDS / 2 {
        &ALL[..]
    } else {
        &NARROW[..]
    };
    let mut versions = vec![1; upstreams.len()];
    let mut faults = Vec::new();
    let mut start = Duration::ZERO;
    // The first series is a return, so that routers are killed while several versions serve.
    let mut kind = Kind::Return;
    while start < length {
        let (drawn, duration) = draw_series(&mut rng, kind, routers, &mut versions);
        faults.extend(drawn.into_iter().map(|fault| ScheduledFault {
            start,
            duration,
            fault: match fault {
                Fault::CrashUpstream(index) => Fault::CrashUpstream(upstreams.start + index),
                Fault::ReturnUpstream(index, version) => {
                    Fault::ReturnUpstream(upstreams.start + index, version)
                }
                other => other,
            },
        }));
        start += Duration::from_millis(rng.gen_range(INTERVAL_MS));
        kind = *kinds.choose(&mut rng).expect("not empty");
    }
    faults
}

/// Draws the faults of a series, with their duration. Upstreams are counted from the first that returns.
fn draw_series(
    rng: &mut Pcg64Mcg,
    kind: Kind,
    routers: usize,
    versions: &mut [u32],
) -> (Vec<Fault>, Duration) {
    let router = rng.gen_range(0..routers);
    let chosen = rand::seq::index::sample(rng, versions.len(), RETURNING);
    let entries = [
        RETURN_DOWNTIME - ENTRY_OFFSET,
        RETURN_DOWNTIME,
        RETURN_DOWNTIME + ENTRY_OFFSET,
    ];
    let entry = *entries.choose(rng).expect("not empty");
    let killed = Duration::from_millis(rng.gen_range(KILL_MS));
    let away = Duration::from_millis(rng.gen_range(AWAY_MS));
    match kind {
        Kind::Return => {
            let returns = chosen.into_iter().map(|index| {
                let version = &mut versions[index];
                *version = match rng.gen_bool(EARLIER_PROBABILITY) {
                    true if *version > 1 => rng.gen_range(1..*version),
                    _ => *version + 1,
                };
                Fault::ReturnUpstream(index, *version)
            });
            (returns.collect(), entry)
        }
        Kind::Crash => {
            let crashes = chosen.into_iter().map(Fault::CrashUpstream);
            (crashes.collect(), entry)
        }
        Kind::KillAll => (vec![Fault::KillGroup(0, routers)], killed),
        Kind::Kill => (vec![Fault::Kill(router)], killed),
        Kind::KillSome => (vec![Fault::KillGroup(router, KILLED)], killed),
        Kind::Pause => (vec![Fault::Pause(router)], away),
        Kind::StoreBusy => (vec![Fault::StoreBusy], away),
    }
}
