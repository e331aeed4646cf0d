//! Fingerprints of requests.

use tsw_base::name;
use xxhash_rust::xxh3::Xxh3;

use crate::message::Fingerprint;

impl Fingerprint {
    /// Returns the fingerprint of a request.
    ///
    /// The team is part of it, so that no team can have another team's requests refused.
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

    /// Returns the fingerprint of a request whose team, service and path are not names of this
    /// project.
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
