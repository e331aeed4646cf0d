//! Rendezvous hashing: every router that knows the same names makes the same choice, and a change of
//! one name moves only what that name held.

use tsw_base::name;
use xxhash_rust::xxh3;

/// Returns the weight of `candidate` for `purpose`; the highest weight is chosen.
///
/// ```
/// use tsw_member::rendezvous;
///
/// assert_eq!(rendezvous::weight(1, "a"), rendezvous::weight(1, "a"));
/// assert_ne!(rendezvous::weight(1, "a"), rendezvous::weight(2, "a"));
/// ```
#[must_use]
pub fn weight(purpose: u64, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), purpose)
}

/// Returns the purpose of being home of a group of a service.
#[must_use]
pub fn home_purpose(service: &name::Service, group: u32) -> u64 {
    xxh3::xxh3_64_with_seed(service.as_str().as_bytes(), u64::from(group))
}

/// Returns the group of an upstream among `groups` groups; 0 when there is at most one.
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

/// Returns the candidate with the highest weight; equal weights are decided by name.
pub(crate) fn choose<'a>(
    purpose: u64,
    candidates: impl Iterator<Item = &'a name::Host>,
) -> Option<&'a name::Host> {
    candidates.max_by_key(|host| (weight(purpose, host.as_str()), *host))
}
