//! Starts routers and stand-ins as processes and connects their failure domains by relays.

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

pub use fault::Watch;
pub use router::Router;
pub use upstream::Upstreams;

use upstream::{ready_line, start, start_upstreams};

/// Longest time until a process is ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
const READY_POLL: Duration = Duration::from_millis(20);
/// Time before a change of the host list shows.
pub const HOST_LAG_MS: u64 = 200;
/// Lag of the load reports of engines, as long as the reports of the deployments lag.
const LOAD_LAG_MS: u64 = 200;

/// Why a fleet cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process failed.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// A key could not be made.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// A control call failed.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// A program is missing.
    #[error(transparent)]
    Programs(#[from] programs::Error),
    /// A name of the plan is not allowed.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// The bundle of the plan is not valid.
    #[error(transparent)]
    Bundle(#[from] bundle::Error),
    /// Settings could not be written as YAML.
    #[error("cannot write settings: {0}")]
    Settings(#[from] serde_yaml_ng::Error),
    /// A file or socket failed.
    #[error("file or socket: {0}")]
    Io(#[from] io::Error),
    /// A stand-in printed a line that is not understood.
    #[error("{name} printed {line:?} in place of its addresses")]
    Line {
        /// The stand-in.
        name: String,
        /// The line.
        line: String,
    },
    /// The directory holds files of another run, which would mix with those of this one.
    #[error("{} is not empty; name a new directory", .0.display())]
    Used(PathBuf),
    /// There is no router or upstream of that name.
    #[error("the fleet has no {0}")]
    Absent(String),
}

/// How to start a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fleet.
    pub plan: plan::FleetPlan,
    /// What the routers are.
    pub policy: policy::Policy,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Directory for files of the run.
    pub directory: PathBuf,
    /// Whether failure domains are connected by relays.
    pub relays: bool,
    /// Least level of the routers' logs.
    pub log: settings::Level,
    /// Number of the first bundle.
    pub revision: u64,
}

/// A running fleet. Dropping it ends all its processes.
pub struct Fleet {
    options: Options,
    /// Delay timer that relays and callers share.
    pub timer: delay::Timer,
    relay: relay::Relay,
    paths: HashMap<(String, String), Arc<relay::Path>>,
    /// Routers.
    pub routers: Vec<Router>,
    /// Processes with upstreams.
    pub upstreams: Vec<Upstreams>,
    /// Address for tests of the platform.
    pub platform: SocketAddr,
    _platform: process::Process,
}

impl Fleet {
    /// Starts all processes and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns the first process that does not start or does not become ready.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let programs = programs::Programs::find()?;
        let directory = options.directory.clone();
        fs::create_dir_all(&directory)?;
        if fs::read_dir(&directory)?.next().is_some() {
            return Err(Error::Used(directory));
        }
        keys::write(&directory, &options.plan.routers)?;
        let mut ports = ports::Ports::new();
        let timer = delay::Timer::start();
        let relay = relay::Relay::start(timer.clone(), options.seed)?;
        let mut paths = HashMap::new();
        for from in &options.plan.domains {
            for to in options.plan.domains.iter().filter(|to| *to != from) {
                let path = relay::Path::new(options.plan.delay);
                paths.insert((from.clone(), to.clone()), path);
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
        let mut platform = start(&programs.fake, "platform", &arguments, &directory)?;
        ready_line(&mut platform, &directory).await?;
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
            paths,
            routers: Vec::new(),
            upstreams,
            platform: control,
            _platform: platform,
        };
        fleet.plan_routers(&programs, listen, &mut ports)?;
        fleet.publish(fleet.options.revision).await?;
        fleet.list_hosts().await?;
        for index in 0..fleet.routers.len() {
            fleet.start_router(index)?;
        }
        for index in 0..fleet.routers.len() {
            fleet.wait_ready(index, READY_LIMIT).await?;
        }
        Ok(fleet)
    }

    /// Returns the plan of the fleet.
    #[must_use]
    pub fn plan(&self) -> &plan::FleetPlan {
        &self.options.plan
    }

    /// Returns the directory of the run.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.options.directory
    }

    /// Returns the routers as callers reach them.
    #[must_use]
    pub fn router_addresses(&self) -> Vec<client::RouterAddress> {
        let address = |router: &Router| client::RouterAddress {
            host: router.host.clone(),
            address: router.caller,
        };
        self.routers.iter().map(address).collect()
    }

    /// Returns the path from one failure domain to another.
    #[must_use]
    pub fn path(&self, from: &str, to: &str) -> Option<&Arc<relay::Path>> {
        self.paths.get(&(from.to_owned(), to.to_owned()))
    }

    /// Publishes the plan's bundle under a number.
    ///
    /// # Errors
    ///
    /// Returns why the bundle is not accepted.
    pub async fn publish(&self, revision: u64) -> Result<(), Error> {
        let bytes = self.options.plan.bundle(revision)?.to_bytes()?;
        let key = bundle::KEY.replace('/', "%2F");
        let path = format!("/control/config/put?key={key}&revision={revision}");
        http::call(self.platform, &path, Some(Bytes::from(bytes))).await?;
        Ok(())
    }

    async fn list_hosts(&self) -> Result<(), Error> {
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
            for (from, forward, back) in self.ways_to(&router.domain) {
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
            let mut known = self.upstreams.iter().flat_map(|u| &u.addresses);
            let found = known.find(|(name, _)| *name == planned.name);
            let (_, address) = found.ok_or_else(|| Error::Absent(planned.name.clone()))?;
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
            for (from, forward, back) in self.ways_to(&planned.domain) {
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

    /// Returns each other failure domain with the paths from it to `domain` and back.
    fn ways_to(&self, domain: &str) -> Vec<(String, Arc<relay::Path>, Arc<relay::Path>)> {
        if !self.options.relays {
            return Vec::new();
        }
        let way = |from: &String| {
            let forward = Arc::clone(self.path(from, domain)?);
            let back = Arc::clone(self.path(domain, from)?);
            Some((from.clone(), forward, back))
        };
        self.options.plan.domains.iter().filter_map(way).collect()
    }

    /// Returns the address for tests of the process that runs an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Absent`] for an unknown upstream.
    pub fn control_of(&self, upstream: &str) -> Result<SocketAddr, Error> {
        let runs = |u: &&Upstreams| u.addresses.iter().any(|(name, _)| name == upstream);
        let found = self.upstreams.iter().find(runs);
        Ok(found
            .ok_or_else(|| Error::Absent(upstream.to_owned()))?
            .control)
    }
}
