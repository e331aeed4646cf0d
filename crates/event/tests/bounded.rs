//! Test of the bounded log. It runs in its own process, because a log can be initialized only once
//! per process.

use std::time::Instant;

use tsw_config::settings::Log;
use tsw_event::{bounded, emit, setup, Event};

/// CPU limit of a small router, in cores.
const CPU_LIMIT: f64 = 0.12;
/// Lines per second that take a 25th of a core, at 20 microseconds each.
const LINES_PER_CORE_S: f64 = 2_000.0;
/// Time without lines after which the lines allowed in it may be written in one burst.
const BURST_S: f64 = 2.0;
const LINES: u64 = 50_000;

/// Guards against a router that logs at an unlimited rate or blocks on its log under load, and against
/// an overloaded small router that spends its CPU time on lines about refusals.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let start = Instant::now();
    setup::init_bounded(&Log::default(), CPU_LIMIT).expect("a log");
    for number in 0..LINES {
        emit(Event::Queued, &[("request", &number)]);
    }
    let written = LINES - bounded::dropped();
    let allowed = (start.elapsed().as_secs_f64() + BURST_S) * LINES_PER_CORE_S * CPU_LIMIT;
    assert!(written > 0, "no line was written");
    assert!(
        written as f64 <= allowed,
        "{written} lines, {allowed} allowed"
    );
}
