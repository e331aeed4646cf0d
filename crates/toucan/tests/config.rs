//! Tests of `toucan check`, `toucan bundle` and wrong usage.

mod support;

use std::process::{Command, Stdio};

use support::{toucan, Directory};
use tsw_config::bundle;

/// Guards against a command whose help contains no example.
#[test]
fn every_command_shows_an_example() {
    for command in [
        "check", "bundle", "status", "explain", "drain", "audit", "keys",
    ] {
        let run = toucan(&[command, "--help"]);
        assert_eq!(run.code, 0, "{run:?}");
        let example = format!("Example: toucan {command} ");
        assert!(run.out.contains(&example), "{command}: {}", run.out);
    }
}

/// Guards against wrong usage that scripts cannot tell from faults found.
#[test]
fn wrong_usage_has_a_distinct_exit_code() {
    let directory = Directory::valid();
    let cases: [&[&str]; 5] = [
        &["check"],
        &["bundle", directory.text()],
        &["nonsense"],
        &["status", "not-an-address"],
        &["audit", "--keys", directory.text()],
    ];
    for arguments in cases {
        let run = toucan(arguments);
        assert_eq!(run.code, 2, "{arguments:?}: {run:?}");
        assert!(!run.err.is_empty(), "{arguments:?}");
    }
}

/// Guards against valid files that are refused.
#[test]
fn valid_files_pass() {
    let directory = Directory::valid();
    let run = toucan(&["check", directory.text()]);
    assert_eq!((run.code, run.err.as_str()), (0, ""), "{run:?}");
    assert!(run.out.contains("teams: 1, services: 1"), "{run:?}");
}

/// Guards against faults that are omitted, repeated or shown without file and line.
#[test]
fn each_fault_is_shown_once_with_file_and_line() {
    let directory = Directory::valid();
    let text = "team: workshop\ntokens: []\ncolour: red\nshares:\n  pickups: 0.5\n";
    let path = directory.write("b.team.yaml", text);
    let run = toucan(&["check", directory.text()]);
    assert_eq!(run.code, 1, "{run:?}");
    let path = path.to_str().expect("text");
    for fault in [
        format!("{path}:3: unknown key \"colour\""),
        format!("{path}:5: no file describes service pickups"),
    ] {
        assert_eq!(run.out.matches(&fault).count(), 1, "{fault}: {run:?}");
    }
    assert!(run.out.contains("2 faults found"), "{run:?}");
}

/// Guards against invalid settings of the daemon that are found only when it starts.
#[test]
fn settings_of_the_daemon_are_checked() {
    let directory = Directory::new();
    let path = directory.write("toucand.yaml", "host: r1\nhots: x\n");
    let run = toucan(&["check", path.to_str().expect("text")]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.out.contains("toucand.yaml"), "{run:?}");
    assert!(run.out.contains("line 2"), "{run:?}");
}

/// Guards against a check that passes because it was given the wrong directory.
#[test]
fn a_directory_without_files_is_a_fault() {
    let directory = Directory::new();
    let run = toucan(&["check", directory.text()]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.out.contains("no *.team.yaml"), "{run:?}");
}

/// Guards against a bundle that routers refuse.
#[test]
fn a_bundle_can_be_parsed_by_routers() {
    let directory = Directory::valid();
    let out = directory.join("bundle.json");
    let arguments = [
        "bundle",
        directory.text(),
        "--revision",
        "42",
        "--out",
        &out,
    ];
    let run = toucan(&arguments);
    assert_eq!(run.code, 0, "{run:?}");
    let bytes = directory.read("bundle.json");
    let bundle = bundle::Bundle::parse(bytes.as_bytes()).expect("valid");
    assert_eq!(bundle.revision, 42);
    assert!(run.out.contains(&bundle.digest()), "{run:?}");
    assert_eq!(toucan(&arguments).code, 0);
    assert_eq!(directory.read("bundle.json"), bytes);
}

/// Guards against replacing a valid bundle by one of files with faults.
#[test]
fn faulty_files_leave_the_old_bundle() {
    let directory = Directory::valid();
    let out = directory.join("bundle.json");
    let bundle = |revision: &str| {
        toucan(&[
            "bundle",
            directory.text(),
            "--revision",
            revision,
            "--out",
            &out,
        ])
    };
    assert_eq!(bundle("1").code, 0);
    let before = directory.read("bundle.json");
    assert_eq!(bundle("0").code, 1);
    directory.write("b.team.yaml", "team: b\n");
    let run = bundle("2");
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("toucan check"), "{run:?}");
    assert_eq!(directory.read("bundle.json"), before);
}

/// Guards against an empty bundle, built from the wrong directory, that makes the whole fleet refuse
/// all calls.
#[test]
fn a_directory_without_services_has_no_bundle() {
    let directory = Directory::new();
    let out = directory.join("bundle.json");
    let run = toucan(&["bundle", directory.text(), "--revision", "1", "--out", &out]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("no *.service.yaml"), "{run:?}");
}

/// Guards against a panic when the reader of the output closes it, as `head` does.
#[test]
fn a_closed_output_is_no_failure() {
    let directory = Directory::valid();
    let mut child = Command::new(env!("CARGO_BIN_EXE_toucan"))
        .args(["check", directory.text()])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
