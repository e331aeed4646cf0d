//! Tests of the rule that decides which bundle is in force.

use proptest::prelude::*;
use tsw_config::{adopt, bundle};

fn numbered(revision: u64) -> bundle::Bundle {
    bundle::Bundle {
        revision,
        services: Default::default(),
        teams: Default::default(),
    }
}

proptest! {
    /// Guards against a configuration that is rolled back (P8).
    #[test]
    fn the_revision_in_force_never_falls(offers in proptest::collection::vec(1_u64..50, 1..40)) {
        let mut store = adopt::Store::default();
        let mut highest = 0;
        for revision in offers {
            let verdict = store.offer(numbered(revision));
            prop_assert_eq!(verdict == adopt::Verdict::Adopted, revision > highest);
            highest = highest.max(revision);
            prop_assert_eq!(store.revision(), highest);
        }
    }
}
