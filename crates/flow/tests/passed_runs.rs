//! Versions of which upstreams came and went between two reads of the list, while others joined.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    assignment::Assignment,
    origin::{Key, Software},
    pool::Entry,
};

/// Number of streams.
const STREAMS: usize = 2_000;
/// Time between the two records of one read.
const LATER: Span = Span::from_micros(1);

fn entry(id: &str, version: &str) -> Entry {
    Entry {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 6,
        leaving: false,
        started_at: 0,
        seq: 0,
        version: Some(version.into()),
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(seconds)
}

/// Guards against deriving the version of a list that no router had: one upstream came and went beside others that joined in the same
/// read, which is recorded a little later since the time is read twice.
#[test]
fn runs_that_passed_count_beside_those_that_joined_in_the_same_read() {
    let old = ["a1", "a2", "a3"].map(|id| entry(id, "v1"));
    let before = [entry("b1", "v2"), entry("b2", "v2")];
    let joined = [entry("b3", "v2"), entry("b4", "v2")];
    let passed = entry("b5", "v2");
    let listed = || old.iter().chain(&before);

    let mut assignment = Assignment::default();
    assignment.record(at(1), listed());
    assignment.record_passed(&passed);
    assignment.record(at(40) + LATER, listed().chain(&joined));
    assignment.record_complete(at(41));

    // What another router had listed for a moment.
    let mut between = Assignment::default();
    between.record(at(1), listed().chain(&joined).chain([&passed]));
    let keys = (0..STREAMS).map(|number| Key::new("counter", &format!("a{number}")));
    let is_joined = |key: &Key| {
        let derived = assignment.derive(at(30), at(41), *key);
        let began: Option<&Software> = between.assigned(*key);
        derived.is_some_and(|(software, _)| Some(software) != began)
    };
    assert_eq!(keys.filter(is_joined).count(), 0, "of {STREAMS}");
}
