//! A fleet under load, and what its history shows.

use std::{
    io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tsw_config::settings;
use tsw_fake::history::Line;

use crate::{
    check::{self, Run},
    client,
    history::{self, Attempt, Event, Outcome, Recorder},
    launch,
    plan::{self, Deployment},
    policy::Policy,
    records::Records,
    service,
};

/// Longest time until the requests that run at the end of a load are answered.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(8);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Request {
    /// The deployment.
    pub deployment: Deployment,
    /// The policy.
    pub policy: Policy,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Length of the measured time, if it is not the usual one.
    pub seconds: Option<u64>,
    /// Whether the callers' hints of costs are right, for a diagnosis of their influence.
    pub exact_hints: bool,
    /// Directory for the files of the run; a temporary one when absent.
    pub directory: Option<PathBuf>,
}

/// A fleet with a client.
pub struct Session {
    /// The fleet.
    pub fleet: launch::Fleet,
    /// The client.
    pub client: client::Client,
    begun: Instant,
    _temporary: Option<tempfile::TempDir>,
}

impl Session {
    /// Starts `plan` under the policy of `request`.
    ///
    /// # Errors
    ///
    /// Returns why the fleet does not start.
    pub async fn start(
        request: &Request,
        plan: plan::Fleet,
        log: settings::Level,
    ) -> Result<Self, launch::Error> {
        let begun = Instant::now();
        let (directory, temporary) = match &request.directory {
            Some(directory) => (directory.clone(), None),
            None => {
                let temporary = tempfile::tempdir()?;
                (temporary.path().to_owned(), Some(temporary))
            }
        };
        let fleet = launch::Fleet::start(launch::Options {
            fleet: plan,
            policy: request.policy,
            seed: request.seed,
            directory,
            relays: true,
            log,
            revision: 1,
        })
        .await?;
        let recorder = Recorder::create(&fleet.directory().join("callers.jsonl"))?;
        let client =
            client::Client::new(fleet.plan(), fleet.entries(), fleet.clock.clone(), recorder);
        Ok(Self {
            fleet,
            client,
            begun,
            _temporary: temporary,
        })
    }

    /// Returns the time since the start of the fleet.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Records the beginning of a phase and returns its time.
    pub fn phase(&self, name: &str) -> u64 {
        let time_us = client::now_us();
        self.client.recorder().record(Event::Phase {
            name: name.to_owned(),
            time_us,
        });
        time_us
    }

    /// Reads all histories so far.
    ///
    /// # Errors
    ///
    /// Returns why a history cannot be read.
    pub fn evidence(&self) -> io::Result<Evidence> {
        let events = self.client.recorder().events();
        let path = self.fleet.directory().join("upstreams.jsonl");
        let records = Records::read(self.fleet.directory(), self.fleet.plan());
        Evidence::new(events, &path, records)
    }
}

/// What callers and upstreams recorded.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Events of callers and launcher.
    pub events: Vec<Event>,
    /// Runs at upstreams.
    pub runs: Vec<Run>,
    /// Audit lines of routers.
    pub records: Records,
}

impl Evidence {
    fn new(events: Vec<Event>, upstreams: &Path, records: Records) -> io::Result<Self> {
        let mut lines: Vec<Line> = match upstreams.exists() {
            true => history::read(upstreams)?,
            false => Vec::new(),
        };
        lines.sort_by_key(|line| line.time_us);
        let runs = service::runs(&lines, client::now_us());
        Ok(Self {
            events,
            runs,
            records,
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

    /// Returns the service that teams received from the model engines.
    #[must_use]
    pub fn timeline(&self, plan: &plan::Fleet) -> service::Timeline {
        let attempts = self.attempts(&plan.model);
        service::Timeline::new(service::Scale::of(plan), &self.runs, &attempts)
    }

    /// Applies the rules of the checker.
    #[must_use]
    pub fn check(&self) -> check::Findings {
        check::check(&self.events, &self.runs, &self.records)
    }

    /// Returns the largest slot time of a run that ended in a time, in seconds.
    #[must_use]
    pub fn largest_run_s(&self, from_us: u64, to_us: u64) -> f64 {
        let inside = |run: &&Run| run.ended && run.end_us >= from_us && run.start_us <= to_us;
        let times = self.runs.iter().filter(inside);
        let longest = times.map(|run| run.end_us - run.start_us).max();
        longest.unwrap_or(0) as f64 / 1e6
    }

    /// Returns the mean slot time for a token over all complete runs, in seconds.
    #[must_use]
    pub fn token_s(&self) -> f64 {
        let ended = self.runs.iter().filter(|run| run.ended && run.tokens > 0);
        let sums = ended.fold((0, 0), |(time, tokens), run| {
            (time + run.end_us - run.start_us, tokens + run.tokens)
        });
        sums.0 as f64 / 1e6 / (sums.1.max(1)) as f64
    }

    /// Returns the times from sending to the start at an upstream, in milliseconds, of attempts
    /// that `matches` accepts.
    #[must_use]
    pub fn waits(&self, service: &str, matches: impl Fn(&Attempt) -> bool) -> Vec<f64> {
        let mut starts = std::collections::HashMap::new();
        for run in &self.runs {
            let first = starts.entry(run.id.as_str()).or_insert(run.start_us);
            *first = run.start_us.min(*first);
        }
        let wait = |attempt: &Attempt| {
            let start = starts.get(attempt.id.as_str())?;
            Some(start.saturating_sub(attempt.sent_us) as f64 / 1e3)
        };
        let attempts = self.attempts(service).into_iter();
        attempts.filter(|a| matches(a)).filter_map(wait).collect()
    }

    /// Returns the times from beginning to final answer, in milliseconds, of the complete
    /// operations of a service whose last attempt `matches` accepts.
    #[must_use]
    pub fn latencies(&self, service: &str, matches: impl Fn(&Attempt) -> bool) -> Vec<f64> {
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

/// Returns a quantile of values in milliseconds, or 0 when there are none.
#[must_use]
pub fn quantile(values: &[f64], part: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return 0.0;
    };
    for value in values {
        let _ = histogram.record((value * 1e3) as u64);
    }
    histogram.value_at_quantile(part) as f64 / 1e3
}
