//! Upstreams that return with other software versions while routers fail, in series that overlap.

use std::{
    ops::{Range, RangeInclusive},
    time::Duration,
};

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{plan::RETURN_DOWNTIME, Fault, ScheduledFault};

/// Time between two kinds of faults of a series.
const INTERVAL_MS: RangeInclusive<u64> = 300..=1_800;
/// Time between two series.
const CALM_MS: RangeInclusive<u64> = 2_000..=5_000;
/// Probability that a series ends.
const END_PROBABILITY: f64 = 0.3;
/// Time for which killed routers are down.
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
/// Of this many consecutive seeds, the second half plays few kinds.
const SEED_KINDS: u64 = 4;

/// Distinguishes the random numbers of freezes from those of other faults.
const FREEZE_SEED: u64 = 0x6672_6565;
/// Time between the starts of two freezes.
const FREEZE_INTERVAL_MS: RangeInclusive<u64> = 500..=3_000;
/// Time for which an upstream is frozen.
const FREEZE_MS: RangeInclusive<u64> = 300..=2_500;
/// Maximum number of upstreams that freeze at the same time.
const FROZEN: usize = 2;

/// What fails at one time.
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

/// Few kinds: upstreams return and all routers are killed.
const FEW_KINDS: [Kind; 2] = [Kind::Return, Kind::KillAll];
/// All kinds. Those that come twice are drawn twice as often.
const ALL_KINDS: [Kind; 9] = [
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
        &ALL_KINDS[..]
    } else {
        &FEW_KINDS[..]
    };
    let mut versions = vec![1; upstreams.len()];
    let mut faults = Vec::new();
    let mut start = Duration::ZERO;
    // The first fault is a return, so that several versions serve when routers are killed.
    let mut kind = Kind::Return;
    while start < length {
        let (drawn, duration) = draw_kind(&mut rng, kind, routers, &mut versions);
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
        let pause = if rng.gen_bool(END_PROBABILITY) {
            CALM_MS
        } else {
            INTERVAL_MS
        };
        start += Duration::from_millis(rng.gen_range(pause));
        kind = *kinds.choose(&mut rng).expect("not empty");
    }
    faults
}

/// Draws freezes of the upstreams with these indices that start within `length`, up to two at a time.
///
/// ```
/// use std::time::Duration;
/// use tsw_soak::fault::{self, Fault};
/// let freezes = fault::draw_freezes(1, Duration::from_secs(10), 2..11);
/// assert!(freezes.iter().all(|freeze| matches!(freeze.fault, Fault::FreezeUpstream(2..11))));
/// ```
#[must_use]
pub fn draw_freezes(seed: u64, length: Duration, upstreams: Range<usize>) -> Vec<ScheduledFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ FREEZE_SEED);
    let mut freezes = Vec::new();
    let mut start = Duration::from_millis(rng.gen_range(FREEZE_INTERVAL_MS));
    while start < length {
        for _ in 0..rng.gen_range(1..=FROZEN) {
            freezes.push(ScheduledFault {
                start,
                duration: Duration::from_millis(rng.gen_range(FREEZE_MS)),
                fault: Fault::FreezeUpstream(rng.gen_range(upstreams.clone())),
            });
        }
        start += Duration::from_millis(rng.gen_range(FREEZE_INTERVAL_MS));
    }
    freezes
}

/// Draws the faults of a kind, with their duration. Upstreams are counted from the first that returns.
fn draw_kind(
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
            let newest = versions.iter().copied().max().unwrap_or_default();
            let returns = chosen.into_iter().map(|index| {
                let version = &mut versions[index];
                *version = if *version > 1 && rng.gen_bool(EARLIER_PROBABILITY) {
                    *version - 1
                } else if *version < newest {
                    newest
                } else {
                    newest + 1
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
