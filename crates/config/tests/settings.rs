//! Tests of the daemon's settings.

use std::path::Path;

use tsw_config::settings;

const TEXT: &str = "host: r1\ndomain: east\n\
    listen: {caller: '127.0.0.1:1', peer: '127.0.0.1:2', operator: '127.0.0.1:3'}\n\
    platform: {config: 'http://127.0.0.1:4', hosts: 'http://127.0.0.1:4', weights: 'http://127.0.0.1:4'}\n\
    tls: {authority: a.pem, certificate: c.pem, key: k.pem}\n\
    secrets: {permit_key: p.key, record_key: r.pem}\n";

fn parse(text: &str) -> Result<settings::Settings, settings::Error> {
    settings::Settings::parse(text, Path::new("toucand.yaml"))
}

/// Guards against refusing settings without the optional sections.
#[test]
fn minimal_settings_are_accepted() {
    let settings = parse(TEXT).expect("valid");
    assert_eq!(settings.tuning, settings::Tuning::default());
}

/// Guards against a misspelt key that is silently ignored.
#[test]
fn an_unknown_key_is_refused_with_its_line() {
    let found = parse(&format!("{TEXT}tunning: {{}}\n"));
    let Err(settings::Error::Yaml { source, .. }) = found else {
        panic!("{found:?}");
    };
    assert!(source.to_string().contains("tunning"), "{source}");
}

/// Guards against a retention that ends before the permit expires.
#[test]
fn a_retention_shorter_than_a_permit_is_refused() {
    let text = format!("{TEXT}tuning: {{permit_ms: 5000, retain_ms: 4000}}\n");
    assert!(matches!(
        parse(&text),
        Err(settings::Error::TooSmall {
            key: "tuning.retain_ms",
            ..
        })
    ));
}

/// Guards against a URL with another scheme, which would fail only at run time.
#[test]
fn a_url_must_be_http() {
    let text = TEXT.replace("config: 'http:", "config: 'https:");
    assert!(matches!(
        parse(&text),
        Err(settings::Error::InvalidUrl { key: "config", .. })
    ));
}
