//! Rendezvous hashing: all routers that know the same candidates choose the same one, and adding or
//! removing a candidate changes only the choices of that candidate.

use tsw_base::name;
use xxhash_rust::xxh3;

/// Returns the weight of `candidate` for a choice identified by `seed`. The candidate with the
/// highest weight is chosen.
///
/// ```
/// use tsw_member::rendezvous;
///
/// assert_eq!(rendezvous::weight(1, "a"), rendezvous::weight(1, "a"));
/// assert_ne!(rendezvous::weight(1, "a"), rendezvous::weight(2, "a"));
/// ```
#[must_use]
pub fn weight(seed: u64, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns the seed for the choice of the home of a group of a service.
#[must_use]
pub fn home_seed(service: &name::Service, group: u32) -> u64 {
    xxh3::xxh3_64_with_seed(service.as_str().as_bytes(), u64::from(group))
}

/// Returns the group of an upstream among `groups` groups, or 0 if there is at most one.
///
/// ```
/// use tsw_member::rendezvous;
///
/// let upstream = "engine-1".parse()?;
/// assert_eq!(rendezvous::group(&upstream, 1), 0);
/// assert!(rendezvous::group(&upstream, 4) < 4);
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[must_use]
pub fn group(upstream: &name::Upstream, groups: u32) -> u32 {
    (0..groups)
        .max_by_key(|group| weight(u64::from(*group), upstream.as_str()))
        .unwrap_or(0)
}

/// Returns the candidate with the highest weight. Equal weights are ordered by name.
pub(crate) fn choose<'a>(
    seed: u64,
    candidates: impl Iterator<Item = &'a name::Host>,
) -> Option<&'a name::Host> {
    candidates.max_by_key(|host| (weight(seed, host.as_str()), *host))
}
