//! The YAML settings of a router on the users' platform.

use std::{fs, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::settings::{Error, Log};

/// Settings of `toucand` on the users' platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Always [`Interface::Platform`].
    pub interface: Interface,
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Control addresses of some routers; they may be out of date. All routers use the same port
    /// for gossip.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// What the operators promise.
    pub bounds: Bounds,
    /// Most descriptors that the process may have open.
    #[serde(default = "usual_descriptors")]
    pub descriptors: usize,
    /// Processor time that the process may use, in cores. Clients are sent to the strong routers
    /// of a fleet.
    #[serde(default = "usual_processor")]
    pub processor: f64,
    /// How to log.
    #[serde(default)]
    pub log: Log,
}

/// Descriptors of a process if the settings state none: the usual limit of a login.
const fn usual_descriptors() -> usize {
    1_024
}

/// Cores of a process if the settings state none: all decisions are made on one thread.
const fn usual_processor() -> f64 {
    1.0
}

/// The interface towards clients and the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Interface {
    /// That of the users' platform.
    Platform,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// TCP address for requests of clients.
    pub client: SocketAddr,
    /// TCP address for the question whether the router takes requests.
    pub ready: SocketAddr,
    /// TCP address for clients that ask which addresses to use.
    pub locate: SocketAddr,
    /// TCP address for reads by other routers.
    pub control: SocketAddr,
    /// UDP address for gossip between routers.
    pub gossip: SocketAddr,
    /// TCP address for metrics.
    pub metrics: SocketAddr,
}

/// What the operators promise.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Extra attempts for each request.
    pub retry_ratio: f64,
    /// Window over which extra attempts are counted, in seconds.
    pub retry_window_s: f64,
    /// Extra attempts of the whole fleet beyond the ratio.
    pub retry_slack: f64,
    /// Longest time for which clients may keep the addresses that they were told, in seconds.
    pub keep_s: u64,
    /// Time between the request to stop and the end of the process, in seconds.
    pub grace_s: f64,
}

impl Settings {
    /// Returns the gossip addresses of the seeds.
    #[must_use]
    pub fn gossip_seeds(&self) -> Vec<SocketAddr> {
        let port = self.listen.gossip.port();
        let seeds = self.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Returns whether a text has the form of these settings rather than of
    /// [`crate::settings::Settings`].
    ///
    /// ```
    /// use tsw_config::gateway::Settings;
    /// assert!(Settings::is_meant("interface: platform\nhost: r1\n"));
    /// assert!(!Settings::is_meant("host: r1\n"));
    /// ```
    #[must_use]
    pub fn is_meant(text: &str) -> bool {
        text.lines().any(|line| line.starts_with("interface:"))
    }

    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file, and where.
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
        let bounds = &settings.bounds;
        let signed = [
            ("bounds.retry_ratio", bounds.retry_ratio, 0.0),
            ("bounds.retry_window_s", bounds.retry_window_s, 0.1),
            ("bounds.retry_slack", bounds.retry_slack, 0.0),
            ("bounds.grace_s", bounds.grace_s, 0.5),
            ("processor", settings.processor, 0.001),
        ];
        match signed.into_iter().find(|(_, value, least)| value < least) {
            Some((key, value, least)) => Err(Error::Bound {
                path: path.to_owned(),
                key,
                value: value.to_string(),
                least: least.to_string(),
            }),
            None => Ok(settings),
        }
    }
}
