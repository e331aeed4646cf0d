//! Guards against software versions that are taken from the entry of a run which has ended, and against engines whose
//! version stays unknown.

use std::sync::Arc;

use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_board::{
    hosts::{List, Upstream, Version},
    runs::{EndedRuns, Software, LISTED_WITHIN},
};

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(seconds)
}

fn engine(number: usize) -> name::Upstream {
    format!("engine-{number}").parse().expect("a valid name")
}

fn version(text: &str) -> Version {
    Version(Some(Arc::from(text)))
}

/// Returns a list whose engines have the given versions.
fn list(revision: u64, versions: &[Version]) -> List {
    let listed = versions.iter().enumerate().map(|(number, version)| {
        let upstream = Upstream {
            domain: "north".parse().expect("a valid name"),
            service: "reviews".parse().expect("a valid name"),
            leaving: false,
            address: "127.0.0.1:7001".parse().expect("an address"),
            slots: 4,
            version: version.clone(),
        };
        (engine(number), upstream)
    });
    List {
        revision,
        upstreams: listed.collect(),
        ..List::default()
    }
}

/// Guards against a version that is taken from the entry of an ended run, and against one that is never known again.
#[test]
fn version_is_unknown_until_the_list_names_another_one() {
    let before = list(7, &[version("v1"), version("v1")]);
    let listed = Software::Listed(version("v1"));
    let mut runs = EndedRuns::default();
    runs.adopt(&List::default(), &before);
    assert_eq!(runs.software(&before, &engine(0)), listed);
    assert!(runs.record_ended(at(1), &before, &engine(0), 7));
    assert!(!runs.record_ended(at(2), &before, &engine(0), 7));
    assert_eq!(runs.software(&before, &engine(0)), Software::Unknown);
    assert_eq!(runs.software(&before, &engine(1)), listed);
    // Another entry has changed.
    let other = list(8, &[version("v1"), version("v2")]);
    runs.adopt(&before, &other);
    assert_eq!(runs.software(&other, &engine(0)), Software::Unknown);
    let after = list(9, &[version("v2"), version("v2")]);
    runs.adopt(&other, &after);
    let listed = Software::Listed(version("v2"));
    assert_eq!(runs.software(&after, &engine(0)), listed);
}

/// Guards against an engine that returned with the same version and never continues streams again.
#[test]
fn version_is_known_once_the_list_still_states_it_long_after_the_first_response() {
    let list = list(7, &[version("v1")]);
    let mut runs = EndedRuns::default();
    runs.record_ended(at(1), &list, &engine(0), 7);
    // It may still be down.
    runs.confirm(at(1_000));
    assert_eq!(runs.software(&list, &engine(0)), Software::Unknown);
    // A response to a request that was sent before the crash.
    runs.record_response(at(1_001), &engine(0), at(0));
    runs.confirm(at(2_000));
    assert_eq!(runs.software(&list, &engine(0)), Software::Unknown);
    runs.record_response(at(2_001), &engine(0), at(2_000));
    runs.record_response(at(2_020), &engine(0), at(2_019));
    runs.confirm(at(2_000) + LISTED_WITHIN);
    assert_eq!(runs.software(&list, &engine(0)), Software::Unknown);
    runs.confirm(at(2_001) + LISTED_WITHIN);
    let listed = Software::Listed(version("v1"));
    assert_eq!(runs.software(&list, &engine(0)), listed);
}

/// Guards against a second crash that is taken for the first one, whose uncertainty ends earlier.
#[test]
fn engine_that_crashes_again_is_unknown_again() {
    let list = list(7, &[version("v1")]);
    let mut runs = EndedRuns::default();
    runs.record_ended(at(1), &list, &engine(0), 7);
    runs.record_response(at(3), &engine(0), at(2));
    assert!(runs.record_ended(at(20), &list, &engine(0), 7));
    runs.confirm(at(3) + LISTED_WITHIN);
    assert_eq!(runs.software(&list, &engine(0)), Software::Unknown);
}

/// Guards against a report that is taken to be about an earlier run, since the peer that saw the end of the listed one
/// has an older list.
#[test]
fn peer_with_an_older_list_may_report_the_end_of_the_listed_run() {
    let before = list(7, &[version("v1")]);
    let after = list(8, &[version("v2")]);
    let mut runs = EndedRuns::default();
    runs.adopt(&before, &after);
    assert!(runs.record_ended(at(1), &after, &engine(0), 7));
    assert_eq!(runs.software(&after, &engine(0)), Software::Unknown);
    // The same from a peer with the same list tells nothing new, and the next run ends it.
    assert!(!runs.record_ended(at(2), &after, &engine(0), 8));
    let next = list(9, &[version("v3")]);
    runs.adopt(&after, &next);
    let listed = Software::Listed(version("v3"));
    assert_eq!(runs.software(&next, &engine(0)), listed);
}

