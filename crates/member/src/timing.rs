//! Intervals, timeouts and limits of membership.

use tsw_base::time::Span;

/// Intervals and timeouts of the probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two rounds of probes.
    pub probe_interval: Span,
    /// Time after which an unanswered probe counts as missed. It covers a process pause of 100 ms
    /// and the processing of messages queued meanwhile.
    pub ack_timeout: Span,
    /// Time after which a suspect that has not refuted the suspicion is dead.
    pub suspect_timeout: Span,
    /// Time between two probes of dead hosts, regardless of their number.
    pub dead_probe_interval: Span,
    /// Time between two ticks above which this process counts as paused. Deadlines are then
    /// extended by the length of the pause, so that this router does not suspect its peers.
    pub stall_threshold: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Span::from_millis(200),
            ack_timeout: Span::from_millis(300),
            suspect_timeout: Span::from_millis(600),
            dead_probe_interval: Span::from_millis(1_000),
            stall_threshold: Span::from_millis(150),
        }
    }
}

/// Maximum number of peers probed in one round.
pub const PROBES_PER_ROUND: usize = 3;

/// Largest number of peers for which a router probes all of them. Beyond it, the number of probed
/// peers grows logarithmically.
pub const MAX_ALL_PROBED: usize = 12;

/// Maximum number of entries of the probe order examined in one round, so that many dead hosts do
/// not prolong a round.
pub const MAX_SCANNED: usize = 12;

/// Number of consecutive missed probes after which a peer is suspect.
pub const MISSES_UNTIL_SUSPECT: u32 = 2;

/// Maximum number of member updates in one message, not counting those about sender and receiver.
pub const MAX_UPDATES: usize = 8;

/// Maximum number of hosts queued for gossip. When the queue is full, a new host replaces the last
/// one.
pub const MAX_QUEUED: usize = 256;
