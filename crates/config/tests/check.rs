//! Tests of the checks across team and service files.

use std::path::PathBuf;

use proptest::prelude::*;
use tsw_config::{bundle, check, collect, fault::Kind};

const DIGEST: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
const OTHER: &str = "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752";

fn file(name: &str, text: &str) -> collect::File {
    let path = PathBuf::from(name);
    let kind = collect::Kind::from_path(&path).expect("a team or service file");
    collect::File {
        path,
        kind,
        text: text.to_owned(),
    }
}

fn service(name: &str) -> collect::File {
    let text = format!("service: {name}\nkind: model\nrepeatable: true\nslots: 8\n");
    file(&format!("{name}.service.yaml"), &text)
}

fn team(name: &str, token: &str, share: &str) -> collect::File {
    let text =
        format!("team: {name}\ntokens:\n  - {token}\nshares:\n  # capacity\n  reviews: {share}\n");
    file(&format!("{name}.team.yaml"), &text)
}

fn faults(files: &[collect::File]) -> Vec<String> {
    let set = check::FileSet::read(files);
    set.faults().iter().map(ToString::to_string).collect()
}

/// Guards against valid files that are refused.
#[test]
fn valid_files_have_no_fault() {
    let files = [service("reviews"), team("counter", DIGEST, "0.25")];
    assert_eq!(faults(&files), Vec::<String>::new());
}

/// Guards against a check that stops at the first fault, and against wrong lines.
#[test]
fn every_fault_is_reported_with_its_line() {
    let text = "team: counter\nqueue_limit: 0\ncolour: red\ntokens:\n  - secret-token-text\n\
                shares:\n  reviews: 1.5\n  pickups: 0.5\n";
    let found = faults(&[service("reviews"), file("a.team.yaml", text)]);
    let expected = [
        "a.team.yaml:2: queue_limit must be at least 1",
        "a.team.yaml:3: unknown key \"colour\"; known keys are team, tokens, shares, queue_limit",
        "a.team.yaml:5: token \"secret-t\" is not a SHA-256 digest of 64 lower-case hexadecimal \
         digits",
        "a.team.yaml:7: the value of \"shares.reviews\" is not valid: the share 1.5 is not above 0 \
         and at most 1",
        "a.team.yaml:8: no file describes service pickups",
    ];
    assert_eq!(found, expected);
}

/// Guards against printing a secret token that was written in place of its digest.
#[test]
fn a_token_in_plain_text_is_not_shown_in_full() {
    let plain = "a-plain-token-that-must-not-be-shown";
    let found = faults(&[service("reviews"), team("counter", plain, "0.5")]);
    assert_eq!(found.len(), 1);
    assert!(!found[0].contains(plain), "{found:?}");
}

/// Guards against a digest that YAML parses as a number.
#[test]
fn a_token_that_looks_like_a_number_must_be_quoted() {
    let digits = format!("{}e2", "1".repeat(62));
    let found = faults(&[service("reviews"), team("counter", &digits, "0.5")]);
    let text = "counter.team.yaml:2: a token is not text; put each token in quotes";
    assert_eq!(found, [text]);
    let quoted = team("counter", &format!("'{digits}'"), "0.5");
    assert_eq!(faults(&[service("reviews"), quoted]), Vec::<String>::new());
}

/// Guards against missing keys that go unnoticed.
#[test]
fn missing_keys_are_named() {
    let found = faults(&[file("a.service.yaml", "service: reviews\n")]);
    for key in ["kind", "repeatable", "slots"] {
        let text = format!("a.service.yaml:1: the key {key:?} is missing");
        assert!(found.contains(&text), "{found:?}");
    }
}

/// Guards against a YAML fault without a line.
#[test]
fn a_syntax_fault_names_its_line() {
    let found = check::FileSet::read(&[file("a.team.yaml", "team: counter\ntokens: [\n")]);
    assert!(matches!(found.faults()[0].kind, Kind::Syntax { .. }));
    assert!(found.faults()[0].line >= 2, "{}", found.faults()[0]);
    let twice = faults(&[file("a.team.yaml", "team: a\nteam: b\n")]);
    assert!(twice[0].contains("duplicate"), "{twice:?}");
}

