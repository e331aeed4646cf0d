//! Stand-in processes of a run.

use std::{fs, net::SocketAddr, path::Path, time::Instant};

use super::{Error, Options, LOAD_LAG_MS, READY_LIMIT, READY_POLL};
use crate::{ports, process, programs};

/// A process with the upstreams of one service in one failure domain.
#[derive(Debug)]
pub struct Upstreams {
    /// Service.
    pub service: String,
    /// Names and addresses.
    pub addresses: Vec<(String, SocketAddr)>,
    /// Address for tests.
    pub control: SocketAddr,
    _process: process::Process,
}

pub(super) fn start(
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
) -> Result<Option<Upstreams>, Error> {
    let planned = options.plan.upstreams.iter();
    let own: Vec<_> = planned
        .filter(|u| u.service == service && u.domain == domain)
        .collect();
    let Some(first) = own.first() else {
        return Ok(None);
    };
    let name = format!("{service}-{domain}");
    // The stand-in chooses all its ports itself; a port noted before could be one of those.
    let any = SocketAddr::new(ports.ip(), 0).to_string();
    let history = options.directory.join("upstreams.jsonl");
    let history = history.display().to_string();
    let (count, slots) = (own.len().to_string(), first.slots.to_string());
    let lag = LOAD_LAG_MS.to_string();
    let mut arguments = vec![if first.model { "engine" } else { "booking" }];
    arguments.extend(["--listen", &any, "--name", &name, "--count", &count]);
    arguments.extend(["--control", &any, "--history", &history]);
    arguments.extend(["--slots", &slots]);
    let step = options.plan.step_us.unwrap_or_default();
    let (base, slope) = (step.0.to_string(), step.1.to_string());
    if first.model && options.plan.step_us.is_some() {
        arguments.extend(["--base-us", &base, "--slope-us", &slope]);
    }
    if first.model {
        arguments.extend(["--load-lag-ms", &lag, "--fencing", "checked"]);
    }
    let mut process = start(&programs.fake, &name, &arguments, &options.directory)?;
    let pairs = ready_line(&mut process, &options.directory).await?;
    let control = pairs.iter().find(|(key, _)| key == "control");
    let control = control.map(|(_, address)| *address);
    Ok(Some(Upstreams {
        service: service.to_owned(),
        control: control.ok_or(Error::Absent(name))?,
        addresses: pairs
            .into_iter()
            .filter(|(key, _)| key != "control")
            .collect(),
        _process: process,
    }))
}

/// Waits for the line `ready NAME=ADDRESS ..` of a stand-in and returns its pairs.
pub(super) async fn ready_line(
    process: &mut process::Process,
    directory: &Path,
) -> Result<Vec<(String, SocketAddr)>, Error> {
    let path = directory.join(format!("{}.out", process.name()));
    let start = Instant::now();
    loop {
        process.check()?;
        let text = fs::read_to_string(&path).unwrap_or_default();
        let complete = text.lines().find(|line| line.starts_with("ready "));
        if let Some(line) = complete.filter(|_| text.ends_with('\n')) {
            let parse = |pair: &str| {
                let (name, address) = pair.split_once('=')?;
                Some((name.to_owned(), address.parse().ok()?))
            };
            let pairs: Option<Vec<_>> = line.split(' ').skip(1).map(parse).collect();
            return pairs.ok_or_else(|| Error::Line {
                name: process.name().to_owned(),
                line: line.to_owned(),
            });
        }
        if start.elapsed() > READY_LIMIT {
            return Err(Error::Process(process::Error::Ready {
                name: process.name().to_owned(),
                waited: READY_LIMIT,
                output: process.tail(),
            }));
        }
        tokio::time::sleep(READY_POLL).await;
    }
}
