//! The usual pace of the streams of a service, and when a stream is stalled.

use tsw_base::time;

/// Least time without progress after which a stream is stalled. Shorter pauses are normal under
/// continuous batching.
pub const STALL_LEAST: time::Span = time::Span::from_millis(150);

/// Usual times without progress after which a stream is stalled.
pub const STALL_FACTOR: u64 = 5;

/// An estimate moves by one part in this many with each sample.
const STEP: u64 = 16;

/// A running estimate of the median.
///
/// Each sample moves it by a fixed part of itself, however far away the sample is, so a quarter of
/// slow upstreams does not hide what is usual.
#[derive(Clone, Copy, Debug, Default)]
struct Median(Option<time::Span>);

impl Median {
    fn learn(&mut self, sample: time::Span) {
        let Some(now) = self.0 else {
            self.0 = Some(sample);
            return;
        };
        let step = now / STEP + time::Span::from_micros(1);
        self.0 = Some(if sample > now {
            sample.min(now + step)
        } else {
            sample.max(now.saturating_sub(step))
        });
    }
}

/// The usual pace of the streams of a service.
///
/// ```
/// use tsw_base::time::Span;
/// use tsw_health::pace::{Pace, STALL_LEAST};
///
/// let mut pace = Pace::default();
/// assert_eq!(pace.patience(true), STALL_LEAST);
/// pace.between(Span::from_millis(60));
/// assert_eq!(pace.patience(true), Span::from_millis(300));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first: Median,
    between: Median,
}

impl Pace {
    /// Takes in the time from sending a request to its first token.
    pub fn first(&mut self, sample: time::Span) {
        self.first.learn(sample);
    }

    /// Takes in the time between two tokens.
    pub fn between(&mut self, sample: time::Span) {
        self.between.learn(sample);
    }

    /// Returns the usual time between two tokens.
    #[must_use]
    pub const fn usual(&self) -> Option<time::Span> {
        self.between.0
    }

    /// Returns the time without progress after which a stream is stalled; `begun` says whether it
    /// has sent a token.
    #[must_use]
    pub fn patience(&self, begun: bool) -> time::Span {
        let usual = if begun { self.between.0 } else { self.first.0 };
        let usual = usual.unwrap_or_default();
        STALL_LEAST.max(usual * STALL_FACTOR)
    }
}

/// Progress of one stream.
///
/// ```
/// use tsw_base::time::{Span, Tick};
/// use tsw_health::pace::{Pace, Stream};
///
/// let mut pace = Pace::default();
/// let mut stream = Stream::new(Tick::ZERO);
/// stream.progress(Tick::from_micros(20_000), &mut pace);
/// assert!(!stream.stalled(Tick::from_micros(100_000), &pace));
/// assert!(stream.stalled(Tick::from_micros(170_000), &pace));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    sent: time::Tick,
    first: Option<time::Tick>,
    last: time::Tick,
    tokens: u32,
}

impl Stream {
    /// Starts to follow a request that is sent to its upstream at `now`.
    #[must_use]
    pub const fn new(now: time::Tick) -> Self {
        Self {
            sent: now,
            first: None,
            last: now,
            tokens: 0,
        }
    }

    /// Notes a token.
    pub fn progress(&mut self, now: time::Tick, pace: &mut Pace) {
        if self.first.is_none() {
            self.first = Some(now);
            pace.first(now.since(self.sent));
        } else {
            pace.between(now.since(self.last));
        }
        self.tokens += 1;
        self.last = now;
    }

    /// Returns whether the stream is stalled.
    #[must_use]
    pub fn stalled(&self, now: time::Tick, pace: &Pace) -> bool {
        now >= self.deadline(pace)
    }

    /// Returns when the stream is stalled unless it makes progress.
    #[must_use]
    pub fn deadline(&self, pace: &Pace) -> time::Tick {
        self.last + pace.patience(self.first.is_some())
    }

    /// Returns the mean time per token until `now`, with the time since the last token counted as
    /// another one if it is longer. Absent before the second token.
    #[must_use]
    pub fn mean(&self, now: time::Tick) -> Option<time::Span> {
        let gaps = u64::from(self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?);
        let mean = self.last.since(self.first?) / gaps;
        let pending = now.since(self.last);
        if pending > mean {
            Some(now.since(self.first?) / (gaps + 1))
        } else {
            Some(mean)
        }
    }
}
