//! Which upstreams a router sends to first.
//!
//! What routers tell each other is old by the time it arrives: in a large fleet an engine reads
//! several prompts meanwhile, and routers that all choose the engine that was idle last send their
//! prompts to the same one. Each upstream is therefore owned by one router, which knows best what
//! runs there; the others borrow it when their own are busy.

use indexmap::{IndexMap, IndexSet};
use tsw_route::Name;

/// A router or an upstream, and its failure domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Failure domain.
    pub domain: Name,
    /// Name.
    pub name: Name,
}

/// Returns the upstreams that a router owns, given the routers that clients use.
///
/// The upstreams of a failure domain are dealt to its routers in turn, or to all routers if it has
/// none. Routers that know the same members come to the same result.
///
/// ```
/// use tsw_flow::owner::{owned, Place};
/// let place = |name: &str, domain: &str| Place { domain: domain.into(), name: name.into() };
/// let routers = [place("r1", "north"), place("r2", "south")];
/// let upstreams = [place("e1", "north"), place("e2", "north"), place("e3", "south")];
/// assert_eq!(owned("r1", &routers, &upstreams).len(), 2);
/// assert!(owned("r2", &routers, &upstreams).contains("e3"));
/// assert!(owned("r3", &routers, &upstreams).is_empty(), "clients do not use it");
/// ```
#[must_use]
pub fn owned(router: &str, routers: &[Place], upstreams: &[Place]) -> IndexSet<Name> {
    let group = |places: &[Place]| {
        let mut sorted = places.to_vec();
        sorted.sort_unstable();
        let mut groups: IndexMap<Name, Vec<Name>> = IndexMap::new();
        for place in sorted {
            groups.entry(place.domain).or_default().push(place.name);
        }
        groups
    };
    let (routers, upstreams) = (group(routers), group(upstreams));
    let all: Vec<Name> = routers.values().flatten().cloned().collect();
    let mut owned = IndexSet::new();
    for (domain, upstreams) in upstreams {
        let routers = routers.get(&domain).unwrap_or(&all);
        let dealt = upstreams.into_iter().zip(routers.iter().cycle());
        let own = dealt.filter(|(_, owner)| &***owner == router);
        owned.extend(own.map(|(upstream, _)| upstream));
    }
    owned
}
