//! Test of audit lines in a text log.

#[path = "support/export.rs"]
mod export;
mod support;

/// Guards against audit lines that the daemon logs and `toucan audit` does not find.
#[test]
fn exported_audit_lines_are_found() {
    export::verify(tsw_config::settings::Format::Text);
}
