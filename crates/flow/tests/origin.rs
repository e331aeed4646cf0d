//! What is known of the software that began a stream.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    origin::{Key, Origin, Origins, Software, SoftwareHistory},
    pool::Entry,
};

const LIFETIME: Span = Span::from_secs(20);
/// Interval at which routers record what is listed.
const TICK: u64 = 200;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

fn entry(id: &str, version: Option<&str>, started_at: u64) -> Entry {
    Entry {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 6,
        leaving: false,
        started_at,
        seq: 0,
        version: version.map(Into::into),
    }
}

fn version(version: &str) -> Software {
    Software::Version(version.into())
}

fn origin(text: &str) -> Origin {
    Origin {
        service: "engines".into(),
        software: version(text),
    }
}

/// Lists entries from one time to another.
fn list(history: &mut SoftwareHistory, entries: &[Entry], from: u64, to: u64) {
    for millis in (from..=to).step_by(TICK as usize) {
        for entry in entries {
            history.record(at(millis), LIFETIME, entry);
        }
        history.set_complete(at(millis));
    }
}

fn only(history: &SoftwareHistory, millis: u64) -> Option<&Software> {
    history.only(at(millis), LIFETIME, &"engines".into())
}

/// Guards against taking the present version for that of a stream that began before a release, or
/// during one that was taken back.
#[test]
fn only_version_is_known_when_no_stream_of_another_can_be_left() {
    let (old, new) = (entry("i-1", Some("v1"), 1), entry("i-2", Some("v2"), 1));
    let mut history = SoftwareHistory::default();
    list(&mut history, std::slice::from_ref(&old), 0, 19_800);
    assert_eq!(only(&history, 19_800), None, "the time before is unknown");
    list(&mut history, std::slice::from_ref(&old), 20_000, 30_000);
    assert_eq!(only(&history, 30_000), Some(&version("v1")));
    list(&mut history, &[old.clone(), new], 30_200, 31_000);
    assert!(history.is_mixed(at(31_000), LIFETIME, &"engines".into()));
    list(&mut history, &[old], 31_200, 51_000);
    assert_eq!(only(&history, 51_000), None, "streams of v2 may be left");
    list(&mut history, &[entry("i-1", Some("v1"), 1)], 51_200, 51_400);
    assert_eq!(only(&history, 51_400), Some(&version("v1")));
}

/// Guards against relying on a list that missed upstreams, which came and left meanwhile.
#[test]
fn nothing_is_known_after_a_time_without_a_complete_list() {
    let entries = [entry("i-1", Some("v1"), 1)];
    let mut history = SoftwareHistory::default();
    list(&mut history, &entries, 0, 30_000);
    assert_eq!(only(&history, 32_000), Some(&version("v1")));
    assert_eq!(only(&history, 34_000), None, "not complete at present");
    list(&mut history, &entries, 34_000, 53_000);
    assert_eq!(only(&history, 53_000), None, "there was a gap");
    list(&mut history, &entries, 53_200, 54_200);
    assert_eq!(only(&history, 54_200), Some(&version("v1")));
}

/// Guards against taking two runs of upstreams without version for the same software.
#[test]
fn runs_without_version_are_all_different() {
    let mut history = SoftwareHistory::default();
    list(&mut history, &[entry("i-1", None, 1)], 0, 30_000);
    assert!(only(&history, 30_000).is_some());
    list(&mut history, &[entry("i-1", None, 2)], 30_200, 31_000);
    assert_eq!(only(&history, 31_000), None);
}

/// Guards against a stream that goes on at the version of another stream of the same name.
#[test]
fn two_streams_of_one_name_and_of_different_software_are_unknown() {
    let (key, other) = (Key::new("counter", "a1"), Key::new("desk", "a1"));
    let mut origins = Origins::default();
    origins.record(at(0), LIFETIME, key, origin("v1"));
    origins.record(at(1), LIFETIME, other, origin("v2"));
    assert_eq!(origins.get(at(1), LIFETIME, key), Some(&origin("v1")));
    origins.record(at(2), LIFETIME, key, origin("v2"));
    origins.record(at(3), LIFETIME, key, origin("v2"));
    assert_eq!(origins.get(at(3), LIFETIME, key), None);
    assert_eq!(origins.get(at(3), LIFETIME, other), Some(&origin("v2")));
    // Both have ended.
    origins.record(at(30_000), LIFETIME, key, origin("v3"));
    assert_eq!(origins.get(at(30_000), LIFETIME, key), Some(&origin("v3")));
}

/// Guards against records that grow without end, and against losing recent ones instead of old ones.
#[test]
fn only_recent_streams_are_remembered() {
    let mut origins = Origins::default();
    let key = |number: u64| Key::new("counter", &number.to_string());
    for number in 0..100_000 {
        origins.record(at(number), LIFETIME, key(number), origin("v1"));
    }
    assert!(origins.get(at(100_000), LIFETIME, key(99_999)).is_some());
    assert!(origins.get(at(100_000), LIFETIME, key(90_000)).is_some());
    assert!(origins.get(at(100_000), LIFETIME, key(1_000)).is_none());
    assert!(origins.len() <= 16_384, "{} are remembered", origins.len());
}

/// Guards against taking the only version that an old list shows for that of a stream that another
/// router has begun at a newer one meanwhile.
#[test]
fn nothing_is_known_of_streams_that_began_after_the_last_complete_list() {
    let old = entry("i-1", Some("v1"), 1);
    let mut history = SoftwareHistory::default();
    list(&mut history, std::slice::from_ref(&old), 0, 30_000);
    // This router is cut off at 30.0 s. An upstream of v2 is listed at 30.5 s, a stream begins there at
    // 31.0 s and is resumed here at 32.8 s.
    assert_eq!(only(&history, 32_800), None);
}

/// Guards against streams that stay unknown although their upstream has stated its run after their first events, and against
/// two known origins of which one is taken.
#[test]
fn unknown_software_may_become_known_once() {
    let (key, mut origins) = (Key::new("team", "a1"), Origins::default());
    let unknown = Origin {
        service: "engines".into(),
        software: Software::unknown(&"i-1".into()),
    };
    origins.record(at(0), LIFETIME, key, unknown);
    origins.record(at(100), LIFETIME, key, origin("v1"));
    assert_eq!(origins.get(at(100), LIFETIME, key), Some(&origin("v1")));
    origins.record(at(200), LIFETIME, key, origin("v2"));
    assert_eq!(origins.get(at(200), LIFETIME, key), None);
}
