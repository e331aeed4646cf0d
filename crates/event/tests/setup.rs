//! Test of the initialization of the log. It runs in its own process, because a log can be
//! initialized only once per process.

use std::fs;

use tsw_config::settings;
use tsw_event::{emit, setup, Event};

/// Guards against gaps in the audit log when the log level is above info.
#[test]
fn audit_lines_are_written_at_every_level() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("toucand.log");
    let log = settings::Log {
        level: settings::Level::Error,
        file: Some(path.clone()),
        ..settings::Log::default()
    };
    setup::init(&log).expect("a log");
    emit(Event::Ready, &[("revision", &1)]);
    emit(Event::Audit, &[("line", &"{}")]);
    let text = fs::read_to_string(path).expect("the log file");
    assert!(text.contains("line={}"), "{text:?}");
    assert!(!text.contains("revision=1"), "{text:?}");
}
