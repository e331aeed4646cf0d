//! The starts that upstreams state for their runs.

use std::{
    fmt,
    ops::RangeInclusive,
    str::FromStr,
    time::{Duration, SystemTime},
};

use eyre::{eyre, Report};
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Distinguishes the random numbers of starts from those of faults.
const START_SEED: u64 = 0x7374_6172;
/// Time by which a later start is earlier than the one before.
const STEP_BACK_MS: RangeInclusive<u64> = 2_000..=180_000;
/// Maximum error of a clock that is off by seconds.
const SECONDS_OFF_MS: u64 = 4_000;
/// Maximum error of a clock that is off by up to a minute.
const MINUTE_OFF_MS: u64 = 60_000;

/// How the starts that an upstream states follow the order of its runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Starts {
    /// Each start is the time at which the run starts.
    #[default]
    InOrder,
    /// Each later start is earlier than the one before.
    Backwards,
    /// All runs state the first start.
    Equal,
    /// The clock at each start is off by up to four seconds either way.
    SecondsOff,
    /// The clock at each start is off by up to a minute either way.
    MinuteOff,
}

impl Starts {
    /// All orders.
    pub const ALL: [Self; 5] = [
        Self::InOrder,
        Self::Backwards,
        Self::Equal,
        Self::SecondsOff,
        Self::MinuteOff,
    ];

    /// Returns the order of a seed.
    ///
    /// ```
    /// use tsw_soak::fault::Starts;
    /// assert_eq!(Starts::of_seed(7), Starts::of_seed(7));
    /// ```
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ START_SEED);
        *Self::ALL.choose(&mut rng).expect("not empty")
    }

    /// Returns the generator for the starts of an upstream. Other draws of the seed do not depend on it.
    pub(crate) fn rng(seed: u64, upstream: usize) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(seed ^ START_SEED ^ (upstream as u64) << 32)
    }

    /// Returns the start that an upstream states for a run that starts now, after a run with the start
    /// `before`.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use rand::SeedableRng;
    /// use tsw_soak::fault::Starts;
    /// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    /// let first = SystemTime::now();
    /// let now = first + Duration::from_secs(3);
    /// assert_eq!(Starts::InOrder.stated(&mut rng, now, Some(first)), now);
    /// assert!(Starts::Backwards.stated(&mut rng, now, Some(first)) < first);
    /// ```
    #[must_use]
    pub fn stated(
        self,
        rng: &mut Pcg64Mcg,
        now: SystemTime,
        before: Option<SystemTime>,
    ) -> SystemTime {
        let mut off = |limit_ms: u64| {
            let shift = Duration::from_millis(rng.gen_range(0..=2 * limit_ms));
            now - Duration::from_millis(limit_ms) + shift
        };
        match (self, before) {
            (Self::SecondsOff, _) => off(SECONDS_OFF_MS),
            (Self::MinuteOff, _) => off(MINUTE_OFF_MS),
            (Self::Backwards, Some(before)) => {
                before - Duration::from_millis(rng.gen_range(STEP_BACK_MS))
            }
            (Self::Equal, Some(before)) => before,
            (Self::InOrder | Self::Backwards | Self::Equal, _) => now,
        }
    }
}

impl fmt::Display for Starts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InOrder => "in-order",
            Self::Backwards => "backwards",
            Self::Equal => "equal",
            Self::SecondsOff => "seconds-off",
            Self::MinuteOff => "minute-off",
        })
    }
}

impl FromStr for Starts {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|starts| starts.to_string() == text)
            .ok_or_else(|| eyre!("unknown order of starts {text:?}"))
    }
}
