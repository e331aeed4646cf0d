//! Periods and limits of membership.

use tsw_base::time::Span;

/// Periods of the probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two rounds of probes.
    pub probe: Span,
    /// Time after which a probe counts as missed. A pause of 100 ms and a queue behind it stay
    /// below.
    pub ack: Span,
    /// Time that a suspect has to refute the suspicion.
    pub refute: Span,
    /// Time between two probes of dead hosts, whatever their number.
    pub dead: Span,
    /// Time between two ticks above which this process itself was paused. Deadlines are then moved
    /// by the length of the pause, so that it does not suspect its peers.
    pub stall: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe: Span::from_millis(200),
            ack: Span::from_millis(300),
            refute: Span::from_millis(600),
            dead: Span::from_millis(1_000),
            stall: Span::from_millis(150),
        }
    }
}

/// Peers that one round probes.
pub const FANOUT: usize = 3;

/// Most peers that are all probed. With more, a router probes a number that grows with their
/// logarithm.
pub const ALL: usize = 12;

/// Entries of the shuffled order that one round looks at, so that many dead hosts do not make a
/// round longer.
pub const SCAN: usize = 12;

/// Missed probes in a row that make a peer suspect.
pub const MISSES: u32 = 2;

/// Statements in one message, besides those on sender and receiver.
pub const UPDATES: usize = 8;

/// Statements that wait to be passed on. The oldest is dropped when one more arrives.
pub const BACKLOG: usize = 256;
