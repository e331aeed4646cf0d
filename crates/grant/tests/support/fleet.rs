//! Teams and size of a simulated fleet.

use tsw_base::time::{Span, Tick};
use tsw_grant::message::Class;

/// How a team behaves.
#[derive(Clone, Debug)]
pub struct Team {
    pub share_ppm: u32,
    /// Requests kept waiting at each of `routers`.
    pub backlog: usize,
    /// Routers that its callers use: every `stride`-th one.
    pub stride: usize,
    /// Shortest and longest request.
    pub length: (Span, Span),
    /// One request in this many runs 30 times as long, if not 0.
    pub straggler: u32,
    /// Time range in which it sends requests.
    pub active: (Tick, Tick),
    pub class: Class,
}

impl Team {
    pub fn new(share_ppm: u32) -> Self {
        Self {
            share_ppm,
            backlog: 4,
            stride: 1,
            length: (Span::from_millis(300), Span::from_millis(1_000)),
            straggler: 0,
            active: (Tick::ZERO, Tick::from_micros(u64::MAX)),
            class: Class::Short,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Fleet {
    pub routers: usize,
    pub homes: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub teams: Vec<Team>,
    pub delay: Span,
    /// Further delay of each message, up to this.
    pub jitter: Span,
    /// Percent of messages that arrive a second time, up to 500 ms later.
    pub duplicates: u32,
    pub ahead: u32,
    /// Hints of costs are wrong by up to this factor either way; 0 for no hints.
    pub hint_factor: f64,
    pub seed: u64,
}

impl Fleet {
    pub fn new(teams: Vec<Team>) -> Self {
        Self {
            routers: 7,
            homes: 1,
            upstreams: 12,
            slots: 4,
            teams,
            delay: Span::from_millis(1),
            jitter: Span::ZERO,
            duplicates: 0,
            ahead: 0,
            hint_factor: 0.0,
            seed: 1,
        }
    }

    /// Slots of the whole fleet.
    pub fn capacity(&self) -> f64 {
        (self.upstreams as u32 * self.slots) as f64
    }

    /// Smallest share of a team.
    pub fn smallest_share(&self) -> f64 {
        let least = self.teams.iter().map(|team| team.share_ppm).min();
        f64::from(least.expect("teams")) / 1e6
    }
}
