//! Routers of a fleet: their settings, start and readiness.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use tsw_config::settings;

use super::{Error, Fleet, READY_POLL_INTERVAL};
use crate::{baseline, http, plan, ports, process, programs};

/// A router process with its addresses.
#[derive(Debug)]
pub struct Router {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// The process; `None` while the router is stopped.
    pub process: Option<process::Process>,
    program: PathBuf,
    arguments: Vec<String>,
}

impl Fleet {
    /// Chooses the addresses of all routers and writes their settings. The central policy has one
    /// router only.
    pub(super) fn configure_routers(
        &mut self,
        programs: &programs::Programs,
        platform: SocketAddr,
        ports: &mut ports::Ports,
    ) -> Result<(), Error> {
        for planned in self.options.plan.routers.clone() {
            if self.options.policy.is_central() && !self.routers.is_empty() {
                break;
            }
            let mut router = Router {
                host: planned.host.clone(),
                domain: planned.domain,
                caller: ports.tcp()?,
                peer: ports.udp()?,
                operator: ports.tcp()?,
                process: None,
                program: programs.load.clone(),
                arguments: Vec::new(),
            };
            let path = self.directory().join(format!("{}.yaml", router.host));
            if let Some(tuning) = self.options.policy.tuning() {
                let text = serde_yaml_ng::to_string(&self.settings(&router, platform, tuning)?)?;
                fs::write(&path, text)?;
                router.program.clone_from(&programs.toucand);
                router.arguments = vec!["--config".to_owned(), path.display().to_string()];
            }
            self.routers.push(router);
        }
        if self.options.policy.tuning().is_none() {
            self.configure_baselines()?;
        }
        Ok(())
    }

    fn settings(
        &self,
        router: &Router,
        platform: SocketAddr,
        tuning: settings::Tuning,
    ) -> Result<settings::Settings, Error> {
        let directory = self.directory();
        let host = &router.host;
        let base = format!("http://{platform}");
        Ok(settings::Settings {
            host: host.parse()?,
            domain: router.domain.parse()?,
            listen: settings::Listen {
                caller: router.caller,
                peer: router.peer,
                operator: router.operator,
            },
            platform: settings::Platform {
                config: base.clone(),
                hosts: base.clone(),
                weights: base,
            },
            tls: settings::Tls {
                authority: directory.join("authority.pem"),
                certificate: directory.join(format!("{host}.pem")),
                key: directory.join(format!("{host}.key")),
            },
            secrets: settings::Secrets {
                permit_key: directory.join("permit.key"),
                record_key: directory.join(format!("record-{host}.key")),
            },
            log: settings::Log {
                format: settings::Format::Json,
                level: self.options.log,
                file: Some(directory.join(format!("{host}.log"))),
            },
            tuning,
        })
    }

    fn configure_baselines(&mut self) -> Result<(), Error> {
        let peers = self.router_addresses();
        let policy = self.options.policy;
        for index in 0..self.routers.len() {
            let router = &self.routers[index];
            let mut upstreams = Vec::new();
            for (name, address) in self.model_addresses() {
                let planned = self.options.plan.upstreams.iter();
                let mut planned = planned.filter(|u| u.name == name).map(|u| &u.domain);
                let domain = planned.next().cloned().unwrap_or_default();
                // The central policy is the ideal case, without delay to the engines.
                let direct = policy.is_central() || !self.options.relays;
                let address = match self.link(&router.domain, &domain) {
                    Some(forward) if !direct => {
                        let back = self.link(&domain, &router.domain).unwrap_or(forward);
                        let (forward, back) = (Arc::clone(forward), Arc::clone(back));
                        self.relay.tcp(address, forward, back)?
                    }
                    _ => address,
                };
                upstreams.push(baseline::Upstream { name, address });
            }
            let teams = self.options.plan.teams.iter();
            let config = baseline::Config {
                policy,
                host: router.host.clone(),
                domain: router.domain.clone(),
                listen: router.caller,
                operator: router.operator,
                peers: peers.iter().map(|p| (p.host.clone(), p.address)).collect(),
                upstreams,
                slots: plan::ENGINE_SLOTS,
                teams: teams.map(|t| (t.token.clone(), t.share)).collect(),
                seed: self.options.seed + index as u64,
            };
            let path = self.directory().join(format!("{}.json", router.host));
            fs::write(&path, serde_json::to_vec(&config).unwrap_or_default())?;
            let router = &mut self.routers[index];
            router.arguments = ["baseline-router", "--config"].map(str::to_owned).to_vec();
            router.arguments.push(path.display().to_string());
        }
        Ok(())
    }

    fn model_addresses(&self) -> Vec<(String, SocketAddr)> {
        let model = &self.options.plan.model;
        let matching = self.upstreams.iter().filter(|u| u.service == *model);
        matching.flat_map(|u| u.addresses.clone()).collect()
    }

    /// Starts a router that is stopped.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started.
    pub fn start_router(&mut self, index: usize) -> Result<(), Error> {
        let directory = self.options.directory.clone();
        let router = &mut self.routers[index];
        let started =
            process::Process::start(&router.host, &router.program, &router.arguments, &directory);
        router.process = Some(started?);
        Ok(())
    }

    /// Waits until a router is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the router ends or is not ready within `timeout`.
    pub async fn wait_ready(&mut self, index: usize, timeout: Duration) -> Result<(), Error> {
        let start = Instant::now();
        let router = &mut self.routers[index];
        let Some(process) = &mut router.process else {
            return Err(Error::NotFound(router.host.clone()));
        };
        loop {
            process.ensure_running()?;
            if http::get(router.operator, "/readyz").await.is_ok() {
                return Ok(());
            }
            if start.elapsed() > timeout {
                return Err(Error::Process(process::Error::NotReady {
                    name: router.host.clone(),
                    waited: timeout,
                    output: process.output_tail(),
                }));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns the sum of a counter over all running routers. `name` ends with a space, as the
    /// metrics text has it before the value.
    pub async fn counter_sum(&self, name: &str) -> f64 {
        let mut sum = 0.0;
        for router in self.routers.iter().filter(|r| r.process.is_some()) {
            let Ok(body) = http::get(router.operator, "/metrics").await else {
                continue;
            };
            let text = String::from_utf8_lossy(&body);
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            sum += line.and_then(|n| n.trim().parse().ok()).unwrap_or(0.0);
        }
        sum
    }
}
