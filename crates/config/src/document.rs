//! Reads one team or service file and reports every fault in it.

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

/// Characters of a refused token that a fault shows.
const SHOWN_TOKEN_CHARS: usize = 8;

/// A file as YAML, with the faults found so far.
struct Document<'a> {
    path: &'a Path,
    text: &'a str,
    keys: Mapping,
    faults: Vec<Fault>,
}

/// Returns the first line from line `from` on that holds `needle` as a word, or else `from`.
pub(crate) fn line_of(text: &str, from: usize, needle: &str) -> usize {
    let inside = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let holds = |line: &str| {
        line.match_indices(needle).any(|(at, _)| {
            let before = line[..at].chars().next_back();
            let after = line[at + needle.len()..].chars().next();
            !before.is_some_and(inside) && !after.is_some_and(inside)
        })
    };
    let lines = text.lines().enumerate().skip(from.saturating_sub(1));
    let mut found = lines.filter(|(_, line)| !line.trim_start().starts_with('#') && holds(line));
    found.next().map_or(from, |(index, _)| index + 1)
}

/// Returns the line of a key at the top of the file, or 1 without it.
pub(crate) fn line_of_key(text: &str, key: &str) -> usize {
    let mut lines = text.lines();
    let starts = |line: &str| {
        let line = line.trim_start_matches(['"', '\'']);
        let rest = line.strip_prefix(key);
        rest.is_some_and(|rest| rest.trim_start_matches(['"', '\'', ' ']).starts_with(':'))
    };
    lines.position(starts).map_or(1, |index| index + 1)
}

impl<'a> Document<'a> {
    fn open(file: &'a File, known: &[&str]) -> Result<Self, Vec<Fault>> {
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
            return Err(single(1, Kind::Mapping));
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
        let keys: Vec<String> = self.keys.keys().map(text_of).collect();
        for key in keys {
            if !known.contains(&key.as_str()) {
                let line = line_of_key(self.text, &key);
                let known = known.join(", ");
                self.fault(line, Kind::Unknown { key, known });
            }
        }
    }

    fn fault(&mut self, line: usize, kind: Kind) {
        self.faults.push(Fault {
            path: self.path.to_owned(),
            line,
            kind,
        });
    }

    /// Returns the value of a key, or nothing if it is absent or not valid.
    fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.keys.get(key)?.clone();
        let line = line_of_key(self.text, key);
        self.value(line, key, value)
    }

    /// Returns the value of a key that must be there.
    fn required<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        if !self.keys.contains_key(key) {
            self.fault(1, Kind::Missing { key });
        }
        self.optional(key)
    }

    fn value<T: DeserializeOwned>(&mut self, line: usize, key: &str, value: Value) -> Option<T> {
        match serde_yaml_ng::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                let kind = Kind::Value {
                    key: key.to_owned(),
                    cause: error.to_string(),
                };
                self.fault(line, kind);
                None
            }
        }
    }

    fn at_least_one<T: Into<u64>>(&mut self, key: &'static str, value: T) {
        if value.into() == 0 {
            self.fault(line_of_key(self.text, key), Kind::Zero { key });
        }
    }

    /// Ends the reading: the value counts only without faults.
    fn close<T>(self, value: Option<T>) -> (Option<T>, Vec<Fault>) {
        let faulty = !self.faults.is_empty();
        (value.filter(|_| !faulty), self.faults)
    }
}

fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => serde_yaml_ng::to_string(other)
            .unwrap_or_default()
            .trim()
            .to_owned(),
    }
}

/// A team file with what the checks across files need.
pub(crate) struct Team {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
    /// Name of the team, also in a file with faults.
    pub(crate) name: Option<name::Team>,
    /// Shares, also in a file with faults.
    pub(crate) shares: IndexMap<name::Service, team::Share>,
    pub(crate) tokens: Vec<String>,
    /// The team, if the file has no faults.
    pub(crate) team: Option<team::Team>,
}

/// A service file with what the checks across files need.
pub(crate) struct Service {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
    /// Name of the service, also in a file with faults.
    pub(crate) name: Option<name::Service>,
    /// The service, if the file has no faults.
    pub(crate) service: Option<service::Service>,
}

