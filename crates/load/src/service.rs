//! Service that teams received, computed from the histories of upstreams and callers.
//!
//! A run receives one slot-second a second while its engine runs no more requests than it has
//! slots, and its part of the slots while the engine runs more. A request waits from its arrival at
//! a router until an engine starts to run it, wherever it is queued. All policies are judged alike.

use std::collections::HashMap;

use tsw_fake::history::{Event, Line};

use crate::{
    check::Run,
    history::{Attempt, Outcome},
    plan,
};

/// Pairs the lines of upstreams into runs. Runs that did not end get `end_us` as their end.
#[must_use]
pub fn runs(lines: &[Line], end_us: u64) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    let mut open: HashMap<(&str, u64), usize> = HashMap::new();
    for line in lines {
        let slot = (line.upstream.as_str(), line.run);
        match line.event {
            Event::Start => {
                open.insert(slot, runs.len());
                runs.push(Run {
                    id: line.request.request_id.clone(),
                    key: line.request.key.clone(),
                    team: line.request.team.clone(),
                    upstream: line.upstream.clone(),
                    arrived_us: line.time_us - line.queued_us.min(line.time_us),
                    start_us: line.time_us,
                    end_us: end_us.max(line.time_us),
                    first: line.first,
                    tokens: 0,
                    ended: false,
                });
            }
            Event::End | Event::Cancel | Event::Crash => {
                if let Some(index) = open.remove(&slot) {
                    let run = &mut runs[index];
                    run.end_us = line.time_us.max(run.start_us);
                    run.tokens = line.tokens;
                    run.ended = line.event == Event::End;
                }
            }
            Event::Leave => {}
        }
    }
    runs
}

/// Shares and slots that service is measured against.
#[derive(Clone, Debug)]
pub struct Scale {
    /// Team names.
    pub teams: Vec<String>,
    /// Shares of the teams; they sum to 1.
    pub shares: Vec<f64>,
    /// Slots of all engines.
    pub slots: f64,
    /// Slots of one engine.
    pub engine_slots: f64,
}

impl Scale {
    /// Returns the scale of the model service of a fleet.
    #[must_use]
    pub fn of(fleet: &plan::Fleet) -> Self {
        Self {
            teams: fleet.teams.iter().map(|t| t.name.clone()).collect(),
            shares: fleet.teams.iter().map(|t| t.share).collect(),
            slots: f64::from(fleet.slots(&fleet.model)),
            engine_slots: f64::from(plan::ENGINE_SLOTS),
        }
    }
}

/// State of all teams at one point of time.
#[derive(Clone, Debug)]
struct Point {
    time_us: u64,
    /// Slot-seconds received so far, by team.
    served: Vec<f64>,
    /// Requests that wait for their start from this point on, by team.
    waiting: Vec<u32>,
    /// Requests that no engine holds yet.
    pending: u32,
    /// Slot-seconds for which slots held a request so far.
    held: f64,
    /// Slot-seconds for which slots ran a request so far.
    ran: f64,
    /// Slot-seconds that could have been used so far: as many as there were requests.
    usable: f64,
}

/// Service of all teams over time.
#[derive(Clone, Debug)]
pub struct Timeline {
    scale: Scale,
    points: Vec<Point>,
}

enum Change {
    Arrive(usize),
    Start(usize, usize),
    End(usize, usize),
    Wait(usize),
    Begin(usize),
    Queue,
    Hold,
}

