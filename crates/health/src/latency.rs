//! Typical token latency of the streams of a service, and detection of stalled streams.

use tsw_base::time;

/// Minimum time without a token after which a stream counts as stalled. Shorter pauses are normal
/// under continuous batching.
pub const MIN_STALL_TIMEOUT: time::Span = time::Span::from_millis(150);

/// A stream counts as stalled after this many times the median time without a token.
pub const STALL_FACTOR: u64 = 5;

/// Each sample moves an estimate by at most 1 / `STEP_DIVISOR` of its value.
const STEP_DIVISOR: u64 = 16;

/// A running estimate of the median.
///
/// Each sample moves the estimate by at most a fixed fraction of its value, however far away the
/// sample is. So the estimate stays close to the typical value even if a quarter of the upstreams
/// are slow.
#[derive(Clone, Copy, Debug, Default)]
struct MedianEstimate(Option<time::Span>);

impl MedianEstimate {
    fn update(&mut self, sample: time::Span) {
        let Some(estimate) = self.0 else {
            self.0 = Some(sample);
            return;
        };
        let step = estimate / STEP_DIVISOR + time::Span::from_micros(1);
        self.0 = Some(if sample > estimate {
            sample.min(estimate + step)
        } else {
            sample.max(estimate.saturating_sub(step))
        });
    }
}

/// Median token latency of the streams of a service: time to the first token and time between
/// tokens.
///
/// ```
/// use tsw_base::time::Span;
/// use tsw_health::latency::{TokenLatency, MIN_STALL_TIMEOUT};
///
/// let mut latency = TokenLatency::default();
/// assert_eq!(latency.stall_timeout(true), MIN_STALL_TIMEOUT);
/// latency.record_gap(Span::from_millis(60));
/// assert_eq!(latency.stall_timeout(true), Span::from_millis(300));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenLatency {
    first: MedianEstimate,
    gap: MedianEstimate,
}

impl TokenLatency {
    /// Records the time from sending a request to its first token.
    pub fn record_first(&mut self, sample: time::Span) {
        self.first.update(sample);
    }

    /// Records the time between two tokens.
    pub fn record_gap(&mut self, sample: time::Span) {
        self.gap.update(sample);
    }

    /// Returns the estimated median time between two tokens; `None` before the first sample.
    #[must_use]
    pub const fn median_gap(&self) -> Option<time::Span> {
        self.gap.0
    }

    /// Returns the time without a token after which a stream is stalled.
    ///
    /// `has_token` tells whether the stream has already sent a token.
    #[must_use]
    pub fn stall_timeout(&self, has_token: bool) -> time::Span {
        let median = if has_token { self.gap.0 } else { self.first.0 };
        let median = median.unwrap_or_default();
        MIN_STALL_TIMEOUT.max(median * STALL_FACTOR)
    }
}

/// Token timing of one stream.
///
/// ```
/// use tsw_base::time::{Span, Timestamp};
/// use tsw_health::latency::{TokenLatency, Stream};
///
/// let mut latency = TokenLatency::default();
/// let mut stream = Stream::new(Timestamp::ZERO);
/// stream.record_token(Timestamp::from_micros(20_000), &mut latency);
/// assert!(!stream.is_stalled(Timestamp::from_micros(100_000), &latency));
/// assert!(stream.is_stalled(Timestamp::from_micros(170_000), &latency));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    sent: time::Timestamp,
    first: Option<time::Timestamp>,
    last: time::Timestamp,
    tokens: u32,
}

impl Stream {
    /// Starts timing a request that is sent to its upstream at `now`.
    #[must_use]
    pub const fn new(now: time::Timestamp) -> Self {
        Self {
            sent: now,
            first: None,
            last: now,
            tokens: 0,
        }
    }

    /// Records a token of this stream, also in the latency of its service.
    pub fn record_token(&mut self, now: time::Timestamp, latency: &mut TokenLatency) {
        if self.first.is_none() {
            self.first = Some(now);
            latency.record_first(now.since(self.sent));
        } else {
            latency.record_gap(now.since(self.last));
        }
        self.tokens += 1;
        self.last = now;
    }

    /// Returns whether the stream is stalled.
    #[must_use]
    pub fn is_stalled(&self, now: time::Timestamp, latency: &TokenLatency) -> bool {
        now >= self.stall_deadline(latency)
    }

    /// Returns when the stream becomes stalled unless another token arrives.
    #[must_use]
    pub fn stall_deadline(&self, latency: &TokenLatency) -> time::Timestamp {
        self.last + latency.stall_timeout(self.first.is_some())
    }

    /// Returns the mean time between tokens until `now`; `None` before the second token.
    ///
    /// If the time since the last token is longer than the mean, it counts as one more gap.
    #[must_use]
    pub fn mean_gap(&self, now: time::Timestamp) -> Option<time::Span> {
        let gaps = u64::from(self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?);
        let mean = self.last.since(self.first?) / gaps;
        let current_gap = now.since(self.last);
        if current_gap > mean {
            Some(now.since(self.first?) / (gaps + 1))
        } else {
            Some(mean)
        }
    }
}
