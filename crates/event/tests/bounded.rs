//! Test of the bounded log. It has a process of its own, since a log is set up only once.

use std::time::Instant;

use tsw_config::settings::Log;
use tsw_event::{bounded, emit, setup, Event};

/// Part of a core that a small router may use.
const PROCESSOR: f64 = 0.12;
/// Lines of 20 microseconds that take a 25th of a core.
const LINES_PER_CORE_S: f64 = 2_000.0;
/// Time whose lines may be written at once after a silence.
const SILENCE_S: f64 = 2.0;
const LINES: u64 = 50_000;

/// Guards against a router that writes without bound or waits for its log under load, and against a
/// flooded small router whose processor time goes into lines about refusals.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let start = Instant::now();
    setup::init_bounded(&Log::default(), PROCESSOR).expect("a log");
    for number in 0..LINES {
        emit(Event::Queued, &[("request", &number)]);
    }
    let written = LINES - bounded::dropped();
    let allowed = (start.elapsed().as_secs_f64() + SILENCE_S) * LINES_PER_CORE_S * PROCESSOR;
    assert!(written > 0, "no line was written");
    assert!(
        written as f64 <= allowed,
        "{written} lines, {allowed} allowed"
    );
}
