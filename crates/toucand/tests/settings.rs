//! Guards against a process that starts with invalid settings, or that exits without an error that
//! names the setting to correct.

mod support;

use std::{fs, path::Path, process::Output};

fn run(directory: &Path, text: &str) -> (Output, String) {
    let settings = support::write_settings(directory, text);
    let output = support::command(&settings).output().expect("a process");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output, errors)
}

/// Runs the process with valid settings changed by `change`, expects it to fail, and returns its
/// standard error.
fn run_rejected(change: impl FnOnce(&Path, String) -> String) -> String {
    let directory = tempfile::tempdir().expect("a directory");
    support::write_keys(directory.path());
    let ports = support::free_ports();
    // Nothing listens on the discard port of the loopback address.
    let platform = "127.0.0.1:9".parse().expect("an address");
    let text = support::settings(directory.path(), &ports, platform, "");
    let text = change(directory.path(), text);
    let (output, errors) = run(directory.path(), &text);
    assert!(!output.status.success(), "the process accepted {text}");
    errors
}

#[test]
fn missing_file_is_named() {
    let output = support::command(Path::new("/nonexistent/toucand.yaml"))
        .output()
        .expect("a process");
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("/nonexistent/toucand.yaml"), "{errors}");
}

#[test]
fn unknown_key_is_named() {
    let errors = run_rejected(|_, text| text + "colour: red\n");
    assert!(errors.contains("colour"), "{errors}");
}

#[test]
fn url_without_scheme_is_named() {
    let errors = run_rejected(|_, text| text.replacen("config: \"http://", "config: \"", 1));
    assert!(errors.contains("platform.config"), "{errors}");
}

#[test]
fn missing_certificate_is_named() {
    let errors = run_rejected(|directory, text| {
        fs::remove_file(directory.join("r1.pem")).expect("removed");
        text
    });
    assert!(errors.contains("tls.certificate"), "{errors}");
}

#[test]
fn malformed_permit_key_is_named() {
    let errors = run_rejected(|directory, text| {
        fs::write(directory.join("permit.key"), "not hexadecimal").expect("written");
        text
    });
    assert!(errors.contains("secrets.permit_key"), "{errors}");
}

#[test]
fn malformed_record_key_is_named() {
    let errors = run_rejected(|directory, text| {
        fs::write(directory.join("record.key"), "no PEM").expect("written");
        text
    });
    assert!(errors.contains("secrets.record_key"), "{errors}");
}

#[test]
fn address_in_use_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("bound");
    let errors = run_rejected(|_, text| {
        let (before, after) = text.split_once("caller: \"").expect("a caller address");
        let (_, after) = after.split_once('"').expect("a quote");
        format!("{before}caller: \"{address}\"{after}")
    });
    assert!(errors.contains("listen.caller"), "{errors}");
}

#[test]
fn unreachable_host_list_is_named() {
    // Without a host list no peer is known, so the process must not start.
    let errors = run_rejected(|_, text| text);
    assert!(errors.contains("http://127.0.0.1:9/v1/hosts"), "{errors}");
    assert!(
        errors.contains("check the settings under platform"),
        "{errors}"
    );
}
