//! Tests of name validation.

use tsw_base::name;

/// Guards against names that would corrupt log lines, file names or metric labels.
#[test]
fn invalid_names_are_rejected() {
    assert_eq!("".parse::<name::Team>(), Err(name::Error::Empty));
    assert_eq!(
        "a".repeat(64).parse::<name::Team>(),
        Err(name::Error::TooLong { len: 64 })
    );
    assert_eq!(
        "a b".parse::<name::Team>(),
        Err(name::Error::InvalidCharacter {
            text: "a b".to_owned(),
            character: ' '
        })
    );
}
