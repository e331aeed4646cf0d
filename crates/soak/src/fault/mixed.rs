//! Releases and returns of upstreams beside faults of routers and of the store that last for seconds.

use std::{
    ops::{Range, RangeInclusive},
    time::Duration,
};

use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{plan::RETURN_DOWNTIME, Fault, ScheduledFault};

/// Time between the starts of two faults, where they come in dense series and where few come.
const DENSE_INTERVAL_MS: RangeInclusive<u64> = 200..=1_400;
const CALM_INTERVAL_MS: RangeInclusive<u64> = 1_500..=6_000;
/// One in this many seeds plays dense series.
const DENSE_SEEDS: u64 = 4;
/// Time between the replacements of two upstreams in a release.
const GAP_MS: RangeInclusive<u64> = 100..=900;
/// Time for which killed routers are down.
const KILL_MS: RangeInclusive<u64> = 200..=2_000;
/// Time for which a router is paused or slow, or for which the store does not serve it.
const AWAY_MS: RangeInclusive<u64> = 500..=6_000;
/// Time for which the store does not serve a part of the routers.
const PARTLY_AWAY_MS: RangeInclusive<u64> = 3_000..=9_000;
/// Time for which an upstream is frozen.
const FREEZE_MS: RangeInclusive<u64> = 300..=4_000;
/// Maximum difference between the end of a fault and the loss of all routers that follows it.
const LOSS_OFFSET_MS: RangeInclusive<u64> = 0..=2_500;
/// Probability that a fault of routers or of the store is followed by the loss of all routers.
const LOSS_PROBABILITY: f64 = 0.6;
/// Probability that upstreams return while the store is away, and when they do after its start.
const RETURN_PROBABILITY: f64 = 0.5;
const RETURN_OFFSET_MS: u64 = 300;
/// Time for which their reports are delayed.
const SLOW_REPORT_MS: u64 = 5_000;
/// Probability that a release is a rollback to an earlier version.
const ROLLBACK_PROBABILITY: f64 = 0.3;
/// Maximum number of upstreams that return or freeze at the same time.
const MAX_UPSTREAMS: usize = 3;

/// What fails at one time. Those that come twice are drawn twice as often.
const KINDS: [Kind; 19] = [
    Kind::Release,
    Kind::Release,
    Kind::Return,
    Kind::Return,
    Kind::Crash,
    Kind::Lose,
    Kind::Freeze,
    Kind::LoseAll,
    Kind::LoseSome,
    Kind::LoseOne,
    Kind::Stop,
    Kind::Reload,
    Kind::Pause,
    Kind::Slow,
    Kind::StoreAway,
    Kind::StoreAway,
    Kind::StoreSlow,
    Kind::StorePartlyAway,
    Kind::Other,
];

#[derive(Clone, Copy)]
enum Kind {
    Release,
    Return,
    Crash,
    Lose,
    Freeze,
    LoseAll,
    LoseSome,
    LoseOne,
    Stop,
    Reload,
    Pause,
    Slow,
    StoreAway,
    StoreSlow,
    StorePartlyAway,
    Other,
}

/// Draws faults that start within `length`. The upstreams with these indices change their versions; the others
/// serve routes without streams.
///
/// ```
/// use std::time::Duration;
/// use tsw_soak::fault::{self, Fault};
/// let faults = fault::draw_mixed(1, Duration::from_secs(30), 7, 3..15);
/// assert!(faults.iter().any(|fault| matches!(fault.fault, Fault::Release(3..15, _))));
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
        routers,
        upstreams,
        newest: 1,
        faults: Vec::new(),
    };
    let interval = if seed.is_multiple_of(DENSE_SEEDS) {
        DENSE_INTERVAL_MS
    } else {
        CALM_INTERVAL_MS
    };
    let mut start = 0;
    let mut kind = Kind::Release;
    while u128::from(start) < length.as_millis() {
        drawing.draw(kind, start);
        start += drawing.rng.gen_range(interval.clone());
        kind = *KINDS.choose(&mut drawing.rng).expect("not empty");
    }
    let mut faults = drawing.faults;
    faults.retain(|fault| fault.start < length);
    faults.sort_by_key(|fault| fault.start);
    faults
}

struct Drawing {
    rng: Pcg64Mcg,
    routers: usize,
    upstreams: Range<usize>,
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

    fn version(&mut self) -> u32 {
        if self.rng.gen_bool(ROLLBACK_PROBABILITY) {
            return self.rng.gen_range(1..=self.newest);
        }
        self.newest += 1;
        self.newest
    }

