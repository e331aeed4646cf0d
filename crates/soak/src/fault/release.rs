//! Releases of software versions and rollbacks while routers and upstreams fail.

use std::{ops::Range, time::Duration};

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tsw_fake::worker::Behaviour;

use super::{draw_restoration, Fault, ScheduledFault, MAX_DURATION_MS};

/// Mean time between the starts of two releases.
const RELEASE_INTERVAL_MS: u64 = 2_500;
/// Time between the replacements of two upstreams in a release.
const GAP_MS: Range<u64> = 50..600;
/// Mean time between the starts of two faults.
const MEAN_INTERVAL_MS: u64 = 600;
/// Probability that a release is a rollback to an earlier version.
const ROLLBACK_PROBABILITY: f64 = 0.3;

/// Draws releases, rollbacks and faults, which start within `length`. The upstreams with these
/// indices are released; the others serve routes without streams.
///
/// ```
/// use std::time::Duration;
/// use tsw_soak::fault::{self, Fault};
/// let faults = fault::draw_releases(1, Duration::from_secs(10), 5, 2..8);
/// assert!(faults.iter().any(|fault| matches!(fault.fault, Fault::Release(2..8, _))));
/// ```
#[must_use]
pub fn draw(
    seed: u64,
    length: Duration,
    routers: usize,
    upstreams: Range<usize>,
) -> Vec<ScheduledFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut faults = Vec::new();
    let mut newest = 1;
    for release in 0..length / RELEASE_INTERVAL_MS {
        let version = if rng.gen_bool(ROLLBACK_PROBABILITY) {
            rng.gen_range(1..=newest)
        } else {
            newest += 1;
            newest
        };
        let mut indices: Vec<usize> = upstreams.clone().collect();
        indices.shuffle(&mut rng);
        indices.truncate(rng.gen_range(1..=indices.len()));
        let mut start = release * RELEASE_INTERVAL_MS + rng.gen_range(0..RELEASE_INTERVAL_MS);
        for index in indices {
            if start >= length {
                break;
            }
            faults.push(ScheduledFault {
                start: Duration::from_millis(start),
                duration: Duration::ZERO,
                fault: Fault::Release(index, version),
            });
            start += rng.gen_range(GAP_MS);
        }
    }
    for _ in 0..length / MEAN_INTERVAL_MS {
        let duration = rng.gen_range(100..=MAX_DURATION_MS.min(length));
        let version = rng.gen_range(1..=newest);
        faults.push(ScheduledFault {
            start: Duration::from_millis(rng.gen_range(0..=length - duration)),
            duration: Duration::from_millis(duration),
            fault: draw_fault(&mut rng, routers, upstreams.clone(), version),
        });
    }
    faults.sort_by_key(|fault| fault.start);
    faults
}

fn draw_fault(rng: &mut Pcg64Mcg, routers: usize, upstreams: Range<usize>, version: u32) -> Fault {
    let (router, upstream) = (rng.gen_range(0..routers), rng.gen_range(upstreams));
    match rng.gen_range(0..24) {
        0..=2 => Fault::KillGroup(0, routers),
        3 | 4 => Fault::KillGroup(router, rng.gen_range(2..routers)),
        5..=7 => Fault::Kill(router),
        8 => Fault::Pause(router),
        9 => Fault::Terminate(router),
        10..=13 => Fault::CrashUpstream(upstream),
        14 => Fault::ReturnUpstream(upstream, version),
        15..=17 => Fault::ResetUpstream(upstream),
        18 | 19 => Fault::ChangeBehaviour(upstream, Behaviour::ResetStream(2)),
        20 => *[Fault::StoreBusy, Fault::BlockStore(router)]
            .choose(rng)
            .expect("not empty"),
        21 => Fault::CompactStore,
        22 => Fault::PublishConfiguration,
        _ => draw_restoration(rng),
    }
}
