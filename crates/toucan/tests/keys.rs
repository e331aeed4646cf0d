//! Tests of `toucan keys`.

mod support;

use std::{fs, os::unix::fs::PermissionsExt as _, sync::Arc};

use rustls::{
    pki_types::{pem::PemObject, CertificateDer, ServerName, UnixTime},
    server::WebPkiClientVerifier,
    RootCertStore,
};
use sha2::{Digest as _, Sha256};
use support::{toucan, Directory};

fn generate(directory: &Directory, hosts: &str) -> support::Run {
    toucan(&[
        "keys",
        directory.text(),
        "--hosts",
        hosts,
        "--teams",
        "counter",
    ])
}

fn check(directory: &Directory, host: &str) {
    let load = |name: &str| {
        let file = directory.join(name);
        CertificateDer::from_pem_file(file).expect("a certificate")
    };
    let mut roots = RootCertStore::empty();
    roots.add(load("authority.pem")).expect("an authority");
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let certificate = load(&format!("{host}.pem"));
    let client = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .expect("a verifier");
    client
        .verify_client_cert(&certificate, &[], UnixTime::now())
        .expect("valid for a client");
    let server = rustls::client::WebPkiServerVerifier::builder_with_provider(roots, provider)
        .build()
        .expect("a verifier");
    let name = ServerName::try_from(host.to_owned()).expect("a name");
    use rustls::client::danger::ServerCertVerifier as _;
    server
        .verify_server_cert(&certificate, &[], &name, &[], UnixTime::now())
        .expect("valid for a server of this name");
}

/// Guards against certificates that routers refuse as client or server.
#[test]
fn host_certificates_are_valid_for_client_and_server() {
    let directory = Directory::new();
    let run = generate(&directory, "r1,r2");
    assert_eq!(run.code, 0, "{run:?}");
    check(&directory, "r1");
    check(&directory, "r2");
    assert_eq!(directory.read("permit.key").trim().len(), 64);
}

/// Guards against a second call that replaces keys or generates another authority.
#[test]
fn a_second_call_adds_hosts_and_keeps_the_rest() {
    let directory = Directory::new();
    assert_eq!(generate(&directory, "r1").code, 0);
    let before = ["authority.pem", "permit.key", "r1.pem", "record-r1.key"];
    let before = before.map(|name| (name, directory.read(name)));
    assert_eq!(generate(&directory, "r1,r2").code, 0);
    for (name, text) in before {
        assert_eq!(directory.read(name), text, "{name}");
    }
    check(&directory, "r1");
    check(&directory, "r2");
}

/// Guards against replacing a public record key that old audit lines still need.
#[test]
fn a_public_record_key_is_not_replaced() {
    let directory = Directory::new();
    assert_eq!(generate(&directory, "r1").code, 0);
    fs::remove_file(directory.join("record-r1.key")).expect("deleted");
    let run = generate(&directory, "r1");
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("new name"), "{run:?}");
}

/// Guards against secrets that other users can read.
#[test]
fn secrets_are_for_the_owner_only() {
    let directory = Directory::new();
    assert_eq!(generate(&directory, "r1").code, 0);
    for name in [
        "authority.key",
        "permit.key",
        "r1.key",
        "record-r1.key",
        "counter.token",
    ] {
        let metadata = fs::metadata(directory.join(name)).expect("a file");
        assert_eq!(metadata.permissions().mode() & 0o077, 0, "{name}");
    }
}

/// Guards against printing a digest that does not match the token.
#[test]
fn the_digest_of_an_example_token_is_printed_for_the_team_file() {
    let directory = Directory::new();
    let run = generate(&directory, "r1");
    let digest = hex::encode(Sha256::digest(directory.read("counter.token")));
    assert!(
        run.out
            .contains(&format!("team counter: tokens: [\"{digest}\"]")),
        "{run:?}"
    );
}

/// Guards against files named after invalid host names.
#[test]
fn names_are_checked() {
    let directory = Directory::new();
    let run = generate(&directory, "r1,../r2");
    assert_eq!(run.code, 1, "{run:?}");
    assert!(!directory.path().join("authority.pem").exists());
}
