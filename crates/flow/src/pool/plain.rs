//! Selection of an upstream for a plain request.

use tsw_base::time::{Span, Timestamp};
use tsw_member::rendezvous;

use super::{Choice, Constraints, Upstream};

/// Added to the cost of a plain upstream in another failure domain, in requests.
const REMOTE_DOMAIN_COST: f64 = 0.3;
/// Interval of the reports of other routers from which a plain upstream is the less loaded one of two that are drawn at
/// random. Such an upstream serves a request in some 30 ms: all routers would send theirs to the one that was last reported
/// as the least loaded until the next reports. See Mitzenmacher, "How useful is old information?" (2000).
const OLD_REPORTS: Span = Span::from_millis(150);

/// Chooses the upstream with the lowest usage relative to its slots, weighted by failure rate and
/// failure domain.
pub(super) fn choose(
    now: Timestamp,
    candidates: &[&Upstream],
    constraints: &Constraints<'_>,
) -> Option<Choice> {
    let fits = candidates.iter().filter_map(|upstream| {
        let cost = cost(now, upstream, constraints)?;
        Some((cost, *upstream))
    });
    let mut fits: Vec<(f64, &Upstream)> = fits.collect();
    if constraints.report_age >= OLD_REPORTS && !fits.is_empty() {
        // The microseconds differ between routers, so that each draws other upstreams.
        let draw = |draw: &str| {
            let number = rendezvous::weight(now.as_micros(), draw);
            fits[(number % fits.len() as u64) as usize]
        };
        fits = vec![draw("first"), draw("second")];
    }
    let best = fits.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, upstream)| upstream.choice(0, None))
}

/// Returns the cost of an upstream; `None` if it has no room.
pub(super) fn cost(
    now: Timestamp,
    upstream: &Upstream,
    constraints: &Constraints<'_>,
) -> Option<f64> {
    let (slots, requests) = (upstream.entry.slots, upstream.occupancy(now));
    if requests >= slots.saturating_add(constraints.extra_slots) {
        return None;
    }
    let remote = if &*upstream.entry.domain == constraints.domain {
        0.0
    } else {
        REMOTE_DOMAIN_COST
    };
    let slots = f64::from(slots.max(1));
    let cost = (f64::from(requests) + remote) / slots;
    Some(cost + 4.0 * upstream.failure_rate(now))
}
