//! Whether upstreams break connections because of a request or whatever they run.

use tsw_base::{
    name,
    time::{Span, Tick},
};

use crate::Fingerprint;

/// Time for which a broken connection counts.
const RECENT: Span = Span::from_secs(2);
/// Time within which the connections to an upstream break that crashes.
const TOGETHER: Span = Span::from_millis(50);
/// Connections that broke without the request, from which on the upstreams are at fault and not the
/// request.
const MOST_WITHOUT: usize = 2;
/// Most broken connections that are remembered.
const MOST: usize = 256;

/// The connections that upstreams broke lately.
///
/// ```
/// use tsw_base::time::Tick;
/// use tsw_poison::{breaks::Breaks, Fingerprint};
/// let mut breaks = Breaks::default();
/// let now = Tick::from_micros(1);
/// let upstream = |number: u8| format!("engine-{number}").parse().unwrap();
/// // The request breaks one upstream after the other.
/// assert!((0..5).all(|on| breaks.is_evidence(now, &upstream(on), Fingerprint(7))));
/// // Upstreams break other requests as well.
/// let others = (5..9).map(|on| breaks.is_evidence(now, &upstream(on), Fingerprint(u128::from(on))));
/// assert!(others.last() == Some(false));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Breaks(Vec<Break>);

/// A connection that an upstream broke.
#[derive(Clone, Debug)]
struct Break {
    at: Tick,
    upstream: name::Upstream,
    request: Fingerprint,
}

impl Break {
    /// Returns whether the upstream broke both at about the same time, as if it had crashed.
    fn is_beside(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.upstream == other.upstream && apart <= TOGETHER
    }
}

impl Breaks {
    /// Notes that an upstream broke the connection of a request, and returns whether that tells
    /// something about the request.
    pub fn is_evidence(
        &mut self,
        now: Tick,
        upstream: &name::Upstream,
        request: Fingerprint,
    ) -> bool {
        self.0.retain(|found| now.since(found.at) <= RECENT);
        if self.0.len() >= MOST {
            self.0.remove(0);
        }
        self.0.push(Break {
            at: now,
            upstream: upstream.clone(),
            request,
        });
        let own = self.0.iter().filter(|found| found.request == request);
        let own: Vec<&Break> = own.collect();
        let without = self
            .0
            .iter()
            .filter(|found| !own.iter().any(|own| own.is_beside(found)));
        without.count() < MOST_WITHOUT
    }
}
