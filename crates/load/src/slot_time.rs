//! Slot time that teams received, computed from the histories of upstreams and callers.
//!
//! A run receives one slot-second per second while its engine runs no more requests than it has
//! slots, and an equal part of the slots while the engine runs more. A request waits from its
//! arrival at a router until an engine starts to run it, wherever it is queued, so that all
//! policies are measured in the same way.

use std::collections::HashMap;

use tsw_fake::history::{Event, Line};

use crate::{
    check::Run,
    history::{Attempt, Outcome},
    plan,
};

/// Pairs the start and end lines of upstreams into runs. Runs that did not end get `end_us` as
/// their end.
#[must_use]
pub fn pair_runs(lines: &[Line], end_us: u64) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    let mut unfinished: HashMap<(&str, u64), usize> = HashMap::new();
    for line in lines {
        let run_key = (line.upstream.as_str(), line.run);
        match line.event {
            Event::Start => {
                unfinished.insert(run_key, runs.len());
                runs.push(Run {
                    id: line.request.request_id.clone(),
                    key: line.request.key.clone(),
                    team: line.request.team.clone(),
                    upstream: line.upstream.clone(),
                    arrived_us: line.time_us - line.queued_us.min(line.time_us),
                    start_us: line.time_us,
                    end_us: end_us.max(line.time_us),
                    first_token: line.first,
                    tokens: 0,
                    ended: false,
                });
            }
            Event::End | Event::Cancel | Event::Crash => {
                if let Some(index) = unfinished.remove(&run_key) {
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

/// Shares of the teams and capacity of the engines, to compare slot time with.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Team names.
    pub teams: Vec<String>,
    /// Shares of the teams; they sum to 1.
    pub shares: Vec<f64>,
    /// Slots of all engines.
    pub slots: f64,
    /// Slots of one engine.
    pub engine_slots: f64,
}

impl Capacity {
    /// Returns the capacity of the model service of a plan.
    #[must_use]
    pub fn new(plan: &plan::FleetPlan) -> Self {
        Self {
            teams: plan.teams.iter().map(|t| t.name.clone()).collect(),
            shares: plan.teams.iter().map(|t| t.share).collect(),
            slots: f64::from(plan.slots(&plan.model)),
            engine_slots: f64::from(plan::ENGINE_SLOTS),
        }
    }
}

/// Totals and queue lengths at one point of time.
#[derive(Clone, Debug)]
struct Point {
    time_us: u64,
    /// Slot-seconds received so far, by team.
    received: Vec<f64>,
    /// Requests that wait for their start from this time on, by team.
    waiting: Vec<u32>,
    /// Requests that have not arrived at an engine yet.
    pending: u32,
    /// Slot-seconds so far in which slots were occupied by a request.
    occupied: f64,
    /// Slot-seconds so far in which slots ran a request.
    ran: f64,
    /// Slot-seconds so far that there were enough requests to use.
    usable: f64,
}

/// Slot time of all teams over time.
#[derive(Clone, Debug)]
pub struct Timeline {
    capacity: Capacity,
    points: Vec<Point>,
}

/// A change of the state of a plan. `upstream` and `team` are indices.
enum Change {
    /// A request arrived at an engine and occupies a slot.
    ArrivedAtEngine { upstream: usize },
    /// An engine started a run.
    RunStarted { upstream: usize, team: usize },
    /// A run ended.
    RunEnded { upstream: usize, team: usize },
    /// A request of a team began to wait for its start.
    WaitStarted { team: usize },
    /// A request of a team no longer waits, because it started or its attempt ended.
    WaitEnded { team: usize },
    /// A request began to wait for an engine.
    Queued,
    /// A request that waited for an engine arrived there, or its attempt ended.
    Dequeued,
}

impl Timeline {
    /// Computes the slot time from the runs and attempts of one service.
    #[must_use]
    pub fn new(capacity: Capacity, runs: &[Run], attempts: &[&Attempt]) -> Self {
        let teams: HashMap<&str, usize> = index_by_name(capacity.teams.iter().map(String::as_str));
        let upstreams = index_by_name(runs.iter().map(|run| run.upstream.as_str()));
        let teams_by_id: HashMap<&str, usize> = attempts
            .iter()
            .filter_map(|a| Some((a.id.as_str(), *teams.get(a.team.as_str())?)))
            .collect();
        let mut changes = Vec::new();
        let mut first_runs: HashMap<&str, (u64, u64)> = HashMap::new();
        for run in runs {
            let Some(&team) = teams_by_id.get(run.id.as_str()) else {
                continue;
            };
            let upstream = upstreams[run.upstream.as_str()];
            changes.push((run.arrived_us, Change::ArrivedAtEngine { upstream }));
            changes.push((run.start_us, Change::RunStarted { upstream, team }));
            changes.push((run.end_us, Change::RunEnded { upstream, team }));
            let first_run = first_runs.entry(run.id.as_str());
            first_run.or_insert((run.arrived_us, run.start_us));
        }
        for attempt in attempts {
            let Some(&team) = teams_by_id.get(attempt.id.as_str()) else {
                continue;
            };
            let arrived_us = attempt.sent_us + plan::CLIENT_DELAY.as_micros() as u64;
            let never_started = (attempt.ended_us, attempt.ended_us);
            let (dequeued_us, start_us) = first_runs
                .get(attempt.id.as_str())
                .copied()
                .unwrap_or(never_started);
            changes.push((arrived_us, Change::Queued));
            changes.push((dequeued_us.max(arrived_us), Change::Dequeued));
            changes.push((arrived_us, Change::WaitStarted { team }));
            changes.push((start_us.max(arrived_us), Change::WaitEnded { team }));
        }
        changes.sort_by_key(|(time, _)| *time);
        Self {
            points: accumulate(&capacity, upstreams.len(), &changes),
            capacity,
        }
    }

    /// Returns the index of the last point at or before a time, or of the first point if all are
    /// later.
    fn point_at(&self, time_us: u64) -> Option<usize> {
        let after = self.points.partition_point(|p| p.time_us <= time_us);
        (!self.points.is_empty()).then(|| after.saturating_sub(1))
    }

    /// Returns the slot-seconds that each team received in an interval. Both ends of the interval
    /// are moved back to the last change before them.
    #[must_use]
    pub fn received(&self, from_us: u64, to_us: u64) -> Vec<f64> {
        let (Some(from), Some(to)) = (self.point_at(from_us), self.point_at(to_us)) else {
            return vec![0.0; self.capacity.teams.len()];
        };
        let pairs = self.points[to]
            .received
            .iter()
            .zip(&self.points[from].received);
        pairs.map(|(to, from)| to - from).collect()
    }

    /// Returns the fractions of the usable slot time in which slots were occupied by a request, and
    /// in which they ran one.
    ///
    /// A slot is usable while a request occupies it or waits for one. A request occupies its slot
    /// from its arrival at the engine, and runs from the next step of the engine.
    #[must_use]
    pub fn utilisation(&self, from_us: u64, to_us: u64) -> (f64, f64) {
        let (Some(from), Some(to)) = (self.point_at(from_us), self.point_at(to_us)) else {
            return (0.0, 0.0);
        };
        let (from, to) = (&self.points[from], &self.points[to]);
        let usable = (to.usable - from.usable).max(f64::MIN_POSITIVE);
        (
            (to.occupied - from.occupied) / usable,
            (to.ran - from.ran) / usable,
        )
    }

    /// Returns the largest difference of slot time / share between two teams over any interval in
    /// which requests of both wait, in seconds of fleet capacity.
    #[must_use]
    pub fn fairness_gap(&self, from_us: u64, to_us: u64) -> f64 {
        let teams = self.capacity.teams.len();
        let in_interval = |p: &&Point| p.time_us >= from_us && p.time_us <= to_us;
        let points: Vec<&Point> = self.points.iter().filter(in_interval).collect();
        let mut gap: f64 = 0.0;
        for a in 0..teams {
            for b in a + 1..teams {
                gap = gap.max(self.pairwise_gap(&points, a, b));
            }
        }
        gap
    }

    fn pairwise_gap(&self, points: &[&Point], a: usize, b: usize) -> f64 {
        let normalised = |p: &Point, team: usize| {
            p.received[team] / (self.capacity.shares[team] * self.capacity.slots)
        };
        let mut gap: f64 = 0.0;
        let mut range: Option<(f64, f64)> = None;
        for point in points {
            let difference = normalised(point, a) - normalised(point, b);
            if let Some((low, high)) = &mut range {
                *low = low.min(difference);
                *high = high.max(difference);
                gap = gap.max(*high - *low);
            }
            let both_wait = point.waiting[a] > 0 && point.waiting[b] > 0;
            range = match both_wait {
                true => range.or(Some((difference, difference))),
                false => None,
            };
        }
        gap
    }
}

fn index_by_name<'a>(names: impl Iterator<Item = &'a str>) -> HashMap<&'a str, usize> {
    let mut indices = HashMap::new();
    for name in names {
        let next = indices.len();
        indices.entry(name).or_insert(next);
    }
    indices
}

/// Adds up the slot time over `changes`, which are in order of time.
fn accumulate(capacity: &Capacity, upstreams: usize, changes: &[(u64, Change)]) -> Vec<Point> {
    let teams = capacity.teams.len();
    let mut running = vec![vec![0_u32; teams]; upstreams];
    let mut occupied = vec![0_u32; upstreams];
    let mut point = Point {
        time_us: changes.first().map_or(0, |(time, _)| *time),
        received: vec![0.0; teams],
        waiting: vec![0; teams],
        pending: 0,
        occupied: 0.0,
        ran: 0.0,
        usable: 0.0,
    };
    let mut points = Vec::new();
    for (time_us, change) in changes {
        let span_s = (time_us - point.time_us) as f64 / 1e6;
        if span_s > 0.0 {
            points.push(point.clone());
            point.time_us = *time_us;
            for (engine, occupied) in running.iter().zip(&occupied) {
                let total = f64::from(engine.iter().sum::<u32>());
                let rate = (capacity.engine_slots / total.max(1.0)).min(1.0);
                for (received, count) in point.received.iter_mut().zip(engine) {
                    *received += span_s * f64::from(*count) * rate;
                }
                point.ran += span_s * total.min(capacity.engine_slots);
                point.occupied += span_s * f64::from(*occupied).min(capacity.engine_slots);
            }
            let wanted = f64::from(point.pending + occupied.iter().sum::<u32>());
            point.usable += span_s * wanted.min(capacity.slots);
        }
        match *change {
            Change::ArrivedAtEngine { upstream } => occupied[upstream] += 1,
            Change::RunStarted { upstream, team } => running[upstream][team] += 1,
            Change::RunEnded { upstream, team } => {
                running[upstream][team] = running[upstream][team].saturating_sub(1);
                occupied[upstream] = occupied[upstream].saturating_sub(1);
            }
            Change::WaitStarted { team } => point.waiting[team] += 1,
            Change::WaitEnded { team } => {
                point.waiting[team] = point.waiting[team].saturating_sub(1)
            }
            Change::Queued => point.pending += 1,
            Change::Dequeued => point.pending = point.pending.saturating_sub(1),
        }
    }
    points.push(point);
    points
}

/// Divides `capacity` among teams by share and up to their `demand` (max-min fairness). Capacity
/// that a team does not need is divided among the others.
///
/// ```
/// use tsw_load::slot_time;
///
/// let fair = slot_time::water_fill(10.0, &[0.5, 0.25, 0.25], &[2.0, 9.0, 9.0]);
/// assert_eq!(fair, [2.0, 4.0, 4.0]);
/// ```
#[must_use]
pub fn water_fill(capacity: f64, shares: &[f64], demand: &[f64]) -> Vec<f64> {
    let mut fair = vec![0.0; shares.len()];
    let mut unsatisfied: Vec<usize> = (0..shares.len()).collect();
    let mut remaining = capacity;
    loop {
        let total_share: f64 = unsatisfied.iter().map(|i| shares[*i]).sum();
        let (satisfied, rest): (Vec<usize>, Vec<usize>) = unsatisfied
            .iter()
            .partition(|i| demand[**i] <= remaining * shares[**i] / total_share);
        if satisfied.is_empty() {
            for i in rest {
                fair[i] = remaining * shares[i] / total_share;
            }
            return fair;
        }
        for i in satisfied {
            fair[i] = demand[i];
            remaining -= demand[i];
        }
        unsatisfied = rest;
        if unsatisfied.is_empty() {
            return fair;
        }
    }
}

/// Returns the slot-seconds that each team demanded in an interval: what its requests would have
/// received if each had started on arrival and run for `token_s` seconds per token.
#[must_use]
pub fn demand(
    capacity: &Capacity,
    attempts: &[&Attempt],
    from_us: u64,
    to_us: u64,
    token_s: f64,
) -> Vec<f64> {
    let teams = index_by_name(capacity.teams.iter().map(String::as_str));
    let mut demand = vec![0.0; capacity.teams.len()];
    for attempt in attempts.iter().filter(|a| a.outcome != Outcome::NotRun) {
        let Some(team) = teams.get(attempt.team.as_str()) else {
            continue;
        };
        let start = attempt.sent_us as f64 / 1e6;
        let end = start + attempt.asked as f64 * token_s;
        let overlap = end.min(to_us as f64 / 1e6) - start.max(from_us as f64 / 1e6);
        demand[*team] += overlap.max(0.0);
    }
    demand
}
