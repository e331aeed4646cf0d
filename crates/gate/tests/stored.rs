//! What routers tell each other about the store.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tsw_gate::stored::{Knowledge, Known, Stored};

/// Applies what a peer told to a copy of the store.
fn apply(copy: &mut BTreeMap<String, Vec<u8>>, told: &Knowledge) {
    if told.complete {
        copy.clear();
    }
    for (key, _, content) in &told.entries {
        match content {
            Some(bytes) => copy.insert(key.clone(), bytes.clone()),
            None => copy.remove(key),
        };
    }
}

/// Guards against reads between routers that carry the heartbeat of each upstream, and against a router
/// that starts and learns an old heartbeat.
#[test]
fn heartbeats_are_not_passed_on_to_peers_that_know_the_entry() {
    let mut stored = Stored::default();
    stored.set_entry("i-1".into(), 5, Some("beat 1".into()));
    stored.beat(&"i-1".into(), Some(&"beat 2".into()));
    let knows = Known {
        version: 0,
        revision: 5,
    };
    assert!(stored.since(&knows, 9).entries.is_empty());
    let starts = stored.since(&Known::default(), 9);
    let content = Some(b"beat 2".to_vec());
    assert_eq!(starts.entries, [("i-1".to_owned(), 5, content)]);
}

/// Guards against reads between routers that grow with the number of upstreams and with the size
/// of the configuration although nothing changed.
#[test]
fn peer_that_knows_everything_is_told_nothing() {
    let mut stored = Stored::default();
    stored.set_configuration(3, vec![b'c'; 100_000].into());
    for number in 0..100u64 {
        let content = Some(vec![b'e'; 300].into());
        stored.set_entry(format!("i-{number}").into(), 10 + number, content);
    }
    let known = Known {
        version: 3,
        revision: 109,
    };
    let told = stored.since(&known, 109);
    assert!(told.entries.is_empty() && told.configuration.is_empty());
    let old = Known {
        version: 2,
        revision: 108,
    };
    let told = stored.since(&old, 109);
    assert_eq!((told.entries.len(), told.configuration.len()), (1, 100_000));
}

/// Guards against an upstream that stays in use because its removal was forgotten before the peer
/// asked.
#[test]
fn removals_that_were_forgotten_lead_to_a_complete_list() {
    let mut stored = Stored::default();
    stored.set_entry("stays".into(), 1, Some("x".into()));
    for number in 0..1_000u64 {
        stored.set_entry(
            format!("i-{number}").into(),
            2 + 2 * number,
            Some("x".into()),
        );
        stored.set_entry(format!("i-{number}").into(), 3 + 2 * number, None);
    }
    let told = stored.since(
        &Known {
            version: 0,
            revision: 2,
        },
        2_001,
    );
    assert!(told.complete);
    assert_eq!(told.entries.len(), 1);
    let late = stored.since(
        &Known {
            version: 0,
            revision: 1_990,
        },
        2_001,
    );
    assert!(!late.complete);
    assert!(late.entries.iter().all(|(_, _, content)| content.is_none()));
}

#[derive(Clone, Debug)]
enum Step {
    Set(u8),
    Remove(u8),
    /// A complete list of the entries with an even number.
    List,
    Ask,
}

proptest! {
    /// Guards against a peer whose copy differs from what it would hold had it read everything.
    #[test]
    fn changes_amount_to_the_whole(steps in prop::collection::vec(
        prop_oneof![
            4 => (0u8..12).prop_map(Step::Set),
            3 => (0u8..12).prop_map(Step::Remove),
            1 => Just(Step::List),
            2 => Just(Step::Ask),
        ], 1..80))
    {
        let mut stored = Stored::default();
        let mut truth = BTreeMap::new();
        let (mut copy, mut known) = (BTreeMap::new(), Known::default());
        let mut revision = 0;
        for step in steps.into_iter().chain([Step::Ask]) {
            revision += 1;
            match step {
                Step::Set(key) => {
                    let content = revision.to_string().into_bytes();
                    truth.insert(key.to_string(), content.clone());
                    stored.set_entry(key.to_string().into(), revision, Some(content.into()));
                }
                Step::Remove(key) => {
                    if truth.remove(&key.to_string()).is_some() {
                        stored.set_entry(key.to_string().into(), revision, None);
                    }
                }
                Step::List => {
                    truth.retain(|key, _| key.parse::<u8>().is_ok_and(|key| key % 2 == 0));
                    let keys: Vec<_> = truth.keys().map(|key| key.as_str().into()).collect();
                    stored.complete(revision, &keys);
                }
                Step::Ask => {
                    let told = stored.since(&known, revision);
                    apply(&mut copy, &told);
                    known.revision = told.revision;
                    prop_assert_eq!(&copy, &truth);
                }
            }
        }
    }
}
