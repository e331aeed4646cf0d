//! How fast and how full upstreams are, from what they state and from the pauses between their events.

use tsw_base::time::{Span, Timestamp};

use super::{Choice, Pool, Upstream};

/// Age up to which a stated load replaces the reports of other routers, which are about as old on average in a large
/// fleet.
const MAX_LOAD_AGE: Span = Span::from_millis(150);
/// Weight of each pause in the moving average, which covers some ten events: an engine that turns slow is noticed within a
/// second.
const SMOOTHING: f64 = 0.1;
/// Number of pauses from which the average of an upstream counts.
const MIN_SAMPLES: u32 = 5;
/// Half-life of what is known of an upstream of which no events arrive, in seconds. Other users of its machine come and
/// go.
const HALF_LIFE_S: f64 = 2.0;
/// Interval at which the typical pause is determined anew.
const TYPICAL_INTERVAL: Span = Span::from_millis(250);
/// Age from which the pauses of an upstream do not count for the typical one.
const MAX_SAMPLE_AGE: Span = Span::from_millis(3_000);
/// Relative slowness from which an engine counts as slow. Engines of equal speed differ by less, since their batches do, and
/// prompts that avoid them would be read again elsewhere.
const MIN_SLOWNESS: f64 = 1.3;
/// Maximum of the relative slowness, so that an odd average does not exclude an engine.
const MAX_SLOWNESS: f64 = 4.0;

/// What an upstream states about its load in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Whether it states how long work takes at this moment, since it shares its machine with others.
    pub varies: bool,
}

/// The last stated load of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedLoad {
    load: Load,
    /// Requests of this router that ran there at that time.
    own: u32,
    at: Timestamp,
}

/// Moving average of the pauses between the events of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pauses {
    average_us: f64,
    samples: u32,
    at: Timestamp,
}

/// The median of the average pauses of all upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Typical {
    pause_us: Option<f64>,
    at: Timestamp,
}

impl Upstream {
    /// Returns the number of requests that run or wait at the upstream, of all routers.
    pub(super) fn occupancy(&self, now: Timestamp) -> u32 {
        let stated = self
            .stated
            .filter(|stated| now.since(stated.at) < MAX_LOAD_AGE);
        match stated {
            Some(stated) => {
                let others = stated.load.requests.saturating_sub(stated.own);
                self.own.requests + others
            }
            None => self.requests(),
        }
    }

    fn varies(&self) -> bool {
        self.stated.is_some_and(|stated| stated.load.varies)
    }
}

impl Pool {
    /// Records what an upstream states about its load.
    pub fn record_load(&mut self, now: Timestamp, choice: &Choice, load: Load) {
        if let Some(upstream) = self.upstreams.get_mut(&choice.id) {
            if upstream.entry.started_at == choice.started_at {
                let own = upstream.own.requests;
                upstream.stated = Some(StatedLoad { load, own, at: now });
            }
        }
    }

    /// Records the time between two events of a stream that an upstream generates.
    pub fn record_pause_between_events(&mut self, now: Timestamp, id: &str, pause: Span) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let (pauses, micros) = (&mut upstream.pauses, pause.as_micros() as f64);
        let weight = SMOOTHING.max(1.0 / f64::from(pauses.samples + 1));
        pauses.average_us += weight * (micros - pauses.average_us);
        pauses.samples = pauses.samples.saturating_add(1);
        pauses.at = now;
        if now.since(self.typical.at) >= TYPICAL_INTERVAL {
            self.update_typical(now);
        }
    }

    fn update_typical(&mut self, now: Timestamp) {
        let known = self.upstreams.values().map(|upstream| upstream.pauses);
        let known = known.filter(|pauses| {
            pauses.samples >= MIN_SAMPLES && now.since(pauses.at) < MAX_SAMPLE_AGE
        });
        let mut averages: Vec<f64> = known.map(|pauses| pauses.average_us).collect();
        averages.sort_by(f64::total_cmp);
        self.typical = Typical {
            pause_us: averages.get(averages.len() / 2).copied(),
            at: now,
        };
    }

    /// Returns how long work takes at an engine relative to a typical one of its service. It is 1 for engines that do
    /// not state that their speed varies.
    pub(super) fn slowness(&self, now: Timestamp, upstream: &Upstream) -> f64 {
        let pauses = upstream.pauses;
        let typical = self.typical.pause_us.filter(|_| upstream.varies());
        let Some(typical) = typical.filter(|_| pauses.samples >= MIN_SAMPLES) else {
            return 1.0;
        };
        let relative = (pauses.average_us / typical.max(1.0)).min(MAX_SLOWNESS);
        if relative < MIN_SLOWNESS {
            return 1.0;
        }
        let age = now.since(pauses.at).as_secs_f64();
        1.0 + (relative - 1.0) * 0.5f64.powf(age / HALF_LIFE_S)
    }
}
