//! Test of records in a log in JSON form.

#[path = "support/export.rs"]
mod export;
mod support;

/// Guards against records that the daemon exports and the command line does not find.
#[test]
fn exported_records_are_found() {
    export::verify(tsw_config::settings::Format::Json);
}
