//! Rules of stall detection and budgets.

use tsw_base::time::{Span, Tick};
use tsw_health::{
    budget::Budget,
    pace::{Pace, Stream, STALL_LEAST},
};

fn ms(millis: u64) -> Tick {
    Tick::from_micros(millis * 1_000)
}

/// Guards against slow upstreams that make their own pace look usual.
#[test]
fn quarter_of_slow_streams_does_not_change_what_is_usual() {
    let mut pace = Pace::default();
    for sample in 0..4_000 {
        let millis = if sample % 4 == 3 { 400 } else { 40 };
        pace.between(Span::from_millis(millis));
    }
    let usual = pace.usual().expect("samples");
    assert!(usual <= Span::from_millis(60), "usual is {usual}");
}

/// Guards against a hedge for each short pause, and against a stalled stream without one.
#[test]
fn stream_is_stalled_after_five_usual_gaps() {
    let mut pace = Pace::default();
    (0..100).for_each(|_| pace.between(Span::from_millis(50)));
    let mut stream = Stream::new(ms(0));
    assert_eq!(stream.deadline(&pace), Tick::ZERO + STALL_LEAST);
    stream.progress(ms(100), &mut pace);
    assert!(!stream.stalled(ms(340), &pace));
    assert!(stream.stalled(ms(360), &pace));
}

/// Guards against a mean that hides the current pause of a stream.
#[test]
fn mean_counts_a_long_pause() {
    let mut pace = Pace::default();
    let mut stream = Stream::new(ms(0));
    assert_eq!(stream.mean(ms(500)), None);
    (1..=11).for_each(|token| stream.progress(ms(token * 10), &mut pace));
    assert_eq!(stream.mean(ms(115)), Some(Span::from_millis(10)));
    assert_eq!(stream.mean(ms(1_110)), Some(Span::from_millis(100)));
}

/// Guards against hedges or retries beyond their part of the requests.
#[test]
fn budget_allows_a_tenth() {
    let mut budget = Budget::new(10, 4);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!((100..=104).contains(&spent), "{spent} of 1000");
}
