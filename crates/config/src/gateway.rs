//! The YAML settings of a router on the users' platform.

use std::{fs, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::settings::{Error, Log};

/// Maximum of a bound. As a number of seconds it is a week and a half.
const MAX_BOUND: f64 = 1e6;

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
    /// Addresses at which other routers reach this one, if they are not those to listen on, as behind address
    /// translation.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// Control addresses of some routers, possibly outdated. All routers use the same gossip port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds that the operators guarantee.
    pub bounds: Bounds,
    /// Maximum number of open file descriptors of the process.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// CPU limit of the process, in cores. Clients are directed to the routers of a fleet with the
    /// most CPU.
    #[serde(default = "default_processor")]
    pub processor: f64,
    /// How to log.
    #[serde(default)]
    pub log: Log,
}

/// Default file descriptor limit, which is the usual limit of a login session.
const fn default_descriptors() -> usize {
    1_024
}

/// Default CPU limit in cores. One core suffices because one thread makes all decisions.
const fn default_processor() -> f64 {
    1.0
}

/// The interface to clients and the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Interface {
    /// The interface of the users' platform.
    Platform,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// TCP address for requests of clients.
    pub client: SocketAddr,
    /// TCP address for readiness checks.
    pub ready: SocketAddr,
    /// TCP address for clients that look up which router addresses to use.
    pub locate: SocketAddr,
    /// TCP address for reads by other routers.
    pub control: SocketAddr,
    /// UDP address for gossip between routers.
    pub gossip: SocketAddr,
    /// TCP address for metrics.
    pub metrics: SocketAddr,
}

/// Addresses at which other routers reach this one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// TCP address for reads by other routers.
    pub control: SocketAddr,
    /// UDP address for gossip between routers.
    pub gossip: SocketAddr,
}

/// Bounds that the operators guarantee.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Retries that the whole fleet may make in addition to the ratio.
    pub retry_slack: f64,
    /// Maximum time that clients may cache the addresses they looked up, in seconds.
    pub keep_s: u64,
    /// Time between the request to stop and the end of the process, in seconds.
    pub grace_s: f64,
}

impl Settings {
    /// Returns the addresses at which other routers reach this one.
    ///
    /// ```
    /// use std::path::Path;
    /// use tsw_config::gateway::Settings;
    /// let text = "interface: platform
    /// host: r1
    /// domain: north
    /// listen: {client: '127.0.0.1:1', ready: '127.0.0.1:2', locate: '127.0.0.1:3',
    ///          control: '127.0.0.1:4', gossip: '127.0.0.1:5', metrics: '127.0.0.1:6'}
    /// advertise: {control: '10.0.0.1:4', gossip: '10.0.0.1:5'}
    /// store: '127.0.0.1:7'
    /// bounds: {retry_ratio: 0.2, retry_window_s: 10, retry_slack: 50, keep_s: 5, grace_s: 8}
    /// ";
    /// let settings = Settings::parse(text, Path::new("router.yaml"))?;
    /// assert_eq!(settings.advertised().control, "10.0.0.1:4".parse().unwrap());
    /// # Ok::<(), tsw_config::settings::Error>(())
    /// ```
    #[must_use]
    pub fn advertised(&self) -> Advertise {
        self.advertise.unwrap_or(Advertise {
            control: self.listen.control,
            gossip: self.listen.gossip,
        })
    }

    /// Returns the gossip addresses of the seeds.
    #[must_use]
    pub fn gossip_seeds(&self) -> Vec<SocketAddr> {
        let port = self.listen.gossip.port();
        let seeds = self.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Returns whether a settings file has this format rather than that of
    /// [`crate::settings::Settings`].
    ///
    /// ```
    /// use tsw_config::gateway::Settings;
    /// assert!(Settings::is_gateway_format("interface: platform\nhost: r1\n"));
    /// assert!(!Settings::is_gateway_format("host: r1\n"));
    /// ```
    #[must_use]
    pub fn is_gateway_format(text: &str) -> bool {
        text.lines().any(|line| line.starts_with("interface:"))
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the fault and its location if the file cannot be read or is invalid.
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
        let bounds = &settings.bounds;
        let minimums = [
            ("bounds.retry_ratio", bounds.retry_ratio, 0.0),
            ("bounds.retry_window_s", bounds.retry_window_s, 0.1),
            ("bounds.retry_slack", bounds.retry_slack, 0.0),
            ("bounds.grace_s", bounds.grace_s, 0.5),
            ("processor", settings.processor, 0.001),
        ];
        for (key, value, minimum) in minimums {
            if value < minimum {
                return Err(Error::BoundTooSmall {
                    path: path.to_owned(),
                    key,
                    value: value.to_string(),
                    minimum: minimum.to_string(),
                });
            }
            // Not a number is in no range.
            if !(minimum..=MAX_BOUND).contains(&value) {
                return Err(Error::BoundTooLarge {
                    path: path.to_owned(),
                    key,
                    value: value.to_string(),
                    maximum: MAX_BOUND.to_string(),
                });
            }
        }
        Ok(settings)
    }
}
