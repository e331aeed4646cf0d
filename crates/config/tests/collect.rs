//! Tests of finding team and service files.

use std::fs;

use tsw_config::collect;

/// Guards against files that are missed in subdirectories, found in hidden ones, or unsorted.
#[test]
fn team_and_service_files_are_found_in_order() {
    let directory = tempfile::tempdir().expect("a directory");
    let root = directory.path();
    fs::create_dir_all(root.join("shop/inner")).expect("created");
    fs::create_dir_all(root.join(".hidden")).expect("created");
    for name in [
        "z.team.yaml",
        "shop/inner/a.service.yaml",
        "shop/readme.yaml",
        ".hidden/b.team.yaml",
    ] {
        fs::write(root.join(name), "x: 1\n").expect("written");
    }
    let files = collect::walk(root).expect("readable");
    let found: Vec<_> = files
        .iter()
        .map(|file| (file.path.strip_prefix(root).expect("below"), file.kind))
        .collect();
    let expected = [
        ("shop/inner/a.service.yaml".as_ref(), collect::Kind::Service),
        ("z.team.yaml".as_ref(), collect::Kind::Team),
    ];
    assert_eq!(found, expected);
}

/// Guards against a file that is silently skipped because it is not UTF-8.
#[test]
fn a_file_that_is_not_text_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("a.team.yaml"), [0xff, 0xfe]).expect("written");
    let found = collect::walk(directory.path());
    assert!(matches!(found, Err(collect::Error::Read { .. })));
}
