//! Streams that a router which has just started derives to a version that no router assigned them to.

use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    assignment::Assignment,
    history::{Change, History, Reader},
    origin::{Key, SoftwareHistory},
    pool::Entry,
    registry::Registry,
};
use tsw_route::Name;

/// Time of the store's first write, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_000_000;

fn entry(number: usize, version: Option<u8>, started_ms: u64, seq: u64) -> Entry {
    Entry {
        id: format!("e{number}").into(),
        service: "engines".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 8,
        leaving: false,
        started_at: EPOCH_MS + started_ms,
        seq,
        version: version.map(|version| format!("v{version}").into()),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(100_000 + millis)
}

fn key(number: usize) -> Key {
    Key::new("team", &format!("a{number}"))
}

fn assignment(now_ms: u64, entries: &[Entry]) -> Assignment {
    let mut assignment = Assignment::default();
    assignment.record(at(now_ms), entries);
    assignment
}

/// Applies a history as a router does that starts.
fn started(now_ms: u64, entries: &[Entry], history: &History) -> Assignment {
    let mut assignment = assignment(now_ms, entries);
    for step in &history.steps {
        let at = Timestamp::ZERO + at(now_ms).since(Timestamp::ZERO + step.age);
        if step.ended_unknown {
            assignment.record_past_unknown(at, step.began.as_ref());
        } else {
            assignment.record_past(at, step.ended.as_ref(), step.began.as_ref());
        }
    }
    assignment.record_complete(at(now_ms));
    assignment
}

/// Returns how many of 300 streams that began by one assignment another one derives to other software.
fn joined(began_by: &Assignment, derived_by: &Assignment, since: u64, until: u64) -> usize {
    let is_joined = |number: &usize| {
        let derived = derived_by.derive(at(since), at(until), key(*number));
        let assigned = began_by.assigned(key(*number));
        derived.is_some_and(|(derived, _)| assigned.is_some_and(|assigned| assigned != derived))
    };
    (0..300).filter(is_joined).count()
}

/// Returns the history of entries that were replaced in a store that keeps no earlier content of them, as
/// one whose heartbeats are no changes does.
fn replaced(entries: &[Entry], replaced_at: impl Fn(usize) -> u64, now_ms: u64) -> History {
    let mut reader = Reader::new(100);
    for (number, entry) in entries.iter().enumerate() {
        reader.read(Change {
            key: entry.id.clone(),
            revision: 101 + number as u64,
            created: Some(1 + number as u64),
            content: Some(Some(Entry {
                started_at: EPOCH_MS + replaced_at(number),
                ..entry.clone()
            })),
        });
    }
    reader.finish(100 + entries.len() as u64, EPOCH_MS + now_ms)
}

/// Guards against the only version of a list whose entries have all replaced others of unknown content: the
/// upstreams crashed and returned with the next version under their names.
#[test]
fn only_version_is_not_derived_if_all_entries_replaced_unknown_ones() {
    let old: Vec<Entry> = (0..4).map(|n| entry(n, Some(1), 0, 9)).collect();
    let returned_at = |number: usize| 40_000 + 500 * number as u64;
    let new = (0..4).map(|n| entry(n, Some(2), returned_at(n), 1));
    let new: Vec<Entry> = new.collect();
    let now = 50_000;
    let history = replaced(&new, returned_at, now);
    assert_eq!(history.unknown.len(), 4);
    let started = started(now, &new, &history);
    let mut software = SoftwareHistory::default();
    let lifetime = Span::from_secs(20);
    for past in history
        .departed
        .iter()
        .chain(&history.replaced)
        .chain(&history.latest)
    {
        software.record(at(now), lifetime, &past.entry);
    }
    software.set_complete(at(now));
    software.set_known_since(at(now - 20_000));
    let service: Name = "engines".into();
    let only = software.only(at(now), Span::from_secs(12), &service);
    // The streams begin at 38 s, when only the first version is listed.
    let began = assignment(38_000, &old);
    let joined = joined(&began, &started, 38_000, now);
    assert_eq!(joined, 0, "of 300 streams; only {only:?}");
}

/// The same where the entries that were replaced were of a version that is gone, beside two others.
#[test]
fn nothing_else_is_derived_if_the_unknown_entries_were_of_a_version_that_is_gone() {
    let mut old: Vec<Entry> = (0..8).map(|n| entry(n, Some(1), 0, 9)).collect();
    old[6..].iter_mut().for_each(|entry| {
        entry.version = Some("v3".into());
    });
    let rest: Vec<Entry> = (0..6)
        .map(|n| entry(n, Some(1 + u8::from(n >= 3)), 0, 9))
        .collect();
    let before = [&rest[..], &old[6..]].concat();
    let mut reader = Reader::new(100);
    for number in [6, 7] {
        reader.read(Change {
            key: format!("e{number}").into(),
            revision: 95 + number,
            created: None,
            content: None,
        });
    }
    let history = reader.finish(102, EPOCH_MS + 50_000);
    let started = started(50_000, &rest, &history);
    let began = assignment(38_000, &before);
    assert_eq!(
        joined(&began, &started, 38_000, 50_000),
        0,
        "of 300 streams"
    );
}

/// Guards against an order of the changes of one read that is not the one in which they happened: another
/// router has listed them one after the other.
#[test]
fn nothing_else_is_derived_after_changes_of_one_read_in_another_order() {
    let list = |versions: [u8; 4]| -> Vec<Entry> {
        let entries = versions.iter().enumerate();
        // Each version is a run of its own.
        entries
            .map(|(n, v)| entry(n, Some(*v), u64::from(*v), 1))
            .collect()
    };
    let (before, between, after) = (list([1, 1, 2, 2]), list([1, 1, 2, 1]), list([2, 1, 2, 1]));
    let mut slow = assignment(1_000, &before);
    // One router reads both changes at once, the other one between them too.
    let began = assignment(10_000, &between);
    slow.record(at(10_100), &after);
    slow.record_complete(at(12_000));
    assert_eq!(joined(&began, &slow, 10_000, 12_000), 0, "of 300 streams");
}

/// The same for the upstreams of a service of which the first ones are listed at once.
#[test]
fn nothing_else_is_derived_from_the_first_list_of_a_service() {
    let first: Vec<Entry> = (0..2).map(|n| entry(n, Some(1), 0, 1)).collect();
    let both: Vec<Entry> = (0..8)
        .map(|n| entry(n, Some(1 + u8::from(n >= 2)), 0, 1))
        .collect();
    let began = assignment(10_000, &first);
    // The router has listed other services before.
    let mut slow = assignment(1_000, &[]);
    slow.record(at(10_100), &both);
    slow.record_complete(at(12_000));
    assert_eq!(joined(&began, &slow, 10_000, 12_000), 0, "of 300 streams");
}

/// Guards against the list of a store that has returned: another router keeps the entries that expired meanwhile
/// until the upstreams that are alive must be listed again.
#[test]
fn nothing_else_is_derived_while_another_router_keeps_expired_entries() {
    let all: Vec<Entry> = (0..8)
        .map(|n| entry(n, Some(1 + u8::from(n >= 4)), 0, 9))
        .collect();
    let mut registry = Registry::default();
    for (number, entry) in all.iter().enumerate() {
        registry.set(
            at(0),
            &entry.id,
            1 + number as u64,
            Some(Some(entry.clone())),
        );
    }
    registry.record_platform_failure(at(5_000));
    // The store returns at 10 s, where two entries of the second version have expired.
    registry.record_platform_read(at(10_000));
    for number in [6, 7] {
        registry.set(at(10_000), &all[number].id, 20 + number as u64, None);
    }
    let used = registry.entries(at(12_200));
    assert_eq!(used.len(), 8);
    // As a router records its assignment.
    let kept = registry.kept();
    let listed = used.into_iter().filter(|entry| !kept.contains(&entry.id));
    let listed: Vec<Entry> = listed.collect();
    let began = assignment(12_200, &listed);
    let mut other = assignment(9_000, &all);
    other.record(at(10_000), &all[..6]);
    other.record(at(14_000), &all[..6]);
    other.record_complete(at(14_000));
    assert_eq!(joined(&began, &other, 12_200, 14_000), 0, "of 300 streams");
}

/// A router whose first list came from a peer, and its own list, with the history up to that one, from the store.
/// Returns how many streams that began at any of the lists it derives to another version.
fn joined_after_a_list_of_a_peer(peer_has_seen: usize, store_has_seen: usize) -> usize {
    // Of eight upstreams four return with the first version, and the last of these with the second one again.
    let first: Vec<Entry> = (0..8)
        .map(|n| entry(n, Some(1 + u8::from(n >= 2)), 0, 1))
        .collect();
    let returns = [(2, 1), (3, 1), (4, 1), (5, 1), (5, 2)];
    let returned = returns.iter().enumerate().map(|(step, (number, version))| {
        entry(*number, Some(*version), 40_000 + 1_000 * step as u64, 1)
    });
    let returned: Vec<Entry> = returned.collect();
    let list = |seen: usize| {
        let mut list = first.clone();
        for entry in &returned[..seen] {
            let known = list.iter_mut().find(|known| known.id == entry.id);
            *known.expect("an entry") = entry.clone();
        }
        list
    };
    let mut reader = Reader::new(0);
    let writes = first.iter().chain(&returned[..store_has_seen]);
    for (number, written) in writes.enumerate() {
        let created = first.iter().position(|entry| entry.id == written.id);
        reader.read(Change {
            key: written.id.clone(),
            revision: 1 + number as u64,
            created: created.map(|created| 1 + created as u64),
            content: Some(Some(written.clone())),
        });
    }
    let now = 46_000;
    let history = reader.finish(8 + store_has_seen as u64, EPOCH_MS + now);
    let mut started = assignment(now - 500, &list(peer_has_seen));
    started.record(at(now), &list(store_has_seen.max(peer_has_seen)));
    started.mark_list();
    started.replace_past(at(0));
    for step in &history.steps {
        let at = Timestamp::ZERO + at(now).since(Timestamp::ZERO + step.age);
        started.record_past(at, step.ended.as_ref(), step.began.as_ref());
    }
    started.record(at(now + 500), &list(returned.len()));
    started.record_complete(at(now + 1_000));
    let of = |seen| {
        joined(
            &assignment(39_000, &list(seen)),
            &started,
            39_000,
            now + 1_000,
        )
    };
    (0..=returned.len()).map(of).sum()
}

/// Control of the two tests below.
#[test]
fn nothing_else_is_derived_if_the_first_list_is_that_of_the_history() {
    assert_eq!(joined_after_a_list_of_a_peer(5, 5), 0, "of 6 x 300 streams");
}

/// Guards against changes that count twice: they are after the list of the peer, and in the history.
#[test]
fn nothing_else_is_derived_if_the_first_list_is_older_than_that_of_the_history() {
    assert_eq!(joined_after_a_list_of_a_peer(4, 5), 0, "of 300 streams");
}

/// Guards against refusals that are not needed: the heartbeats of other upstreams show that an entry was replaced before
/// the streams began.
#[test]
fn streams_that_began_after_a_replacement_are_derived() {
    let first: Vec<Entry> = (0..6)
        .map(|n| entry(n, Some(1 + u8::from(n >= 3)), 0, 1))
        .collect();
    let returned = entry(5, Some(1), 30_000, 1);
    let mut now_listed = first.clone();
    now_listed[5] = returned.clone();
    let beats = (26..42).flat_map(|seq| {
        first[..5].iter().map(move |entry| Entry {
            seq,
            ..entry.clone()
        })
    });
    let writes = first.iter().cloned().chain([returned]).chain(beats);
    let mut reader = Reader::new(0);
    let mut revision = 0;
    for written in writes {
        revision += 1;
        let created = first.iter().position(|entry| entry.id == written.id);
        reader.read(Change {
            key: written.id.clone(),
            revision,
            created: created.map(|created| 1 + created as u64),
            content: Some(Some(written)),
        });
    }
    let history = reader.finish(revision, EPOCH_MS + 50_000);
    let ages: Vec<u64> = history
        .steps
        .iter()
        .map(|step| step.age.as_millis())
        .collect();
    let started = started(50_000, &now_listed, &history);
    let refused = (0..300).filter(|n| started.derive(at(45_000), at(50_000), key(*n)).is_none());
    assert_eq!(refused.count(), 0, "of 300 streams; ages {ages:?} ms");
}
