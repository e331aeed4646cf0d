//! A fleet with a client that sends load to it, and the figures computed from its histories.

use std::{
    io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tsw_config::settings;
use tsw_fake::history::Line;

use crate::{
    audit_log::AuditLog,
    check::{self, Run},
    client,
    history::{self, Attempt, Event, Outcome, Recorder},
    launch,
    plan::{self, Deployment},
    policy::Policy,
    slot_time,
};

/// How long to wait at the end of a load for the responses to outstanding requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The deployment.
    pub deployment: Deployment,
    /// The policy.
    pub policy: Policy,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Length of the measured time; the default of the experiment when absent.
    pub seconds: Option<u64>,
    /// Whether the cost hints of callers are exact, to show how wrong hints affect the result.
    pub exact_hints: bool,
    /// Directory for the files of the fleet; a temporary one when absent.
    pub directory: Option<PathBuf>,
}

/// A running fleet with a client.
pub struct Session {
    /// The fleet.
    pub fleet: launch::Fleet,
    /// The client.
    pub client: client::Client,
    started: Instant,
    _temporary: Option<tempfile::TempDir>,
}

impl Session {
    /// Starts the fleet of `plan` with the policy of `options`.
    ///
    /// # Errors
    ///
    /// Returns an error when the fleet does not start.
    pub async fn start(
        options: &Options,
        plan: plan::FleetPlan,
        log: settings::Level,
    ) -> Result<Self, launch::Error> {
        let started = Instant::now();
        let (directory, temporary) = match &options.directory {
            Some(directory) => (directory.clone(), None),
            None => {
                let temporary = tempfile::tempdir()?;
                (temporary.path().to_owned(), Some(temporary))
            }
        };
        let fleet = launch::Fleet::start(launch::Options {
            plan,
            policy: options.policy,
            seed: options.seed,
            directory,
            relays: true,
            log,
            revision: 1,
        })
        .await?;
        let recorder = Recorder::create(&fleet.directory().join("callers.jsonl"))?;
        let client = client::Client::new(
            fleet.plan(),
            fleet.router_addresses(),
            fleet.timer.clone(),
            recorder,
        );
        Ok(Self {
            fleet,
            client,
            started,
            _temporary: temporary,
        })
    }

    /// Returns the time since the start of the fleet.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records the beginning of a phase and returns its time in microseconds since 1970.
    pub fn begin_phase(&self, name: &str) -> u64 {
        let time_us = client::now_us();
        self.client.recorder().record(Event::Phase {
            name: name.to_owned(),
            time_us,
        });
        time_us
    }

    /// Reads the histories recorded so far.
    ///
    /// # Errors
    ///
    /// Returns an error when a history cannot be read.
    pub fn histories(&self) -> io::Result<Histories> {
        let events = self.client.recorder().events();
        let path = self.fleet.directory().join("upstreams.jsonl");
        let audit = AuditLog::read(self.fleet.directory(), self.fleet.plan());
        Histories::new(events, &path, audit)
    }
}

/// The histories of callers, launcher, upstreams and routers.
#[derive(Clone, Debug)]
pub struct Histories {
    /// Events of callers and launcher.
    pub events: Vec<Event>,
    /// Runs at upstreams.
    pub runs: Vec<Run>,
    /// Audit records of routers.
    pub audit: AuditLog,
}

impl Histories {
    fn new(events: Vec<Event>, upstreams: &Path, audit: AuditLog) -> io::Result<Self> {
        let mut lines: Vec<Line> = match upstreams.exists() {
            true => history::read_json_lines(upstreams)?,
            false => Vec::new(),
        };
        lines.sort_by_key(|line| line.time_us);
        let runs = slot_time::pair_runs(&lines, client::now_us());
        Ok(Self {
            events,
            runs,
            audit,
        })
    }

    /// Returns the attempts of a service.
    #[must_use]
    pub fn attempts(&self, service: &str) -> Vec<&Attempt> {
        let mut attempts = Vec::new();
        for event in &self.events {
            match event {
                Event::Attempt(attempt) if attempt.service == service => attempts.push(attempt),
                _ => {}
            }
        }
        attempts
    }

    /// Returns the slot time that teams received from the model engines.
    #[must_use]
    pub fn timeline(&self, plan: &plan::FleetPlan) -> slot_time::Timeline {
        let attempts = self.attempts(&plan.model);
        slot_time::Timeline::new(slot_time::Capacity::new(plan), &self.runs, &attempts)
    }

    /// Checks the histories for violations of the guarantees.
    #[must_use]
    pub fn check(&self) -> check::Findings {
        check::check(&self.events, &self.runs, &self.audit)
    }

    /// Returns the longest slot time, in seconds, of a completed run that overlaps an interval.
    #[must_use]
    pub fn max_slot_time_s(&self, from_us: u64, to_us: u64) -> f64 {
        let overlaps = |run: &&Run| run.ended && run.end_us >= from_us && run.start_us <= to_us;
        let matching = self.runs.iter().filter(overlaps);
        let longest = matching.map(|run| run.end_us - run.start_us).max();
        longest.unwrap_or(0) as f64 / 1e6
    }

    /// Returns the mean slot time per token over all completed runs, in seconds.
    #[must_use]
    pub fn mean_token_s(&self) -> f64 {
        let ended = self.runs.iter().filter(|run| run.ended && run.tokens > 0);
        let (time_us, tokens) = ended.fold((0, 0), |(time, tokens), run| {
            (time + run.end_us - run.start_us, tokens + run.tokens)
        });
        time_us as f64 / 1e6 / (tokens.max(1)) as f64
    }

    /// Returns the times from sending to the first start at an upstream, in milliseconds, of
    /// attempts that `matches` accepts.
    #[must_use]
    pub fn waits_ms(&self, service: &str, matches: impl Fn(&Attempt) -> bool) -> Vec<f64> {
        let mut starts = std::collections::HashMap::new();
        for run in &self.runs {
            let first_us = starts.entry(run.id.as_str()).or_insert(run.start_us);
            *first_us = run.start_us.min(*first_us);
        }
        let wait = |attempt: &Attempt| {
            let start = starts.get(attempt.id.as_str())?;
            Some(start.saturating_sub(attempt.sent_us) as f64 / 1e3)
        };
        let attempts = self.attempts(service).into_iter();
        attempts.filter(|a| matches(a)).filter_map(wait).collect()
    }

    /// Returns the times from the start of an operation to the end of its response, in
    /// milliseconds, of operations of a service with a complete attempt that `matches` accepts.
    #[must_use]
    pub fn latencies_ms(&self, service: &str, matches: impl Fn(&Attempt) -> bool) -> Vec<f64> {
        let mut begins = std::collections::HashMap::new();
        for event in &self.events {
            if let Event::Begin {
                operation, time_us, ..
            } = event
            {
                begins.insert(*operation, *time_us);
            }
        }
        let attempts = self.attempts(service).into_iter();
        let complete = attempts.filter(|a| a.outcome == Outcome::Complete && matches(a));
        let latency = |attempt: &Attempt| {
            let begin = begins.get(&attempt.operation)?;
            Some((attempt.ended_us - begin) as f64 / 1e3)
        };
        complete.filter_map(latency).collect()
    }
}

/// Returns the quantile `q` (0 to 1) of values in milliseconds, or 0 when there are none.
#[must_use]
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return 0.0;
    };
    for value in values {
        let _ = histogram.record((value * 1e3) as u64);
    }
    histogram.value_at_quantile(q) as f64 / 1e3
}
