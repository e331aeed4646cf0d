//! Tests of the names.

use tsw_base::name;

/// Guards against names that break log lines, file names or metrics labels.
#[test]
fn refuses_what_is_not_a_name() {
    assert_eq!("".parse::<name::Team>(), Err(name::Error::Empty));
    assert_eq!(
        "a".repeat(64).parse::<name::Team>(),
        Err(name::Error::Long { len: 64 })
    );
    assert_eq!(
        "a b".parse::<name::Team>(),
        Err(name::Error::Character {
            text: "a b".to_owned(),
            found: ' '
        })
    );
}