/// Guards against a file that silently replaces another with the same name in it.
#[test]
fn duplicate_names_are_reported() {
    let mut second = team("counter", OTHER, "0.1");
    second.path = "z.team.yaml".into();
    let mut copy = service("reviews");
    copy.path = "z.service.yaml".into();
    let files = [
        service("reviews"),
        copy,
        team("counter", DIGEST, "0.1"),
        second,
    ];
    let found = faults(&files);
    let expected = [
        "z.service.yaml:1: service reviews is also described in reviews.service.yaml",
        "z.team.yaml:1: team counter is also described in counter.team.yaml",
    ];
    assert_eq!(found, expected);
}

/// Guards against shares that sum to more than the capacity.
#[test]
fn shares_above_the_whole_are_reported_at_each_team() {
    let files = [
        service("reviews"),
        team("counter", DIGEST, "0.7"),
        team("workshop", OTHER, "0.4"),
    ];
    let found = faults(&files);
    assert_eq!(found.len(), 2);
    let text =
        "counter.team.yaml:6: the shares of service reviews sum to 1.1; at most 1 is allowed";
    assert_eq!(found[0], text);
}

/// Guards against a token that identifies two teams.
#[test]
fn a_token_of_two_teams_is_reported() {
    let files = [
        service("reviews"),
        team("counter", DIGEST, "0.1"),
        team("workshop", DIGEST, "0.1"),
    ];
    let text = "workshop.team.yaml:3: the token is also accepted by team counter; give each team \
                tokens of its own";
    assert_eq!(faults(&files), [text]);
}

/// Guards against models in a plain service and duplicate models.
#[test]
fn models_are_checked() {
    let plain =
        "service: pickups\nkind: plain\nrepeatable: false\nslots: 2\nmodels:\n  - model: a\n";
    let twice = "service: reviews\nkind: model\nrepeatable: true\nslots: 2\nmodels:\n  \
                 - model: a\n  - model: a\n";
    let found = faults(&[file("p.service.yaml", plain), file("r.service.yaml", twice)]);
    let expected = [
        "p.service.yaml:5: a service of kind plain must not name models",
        "r.service.yaml:7: model a is named twice",
    ];
    assert_eq!(found, expected);
}

/// Guards against a bundle that depends on the order of the files.
#[test]
fn the_bundle_is_deterministic() {
    let mut files = vec![
        service("reviews"),
        service("drafts"),
        team("counter", DIGEST, "0.25"),
        team("workshop", OTHER, "0.25"),
    ];
    let first = check::FileSet::read(&files).bundle(4).expect("valid files");
    files.reverse();
    let second = check::FileSet::read(&files).bundle(4).expect("valid files");
    let bytes = first.to_bytes().expect("small enough");
    assert_eq!(bytes, second.to_bytes().expect("small enough"));
    assert_eq!(bundle::Bundle::parse(&bytes).expect("valid"), first);
}

/// Guards against building a bundle from files with faults.
#[test]
fn files_with_faults_have_no_bundle() {
    let set = check::FileSet::read(&[team("counter", DIGEST, "0.5")]);
    assert!(matches!(
        set.bundle(1),
        Err(check::Error::Faults { count: 1 })
    ));
}

/// Guards against a bundle that the configuration service cannot store.
#[test]
fn a_bundle_above_the_value_limit_is_refused() {
    let mut files = vec![service("reviews")];
    for number in 0..7_000 {
        let token = format!("'{number:064x}'");
        files.push(team(&format!("team-{number}"), &token, "0.0001"));
    }
    let set = check::FileSet::read(&files);
    assert!(set.faults().is_empty(), "{}", set.faults()[0]);
    assert!(matches!(
        set.bundle(1),
        Err(check::Error::Bundle(bundle::Error::TooLarge { .. }))
    ));
}

proptest! {
    /// Guards against a panic on arbitrary file content.
    #[test]
    fn any_text_is_parsed_without_panic(text in "(team|service|tokens|shares|[a-z]{1,3}|:| |\n|\\[|\\]|\\{|-|#|\"|[0-9]){0,40}") {
        let files = [file("a.team.yaml", &text), file("a.service.yaml", &text)];
        let set = check::FileSet::read(&files);
        prop_assert!(!set.faults().is_empty());
        for fault in set.faults() {
            prop_assert!(fault.line >= 1);
        }
    }
}
