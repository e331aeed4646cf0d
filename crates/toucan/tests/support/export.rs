//! Writes audit lines through the daemon's log.

use std::path::Path;

use serde_json::json;
use tsw_audit::{Chain, Fields, Signer};
use tsw_base::host;
use tsw_config::settings;
use tsw_event::{emit, setup, Event};

use crate::support::{toucan, Directory};

/// Writes audit lines through a log of the given format and verifies them with `toucan audit`. A log
/// can be initialized only once per process, so each format has its own test file.
pub fn verify(format: settings::Format) {
    let directory = Directory::new();
    let made = toucan(&["keys", directory.text(), "--hosts", "r1"]);
    assert_eq!(made.code, 0, "{made:?}");
    let file = directory.path().join("toucand.log");
    let log = settings::Log {
        format,
        level: settings::Level::Info,
        file: Some(file.clone()),
    };
    setup::init(&log).expect("a log");
    let signer = Signer::from_pem(&directory.read("record-r1.key")).expect("a key");
    let id = host::Id {
        host: "r1".parse().expect("a name"),
        incarnation: host::Incarnation::new(1, 0),
    };
    let mut chain = Chain::new(id, signer);
    emit(Event::Ready, &[("revision", &7)]);
    for text in [
        "plain",
        "with \"quotes\" and \\ and \n",
        "801 audit {\"chain\":",
    ] {
        let fields = json!({"request": text});
        let fields: Fields = fields.as_object().cloned().expect("an object");
        let line = chain.append(1_000, "complete", fields).expect("a line");
        let line = line.to_json().expect("JSON");
        emit(Event::Audit, &[("line", &line)]);
    }
    log::logger().flush();
    let run = toucan(&["audit", path_text(&file), "--keys", directory.text()]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.starts_with("3 records in 1 chains"), "{run:?}");
}

fn path_text(path: &Path) -> &str {
    path.to_str().expect("text")
}
