//! Processes of `tsw-fake`: fake upstreams and the fake platform.

use std::{fs, net::SocketAddr, path::Path, time::Instant};

use super::{Error, Options, LOAD_LAG_MS, READY_POLL_INTERVAL, READY_TIMEOUT};
use crate::{ports, process, programs};

/// A process that runs the fake upstreams of one service in one failure domain.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// Service.
    pub service: String,
    /// Names and addresses of the upstreams.
    pub addresses: Vec<(String, SocketAddr)>,
    /// Control address.
    pub control: SocketAddr,
    _process: process::Process,
}

pub(super) fn start_fake(
    program: &Path,
    name: &str,
    arguments: &[&str],
    directory: &Path,
) -> Result<process::Process, process::Error> {
    let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
    process::Process::start(name, program, &arguments, directory)
}

pub(super) async fn start_upstreams(
    programs: &programs::Programs,
    options: &Options,
    service: &str,
    domain: &str,
    ports: &ports::Ports,
) -> Result<Option<UpstreamProcess>, Error> {
    let planned = options.plan.upstreams.iter();
    let in_domain: Vec<_> = planned
        .filter(|u| u.service == service && u.domain == domain)
        .collect();
    let Some(first) = in_domain.first() else {
        return Ok(None);
    };
    let name = format!("{service}-{domain}");
    // The process chooses its ports itself, because a port that was reserved for it here could be
    // taken by another process first.
    let any_port = SocketAddr::new(ports.ip(), 0).to_string();
    let history = options.directory.join("upstreams.jsonl");
    let history = history.display().to_string();
    let (count, slots) = (in_domain.len().to_string(), first.slots.to_string());
    let load_lag = LOAD_LAG_MS.to_string();
    let mut arguments = vec![if first.model { "engine" } else { "booking" }];
    arguments.extend(["--listen", &any_port, "--name", &name, "--count", &count]);
    arguments.extend(["--control", &any_port, "--history", &history]);
    arguments.extend(["--slots", &slots]);
    let step = options.plan.step_us.unwrap_or_default();
    let (base, slope) = (step.0.to_string(), step.1.to_string());
    if first.model && options.plan.step_us.is_some() {
        arguments.extend(["--base-us", &base, "--slope-us", &slope]);
    }
    if first.model {
        arguments.extend(["--load-lag-ms", &load_lag, "--fencing", "checked"]);
    }
    let mut process = start_fake(&programs.fake, &name, &arguments, &options.directory)?;
    let pairs = read_ready_line(&mut process, &options.directory).await?;
    let control = pairs.iter().find(|(key, _)| key == "control");
    let control = control.map(|(_, address)| *address);
    Ok(Some(UpstreamProcess {
        service: service.to_owned(),
        control: control.ok_or(Error::NotFound(name))?,
        addresses: pairs
            .into_iter()
            .filter(|(key, _)| key != "control")
            .collect(),
        _process: process,
    }))
}

/// Waits until a process prints `ready NAME=ADDRESS ..` and returns the names and addresses.
pub(super) async fn read_ready_line(
    process: &mut process::Process,
    directory: &Path,
) -> Result<Vec<(String, SocketAddr)>, Error> {
    let path = directory.join(format!("{}.out", process.name()));
    let start = Instant::now();
    loop {
        process.ensure_running()?;
        let text = fs::read_to_string(&path).unwrap_or_default();
        let ready = text.lines().find(|line| line.starts_with("ready "));
        if let Some(line) = ready.filter(|_| text.ends_with('\n')) {
            let parse = |pair: &str| {
                let (name, address) = pair.split_once('=')?;
                Some((name.to_owned(), address.parse().ok()?))
            };
            let pairs: Option<Vec<_>> = line.split(' ').skip(1).map(parse).collect();
            return pairs.ok_or_else(|| Error::UnexpectedOutput {
                name: process.name().to_owned(),
                line: line.to_owned(),
            });
        }
        if start.elapsed() > READY_TIMEOUT {
            return Err(Error::Process(process::Error::NotReady {
                name: process.name().to_owned(),
                waited: READY_TIMEOUT,
                output: process.output_tail(),
            }));
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}