    /// Lets upstreams return that take long to say which run they are.
    fn add_slow_returns(&mut self, start: u64, entry: u64) {
        let version = self.version();
        for upstream in self.some_upstreams(MAX_UPSTREAMS) {
            self.add(start, entry, Fault::ReturnUpstream(upstream, version));
            self.add(start, SLOW_REPORT_MS, Fault::DelayReport(upstream));
        }
    }

    /// Draws distinct upstreams.
    fn some_upstreams(&mut self, max: usize) -> Vec<usize> {
        let count = self.rng.gen_range(1..=max.min(self.upstreams.len()));
        let chosen = rand::seq::index::sample(&mut self.rng, self.upstreams.len(), count);
        chosen
            .into_iter()
            .map(|index| self.upstreams.start + index)
            .collect()
    }

    fn draw(&mut self, kind: Kind, start: u64) {
        let router = self.rng.gen_range(0..self.routers);
        let killed = self.rng.gen_range(KILL_MS);
        let away = self.rng.gen_range(AWAY_MS);
        let partly_away = self.rng.gen_range(PARTLY_AWAY_MS);
        let entry = RETURN_DOWNTIME.as_millis() as u64;
        let mut end = None;
        match kind {
            Kind::Release => {
                let version = self.version();
                let mut at = start;
                for upstream in self.some_upstreams(self.upstreams.len()) {
                    self.add(at, 0, Fault::Release(upstream, version));
                    at += self.rng.gen_range(GAP_MS);
                }
            }
            Kind::Return => {
                let version = self.version();
                for upstream in self.some_upstreams(MAX_UPSTREAMS) {
                    self.add(start, entry, Fault::ReturnUpstream(upstream, version));
                }
            }
            Kind::Crash => {
                for upstream in self.some_upstreams(MAX_UPSTREAMS) {
                    self.add(start, entry, Fault::CrashUpstream(upstream));
                }
            }
            Kind::Lose => {
                let version = self.version();
                for upstream in self.some_upstreams(MAX_UPSTREAMS) {
                    self.add(start, entry, Fault::LoseUpstream(upstream, version));
                }
            }
            Kind::Freeze => {
                for upstream in self.some_upstreams(MAX_UPSTREAMS) {
                    let duration = self.rng.gen_range(FREEZE_MS);
                    self.add(start, duration, Fault::FreezeUpstream(upstream));
                }
            }
            Kind::LoseAll => self.add(start, killed, Fault::KillGroup(0, self.routers)),
            Kind::LoseSome => {
                let count = self.rng.gen_range(2..self.routers);
                self.add(start, killed, Fault::KillGroup(router, count));
            }
            Kind::LoseOne => self.add(start, killed, Fault::Kill(router)),
            Kind::Stop => self.add(start, 0, Fault::Terminate(router)),
            Kind::Reload => self.add(start, 0, Fault::Reload(router)),
            Kind::Pause => {
                self.add(start, away, Fault::Pause(router));
                end = Some(start + away);
            }
            Kind::Slow => {
                self.add(start, away, Fault::Slow(router));
                end = Some(start + away);
            }
            Kind::StoreAway => {
                let faults = [Fault::StoreBusy, Fault::StoreSilent];
                let fault = *faults.choose(&mut self.rng).expect("not empty");
                self.add(start, away, fault);
                end = Some(start + away);
                if self.rng.gen_bool(RETURN_PROBABILITY) {
                    self.add_slow_returns(start + RETURN_OFFSET_MS, entry);
                }
            }
            Kind::StoreSlow => {
                self.add(start, away, Fault::StoreSlow);
                end = Some(start + away);
            }
            Kind::StorePartlyAway => {
                let count = self.rng.gen_range(1..=self.routers / 2);
                for number in 0..count {
                    let router = (router + number) % self.routers;
                    self.add(start, partly_away, Fault::BlockStore(router));
                }
                end = Some(start + partly_away);
            }
            Kind::Other => {
                let faults = [Fault::CompactStore, Fault::PublishConfiguration];
                let fault = *faults.choose(&mut self.rng).expect("not empty");
                self.add(start, 0, fault);
            }
        }
        if let Some(end) = end.filter(|_| self.rng.gen_bool(LOSS_PROBABILITY)) {
            let at = end + self.rng.gen_range(LOSS_OFFSET_MS);
            self.add(at, killed, Fault::KillGroup(0, self.routers));
        }
    }
}
