//! Parameters of a simulated fleet and its teams.

use tsw_base::time::{Span, Timestamp};
use tsw_grant::message::Class;

/// Workload of a team.
#[derive(Clone, Debug)]
pub struct Team {
    pub share_ppm: u32,
    /// Number of requests kept waiting at each router that the team uses.
    pub backlog: usize,
    /// The team's callers use every `stride`-th router.
    pub stride: usize,
    /// Minimum and maximum slot time of a request.
    pub length: (Span, Span),
    /// One in `straggler` requests runs 30 times as long; 0 for none.
    pub straggler: u32,
    /// Start and end of the time in which the team sends requests.
    pub active: (Timestamp, Timestamp),
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
            active: (Timestamp::ZERO, Timestamp::from_micros(u64::MAX)),
            class: Class::Short,
        }
    }
}

/// Size of the fleet and behaviour of its network.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub routers: usize,
    pub homes: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub teams: Vec<Team>,
    pub delay: Span,
    /// Maximum additional random delay of each message.
    pub jitter: Span,
    /// Percentage of messages that arrive a second time, up to 500 ms later.
    pub duplicates: u32,
    pub grants_ahead: u32,
    /// Cost hints are too high or too low by up to this factor; 0 for no hints.
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
            grants_ahead: 0,
            hint_factor: 0.0,
            seed: 1,
        }
    }

    /// Total number of slots in the fleet.
    pub fn capacity(&self) -> f64 {
        (self.upstreams as u32 * self.slots) as f64
    }

    /// Smallest share of any team.
    pub fn smallest_share(&self) -> f64 {
        let least = self.teams.iter().map(|team| team.share_ppm).min();
        f64::from(least.expect("the fleet has teams")) / 1e6
    }
}
