//! Starts routers, fake upstreams and a fake platform as processes, and connects their failure
//! domains through relays.

use std::{
    collections::HashMap,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use tsw_base::name;
use tsw_config::{bundle, settings};
use tsw_fake::platform::hosts;

use crate::{client, delay, http, keys, plan, policy, ports, process, programs, relay};

mod fault;
mod router;
mod upstream;

pub use fault::RevisionWatch;
pub use router::Router;
pub use upstream::UpstreamProcess;

use upstream::{read_ready_line, start_fake, start_upstreams};

/// Longest time until a process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time until a change of the host list becomes visible, in milliseconds.
pub const HOST_LAG_MS: u64 = 200;
/// Lag of the load reports of engines in milliseconds, the same as in the deployments.
const LOAD_LAG_MS: u64 = 200;

/// Why a fleet cannot be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process could not be started or ended unexpectedly.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// A key or certificate could not be generated or written.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// An HTTP request to a process of the fleet failed.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// A program is missing.
    #[error(transparent)]
    Programs(#[from] programs::Error),
    /// A name in the plan is invalid.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// The configuration bundle of the plan is invalid.
    #[error(transparent)]
    Bundle(#[from] bundle::Error),
    /// Settings could not be serialised as YAML.
    #[error("cannot write settings: {0}")]
    Settings(#[from] serde_yaml_ng::Error),
    /// A file or socket operation failed.
    #[error("file or socket error: {0}")]
    Io(#[from] io::Error),
    /// A fake process printed a line that cannot be parsed.
    #[error("{name} printed {line:?} instead of its addresses")]
    UnexpectedOutput {
        /// Name of the process.
        name: String,
        /// The line.
        line: String,
    },
    /// The directory is not empty. Files of another run would mix with those of this one.
    #[error("{} is not empty; name a new directory", .0.display())]
    DirectoryNotEmpty(PathBuf),
    /// The fleet has no router or upstream of that name, or it is not running.
    #[error("the fleet has no {0}")]
    NotFound(String),
}

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// The plan.
    pub plan: plan::FleetPlan,
    /// What programs run as routers.
    pub policy: policy::Policy,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Directory for the files of the fleet; must be empty or absent.
    pub directory: PathBuf,
    /// Whether failure domains are connected by relays.
    pub relays: bool,
    /// Log level of the routers.
    pub log: settings::Level,
    /// Revision of the first configuration bundle.
    pub revision: u64,
}

/// A running fleet. Dropping it ends all its processes.
pub struct Fleet {
    options: Options,
    /// Timer for network delays, shared by relays and callers.
    pub timer: delay::Timer,
    relay: relay::Relay,
    links: HashMap<(String, String), Arc<relay::Link>>,
    /// Routers.
    pub routers: Vec<Router>,
    /// Processes that run the upstreams.
    pub upstreams: Vec<UpstreamProcess>,
    /// Control address of the fake platform.
    pub platform: SocketAddr,
    _platform: process::Process,
}

impl Fleet {
    /// Starts all processes and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start or does not become ready.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let programs = programs::Programs::find()?;
        let directory = options.directory.clone();
        fs::create_dir_all(&directory)?;
        if fs::read_dir(&directory)?.next().is_some() {
            return Err(Error::DirectoryNotEmpty(directory));
        }
        keys::write(&directory, &options.plan.routers)?;
        let mut ports = ports::Ports::new();
        let timer = delay::Timer::start();
        let relay = relay::Relay::start(timer.clone(), options.seed)?;
        let mut links = HashMap::new();
        for from in &options.plan.domains {
            for to in options.plan.domains.iter().filter(|to| *to != from) {
                let link = relay::Link::new(options.plan.delay);
                links.insert((from.clone(), to.clone()), link);
            }
        }
        let (listen, control) = (ports.tcp()?, ports.tcp()?);
        let lag = HOST_LAG_MS.to_string();
        let arguments = [
            "platform",
            "--listen",
            &listen.to_string(),
            "--control",
            &control.to_string(),
            "--host-lag-ms",
            &lag,
        ];
        let mut platform = start_fake(&programs.fake, "platform", &arguments, &directory)?;
        read_ready_line(&mut platform, &directory).await?;
        let mut upstreams = Vec::new();
        for service in [&options.plan.model, &options.plan.booking] {
            for domain in &options.plan.domains {
                let started = start_upstreams(&programs, &options, service, domain, &ports);
                upstreams.extend(started.await?);
            }
        }
        let mut fleet = Self {
            options,
            timer,
            relay,
            links,
            routers: Vec::new(),
            upstreams,
            platform: control,
            _platform: platform,
        };
        fleet.configure_routers(&programs, listen, &mut ports)?;
        fleet.publish(fleet.options.revision).await?;
        fleet.publish_host_list().await?;
        for index in 0..fleet.routers.len() {
            fleet.start_router(index)?;
        }
        for index in 0..fleet.routers.len() {
            fleet.wait_ready(index, READY_TIMEOUT).await?;
        }
        Ok(fleet)
    }

    /// Returns the plan of the fleet.
    #[must_use]
    pub fn plan(&self) -> &plan::FleetPlan {
        &self.options.plan
    }

    /// Returns the directory with the files of the fleet.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.options.directory
    }

    /// Returns the addresses of the routers for callers.
    #[must_use]
    pub fn router_addresses(&self) -> Vec<client::RouterAddress> {
        let address = |router: &Router| client::RouterAddress {
            host: router.host.clone(),
            address: router.caller,
        };
        self.routers.iter().map(address).collect()
    }

    /// Returns the link from one failure domain to another.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Option<&Arc<relay::Link>> {
        self.links.get(&(from.to_owned(), to.to_owned()))
    }

    /// Publishes the plan's configuration bundle as `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when the bundle is invalid or the platform does not accept it.
    pub async fn publish(&self, revision: u64) -> Result<(), Error> {
        let bytes = self.options.plan.bundle(revision)?.to_bytes()?;
        let key = bundle::KEY.replace('/', "%2F");
        let path = format!("/control/config/put?key={key}&revision={revision}");
        http::request(self.platform, &path, Some(Bytes::from(bytes))).await?;
        Ok(())
    }

    async fn publish_host_list(&self) -> Result<(), Error> {
        let mut entries = Vec::new();
        let mut routes = Vec::new();
        for router in &self.routers {
            entries.push(hosts::Entry {
                host: router.host.clone(),
                domain: router.domain.clone(),
                role: hosts::Role::Router,
                service: String::new(),
                state: hosts::State::Live,
                address: router.caller.to_string(),
                peer_address: router.peer.to_string(),
                slots: 0,
            });
            for (from, forward, back) in self.links_to(&router.domain) {
                let peer = self.relay.udp(router.peer, forward, back)?;
                routes.push(hosts::Route {
                    from,
                    to: router.domain.clone(),
                    host: Some(router.host.clone()),
                    address: None,
                    peer_address: Some(peer.to_string()),
                });
            }
        }
        for planned in &self.options.plan.upstreams {
            let mut addresses = self.upstreams.iter().flat_map(|u| &u.addresses);
            let found = addresses.find(|(name, _)| *name == planned.name);
            let (_, address) = found.ok_or_else(|| Error::NotFound(planned.name.clone()))?;
            entries.push(hosts::Entry {
                host: planned.name.clone(),
                domain: planned.domain.clone(),
                role: hosts::Role::Upstream,
                service: planned.service.clone(),
                state: hosts::State::Live,
                address: address.to_string(),
                peer_address: String::new(),
                slots: planned.slots,
            });
            for (from, forward, back) in self.links_to(&planned.domain) {
                let relayed = self.relay.tcp(*address, forward, back)?;
                routes.push(hosts::Route {
                    from,
                    to: planned.domain.clone(),
                    host: Some(planned.name.clone()),
                    address: Some(relayed.to_string()),
                    peer_address: None,
                });
            }
        }
        let routes = serde_json::json!({ "routes": routes });
        http::post(self.platform, "/control/hosts/routes", &routes).await?;
        let list = serde_json::json!({ "hosts": entries });
        http::post(self.platform, "/control/hosts/put", &list).await?;
        Ok(())
    }

    /// Returns each other failure domain with the links from it to `domain` and back; none without
    /// relays.
    fn links_to(&self, domain: &str) -> Vec<(String, Arc<relay::Link>, Arc<relay::Link>)> {
        if !self.options.relays {
            return Vec::new();
        }
        let links = |from: &String| {
            let forward = Arc::clone(self.link(from, domain)?);
            let back = Arc::clone(self.link(domain, from)?);
            Some((from.clone(), forward, back))
        };
        self.options.plan.domains.iter().filter_map(links).collect()
    }

    /// Returns the control address of the process that runs an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] for an unknown upstream.
    pub fn control_address(&self, upstream: &str) -> Result<SocketAddr, Error> {
        let runs = |u: &&UpstreamProcess| u.addresses.iter().any(|(name, _)| name == upstream);
        let found = self.upstreams.iter().find(runs);
        Ok(found
            .ok_or_else(|| Error::NotFound(upstream.to_owned()))?
            .control)
    }
}
