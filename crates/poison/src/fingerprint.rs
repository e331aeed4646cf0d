//! Fingerprints of requests.

use tsw_base::name;
use xxhash_rust::xxh3::Xxh3;

use crate::message::Fingerprint;

impl Fingerprint {
    /// Returns the fingerprint of a request.
    ///
    /// It includes the team, so that a team can't cause requests of another team to be refused.
    ///
    /// ```
    /// use tsw_poison::Fingerprint;
    ///
    /// let (team, service) = ("counter".parse()?, "reviews".parse()?);
    /// let first = Fingerprint::of(&team, &service, "/", b"a");
    /// assert_eq!(first, Fingerprint::of(&team, &service, "/", b"a"));
    /// assert_ne!(first, Fingerprint::of(&team, &service, "/", b"b"));
    /// # Ok::<(), tsw_base::name::Error>(())
    /// ```
    #[must_use]
    pub fn of(team: &name::Team, service: &name::Service, path: &str, body: &[u8]) -> Self {
        Self::of_parts(
            &[team.as_str(), service.as_str(), path].map(str::as_bytes),
            body,
        )
    }

    /// Returns the fingerprint of a request that is identified by arbitrary byte strings and a
    /// body, for callers whose team and service names don't follow the rules of [`name`].
    ///
    /// Each part is hashed with its length, so that different divisions into parts differ.
    ///
    /// ```
    /// use tsw_poison::Fingerprint;
    /// let (one, two) = (Fingerprint::of_parts(&[b"ab", b"c"], b""), Fingerprint::of_parts(&[b"a", b"bc"], b""));
    /// assert_ne!(one, two);
    /// ```
    #[must_use]
    pub fn of_parts(parts: &[&[u8]], body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self(hasher.digest128())
    }
}
