//! Routers that are out of step while upstreams of the next version join and are lost, in series that overlap.

use std::{
    ops::{Range, RangeInclusive},
    time::Duration,
};

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Fault, ScheduledFault};

/// Version of the upstreams that serve between the series.
const VERSION: u32 = 1;
/// Number of series that overlap, each with a router and upstreams of its own.
const SERIES: RangeInclusive<usize> = 2..=3;
/// Number of upstreams that join in a series, and number of those that take part in none.
const JOINING: RangeInclusive<usize> = 2..=3;
const STAYING: usize = 3;
/// Time between the starts of two series that overlap.
const INTERVAL_MS: RangeInclusive<u64> = 300..=1_800;
/// Time after which the next series start. Meanwhile the entries of lost upstreams expire, which takes up to 4 s, and
/// all streams that they began end, so that routers know one version only.
const CALM_MS: RangeInclusive<u64> = 9_000..=11_000;
/// Time for which a router is out of step.
const AWAY_MS: RangeInclusive<u64> = 400..=4_000;
/// Time for which a router that has stood still remains cut off.
const CUT_AFTER_PAUSE_MS: u64 = 600;
/// Time between the start of a series, or the join of an upstream, and the next join.
const JOIN_MS: RangeInclusive<u64> = 10..=100;
/// Minimum time for which an upstream that has joined serves.
const SERVED_MS: u64 = 300;
/// Maximum time between the end of a fault of a router and the loss of upstreams before or after it.
const RETURN_OFFSET_MS: u64 = 300;
/// Maximum time between the losses of the upstreams of a series.
const LOSS_GAP_MS: u64 = 300;
/// Time for which most clients resume at the router that is out of step.
const PREFERRED_MS: u64 = 1_500;
/// Time after which another upstream takes the place of a lost one.
const REPLACED_MS: RangeInclusive<u64> = 500..=1_500;
/// Time after a crash at which an upstream, which has returned, is lost.
const LOST_AFTER_CRASH_MS: u64 = 1_800;
/// Probability that a series has a version of its own.
const OWN_VERSION_PROBABILITY: f64 = 0.5;
/// Probability that upstreams are lost at most this time after they have served long enough. A router that is cut off
/// takes the others for live for 1.8 s, of which its attempt to read the store takes 0.6 s.
const LOST_EARLY_PROBABILITY: f64 = 0.5;
const LOST_EARLY_MS: u64 = 500;
/// Probability that those that are not are lost while the router is out of step rather than as it returns.
const LOST_MEANWHILE_PROBABILITY: f64 = 0.5;
/// Probability of a fault beside a series, and how long it lasts.
const BESIDE_PROBABILITY: f64 = 0.6;
const BESIDE_MS: RangeInclusive<u64> = 200..=1_500;

/// How a router is out of step. Those that come twice are drawn twice as often.
const KINDS: [Kind; 9] = [
    Kind::AllAloneWithoutStore,
    Kind::AllAloneWithoutStore,
    Kind::UnreachableWithoutStore,
    Kind::UnreachableWithoutStore,
    Kind::AllAlone,
    Kind::Unreachable,
    Kind::WithoutStore,
    Kind::Paused,
    Kind::PausedThenAlone,
];

#[derive(Clone, Copy)]
enum Kind {
    AllAlone,
    AllAloneWithoutStore,
    Unreachable,
    UnreachableWithoutStore,
    WithoutStore,
    Paused,
    PausedThenAlone,
}

/// Draws faults that start within `length`. The upstreams with these indices change their versions; the others
/// serve routes without streams.
///
/// ```
/// use std::time::Duration;
/// use tsw_soak::fault::{self, Fault};
/// let faults = fault::draw_partitioned(1, Duration::from_secs(20), 6, 2..14);
/// assert!(faults.iter().any(|fault| matches!(fault.fault, Fault::PreferRouter(_))));
/// ```
#[must_use]
pub fn draw(
    seed: u64,
    length: Duration,
    routers: usize,
    upstreams: Range<usize>,
) -> Vec<ScheduledFault> {
    let mut drawing = Drawing {
        rng: Pcg64Mcg::seed_from_u64(seed),
        newest: VERSION,
        faults: Vec::new(),
    };
    let (mut routers, mut upstreams): (Vec<usize>, Vec<usize>) =
        ((0..routers).collect(), upstreams.collect());
    let mut start = drawing.rng.gen_range(JOIN_MS);
    while u128::from(start) < length.as_millis() {
        routers.shuffle(&mut drawing.rng);
        upstreams.shuffle(&mut drawing.rng);
        let series = drawing.rng.gen_range(SERIES);
        let (away, others) = routers.split_at(series);
        let mut joining = upstreams.chunks((upstreams.len() - STAYING) / series);
        drawing.newest += 1;
        for (number, router) in away.iter().enumerate() {
            if number > 0 {
                start += drawing.rng.gen_range(INTERVAL_MS);
                let is_own = drawing.rng.gen_bool(OWN_VERSION_PROBABILITY);
                drawing.newest += u32::from(is_own);
            }
            let count = drawing.rng.gen_range(JOINING);
            let joining = joining.next().unwrap_or_default();
            drawing.add_series(start, *router, &joining[..count.min(joining.len())]);
            if drawing.rng.gen_bool(BESIDE_PROBABILITY) {
                drawing.add_beside(start, others);
            }
        }
        start += drawing.rng.gen_range(CALM_MS);
    }
    let mut faults = drawing.faults;
    faults.retain(|fault| fault.start < length);
    faults.sort_by_key(|fault| fault.start);
    faults
}

