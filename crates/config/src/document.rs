//! Parses a single team or service file and reports every fault in it.

use std::path::{Path, PathBuf};

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_yaml_ng::{Mapping, Value};
use tsw_base::name;

use crate::{
    collect::File,
    fault::{Fault, Kind},
    service, team,
};

const TEAM_KEYS: &[&str] = &["team", "tokens", "shares", "queue_limit"];
const SERVICE_KEYS: &[&str] = &[
    "service",
    "kind",
    "repeatable",
    "slots",
    "models",
    "fencing",
    "short_tokens",
    "deadline_ms",
];

/// Number of characters of an invalid token that a fault shows.
const SHOWN_TOKEN_CHARS: usize = 8;

/// The YAML mapping of a file, and the faults found in it so far.
struct Document<'a> {
    path: &'a Path,
    text: &'a str,
    keys: Mapping,
    faults: Vec<Fault>,
}

/// Returns the first line at or after line `from` that contains `needle` as a whole word, or `from`
/// if there is none.
pub(crate) fn find_line(text: &str, from: usize, needle: &str) -> usize {
    let is_word_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let contains_word = |line: &str| {
        line.match_indices(needle).any(|(at, _)| {
            let before = line[..at].chars().next_back();
            let after = line[at + needle.len()..].chars().next();
            !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
        })
    };
    let lines = text.lines().enumerate().skip(from.saturating_sub(1));
    let mut found =
        lines.filter(|(_, line)| !line.trim_start().starts_with('#') && contains_word(line));
    found.next().map_or(from, |(index, _)| index + 1)
}

/// Returns the line of a top-level key, or 1 if the key is absent.
pub(crate) fn find_key_line(text: &str, key: &str) -> usize {
    let mut lines = text.lines();
    let is_key_line = |line: &str| {
        let line = line.trim_start_matches(['"', '\'']);
        let rest = line.strip_prefix(key);
        rest.is_some_and(|rest| rest.trim_start_matches(['"', '\'', ' ']).starts_with(':'))
    };
    lines.position(is_key_line).map_or(1, |index| index + 1)
}

impl<'a> Document<'a> {
    fn parse(file: &'a File, known: &[&str]) -> Result<Self, Vec<Fault>> {
        let single = |line, kind| {
            vec![Fault {
                path: file.path.clone(),
                line,
                kind,
            }]
        };
        let value: Value = serde_yaml_ng::from_str(&file.text).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            let cause = error.to_string();
            single(line, Kind::Syntax { cause })
        })?;
        let Value::Mapping(keys) = value else {
            return Err(single(1, Kind::NotAMapping));
        };
        let mut document = Self {
            path: &file.path,
            text: &file.text,
            keys,
            faults: Vec::new(),
        };
        document.check_keys(known);
        Ok(document)
    }

    fn check_keys(&mut self, known: &[&str]) {
        let keys: Vec<String> = self.keys.keys().map(key_text).collect();
        for key in keys {
            if !known.contains(&key.as_str()) {
                let line = find_key_line(self.text, &key);
                let known = known.join(", ");
                self.add_fault(line, Kind::UnknownKey { key, known });
            }
        }
    }

    fn add_fault(&mut self, line: usize, kind: Kind) {
        self.faults.push(Fault {
            path: self.path.to_owned(),
            line,
            kind,
        });
    }

    /// Returns the value of a key, or `None` if it is absent or invalid.
    fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.keys.get(key)?.clone();
        let line = find_key_line(self.text, key);
        self.deserialize(line, key, value)
    }

    /// Returns the value of a key, and records a fault if the key is absent.
    fn required<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        if !self.keys.contains_key(key) {
            self.add_fault(1, Kind::MissingKey { key });
        }
        self.optional(key)
    }

    fn deserialize<T: DeserializeOwned>(
        &mut self,
        line: usize,
        key: &str,
        value: Value,
    ) -> Option<T> {
        match serde_yaml_ng::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                let kind = Kind::InvalidValue {
                    key: key.to_owned(),
                    cause: error.to_string(),
                };
                self.add_fault(line, kind);
                None
            }
        }
    }

    fn check_nonzero<T: Into<u64>>(&mut self, key: &'static str, value: T) {
        if value.into() == 0 {
            self.add_fault(find_key_line(self.text, key), Kind::ZeroValue { key });
        }
    }

    /// Returns the faults, and the value if there are none.
    fn finish<T>(self, value: Option<T>) -> (Option<T>, Vec<Fault>) {
        let has_faults = !self.faults.is_empty();
        (value.filter(|_| !has_faults), self.faults)
    }
}

fn key_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => serde_yaml_ng::to_string(other)
            .unwrap_or_default()
            .trim()
            .to_owned(),
    }
}

/// A parsed team file, with the data that the checks across files need.
pub(crate) struct TeamFile {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
    /// Name of the team, set even if the file has other faults.
    pub(crate) name: Option<name::Team>,
    /// The valid shares, set even if the file has faults.
    pub(crate) shares: IndexMap<name::Service, team::Share>,
    pub(crate) tokens: Vec<String>,
    /// The team, if the file has no faults.
    pub(crate) team: Option<team::Team>,
}