/// Guards against a run that is taken for a later one, since a peer that saw it end had read the list earlier.
#[test]
fn entry_that_is_read_after_the_report_about_its_run_names_no_later_one() {
    let before = list(7, &[version("v1")]);
    let after = list(8, &[version("v2")]);
    let mut runs = EndedRuns::default();
    assert!(runs.record_ended(at(1), &before, &engine(0), 8));
    runs.adopt(&before, &after);
    assert_eq!(runs.software(&after, &engine(0)), Software::Unknown);
    let told: Vec<_> = runs
        .told()
        .map(|(name, revision, _)| (name, revision))
        .collect();
    assert_eq!(told, vec![(&engine(0), 8)]);
}

/// Guards against streams that are cut where all engines run the same software, since the list states no version.
#[test]
fn engines_of_a_list_without_versions_run_the_same_software() {
    let list = list(7, &[Version::default(), Version::default()]);
    let mut runs = EndedRuns::default();
    assert!(!runs.record_ended(at(1), &list, &engine(0), 7));
    let software = runs.software(&list, &engine(0));
    assert!(software.may_continue_at(&runs.software(&list, &engine(1))));
    // Listed to the home already.
    assert!(software.may_continue_at(&runs.software(&list, &engine(9))));
}

/// Guards against two engines of unknown versions that are taken to run the same one.
#[test]
fn unknown_software_continues_no_stream() {
    let list = list(7, &[version("v1"), version("v1"), version("v1")]);
    let mut runs = EndedRuns::default();
    runs.record_ended(at(1), &list, &engine(0), 7);
    runs.record_ended(at(1), &list, &engine(1), 7);
    let [first, second, sound] = [0, 1, 2].map(|number| runs.software(&list, &engine(number)));
    assert!(!first.may_continue_at(&second) && !first.may_continue_at(&sound));
    let service = "reviews".parse().expect("a valid name");
    assert!(runs.is_served(&list, &service, &sound));
    assert!(!runs.is_served(&list, &service, &first));
    runs.record_ended(at(1), &list, &engine(2), 7);
    assert!(!runs.is_served(&list, &service, &sound));
    let unlisted = runs.software(&list, &engine(9));
    assert_eq!(unlisted, Software::Unknown);
}

/// Returns what is known of two engines, of which the first one is listed as v2 and then, in an older list, as v1.
fn went_back() -> (EndedRuns, List) {
    let before = list(9, &[version("v2"), version("v1")]);
    let copy = list(7, &[version("v1"), version("v1")]);
    let mut runs = EndedRuns::default();
    runs.adopt(&list(8, &[version("v1"), version("v1")]), &before);
    runs.adopt_earlier(at(10), &before, &copy);
    (runs, copy)
}

/// Guards against the version of an ended run that an older list names again, and against one that is never known.
#[test]
fn entry_that_went_back_names_no_version_until_it_is_written_again() {
    let (mut runs, copy) = went_back();
    let listed = |text| Software::Listed(version(text));
    assert_eq!(runs.software(&copy, &engine(0)), Software::Unknown);
    assert_eq!(runs.software(&copy, &engine(1)), listed("v1"));
    runs.record_response(at(12), &engine(0), at(11));
    runs.confirm(at(12) + LISTED_WITHIN);
    assert_eq!(runs.software(&copy, &engine(0)), Software::Unknown);
    let written = list(8, &[version("v2"), version("v1")]);
    runs.adopt(&copy, &written);
    assert_eq!(runs.software(&written, &engine(0)), listed("v2"));
}

/// Guards against a crash after the list went back that makes the version known again by its age.
#[test]
fn crash_does_not_make_an_entry_right_that_went_back() {
    let (mut runs, copy) = went_back();
    runs.record_response(at(12), &engine(0), at(11));
    assert!(runs.record_ended(at(13), &copy, &engine(0), 7));
    runs.record_response(at(15), &engine(0), at(14));
    runs.confirm(at(15) + LISTED_WITHIN);
    assert_eq!(runs.software(&copy, &engine(0)), Software::Unknown);
}

/// Guards against a list of the replica that did not go back, whose entry is taken for a later one.
#[test]
fn entry_of_an_unordered_list_names_a_version_only_after_a_time() {
    let (mut runs, copy) = went_back();
    let other = list(9, &[version("v3"), version("v1")]);
    runs.adopt_unordered(at(20), &copy, &other);
    assert_eq!(runs.software(&other, &engine(0)), Software::Unknown);
    runs.record_response(at(22), &engine(0), at(21));
    runs.confirm(at(22) + LISTED_WITHIN);
    let listed = Software::Listed(version("v3"));
    assert_eq!(runs.software(&other, &engine(0)), listed);
}

/// Guards against a stated version that is not taken for the listed one, and against one that is taken for any.
#[test]
fn stated_version_is_the_same_as_a_listed_one() {
    let stated = Software::Stated(Arc::from("v1"));
    assert!(stated.may_continue_at(&Software::Listed(version("v1"))));
    assert!(Software::Listed(version("v1")).may_continue_at(&stated));
    for other in [
        Software::Listed(version("v2")),
        Software::Listed(Version::default()),
        Software::Unknown,
    ] {
        assert!(!stated.may_continue_at(&other) && !other.may_continue_at(&stated));
    }
    // Only its response tells which version an engine runs that is listed without one.
    let unlisted = Software::Listed(Version::default());
    assert!(stated.may_be_stated_by(&unlisted));
    assert!(!Software::Listed(version("v1")).may_be_stated_by(&unlisted));
    assert!(!stated.may_be_stated_by(&Software::Unknown));
}

