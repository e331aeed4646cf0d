//! Assigns each upstream to one router, its owner.
//!
//! The load that routers report to each other is outdated by the time it arrives: in a large fleet
//! an engine processes several prompts in the meantime. Routers that all choose the engine last
//! reported as idle would send their prompts to the same one. Each upstream is therefore owned by
//! one router, which knows its load best; other routers use it when their own upstreams are busy.

use indexmap::{IndexMap, IndexSet};
use tsw_route::Name;

/// A router or an upstream, and its failure domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Node {
    /// Failure domain.
    pub domain: Name,
    /// Name.
    pub name: Name,
}

/// Returns the upstreams that a router owns, given the routers listed for clients.
///
/// The upstreams of a failure domain are assigned round-robin to the routers of that domain, or to
/// all routers if it has none. Routers that know the same members compute the same assignment.
///
/// ```
/// use tsw_flow::owner::{owned, Node};
/// let node = |name: &str, domain: &str| Node { domain: domain.into(), name: name.into() };
/// let routers = [node("r1", "north"), node("r2", "south")];
/// let upstreams = [node("e1", "north"), node("e2", "north"), node("e3", "south")];
/// assert_eq!(owned("r1", &routers, &upstreams).len(), 2);
/// assert!(owned("r2", &routers, &upstreams).contains("e3"));
/// assert!(owned("r3", &routers, &upstreams).is_empty(), "not listed for clients");
/// ```
#[must_use]
pub fn owned(router: &str, routers: &[Node], upstreams: &[Node]) -> IndexSet<Name> {
    let group = |nodes: &[Node]| {
        let mut sorted = nodes.to_vec();
        sorted.sort_unstable();
        let mut groups: IndexMap<Name, Vec<Name>> = IndexMap::new();
        for node in sorted {
            groups.entry(node.domain).or_default().push(node.name);
        }
        groups
    };
    let (routers, upstreams) = (group(routers), group(upstreams));
    let all: Vec<Name> = routers.values().flatten().cloned().collect();
    let mut owned = IndexSet::new();
    for (domain, upstreams) in upstreams {
        let routers = routers.get(&domain).unwrap_or(&all);
        let assigned = upstreams.into_iter().zip(routers.iter().cycle());
        let own = assigned.filter(|(_, owner)| &***owner == router);
        owned.extend(own.map(|(upstream, _)| upstream));
    }
    owned
}
