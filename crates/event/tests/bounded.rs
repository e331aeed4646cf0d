//! Test of the bounded log. It has a process of its own, since a log is set up only once.

use tsw_config::settings::Log;
use tsw_event::{bounded, emit, setup, Event};

/// Guards against a router that writes without bound or waits for its log under load.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    setup::init_bounded(&Log::default()).expect("a log");
    for number in 0..50_000 {
        emit(Event::Queued, &[("request", &number)]);
    }
    assert!(bounded::dropped() > 0, "all lines were written");
    assert!(bounded::dropped() < 50_000, "no line was written");
}