impl Timeline {
    /// Computes the service from runs and attempts of one service.
    #[must_use]
    pub fn new(scale: Scale, runs: &[Run], attempts: &[&Attempt]) -> Self {
        let teams: HashMap<&str, usize> = index(scale.teams.iter().map(String::as_str));
        let upstreams = index(runs.iter().map(|run| run.upstream.as_str()));
        let owners: HashMap<&str, usize> = attempts
            .iter()
            .filter_map(|a| Some((a.id.as_str(), *teams.get(a.team.as_str())?)))
            .collect();
        let mut changes = Vec::new();
        let mut first: HashMap<&str, (u64, u64)> = HashMap::new();
        for run in runs {
            let Some(team) = owners.get(run.id.as_str()) else {
                continue;
            };
            let upstream = upstreams[run.upstream.as_str()];
            changes.push((run.arrived_us, Change::Arrive(upstream)));
            changes.push((run.start_us, Change::Start(upstream, *team)));
            changes.push((run.end_us, Change::End(upstream, *team)));
            let found = first.entry(run.id.as_str());
            found.or_insert((run.arrived_us, run.start_us));
        }
        for attempt in attempts {
            let Some(team) = owners.get(attempt.id.as_str()) else {
                continue;
            };
            let from = attempt.sent_us + plan::CLIENT_DELAY.as_micros() as u64;
            let never = (attempt.ended_us, attempt.ended_us);
            let (held, start) = first.get(attempt.id.as_str()).copied().unwrap_or(never);
            changes.push((from, Change::Queue));
            changes.push((held.max(from), Change::Hold));
            changes.push((from, Change::Wait(*team)));
            changes.push((start.max(from), Change::Begin(*team)));
        }
        changes.sort_by_key(|(time, _)| *time);
        Self {
            points: sweep(&scale, upstreams.len(), &changes),
            scale,
        }
    }

    /// Returns the index of the last change until a time, or of the first one if all are later.
    fn at(&self, time_us: u64) -> Option<usize> {
        let after = self.points.partition_point(|p| p.time_us <= time_us);
        (!self.points.is_empty()).then(|| after.saturating_sub(1))
    }

    /// Returns the slot-seconds that each team received in a time, to the nearest change.
    #[must_use]
    pub fn served(&self, from_us: u64, to_us: u64) -> Vec<f64> {
        let (Some(from), Some(to)) = (self.at(from_us), self.at(to_us)) else {
            return vec![0.0; self.scale.teams.len()];
        };
        let pairs = self.points[to].served.iter().zip(&self.points[from].served);
        pairs.map(|(to, from)| to - from).collect()
    }

    /// Returns the part of the usable slot time in which slots held, and ran, a request.
    ///
    /// A slot is usable while a request holds it or waits for one. A request holds its slot from its
    /// arrival at the engine, and runs from the next step of the engine.
    #[must_use]
    pub fn utilisation(&self, from_us: u64, to_us: u64) -> (f64, f64) {
        let (Some(from), Some(to)) = (self.at(from_us), self.at(to_us)) else {
            return (0.0, 0.0);
        };
        let (from, to) = (&self.points[from], &self.points[to]);
        let usable = (to.usable - from.usable).max(f64::MIN_POSITIVE);
        ((to.held - from.held) / usable, (to.ran - from.ran) / usable)
    }

    /// Returns the largest difference of service / share between two teams over any interval in
    /// which both wait, in seconds of fleet capacity.
    #[must_use]
    pub fn gap(&self, from_us: u64, to_us: u64) -> f64 {
        let teams = self.scale.teams.len();
        let inside = |p: &&Point| p.time_us >= from_us && p.time_us <= to_us;
        let points: Vec<&Point> = self.points.iter().filter(inside).collect();
        let mut gap: f64 = 0.0;
        for a in 0..teams {
            for b in a + 1..teams {
                gap = gap.max(self.pair_gap(&points, a, b));
            }
        }
        gap
    }

    fn pair_gap(&self, points: &[&Point], a: usize, b: usize) -> f64 {
        let level =
            |p: &Point, team: usize| p.served[team] / (self.scale.shares[team] * self.scale.slots);
        let mut gap: f64 = 0.0;
        let mut range: Option<(f64, f64)> = None;
        for point in points {
            let difference = level(point, a) - level(point, b);
            if let Some((low, high)) = &mut range {
                *low = low.min(difference);
                *high = high.max(difference);
                gap = gap.max(*high - *low);
            }
            let both = point.waiting[a] > 0 && point.waiting[b] > 0;
            range = match both {
                true => range.or(Some((difference, difference))),
                false => None,
            };
        }
        gap
    }
}

fn index<'a>(names: impl Iterator<Item = &'a str>) -> HashMap<&'a str, usize> {
    let mut found = HashMap::new();
    for name in names {
        let next = found.len();
        found.entry(name).or_insert(next);
    }
    found
}

