//! Faults in team and service files.

use std::{fmt, path::PathBuf};

use tsw_base::name;

/// A fault and its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file.
    pub path: PathBuf,
    /// Line in the file, starting at 1.
    pub line: usize,
    /// Kind of the fault.
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

/// Kind of a fault.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Kind {
    /// The file is not valid YAML.
    #[error("not valid YAML: {cause}")]
    Syntax {
        /// The cause.
        cause: String,
    },
    /// The top level of the file is not a mapping.
    #[error("the file must hold keys and values")]
    NotAMapping,
    /// A key is not known.
    #[error("unknown key {key:?}; known keys are {known}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The known keys.
        known: String,
    },
    /// A key is missing.
    #[error("the key {key:?} is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A value has the wrong type or is out of range.
    #[error("the value of {key:?} is not valid: {cause}")]
    InvalidValue {
        /// The key.
        key: String,
        /// The cause.
        cause: String,
    },
    /// A number is 0.
    #[error("{key} must be at least 1")]
    ZeroValue {
        /// The key.
        key: &'static str,
    },
    /// A plain service names models.
    #[error("a service of kind plain must not name models")]
    ModelsOfPlainService,
    /// A model is named twice.
    #[error("model {model} is named twice")]
    DuplicateModel {
        /// The model.
        model: name::Model,
    },
    /// A token is not a string, because YAML parses it as a number.
    #[error("a token is not text; put each token in quotes")]
    UnquotedToken,
    /// A token is not a SHA-256 digest.
    #[error("token {token:?} is not a SHA-256 digest of 64 lower-case hexadecimal digits")]
    InvalidDigest {
        /// The first characters of the token. The rest is omitted because it may be a secret.
        token: String,
    },
    /// Two teams accept the same token.
    #[error("the token is also accepted by team {team}; give each team tokens of its own")]
    DuplicateToken {
        /// The other team.
        team: name::Team,
    },
    /// Two files describe the same team.
    #[error("team {team} is also described in {}", first.display())]
    DuplicateTeam {
        /// The team.
        team: name::Team,
        /// The other file.
        first: PathBuf,
    },
    /// Two files describe the same service.
    #[error("service {service} is also described in {}", first.display())]
    DuplicateService {
        /// The service.
        service: name::Service,
        /// The other file.
        first: PathBuf,
    },
    /// A team has a share of a service that no file describes.
    #[error("no file describes service {service}")]
    UnknownService {
        /// The service.
        service: name::Service,
    },
    /// The shares of a service sum to more than its capacity.
    #[error("the shares of service {service} sum to {}; at most 1 is allowed", *sum_ppm as f64 / 1e6)]
    SharesExceedCapacity {
        /// The service.
        service: name::Service,
        /// Sum of the shares in millionths.
        sum_ppm: u64,
    },
}
