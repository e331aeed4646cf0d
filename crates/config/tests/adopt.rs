//! Tests of the adoption of bundles.

use proptest::prelude::*;
use tsw_config::{adopt, bundle};

fn bundle(revision: u64, content: bool) -> bundle::Bundle {
    let team = r#"{"team":"t","tokens":[],"shares":{}}"#;
    let teams = if content {
        format!(r#""t":{team}"#)
    } else {
        String::new()
    };
    let text = format!(r#"{{"revision":{revision},"services":{{}},"teams":{{{teams}}}}}"#);
    bundle::Bundle::parse(text.as_bytes()).expect("a bundle")
}

proptest! {
    /// Guards against stale, out-of-order or conflicting reads that replace the active bundle by a
    /// lower revision, or by different content of the same revision.
    #[test]
    fn the_bundle_in_use_never_reverts(offers in prop::collection::vec((1..8_u64, any::<bool>()), 0..60)) {
        let mut active = adopt::ActiveBundle::default();
        for (revision, content) in offers {
            let before = active.current().cloned();
            let offered = bundle(revision, content);
            let verdict = active.offer(offered.clone());
            let after = active.current().cloned().expect("a bundle is active");
            let expected = match &before {
                None => adopt::Outcome::Adopted,
                Some(old) if revision > old.revision => adopt::Outcome::Adopted,
                Some(old) if revision < old.revision => {
                    adopt::Outcome::Older { current: old.revision }
                }
                Some(old) if **old == offered => adopt::Outcome::Unchanged,
                Some(old) => adopt::Outcome::Conflict {
                    current: old.digest(),
                    offered: offered.digest(),
                },
            };
            if verdict == adopt::Outcome::Adopted {
                prop_assert_eq!(&*after, &offered);
            } else {
                prop_assert_eq!(Some(&after), before.as_ref());
            }
            prop_assert_eq!(verdict, expected);
            prop_assert_eq!(active.revision(), after.revision);
        }
    }

    /// Guards against routers that end up with different bundles because the publications, each with
    /// its own revision, arrived in a different order.
    #[test]
    fn the_order_of_arrival_does_not_matter(mut order in Just((1..10_u64).collect::<Vec<_>>()).prop_shuffle(),
                                            repeats in prop::collection::vec(1..10_u64, 0..10)) {
        let mut active = adopt::ActiveBundle::default();
        order.extend(repeats);
        for revision in order {
            active.offer(bundle(revision, revision % 2 == 0));
        }
        prop_assert_eq!(active.revision(), 9);
    }
}