fn sweep(scale: &Scale, upstreams: usize, changes: &[(u64, Change)]) -> Vec<Point> {
    let teams = scale.teams.len();
    let mut running = vec![vec![0_u32; teams]; upstreams];
    let mut held = vec![0_u32; upstreams];
    let mut point = Point {
        time_us: changes.first().map_or(0, |(time, _)| *time),
        served: vec![0.0; teams],
        waiting: vec![0; teams],
        pending: 0,
        held: 0.0,
        ran: 0.0,
        usable: 0.0,
    };
    let mut points = Vec::new();
    for (time_us, change) in changes {
        let span = (time_us - point.time_us) as f64 / 1e6;
        if span > 0.0 {
            points.push(point.clone());
            point.time_us = *time_us;
            for (engine, held) in running.iter().zip(&held) {
                let total = f64::from(engine.iter().sum::<u32>());
                let rate = (scale.engine_slots / total.max(1.0)).min(1.0);
                for (served, count) in point.served.iter_mut().zip(engine) {
                    *served += span * f64::from(*count) * rate;
                }
                point.ran += span * total.min(scale.engine_slots);
                point.held += span * f64::from(*held).min(scale.engine_slots);
            }
            let wanted = f64::from(point.pending + held.iter().sum::<u32>());
            point.usable += span * wanted.min(scale.slots);
        }
        match *change {
            Change::Arrive(upstream) => held[upstream] += 1,
            Change::Start(upstream, team) => running[upstream][team] += 1,
            Change::End(upstream, team) => {
                running[upstream][team] = running[upstream][team].saturating_sub(1);
                held[upstream] = held[upstream].saturating_sub(1);
            }
            Change::Wait(team) => point.waiting[team] += 1,
            Change::Begin(team) => point.waiting[team] = point.waiting[team].saturating_sub(1),
            Change::Queue => point.pending += 1,
            Change::Hold => point.pending = point.pending.saturating_sub(1),
        }
    }
    points.push(point);
    points
}

/// Divides `capacity` by share over what each team asked for: what a team does not ask for goes to
/// the others.
///
/// ```
/// use tsw_load::service;
///
/// let fair = service::water_fill(10.0, &[0.5, 0.25, 0.25], &[2.0, 9.0, 9.0]);
/// assert_eq!(fair, [2.0, 4.0, 4.0]);
/// ```
#[must_use]
pub fn water_fill(capacity: f64, shares: &[f64], asked: &[f64]) -> Vec<f64> {
    let mut fair = vec![0.0; shares.len()];
    let mut open: Vec<usize> = (0..shares.len()).collect();
    let mut left = capacity;
    loop {
        let whole: f64 = open.iter().map(|i| shares[*i]).sum();
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|i| asked[**i] <= left * shares[**i] / whole);
        if full.is_empty() {
            for i in rest {
                fair[i] = left * shares[i] / whole;
            }
            return fair;
        }
        for i in full {
            fair[i] = asked[i];
            left -= asked[i];
        }
        open = rest;
        if open.is_empty() {
            return fair;
        }
    }
}

/// Returns the slot-seconds that each team asked for in a time: those that its requests would have
/// received, had each started on arrival and run `token_s` seconds for each token.
#[must_use]
pub fn asked(
    scale: &Scale,
    attempts: &[&Attempt],
    from_us: u64,
    to_us: u64,
    token_s: f64,
) -> Vec<f64> {
    let teams = index(scale.teams.iter().map(String::as_str));
    let mut asked = vec![0.0; scale.teams.len()];
    for attempt in attempts.iter().filter(|a| a.outcome != Outcome::NotRun) {
        let Some(team) = teams.get(attempt.team.as_str()) else {
            continue;
        };
        let start = attempt.sent_us as f64 / 1e6;
        let end = start + attempt.asked as f64 * token_s;
        let overlap = end.min(to_us as f64 / 1e6) - start.max(from_us as f64 / 1e6);
        asked[*team] += overlap.max(0.0);
    }
    asked
}