/// Reads a team file.
pub(crate) fn team(file: &File) -> (Team, Vec<Fault>) {
    let mut read = Team {
        path: file.path.clone(),
        text: file.text.clone(),
        name: None,
        shares: IndexMap::new(),
        tokens: Vec::new(),
        team: None,
    };
    let mut document = match Document::open(file, TEAM_KEYS) {
        Ok(document) => document,
        Err(faults) => return (read, faults),
    };
    read.name = document.required("team");
    let tokens: Vec<Value> = document.required("tokens").unwrap_or_default();
    for token in tokens {
        check_token(&mut document, &token);
        read.tokens.extend(token.as_str().map(str::to_owned));
    }
    read.shares = shares(&mut document);
    let queue_limit = document.optional::<u32>("queue_limit");
    if let Some(limit) = queue_limit {
        document.at_least_one("queue_limit", limit);
    }
    let team = read.name.clone().map(|name| team::Team {
        team: name,
        tokens: read.tokens.clone(),
        shares: read.shares.clone(),
        queue_limit: queue_limit.unwrap_or(team::DEFAULT_QUEUE_LIMIT),
    });
    let (team, faults) = document.close(team);
    read.team = team;
    (read, faults)
}

fn check_token(document: &mut Document<'_>, token: &Value) {
    let tokens = line_of_key(document.text, "tokens");
    // YAML reads digits around an `e` as a number.
    let Value::String(token) = token else {
        document.fault(tokens, Kind::Quote);
        return;
    };
    let digit = |b| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    if token.len() != 64 || !token.bytes().all(digit) {
        let line = line_of(document.text, tokens, token);
        let token = token.chars().take(SHOWN_TOKEN_CHARS).collect();
        document.fault(line, Kind::Digest { token });
    }
}

fn shares(document: &mut Document<'_>) -> IndexMap<name::Service, team::Share> {
    let given: Mapping = document.required("shares").unwrap_or_default();
    let top = line_of_key(document.text, "shares");
    let mut shares = IndexMap::new();
    for (key, value) in given {
        let text = text_of(&key);
        let line = line_of(document.text, top, &text);
        let service = document.value(line, "shares", key);
        let share = document.value(line, &format!("shares.{text}"), value);
        if let (Some(service), Some(share)) = (service, share) {
            shares.insert(service, share);
        }
    }
    shares
}

/// Reads a service file.
pub(crate) fn service(file: &File) -> (Service, Vec<Fault>) {
    let mut read = Service {
        path: file.path.clone(),
        text: file.text.clone(),
        name: None,
        service: None,
    };
    let mut document = match Document::open(file, SERVICE_KEYS) {
        Ok(document) => document,
        Err(faults) => return (read, faults),
    };
    read.name = document.required("service");
    let kind = document.required("kind");
    let repeatable = document.required("repeatable");
    let slots = document.required::<u32>("slots");
    if let Some(slots) = slots {
        document.at_least_one("slots", slots);
    }
    let models: Vec<service::Model> = document.optional("models").unwrap_or_default();
    check_models(&mut document, kind, &models);
    let fencing = document.optional("fencing").unwrap_or_default();
    let short_tokens = document.optional("short_tokens");
    let deadline_ms = document.optional::<u64>("deadline_ms");
    if let Some(deadline_ms) = deadline_ms {
        document.at_least_one("deadline_ms", deadline_ms);
    }
    let service = match (read.name.clone(), kind, repeatable, slots) {
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
    let (service, faults) = document.close(service);
    read.service = service;
    (read, faults)
}

fn check_models(
    document: &mut Document<'_>,
    kind: Option<service::Kind>,
    models: &[service::Model],
) {
    let top = line_of_key(document.text, "models");
    if kind == Some(service::Kind::Plain) && !models.is_empty() {
        document.fault(top, Kind::Models);
    }
    for (index, model) in models.iter().enumerate() {
        if models[..index]
            .iter()
            .any(|other| other.model == model.model)
        {
            let first = line_of(document.text, top, model.model.as_str());
            let line = line_of(document.text, first + 1, model.model.as_str());
            let model = model.model.clone();
            document.fault(line, Kind::Model { model });
        }
    }
}