struct Drawing {
    rng: Pcg64Mcg,
    /// Newest version that has been released.
    newest: u32,
    faults: Vec<ScheduledFault>,
}

impl Drawing {
    fn add(&mut self, start: u64, duration: u64, fault: Fault) {
        self.faults.push(ScheduledFault {
            start: Duration::from_millis(start),
            duration: Duration::from_millis(duration),
            fault,
        });
    }

    /// Adds a period in which a router is out of step, while upstreams join that are lost before or as it returns.
    fn add_series(&mut self, start: u64, router: usize, upstreams: &[usize]) {
        let away = self.rng.gen_range(AWAY_MS);
        let kind = *KINDS.choose(&mut self.rng).expect("not empty");
        self.add_out_of_step(kind, start, away, router);
        let mut joined = start;
        for upstream in upstreams {
            joined += self.rng.gen_range(JOIN_MS);
            self.add(joined, 0, Fault::Release(*upstream, self.newest));
        }
        let (earliest, end) = (joined + SERVED_MS, start + away);
        let first_loss = if self.rng.gen_bool(LOST_EARLY_PROBABILITY) {
            earliest + self.rng.gen_range(0..=LOST_EARLY_MS)
        } else if self.rng.gen_bool(LOST_MEANWHILE_PROBABILITY) {
            self.rng.gen_range(earliest..=end.max(earliest))
        } else {
            let offset = self.rng.gen_range(0..=2 * RETURN_OFFSET_MS);
            (end + offset).saturating_sub(RETURN_OFFSET_MS)
        };
        let first_loss = first_loss.max(earliest);
        self.add(first_loss, PREFERRED_MS, Fault::PreferRouter(router));
        for upstream in upstreams {
            let lost = first_loss + self.rng.gen_range(0..=LOSS_GAP_MS);
            let replaced = self.rng.gen_range(REPLACED_MS);
            match self.rng.gen_range(0..6) {
                0 => {
                    self.add(lost, 0, Fault::CrashUpstream(*upstream));
                    let lost = lost + LOST_AFTER_CRASH_MS;
                    self.add(lost, replaced, Fault::LoseUpstream(*upstream, VERSION));
                }
                1 => self.add(lost, 0, Fault::Release(*upstream, VERSION)),
                _ => self.add(lost, replaced, Fault::LoseUpstream(*upstream, VERSION)),
            }
        }
    }

    fn add_out_of_step(&mut self, kind: Kind, start: u64, away: u64, router: usize) {
        match kind {
            Kind::AllAlone => self.add(start, away, Fault::CutRouters),
            Kind::AllAloneWithoutStore => {
                self.add(start, away, Fault::CutRouters);
                self.add(start, away, Fault::BlockStore(router));
            }
            Kind::Unreachable => self.add(start, away, Fault::CutRouter(router)),
            Kind::UnreachableWithoutStore => {
                self.add(start, away, Fault::CutRouter(router));
                self.add(start, away, Fault::BlockStore(router));
            }
            Kind::WithoutStore => self.add(start, away, Fault::BlockStore(router)),
            Kind::Paused => self.add(start, away, Fault::Pause(router)),
            Kind::PausedThenAlone => {
                let cut = away + CUT_AFTER_PAUSE_MS;
                self.add(start, away, Fault::Pause(router));
                self.add(start, cut, Fault::CutRouter(router));
                self.add(start, cut, Fault::BlockStore(router));
            }
        }
    }

    /// Adds a fault of the store or of one of these routers.
    fn add_beside(&mut self, start: u64, routers: &[usize]) {
        let router = *routers.choose(&mut self.rng).expect("not empty");
        let faults = [
            Fault::BlockStore(router),
            Fault::CompactStore,
            Fault::Kill(router),
            Fault::Pause(router),
            Fault::StoreBusy,
        ];
        let fault = *faults.choose(&mut self.rng).expect("not empty");
        let start = start + self.rng.gen_range(0..=*AWAY_MS.start());
        let duration = self.rng.gen_range(BESIDE_MS);
        self.add(start, duration, fault);
    }
}
