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
    /// Certificates for the connections between routers.
    pub tls: Tls,
    /// Keys for permits and records.
    pub secrets: Secrets,
    /// How to log.
    #[serde(default)]
    pub log: Log,
    /// Limits and periods.
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

/// Files in PEM form for the connections between routers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this host, naming it as a DNS name.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// Files with secret keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// 32 bytes in hexadecimal, the same for the whole fleet: authenticates permits.
    pub permit_key: PathBuf,
    /// Ed25519 private key in PEM form: signs records and receipts.
    pub record_key: PathBuf,
}

/// How to log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Form of a line.
    #[serde(default)]
    pub format: Format,
    /// Least level that is written.
    #[serde(default)]
    pub level: Level,
    /// File to append to; standard output when absent.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// Least level that is written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Faults that the system handles itself.
    Warn,
    /// Decisions and changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

/// Limits and periods. The defaults suit both small and large fleets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Most upstreams that one home schedules.
    pub group_size: u32,
    /// Oldest demand that a grant may answer, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Longest time that messages to a peer are collected, in milliseconds.
    pub flush_ms: u64,
    /// Period of the probes of peers, in milliseconds.
    pub probe_ms: u64,
    /// Part of requests that may be hedged, in hundredths.
    pub hedge_percent: u32,
    /// Lifetime of a permit, in milliseconds.
    pub permit_ms: u64,
    /// Time that a key and its answer are kept, in milliseconds.
    pub retain_ms: u64,
    /// Time that a caller may keep the answer of locate, in milliseconds.
    pub keep_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Most bytes in the body of a call.
    pub body_bytes: usize,
    /// Most bytes of bodies that one team may have waiting.
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
    /// Returns the oldest demand that a grant may answer.
    #[must_use]
    pub const fn grant_ttl(&self) -> time::Span {
        time::Span::from_millis(self.grant_ttl_ms)
    }
}

/// Why settings are refused.
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
    /// The file is not YAML of the expected form.
    #[error("settings {} are not valid: {source}; correct the line named", path.display())]
    Form {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// A number is out of its range.
    #[error("settings {}: {key} is {value}, it must be at least {least}", path.display())]
    Range {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The least value.
        least: u64,
    },
    /// A bound is out of its range.
    #[error("settings {}: {key} is {value}, it must be at least {least}", path.display())]
    Bound {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// The least value.
        least: String,
    },
    /// A URL does not start with `http://`.
    #[error("settings {}: platform.{key} is {url:?}, it must start with http://", path.display())]
    Url {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// Its value.
        url: String,
    },
}

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file, and where.
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

    /// Reads and checks settings; `path` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text, and where.
    pub fn parse(text: &str, path: &Path) -> Result<Self, Error> {
        let settings: Self = serde_yaml_ng::from_str(text).map_err(|source| Error::Form {
            path: path.to_owned(),
            source,
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), Error> {
        let tuning = &self.tuning;
        let ranges = [
            ("tuning.group_size", u64::from(tuning.group_size), 1),
            ("tuning.grant_ttl_ms", tuning.grant_ttl_ms, 10),
            ("tuning.probe_ms", tuning.probe_ms, 10),
            ("tuning.permit_ms", tuning.permit_ms, 1_000),
            ("tuning.retain_ms", tuning.retain_ms, tuning.permit_ms),
            ("tuning.body_bytes", tuning.body_bytes as u64, 1_024),
        ];
        if let Some((key, value, least)) = ranges.into_iter().find(|(_, v, least)| v < least) {
            return Err(Error::Range {
                path: path.to_owned(),
                key,
                value,
                least,
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
            Some((key, url)) => Err(Error::Url {
                path: path.to_owned(),
                key,
                url: url.clone(),
            }),
            None => Ok(()),
        }
    }
}
