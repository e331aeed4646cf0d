//! Tests of the settings of a router on the users' platform.

use std::path::Path;

use tsw_config::{gateway, settings};

const TEXT: &str = "interface: platform\nhost: r1\ndomain: north\n\
    listen: {client: '127.0.0.1:1', ready: '127.0.0.1:2', locate: '127.0.0.1:3', control: '127.0.0.1:4', \
    gossip: '127.0.0.1:5', metrics: '127.0.0.1:6'}\nstore: '127.0.0.1:7'\nprocessor: 0.5\n\
    bounds: {retry_ratio: 0.2, retry_window_s: 10, retry_slack: 50, keep_s: 5, grace_s: 8}\n";

/// Guards against a router that ends at its start because of a bound that is no usable number of seconds.
#[test]
fn bounds_that_are_no_usable_numbers_are_named() {
    let parse = |text: &str| gateway::Settings::parse(text, Path::new("router.yaml"));
    parse(TEXT).expect("valid");
    for (key, valid) in [
        ("retry_ratio", "0.2"),
        ("retry_window_s", "10"),
        ("retry_slack", "50"),
        ("grace_s", "8"),
        ("processor", "0.5"),
    ] {
        for number in [".inf", ".nan", "1e300", "-.inf", "-1"] {
            let stated = format!("{key}: {valid}");
            let text = TEXT.replace(&stated, &format!("{key}: {number}"));
            let error = parse(&text).expect_err(&text).to_string();
            assert!(error.contains(key), "{error}");
            assert!(!matches!(parse(&text), Err(settings::Error::Yaml { .. })));
        }
    }
}
