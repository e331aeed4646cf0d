//! Tests of reading a bundle.

use tsw_config::bundle;

/// Guards against an entry that is listed under the name of another.
#[test]
fn an_entry_under_another_name_is_refused() {
    let text = r#"{"revision":1,"services":{},"teams":{"a":{"team":"b","tokens":[],"shares":{}}}}"#;
    let found = bundle::Bundle::parse(text.as_bytes());
    assert!(
        matches!(found, Err(bundle::Error::Name { .. })),
        "{found:?}"
    );
}

/// Guards against a value that is larger than the configuration service holds.
#[test]
fn a_large_bundle_is_refused_before_it_is_read() {
    let bytes = vec![b' '; bundle::MAX_BYTES + 1];
    let found = bundle::Bundle::parse(&bytes);
    assert!(matches!(found, Err(bundle::Error::Large { .. })));
}

/// Guards against unknown keys that are passed over.
#[test]
fn an_unknown_key_is_refused() {
    let text = br#"{"revision":1,"services":{},"teams":{},"extra":1}"#;
    assert!(matches!(
        bundle::Bundle::parse(text),
        Err(bundle::Error::Form(_))
    ));
}
