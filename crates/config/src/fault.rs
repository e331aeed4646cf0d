//! Faults in team and service files.

use std::{fmt, path::PathBuf};

use tsw_base::name;

/// A fault and where it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file.
    pub path: PathBuf,
    /// Line in the file, from 1.
    pub line: usize,
    /// What is wrong.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.kind)
    }
}

impl std::error::Error for Fault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.kind)
    }
}

/// What is wrong with a file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Kind {
    /// The file is not YAML.
    #[error("not valid YAML: {cause}")]
    Syntax {
        /// The cause.
        cause: String,
    },
    /// The file does not hold a mapping.
    #[error("the file must hold keys and values")]
    Mapping,
    /// A key is not known.
    #[error("unknown key {key:?}; known keys are {known}")]
    Unknown {
        /// The key.
        key: String,
        /// The known keys.
        known: String,
    },
    /// A key is missing.
    #[error("the key {key:?} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// A value does not have the expected form.
    #[error("the value of {key:?} is not valid: {cause}")]
    Value {
        /// The key.
        key: String,
        /// The cause.
        cause: String,
    },
    /// A number is too small.
    #[error("{key} must be at least 1")]
    Zero {
        /// The key.
        key: &'static str,
    },
    /// A plain service names models.
    #[error("a service of kind plain must not name models")]
    Models,
    /// A model is named twice.
    #[error("model {model} is named twice")]
    Model {
        /// The model.
        model: name::Model,
    },
    /// A token is not text, because it looks like a number.
    #[error("a token is not text; put each token in quotes")]
    Quote,
    /// A token is not the digest of one.
    #[error("token {token:?} is not a SHA-256 digest of 64 lower-case hexadecimal digits")]
    Digest {
        /// The first characters of the token. The rest is left out, as it may be a secret.
        token: String,
    },
    /// Two teams accept the same token.
    #[error("the token is also accepted by team {team}; give each team tokens of its own")]
    Token {
        /// The other team.
        team: name::Team,
    },
    /// Two files describe the same team.
    #[error("team {team} is also described in {}", first.display())]
    Team {
        /// The team.
        team: name::Team,
        /// The other file.
        first: PathBuf,
    },
    /// Two files describe the same service.
    #[error("service {service} is also described in {}", first.display())]
    Service {
        /// The service.
        service: name::Service,
        /// The other file.
        first: PathBuf,
    },
    /// A team has a share of a service that no file describes.
    #[error("no file describes service {service}")]
    Absent {
        /// The service.
        service: name::Service,
    },
    /// The shares of a service exceed the whole.
    #[error("the shares of service {service} sum to {}; at most 1 is allowed", *sum_ppm as f64 / 1e6)]
    Shares {
        /// The service.
        service: name::Service,
        /// Sum of the shares in millionths.
        sum_ppm: u64,
    },
}