/// A parsed service file, with the data that the checks across files need.
pub(crate) struct ServiceFile {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
    /// Name of the service, set even if the file has other faults.
    pub(crate) name: Option<name::Service>,
    /// The service, if the file has no faults.
    pub(crate) service: Option<service::Service>,
}

/// Parses a team file.
pub(crate) fn parse_team(file: &File) -> (TeamFile, Vec<Fault>) {
    let mut parsed = TeamFile {
        path: file.path.clone(),
        text: file.text.clone(),
        name: None,
        shares: IndexMap::new(),
        tokens: Vec::new(),
        team: None,
    };
    let mut document = match Document::parse(file, TEAM_KEYS) {
        Ok(document) => document,
        Err(faults) => return (parsed, faults),
    };
    parsed.name = document.required("team");
    let tokens: Vec<Value> = document.required("tokens").unwrap_or_default();
    for token in tokens {
        check_token(&mut document, &token);
        parsed.tokens.extend(token.as_str().map(str::to_owned));
    }
    parsed.shares = parse_shares(&mut document);
    let queue_limit = document.optional::<u32>("queue_limit");
    if let Some(limit) = queue_limit {
        document.check_nonzero("queue_limit", limit);
    }
    let team = parsed.name.clone().map(|name| team::Team {
        team: name,
        tokens: parsed.tokens.clone(),
        shares: parsed.shares.clone(),
        queue_limit: queue_limit.unwrap_or(team::DEFAULT_QUEUE_LIMIT),
    });
    let (team, faults) = document.finish(team);
    parsed.team = team;
    (parsed, faults)
}

fn check_token(document: &mut Document<'_>, token: &Value) {
    let tokens = find_key_line(document.text, "tokens");
    // YAML parses a digest of decimal digits around an `e` as a floating-point number.
    let Value::String(token) = token else {
        document.add_fault(tokens, Kind::UnquotedToken);
        return;
    };
    let is_hex_digit = |b| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    if token.len() != 64 || !token.bytes().all(is_hex_digit) {
        let line = find_line(document.text, tokens, token);
        let token = token.chars().take(SHOWN_TOKEN_CHARS).collect();
        document.add_fault(line, Kind::InvalidDigest { token });
    }
}

fn parse_shares(document: &mut Document<'_>) -> IndexMap<name::Service, team::Share> {
    let mapping: Mapping = document.required("shares").unwrap_or_default();
    let section_line = find_key_line(document.text, "shares");
    let mut shares = IndexMap::new();
    for (key, value) in mapping {
        let text = key_text(&key);
        let line = find_line(document.text, section_line, &text);
        let service = document.deserialize(line, "shares", key);
        let share = document.deserialize(line, &format!("shares.{text}"), value);
        if let (Some(service), Some(share)) = (service, share) {
            shares.insert(service, share);
        }
    }
    shares
}

/// Parses a service file.
pub(crate) fn parse_service(file: &File) -> (ServiceFile, Vec<Fault>) {
    let mut parsed = ServiceFile {
        path: file.path.clone(),
        text: file.text.clone(),
        name: None,
        service: None,
    };
    let mut document = match Document::parse(file, SERVICE_KEYS) {
        Ok(document) => document,
        Err(faults) => return (parsed, faults),
    };
    parsed.name = document.required("service");
    let kind = document.required("kind");
    let repeatable = document.required("repeatable");
    let slots = document.required::<u32>("slots");
    if let Some(slots) = slots {
        document.check_nonzero("slots", slots);
    }
    let models: Vec<service::Model> = document.optional("models").unwrap_or_default();
    check_models(&mut document, kind, &models);
    let fencing = document.optional("fencing").unwrap_or_default();
    let short_tokens = document.optional("short_tokens");
    let deadline_ms = document.optional::<u64>("deadline_ms");
    if let Some(deadline_ms) = deadline_ms {
        document.check_nonzero("deadline_ms", deadline_ms);
    }
    let service = match (parsed.name.clone(), kind, repeatable, slots) {
        (Some(service), Some(kind), Some(repeatable), Some(slots)) => Some(service::Service {
            service,
            kind,
            repeatable,
            slots,
            models,
            fencing,
            short_tokens: short_tokens.unwrap_or(service::DEFAULT_SHORT_TOKENS),
            deadline_ms: deadline_ms.unwrap_or(service::DEFAULT_DEADLINE_MS),
        }),
        _ => None,
    };
    let (service, faults) = document.finish(service);
    parsed.service = service;
    (parsed, faults)
}

fn check_models(
    document: &mut Document<'_>,
    kind: Option<service::Kind>,
    models: &[service::Model],
) {
    let section_line = find_key_line(document.text, "models");
    if kind == Some(service::Kind::Plain) && !models.is_empty() {
        document.add_fault(section_line, Kind::ModelsOfPlainService);
    }
    for (index, model) in models.iter().enumerate() {
        if models[..index]
            .iter()
            .any(|other| other.model == model.model)
        {
            let first = find_line(document.text, section_line, model.model.as_str());
            let line = find_line(document.text, first + 1, model.model.as_str());
            let model = model.model.clone();
            document.add_fault(line, Kind::DuplicateModel { model });
        }
    }
}
