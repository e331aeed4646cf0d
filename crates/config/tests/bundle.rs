//! Tests of parsing a bundle.

use tsw_config::bundle;

/// Guards against an entry whose key differs from its name.
#[test]
fn an_entry_under_another_name_is_refused() {
    let text = r#"{"revision":1,"services":{},"teams":{"a":{"team":"b","tokens":[],"shares":{}}}}"#;
    let found = bundle::Bundle::parse(text.as_bytes());
    assert!(
        matches!(found, Err(bundle::Error::NameMismatch { .. })),
        "{found:?}"
    );
}

/// Guards against a bundle that is larger than the configuration service can store.
#[test]
fn a_large_bundle_is_refused_before_it_is_parsed() {
    let bytes = vec![b' '; bundle::MAX_BYTES + 1];
    let found = bundle::Bundle::parse(&bytes);
    assert!(matches!(found, Err(bundle::Error::TooLarge { .. })));
}

/// Guards against unknown keys that are silently ignored.
#[test]
fn an_unknown_key_is_refused() {
    let text = br#"{"revision":1,"services":{},"teams":{},"extra":1}"#;
    assert!(matches!(
        bundle::Bundle::parse(text),
        Err(bundle::Error::Json(_))
    ));
}
