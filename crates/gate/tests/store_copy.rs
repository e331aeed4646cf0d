//! Transfer of store content between routers.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tsw_gate::store_copy::{KnownRevisions, StoreCopy, StoreDelta};

/// Applies the response of a peer to a copy of the store.
fn apply(copy: &mut BTreeMap<String, Vec<u8>>, delta: &StoreDelta) {
    if delta.complete {
        copy.clear();
    }
    for (key, _, content) in &delta.entries {
        match content {
            Some(bytes) => copy.insert(key.clone(), bytes.clone()),
            None => copy.remove(key),
        };
    }
}

/// Guards against reads between routers that transfer the heartbeat of each upstream, and against a
/// starting router that receives an outdated heartbeat.
#[test]
fn heartbeats_are_not_sent_to_peers_that_know_the_entry() {
    let mut router = StoreCopy::default();
    router.set_entry("i-1".into(), 5, Some("beat 1".into()));
    router.set_heartbeat(&"i-1".into(), Some(&"beat 2".into()));
    let known = KnownRevisions {
        version: 0,
        revision: 5,
    };
    assert!(router.since(&known, 9).entries.is_empty());
    let initial = router.since(&KnownRevisions::default(), 9);
    let content = Some(b"beat 2".to_vec());
    assert_eq!(initial.entries, [("i-1".to_owned(), 5, content)]);
}

/// Guards against reads between routers whose size grows with the number of upstreams and the size
/// of the configuration although nothing has changed.
#[test]
fn peer_that_is_up_to_date_receives_nothing() {
    let mut router = StoreCopy::default();
    router.set_configuration(3, vec![b'c'; 100_000].into());
    for number in 0..100u64 {
        let content = Some(vec![b'e'; 300].into());
        router.set_entry(format!("i-{number}").into(), 10 + number, content);
    }
    let known = KnownRevisions {
        version: 3,
        revision: 109,
    };
    let delta = router.since(&known, 109);
    assert!(delta.entries.is_empty() && delta.configuration.is_empty());
    let outdated = KnownRevisions {
        version: 2,
        revision: 108,
    };
    let delta = router.since(&outdated, 109);
    assert_eq!(
        (delta.entries.len(), delta.configuration.len()),
        (1, 100_000)
    );
}

/// Guards against an upstream that stays in use because its removal was discarded before the peer
/// asked for it.
#[test]
fn discarded_removals_lead_to_a_complete_list() {
    let mut router = StoreCopy::default();
    router.set_entry("stays".into(), 1, Some("x".into()));
    for number in 0..1_000u64 {
        router.set_entry(
            format!("i-{number}").into(),
            2 + 2 * number,
            Some("x".into()),
        );
        router.set_entry(format!("i-{number}").into(), 3 + 2 * number, None);
    }
    let delta = router.since(
        &KnownRevisions {
            version: 0,
            revision: 2,
        },
        2_001,
    );
    assert!(delta.complete);
    assert_eq!(delta.entries.len(), 1);
    let recent = router.since(
        &KnownRevisions {
            version: 0,
            revision: 1_990,
        },
        2_001,
    );
    assert!(!recent.complete);
    assert!(recent
        .entries
        .iter()
        .all(|(_, _, content)| content.is_none()));
}

#[derive(Clone, Debug)]
enum Step {
    Set(u8),
    Remove(u8),
    /// A complete list of the entries with an even number.
    List,
    /// The peer reads from this router.
    Read,
}

proptest! {
    /// Guards against a peer whose copy differs from the store after reading only the changes.
    #[test]
    fn applied_changes_equal_the_complete_content(steps in prop::collection::vec(
        prop_oneof![
            4 => (0u8..12).prop_map(Step::Set),
            3 => (0u8..12).prop_map(Step::Remove),
            1 => Just(Step::List),
            2 => Just(Step::Read),
        ], 1..80))
    {
        let mut router = StoreCopy::default();
        let mut expected = BTreeMap::new();
        let (mut copy, mut known) = (BTreeMap::new(), KnownRevisions::default());
        let mut revision = 0;
        for step in steps.into_iter().chain([Step::Read]) {
            revision += 1;
            match step {
                Step::Set(key) => {
                    let content = revision.to_string().into_bytes();
                    expected.insert(key.to_string(), content.clone());
                    router.set_entry(key.to_string().into(), revision, Some(content.into()));
                }
                Step::Remove(key) => {
                    if expected.remove(&key.to_string()).is_some() {
                        router.set_entry(key.to_string().into(), revision, None);
                    }
                }
                Step::List => {
                    expected.retain(|key, _| key.parse::<u8>().is_ok_and(|key| key % 2 == 0));
                    let keys: Vec<_> = expected.keys().map(|key| key.as_str().into()).collect();
                    router.apply_list(revision, &keys);
                }
                Step::Read => {
                    let delta = router.since(&known, revision);
                    apply(&mut copy, &delta);
                    known.revision = delta.revision;
                    prop_assert_eq!(&copy, &expected);
                }
            }
        }
    }
}
