//! Tests of docs/OPERATIONS.md against the code.

use std::fs;

use log::Level;
use tsw_event::Event;

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    fs::read_to_string(path).expect("readable")
}

/// Guards against a warning or error event that docs/OPERATIONS.md does not describe.
#[test]
fn every_warning_and_error_event_is_described() {
    let page = page();
    for event in Event::ALL {
        if event.level() <= Level::Warn {
            let row = format!("| {} `{}` |", event.number(), event.name());
            assert!(page.contains(&row), "no row {row}");
        }
    }
}

/// Guards against invalid examples in docs/OPERATIONS.md.
#[test]
fn the_examples_are_valid() {
    let page = page();
    let blocks = page.split("```yaml").skip(1);
    let blocks: Vec<String> = blocks
        .filter_map(|rest| rest.split("```").next())
        .map(|block| {
            let indent = block.lines().find(|line| !line.trim().is_empty());
            let indent = indent.map_or(0, |line| line.len() - line.trim_start().len());
            let lines = block.lines().map(|line| line.get(indent..).unwrap_or(""));
            lines.collect::<Vec<_>>().join("\n")
        })
        .collect();
    assert_eq!(blocks.len(), 3, "settings, team and service");
    let path = std::path::Path::new("toucand.yaml");
    tsw_config::settings::Settings::parse(&blocks[0], path).expect("valid settings");
    let file = |name: &str, text: &str| tsw_config::collect::File {
        path: name.into(),
        kind: tsw_config::collect::Kind::from_path(name.as_ref()).expect("a kind"),
        text: text.to_owned(),
    };
    let files = [
        file("a.team.yaml", &blocks[1]),
        file("a.service.yaml", &blocks[2]),
    ];
    let set = tsw_config::check::FileSet::read(&files);
    assert!(set.faults().is_empty(), "{}", set.faults()[0]);
}
