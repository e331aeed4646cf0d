//! Decides whether upstreams break connections because of one request or regardless of the request.

use tsw_base::{
    name,
    time::{Span, Timestamp},
};

use crate::Fingerprint;

/// Time for which a broken connection is taken into account.
const RECENT_WINDOW: Span = Span::from_secs(2);
/// Time within which all connections to an upstream break when it crashes.
const CRASH_SPREAD: Span = Span::from_millis(50);
/// Number of connections broken independently of the request from which on the upstreams are blamed
/// and not the request.
const UNRELATED_THRESHOLD: usize = 2;
/// Maximum number of broken connections that are remembered.
const MAX_BROKEN_CONNECTIONS: usize = 256;

/// Connections that upstreams broke recently.
///
/// ```
/// use tsw_base::time::Timestamp;
/// use tsw_poison::{broken_connections::BrokenConnections, Fingerprint};
/// let mut connections = BrokenConnections::default();
/// let now = Timestamp::from_micros(1);
/// let upstream = |number: u8| format!("engine-{number}").parse().unwrap();
/// // One request breaks its connections to several upstreams.
/// assert!((0..5).all(|on| connections.record_and_check(now, &upstream(on), Fingerprint(7))));
/// // Upstreams break the connections of other requests as well.
/// let others = (5..9).map(|on| connections.record_and_check(now, &upstream(on), Fingerprint(u128::from(on))));
/// assert!(others.last() == Some(false));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BrokenConnections(Vec<BrokenConnection>);

/// A connection that an upstream broke.
#[derive(Clone, Debug)]
struct BrokenConnection {
    at: Timestamp,
    upstream: name::Upstream,
    request: Fingerprint,
}

impl BrokenConnection {
    /// Returns whether the same upstream broke both connections at about the same time, as in a
    /// crash.
    fn is_same_crash(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.upstream == other.upstream && apart <= CRASH_SPREAD
    }
}

impl BrokenConnections {
    /// Records that an upstream broke the connection of a request. Returns whether this is evidence
    /// against the request.
    ///
    /// It is no evidence if at least 2 recent breaks did not coincide with a break of this request
    /// at the same upstream.
    pub fn record_and_check(
        &mut self,
        now: Timestamp,
        upstream: &name::Upstream,
        request: Fingerprint,
    ) -> bool {
        self.0.retain(|entry| now.since(entry.at) <= RECENT_WINDOW);
        if self.0.len() >= MAX_BROKEN_CONNECTIONS {
            self.0.remove(0);
        }
        self.0.push(BrokenConnection {
            at: now,
            upstream: upstream.clone(),
            request,
        });
        let own = self.0.iter().filter(|entry| entry.request == request);
        let own: Vec<&BrokenConnection> = own.collect();
        let unrelated = self
            .0
            .iter()
            .filter(|entry| !own.iter().any(|own| own.is_same_crash(entry)));
        unrelated.count() < UNRELATED_THRESHOLD
    }
}