/// Guards against a listed version that counts although the engine states another one, and against a response of the
/// run before a crash that is taken for the one after it.
#[test]
fn stated_version_ends_or_confirms_the_listed_run() {
    let list = list(7, &[version("v1")]);
    let mut runs = EndedRuns::default();
    assert!(!runs.record_stated(at(1), &list, &engine(0), at(0), "v1"));
    assert!(runs.record_stated(at(2), &list, &engine(0), at(1), "v2"));
    assert!(!runs.record_stated(at(3), &list, &engine(0), at(2), "v2"));
    assert_eq!(runs.software(&list, &engine(0)), Software::Unknown);
    runs.record_stated(at(4), &list, &engine(0), at(1), "v1");
    assert_eq!(runs.software(&list, &engine(0)), Software::Unknown);
    runs.record_stated(at(5), &list, &engine(0), at(4), "v1");
    let listed = Software::Listed(version("v1"));
    assert_eq!(runs.software(&list, &engine(0)), listed);
}

/// Guards against a router that starts more than a minute after the crash of an engine which is still down, and is not
/// told that its version is unknown.
#[test]
fn started_routers_are_told_of_an_ended_run_for_as_long_as_its_version_is_unknown() {
    let listed = list(7, &[version("v1"), version("v1")]);
    let mut runs = EndedRuns::default();
    runs.adopt(&List::default(), &listed);
    assert!(runs.record_ended(at(1), &listed, &engine(0), 7));
    runs.confirm(at(90));
    assert_eq!(runs.software(&listed, &engine(0)), Software::Unknown);
    let told: Vec<_> = runs
        .told()
        .map(|(name, revision, _)| (name, revision))
        .collect();
    assert_eq!(told, [(&engine(0), 7)]);
}

/// Guards against the end of a run that is told again and makes a version unknown which the list has named since, and
/// against a later end that is taken for it.
#[test]
fn end_that_is_told_again_ends_no_run_that_was_listed_since() {
    let before = list(7, &[version("v1")]);
    let after = list(8, &[version("v2")]);
    let mut runs = EndedRuns::default();
    assert!(runs.record_told(&before, &engine(0), 7, at(1)));
    runs.adopt(&before, &after);
    runs.record_named(at(5), &before, &after);
    assert!(!runs.record_told(&after, &engine(0), 7, at(1)));
    let listed = Software::Listed(version("v2"));
    assert_eq!(runs.software(&after, &engine(0)), listed);
    // A peer that had read the entry, and one that found an end later.
    let mut other = runs.clone();
    assert!(other.record_told(&after, &engine(0), 8, at(1)));
    assert_eq!(other.software(&after, &engine(0)), Software::Unknown);
    assert!(runs.record_told(&after, &engine(0), 7, at(6)));
    assert_eq!(runs.software(&after, &engine(0)), Software::Unknown);
}

/// Guards against an engine that becomes unknown again with each session of a peer which still remembers its crash.
#[test]
fn end_that_is_told_again_ends_no_run_that_has_responded_since() {
    let list = list(7, &[version("v1")]);
    let mut runs = EndedRuns::default();
    assert!(runs.record_told(&list, &engine(0), 7, at(1)));
    runs.record_response(at(3), &engine(0), at(2));
    assert!(!runs.record_told(&list, &engine(0), 7, at(1)));
    runs.confirm(at(3) + LISTED_WITHIN);
    let listed = Software::Listed(version("v1"));
    assert_eq!(runs.software(&list, &engine(0)), listed);
    assert!(!runs.record_told(&list, &engine(0), 7, at(1)));
    assert_eq!(runs.software(&list, &engine(0)), listed);
    assert!(runs.record_told(&list, &engine(0), 7, at(40)));
}

/// Guards against a stated version that other routers are told of although only this router's list is behind, and
/// against a crash that they are not told of because the engine stated another version before.
#[test]
fn stated_version_is_told_once_a_later_read_still_names_another_one() {
    let before = list(7, &[version("v1"), version("v1"), version("v1")]);
    let after = list(8, &[version("v2"), version("v1"), version("v1")]);
    let mut runs = EndedRuns::default();
    for number in 0..3 {
        assert!(runs.record_stated(at(2), &before, &engine(number), at(1), "v2"));
    }
    assert_eq!(runs.told().count(), 0);
    assert!(runs.record_ended(at(3), &before, &engine(2), 7));
    assert_eq!(runs.told().count(), 1);
    assert!(runs.confirm_stated(&before, at(1)).is_empty());
    runs.adopt(&before, &after);
    assert_eq!(runs.confirm_stated(&after, at(4)), [engine(1)]);
    assert_eq!(runs.told().count(), 2);
}
