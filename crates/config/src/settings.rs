//! The YAML settings of one router process.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use tsw_base::{name, time};

/// Settings of `toucand`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, as in its certificate and in the host list.
    pub host: name::Host,
    /// Failure domain of this host.
    pub domain: name::Domain,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Base URLs of the platform's services.
    pub platform: Platform,
    /// Certificates for connections between routers.
    pub tls: Tls,
    /// Keys for permits and the audit log.
    pub secrets: Secrets,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Limits and intervals.
    #[serde(default)]
    pub tuning: Tuning,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// TCP address for callers.
    pub caller: SocketAddr,
    /// UDP address for other routers.
    pub peer: SocketAddr,
    /// TCP address for operators.
    pub operator: SocketAddr,
}

/// Base URLs of the platform's services, such as `http://10.0.0.1:8500`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The configuration service.
    pub config: String,
    /// The host list.
    pub hosts: String,
    /// The weight store.
    pub weights: String,
}

/// PEM files for connections between routers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this host, with the host name as a DNS name.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// Files with secret keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// Key that authenticates permits: 32 bytes in hexadecimal, the same for the whole fleet.
    pub permit_key: PathBuf,
    /// Ed25519 private key in PEM form that signs audit lines and receipts.
    pub record_key: PathBuf,
}

/// Settings of logging.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Format of log lines.
    #[serde(default)]
    pub format: Format,
    /// Minimum level of the lines written.
    #[serde(default)]
    pub level: Level,
    /// File to append to; standard output if absent.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

/// Minimum level of the lines written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Faults that need an operator's action.
    Error,
    /// Faults that the system handles itself.
    Warn,
    /// Decisions and state changes.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

/// Limits and intervals. The defaults suit both small and large fleets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Maximum number of upstreams that one home schedules.
    pub group_size: u32,
    /// Maximum age of the demand that a grant may answer, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Minimum time between two sends to a peer, in milliseconds; messages are batched meanwhile.
    pub flush_ms: u64,
    /// Interval between probes of peers, in milliseconds.
    pub probe_ms: u64,
    /// Maximum percentage of requests that are hedged.
    pub hedge_percent: u32,
    /// Lifetime of a permit, in milliseconds.
    pub permit_ms: u64,
    /// Time for which a key and its response are kept, in milliseconds.
    pub retain_ms: u64,
    /// Time for which a caller may cache the response of `locate`, in milliseconds.
    pub keep_ms: u64,
    /// Time limit of a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Maximum size of the body of a call, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of the bodies of one team's queued calls, in bytes.
    pub queue_bytes: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            group_size: 32,
            grant_ttl_ms: 1_000,
            flush_ms: 2,
            probe_ms: 200,
            hedge_percent: 20,
            permit_ms: 300_000,
            retain_ms: 3_600_000,
            keep_ms: 30_000,
            drain_ms: 600_000,
            body_bytes: 1_000_000,
            queue_bytes: 16_000_000,
        }
    }
}

impl Tuning {
    /// Returns the maximum age of the demand that a grant may answer.
    #[must_use]
    pub const fn grant_ttl(&self) -> time::Span {
        time::Span::from_millis(self.grant_ttl_ms)
    }
}

/// An error in the settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings {}: {source}; give a readable settings file", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not YAML of the expected structure.
    #[error("settings {} are not valid: {source}; correct the line named", path.display())]
    Yaml {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// A number is below its minimum.
    #[error("settings {}: {key} is {value}, it must be at least {minimum}", path.display())]
    TooSmall {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// The value.
        value: u64,
        /// The minimum.
        minimum: u64,
    },
    /// A bound is below its minimum.
    #[error("settings {}: {key} is {value}, it must be at least {minimum}", path.display())]
    BoundTooSmall {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// The minimum.
        minimum: String,
    },
    /// A bound is above its maximum, or not a number.
    #[error("settings {}: {key} is {value}, it must be at most {maximum}", path.display())]
    BoundTooLarge {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// The maximum.
        maximum: String,
    },
    /// A URL does not start with `http://`.
    #[error("settings {}: platform.{key} is {url:?}, it must start with http://", path.display())]
    InvalidUrl {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// The value.
        url: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the fault and its location if the file cannot be read or is invalid.
    ///
    /// ```
    /// use tsw_config::settings;
    ///
    /// let missing = settings::Settings::load("/nonexistent/toucand.yaml".as_ref());
    /// assert!(matches!(missing, Err(settings::Error::Read { .. })));
    /// ```
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, path)
    }

    /// Parses and checks settings. Errors name `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the fault and its location if the settings are invalid.
    pub fn parse(text: &str, path: &Path) -> Result<Self, Error> {
        let settings: Self = serde_yaml_ng::from_str(text).map_err(|source| Error::Yaml {
            path: path.to_owned(),
            source,
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), Error> {
        let tuning = &self.tuning;
        let minimums = [
            ("tuning.group_size", u64::from(tuning.group_size), 1),
            ("tuning.grant_ttl_ms", tuning.grant_ttl_ms, 10),
            ("tuning.probe_ms", tuning.probe_ms, 10),
            ("tuning.permit_ms", tuning.permit_ms, 1_000),
            ("tuning.retain_ms", tuning.retain_ms, tuning.permit_ms),
            ("tuning.body_bytes", tuning.body_bytes as u64, 1_024),
        ];
        if let Some((key, value, minimum)) =
            minimums.into_iter().find(|(_, v, minimum)| v < minimum)
        {
            return Err(Error::TooSmall {
                path: path.to_owned(),
                key,
                value,
                minimum,
            });
        }
        let urls = [
            ("config", &self.platform.config),
            ("hosts", &self.platform.hosts),
            ("weights", &self.platform.weights),
        ];
        match urls
            .into_iter()
            .find(|(_, url)| !url.starts_with("http://"))
        {
            Some((key, url)) => Err(Error::InvalidUrl {
                path: path.to_owned(),
                key,
                url: url.clone(),
            }),
            None => Ok(()),
        }
    }
}
