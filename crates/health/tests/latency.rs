//! Tests of stall detection and budgets.

use tsw_base::time::{Span, Timestamp};
use tsw_health::{
    budget::AttemptBudget,
    latency::{Stream, TokenLatency, MIN_STALL_TIMEOUT},
};

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// Guards against slow upstreams that raise the median estimate to their own latency: a quarter of
/// the samples are ten times as long as the others.
#[test]
fn quarter_of_slow_streams_does_not_raise_the_median() {
    let mut latency = TokenLatency::default();
    for sample in 0..4_000 {
        let millis = if sample % 4 == 3 { 400 } else { 40 };
        latency.record_gap(Span::from_millis(millis));
    }
    let median = latency.median_gap().expect("samples");
    assert!(median <= Span::from_millis(60), "median is {median}");
}

/// Guards against hedging at each short pause, and against not hedging a stalled stream.
#[test]
fn stream_is_stalled_after_five_median_gaps() {
    let mut latency = TokenLatency::default();
    (0..100).for_each(|_| latency.record_gap(Span::from_millis(50)));
    let mut stream = Stream::new(ms(0));
    assert_eq!(
        stream.stall_deadline(&latency),
        Timestamp::ZERO + MIN_STALL_TIMEOUT
    );
    stream.record_token(ms(100), &mut latency);
    assert!(!stream.is_stalled(ms(340), &latency));
    assert!(stream.is_stalled(ms(360), &latency));
}

/// Guards against a mean that ignores the time since the last token when a stream pauses.
#[test]
fn mean_counts_a_long_pause() {
    let mut latency = TokenLatency::default();
    let mut stream = Stream::new(ms(0));
    assert_eq!(stream.mean_gap(ms(500)), None);
    (1..=11).for_each(|token| stream.record_token(ms(token * 10), &mut latency));
    assert_eq!(stream.mean_gap(ms(115)), Some(Span::from_millis(10)));
    assert_eq!(stream.mean_gap(ms(1_110)), Some(Span::from_millis(100)));
}

/// Guards against more hedges or retries than the set percentage of the requests.
#[test]
fn budget_allows_a_tenth() {
    let mut budget = AttemptBudget::new(10, 4);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.record_request();
        spent += u32::from(budget.try_acquire());
    }
    assert!((100..=104).contains(&spent), "{spent} of 1000");
}
