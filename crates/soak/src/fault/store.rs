//! Faults of the store's history beside the loss of all routers.

use std::{fmt, ops::RangeInclusive, str::FromStr, time::Duration};

use eyre::{eyre, Report};
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{draw_restoration, Fault, ScheduledFault};

/// Distinguishes the random numbers of these faults from those of the others.
const STORE_SEED: u64 = 0x7374_6f72;
/// Time between a fault of the history and the loss of all routers that follows.
const BEFORE_LOSS_MS: RangeInclusive<u64> = 200..=5_000;
/// Time for which the store is away before it returns from a copy.
const RESTORE_MS: RangeInclusive<u64> = 100..=1_000;
/// Probability that a fault of the history comes while all routers are down.
const DURING_PROBABILITY: f64 = 0.3;
/// Probability that a loss of all routers has a fault of the history beside it.
const PROBABILITY: f64 = 0.75;

/// What becomes of the store's history beside the loss of all routers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFaults {
    /// The store keeps its history.
    #[default]
    None,
    /// The store discards its history.
    Compact,
    /// The store returns from an older copy.
    Restore,
    /// One of both.
    Any,
}

impl StoreFaults {
    /// All choices.
    pub const ALL: [Self; 4] = [Self::None, Self::Compact, Self::Restore, Self::Any];

    /// Returns the choice of a seed.
    ///
    /// ```
    /// use tsw_soak::fault::StoreFaults;
    /// assert_eq!(StoreFaults::of_seed(7), StoreFaults::of_seed(7));
    /// ```
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STORE_SEED);
        *Self::ALL.choose(&mut rng).expect("not empty")
    }

    /// Draws faults of the history beside those among `faults` that kill all of `routers`. The draw does
    /// not change the other faults of the seed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tsw_soak::fault::{Plan, StoreFaults};
    /// let faults = Plan::Returns.draw(1, Duration::from_secs(30));
    /// assert_eq!(StoreFaults::None.draw(1, &faults, Plan::Returns.routers()), []);
    /// ```
    #[must_use]
    pub fn draw(self, seed: u64, faults: &[ScheduledFault], routers: usize) -> Vec<ScheduledFault> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STORE_SEED);
        let losses = faults
            .iter()
            .filter(|fault| fault.fault == Fault::KillGroup(0, routers));
        let drawn = losses.filter_map(|loss| {
            let is_played = rng.gen_bool(PROBABILITY);
            let is_compaction = rng.gen_bool(0.5);
            let restoration = draw_restoration(&mut rng);
            let away = Duration::from_millis(rng.gen_range(RESTORE_MS));
            let before = Duration::from_millis(rng.gen_range(BEFORE_LOSS_MS));
            let time = if rng.gen_bool(DURING_PROBABILITY) {
                loss.start + loss.duration.mul_f64(rng.gen_range(0.0..1.0))
            } else {
                loss.start.saturating_sub(before)
            };
            let compaction = (Fault::CompactStore, Duration::ZERO);
            let (fault, duration) = match self {
                Self::None => return None,
                Self::Compact => compaction,
                Self::Any if is_compaction => compaction,
                Self::Restore | Self::Any => (restoration, away),
            };
            is_played.then(|| ScheduledFault {
                start: time.saturating_sub(duration),
                duration,
                fault,
            })
        });
        drawn.collect()
    }
}

impl fmt::Display for StoreFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::Compact => "compact",
            Self::Restore => "restore",
            Self::Any => "any",
        })
    }
}

impl FromStr for StoreFaults {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|faults| faults.to_string() == text)
            .ok_or_else(|| eyre!("unknown faults of the store {text:?}"))
    }
}
